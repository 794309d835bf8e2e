"""Tests of messages that go to all peers, such as heartbeats."""

from __future__ import annotations

import asyncio
import contextlib

from tornado.testing import bind_unused_port

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade.actor import Actor, ActorGroup, handles
from marjoramgrade.adapters.peerlink import PeerLink, PeerServer, serialize_notice
from marjoramgrade.controllers.peers import PeersController
from marjoramgrade.messages.peers import (
    InboundMessage,
    Member,
    TellOverLink,
    TellPeers,
)
from marjoramgrade.messages.rows import RowId, StoredRow
from marjoramgrade.messages.steps import LeaderBeat
from marjoramgrade.steprows import MEMBERS_TABLE, MemberRow, serialize_row
from tests.rowstore import MemoryRowStore

PEERS = 7


class Receiver(Actor):
    def __init__(self):
        super().__init__()
        self.received = []

    @handles(InboundMessage)
    async def _inbound(self, message: InboundMessage) -> None:
        self.received.append(message.message)


class CountingLink(PeerLink):
    """A link that counts its background tasks."""

    def __init__(self, *args):
        super().__init__(*args)
        self.tasks = 0

    def spawn(self, work):
        self.tasks += 1
        return super().spawn(work)


async def wait_until(condition):
    async with asyncio.timeout(4):
        while not condition():
            await asyncio.sleep(0.01)


def test_message_to_all_peers_is_serialized_once_and_needs_no_task():
    # Guards against a round of heartbeats that serializes the same message and starts a
    # task for each of 300 peers.
    async def run():
        serialized, links = [], []

        def serialize(message):
            serialized.append(message)
            return serialize_notice(message)

        def make_link(member):
            links.append(CountingLink("own", "127.0.0.1", member))
            return links[-1]

        receiver = Receiver()
        socket, port = bind_unused_port()
        server = PeerServer(receiver)
        server.add_socket(socket)
        store = MemoryRowStore()
        for number in range(PEERS):
            member = MemberRow(f"p{number}", "north", "127.0.0.1", port, 1)
            row = RowId(MEMBERS_TABLE, "", member.instance_id)
            store.rows[row] = StoredRow(row, serialize_row(member), 1)
        own = Member("own", "north", "127.0.0.1", 1)
        peers = PeersController(own, store, make_link, serialize)
        async with ActorGroup() as group:
            await group.add(receiver)
            group.push_async_callback(server.close)
            for actor in (store, peers):
                await group.add(actor)
            await wait_until(lambda: len(links) == PEERS)
            peers.tell(TellPeers(LeaderBeat(1, "own")))
            await wait_until(lambda: len(receiver.received) == PEERS)
            before = sum(link.tasks for link in links)
            for epoch in range(2, 12):
                peers.tell(TellPeers(LeaderBeat(epoch, "own")))
            await wait_until(lambda: len(receiver.received) == 11 * PEERS)
            assert sum(link.tasks for link in links) == before
            assert len(serialized) == 11

    asyncio.run(run())


def test_messages_keep_their_order_while_the_connection_is_made():
    # Guards against a heartbeat that arrives after the notice that its leader has left.
    async def run():
        receiver = Receiver()
        socket, port = bind_unused_port()
        server = PeerServer(receiver)
        server.add_socket(socket)
        link = PeerLink("b", "127.0.0.1", Member("a", "north", "127.0.0.1", port))
        async with contextlib.AsyncExitStack() as stack:
            for actor in (receiver, link):
                await actor.start()
                stack.push_async_callback(actor.stop)
            stack.push_async_callback(server.close)
            beats = [LeaderBeat(number, "b") for number in range(1, 201)]
            for beat in beats:
                link.tell(TellOverLink(beat))
                await asyncio.sleep(0)
            await wait_until(lambda: len(receiver.received) == len(beats))
            assert receiver.received == beats

    asyncio.run(run())
