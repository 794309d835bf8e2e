"""A runner is cut off twice, the second time until its entry is removed."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world.cell import Cell, run_case  # noqa: E402

BOUNDS = {"maxHoldMs": 6_000}
RUNNERS = 12
SHORT_CUT_S = 2.5
LONG_CUT_S = 5.5


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
    for cut_s in (SHORT_CUT_S, LONG_CUT_S):
        await asyncio.sleep(2.0)
        if cell.trouble:
            cell.journal.add(f"runner {runner.runner_id} is cut off")
            runner.is_cut = runner.is_cut_from_store = True
        await asyncio.sleep(cut_s)
        if cell.trouble:
            cell.journal.add(f"runner {runner.runner_id} is reached again")
            runner.is_cut = runner.is_cut_from_store = False
        await asyncio.sleep(2.0)
        jobs.append(await cell.submit(clients, steps, spec))
    await cell.check_lost(clients[0], jobs, runner, need_cpu=2 * 4_000)


run_case(case, FOLDER, BOUNDS)
