"""What a scheduler decides and what it is told."""

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
    """How a task ended, as far as the scheduler must know.

    `STOPPED` follows a stop or a checkpoint. `REFUSED` means that the worker did
    not start the task, `LOST` that the worker went away with it.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    REFUSED = "refused"
    LOST = "lost"


@attrs.frozen
class StartTask:
    """Start a task on a worker, where its resources are reserved."""

    task: TaskId
    worker_id: str
    resources: Resources


@attrs.frozen
class StopTask:
    """End a task on a worker; its resources stay reserved until it has ended."""

    task: TaskId
    worker_id: str
    mode: StopMode
    reason: str


Decision = StartTask | StopTask
