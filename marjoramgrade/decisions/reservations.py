"""Resources reserved on workers for waiting work.

A reservation of non-urgent work is yielding: urgent work and gangs may use its
resources.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import attrs

from marjoramgrade.decisions.tasks import QueuedTask
from marjoramgrade.decisions.workers import WorkerPool
from marjoramgrade.model import TaskId


@attrs.frozen(eq=False)
class Reservation:
    """A queue entry and the workers on which its resources are reserved.

    Attributes:
        entry: The waiting work; it is no longer in the queue.
        worker_ids: One worker for each member.
        reason: Why the work waits, shown to operators.
    """

    entry: QueuedTask
    worker_ids: tuple[str, ...]
    reason: str

    def is_ready(self, pool: WorkerPool) -> bool:
        """Return whether the resources are free on every worker."""
        return all(
            self.entry.resources.scaled(members, 1).fits(pool.free_of(worker_id))
            for worker_id, members in Counter(self.worker_ids).items()
        )


class Reservations:
    """The reservations of one shard, oldest first.

    Args:
        pool: The workers on which resources are held.
    """

    def __init__(self, pool: WorkerPool) -> None:
        self._pool = pool
        self._reservation_by_task: dict[TaskId, Reservation] = {}
        # Stored separately, since they are read for each queue head that does not fit.
        self._yielding_by_task: dict[TaskId, Reservation] = {}
        self._yielding_count_by_team: Counter[str] = Counter()
        self._yielding_gang_count = 0

    def __iter__(self) -> Iterator[Reservation]:
        return iter(list(self._reservation_by_task.values()))

    def add(self, reservation: Reservation) -> None:
        """Add a reservation and hold its resources."""
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
        """Remove a reservation and end its holds."""
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
        """Return the reservation that includes a task, or None."""
        reservation = self._reservation_by_task.get(task)
        if reservation is not None:
            return reservation
        for reservation in self.of_job(task.job_id):
            if task.index in reservation.entry.members:
                return reservation
        return None

    def of_job(self, job_id: str) -> list[Reservation]:
        """Return the reservations of a job."""
        return [
            reservation
            for reservation in self
            if reservation.entry.task.job_id == job_id
        ]

    def of_worker(self, worker_id: str) -> list[Reservation]:
        """Return the reservations on a worker."""
        return [
            reservation for reservation in self if worker_id in reservation.worker_ids
        ]

    def list_yielding(self) -> list[Reservation]:
        """Return the yielding reservations."""
        return list(self._yielding_by_task.values())

    def yielding_count(self) -> int:
        """Return the number of yielding reservations."""
        return len(self._yielding_by_task)

    def yielding_count_of(self, team: str) -> int:
        """Return the number of yielding reservations of a team."""
        return self._yielding_count_by_team[team]

    def has_yielding_gang(self) -> bool:
        """Return whether a gang has a yielding reservation."""
        return self._yielding_gang_count > 0

    def _count(self, reservation: Reservation, delta: int) -> None:
        self._yielding_count_by_team[reservation.entry.team] += delta
        if reservation.entry.gang_size > 1:
            self._yielding_gang_count += delta
