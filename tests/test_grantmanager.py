import asyncio

from marjoramgrade.clock import ManualClock
from marjoramgrade.controllers.grantmanager import GrantManager
from marjoramgrade.errors import WriteOutcomeUnknownError
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.model import Config, Team
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.store import Store
from marjoramgrade.table import MemoryTable, RowsPage, Transaction

LIMIT = Resources(cpu_millis=10)
ONE = Resources(cpu_millis=1)


class UnresponsiveTable(MemoryTable):
    """Fails reads and transactions, which take no effect, while unresponsive."""

    is_unresponsive = False

    async def commit(self, transaction: Transaction) -> int:
        if self.is_unresponsive:
            raise WriteOutcomeUnknownError("no response")
        return await super().commit(transaction)

    async def changes(self, prefix: str, after: int = 0) -> RowsPage:
        if self.is_unresponsive:
            raise WriteOutcomeUnknownError("no response")
        return await super().changes(prefix, after)


class Holder:
    """A holder that uses as much as its grants allow."""

    def __init__(
        self,
        name: str,
        table: MemoryTable,
        epoch: int = 1,
        limit: Resources = LIMIT,
    ) -> None:
        self.clock = ManualClock()
        self.manager = GrantManager(
            name, epoch, Store(table), self.clock, MemoryMetrics()
        )
        self.manager.set_config(Config(1, {"acme": Team("acme", limit=limit)}))
        self.in_use = ZERO_RESOURCES

    def start_up_to(self, count: int) -> None:
        for _ in range(count):
            if self.manager.may_use("acme", ONE, self.in_use):
                self.in_use = self.in_use + ONE

    async def refresh(self) -> None:
        self.clock.advance(1_000)
        await self.manager.refresh({"acme": self.in_use}, is_reconciled=True)


def test_holders_together_stay_within_the_limit() -> None:
    """Guards against shards that each apply the whole limit on their own."""

    async def run() -> tuple[Holder, Holder]:
        table = MemoryTable()
        first, second = Holder("a.0", table), Holder("b.0", table)
        for _ in range(40):
            for holder in (first, second):
                holder.start_up_to(1)
                await holder.refresh()
                assert (first.in_use + second.in_use).fits(LIMIT)
        return first, second

    first, second = asyncio.run(run())
    assert first.in_use + second.in_use == LIMIT


def test_a_long_queue_gets_grant_in_growing_steps() -> None:
    """Guards against a team that starts only one task per table transaction."""

    async def run() -> int:
        limit = Resources(cpu_millis=1_000)
        holder = Holder("a.0", MemoryTable(), limit=limit)
        for _ in range(12):
            holder.start_up_to(1_000)
            await holder.refresh()
        return holder.in_use.cpu_millis

    assert asyncio.run(run()) >= 250


def test_excess_grant_is_returned() -> None:
    """Guards against growing requests that withhold grant from other shards."""

    async def run() -> Resources:
        table = MemoryTable()
        first, second = Holder("a.0", table), Holder("b.0", table)
        for _ in range(12):
            first.start_up_to(6 - first.in_use.cpu_millis)
            await first.refresh()
        for _ in range(12):
            await first.refresh()
            second.start_up_to(10)
            await second.refresh()
        assert first.in_use == Resources(cpu_millis=6)
        return second.in_use

    assert asyncio.run(run()) == Resources(cpu_millis=4)


def test_unused_grant_moves_to_the_holder_that_needs_it() -> None:
    """Guards against grant that stays with a holder that has no work left."""

    async def run() -> Resources:
        table = MemoryTable()
        first, second = Holder("a.0", table), Holder("b.0", table)
        for _ in range(30):
            first.start_up_to(1)
            await first.refresh()
        assert first.in_use == LIMIT
        first.in_use = ZERO_RESOURCES
        for _ in range(30):
            await first.refresh()
            second.start_up_to(1)
            await second.refresh()
        return second.in_use

    assert asyncio.run(run()) == LIMIT


def test_grant_grows_faster_than_by_one_task_a_refresh() -> None:
    """Guards against a team below its limit that starts one task per refresh."""

    async def run() -> Resources:
        holder = Holder("a.0", MemoryTable())
        for _ in range(7):
            holder.start_up_to(10)
            await holder.refresh()
        holder.start_up_to(10)
        return holder.in_use

    assert asyncio.run(run()) == LIMIT


def test_a_holder_continues_after_a_lost_transaction() -> None:
    """Guards against a pending write that blocks a team forever."""

    async def run() -> Resources:
        table = UnresponsiveTable()
        holder = Holder("a.0", table)
        await holder.refresh()
        await holder.refresh()
        holder.start_up_to(1)
        table.is_unresponsive = True
        await holder.refresh()
        table.is_unresponsive = False
        for _ in range(4):
            holder.start_up_to(1)
            await holder.refresh()
        return holder.in_use

    assert asyncio.run(run()) != ZERO_RESOURCES
