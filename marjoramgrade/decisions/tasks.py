"""Queued and running tasks of a shard scheduler."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from marjoramgrade.model import Job, JobKind, Outcome, Priority, TaskId
from marjoramgrade.resources import Resources


@attrs.frozen(eq=False)
class QueuedTask:
    """A task, or a whole gang, that waits for capacity.

    Attributes:
        task: The task; for a gang, its first member.
        team: The team that the resources are charged to.
        kind: The kind of work.
        priority: Scheduling priority; urgent work may preempt other work.
        resources: Resources that each member needs.
        queued_ms: Time at which the work was first queued, in ms; unchanged by
            requeueing.
        not_before_ms: Earliest start time, in ms.
        attempts: Number of runs that failed so far.
        gang_size: Number of members that start together; 1 for a single task.
        members: Task indices of the gang; empty for a single task.
        spread_racks: Whether the members must use different racks.
    """

    task: TaskId
    team: str
    kind: JobKind
    priority: Priority
    resources: Resources
    queued_ms: int
    not_before_ms: int = 0
    attempts: int = 0
    gang_size: int = 1
    members: tuple[int, ...] = ()
    spread_racks: bool = False

    @property
    def is_urgent(self) -> bool:
        """Whether the work is scheduled before all other work."""
        return self.priority is Priority.URGENT

    @property
    def total(self) -> Resources:
        """The resources that all members need together."""
        if self.gang_size == 1:
            return self.resources
        return self.resources.scaled(self.gang_size, 1)

    def iter_tasks(self) -> Iterator[TaskId]:
        """Yield the tasks that start together."""
        if self.members:
            for index in self.members:
                yield TaskId(self.task.job_id, index)
        else:
            yield self.task


@attrs.frozen(eq=False)
class RunningTask:
    """A task that was started on a worker and has not ended.

    Attributes:
        task: The task.
        team: The team that the resources are charged to.
        kind: The kind of work.
        priority: Scheduling priority.
        resources: Resources allocated on the worker.
        worker_id: The worker.
        started_ms: Start time, in ms.
        queued_ms: Time at which the work was first queued, in ms.
        attempts: Number of runs that failed before this run.
        spread_racks: Whether the members of its gang must use different racks.
    """

    task: TaskId
    team: str
    kind: JobKind
    priority: Priority
    resources: Resources
    worker_id: str
    started_ms: int
    queued_ms: int = 0
    attempts: int = 0
    spread_racks: bool = False

    @classmethod
    def from_queued(
        cls, entry: QueuedTask, task: TaskId, worker_id: str, now_ms: int
    ) -> RunningTask:
        """Return the running task for a member of an entry that starts now."""
        return cls(
            task,
            entry.team,
            entry.kind,
            entry.priority,
            entry.resources,
            worker_id,
            now_ms,
            entry.queued_ms,
            entry.attempts,
            entry.spread_racks,
        )

    def to_queued(self, members: tuple[int, ...] = ()) -> QueuedTask:
        """Return a queue entry that restarts this task or these gang members."""
        index = members[0] if members else self.task.index
        return QueuedTask(
            TaskId(self.task.job_id, index),
            self.team,
            self.kind,
            self.priority,
            self.resources,
            self.queued_ms,
            attempts=self.attempts,
            gang_size=max(1, len(members)),
            members=members,
            spread_racks=self.spread_racks,
        )


def queued_tasks_from(job: Job, now_ms: int) -> list[QueuedTask]:
    """Return the queue entries for the open tasks of a job; a gang has one entry."""
    spec = job.spec
    open_indices = tuple(
        index
        for index, outcome in enumerate(job.outcomes)
        if outcome == Outcome.OPEN.value
    )
    if not open_indices:
        return []
    if spec.kind is JobKind.GANG:
        return [_entry_from(job, open_indices[0], now_ms, open_indices)]
    return [_entry_from(job, index, now_ms, ()) for index in open_indices]


def _entry_from(
    job: Job, index: int, now_ms: int, members: tuple[int, ...]
) -> QueuedTask:
    spec = job.spec
    return QueuedTask(
        TaskId(job.job_id, index),
        spec.team,
        spec.kind,
        spec.priority,
        spec.resources,
        queued_ms=now_ms,
        gang_size=max(1, len(members)),
        members=members,
        spread_racks=spec.spread_racks,
    )


def running_task_from(
    job: Job, task: TaskId, worker_id: str, now_ms: int
) -> RunningTask:
    """Return a task that a worker reports as running.

    Its start and queueing times are unknown, so both are set to `now_ms`.
    """
    spec = job.spec
    return RunningTask(
        task,
        spec.team,
        spec.kind,
        spec.priority,
        spec.resources,
        worker_id,
        now_ms,
        queued_ms=now_ms,
        spread_racks=spec.spread_racks,
    )
