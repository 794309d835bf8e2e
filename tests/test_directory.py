"""Tests of the watch of the configuration and the workers."""

from __future__ import annotations

import asyncio
import contextlib

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import ManualClock
from marjoramgrade.controllers.directory import (
    WORKER_WATCH_PAUSE_MS,
    DirectoryController,
    DirectoryFormat,
)
from marjoramgrade.messages.rows import (
    ReadRows,
    RowId,
    RowsPage,
    StoredRow,
    WatchRows,
)
from marjoramgrade.messages.steps import WatchWorkers, WorkersChanged
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
