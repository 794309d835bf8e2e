"""The running tasks of one shard."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeVar

import attrs

from marjoramgrade.decisions.tasks import RunningTask
from marjoramgrade.model import JobKind, Priority, TaskId
from marjoramgrade.resources import ZERO_RESOURCES, Resources


@attrs.frozen
class StopRequest:
    """A request that a running task end.

    Attributes:
        is_requeued: Whether the task is requeued after it has ended.
        reason: Reason shown to operators.
    """

    is_requeued: bool
    reason: str


K = TypeVar("K")
T = TypeVar("T")
GroupKey = tuple[str, JobKind, Priority]


class RunningTasks:
    """Running tasks, indexed by job, by worker and by team, kind and priority."""

    def __init__(self) -> None:
        self._tasks_by_job: dict[str, dict[int, RunningTask]] = {}
        self._tasks_by_worker: dict[str, dict[TaskId, RunningTask]] = {}
        # Dictionaries preserve insertion order, so the newest task of a group is
        # found without a scan.
        self._tasks_by_group: dict[GroupKey, dict[TaskId, RunningTask]] = {}
        self._stop_request_by_task: dict[TaskId, StopRequest] = {}
        self._stopping_resources_by_worker: dict[str, Resources] = {}
        self._service_resources_by_worker: dict[str, Resources] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, running: RunningTask) -> None:
        """Add a task that has not been added before."""
        task = running.task
        self._tasks_by_job.setdefault(task.job_id, {})[task.index] = running
        self._tasks_by_worker.setdefault(running.worker_id, {})[task] = running
        self._tasks_by_group.setdefault(_group_of(running), {})[task] = running
        if running.kind is JobKind.SERVICE:
            _adjust_resources(self._service_resources_by_worker, running, 1)
        self._length += 1

    def remove(self, running: RunningTask) -> StopRequest | None:
        """Remove a task and return its stop request, or None."""
        task = running.task
        _pop(self._tasks_by_job, task.job_id, task.index)
        _pop(self._tasks_by_worker, running.worker_id, task)
        _pop(self._tasks_by_group, _group_of(running), task)
        if running.kind is JobKind.SERVICE:
            _adjust_resources(self._service_resources_by_worker, running, -1)
        self._length -= 1
        stopping = self._stop_request_by_task.pop(task, None)
        if stopping is not None:
            _adjust_resources(self._stopping_resources_by_worker, running, -1)
        return stopping

    def record_stop_request(self, running: RunningTask, stopping: StopRequest) -> None:
        """Record that a running task has been requested to stop."""
        if running.task not in self._stop_request_by_task:
            _adjust_resources(self._stopping_resources_by_worker, running, 1)
        self._stop_request_by_task[running.task] = stopping

    def clear_stop_request(self, running: RunningTask) -> None:
        """Undo `record_stop_request` for a task whose stop was not sent."""
        del self._stop_request_by_task[running.task]
        _adjust_resources(self._stopping_resources_by_worker, running, -1)

    def find(self, task: TaskId) -> RunningTask | None:
        """Return a running task, or None."""
        return self._tasks_by_job.get(task.job_id, {}).get(task.index)

    def stop_request_of(self, task: TaskId) -> StopRequest | None:
        """Return the stop request of a task, or None."""
        return self._stop_request_by_task.get(task)

    def tasks_of_job(self, job_id: str) -> list[RunningTask]:
        """Return the running tasks of a job."""
        return list(self._tasks_by_job.get(job_id, {}).values())

    def tasks_of_worker(self, worker_id: str) -> list[RunningTask]:
        """Return the running tasks of a worker, oldest first."""
        return list(self._tasks_by_worker.get(worker_id, {}).values())

    def teams(self) -> set[str]:
        """Return the teams with running tasks."""
        return {team for team, _, _ in self._tasks_by_group}

    def iter_newest(
        self, team: str, kind: JobKind, priority: Priority
    ) -> Iterator[RunningTask]:
        """Yield the tasks of a group without a stop request, newest first."""
        group = self._tasks_by_group.get((team, kind, priority), {})
        for running in reversed(group.values()):
            if running.task not in self._stop_request_by_task:
                yield running

    def stopping_resources_on(self, worker_id: str) -> Resources:
        """Return the resources that stopping tasks will free on a worker."""
        return self._stopping_resources_by_worker.get(worker_id, ZERO_RESOURCES)

    def service_resources_on(self, worker_id: str) -> Resources:
        """Return the resources used by services, which do not end by themselves."""
        return self._service_resources_by_worker.get(worker_id, ZERO_RESOURCES)


def sum_of(tasks: Iterable[RunningTask]) -> Resources:
    """Return the sum of the resources of running tasks."""
    total = ZERO_RESOURCES
    for running in tasks:
        total = total + running.resources
    return total


def _group_of(running: RunningTask) -> GroupKey:
    return (running.team, running.kind, running.priority)


def _pop(groups: dict[K, dict[T, RunningTask]], key: K, item: T) -> None:
    group = groups[key]
    del group[item]
    if not group:
        del groups[key]


def _adjust_resources(
    resources_by_worker: dict[str, Resources], running: RunningTask, sign: int
) -> None:
    """Add a task's resources to those of its worker, or subtract them."""
    amount = resources_by_worker.get(running.worker_id, ZERO_RESOURCES)
    if sign > 0:
        resources_by_worker[running.worker_id] = amount + running.resources
        return
    remaining = amount - running.resources
    if remaining == ZERO_RESOURCES:
        resources_by_worker.pop(running.worker_id, None)
    else:
        resources_by_worker[running.worker_id] = remaining
