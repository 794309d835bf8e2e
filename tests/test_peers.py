"""Tests of the discovery of other instances through the store."""

from __future__ import annotations

import asyncio

from marjoramgrade.actor import Actor, ActorGroup, handles
from marjoramgrade.controllers import peers as peers_module
from marjoramgrade.controllers.peers import PeersController
from marjoramgrade.controllers.tablereader import read_all_rows
from marjoramgrade.messages.peers import (
    CallOverLink,
    CallPeer,
    FinishCalls,
    Member,
    MembersChanged,
    TellOverLink,
    TellPeers,
)
from marjoramgrade.messages.rows import RowId, StoredRow
from marjoramgrade.messages.steps import GetStepJob
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.steprows import MEMBERS_TABLE, MemberRow, serialize_row
from tests.rowstore import MemoryRowStore

# More than two pages of rows.
INSTANCES = 1_100


class Subscriber(Actor):
    """Collects the members that it is told of."""

    def __init__(self):
        super().__init__()
        self.members = ()
        self.told = asyncio.Event()

    @handles(MembersChanged)
    async def _changed(self, message):
        self.members = message.members
        self.told.set()


def make_store():
    store = MemoryRowStore()
    for number in range(INSTANCES):
        instance_id = f"i{number:04}"
        row = RowId(MEMBERS_TABLE, "", instance_id)
        value = serialize_row(MemberRow(instance_id, "north", "127.0.0.1", 1, 1))
        store.rows[row] = StoredRow(row, value, 1)
    return store


class Link(Actor):
    """A link whose calls are answered when the test says so."""

    def __init__(self):
        super().__init__()
        self.answer = asyncio.get_running_loop().create_future()
        self.called = asyncio.Event()

    async def _wait(self):
        return await asyncio.shield(self.answer)

    @handles(CallOverLink)
    async def _call(self, message):
        self.called.set()
        return self.spawn(self._wait())

    @handles(FinishCalls)
    async def _finish(self, message):
        return self.spawn(self._wait())


def test_link_that_is_replaced_delivers_its_replies():
    # Guards against a job whose submission is cut off, and was then refused, because
    # the leader registered itself anew while the call was on its way.
    asyncio.run(check_replacement())


async def check_replacement():
    links = []

    def make_link(member):
        links.append(Link())
        return links[-1]

    async with ActorGroup() as group:
        store = MemoryRowStore()
        row = RowId(MEMBERS_TABLE, "", "other")
        value = serialize_row(MemberRow("other", "north", "127.0.0.1", 1, 1))
        store.rows[row] = StoredRow(row, value, 1)
        peers = PeersController(
            Member("own", "north", "127.0.0.1", 1), store, make_link
        )
        for actor in (store, peers):
            await group.add(actor)
        async with asyncio.timeout(10):
            while not links:
                await asyncio.sleep(0.01)
            call = CallPeer("other", GetStepJob("aa"), 2_000)
            reply = asyncio.ensure_future(peers.ask(call))
            await links[0].called.wait()
            store.rows[row] = StoredRow(row, value, store.version + 5)
            while len(links) < 2:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            links[0].answer.set_result("accepted")
            assert await reply == "accepted"
            assert not links[1].called.is_set()


def test_all_pages_of_a_table_are_read_once():
    # Guards against rows that are left out or read twice at the edge of a page.
    asyncio.run(check_pages())


async def check_pages():
    async with ActorGroup() as group:
        store = make_store()
        await group.add(store)
        rows = await read_all_rows(store, MEMBERS_TABLE, "")
        assert [row.row.key for row in rows] == sorted(r.key for r in store.rows)


def test_instances_behind_the_first_page_are_known():
    # Guards against instances that nobody sends heartbeats to or forwards to.
    asyncio.run(check_members())


async def check_members():
    async with ActorGroup() as group:
        store, subscriber = make_store(), Subscriber()
        own = Member("own", "north", "127.0.0.1", 1)
        peers = PeersController(own, store, lambda member: Actor())
        peers.connect((subscriber,))
        for actor in (store, subscriber, peers):
            await group.add(actor)
        async with asyncio.timeout(10):
            await subscriber.told.wait()
        assert len(subscriber.members) == INSTANCES + 1


class QuietLink(Link):
    @handles(TellOverLink)
    async def _tell(self, message):
        return None


class BreakingLink(Link):
    """A link that an unexpected error ends."""

    @handles(TellOverLink)
    async def _tell(self, message):
        raise UnicodeEncodeError("latin-1", "a", 0, 1, "an unexpected error")


def test_link_that_fails_is_replaced_and_the_others_stay(monkeypatch):
    # Guards against a process that ends because of the data of one other instance.
    monkeypatch.setattr(peers_module, "FIRST_REFRESH_MS", 20)
    links = {"odd": [], "other": []}

    def make_link(member):
        kind = BreakingLink if member.instance_id == "odd" else QuietLink
        links[member.instance_id].append(kind())
        return links[member.instance_id][-1]

    async def run():
        metrics = MemoryMetrics()
        async with ActorGroup() as group:
            store = MemoryRowStore()
            for name in links:
                row = RowId(MEMBERS_TABLE, "", name)
                value = serialize_row(MemberRow(name, "north", "127.0.0.1", 1, 1))
                store.rows[row] = StoredRow(row, value, 1)
            own = Member("own", "north", "127.0.0.1", 1)
            peers = PeersController(own, store, make_link, metrics=metrics)
            await group.add(store)
            await group.add(peers)
            async with asyncio.timeout(5):
                while not all(links.values()):
                    await asyncio.sleep(0.01)
                peers.tell(TellPeers(GetStepJob("a")))
                while len(links["odd"]) < 2:
                    await asyncio.sleep(0.01)
            assert len(links["other"]) == 1
            assert metrics.count_by_name["set_aside.peer"] == 1
            assert not group.failed.is_set()

    asyncio.run(run())
