"""Messages between the owner of a shard and its workers."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.model import TaskId
from marjoramgrade.resources import Resources


@attrs.frozen
class TaskRun:
    """A task with its attempt, as a worker reports it."""

    task: TaskId
    attempt: int


@attrs.frozen
class TaskEnd:
    """The end of a task; `outcome` is `done`, `failed` or `stopped`."""

    task: TaskId
    attempt: int
    outcome: str


@attrs.frozen
class WorkerConnected(Message[None]):
    """A worker accepted the epoch and sent its inventory."""

    shard: str
    worker_id: str
    epoch: int
    running: tuple[TaskRun, ...]
    ends: tuple[TaskEnd, ...]


@attrs.frozen
class WorkerDisconnected(Message[None]):
    """The connection to a worker broke."""

    shard: str
    worker_id: str


@attrs.frozen
class WorkerHeartbeat(Message[None]):
    """A worker requested an extension of its lease.

    Attributes:
        shard: The shard whose owner grants the lease.
        worker_id: The worker.
        seq: Number of the heartbeat.
    """

    shard: str
    worker_id: str
    seq: int


@attrs.frozen
class TasksEnded(Message[None]):
    """Tasks ended on a worker."""

    shard: str
    worker_id: str
    ends: tuple[TaskEnd, ...]


@attrs.frozen
class TasksRefused(Message[None]):
    """A worker refused some starts; these attempts have not run."""

    shard: str
    worker_id: str
    runs: tuple[TaskRun, ...]
    reason: str


@attrs.frozen
class TaskStart:
    """What a worker needs to run a task."""

    task: TaskId
    attempt: int
    resources: Resources
    run_ms: int
    payload: str


@attrs.frozen
class WorkerBatch(Message[None]):
    """Everything that the owner sends to a worker in one step.

    Attributes:
        epoch: Epoch of the owner.
        starts: Tasks to start.
        stops: Tasks to stop.
        acks: Tasks whose ends are durable and may be discarded by the worker.
        granted_seq: Number of the heartbeat whose request is granted, or zero.
        lease_ms: Length of the granted lease, counted from when the worker sent the
            heartbeat.
    """

    epoch: int
    starts: tuple[TaskStart, ...] = ()
    stops: tuple[TaskId, ...] = ()
    acks: tuple[TaskId, ...] = ()
    granted_seq: int = 0
    lease_ms: int = 0
