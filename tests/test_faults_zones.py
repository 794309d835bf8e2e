"""Zones that are taken out of service and put back."""

import asyncio
import pathlib
import time

from standins.audit import Counters
from standins.cell import Cell
from standins.load import Load, Outcome
from standins.scenario import TEAM, run_load

# Longest time until a change of the configuration is in force on every instance.
CONFIG_BOUND_S = 8.0


async def _set_zone(cell: Cell, zone: str, state: str) -> float:
    """Set the state of a zone and return when the response arrived."""
    url = cell.running_entries()[-1].url
    answer = await cell.fetch(f"{url}/v1/zones/{zone}", "PUT", body={"state": state})
    assert answer.code == 200
    return time.time()


def _latest_start(workers: Counters, zone: str) -> float:
    return max(
        start
        for worker_id, counters in workers.items()
        if worker_id.startswith(zone)
        for _, start, _ in counters["intervals"]
    )


def test_no_start_in_a_zone_that_was_taken_out(tmp_path: pathlib.Path) -> None:
    """Guards against starts in a zone once its removal must be in force."""

    async def take_out(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.5)
        taken_out = await _set_zone(cell, "leeds", "out")
        await asyncio.sleep(CONFIG_BOUND_S + 1.0)
        workers = await cell.counters("worker")
        assert _latest_start(workers, "leeds") < taken_out + CONFIG_BOUND_S
        assert _latest_start(workers, "manchester") > taken_out + CONFIG_BOUND_S
        await _set_zone(cell, "leeds", "in")

    load = asyncio.run(run_load(tmp_path, take_out, spread_ms=10_500, run_ms=100))
    assert {request.outcome for request in load.sent_requests} == {Outcome.DONE}
    assert {job.outcome for job in load.sent_jobs} == {Outcome.DONE}


def test_jobs_go_on_when_the_only_zone_returns(tmp_path: pathlib.Path) -> None:
    """Guards against queued jobs that never start after a failed move."""

    async def run() -> None:
        async with Cell(tmp_path, zones=("leeds",), workers_per_zone=1) as cell:
            secret = (await cell.seed({TEAM: {"share": 1}}))[TEAM]
            await cell.wait_for_shards()
            spec = {"team": TEAM, "kind": "batch", "tasks": 40, "run_ms": 700}
            await cell.submit("pack-1", spec, secret)

            async def has_started() -> bool:
                return bool((await cell.control("leeds-worker-1"))["starts"])

            async def is_idle() -> bool:
                counters = await cell.control("leeds-worker-1")
                return bool(counters["ends"]) and not counters["running"]

            async def is_done() -> bool:
                url = f"{cell.running_entries()[0].url}/v1/jobs/pack-1"
                return bool((await cell.fetch_json(url))["state"] == "done")

            await cell.wait_until(has_started)
            await _set_zone(cell, "leeds", "out")
            await cell.wait_until(is_idle)
            # Moves are attempted every second and fail: there is no other zone.
            await asyncio.sleep(1.5)
            assert not await is_done()
            await _set_zone(cell, "leeds", "in")
            await cell.wait_until(is_done, timeout_s=10.0)

    asyncio.run(run())


def test_a_service_leaves_a_zone_that_was_taken_out(tmp_path: pathlib.Path) -> None:
    """Guards against stops that are not sent because the zone allows no starts."""

    async def run() -> None:
        async with Cell(tmp_path) as cell:
            secret = (await cell.seed({TEAM: {"share": 1}}))[TEAM]
            await cell.wait_for_shards()
            await cell.submit("watch-1", {"team": TEAM, "kind": "service"}, secret)
            url = f"{cell.running_entries()[0].url}/v1/jobs/watch-1"
            before = (await cell.fetch_json(url))["shard"]

            async def zones_in_use() -> set[str]:
                workers = await cell.counters("worker")
                return {
                    worker_id.partition("-")[0]
                    for worker_id in workers
                    if workers[worker_id]["running"]
                }

            async def is_started() -> bool:
                return bool(await zones_in_use())

            async def is_moved() -> bool:
                zones = await zones_in_use()
                shard = (await cell.fetch_json(url))["shard"]
                return shard != before and zones == {shard.partition(".")[0]}

            await cell.wait_until(is_started)
            await _set_zone(cell, before.partition(".")[0], "out")
            await cell.wait_until(is_moved, timeout_s=15.0)

    asyncio.run(run())
