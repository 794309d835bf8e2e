"""End-to-end tests with separate processes; the stand-ins count the runs."""

import asyncio
import json
import pathlib
from collections import Counter

from standins.cell import Cell

TEAMS = {"hospices": {"share": 2}, "museums": {"share": 1}}
SERVICE_PATH = "/v1/run/charity-accounts"


async def _wait_for_job(cell: Cell, url: str, job_id: str, secret: str) -> dict:
    async def has_ended() -> bool:
        job = await cell.fetch_json(f"{url}/v1/jobs/{job_id}", secret=secret)
        return job.get("state") not in ("open", None)

    await cell.wait_until(has_ended)
    return await cell.fetch_json(f"{url}/v1/jobs/{job_id}", secret=secret)


def test_a_request_and_a_job_complete_end_to_end(tmp_path: pathlib.Path) -> None:
    """Guards against requests and jobs that work only in one process or one zone."""

    async def run() -> None:
        async with Cell(tmp_path) as cell:
            secret = (await cell.seed(TEAMS))["hospices"]
            await cell.wait_for_shards()
            first, second = cell.running_entries()
            body = {"work_ms": 5, "case": "0042"}
            for request_id, entry in (("check-1", first), ("check-2", second)):
                answer = await cell.fetch(
                    entry.url + SERVICE_PATH,
                    "POST",
                    body=body,
                    secret=secret,
                    headers={"Request-Id": request_id},
                )
                assert (answer.code, json.loads(answer.body)) == (200, body)
            spec = {"team": "hospices", "kind": "batch", "tasks": 20, "run_ms": 20}
            accepted = await cell.fetch(
                f"{first.url}/v1/jobs",
                "POST",
                body={"job_id": "pack-1", "spec": spec},
                secret=secret,
            )
            assert accepted.code == 201
            job = await _wait_for_job(cell, second.url, "pack-1", secret)
            assert job["outcomes"] == "d" * 20
            workers = await cell.counters("worker")
            starts = sum((Counter(w["starts"]) for w in workers.values()), Counter())
            assert starts == {f"pack-1/{index}": 1 for index in range(20)}

    asyncio.run(run())


def test_a_repeated_non_idempotent_request_runs_once(tmp_path: pathlib.Path) -> None:
    """Guards against a request that runs twice after a retry at another instance."""

    async def run() -> None:
        async with Cell(tmp_path, workers_per_zone=1) as cell:
            secret = (await cell.seed(TEAMS))["hospices"]
            await cell.wait_for_shards()
            status_codes = []
            for entry in cell.running_entries():
                answer = await cell.fetch(
                    entry.url + SERVICE_PATH,
                    "POST",
                    body={},
                    secret=secret,
                    headers={"Request-Id": "posting-7"},
                )
                status_codes.append(answer.code)
            assert status_codes == [200, 409]
            backends = await cell.counters("backend")
            runs = sum((Counter(b["runs"]) for b in backends.values()), Counter())
            assert runs == {"posting-7": 1}

    asyncio.run(run())
