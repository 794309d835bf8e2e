"""Tests of the connections between entry instances."""

from __future__ import annotations

import asyncio
import contextlib

from tornado.testing import bind_unused_port

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade.actor import Actor, handles
from marjoramgrade.adapters.peerlink import PeerLink, PeerServer
from marjoramgrade.messages.peers import (
    InboundMessage,
    Member,
    PeerDisconnected,
    TellOverLink,
)
from marjoramgrade.messages.steps import LeaderBeat


class Receiver(Actor):
    def __init__(self):
        super().__init__()
        self.received = []

    @handles(InboundMessage)
    async def _inbound(self, message: InboundMessage) -> None:
        self.received.append(message.message)

    @handles(PeerDisconnected)
    async def _lost(self, message: PeerDisconnected) -> None:
        self.received.append(message)


async def wait_until(condition):
    async with asyncio.timeout(4):
        while not condition():
            await asyncio.sleep(0.01)


def test_end_of_an_incoming_connection_is_reported():
    # Guards against a leader failure that is detected only by missing heartbeats,
    # although its connection has closed.
    async def run():
        receiver = Receiver()
        socket, port = bind_unused_port()
        server = PeerServer(receiver, receiver)
        link = PeerLink("b", "127.0.0.1", Member("a", "north", "127.0.0.1", port))
        async with contextlib.AsyncExitStack() as stack:
            await receiver.start()
            stack.push_async_callback(receiver.stop)
            server.add_socket(socket)
            stack.push_async_callback(server.close)
            await link.start()
            link.tell(TellOverLink(LeaderBeat(1, "b")))
            await wait_until(lambda: receiver.received == [LeaderBeat(1, "b")])
            await link.stop()
            await wait_until(lambda: PeerDisconnected("b") in receiver.received)

    asyncio.run(run())
