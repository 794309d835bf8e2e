"""Scheduler of one shard: combines queues, placement, preemption and health."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from marjoramgrade.decisions.actions import (
    Decision,
    EndStatus,
    StartTask,
    StopMode,
    StopTask,
)
from marjoramgrade.decisions.queues import DuplicateTaskError
from marjoramgrade.decisions.rounds import SchedulingRound
from marjoramgrade.decisions.running import RunningTasks, StopRequest
from marjoramgrade.decisions.shard_state import (
    WAITING_AT_LIMIT,
    WAITING_IN_QUEUE,
    MayStart,
    ShardState,
)
from marjoramgrade.decisions.shares import TeamShares
from marjoramgrade.decisions.tasks import QueuedTask, RunningTask
from marjoramgrade.decisions.workers import WorkerNode, WorkerPool
from marjoramgrade.model import JobKind, TaskId, Team
from marjoramgrade.resources import Resources
from marjoramgrade.settings import PolicyNames

__all__ = ["Decision", "EndStatus", "Scheduler", "StartTask", "StopMode", "StopTask"]

CANCELLED = StopRequest(is_requeued=False, reason="cancelled")
GANG_MEMBER_ENDED = StopRequest(
    is_requeued=True, reason="stopped: a member of its gang ended"
)
REQUEUE_REASON_BY_END_STATUS = {
    EndStatus.STOPPED: "requeued: stopped on its worker",
    EndStatus.REFUSED: "requeued: refused by its worker",
    EndStatus.LOST: "requeued: worker lost",
}


def _allow_all(team: str, resources: Resources) -> bool:
    return True


class Scheduler:
    """Decides what starts and stops on the workers of one shard.

    The scheduler never blocks and sends nothing: each call changes the state in
    memory, and `step` returns the decisions that its owner sends to the workers.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    @classmethod
    def from_config(
        cls,
        policies_by_kind: Mapping[JobKind, PolicyNames],
        may_start: MayStart = _allow_all,
    ) -> Scheduler:
        """Return a scheduler with the policies named in the settings.

        Args:
            policies_by_kind: Names of the policies of each kind of work.
            may_start: Returns whether a team may use resources in addition to
                `shares.usage_of(team)`. It is called just before each start and
                must not record the usage, because the scheduler charges the
                resources to the shares immediately.

        Raises:
            UnknownNameError: If a policy is not registered.
        """
        return cls(ShardState(policies_by_kind, may_start))

    @property
    def pool(self) -> WorkerPool:
        """The workers; read-only for callers."""
        return self._state.pool

    @property
    def running(self) -> RunningTasks:
        """The running tasks; read-only for callers."""
        return self._state.running

    @property
    def shares(self) -> TeamShares:
        """The resource usage of each team; read-only for callers."""
        return self._state.shares

    @property
    def running_count(self) -> int:
        """The number of running tasks."""
        return len(self._state.running)

    @property
    def queued_count(self) -> int:
        """The number of queued tasks, including those with a reservation."""
        reserved = sum(
            reservation.entry.gang_size for reservation in self._state.reservations
        )
        return reserved + sum(len(queue) for queue in self._state.queues)

    def queued_count_of(self, team: str) -> int:
        """Return the number of queued tasks of a team that have no reservation."""
        return sum(queue.length_of(team) for queue in self._state.queues)

    def find_queued(self, task: TaskId) -> QueuedTask | None:
        """Return the queued entry that a task belongs to, or None."""
        return self._state.find_queued(task)

    def set_teams(self, teams: Iterable[Team]) -> None:
        """Apply the weights and queue bounds of the teams."""
        teams = list(teams)
        self.shares.set_weights({team.name: team.share for team in teams})
        for queue in self._state.queues:
            for team in teams:
                queue.set_bound(team.name, team.queue_bound)

    def set_blocked_team(self, team: str, reason: str = WAITING_AT_LIMIT) -> None:
        """Block further starts of a team; an empty reason unblocks it."""
        for queue in self._state.queues:
            queue.set_blocked(team, reason)
        if reason:
            self._state.cancel_reservations_of(team, reason)

    def submit(self, entry: QueuedTask, now_ms: int) -> None:
        """Queue a task or a gang.

        Raises:
            DuplicateTaskError: If one of its tasks is queued or running.
            OverloadedError: If the queue bound of its team would be exceeded.
        """
        for task in entry.iter_tasks():
            if self._state.has_left_queue(task):
                raise DuplicateTaskError(f"{task} is running or about to start")
        self._state.queue_of(entry).push(entry, now_ms)

    def cancel(self, task: TaskId) -> bool:
        """Cancel one task; a queued gang is cancelled as a whole.

        Returns:
            Whether the task was known. A running task is stopped by a `StopTask`.
        """
        self._state.requeue_reason_by_task.pop(task, None)
        if any(queue.cancel(task) for queue in self._state.queues):
            return True
        reservation = self._state.reservations.find(task)
        if reservation is not None:
            self._state.reservations.remove(reservation)
            return True
        if self._state.gangs.is_awaiting_restart(task):
            self._state.gangs.cancel(task)
            return True
        running = self._state.running.find(task)
        if running is not None:
            self._state.stop(running, StopMode.STOP, CANCELLED)
        return running is not None

    def cancel_job(self, job_id: str) -> int:
        """Cancel every task of a job and return the number of tasks."""
        cancelled = sum(queue.cancel_job(job_id) for queue in self._state.queues)
        cancelled += self._state.gangs.cancel_job(job_id)
        for reservation in self._state.reservations.of_job(job_id):
            self._state.reservations.remove(reservation)
            cancelled += reservation.entry.gang_size
        for running in self._state.running.tasks_of_job(job_id):
            self._state.stop(running, StopMode.STOP, CANCELLED)
            cancelled += 1
        return cancelled

    def stop(self, task: TaskId, reason: str, *, is_requeued: bool) -> bool:
        """Request that a running task stop.

        Args:
            task: The task.
            reason: Reason shown to operators.
            is_requeued: Whether the task is requeued after it has ended.

        Returns:
            Whether the task is running.
        """
        running = self._state.running.find(task)
        if running is not None:
            self._state.stop(running, StopMode.STOP, StopRequest(is_requeued, reason))
        return running is not None

    def add_worker(self, node: WorkerNode) -> None:
        """Add a worker to the shard, or make a drained worker schedulable again."""
        self.pool.add(node)
        self.shares.set_total(self.pool.total_capacity)

    def drain_worker(self, worker_id: str, now_ms: int) -> None:
        """Start no more tasks on a worker; its running tasks continue."""
        self.pool.drain(worker_id)
        self._state.cancel_reservations_on(worker_id, now_ms)

    def remove_lost_worker(self, worker_id: str, now_ms: int) -> list[TaskId]:
        """Remove a worker whose tasks are known to have ended, and requeue them.

        Returns:
            The tasks that were running there.
        """
        self._state.cancel_reservations_on(worker_id, now_ms)
        lost = self._state.running.tasks_of_worker(worker_id)
        for running in lost:
            self.task_ended(running.task, EndStatus.LOST, now_ms)
        self.pool.remove(worker_id)
        self.shares.set_total(self.pool.total_capacity)
        self._state.health.remove_worker(worker_id)
        return [running.task for running in lost]

    def adopt(self, running: RunningTask) -> None:
        """Add a task that a worker reports as running.

        A queued entry of the task is removed. The other members of a queued gang
        start again once the reported members have ended.

        Raises:
            DuplicateTaskError: If the task is already running.
            OvercommitError: If the worker lacks free capacity for the task.
        """
        if self._state.running.find(running.task) is not None:
            raise DuplicateTaskError(f"{running.task} is already running")
        self.pool.allocate(running.worker_id, running.resources)
        reservation = self._state.reservations.find(running.task)
        if reservation is not None:
            self._state.cancel_reservation(
                reservation, reservation.entry.not_before_ms, ""
            )
        entry = self._state.find_queued(running.task)
        if entry is not None:
            self._state.queue_of(entry).cancel(running.task)
        self._state.add_running(running)
        if running.kind is JobKind.GANG:
            self._state.gangs.record_adoption(running, entry.members if entry else ())

    def task_ended(
        self, task: TaskId, end_status: EndStatus, now_ms: int
    ) -> QueuedTask | None:
        """Record that a task has ended on its worker.

        A task that was stopped, refused or lost is requeued without counting an
        attempt. The end of a task that is not running here is ignored.

        Returns:
            The entry with the attempt counted if the work failed without having
            been stopped; the caller resubmits or abandons it. Otherwise None.
        """
        running = self._state.running.find(task)
        if running is None:
            return None
        stopping = self._state.remove_running(running)
        self._record_health(running, end_status, stopping, now_ms)
        is_dropped = stopping is not None and not stopping.is_requeued
        must_restart = end_status is not EndStatus.DONE and not is_dropped
        has_failed = end_status is EndStatus.FAILED and stopping is None
        if running.kind is JobKind.GANG:
            return self._record_member_end(running, must_restart, has_failed, now_ms)
        if not must_restart:
            return None
        if has_failed:
            return _with_attempt(running.to_queued())
        reason = f"requeued: {stopping.reason}" if stopping else ""
        reason = reason or REQUEUE_REASON_BY_END_STATUS[end_status]
        self._state.requeue(running.to_queued(), now_ms, reason)
        return None

    def step(self, now_ms: int, budget: int) -> list[Decision]:
        """Decide what starts and stops now.

        Args:
            now_ms: Current time.
            budget: Maximum number of starts; a gang may exceed it.
        """
        return SchedulingRound(self._state, now_ms, budget).run()

    def pop_stops(self) -> list[StopTask]:
        """Return the pending stops; unlike `step`, this starts nothing."""
        return self._state.pop_stops()

    def reason_of(self, task: TaskId) -> str:
        """Return the reason for a task's state, for operators; empty if unknown."""
        state = self._state
        running = state.running.find(task)
        if running is not None:
            stopping = state.running.stop_request_of(task)
            if stopping is not None:
                return f"stopping on {running.worker_id}: {stopping.reason}"
            return f"placed on {running.worker_id}"
        reservation = state.reservations.find(task)
        if reservation is not None:
            return reservation.reason
        if state.gangs.is_awaiting_restart(task):
            return "waiting: other members of its gang have not ended yet"
        entry = state.find_queued(task)
        if entry is None:
            return ""
        reason = state.queue_of(entry).reason_of(entry)
        return reason or state.requeue_reason_by_task.get(task, WAITING_IN_QUEUE)

    def _record_member_end(
        self, running: RunningTask, must_restart: bool, has_failed: bool, now_ms: int
    ) -> QueuedTask | None:
        end = self._state.gangs.record_end(running, must_restart, has_failed)
        if end.must_stop_others:
            for other in self._state.running.tasks_of_job(running.task.job_id):
                self._state.stop(other, StopMode.STOP, GANG_MEMBER_ENDED)
        if end.entry is None:
            return None
        if end.has_failed:
            return _with_attempt(end.entry)
        self._state.requeue(end.entry, now_ms, "requeued: a member of the gang ended")
        return None

    def _record_health(
        self,
        running: RunningTask,
        end_status: EndStatus,
        stopping: StopRequest | None,
        now_ms: int,
    ) -> None:
        health, job_id = self._state.health, running.task.job_id
        if end_status is EndStatus.DONE:
            health.record_success(running.worker_id, job_id, now_ms)
        elif stopping is None and end_status in (EndStatus.FAILED, EndStatus.REFUSED):
            health.record_failure(running.worker_id, job_id, now_ms)
        else:
            health.record_inconclusive_end(running.worker_id, now_ms)


def _with_attempt(entry: QueuedTask) -> QueuedTask:
    return attrs.evolve(entry, attempts=entry.attempts + 1)
