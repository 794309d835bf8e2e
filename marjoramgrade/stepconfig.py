"""The configuration of queues, worker pools and teams for step jobs."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from marjoramgrade.resources import ZERO_RESOURCES, Resources


@attrs.frozen
class AdvicePolicy:
    """Response times and ticket validity of a queue's placement advisor.

    Attributes:
        base_ms: Fixed part of the duration of one call.
        per_worker_ms: Additional duration for each worker that a call names.
        valid_ms: How long a ticket is valid.
    """

    base_ms: float
    per_worker_ms: float
    valid_ms: int


@attrs.frozen
class Queue:
    """A queue to which clients submit jobs.

    Attributes:
        name: Name of the queue.
        host: Host name that clients use.
        path_prefix: Prefix of the paths that clients use.
        pool: Pool of the workers that run its tasks.
        priority: Rank among the queues; 0 comes first.
        attempts: Failed runs of a task after which its job fails; 0 means one.
        stretch: Factor by which the latency objective multiplies the expected duration
            of the longest chain of steps.
        objective_ms: Constant that the latency objective adds.
        advice: Policy of its placement advisor, or None if it has none.
        public: Whether clients need no key.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    advice: AdvicePolicy | None = None
    public: bool = False


@attrs.frozen
class WorkerPool:
    """Workers that run the tasks of some queues.

    Attributes:
        name: Name of the pool.
        enforces_capacity: Whether its workers refuse runs that exceed their capacity.
        standby: Whether its machines are switched off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@attrs.frozen
class TeamPolicy:
    """A team and its limits.

    Attributes:
        name: Name of the team.
        secrets: The secrets of its keys.
        weight: Its share, in jobs per second, when the workers are full.
        limit: Resources that its running tasks may use; an amount of 0 means no limit.
    """

    name: str
    secrets: frozenset[str] = frozenset()
    weight: float = 1.0
    limit: Resources = ZERO_RESOURCES


@attrs.frozen
class RequestSizeLimits:
    """Maximum sizes of a client's request."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144


@attrs.frozen
class StepConfig:
    """One version of the configuration.

    Attributes:
        version: Version number, which increases with each change.
        queue_by_name: The queues.
        pool_by_name: The worker pools.
        team_by_name: The teams.
        limits: Maximum sizes of requests.
    """

    version: int = 0
    queue_by_name: Mapping[str, Queue] = attrs.field(factory=dict)
    pool_by_name: Mapping[str, WorkerPool] = attrs.field(factory=dict)
    team_by_name: Mapping[str, TeamPolicy] = attrs.field(factory=dict)
    limits: RequestSizeLimits = RequestSizeLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for a path, or None."""
        found = None
        for queue in self.queue_by_name.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if found is None or len(queue.path_prefix) > len(found.path_prefix):
                found = queue
        return found

    def find_team(self, secret: str) -> TeamPolicy | None:
        """Return the team that a key belongs to, or None."""
        for team in self.team_by_name.values():
            if secret in team.secrets:
                return team
        return None
