"""Failures of backend servers and shutdowns of entry instances."""

import asyncio
import json
import pathlib
import signal
from collections import Counter

from standins.audit import check_requests, check_slots
from standins.cell import Cell
from standins.load import Load, Outcome
from standins.scenario import TEAM, run_load

# Longest time until a change of the platform's list or the configuration is in force.
CHANGE_BOUND_S = 8.0
KILLED = "leeds-backend-1"


def test_a_backend_server_killed_in_mid_request(tmp_path: pathlib.Path) -> None:
    """Guards against a second run of a request that may have run on a dead server."""

    async def run() -> None:
        async with Cell(tmp_path, own_process=(KILLED,)) as cell:
            secret = (await cell.seed({TEAM: {"share": 1}}))[TEAM]
            await cell.wait_for_shards()
            load_options = {
                "requests": 200,
                "jobs": 0,
                "spread_ms": 2_000,
                "work_ms": 300,
            }
            load = Load(cell, TEAM, secret, **load_options)
            running = asyncio.create_task(load.run())

            seen_ids: set[str] = set()

            async def has_new_non_idempotent() -> bool:
                """Return whether a non-idempotent (odd) request has just started."""
                started_ids = set((await cell.control(KILLED))["runs"]) - seen_ids
                seen_ids.update(started_ids)
                return any(int(name.rpartition("-")[2]) % 2 for name in started_ids)

            await cell.wait_until(has_new_non_idempotent)
            last_counters = await cell.control(KILLED)
            cell.process_by_name[KILLED].end()
            cell.instances = [i for i in cell.instances if i["instance_id"] != KILLED]
            await running
            backends = {**await cell.counters("backend"), KILLED: last_counters}
            assert check_requests(load.sent_requests, backends.values()) == []
            outcomes_by_idempotence = {
                is_idempotent: {
                    request.outcome
                    for request in load.sent_requests
                    if request.idempotent is is_idempotent
                }
                for is_idempotent in (True, False)
            }
            assert outcomes_by_idempotence[True] == {Outcome.DONE}
            assert outcomes_by_idempotence[False] <= {Outcome.DONE, Outcome.UNKNOWN}

    asyncio.run(run())


def test_a_leaving_backend_server_gets_no_new_work(tmp_path: pathlib.Path) -> None:
    """Guards against requests to a server that is about to be removed."""

    async def leave(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.0)
        await cell.publish_instances(**{"leeds-backend-1": {"leaving": True}})
        await asyncio.sleep(CHANGE_BOUND_S)
        before = (await cell.control("leeds-backend-1"))["runs"]
        await asyncio.sleep(2.0)
        assert (await cell.control("leeds-backend-1"))["runs"] == before

    load_options = {"requests": 500, "jobs": 5, "spread_ms": 11_500}
    load = asyncio.run(run_load(tmp_path, leave, **load_options))
    assert {request.outcome for request in load.sent_requests} == {Outcome.DONE}


def test_shutdown_cuts_off_no_request(tmp_path: pathlib.Path) -> None:
    """Guards against requests that a graceful shutdown drops or ends as unknown."""

    async def shut_down(cell: Cell, load: Load) -> None:
        await asyncio.sleep(1.5)
        owner = await cell.owner_of("leeds.0")
        process = cell.process_by_name[owner.instance_id]
        process.send(signal.SIGTERM)
        load.faulty_urls.add(owner.url)

        async def has_ended() -> bool:
            return process.popen.poll() is not None

        await cell.wait_until(has_ended)
        assert process.popen.returncode == 0

    cell_options = {"zones": ("leeds",), "entries_per_zone": 2}
    load_options = {"requests": 400, "spread_ms": 4_000, "work_ms": 20}
    load = asyncio.run(
        run_load(tmp_path, shut_down, cell_options=cell_options, **load_options)
    )
    assert {request.outcome for request in load.sent_requests} == {Outcome.DONE}
    assert {job.outcome for job in load.sent_jobs} == {Outcome.DONE}


def test_requests_that_waited_until_the_deadline(tmp_path: pathlib.Path) -> None:
    """Guards against unknown outcomes of requests that the owner knows did not run."""

    async def run() -> None:
        cell_options = {"zones": ("leeds",), "entries_per_zone": 2}
        async with Cell(tmp_path, **cell_options) as cell:
            secret = (await cell.seed({TEAM: {"share": 1}}))[TEAM]
            await cell.wait_for_shards()
            owner = await cell.owner_of("leeds.0")
            (other,) = [plan for plan in cell.running_entries() if plan != owner]

            async def send(number: int) -> str:
                answer = await cell.fetch(
                    f"{other.url}/v1/run/{cell.service}",
                    "POST",
                    body={"work_ms": 3_000},
                    secret=secret,
                    headers={"Request-Id": f"r-{number}", "Deadline-Ms": "1000"},
                )
                return str(json.loads(answer.body)["error"]["ran"])

            reported = Counter(await asyncio.gather(*map(send, range(40))))
            backends = await cell.counters("backend")
            ran = sum(len(server["runs"]) for server in backends.values())
            assert reported == {"unknown": ran, "no": 40 - ran}
            assert check_slots(backends) == []

    asyncio.run(run())
