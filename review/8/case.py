"""A runner that holds a lasting task fails what it starts for some seconds."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world.cell import Cell, run_case  # noqa: E402

BOUNDS = {"maxHoldMs": 6_000}
RUNNERS = 12
JOBS_IN_TROUBLE = 4
JOB_INTERVAL_S = 1.2


async def case(cell: Cell) -> None:
    """Play the case."""
    cell.publish_config()
    for number in range(RUNNERS):
        kind = "a" if number else "b"
        await cell.fleet.add(f"w{number}", (kind, "r1"), 64_000, "zone-a")
    await cell.start_entries(3)
    clients = cell.followers()
    runner = cell.fleet.runners[0]
    lasting = [
        {
            "count": RUNNERS,
            "cpu": 4_000,
            "memMb": 256,
            "antiAffinity": 1,
            "daemon": True,
        }
    ]
    await cell.submit(clients, lasting, {"daemon": True, "cpu": 4_000})
    steps = [{"count": 2, "cpu": 4_000, "memMb": 256, "estMs": 500, "constraints": "b"}]
    spec = {"ms": 500, "cpu": 4_000}
    await asyncio.sleep(1.0)
    jobs = [await cell.submit(clients, steps, spec)]
    await asyncio.sleep(1.5)
    if cell.trouble:
        cell.journal.add(f"runner {runner.runner_id} fails all that it starts")
        runner.fails_all = True
    for _ in range(JOBS_IN_TROUBLE):
        jobs.append(await cell.submit(clients, steps, spec))
        await asyncio.sleep(JOB_INTERVAL_S)
    runner.fails_all = False
    cell.journal.add(f"runner {runner.runner_id} is sound")
    await asyncio.sleep(4.0)
    jobs.append(await cell.submit(clients, steps, spec))
    await cell.check_lost(clients[0], jobs, runner, need_cpu=2 * 4_000)


run_case(case, FOLDER, BOUNDS)
