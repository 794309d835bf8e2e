"""Load through several entry instances, audited by the stand-ins' counters."""

import asyncio
import pathlib
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS, OWNERSHIP_LEASE_MS
from standins.audit import audit
from standins.cell import Cell
from standins.load import Load, Outcome, count_codes

TEAM = "hospices"
TEAMS = {TEAM: {"share": 1}}
Disturb = Callable[[Cell, Load], Awaitable[None]]


async def _nothing(cell: Cell, load: Load) -> None:
    """Leave the cell alone."""


async def _run_load(
    folder: pathlib.Path,
    disturb: Disturb = _nothing,
    spread_ms: int = 4_000,
    **shape: Any,
) -> Load:
    """Run a load while something happens, and audit it."""
    async with Cell(folder, **shape) as cell:
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


def _assert_work_went_on(load: Load) -> None:
    """Check that jobs ended and that most requests found the other instance."""
    outcomes = [request.outcome for request in load.sent_requests]
    assert outcomes.count(Outcome.DONE) >= 500
    assert {job.outcome for job in load.sent_jobs} <= {Outcome.DONE, Outcome.NOT_RUN}
    assert sum(job.outcome is Outcome.DONE for job in load.sent_jobs) >= 25


def test_load_while_an_entry_instance_is_replaced(tmp_path: pathlib.Path) -> None:
    """Guards against lost or doubled work when an owner dies for good."""

    async def replace(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.5)
        killed = await cell.owner_of("leeds.0")
        load.disturbed_urls.add(killed.url)
        await cell.replace_entry(killed.instance_id, "leeds-entry-2")

    _assert_work_went_on(asyncio.run(_run_load(tmp_path, replace)))


def test_load_while_an_owner_is_frozen(tmp_path: pathlib.Path) -> None:
    """Guards against an owner that wakes and acts under a lease that lapsed."""

    async def freeze(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.5)
        frozen = await cell.owner_of("leeds.0")
        load.disturbed_urls.add(frozen.url)
        process = cell.process_by_name[frozen.instance_id]
        process.send(signal.SIGSTOP)
        await asyncio.sleep((OWNERSHIP_LEASE_MS + DRIFT_MARGIN_MS + 2_000) / 1000)
        process.send(signal.SIGCONT)

    shape = {"zones": ("leeds",), "entries_per_zone": 2, "workers_per_zone": 8}
    _assert_work_went_on(asyncio.run(_run_load(tmp_path, freeze, 8_000, **shape)))


def test_load_while_an_owner_is_cut_from_the_platform(tmp_path: pathlib.Path) -> None:
    """Guards against work under an authority that a cut-off owner cannot renew."""

    async def cut(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.5)
        owner = await cell.owner_of("leeds.0")
        await cell.control_platform(cut=[owner.instance_id])
        await asyncio.sleep((OWNERSHIP_LEASE_MS + DRIFT_MARGIN_MS + 2_000) / 1000)
        await cell.control_platform(cut=[])

    shape = {"zones": ("leeds",), "entries_per_zone": 2, "workers_per_zone": 8}
    _assert_work_went_on(asyncio.run(_run_load(tmp_path, cut, 8_000, **shape)))
