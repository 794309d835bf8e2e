"""Load on several entry instances, audited with the stand-ins' counters."""

import asyncio
import pathlib
import signal

from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS, OWNERSHIP_LEASE_MS
from standins.cell import Cell
from standins.load import Load
from standins.scenario import assert_most_work_done, run_load

ONE_ZONE = {"zones": ("leeds",), "entries_per_zone": 2, "workers_per_zone": 8}
LEASE_LAPSED_S = (OWNERSHIP_LEASE_MS + DRIFT_MARGIN_MS + 2_000) / 1000


def test_load_without_failures(tmp_path: pathlib.Path) -> None:
    """Guards against refused, duplicated and lost requests and jobs without faults."""
    load = asyncio.run(run_load(tmp_path))
    assert load.tally() == {"requests": {"done": 1_000}, "jobs": {"done": 50}}


def test_load_while_an_entry_instance_is_replaced(tmp_path: pathlib.Path) -> None:
    """Guards against lost or duplicated tasks when a killed owner does not return."""

    async def replace(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.5)
        killed = await cell.owner_of("leeds.0")
        load.faulty_urls.add(killed.url)
        await cell.replace_entry(killed.instance_id, "leeds-entry-2")

    assert_most_work_done(asyncio.run(run_load(tmp_path, replace)))


def test_load_while_an_owner_is_frozen(tmp_path: pathlib.Path) -> None:
    """Guards against an owner that resumes and starts tasks under a lapsed lease."""

    async def freeze(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.5)
        frozen = await cell.owner_of("leeds.0")
        load.faulty_urls.add(frozen.url)
        process = cell.process_by_name[frozen.instance_id]
        process.send(signal.SIGSTOP)
        await asyncio.sleep(LEASE_LAPSED_S)
        process.send(signal.SIGCONT)

    # Tasks are still queued when the owner is frozen, so it could start them when it
    # resumes.
    load_options = {"spread_ms": 8_000, "run_ms": 1_000}
    assert_most_work_done(
        asyncio.run(run_load(tmp_path, freeze, cell_options=ONE_ZONE, **load_options))
    )


def test_load_while_an_owner_is_cut_from_the_platform(tmp_path: pathlib.Path) -> None:
    """Guards against scheduling under a lease that a cut-off owner cannot renew."""

    async def cut(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.5)
        owner = await cell.owner_of("leeds.0")
        await cell.control_platform(cut=[owner.instance_id])
        await asyncio.sleep(LEASE_LAPSED_S)
        await cell.control_platform(cut=[])

    assert_most_work_done(
        asyncio.run(run_load(tmp_path, cut, cell_options=ONE_ZONE, spread_ms=8_000))
    )
