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
    """A task that was told to end.

    Attributes:
        is_requeued: Whether it goes back to the queue when it has ended.
        reason: Why, for operators.
    """

    is_requeued: bool
    reason: str


K = TypeVar("K")
T = TypeVar("T")
GroupKey = tuple[str, JobKind, Priority]


class RunningTasks:
    """Running tasks by job, by worker and by team, kind and priority."""

    def __init__(self) -> None:
        self._tasks_by_job: dict[str, dict[int, RunningTask]] = {}
        self._tasks_by_worker: dict[str, dict[TaskId, RunningTask]] = {}
        # Dictionaries keep the order of insertion, so that the newest task of a
        # group is found without a scan.
        self._tasks_by_group: dict[GroupKey, dict[TaskId, RunningTask]] = {}
        self._stopping_by_task: dict[TaskId, StopRequest] = {}
        self._stopping_by_worker: dict[str, Resources] = {}
        self._services_by_worker: dict[str, Resources] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, running: RunningTask) -> None:
        """Add a task that is not in the book."""
        task = running.task
        self._tasks_by_job.setdefault(task.job_id, {})[task.index] = running
        self._tasks_by_worker.setdefault(running.worker_id, {})[task] = running
        self._tasks_by_group.setdefault(_group_of(running), {})[task] = running
        if running.kind is JobKind.SERVICE:
            _change(self._services_by_worker, running, 1)
        self._length += 1

    def remove(self, running: RunningTask) -> StopRequest | None:
        """Remove a task and return what was asked of it, if it was told to end."""
        task = running.task
        _pop(self._tasks_by_job, task.job_id, task.index)
        _pop(self._tasks_by_worker, running.worker_id, task)
        _pop(self._tasks_by_group, _group_of(running), task)
        if running.kind is JobKind.SERVICE:
            _change(self._services_by_worker, running, -1)
        self._length -= 1
        stopping = self._stopping_by_task.pop(task, None)
        if stopping is not None:
            _change(self._stopping_by_worker, running, -1)
        return stopping

    def record_stop_request(self, running: RunningTask, stopping: StopRequest) -> None:
        """Note that a running task was told to end."""
        if running.task not in self._stopping_by_task:
            _change(self._stopping_by_worker, running, 1)
        self._stopping_by_task[running.task] = stopping

    def clear_stop_request(self, running: RunningTask) -> None:
        """Undo `record_stop_request` for a task that was not told to end after all."""
        del self._stopping_by_task[running.task]
        _change(self._stopping_by_worker, running, -1)

    def find(self, task: TaskId) -> RunningTask | None:
        """Return a running task, or None."""
        return self._tasks_by_job.get(task.job_id, {}).get(task.index)

    def stop_request_of(self, task: TaskId) -> StopRequest | None:
        """Return what was asked of a task that was told to end, or None."""
        return self._stopping_by_task.get(task)

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
        """Yield the tasks of a group that were not told to end, newest first."""
        group = self._tasks_by_group.get((team, kind, priority), {})
        for running in reversed(group.values()):
            if running.task not in self._stopping_by_task:
                yield running

    def stopping_resources_on(self, worker_id: str) -> Resources:
        """Return what the tasks that were told to end will free on a worker."""
        return self._stopping_by_worker.get(worker_id, ZERO_RESOURCES)

    def service_resources_on(self, worker_id: str) -> Resources:
        """Return what services use on a worker; they do not end by themselves."""
        return self._services_by_worker.get(worker_id, ZERO_RESOURCES)


def sum_of(tasks: Iterable[RunningTask]) -> Resources:
    """Return what some running tasks use together."""
    total = ZERO_RESOURCES
    for running in tasks:
        total = total + running.resources
    return total


def _group_of(running: RunningTask) -> GroupKey:
    return (running.team, running.kind, running.priority)


def _pop(book: dict[K, dict[T, RunningTask]], key: K, item: T) -> None:
    group = book[key]
    del group[item]
    if not group:
        del book[key]


def _change(book: dict[str, Resources], running: RunningTask, sign: int) -> None:
    amount = book.get(running.worker_id, ZERO_RESOURCES)
    if sign > 0:
        book[running.worker_id] = amount + running.resources
        return
    rest = amount - running.resources
    if rest == ZERO_RESOURCES:
        book.pop(running.worker_id, None)
    else:
        book[running.worker_id] = rest
