"""Load through several entry instances, audited by the stand-ins' counters."""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable

from standins.audit import audit
from standins.cell import Cell
from standins.load import Load, count_codes

TEAM = "hospices"
TEAMS = {TEAM: {"share": 1}}
Disturb = Callable[[Cell, Load], Awaitable[None]]


async def _nothing(cell: Cell, load: Load) -> None:
    """Leave the cell alone."""


async def _run_load(
    folder: pathlib.Path, disturb: Disturb = _nothing, spread_ms: int = 4_000
) -> Load:
    """Run a load while something happens, and audit it."""
    async with Cell(folder) as cell:
        secrets = await cell.seed(TEAMS)
        await cell.wait_for_shards()
        load = Load(cell, TEAM, secrets[TEAM], spread_ms=spread_ms)
        await asyncio.gather(load.run(), disturb(cell, load))
        await load.wait_for_jobs()
        print(load.tally(), count_codes([*load.sent_requests, *load.sent_jobs]))
        assert await audit(load) == []
        return load


def test_load_without_failures(tmp_path: pathlib.Path) -> None:
    """Guards against refusals, double runs and lost work in a healthy cell."""
    load = asyncio.run(_run_load(tmp_path))
    assert load.tally() == {"requests": {"done": 1_000}, "jobs": {"done": 50}}
