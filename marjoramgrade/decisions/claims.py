"""Room that is kept on workers for work that waits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import attrs

from marjoramgrade.decisions.tasks import QueuedTask
from marjoramgrade.decisions.workers import WorkerPool
from marjoramgrade.model import TaskId


@attrs.frozen(eq=False)
class Claim:
    """An entry and the workers on which its room is kept.

    Attributes:
        entry: What waits; it is no longer in the queue.
        worker_ids: One worker for each member.
        reason: Why it waits, for operators.
    """

    entry: QueuedTask
    worker_ids: tuple[str, ...]
    reason: str

    def is_ready(self, pool: WorkerPool) -> bool:
        """Return whether the room is free on every worker."""
        return all(
            self.entry.resources.scaled(members, 1).fits(pool.free_of(worker_id))
            for worker_id, members in Counter(self.worker_ids).items()
        )


class ClaimBook:
    """The claims of one shard, oldest first.

    Args:
        pool: The workers on which room is held.
    """

    def __init__(self, pool: WorkerPool) -> None:
        self._pool = pool
        self._claim_by_task: dict[TaskId, Claim] = {}
        # Claims of work that preempts nothing; asked for each head that does not fit.
        self._reservation_by_task: dict[TaskId, Claim] = {}
        self._reserved_by_team: Counter[str] = Counter()
        self._reserved_gangs = 0

    def __iter__(self) -> Iterator[Claim]:
        return iter(list(self._claim_by_task.values()))

    def add(self, claim: Claim) -> None:
        """Keep room for a claim."""
        self._claim_by_task[claim.entry.task] = claim
        if not claim.entry.is_urgent:
            self._reservation_by_task[claim.entry.task] = claim
            self._count(claim, 1)
        for worker_id in claim.worker_ids:
            self._pool.hold(
                worker_id,
                claim.entry.resources,
                is_yielding=not claim.entry.is_urgent,
            )

    def remove(self, claim: Claim) -> None:
        """Keep no more room for a claim."""
        del self._claim_by_task[claim.entry.task]
        if not claim.entry.is_urgent:
            del self._reservation_by_task[claim.entry.task]
            self._count(claim, -1)
        for worker_id in claim.worker_ids:
            self._pool.release_hold(
                worker_id,
                claim.entry.resources,
                is_yielding=not claim.entry.is_urgent,
            )

    def find(self, task: TaskId) -> Claim | None:
        """Return the claim that a task belongs to, or None."""
        claim = self._claim_by_task.get(task)
        if claim is not None:
            return claim
        for claim in self.of_job(task.job_id):
            if task.index in claim.entry.members:
                return claim
        return None

    def of_job(self, job_id: str) -> list[Claim]:
        """Return the claims of a job."""
        return [claim for claim in self if claim.entry.task.job_id == job_id]

    def of_worker(self, worker_id: str) -> list[Claim]:
        """Return the claims that keep room on a worker."""
        return [claim for claim in self if worker_id in claim.worker_ids]

    def reservations(self) -> list[Claim]:
        """Return the claims of work that preempts nothing."""
        return list(self._reservation_by_task.values())

    def reserved_count(self) -> int:
        """Return the number of claims of work that preempts nothing."""
        return len(self._reservation_by_task)

    def reserved_of(self, team: str) -> int:
        """Return how many of these claims a team has."""
        return self._reserved_by_team[team]

    def has_reserved_gang(self) -> bool:
        """Return whether one of these claims is of a gang."""
        return self._reserved_gangs > 0

    def _count(self, claim: Claim, change: int) -> None:
        self._reserved_by_team[claim.entry.team] += change
        if claim.entry.gang_size > 1:
            self._reserved_gangs += change
