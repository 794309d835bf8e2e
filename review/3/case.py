"""A job is cancelled while a runner is cut off, and the leading instance is killed."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin.cell import Cell, is_troubled, run_case  # noqa: E402
from standin.store import now_ms  # noqa: E402

RUNNERS = 6
CANCEL_MS, STOP_MS, CONTACT_MS = 3_000, 900, 3_000
# The cut is shorter than the lease of the runner, so that what runs there goes on.
CUT_S = 1.5
TASK_MS = 120_000
JOB = f"{1:016x}"


async def play(record_path: pathlib.Path) -> list[str]:
    """Play the case; return the broken rules."""
    cell = Cell(record_path)
    runners = [
        cell.add_runner(f"runner-{n}", lambda task: TASK_MS) for n in range(RUNNERS)
    ]
    async with cell:
        step = {"count": 2, "cpu": 12_000, "memMb": 13_000, "estMs": 2_000}
        body = {"spec": "watch", "steps": [{**step, "daemon": True}]}
        if not await cell.submit(JOB, body):
            raise RuntimeError("the job is not accepted")
        await asyncio.sleep(2.0)
        cut = [runner for runner in runners if runner.history]
        cell.record("running", runs=[e["task"] for e in cell.history()])
        if is_troubled():
            # One runner is a share of 0.17.
            cut[0].cut_off()
            cell.record("runner cut off", runner=cut[0].runner_id, for_s=CUT_S)
        await asyncio.sleep(0.3)
        status, _ = await cell.request("DELETE", JOB)
        acknowledged_ms = now_ms()
        cell.record("job cancelled", status=status)
        if status != 200:
            raise RuntimeError("the cancelling is not acknowledged")
        if is_troubled():
            cell.kill_leader()
            await asyncio.sleep(CUT_S - 0.3)
            cut[0].heal()
            cell.record("runner reachable again")
        # A calm stretch follows that is longer than contactMs, cancel_ms and stopMs.
        await asyncio.sleep((CONTACT_MS + CANCEL_MS + STOP_MS) / 1000 + 5.0)
        cell.record("state", state=await cell.state(JOB))
        broken = []
        for entry in cell.history():
            if not entry["how"]:
                broken.append(
                    f"UNASKED: {entry['task']} run {entry['run']} still runs on "
                    f"{entry['runner']} {now_ms() - acknowledged_ms} ms after the "
                    "cancelling of its job was acknowledged"
                )
        return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
