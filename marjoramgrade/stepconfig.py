"""The configuration of queues, worker pools and teams for jobs of steps."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from marjoramgrade.resources import ZERO_RESOURCES, Resources


@attrs.frozen
class AdvicePolicy:
    """How the placement advisor of a queue answers.

    Attributes:
        base_ms: Time of one call.
        per_worker_ms: Further time for each worker that a call names.
        valid_ms: How long a ticket is valid.
    """

    base_ms: float
    per_worker_ms: float
    valid_ms: int


@attrs.frozen
class Queue:
    """Where jobs are handed in.

    Attributes:
        name: Name of the queue.
        host: Host name that callers use.
        path_prefix: Start of the paths that callers use.
        pool: Pool of the workers that run its tasks.
        priority: 0 comes first.
        attempts: Failed runs of a task after which its job fails; 0 for one.
        stretch: Factor of the longest chain of work in the latency objective.
        objective_ms: Addend of the latency objective.
        advice: How its placement advisor answers, or None if it has none.
        public: Whether calls need no key.
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
        enforces_capacity: Whether its workers refuse what does not fit.
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
        secrets: Its keys.
        weight: Its share when the workers are full, in jobs a second.
        limit: What it may have running; an amount of 0 means no limit.
    """

    name: str
    secrets: frozenset[str] = frozenset()
    weight: float = 1.0
    limit: Resources = ZERO_RESOURCES


@attrs.frozen
class RequestSizeLimits:
    """Bounds of what a caller may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144


@attrs.frozen
class StepConfig:
    """One version of the configuration.

    Attributes:
        version: Its number; rises with each change.
        queue_by_name: The queues.
        pool_by_name: The worker pools.
        team_by_name: The teams.
        limits: Bounds of requests.
    """

    version: int = 0
    queue_by_name: Mapping[str, Queue] = attrs.field(factory=dict)
    pool_by_name: Mapping[str, WorkerPool] = attrs.field(factory=dict)
    team_by_name: Mapping[str, TeamPolicy] = attrs.field(factory=dict)
    limits: RequestSizeLimits = RequestSizeLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, or None."""
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
