"""A runner starts again under its id, gets work, and is cut off from the system."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world.cell import Cell, run_case  # noqa: E402

BOUNDS = {"maxHoldMs": 6_000}
RUNNERS = 8
# The clock of the earlier incarnation is ahead of that of the new one by this much.
UPTIME_S = 14.0
RESTART_S = 1.0
CUT_S = 5.5
TASK_MS = 6_000


async def case(cell: Cell) -> None:
    """Play the case."""
    cell.publish_config()
    for number in range(RUNNERS):
        # Tasks are packed onto the smallest runner first, which is the one to be cut.
        cpu = 64_000 if number else 32_000
        await cell.fleet.add(f"w{number}", ("a", "r1"), cpu, "zone-a")
    await cell.start_entries(3)
    clients = cell.followers()
    runner = cell.fleet.runners[0]
    steps = [{"count": 2, "cpu": 10_000, "memMb": 256, "estMs": TASK_MS}]
    spec = {"ms": TASK_MS, "cpu": 10_000}
    await cell.submit(clients, steps, spec)
    await asyncio.sleep(UPTIME_S)
    if cell.trouble:
        await runner.crash()
        await asyncio.sleep(RESTART_S)
        await runner.start(runner.port)
    await asyncio.sleep(0.4)
    job = await cell.submit(clients, steps, spec)
    await cell.wait_for(
        lambda: any(run.task.startswith(job) for run in runner.run_by_key.values()),
        5.0,
        "a task of the job on the restarted runner",
    )
    await asyncio.sleep(0.1)
    if cell.trouble:
        cell.journal.add(f"runner {runner.runner_id} is cut off and runs on")
        runner.is_cut = True
    await asyncio.sleep(CUT_S)
    if runner.is_cut:
        cell.journal.add(f"runner {runner.runner_id} is reached again")
        runner.is_cut = False
    await asyncio.sleep(8.0)
    await cell.state(clients[0], job)


run_case(case, FOLDER, BOUNDS)
