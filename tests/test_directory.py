"""Tests of the watch of the configuration and the workers."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import ManualClock
from marjoramgrade.controllers.directory import (
    WORKER_WATCH_PAUSE_MS,
    DirectoryController,
    DirectoryFormat,
)
from marjoramgrade.errors import HistoryLostError, StaleAuthorityError
from marjoramgrade.messages.rows import (
    ReadRows,
    RowId,
    RowsPage,
    StoredRow,
    WatchRows,
)
from marjoramgrade.messages.steps import (
    AwaitConfirmedConfig,
    GetStepConfig,
    StepConfigChanged,
    WatchWorkers,
    WorkersChanged,
)
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.stepconfig import StepConfig
from tests.steps import worker


class BusyStore(Actor):
    """A store in which some worker updates its entry every 5 ms."""

    def __init__(self):
        super().__init__()
        self.version = 0

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> RowsPage:
        return RowsPage((), self.version)

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> object:
        return self.spawn(self._next_update(message.table))

    async def _next_update(self, table):
        if table != "workers":
            await asyncio.sleep(60)
        await asyncio.sleep(0.005)
        self.version += 1
        row = StoredRow(RowId(table, "", f"w{self.version % 9}"), b"", self.version)
        return RowsPage((row,), self.version)


class Scheduler(Actor):
    def __init__(self):
        super().__init__()
        self.listed = ()

    @handles(WorkersChanged)
    async def _listed(self, message: WorkersChanged) -> None:
        self.listed = message.workers


def test_heartbeats_of_a_large_fleet_share_calls():
    # Guards against one call to the store for each heartbeat of each worker: 100 calls
    # a second, half of all calls (seen in kbwb-arrears-grown quiet-1).
    async def run():
        store, scheduler = BusyStore(), Scheduler()
        directory = DirectoryController(
            store,
            DirectoryFormat(
                "operators",
                "workers",
                "config",
                "evacuate/",
                lambda data: StepConfig(),
                lambda worker_id, data: worker(worker_id),
            ),
            ManualClock(),
            MemoryMetrics(),
            (),
            scheduler,
        )
        async with contextlib.AsyncExitStack() as stack:
            for actor in (store, scheduler, directory):
                await actor.start()
                stack.push_async_callback(actor.stop)
            directory.tell(WatchWorkers(True))
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            async with asyncio.timeout(10):
                while len(scheduler.listed) < 5:
                    await asyncio.sleep(0.01)
            assert loop.time() - began_s >= 4 * WORKER_WATCH_PAUSE_MS / 1000

    asyncio.run(run())


class ScriptedStore(Actor):
    """Returns prepared responses to reads and watches of the operators' table."""

    def __init__(self, reads, watches):
        super().__init__()
        self.reads = list(reads)
        self.watches = list(watches)
        self.read_count = 0

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> RowsPage:
        self.read_count += 1
        return self.reads.pop(0) if len(self.reads) > 1 else self.reads[0]

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> object:
        if not self.watches:
            return self.spawn(asyncio.sleep(3_600))
        answer = self.watches.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Subscriber(Actor):
    def __init__(self):
        super().__init__()
        self.evacuated = None
        self.version = 0

    @handles(StepConfigChanged)
    async def _changed(self, message: StepConfigChanged) -> None:
        self.evacuated = message.evacuated_zones
        self.version = message.config.version


def config_row(version):
    row = RowId("operators", "", "config")
    return StoredRow(row, str(version).encode(), version)


def evacuation_row(zone, version):
    return StoredRow(RowId("operators", "", f"evacuate/{zone}"), b"{}", version)


@contextlib.asynccontextmanager
async def directory_of(store, clock=None):
    subscriber = Subscriber()
    directory = DirectoryController(
        store,
        DirectoryFormat(
            "operators",
            "workers",
            "config",
            "evacuate/",
            lambda data: StepConfig(int(data)),
            lambda worker_id, data: worker(worker_id),
        ),
        clock or ManualClock(),
        MemoryMetrics(),
        (subscriber,),
        Scheduler(),
    )
    async with contextlib.AsyncExitStack() as stack:
        for actor in (store, subscriber, directory):
            await actor.start()
            stack.push_async_callback(actor.stop)
        yield directory, subscriber


def test_older_read_after_lost_history_drops_no_evacuation():
    # Guards against starts in an evacuated zone after a read that returned an older
    # state than the watch before it (issue 29, CONFIG, hypothesis 3).
    async def run():
        store = ScriptedStore(
            [
                RowsPage((config_row(3),), 3),
                # Older than what the watch has returned.
                RowsPage((config_row(3),), 4),
                RowsPage((config_row(6), evacuation_row("z", 5)), 7),
            ],
            [
                RowsPage((evacuation_row("z", 5),), 5),
                HistoryLostError("the history is lost"),
            ],
        )
        async with directory_of(store) as (directory, subscriber):
            seen = []
            async with asyncio.timeout(5):
                while subscriber.version < 6:
                    seen.append(subscriber.evacuated)
                    await asyncio.sleep(0.005)
            assert subscriber.evacuated == {"z"}
            first = seen.index(frozenset({"z"}))
            assert set(seen[first:]) == {frozenset({"z"})}
            assert store.read_count == 3

    asyncio.run(run())


def test_older_response_does_not_confirm_the_configuration():
    # Guards against a configuration that counts as confirmed by a response that is
    # older than the configuration.
    async def run():
        clock = ManualClock(1_000)
        store = ScriptedStore([RowsPage((config_row(3),), 3)], [RowsPage((), 2)] * 100)
        async with directory_of(store, clock) as (directory, _):
            known = await directory.ask(AwaitConfirmedConfig(1_000, 500))
            assert known.config.version == 3
            clock.advance(5_000)
            await asyncio.sleep(0.25)
            assert (await directory.ask(GetStepConfig())).confirmed_ms == 1_000
            with pytest.raises(StaleAuthorityError):
                await directory.ask(AwaitConfirmedConfig(1_001, 50))

    asyncio.run(run())


class PagedFeed(Actor):
    """A store whose feed names the version of the last of the few rows it returns."""

    def __init__(self):
        super().__init__()
        self.version = 3
        self.rows = [config_row(3)]

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> RowsPage:
        rows = tuple(r for r in self.rows if r.row.table == message.table)
        return RowsPage(rows, self.version)

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> object:
        return self.spawn(self._feed(message))

    async def _feed(self, message):
        await asyncio.sleep(0.02)
        rows = [r for r in self.rows if r.row.table == message.table]
        rows = [r for r in rows if r.version > message.after][:2]
        version = rows[-1].version if len(rows) == 2 else self.version
        return RowsPage(tuple(rows), version)


def test_changes_that_come_in_pages_are_read_to_their_end():
    # Guards against a watch that is blind for good, since the first page of many
    # changes names a lower version than the watch of another table knows.
    async def run():
        store = PagedFeed()
        async with directory_of(store) as (directory, subscriber):
            async with asyncio.timeout(2):
                while subscriber.version < 3:
                    await asyncio.sleep(0.01)
            directory.tell(WatchWorkers(True))
            await asyncio.sleep(0.1)
            for n in range(4, 14):
                store.rows.append(StoredRow(RowId("workers", "", f"w{n}"), b"", n))
            store.version = 14
            async with asyncio.timeout(5):
                while len(directory._worker_by_id) < 10:
                    await asyncio.sleep(0.01)

    asyncio.run(run())
