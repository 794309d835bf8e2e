"""State of the scheduler of one shard, and the operations that change it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping

import attrs

from marjoramgrade.decisions.actions import StartTask, StopMode, StopTask
from marjoramgrade.decisions.gang_runs import GangRuns
from marjoramgrade.decisions.health import WorkerHealth
from marjoramgrade.decisions.placement import PLACEMENTS, Placement
from marjoramgrade.decisions.preemption import PREEMPTIONS, Preemption
from marjoramgrade.decisions.queues import QUEUE_ORDERS, TaskQueue
from marjoramgrade.decisions.reservations import Reservation, Reservations
from marjoramgrade.decisions.running import RunningTasks, StopRequest
from marjoramgrade.decisions.shares import TeamShares
from marjoramgrade.decisions.tasks import QueuedTask, RunningTask
from marjoramgrade.decisions.workers import WorkerPool
from marjoramgrade.model import JobKind, TaskId
from marjoramgrade.resources import Resources
from marjoramgrade.settings import PolicyNames

WAITING_AT_LIMIT = "waiting: team at its upper limit"
WAITING_FOR_CAPACITY = "waiting: no worker has enough free capacity"
WAITING_ABOVE_SHARE = "waiting: team is above its share, other teams are served first"
WAITING_FOR_PREEMPTION = "waiting: running work is being stopped to free capacity"
WAITING_FOR_RESERVATION = "waiting: capacity is reserved as it becomes free"
WAITING_IN_QUEUE = "waiting: other work is scheduled first"

MayStart = Callable[[str, Resources], bool]


@attrs.frozen
class KindPolicy:
    """Queue and policies of one kind of work.

    Attributes:
        queue: The queue; kinds with the same queue order share it.
        placement: Chooses the worker of a task.
        preemption: Chooses the running tasks that urgent work preempts.
    """

    queue: TaskQueue
    placement: Placement
    preemption: Preemption


class ShardState:
    """Workers, queued and running tasks of one shard.

    Args:
        policies_by_kind: Names of the policies of each kind of work.
        may_start: Returns whether a team may use further resources.
    """

    def __init__(
        self, policies_by_kind: Mapping[JobKind, PolicyNames], may_start: MayStart
    ) -> None:
        self.pool = WorkerPool()
        self.shares = TeamShares()
        self.running = RunningTasks()
        self.health = WorkerHealth()
        self.reservations = Reservations(self.pool)
        self.gangs = GangRuns()
        self.may_start = may_start
        self.requeue_reason_by_task: dict[TaskId, str] = {}
        self._pending_stops: list[tuple[RunningTask, StopTask]] = []
        # Requested checkpoints, oldest first: when each times out, and its task.
        self.checkpoints: deque[tuple[int, RunningTask]] = deque()
        self._queue_by_order: dict[str, TaskQueue] = {}
        self.policy_by_kind = {
            kind: self._policy_from(policies)
            for kind, policies in policies_by_kind.items()
        }

    @property
    def queues(self) -> Iterable[TaskQueue]:
        """The queues, one for each queue order in use."""
        return self._queue_by_order.values()

    def queue_of(self, entry: QueuedTask) -> TaskQueue:
        """Return the queue for the kind of an entry."""
        return self.policy_by_kind[entry.kind].queue

    def find_queued(self, task: TaskId) -> QueuedTask | None:
        """Return the queued entry that a task belongs to, or None."""
        for queue in self.queues:
            entry = queue.find(task)
            if entry is not None:
                return entry
        return None

    def has_left_queue(self, task: TaskId) -> bool:
        """Return whether a task runs, has a reservation, or restarts with its gang."""
        return (
            self.running.find(task) is not None
            or self.reservations.find(task) is not None
            or self.gangs.is_awaiting_restart(task)
        )

    def requeue(self, entry: QueuedTask, now_ms: int, reason: str) -> None:
        """Put accepted work back into its queue.

        Args:
            entry: The work.
            now_ms: Current time.
            reason: Reason shown to operators.
        """
        self.queue_of(entry).push(entry, now_ms, is_requeue=True)
        for task in entry.iter_tasks():
            self.requeue_reason_by_task[task] = reason

    def start(
        self, entry: QueuedTask, worker_ids: Iterable[str], now_ms: int
    ) -> list[StartTask]:
        """Allocate resources for an entry that is no longer queued, and start it."""
        starts = []
        for task, worker_id in zip(entry.iter_tasks(), worker_ids, strict=True):
            self.pool.allocate(worker_id, entry.resources)
            self.add_running(RunningTask.from_queued(entry, task, worker_id, now_ms))
            self.health.record_start(worker_id, now_ms)
            starts.append(StartTask(task, worker_id, entry.resources))
        return starts

    def add_running(self, running: RunningTask) -> None:
        """Record a task, whose resources are already allocated, as running."""
        self.requeue_reason_by_task.pop(running.task, None)
        self.running.add(running)
        self.shares.charge(running.team, running.resources)
        if running.kind is JobKind.GANG:
            self.gangs.record_start(running)

    def remove_running(self, running: RunningTask) -> StopRequest | None:
        """Release the resources of a task that has ended.

        Returns:
            The stop request of the task, or None.
        """
        self.pool.release(running.worker_id, running.resources)
        self.shares.refund(running.team, running.resources)
        return self.running.remove(running)

    def stop(self, running: RunningTask, mode: StopMode, stopping: StopRequest) -> None:
        """Request that a running task stop.

        An earlier request is replaced only if it requeues the task and this one does
        not.
        """
        known = self.running.stop_request_of(running.task)
        if known is not None and (stopping.is_requeued or not known.is_requeued):
            return
        self.running.record_stop_request(running, stopping)
        self.enqueue_stop(running, mode, stopping.reason)

    def enqueue_stop(self, running: RunningTask, mode: StopMode, reason: str) -> None:
        """Add a stop to the next decisions."""
        stop = StopTask(running.task, running.worker_id, mode, reason)
        self._pending_stops.append((running, stop))

    def pop_stops(self) -> list[StopTask]:
        """Return the stops that have not been returned yet.

        A task may end before its stop is sent, and may even run again elsewhere, so
        a stop is returned only if the run that it was meant for is still running.
        """
        stops = [
            stop
            for running, stop in self._pending_stops
            if self.running.find(running.task) is running
        ]
        self._pending_stops.clear()
        return stops

    def cancel_reservation(
        self, reservation: Reservation, now_ms: int, reason: str
    ) -> None:
        """Remove a reservation and requeue its work."""
        self.reservations.remove(reservation)
        self.requeue(reservation.entry, now_ms, reason)

    def cancel_reservations_on(self, worker_id: str, now_ms: int) -> None:
        """Cancel the reservations on a worker that accepts no new work."""
        for reservation in self.reservations.of_worker(worker_id):
            self.cancel_reservation(
                reservation, now_ms, "requeued: its worker became unavailable"
            )

    def cancel_yielding_reservations_on(self, worker_id: str, now_ms: int) -> None:
        """Cancel the reservations of non-urgent work on a worker."""
        for reservation in self.reservations.of_worker(worker_id):
            if not reservation.entry.is_urgent:
                self.cancel_reservation(
                    reservation,
                    now_ms,
                    "requeued: its reservation was cancelled for other work",
                )

    def cancel_reservations_of(self, team: str, reason: str) -> None:
        """Cancel the reservations of a team that must not start anything."""
        for reservation in self.reservations:
            if reservation.entry.team == team:
                self.cancel_reservation(
                    reservation, reservation.entry.not_before_ms, reason
                )

    def _policy_from(self, policies: PolicyNames) -> KindPolicy:
        # Kinds with the same queue order share a queue, so that the shares of the teams
        # apply across kinds.
        queue = self._queue_by_order.get(policies.queue_order)
        if queue is None:
            order = QUEUE_ORDERS.get(policies.queue_order)
            queue = TaskQueue(order.from_config(self.shares))
            self._queue_by_order[policies.queue_order] = queue
        placement = PLACEMENTS.get(policies.placement)()
        return KindPolicy(queue, placement, PREEMPTIONS.get(policies.preemption)())
