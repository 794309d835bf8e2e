"""All instances are killed, and the store comes back while they start again."""

import asyncio
import pathlib
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world.cell import Cell, run_case  # noqa: E402

BOUNDS = {"maxHoldMs": 6_000}
RUNNERS = 8
MAX_CPU = 20_000
TASK_CPU = 10_000
QUOTA_OVERAGE = 0.1
DOWN_S = 1.0
# The longest outage of the store at the site.
OUTAGE_S = 4.5
# The store is back this long after each instance has asked for the configuration.
BACK_AFTER_S = 0.3


async def case(cell: Cell) -> None:
    """Play the case."""
    cell.config["tenants"][0]["maxTasks"] = {"cpu": MAX_CPU}
    cell.publish_config()
    for number in range(RUNNERS):
        await cell.fleet.add(f"w{number}", ("a", "r1"), 64_000, "zone-a")
    limit = MAX_CPU * (1 + QUOTA_OVERAGE) + TASK_CPU

    def check(*_: Any) -> None:
        used = sum(run.cpu for runner in cell.fleet.runners for run in runner.runs)
        if used > limit:
            cell.journal.break_rule(
                f"QUOTA: a start brings the tenant to {used} thousandths of a core, "
                f"more than {limit:.0f}"
            )

    cell.fleet.on_start.append(check)
    await cell.start_entries(3)
    steps = [{"count": 12, "cpu": TASK_CPU, "memMb": 256, "estMs": 6_000}]
    await cell.submit(cell.followers(), steps, {"ms": 6_000, "cpu": TASK_CPU})
    await asyncio.sleep(2.0)
    for entry in cell.entries:
        entry.end()
    cell.journal.add("all instances are killed")
    ports = {entry.store_port for entry in cell.entries}
    began_s = time.monotonic()
    if cell.trouble:
        cell.store.silent_ports |= ports
        cell.journal.add("the store is silent")
    await asyncio.sleep(DOWN_S)
    for entry in cell.entries:
        entry.start()
    cell.journal.add("all instances start")
    if cell.trouble:
        # A killed instance may have left a request, which is not counted.
        cell.store.swallowed.clear()
        await cell.wait_for(
            lambda: (
                {port for port, table in cell.store.swallowed if table == "op"} == ports
            ),
            OUTAGE_S - DOWN_S - BACK_AFTER_S,
            "a request for the configuration from each instance",
        )
        await asyncio.sleep(BACK_AFTER_S)
        cell.store.silent_ports.clear()
        down_s = time.monotonic() - began_s
        cell.journal.add(f"the store answers again after {down_s:.1f} s")
    await asyncio.sleep(8.0)


run_case(case, FOLDER, BOUNDS)
