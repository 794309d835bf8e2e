"""Tests what still works when all zones or one zone cannot reach the platform."""

import asyncio
import json
import pathlib
import time
from typing import Any

from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.freshness import FRESHNESS_MS
from marjoramgrade.decisions.ownership import OWNERSHIP_LEASE_MS
from standins.cell import Cell, EntryPlan

TEAM = "hospices"
# Longer than the ownership lease, the worker lease and the freshness lease.
OUTAGE_MS = max(WORKER_LEASE_MS, OWNERSHIP_LEASE_MS, FRESHNESS_MS) + 4_000
# A withdrawn key must be refused within this time, even in a zone that is cut off.
IN_FORCE_MS = 8_000


async def _run_request(cell: Cell, plan: EntryPlan, secret: str, service: str) -> str:
    """Send an idempotent request and return `done` or the error code."""
    answer = await cell.fetch(
        f"{plan.url}/v1/run/{service}",
        "POST",
        body={"work_ms": 1},
        secret=secret,
        headers={"Idempotent": "true", "Deadline-Ms": "2000"},
    )
    if answer.code == 200:
        return "done"
    code: str = json.loads(answer.body)["error"]["code"]
    return code


async def _submit(cell: Cell, plan: EntryPlan, secret: str, **job: Any) -> int:
    spec = {"team": TEAM, "kind": "batch", **job.pop("spec")}
    answer = await cell.fetch(
        f"{plan.url}/v1/jobs", "POST", body={**job, "spec": spec}, secret=secret
    )
    return answer.code


def test_an_outage_of_the_platform_stops_only_what_needs_it(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against running work that ends because the table is unreachable."""

    async def run() -> None:
        async with Cell(tmp_path, workers_per_zone=1) as cell:
            secret = (await cell.seed({TEAM: {}}))[TEAM]
            await cell.wait_for_shards()
            first, second = cell.running_entries()
            spec = {"tasks": 4, "run_ms": OUTAGE_MS + 2_000}
            assert await _submit(cell, first, secret, job_id="long", spec=spec) == 201

            async def has_started() -> bool:
                workers = await cell.counters("worker")
                return sum(len(w["running"]) for w in workers.values()) == 4

            await cell.wait_until(has_started)
            await cell.control_platform(down=True)
            until = time.monotonic() + OUTAGE_MS / 1000
            outcomes = []
            while time.monotonic() < until:
                for plan in (first, second):
                    outcomes.append(
                        await _run_request(cell, plan, secret, "charity-accounts")
                    )
                await asyncio.sleep(0.1)
            assert set(outcomes) == {"done"}
            spec = {"tasks": 1, "run_ms": 10}
            assert await _submit(cell, second, secret, job_id="late", spec=spec) != 201
            await cell.control_platform(down=False)

            async def has_ended() -> bool:
                url = f"{first.url}/v1/jobs/long"
                return (await cell.fetch_json(url)).get("state") == "done"

            await cell.wait_until(has_ended)
            workers = await cell.counters("worker")
            starts = [w["starts"] for w in workers.values()]
            assert sum(sum(by_task.values()) for by_task in starts) in (4, 5)
            assert sum(by_task.get("long/0", 0) for by_task in starts) == 1

    asyncio.run(run())


def test_a_zone_that_is_cut_off_serves_what_needs_no_fresh_authority(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against withdrawn keys that still work in a zone that is cut off."""

    async def run() -> None:
        async with Cell(
            tmp_path, workers_per_zone=1, entries_per_zone=2, backends_per_zone=2
        ) as cell:
            secret = (await cell.seed({TEAM: {}}))[TEAM]
            await cell.wait_for_shards()
            plan = cell.entry_by_id["leeds-entry-1"]
            withdrawing_url = cell.entry_by_id["manchester-entry-1"].url
            # An instance may change the configuration only after its admission, which
            # may still be pending if the instance started later than the others.
            await cell.put(f"{withdrawing_url}/v1/zones/manchester", {"state": "in"})
            cut = [name for name in cell.entry_by_id if name.startswith("leeds")]
            await cell.control_platform(cut=cut)
            cut_at = time.monotonic()
            withdrawn = await cell.fetch(
                f"{withdrawing_url}/v1/keys/{TEAM}-key", "DELETE"
            )
            assert withdrawn.code == 200

            async def is_refused() -> bool:
                outcome = await _run_request(cell, plan, secret, "charity-accounts")
                return outcome in ("stale_authority", "unauthenticated")

            await cell.wait_until(is_refused, IN_FORCE_MS / 1000)
            assert time.monotonic() - cut_at <= IN_FORCE_MS / 1000
            for _ in range(20):
                assert await is_refused()

    asyncio.run(run())
