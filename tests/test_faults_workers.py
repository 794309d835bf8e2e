"""Failures of workers, audited by the stand-ins' counters."""

import asyncio
import pathlib
import signal
import time

from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS
from standins.audit import Counters, closed_at
from standins.cell import Cell
from standins.load import Load, Outcome
from standins.scenario import run_load

ONE_ZONE = {"zones": ("leeds",), "entries_per_zone": 2, "is_relayed": True}
TASKS = {"requests": 100, "jobs": 50, "run_ms": 300}
LEASE_LAPSED_S = (WORKER_LEASE_MS + DRIFT_MARGIN_MS) / 1000


def _assert_jobs_done(load: Load) -> None:
    assert {job.outcome for job in load.sent_jobs} == {Outcome.DONE}


def test_workers_that_are_cut_for_less_than_a_lease(tmp_path: pathlib.Path) -> None:
    """Guards against starts that are sent late, after the task was queued again."""

    async def cut(cell: Cell, load: Load) -> None:
        for _ in range(4):
            await cell.cut(
                ("", "leeds-worker-1", "drop"), ("", "leeds-worker-2", "stall")
            )
            await asyncio.sleep(0.4)
            await cell.cut()
            await asyncio.sleep(0.6)

    _assert_jobs_done(asyncio.run(run_load(tmp_path, cut, shape=ONE_ZONE, **TASKS)))


def test_workers_that_are_killed_frozen_and_cut(tmp_path: pathlib.Path) -> None:
    """Guards against tasks that are lost with a worker or run beside it."""
    killed, frozen, cut = (f"leeds-worker-{number}" for number in (1, 2, 3))

    async def disturb(cell: Cell, load: Load) -> Counters:
        await asyncio.sleep(1.5)
        await cell.cut(("", killed, "drop"), ("", cut, "stall"))
        last = await cell.control(killed)
        cell.process_by_name[killed].end()
        ended = time.time()
        cell.instances = [i for i in cell.instances if i["instance_id"] != killed]
        cell.process_by_name[frozen].send(signal.SIGSTOP)
        await asyncio.sleep(LEASE_LAPSED_S)
        cell.process_by_name[frozen].send(signal.SIGCONT)
        await cell.cut()
        return {killed: closed_at(last, ended)}

    shape = {**ONE_ZONE, "own_process": (killed, frozen)}
    _assert_jobs_done(asyncio.run(run_load(tmp_path, disturb, shape=shape, **TASKS)))
