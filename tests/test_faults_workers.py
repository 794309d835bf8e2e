"""Failures of workers, audited by the stand-ins' counters."""

import asyncio
import pathlib
import signal
import time

from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS
from standins.audit import Counters, check_workers, closed_at
from standins.cell import Cell
from standins.load import Load, Outcome
from standins.scenario import TEAM, run_load

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


def test_a_lease_that_lapses_only_at_the_worker(tmp_path: pathlib.Path) -> None:
    """Guards against tasks that the owner believes to run after they stopped."""

    async def run() -> None:
        shape = {"zones": ("leeds",), "workers_per_zone": 2, "is_relayed": True}
        async with Cell(tmp_path, **shape) as cell:
            secret = (await cell.seed({TEAM: {"share": 1}}))[TEAM]
            await cell.wait_for_shards()
            spec = {"team": TEAM, "kind": "service", "tasks": 4}
            spec["resources"] = {"cpu_millis": 8_000}
            await cell.submit("watch", spec, secret)

            async def has_all_running() -> bool:
                workers = await cell.counters("worker")
                return sum(len(found["running"]) for found in workers.values()) == 4

            async def has_stopped() -> bool:
                return not (await cell.control("leeds-worker-1"))["running"]

            await cell.wait_until(has_all_running)
            await cell.cut(("", "leeds-worker-1", "stall"))
            await cell.wait_until(has_stopped)
            await cell.cut()
            await cell.wait_until(has_all_running, timeout_s=5.0)
            assert check_workers(await cell.counters("worker")) == []

    asyncio.run(run())
