"""Tests of large documents on slow links."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

import attrs
import pytest

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers import commits, storerouter, transfers
from marjoramgrade.controllers.commits import (
    CommitController,
    SaveRows,
    max_batch_bytes,
)
from marjoramgrade.controllers.directory import DirectoryController, DirectoryFormat
from marjoramgrade.controllers.storerouter import StoreRouter
from marjoramgrade.controllers.transfers import Transfer, Transfers
from marjoramgrade.errors import TableUnavailableError
from marjoramgrade.messages.peers import CallPeer, Member, MembersChanged
from marjoramgrade.messages.rows import (
    FetchPart,
    ReadRows,
    RowCheck,
    RowId,
    RowsPage,
    RowWrite,
    StoredRow,
    WatchRows,
)
from marjoramgrade.messages.steps import (
    StepConfigChanged,
    StorePathStatus,
    WorkersChanged,
)
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.pageparts import (
    PART_BYTES,
    ROW_OVERHEAD_BYTES,
    join_parts,
    split_page,
)
from marjoramgrade.platform import store as store_module
from marjoramgrade.platform.store import StoreClient
from marjoramgrade.stepconfig import StepConfig
from marjoramgrade.steprows import EPOCH_ROW
from tests.slowlink import SlowLinkStore

# `configApplyMs` of the sites whose instances have the slowest links.
CONFIG_APPLY_S = 3.0
SLOWEST_LINK_MBIT_S = 5
# A page of the store has at most 1 MB, sent in base64.
LARGEST_PAGE_BYTES = 1_048_576 * 4 // 3
# A takeover reads four tables while the operators' and the workers' are watched.
CONCURRENT_READS = 6
# Of a connection, the bytes that the kernel sends at a time.
WINDOW_BYTES = 65_536


class Relays(Actor):
    """Other instances, whose replies cross the same link."""

    def __init__(self, client):
        super().__init__()
        self.client = client
        self.asked = 0

    @handles(CallPeer)
    async def _call(self, message: CallPeer) -> object:
        self.asked += 1
        return self.spawn(self.client.ask(message.message))


class Subscriber(Actor):
    def __init__(self):
        super().__init__()
        self.version = 0
        self.changed = asyncio.Event()

    @handles(StepConfigChanged)
    async def _config(self, message: StepConfigChanged) -> None:
        self.version = message.config.version
        if self.version > 1:
            self.changed.set()

    @handles(WorkersChanged)
    async def _workers(self, message: WorkersChanged) -> None:
        pass

    @handles(StorePathStatus)
    async def _path(self, message: StorePathStatus) -> None:
        pass


def parse_config(data):
    return attrs.evolve(StepConfig(), version=json.loads(data).get("version", 1))


class SilentStore(Actor):
    """A direct path that never responds."""

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> object:
        return self.spawn(asyncio.sleep(3_600))

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> object:
        return self.spawn(asyncio.sleep(3_600))


@contextlib.asynccontextmanager
async def instance_behind(store, link=None):
    """Run the store client, router and directory of one instance."""
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(store.running())
        link = link or StoreClient(store.address)
        relay_client, subscriber = StoreClient(store.address), Subscriber()
        relays = Relays(relay_client)
        router = StoreRouter("own", link, relays)
        layout = DirectoryFormat(
            "op", "servers", "config", "evacuate/", parse_config, lambda *_: None
        )
        directory = DirectoryController(
            router, layout, SystemClock(), MemoryMetrics(), (subscriber,), subscriber
        )
        for actor in (link, relay_client, subscriber, relays, router, directory):
            await actor.start()
            stack.push_async_callback(actor.stop)
        members = [Member(n, "z", "127.0.0.1", 1) for n in ("own", "b", "c", "d")]
        router.tell(MembersChanged(tuple(members)))
        yield subscriber, relays


async def change_config(store, subscriber, size_kb):
    """Write a configuration of a size; return its time until it is in force, in s."""
    loop = asyncio.get_running_loop()
    text = json.dumps({"version": 2, "padding": "x" * size_kb * 1_000})
    began_s = loop.time()
    store.change(text.encode())
    async with asyncio.timeout(2 * CONFIG_APPLY_S):
        await subscriber.changed.wait()
    return loop.time() - began_s


@pytest.mark.parametrize("size_kb, rate", [(420, 5), (800, 10), (420, 3)])
def test_large_configuration_is_in_force_in_time_on_a_slow_link(size_kb, rate):
    # Guards against a change that takes longer to arrive than a watch may be overdue:
    # it was cancelled, asked for again on every path over the same link, and never in
    # force (incident inc1).
    async def run():
        store = SlowLinkStore(rate)
        async with instance_behind(store) as (subscriber, relays):
            await asyncio.sleep(0.7)
            sent = store.sent
            assert await change_config(store, subscriber, size_kb) < CONFIG_APPLY_S
            assert store.sent - sent <= 2 * size_kb * 1_000 * 4 / 3
            assert relays.asked == 0

    asyncio.run(run())


def test_large_configuration_arrives_through_a_relay_while_the_direct_path_is_silent():
    # Guards against relays that are asked for the same document side by side, so that
    # each of the responses is too late.
    async def run():
        store = SlowLinkStore(5)
        async with instance_behind(store, SilentStore()) as (subscriber, _):
            async with asyncio.timeout(CONFIG_APPLY_S):
                while subscriber.version == 0:
                    await asyncio.sleep(0.02)
            sent = store.sent
            assert await change_config(store, subscriber, 420) < CONFIG_APPLY_S
            assert store.sent - sent <= 2 * 420_000 * 4 / 3

    asyncio.run(run())


def test_configuration_whose_transfer_goes_silent_is_asked_for_again():
    # Guards against a watch that waits for a response whose connection has gone silent
    # halfway, since bytes of it had arrived.
    async def run():
        store = SlowLinkStore(10)
        async with instance_behind(store) as (subscriber, _):
            await asyncio.sleep(0.7)
            while not store.waiting:
                await asyncio.sleep(0.001)
            # The watch that is waiting for the change.
            store.silent_after = {store.requests: 50_000}
            assert await change_config(store, subscriber, 300) < CONFIG_APPLY_S
            assert store.silenced == 1

    asyncio.run(run())


def test_abandoned_read_ends_its_transfer():
    # Guards against responses that nobody waits for and that fill a slow link.
    async def run():
        store = SlowLinkStore(1)
        async with store.running():
            store.change(b"x" * 400_000)
            client = StoreClient(store.address)
            await client.start()
            read = asyncio.ensure_future(client.ask(ReadRows("op", "")))
            await asyncio.sleep(0.2)
            read.cancel()
            await asyncio.sleep(0.3)
            sent = store.sent
            await asyncio.sleep(0.3)
            await client.stop()
            assert store.sent == sent < 200_000

    asyncio.run(run())


def test_transfer_that_nobody_fetches_is_dropped(monkeypatch):
    # Guards against an instance that keeps the responses for others that have left.
    monkeypatch.setattr(transfers, "IDLE_MS", 50)

    async def run():
        kept = Transfers()
        transfer = Transfer()
        page = asyncio.ensure_future(asyncio.sleep(60))
        transfer.receive(page)
        reply = kept.add(transfer)
        part = await kept.fetch_part(FetchPart(reply.transfer_id, 0, 10))
        assert part.count == 0
        await asyncio.sleep(0.1)
        assert page.cancelled()
        with pytest.raises(TableUnavailableError):
            await kept.fetch_part(FetchPart(reply.transfer_id, 0, 10))

    asyncio.run(run())


def test_page_that_arrives_as_the_wait_for_it_ends_is_fetched():
    # Guards against a reader that finds a complete page without parts, because the
    # callback of its completion is still to be called: the direct path then counted as
    # lost, and the whole response was asked for again.
    async def run():
        loop = asyncio.get_running_loop()
        kept = Transfers()
        transfer = Transfer()
        page = loop.create_future()
        transfer.receive(page)
        reply = kept.add(transfer)
        fetch = asyncio.ensure_future(
            kept.fetch_part(FetchPart(reply.transfer_id, 0, 10))
        )
        await asyncio.sleep(0)
        loop.call_later(0.01, page.set_result, RowsPage((), 4))
        # Both timers fire in the same iteration of the event loop.
        time.sleep(0.05)
        part = await fetch
        assert (part.page.version, part.count) == (4, 1)

    asyncio.run(run())


def test_transfer_that_has_failed_is_an_error_of_the_path():
    # Guards against a reader that waits for a response whose connection has broken.
    async def run():
        async def fail():
            raise TableUnavailableError("reset")

        kept = Transfers()
        transfer = Transfer()
        transfer.receive(asyncio.ensure_future(fail()))
        await transfer.has_begun.wait()
        reply = kept.add(transfer)
        with pytest.raises(TableUnavailableError):
            await kept.fetch_part(FetchPart(reply.transfer_id, 0, 10))
        kept.clear()

    asyncio.run(run())


@pytest.mark.parametrize("sizes", [(), (0,), (9, 0, 200), (70_000, 1), (400_000,) * 2])
def test_page_in_parts_is_the_same_page(sizes):
    # Guards against rows that are lost, cut short or joined with others.
    rows = tuple(
        StoredRow(RowId("op", "", f"k{number}"), bytes([number]) * size, 3, size == 0)
        for number, size in enumerate(sizes)
    )
    page = RowsPage(rows, 7, True)
    parts = split_page(page)
    assert join_parts(parts) == page
    for part in parts:
        size = sum(len(row.value) + ROW_OVERHEAD_BYTES for row in part.rows)
        assert size <= PART_BYTES


def duration_ms(size_bytes, count=1):
    """Return how long messages of a size take side by side on the slowest link."""
    return count * size_bytes * 8 / SLOWEST_LINK_MBIT_S / 1_000


def test_bounds_of_a_transfer_hold_on_the_slowest_link():
    # Guards against a bound that is shorter than what it bounds takes on the slowest
    # link while other large responses share it.
    turn_ms = duration_ms(WINDOW_BYTES, CONCURRENT_READS)
    assert turn_ms < storerouter.TRANSFER_SILENCE_MS
    assert storerouter.TRANSFER_SILENCE_MS < store_module.READ_SILENCE_MS
    whole_ms = duration_ms(LARGEST_PAGE_BYTES, CONCURRENT_READS)
    assert whole_ms < store_module.MAX_TRANSFER_MS
    batch_bytes = max_batch_bytes(SLOWEST_LINK_MBIT_S) * 4 // 3
    assert duration_ms(batch_bytes) <= commits.MAX_SENDING_MS
    largest_row_ms = duration_ms(65_536 * 4 // 3)
    longest_ms = max(commits.MAX_SENDING_MS, largest_row_ms)
    assert longest_ms < storerouter.INITIAL_OVERDUE_MS
    part_ms = duration_ms(PART_BYTES, CONCURRENT_READS)
    assert part_ms + storerouter.PART_WAIT_MS < storerouter.HEDGED_RELAY_TIMEOUT_MS
    assert storerouter.HEDGED_RELAY_TIMEOUT_MS < transfers.IDLE_MS


@pytest.mark.parametrize(
    "instances, store_mbit_s", [(7, 4_000), (38, 4_000), (300, 4_000)]
)
def test_configuration_that_all_instances_read_at_once_fits_its_bound(
    instances, store_mbit_s
):
    # Guards against a bound that holds for one instance only. 2,000 routes have 270
    # bytes each, sent in base64.
    size = 2_000 * 270 * 4 / 3
    store_ms = instances * size * 8 / store_mbit_s / 1_000
    assert store_ms + duration_ms(size) < CONFIG_APPLY_S * 1_000


@pytest.mark.parametrize("rows_per_request", [1, 48])
def test_large_batch_of_rows_is_written_over_a_slow_link(rows_per_request):
    # Guards against a transaction that is taken for lost while it is being sent, and
    # sent again over the same link.
    async def run():
        store = SlowLinkStore(SLOWEST_LINK_MBIT_S)
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(store.running())
            client = StoreClient(store.address)
            relays = Relays(client)
            router = StoreRouter("own", client, relays)
            controller = CommitController(
                router,
                1,
                RowCheck(EPOCH_ROW, 1),
                {},
                65_536,
                max_batch_bytes(SLOWEST_LINK_MBIT_S),
                SystemClock(),
                MemoryMetrics(),
                (),
            )
            for actor in (client, relays, router, controller):
                await actor.start()
                stack.push_async_callback(actor.stop)
            writes = [
                RowWrite(RowId("progress", "p0", f"k{number}"), bytes(12_000))
                for number in range(48)
            ]
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            size = 48 * 12_000 * 4 / 3
            async with asyncio.timeout(5):
                await asyncio.gather(
                    *(
                        controller.ask(
                            SaveRows(tuple(writes[first : first + rows_per_request]))
                        )
                        for first in range(0, len(writes), rows_per_request)
                    )
                )
            assert loop.time() - began_s < 1.5 * duration_ms(size) / 1_000
            assert store.received < 1.2 * size

    asyncio.run(run())
