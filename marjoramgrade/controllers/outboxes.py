"""Messages that the owner of a shard has not yet sent to its workers."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.sessions import WorkerSessions
from marjoramgrade.messages.workers import TaskStart, WorkerBatch
from marjoramgrade.model import TaskId


@attrs.define
class _Outbox:
    """Content of the next batch to one worker.

    Attributes:
        starts: Tasks to start.
        stops: Tasks to stop.
        acks: Tasks whose reported end is acknowledged.
    """

    starts: list[TaskStart] = attrs.field(factory=list)
    stops: list[TaskId] = attrs.field(factory=list)
    acks: list[TaskId] = attrs.field(factory=list)


class Outboxes:
    """Unsent starts, stops and acknowledgements by worker."""

    def __init__(self) -> None:
        self._outbox_by_worker: dict[str, _Outbox] = {}

    def start(self, worker_id: str, start: TaskStart) -> None:
        """Add a task to start."""
        self._outbox_of(worker_id).starts.append(start)

    def stop(self, worker_id: str, task: TaskId) -> None:
        """Add a task to stop."""
        self._outbox_of(worker_id).stops.append(task)

    def acknowledge(self, worker_id: str, task: TaskId) -> None:
        """Add a task whose end the worker may discard."""
        self._outbox_of(worker_id).acks.append(task)

    def discard_unsent_starts(self, worker_id: str) -> None:
        """Discard the starts that were not sent before the connection broke."""
        self._outbox_of(worker_id).starts.clear()

    def pop_batches(
        self, epoch: int, sessions: WorkerSessions
    ) -> dict[str, WorkerBatch]:
        """Remove and return the batches of connected workers."""
        batch_by_worker = {}
        for worker_id in list(self._outbox_by_worker):
            if not sessions.is_connected(worker_id):
                continue
            outbox = self._outbox_by_worker.pop(worker_id)
            batch_by_worker[worker_id] = WorkerBatch(
                epoch, tuple(outbox.starts), tuple(outbox.stops), tuple(outbox.acks)
            )
        return batch_by_worker

    def _outbox_of(self, worker_id: str) -> _Outbox:
        return self._outbox_by_worker.setdefault(worker_id, _Outbox())
