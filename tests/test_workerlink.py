"""Tests of the connection from a shard's owner to one worker."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application
from tornado.websocket import WebSocketHandler

from marjoramgrade.actor import Actor, handles
from marjoramgrade.adapters import workerlink
from marjoramgrade.adapters.workerlink import WorkerLink
from marjoramgrade.messages.workers import WorkerDisconnected, WorkerHeartbeat
from marjoramgrade.model import Instance, InstanceKind

NO_WEB_SOCKET = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 301 x\r\nLocation: http://fe80::1%..:9/\r\n\r\n",
    b"HTTP/1.1 101 x\r\nUpgrade: other\r\n\r\n",
    b"HTTP/1.1 101 x\r\n\r\n",
    b"no HTTP\r\n\r\n",
    b"",
]
HEARTBEAT = '{"type": "heartbeat", "seq": 3}'
ODD_MESSAGES = [
    '{"type": "heartbeat", "seq": 1e999}',
    '{"type": "heartbeat", "seq": Infinity}',
    '{"type": "heartbeat", "seq": "\\ud800"}',
    '{"type": "inventory", "epoch": {}, "running": 7, "ends": null}',
    '{"type": "ends", "ends": [{"task": "\\ud800/1", "attempt": [], "outcome": 7}]}',
    '{"type": ["heartbeat"]}',
    "[" * 60_000 + "]" * 60_000,
    "9" * 5_000,
    b"\xff\xfe",
]


class Receiver(Actor):
    def __init__(self):
        super().__init__()
        self.received = []

    @handles(WorkerDisconnected)
    async def _disconnected(self, message: WorkerDisconnected) -> None:
        self.received.append(message)

    @handles(WorkerHeartbeat)
    async def _heartbeat(self, message: WorkerHeartbeat) -> None:
        self.received.append(message)


@contextlib.asynccontextmanager
async def linked_to(port, monkeypatch):
    """Yield what a link to a worker reports; an error that ends it fails the test."""
    monkeypatch.setattr(workerlink, "RECONNECT_INTERVAL_MS", 10)
    receiver, failures = Receiver(), []
    found = Instance("w", InstanceKind.WORKER, "north", "127.0.0.1", port)
    link = WorkerLink("shard", 1, found, receiver)
    link.on_fatal = failures.append
    await receiver.start()
    await link.start()
    try:
        yield receiver.received
    finally:
        await link.stop()
        await receiver.stop()
    assert not failures


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("answer", NO_WEB_SOCKET)
def test_server_that_is_no_worker_ends_no_link(answer, monkeypatch):
    # Guards against a WebSocketError of a server that answers as another service does,
    # which ended the process that owns the shard.
    connections = []

    async def respond(reader, writer):
        connections.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with linked_to(port, monkeypatch):
            await until(lambda: len(connections) >= 3)
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("text", ODD_MESSAGES, ids=range(len(ODD_MESSAGES)))
def test_odd_message_of_a_worker_closes_only_its_connection(text, monkeypatch):
    # Guards against an OverflowError or RecursionError on a message, which ended the
    # process that owns the shard.
    connections = []

    class Worker(WebSocketHandler):
        def open(self):
            connections.append(self)
            # The first connection sends an odd message, the next one a heartbeat.
            self.write_message(text if len(connections) == 1 else HEARTBEAT)

        def on_message(self, message):
            return None

    async def run():
        socket, port = bind_unused_port()
        server = HTTPServer(Application([("/v1/worker", Worker)]))
        server.add_socket(socket)
        async with linked_to(port, monkeypatch) as received:
            await until(lambda: WorkerHeartbeat("shard", "w", 3) in received)
            assert WorkerDisconnected("shard", "w") in received
        server.stop()

    asyncio.run(run())
