"""A job of layered steps comes among small jobs."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin.cell import Cell, is_troubled, run_case  # noqa: E402
from standin.httpd import call  # noqa: E402
from standin.store import now_ms  # noqa: E402

LAYERS, STEPS_PER_LAYER = 12, 4
SMALL_JOBS = 20
TASK_MS = 300
FINISH_S = 14.0
BIG_JOB = "b" * 16


def layered_steps() -> list[dict[str, object]]:
    """Return the steps of the large job: each follows all steps of the layer before.

    Without the disruption each step follows one step of the layer before.
    """
    steps: list[dict[str, object]] = []
    for layer in range(LAYERS):
        for place in range(STEPS_PER_LAYER):
            step: dict[str, object] = {"count": 1, "cpu": 500, "memMb": 256}
            step["estMs"] = TASK_MS
            first = (layer - 1) * STEPS_PER_LAYER
            if layer and is_troubled():
                step["after"] = list(range(first, first + STEPS_PER_LAYER))
            elif layer:
                step["after"] = [first + place]
            steps.append(step)
    return steps


async def play(record_path: pathlib.Path) -> list[str]:
    """Play the case; return the broken rules."""
    cell = Cell(record_path)
    for number in range(4):
        cell.add_runner(f"runner-{number}", lambda task: TASK_MS)
    async with cell:
        small_ids = [f"{n + 1:016x}" for n in range(SMALL_JOBS)]
        step = {"count": 2, "cpu": 1_000, "memMb": 512, "estMs": TASK_MS}
        small = {"spec": "work", "steps": [step, {**step, "after": [0]}]}
        sending = []
        for number, job_id in enumerate(small_ids):
            sending.append(asyncio.create_task(cell.submit(job_id, small)))
            if number == SMALL_JOBS // 2:
                large = {"spec": "work", "steps": layered_steps()}
                sending.append(asyncio.create_task(cell.submit(BIG_JOB, large)))
            await asyncio.sleep(0.3)
        await asyncio.gather(*sending)
        cell.record("end of the traffic", accepted=len(cell.accepted_ms_by_job))
        await asyncio.sleep(FINISH_S)
        return await check(cell, small_ids)


async def check(cell: Cell, small_ids: list[str]) -> list[str]:
    """Return the instances that do not answer, and the breaches of LOST."""
    broken = []
    for number, address in enumerate(cell.readies):
        status, _ = await call(address, "GET", "/ready", timeout_s=5.0)
        usage = cpu_seconds(cell.processes[number].pid)
        cell.record("instance asked", number=number, ready=status, cpu_s=usage)
        if status == 0:
            broken.append(
                f"instance {number} hangs: no answer to GET /ready within 5 s, "
                f"{usage:.1f} s of processor time used"
            )
    asked_ms = now_ms()
    known_ids = [job_id for job_id in small_ids if job_id in cell.accepted_ms_by_job]
    states = await asyncio.gather(*(cell.state(job_id) for job_id in known_ids))
    for job_id, state in zip(known_ids, states, strict=True):
        if state != "completed":
            broken.append(
                f"LOST: accepted job {job_id}: {state} "
                f"{(asked_ms - cell.accepted_ms_by_job[job_id]) / 1000:.1f} s after "
                "its acceptance"
            )
    if BIG_JOB in cell.accepted_ms_by_job:
        cell.record("large job", state=await cell.state(BIG_JOB))
    return broken


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process of this case has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
