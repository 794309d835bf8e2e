"""A runner starts again under its id, at another address."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world.cell import Cell, run_case  # noqa: E402

BOUNDS = {"maxHoldMs": 6_000}
RUNNERS = 8
RESTART_S = 2.0


async def case(cell: Cell) -> None:
    """Play the case."""
    cell.publish_config()
    for number in range(RUNNERS):
        kind = "a" if number else "b"
        await cell.fleet.add(f"w{number}", (kind, "r1"), 64_000, "zone-a")
    await cell.start_entries(3)
    clients = cell.followers()
    runner = cell.fleet.runners[0]
    steps = [{"count": 2, "cpu": 4_000, "memMb": 256, "estMs": 500, "constraints": "b"}]
    spec = {"ms": 500, "cpu": 4_000}
    await asyncio.sleep(1.0)
    jobs = [await cell.submit(clients, steps, spec)]
    await asyncio.sleep(1.5)
    if cell.trouble:
        await runner.crash()
        await asyncio.sleep(RESTART_S)
        await runner.start()
    await asyncio.sleep(3.0)
    jobs.append(await cell.submit(clients, steps, spec))
    await cell.check_lost(clients[0], jobs, runner, need_cpu=2 * 4_000)


run_case(case, FOLDER, BOUNDS)
