"""Tests of the discovery of other instances through the store."""

from __future__ import annotations

import asyncio

from marjoramgrade.actor import Actor, ActorGroup, handles
from marjoramgrade.controllers.peers import PeersController
from marjoramgrade.controllers.tablereader import read_all_rows
from marjoramgrade.messages.peers import Member, MembersChanged
from marjoramgrade.messages.rows import RowId, StoredRow
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
