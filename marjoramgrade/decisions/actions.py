"""Decisions of a scheduler and the task end statuses reported to it."""

from __future__ import annotations

import enum

import attrs

from marjoramgrade.model import TaskId
from marjoramgrade.resources import Resources


class StopMode(enum.Enum):
    """How a worker ends a task."""

    CHECKPOINT = "checkpoint"
    STOP = "stop"


class EndStatus(enum.Enum):
    """How a task ended, in the distinctions that the scheduler needs.

    `STOPPED` follows a stop or a checkpoint. `REFUSED` means that the worker did
    not start the task, `LOST` that the worker was lost while the task ran on it.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    REFUSED = "refused"
    LOST = "lost"


@attrs.frozen
class StartTask:
    """Start a task on a worker; its resources are already allocated there."""

    task: TaskId
    worker_id: str
    resources: Resources


@attrs.frozen
class StopTask:
    """End a task on a worker; its resources stay allocated until it has ended."""

    task: TaskId
    worker_id: str
    mode: StopMode
    reason: str


Decision = StartTask | StopTask
