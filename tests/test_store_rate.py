"""Tests of store calls that are refused for their rate."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from marjoramgrade.actor import Actor, handles
from marjoramgrade.controllers.storerouter import StoreRouter
from marjoramgrade.decisions.storeaccess.raterefusals import MAX_PAUSE_MS, RateBackoff
from marjoramgrade.errors import TableRateLimitedError, TableUnavailableError
from marjoramgrade.messages.peers import CallPeer, Member, MembersChanged
from marjoramgrade.messages.rows import (
    CommitRows,
    ReadRows,
    RowId,
    RowsCommitted,
    RowsPage,
    RowWrite,
)
from marjoramgrade.messages.steps import StorePathStatus
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.platform.store import StoreClient

WRITE = CommitRows((), (RowWrite(RowId("jobs", "p0", "a"), b"x"),))
READ = ReadRows("members", "")
REFUSED = TableRateLimitedError("the store responded with status 429")


class ScriptedStore(Actor):
    """A store that raises the scripted errors first, then the standing error if any."""

    def __init__(self, *script, standing=None):
        super().__init__()
        self.script = list(script)
        self.standing = standing
        self.calls = 0

    def respond(self, message):
        self.calls += 1
        error = self.script.pop(0) if self.script else self.standing
        if error is not None:
            raise error
        return RowsPage((), 1) if isinstance(message, ReadRows) else RowsCommitted(1)

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> object:
        return self.respond(message)

    @handles(CommitRows)
    async def _commit(self, message: CommitRows) -> object:
        return self.respond(message)


class Relays(Actor):
    """The other instances; each has its own view of the store."""

    def __init__(self, **store_by_id):
        super().__init__()
        self.store_by_id = store_by_id
        self.asked = []

    @handles(CallPeer)
    async def _call(self, message: CallPeer) -> object:
        self.asked.append(type(message.message))
        return self.store_by_id[message.instance_id].respond(message.message)


class Subscriber(Actor):
    def __init__(self):
        super().__init__()
        self.statuses = []

    @handles(StorePathStatus)
    async def _path(self, message: StorePathStatus) -> None:
        self.statuses.append(message)


@contextlib.asynccontextmanager
async def router_over(link, **store_by_id):
    relays, subscriber, metrics = Relays(**store_by_id), Subscriber(), MemoryMetrics()
    router = StoreRouter("own", link, relays, metrics)
    router.connect((subscriber,))
    async with contextlib.AsyncExitStack() as stack:
        for actor in (link, relays, subscriber, router):
            await actor.start()
            stack.push_async_callback(actor.stop)
        members = [Member(n, "z", "127.0.0.1", 1) for n in ("own", *store_by_id)]
        router.tell(MembersChanged(tuple(members)))
        yield router, relays, subscriber, metrics


async def keep_asking(router, duration_s):
    """Write and read until the time is over; return the number of served calls."""
    loop = asyncio.get_running_loop()
    end_s, served = loop.time() + duration_s, 0
    while loop.time() < end_s:
        for message in (WRITE, READ):
            with contextlib.suppress(TableUnavailableError):
                await router.ask(message)
                served += 1
        await asyncio.sleep(0.01)
    return served


def test_short_rate_refusals_are_neither_relayed_nor_a_lost_path():
    # Guards against a store over its rate that gets three more calls for each refused
    # one, and against a leader that hands over for it.
    async def run():
        link = ScriptedStore(REFUSED, REFUSED, REFUSED)
        async with router_over(link, b=ScriptedStore()) as (router, relays, sub, seen):
            await router.ask(WRITE)
            await router.ask(READ)
            assert relays.asked == []
            assert sub.statuses == []
            assert seen.count_by_name["store_refused.write"] == 3

    asyncio.run(run())


def test_store_that_refuses_all_instances_is_no_lost_path():
    # Guards against a leader that hands over while no other instance is served either.
    async def run():
        others = {n: ScriptedStore(standing=REFUSED) for n in "bcd"}
        link = ScriptedStore(standing=REFUSED)
        async with router_over(link, **others) as (router, relays, sub, _):
            assert not await keep_asking(router, 2.5)
            assert sub.statuses == []
            # At most three comparisons, from 0.3, 0.9 and 2.1 s on. Each ends after two
            # refused relays, since two served ones are needed of three.
            assert len(relays.asked) <= 6
            assert CommitRows not in relays.asked
            # Pauses of 100 to 200 ms after the first few.
            assert link.calls < 60

    asyncio.run(run())


def test_instance_that_alone_is_refused_uses_a_relay():
    # Guards against a leader that the store refuses with 429 for seconds and that
    # neither stores anything nor hands over.
    async def run():
        others = {n: ScriptedStore() for n in "bcd"}
        link = ScriptedStore(standing=REFUSED)
        async with router_over(link, **others) as (router, _, sub, seen):
            await asyncio.wait_for(router.ask(WRITE), 1)
            await asyncio.wait_for(router.ask(READ), 1)
            assert StorePathStatus(False, True) in sub.statuses
            assert seen.count_by_name["store_refused.alone"] == 1
            link.standing = None
            await asyncio.sleep(0.5)
            assert sub.statuses[-1] == StorePathStatus(True, False)

    asyncio.run(run())


def test_relay_that_is_refused_too_does_not_keep_a_refused_instance_waiting():
    # Guards against a refused instance that takes the refusal of one relay, which the
    # store rejects as well, for a refusal of all.
    async def run():
        others = {"b": ScriptedStore(standing=REFUSED)}
        others |= {n: ScriptedStore() for n in "cd"}
        link = ScriptedStore(standing=REFUSED)
        async with router_over(link, **others) as (router, _, sub, _):
            await asyncio.wait_for(router.ask(WRITE), 1)
            assert StorePathStatus(False, True) in sub.statuses

    asyncio.run(run())


def test_path_on_which_some_calls_are_served_is_not_lost():
    # Guards against taking a store that serves every third call for a path on which
    # this instance alone is refused.
    async def run():
        link = ScriptedStore(*(200 * [REFUSED, REFUSED, None]))
        async with router_over(link, b=ScriptedStore()) as (router, _, sub, _):
            assert await keep_asking(router, 1.5) > 10
            assert sub.statuses == []

    asyncio.run(run())


@pytest.mark.parametrize(("status", "is_rate"), [(429, True), (503, False)])
def test_only_status_429_is_a_rate_refusal(status, is_rate):
    # Guards against backing off on a path that another instance should be asked for.
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreClient(f"127.0.0.1:{port}")
        async with server:
            await client.start()
            with pytest.raises(TableUnavailableError) as raised:
                await client.ask(READ)
            await client.stop()
        assert isinstance(raised.value, TableRateLimitedError) == is_rate

    asyncio.run(run())


def test_pauses_grow_with_consecutive_refusals_and_differ_between_instances():
    # Guards against instances that are refused together and return together.
    backoffs = [RateBackoff(rng=random.Random(seed)) for seed in range(100)]
    highest = []
    for refusal in range(1, 8):
        for backoff in backoffs:
            backoff.record_refused(1_000 * refusal, 1_000 * refusal)
        pauses = {b.pause_ms(1_000 * refusal) for b in backoffs}
        assert len(pauses) > 5
        assert min(pauses) >= max(pauses) // 2
        highest.append(max(pauses))
    assert highest == sorted(highest)
    assert highest[-1] <= MAX_PAUSE_MS
    backoffs[0].record_served()
    assert backoffs[0].pause_ms(8_000) == 0


def test_refusals_of_calls_that_were_sent_together_count_once():
    # Guards against the longest pause after one burst of an instance.
    backoff = RateBackoff(rng=random.Random(1))
    for _ in range(20):
        backoff.record_refused(1_000, 1_005)
    assert backoff.refusals == 1
