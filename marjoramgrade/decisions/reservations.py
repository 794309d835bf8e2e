"""Room that is kept on workers for work that waits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import attrs

from marjoramgrade.decisions.tasks import QueuedTask
from marjoramgrade.decisions.workers import WorkerPool
from marjoramgrade.model import TaskId


@attrs.frozen(eq=False)
class Reservation:
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


class Reservations:
    """The claims of one shard, oldest first.

    Args:
        pool: The workers on which room is held.
    """

    def __init__(self, pool: WorkerPool) -> None:
        self._pool = pool
        self._reservation_by_task: dict[TaskId, Reservation] = {}
        # Claims of work that preempts nothing; asked for each head that does not fit.
        self._yielding_by_task: dict[TaskId, Reservation] = {}
        self._yielding_count_by_team: Counter[str] = Counter()
        self._yielding_gangs = 0

    def __iter__(self) -> Iterator[Reservation]:
        return iter(list(self._reservation_by_task.values()))

    def add(self, reservation: Reservation) -> None:
        """Keep room for a claim."""
        self._reservation_by_task[reservation.entry.task] = reservation
        if not reservation.entry.is_urgent:
            self._yielding_by_task[reservation.entry.task] = reservation
            self._count(reservation, 1)
        for worker_id in reservation.worker_ids:
            self._pool.hold(
                worker_id,
                reservation.entry.resources,
                is_yielding=not reservation.entry.is_urgent,
            )

    def remove(self, reservation: Reservation) -> None:
        """Keep no more room for a claim."""
        del self._reservation_by_task[reservation.entry.task]
        if not reservation.entry.is_urgent:
            del self._yielding_by_task[reservation.entry.task]
            self._count(reservation, -1)
        for worker_id in reservation.worker_ids:
            self._pool.release_hold(
                worker_id,
                reservation.entry.resources,
                is_yielding=not reservation.entry.is_urgent,
            )

    def find(self, task: TaskId) -> Reservation | None:
        """Return the claim that a task belongs to, or None."""
        reservation = self._reservation_by_task.get(task)
        if reservation is not None:
            return reservation
        for reservation in self.of_job(task.job_id):
            if task.index in reservation.entry.members:
                return reservation
        return None

    def of_job(self, job_id: str) -> list[Reservation]:
        """Return the claims of a job."""
        return [
            reservation
            for reservation in self
            if reservation.entry.task.job_id == job_id
        ]

    def of_worker(self, worker_id: str) -> list[Reservation]:
        """Return the claims that keep room on a worker."""
        return [
            reservation for reservation in self if worker_id in reservation.worker_ids
        ]

    def list_yielding(self) -> list[Reservation]:
        """Return the claims of work that preempts nothing."""
        return list(self._yielding_by_task.values())

    def yielding_count(self) -> int:
        """Return the number of claims of work that preempts nothing."""
        return len(self._yielding_by_task)

    def yielding_count_of(self, team: str) -> int:
        """Return how many of these claims a team has."""
        return self._yielding_count_by_team[team]

    def has_yielding_gang(self) -> bool:
        """Return whether one of these claims is of a gang."""
        return self._yielding_gangs > 0

    def _count(self, reservation: Reservation, change: int) -> None:
        self._yielding_count_by_team[reservation.entry.team] += change
        if reservation.entry.gang_size > 1:
            self._yielding_gangs += change
