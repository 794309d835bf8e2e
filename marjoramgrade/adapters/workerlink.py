"""The connection from a shard's owner to one worker: a WebSocket with JSON."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from tornado.httpclient import HTTPClientError
from tornado.websocket import (
    WebSocketClientConnection,
    WebSocketClosedError,
    WebSocketError,
    websocket_connect,
)

from marjoramgrade import jsontext
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.documents import serialize_resources
from marjoramgrade.errors import InvalidInputError, ProtocolError, ShuttingDownError
from marjoramgrade.messages.workers import (
    TaskEnd,
    TaskRun,
    TasksEnded,
    TasksRefused,
    TaskStart,
    WorkerBatch,
    WorkerConnected,
    WorkerDisconnected,
    WorkerHeartbeat,
)
from marjoramgrade.model import Instance, TaskId

CONNECT_TIMEOUT_MS = 1_000
RECONNECT_INTERVAL_MS = 500
MAX_MESSAGE_BYTES = 1_048_576
_PARSE_ERRORS = (
    ArithmeticError,
    AttributeError,
    InvalidInputError,
    LookupError,
    TypeError,
    ValueError,
)


class WorkerLink(Actor):
    """Maintains a connection to one worker and translates messages both ways.

    Args:
        shard: Shard that the worker belongs to.
        epoch: Epoch of the shard's owner, sent with every message.
        worker: The worker's entry in the instance list.
        receiver: The shard's controller, which receives the worker's messages.
    """

    def __init__(
        self, shard: str, epoch: int, worker: Instance, receiver: Actor
    ) -> None:
        super().__init__()
        self._shard = shard
        self._epoch = epoch
        self._worker = worker
        self._receiver = receiver
        self._connection: WebSocketClientConnection | None = None

    async def on_start(self) -> None:
        """Start the task that connects and reconnects."""
        self.spawn_critical(self._maintain_connection())

    async def on_stop(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()

    @handles(WorkerBatch)
    async def _send(self, batch: WorkerBatch) -> None:
        if self._connection is None:
            return
        try:
            for document in _serialize_batch(batch):
                # The reading task reports a closed connection.
                self._connection.write_message(json.dumps(document))
        except WebSocketClosedError:
            return

    async def _maintain_connection(self) -> None:
        while True:
            try:
                await self._serve_connection()
            except (OSError, HTTPClientError, WebSocketError, ProtocolError):
                pass
            finally:
                self._close_connection()
            await asyncio.sleep(RECONNECT_INTERVAL_MS / 1000)

    async def _serve_connection(self) -> None:
        connection = await websocket_connect(
            f"ws://{_url_host(self._worker.host)}:{self._worker.port}/v1/worker",
            connect_timeout=CONNECT_TIMEOUT_MS / 1000,
            max_message_size=MAX_MESSAGE_BYTES,
        )
        self._connection = connection
        await connection.write_message(
            json.dumps({"type": "hello", "epoch": self._epoch})
        )
        while True:
            text = await connection.read_message()
            if text is None:
                return
            self._receiver.tell(self._parse(text))

    def _close_connection(self) -> None:
        if self._connection is None:
            return
        self._connection.close()
        self._connection = None
        with contextlib.suppress(ShuttingDownError):
            self._receiver.tell(
                WorkerDisconnected(self._shard, self._worker.instance_id)
            )

    def _parse(self, text: str | bytes) -> Message[None]:
        worker_id = self._worker.instance_id
        try:
            body = jsontext.parse_text(text, max_bytes=MAX_MESSAGE_BYTES)
            if body["type"] == "heartbeat":
                return WorkerHeartbeat(self._shard, worker_id, int(body["seq"]))
            if body["type"] == "ends":
                return TasksEnded(self._shard, worker_id, _parse_ends(body["ends"]))
            if body["type"] == "refused":
                runs = _parse_runs(body["runs"])
                return TasksRefused(self._shard, worker_id, runs, body["reason"])
            if body["type"] == "inventory":
                return WorkerConnected(
                    self._shard,
                    worker_id,
                    int(body["epoch"]),
                    _parse_runs(body["running"]),
                    _parse_ends(body["ends"]),
                )
        except _PARSE_ERRORS as error:
            raise ProtocolError(f"invalid message from {worker_id}: {error}") from error
        raise ProtocolError(f"unknown message type from {worker_id}")


def _url_host(host: str) -> str:
    return f"[{host}]" if ":" in host else host


def _parse_runs(documents: list[dict[str, Any]]) -> tuple[TaskRun, ...]:
    return tuple(
        TaskRun(TaskId.parse(document["task"]), int(document["attempt"]))
        for document in documents
    )


def _parse_ends(documents: list[dict[str, Any]]) -> tuple[TaskEnd, ...]:
    return tuple(
        TaskEnd(
            TaskId.parse(document["task"]),
            int(document["attempt"]),
            str(document["outcome"]),
        )
        for document in documents
    )


def _serialize_start(start: TaskStart) -> dict[str, Any]:
    return {
        "task": str(start.task),
        "attempt": start.attempt,
        "resources": serialize_resources(start.resources),
        "run_ms": start.run_ms,
        "payload": start.payload,
    }


def _serialize_batch(batch: WorkerBatch) -> list[dict[str, Any]]:
    documents: list[dict[str, Any]] = []
    if batch.granted_seq:
        documents.append(
            {"type": "grant", "seq": batch.granted_seq, "lease_ms": batch.lease_ms}
        )
    if batch.stops:
        documents.append({"type": "stop", "tasks": [str(task) for task in batch.stops]})
    if batch.starts:
        starts = [_serialize_start(start) for start in batch.starts]
        documents.append({"type": "start", "tasks": starts})
    if batch.acks:
        documents.append({"type": "ack", "ends": [str(task) for task in batch.acks]})
    return [{**document, "epoch": batch.epoch} for document in documents]
