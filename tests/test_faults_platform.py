"""Failures of the platform, alone and together with other failures."""

import asyncio
import pathlib

from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS
from standins.cell import Cell
from standins.load import Load, Outcome
from standins.scenario import assert_most_work_done, run_load

# Time after which all leases have lapsed; the worker lease is the longest.
LEASES_LAPSED_S = (WORKER_LEASE_MS + DRIFT_MARGIN_MS) / 1000


def test_platform_down_for_longer_than_all_leases(tmp_path: pathlib.Path) -> None:
    """Guards against tasks and requests lost or run twice around a long outage."""

    async def take_down(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.0)
        await cell.control_platform(down=True)
        await asyncio.sleep(LEASES_LAPSED_S)
        await cell.control_platform(down=False)

    load_options = {"requests": 300, "jobs": 30, "spread_ms": 8_000, "run_ms": 200}
    load = asyncio.run(run_load(tmp_path, take_down, **load_options))
    accepted = {job.outcome for job in load.sent_jobs} - {Outcome.NOT_RUN}
    assert accepted <= {Outcome.DONE, Outcome.UNKNOWN}


def test_answers_lost_after_the_write_took_effect(tmp_path: pathlib.Path) -> None:
    """Guards against records that are written twice or treated as refused."""

    async def lose_answers(cell: Cell, load: Load) -> None:
        for _ in range(40):
            await cell.control_platform(lose_answers=2)
            await asyncio.sleep(0.1)
        await cell.control_platform(lose_answers=0)

    load = asyncio.run(run_load(tmp_path, lose_answers, jobs=50))
    assert {request.outcome for request in load.sent_requests} == {Outcome.DONE}
    assert {job.outcome for job in load.sent_jobs} == {Outcome.DONE}


def test_platform_down_while_an_owner_is_killed(tmp_path: pathlib.Path) -> None:
    """Guards against a replacement that cannot take over after an outage."""

    async def fail_both(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.0)
        killed = await cell.owner_of("leeds.0")
        load.faulty_urls.add(killed.url)
        await cell.control_platform(down=True)
        await cell.replace_entry(killed.instance_id, "leeds-entry-2")
        await asyncio.sleep(4.0)
        await cell.control_platform(down=False)

    load_options = {"requests": 400, "jobs": 30, "spread_ms": 8_000}
    load = asyncio.run(run_load(tmp_path, fail_both, **load_options))
    assert_most_work_done(load)
