"""A runner with tasks that allow speculative copies is cut off."""

import asyncio
import pathlib
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world.cell import Cell, run_case  # noqa: E402

BOUNDS = {"maxHoldMs": 6_000}
RUNNERS = 8
TASKS = 4
TASK_CPU = 10_000
MAX_CPU = TASKS * TASK_CPU
QUOTA_OVERAGE = 0.1
TASK_MS = 6_000
CUT_S = 5.5


async def case(cell: Cell) -> None:
    """Play the case."""
    cell.config["tenants"][0]["maxTasks"] = {"cpu": MAX_CPU}
    cell.publish_config()
    for number in range(RUNNERS):
        # Tasks are packed onto the smallest runner, which is the one to be cut.
        cpu = 128_000 if number else 64_000
        await cell.fleet.add(f"w{number}", ("a", "r1"), cpu, "zone-a")
    limit = MAX_CPU * (1 + QUOTA_OVERAGE) + TASK_CPU

    def check(*_: Any) -> None:
        used = sum(run.cpu for runner in cell.fleet.runners for run in runner.runs)
        if used > limit:
            cell.journal.break_rule(
                f"QUOTA: a start brings the tenant to {used} thousandths of a core, "
                f"more than {limit:.0f}"
            )

    cell.fleet.on_start.append(check)
    # Two runs of one task are allowed here.
    cell.fleet.allows_copies = True
    await cell.start_entries(3)
    runner = cell.fleet.runners[0]
    steps = [
        {
            "count": TASKS,
            "cpu": TASK_CPU,
            "memMb": 256,
            "estMs": TASK_MS,
            "speculative": True,
        }
    ]
    spec = {"ms": TASK_MS, "cpu": TASK_CPU}
    job = await cell.submit(cell.followers(), steps, spec)
    await cell.wait_for(
        lambda: len(runner.runs) == TASKS, 5.0, "all tasks on the runner"
    )
    await asyncio.sleep(1.0)
    if cell.trouble:
        cell.journal.add(f"runner {runner.runner_id} is cut off and runs on")
        runner.is_cut = runner.is_cut_from_store = True
    await asyncio.sleep(CUT_S)
    if cell.trouble:
        cell.journal.add(f"runner {runner.runner_id} is reached again")
        runner.is_cut = runner.is_cut_from_store = False
    await asyncio.sleep(8.0)
    await cell.state(cell.followers()[0], job)


run_case(case, FOLDER, BOUNDS)
