"""Messages about the load of shards."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.model import JobSpec
from marjoramgrade.resources import ZERO_RESOURCES, Resources


@attrs.frozen
class DispatchSummary(Message[None]):
    """Load of the backend servers of an owned shard.

    Attributes:
        shard: Name of the shard.
        owner: Instance that owns it.
        epoch: Epoch of the owner.
        free_slots_by_service: Number of free slots of each service.
        queued: Number of queued requests.
    """

    shard: str
    owner: str
    epoch: int
    free_slots_by_service: Mapping[str, int]
    queued: int


@attrs.frozen
class TaskSummary(Message[None]):
    """Load of the workers of an owned shard.

    Attributes:
        shard: Name of the shard.
        owner: Instance that owns it.
        epoch: Epoch of the owner.
        total: Capacity of the workers.
        free: Capacity that is neither allocated nor reserved.
        queued: Number of queued tasks.
    """

    shard: str
    owner: str
    epoch: int
    total: Resources = ZERO_RESOURCES
    free: Resources = ZERO_RESOURCES
    queued: int = 0


@attrs.frozen
class ChooseShard(Message[str]):
    """Asks which shard should become the home of a new job."""

    spec: JobSpec


@attrs.frozen
class InstanceSummary(Message[None]):
    """What an entry instance reports to the others about itself."""

    instance_id: str
    zone: str
    config_version: int


@attrs.frozen
class Summaries:
    """What this instance knows about the cell.

    Attributes:
        dispatch: Load of the backend servers of each shard with a recent report.
        tasks: Load of the workers of each shard with a recent report.
        instances: The registered entry instances, as last reported.
    """

    dispatch: tuple[DispatchSummary, ...]
    tasks: tuple[TaskSummary, ...]
    instances: tuple[InstanceSummary, ...]

    def owners(self) -> set[str]:
        """Return the ids of the instances that are known to own shards."""
        by_dispatch = {summary.owner for summary in self.dispatch}
        return by_dispatch | {summary.owner for summary in self.tasks}


@attrs.frozen
class GetSummaries(Message[Summaries]):
    """Asks for the load of every shard."""
