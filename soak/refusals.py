"""Checks that a refused job never runs while instances are restarted in series.

    python -m soak.refusals --seeds 5 [--first 1] [--seconds 12] [--keep FOLDER]
    python -m soak.refusals --isolate ...

Clients hand in many small jobs, also again after an attempt without an answer, while
instances are killed, stopped, frozen and cut from the store. With `--isolate`,
instances are cut from the store and from each other, and many clients leave before the
answer. A job breaks the promise
if it was never accepted, its last attempt was refused with 429 or 503, and a worker
started one of its tasks.
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import pathlib
import sys
import time

from soak.cell import Soak, send_request
from soak.run import run_in_folder, submit_under_faults

REFUSED = (429, 503)
JOB_GAP_S = (0.02, 0.02)
FAULT_GAP_S = (0.3, 1.5)
# How long a client waits for an answer, as it also tells the instances.
CLIENT_TIMEOUT_MS = 1_200
MAX_ATTEMPTS = 4
RETRY_MS = 250
# Share of the refused clients that don't try again.
GIVE_UP_SHARE = 0.7
# Late writes and late orders to workers take effect within this time after the faults.
SETTLING_S = 6.0
FAULT_NAMES = ("kill", "terminate", "freeze", "cut_store", "store")
ISOLATING_FAULT_NAMES = ("isolate", "isolate", "freeze")
# Clients that leave early do so after at most this time, at first attempts.
EARLY_LEAVE_MS = (5, 120)


async def submit_and_leave(soak: Soak, number: int) -> None:
    """Hand a job in, leave before the answer and hand it in again elsewhere."""
    await submit(soak, number, soak.rng.randint(*EARLY_LEAVE_MS))


async def submit(
    soak: Soak, number: int, first_timeout_ms: int = CLIENT_TIMEOUT_MS
) -> None:
    """Hand a job in as a client does, until it is accepted or the client gives up."""
    job_id = f"{number:016x}"
    step = {"count": 1, "cpu": 100, "estMs": 50}
    body = {"spec": "100:50", "steps": [step]}
    headers = {"Host": "jobs.example", "X-Deadline-Ms": str(CLIENT_TIMEOUT_MS)}
    statuses = soak.statuses_by_job.setdefault(job_id, [])
    for attempt in range(MAX_ATTEMPTS):
        name = soak.rng.choice(soak.names)
        answer = await send_request(
            soak.front_by_name[name],
            "POST",
            f"/q/{job_id}",
            body,
            headers,
            CLIENT_TIMEOUT_MS if attempt else first_timeout_ms,
        )
        statuses.append(answer.status if answer is not None else 0)
        if statuses[-1] == 200:
            soak.accepted[job_id] = time.monotonic()
            return
        if statuses[-1] in REFUSED and soak.rng.random() < GIVE_UP_SHARE:
            return
        await asyncio.sleep(RETRY_MS / 1000)


async def run_refusals(
    soak: Soak, seconds: float, is_isolating: bool = False
) -> list[str]:
    """Run one seed and return the violations."""
    submit_job = submit_and_leave if is_isolating else submit
    names = ISOLATING_FAULT_NAMES if is_isolating else FAULT_NAMES
    number = await submit_under_faults(
        soak, seconds, submit_job, names, JOB_GAP_S, FAULT_GAP_S
    )
    await asyncio.sleep(SETTLING_S)
    audit = await soak.control_fleet(list_jobs=True)
    started = set(audit["started_jobs"])
    refused = {
        job_id: statuses
        for job_id, statuses in soak.statuses_by_job.items()
        if job_id not in soak.accepted and statuses[-1] in REFUSED
    }
    soak.record_event(
        f"{number} jobs, {len(soak.accepted)} accepted, {len(refused)} refused"
    )
    broken = [
        f"REFUSED: job {job_id} got {statuses} and was started"
        for job_id, statuses in refused.items()
        if job_id in started
    ]
    return [*broken, *audit["violations"]]


def main() -> int:
    """Run the seeds that the command line selects."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seconds", type=float, default=12.0, help="length of a seed")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs")
    parser.add_argument("--isolate", action="store_true", help="cut instances off")
    arguments = parser.parse_args()
    failed = []
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        play = functools.partial(
            run_refusals, seconds=arguments.seconds, is_isolating=arguments.isolate
        )
        if not asyncio.run(run_in_folder(seed, play, arguments.keep)):
            failed.append(seed)
    passed = arguments.seeds - len(failed)
    print(f"{passed} of {arguments.seeds} seeds passed; failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
