"""Many tasks of one runner end while the platform's store is silent."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin.cell import Cell, is_troubled, run_case  # noqa: E402
from standin.store import now_ms  # noqa: E402

JOBS = 40
TASKS = 50
TASK_CPU = 30
TASK_MB = 32
SHORTEST_MS, LONGEST_MS = 8_000, 12_000
# The largest outage of the store that the site file names.
OUTAGE_S = 4.5
FINISH_S = 14.0


def duration_ms(task: str) -> int:
    """Return how long a task takes; the same on every run."""
    return random.Random(task).randrange(SHORTEST_MS, LONGEST_MS)


async def play(record_path: pathlib.Path) -> list[str]:
    """Play the case; return the broken rules."""
    cell = Cell(record_path)
    runners = [cell.add_runner(f"runner-{n}", duration_ms) for n in range(2)]
    async with cell:
        step = {"count": TASKS, "cpu": TASK_CPU, "memMb": TASK_MB, "estMs": 10_000}
        job_ids = [f"{n + 1:016x}" for n in range(JOBS)]
        for job_id in job_ids:
            await cell.submit(job_id, {"spec": "work", "steps": [step]})
            await asyncio.sleep(0.1)
        while len(cell.history()) < JOBS * TASKS:
            await asyncio.sleep(0.1)
            if now_ms() - cell.began_ms > 30_000:
                raise RuntimeError("the tasks do not start")
        first_ms = cell.history()[0]["began_ms"]
        last_ms = cell.history()[-1]["began_ms"]
        cell.record(
            "all started",
            first=first_ms - cell.began_ms,
            last=last_ms - cell.began_ms,
            per_runner=[len(runner.history) for runner in runners],
        )
        # The outage begins while the first tasks end.
        await asyncio.sleep(
            max(0.0, (first_ms + SHORTEST_MS + 1_000 - now_ms()) / 1000)
        )
        if is_troubled():
            cell.record("store silent", for_s=OUTAGE_S)
            cell.store.go_silent()
        await asyncio.sleep(OUTAGE_S)
        pending = [runner.most_pending_ends() for runner in runners]
        cell.record("ends not taken note of", by_runner=pending)
        if is_troubled():
            cell.store.come_back()
            cell.record("store back")
        await asyncio.sleep(FINISH_S)
        states = [await cell.state(job_id) for job_id in job_ids]
        cell.record("states", **{s: states.count(s) for s in sorted(set(states))})
        return check(cell)


def check(cell: Cell) -> list[str]:
    """Return the breaches of TWICE."""
    broken = []
    done_by_task: dict[str, dict[str, object]] = {}
    for entry in cell.history():
        earlier = done_by_task.get(entry["task"])
        if earlier is not None and earlier["ended_ms"] <= entry["began_ms"]:
            broken.append(
                f"TWICE: {entry['task']} run {entry['run']} began on {entry['runner']} "
                f"at {(entry['began_ms'] - cell.began_ms) / 1000:.3f} s; run "
                f"{earlier['run']} had ended done on {earlier['runner']} at "
                f"{(earlier['ended_ms'] - cell.began_ms) / 1000:.3f} s, taken note of "
                f"at {(earlier['noted_ms'] - cell.began_ms) / 1000:.3f} s"
            )
        if entry["how"] == "done" and entry["noted_ms"]:
            done_by_task.setdefault(entry["task"], entry)
    by_how: dict[str, int] = {}
    for entry in cell.history():
        by_how[entry["how"]] = by_how.get(entry["how"], 0) + 1
    cell.record("runs by end", **by_how)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
