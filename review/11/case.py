"""An entry of another writer in the table `servers`, whose id is not ASCII.

With TROUBLE=0 that entry is not written.
"""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin-3"))
from cell import FINISH_S, TROUBLE, Cell, HttpServer, run  # noqa: E402

# A text of 13 bytes; the store takes keys of up to 200 bytes.
ODD_ID = "наряд-7"
JOBS = 6
# A job may have nothing running for this long.
IDLE_S = 3.0


def make_job() -> dict:
    """Return a job of two steps, each of two tasks of 2 s."""
    step = {"count": 2, "cpu": 1000, "memMb": 256, "estMs": 2000}
    return {"spec": json.dumps({"ms": 2000}), "steps": [step, {**step, "after": [0]}]}


async def serve_other(*_request: object) -> tuple[int, dict]:
    """Answer as a service that knows none of the calls to runners."""
    return 404, {}


async def main(record) -> int:
    """Play the case; return 0 if the rules held, 1 if one was broken."""
    cell = Cell(record)
    other = HttpServer(serve_other)
    try:
        await other.start("127.0.0.1")
        await cell.start()
        jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
        accepted = []
        for number, name in enumerate(jobs):
            status, _ = await cell.client("POST", name, make_job(), first=number)
            if status == 200:
                accepted.append(name)
        ended = time.monotonic()
        if len(accepted) < JOBS:
            return 2
        await asyncio.sleep(1.0)
        if TROUBLE:
            entry = {
                "service": "billing",
                "addr": other.address,
                "zone": "gampaha",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "seq": 1,
                "capacity": {"cpu": 4000, "memMb": 8192},
                "labels": ["a", "r9"],
            }
            cell.store.put("servers", ODD_ID, json.dumps(entry).encode())
            record(f"another writer adds the entry {ODD_ID!r} of service billing")
        await asyncio.sleep(max(0.0, ended + FINISH_S - time.monotonic()))
        record("finish_s after the end of the traffic: the jobs are asked for")
        broken = await check(cell, accepted, record)
        for instance in cell.instances:
            count = len(instance.exits)
            record(f"{instance.name}: its process ended by itself {count} times")
        return 1 if broken else 0
    finally:
        await cell.stop()
        await other.stop()


async def check(cell: Cell, accepted: list[str], record) -> bool:
    """Return whether an accepted job is unanswered, or stands still for 3 s."""
    broken = False
    for name in accepted:
        status, document = await cell.client("GET", name, tries=4, seconds=3.0)
        if status != 200:
            record(f"LOST: the GET for the accepted job {name} got no answer")
            broken = True
        elif document.get("state") != "completed":
            record(f"job {name} is {document}")
    done = {task for r in cell.runners for _, task, _ in r.done}
    waiting = [
        name
        for name in accepted
        if not all(f"{name}.0.1.{index}" in done for index in range(2))
    ]
    since = time.monotonic()
    while time.monotonic() - since < IDLE_S:
        if any(runner.running for runner in cell.runners):
            return broken
        await asyncio.sleep(0.02)
    for name in waiting:
        record(
            f"LOST: job {name} has had nothing running for 3 s, its second step has "
            "not run, and all runners are idle"
        )
    return broken or bool(waiting)


run(sys.argv[1], main, 110)
