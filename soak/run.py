"""Runs the real programs as processes, injects faults and checks the guarantees.

    python -m soak.run --seeds 5 [--first 1] [--seconds 12] [--untrusted]
        [--instances 3]
    python -m soak.run --stops [--faults] ...

Each seed injects a series of overlapping faults: signals kill, freeze, stop and reload
instances, the store is busy, slow or loses responses, a loopback relay disconnects
instances and workers, and workers crash and execute orders late. Another writer leaves
odd entries among those of the workers and instances. Clients submit jobs throughout.
Then all faults end, and every accepted job must complete in time. No process may end by
itself. Only processes that the soak run started are ended. With `--stops`, instances
are stopped in overlapping series instead (`soak/stops.py`), with `--faults` beside the
faults.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import functools
import json
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any

from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    HttpResponse,
)
from soak.cell import (
    DEADLINE_MS,
    HOST_BY_INSTANCE,
    INSTANCES,
    Soak,
    send_request,
)
from soak.faults import FAULTS
from soak.oddentries import write_odd_entries
from soak.stops import StopPlay

# Time limit, set by the rules, for the completion of jobs whose state is requested
# after the end of the traffic.
COMPLETION_TIMEOUT_S = 14.0
READY_TIMEOUT_S = 10.0
FIRST_FAULT_S = 0.5
# Left out here, so that the seeds that have failed before keep their faults.
REFUSAL_FAULTS = ("isolate",)
UNTRUSTED_FAULTS = ("unfinished", "reconnecting", "complete", "strangers")
# Memory of the smallest instances.
MEMORY_MB = 200
MEASURE_S = 0.25
KEPT_CONNECTIONS = 8

# Seeds that have failed before, each with the cause.
REGRESSIONS = {
    1: "a worker restarted: its task ends were acknowledged for its earlier "
    "incarnation, and an order to that incarnation arrived late, after the task was "
    "placed on another worker",
    20: "a connection that was closed immediately after opening ended the process",
}


async def submit(soak: Soak, number: int) -> None:
    """Submit a job as a client does, with retries until a response accepts it."""
    job_id = f"{number:016x}"
    took_ms = soak.rng.randrange(50, 900)
    step: dict[str, Any] = {"count": soak.rng.randrange(1, 5), "cpu": 1_000}
    step["estMs"] = took_ms
    steps = [step]
    if soak.rng.random() < 0.4:
        steps.append({**step, "count": 1, "after": [0]})
    body = {"spec": f"1000:{took_ms}", "steps": steps}
    statuses = soak.statuses_by_job.setdefault(job_id, [])
    for _ in range(4):
        name = soak.rng.choice(soak.names)
        headers = {"Host": "jobs.example", "X-Deadline-Ms": str(DEADLINE_MS)}
        answer = await _hand_in(soak, name, number, f"/q/{job_id}", body, headers)
        statuses.append(answer.status if answer is not None else 0)
        if answer is not None and answer.status == 200:
            soak.accepted[job_id] = time.monotonic()
            return
        await asyncio.sleep(0.4)


async def _hand_in(
    soak: Soak,
    name: str,
    number: int,
    path: str,
    body: Any,
    headers: dict[str, str],
) -> HttpResponse | None:
    """Send a submission, every second one on a connection that is kept."""
    pool = soak.pool_by_name.get(name)
    if pool is None or number % 2:
        return await send_request(soak.front_by_name[name], "POST", path, body, headers)
    try:
        return await pool.request(
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers=headers,
            timeout_ms=DEADLINE_MS,
        )
    except (HttpNotSentError, HttpNoResponseError):
        return None


async def state_of(soak: Soak, job_id: str) -> str:
    """Return the state of a job, "410" if it is unknown, or "no response"."""
    for name in soak.names:
        headers = {"Host": "jobs.example"}
        answer = await send_request(
            soak.front_by_name[name], "GET", f"/q/{job_id}", None, headers
        )
        if answer is not None and answer.status == 200:
            return str(json.loads(answer.body)["state"])
        if answer is not None and answer.status == 410:
            return "410"
    return "no response"


async def submit_under_faults(
    soak: Soak,
    seconds: float,
    submit_job: Callable[[Soak, int], Coroutine[Any, Any, None]],
    fault_names: Sequence[str],
    job_gap_s: tuple[float, float],
    fault_gap_s: tuple[float, float],
) -> int:
    """Start the cell, submit jobs while faults overlap, and wait until all is over.

    Args:
        soak: The soak run.
        seconds: How long jobs are submitted and faults begin.
        submit_job: Submits the job with a number as a client does.
        fault_names: Faults to choose from.
        job_gap_s: Shortest and longest time between two jobs, in seconds.
        fault_gap_s: Shortest and longest time between two faults, in seconds.

    Returns:
        How many jobs were submitted; they are numbered from 1.
    """
    await soak.start()
    await wait_until_ready(soak)
    for name, address in soak.front_by_name.items():
        soak.pool_by_name[name] = HttpPool(address, KEPT_CONNECTIONS)
    tasks: list[asyncio.Task[None]] = []
    end = time.monotonic() + seconds
    next_fault = time.monotonic() + FIRST_FAULT_S
    number = 0
    while time.monotonic() < end:
        number += 1
        tasks.append(asyncio.create_task(submit_job(soak, number)))
        if time.monotonic() >= next_fault:
            name = soak.rng.choice(fault_names)
            tasks.append(asyncio.create_task(FAULTS.get(name)(soak)))
            next_fault = time.monotonic() + soak.rng.uniform(*fault_gap_s)
        await asyncio.sleep(soak.rng.uniform(*job_gap_s))
    await asyncio.gather(*tasks)
    soak.record_event("all faults are over")
    return number


async def run_soak(soak: Soak, seconds: float, is_untrusted: bool = False) -> list[str]:
    """Run one seed and return the violations.

    Args:
        soak: The soak run.
        seconds: How long jobs are submitted and faults begin.
        is_untrusted: Whether some clients do not keep to the limits.
    """
    left_out = REFUSAL_FAULTS + (() if is_untrusted else UNTRUSTED_FAULTS)
    names = [name for name in FAULTS.iter_names() if name not in left_out]
    if is_untrusted:
        soak.limits["memory_mb"] = MEMORY_MB
    play = functools.partial(
        submit_under_faults, soak, seconds, submit, names, (0.1, 0.3), (0.2, 2.0)
    )
    return await _check_promises(soak, play, [write_odd_entries(soak)])


async def run_stops(soak: Soak, seconds: float, has_faults: bool = False) -> list[str]:
    """Run one seed of overlapping stops and return the violations.

    Args:
        soak: The soak run.
        seconds: How long clients send and stops begin.
        has_faults: Whether the faults of `run_soak` overlap; then the promises of the
            stops themselves are not checked, since a fault may break them.
    """
    names = [n for n in FAULTS.iter_names() if n not in UNTRUSTED_FAULTS]
    stops = StopPlay(soak)

    async def play() -> int:
        await soak.start()
        await wait_until_ready(soak)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(stops.run(seconds))
            if has_faults:
                tasks.create_task(_inject_faults(soak, seconds, names))
        return len(soak.statuses_by_job)

    broken = await _check_promises(soak, play, [])
    soak.record_event(f"{soak.events[-1][8:]}; {stops.describe()}")
    return broken if has_faults else [*broken, *stops.find_violations()]


async def _inject_faults(soak: Soak, seconds: float, names: Sequence[str]) -> None:
    """Inject overlapping faults for a time, and return when all are over."""
    end = time.monotonic() + seconds
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < end:
            tasks.create_task(FAULTS.get(soak.rng.choice(names))(soak))
            await asyncio.sleep(soak.rng.uniform(0.2, 2.0))


async def _check_promises(
    soak: Soak,
    play: Callable[[], Coroutine[Any, Any, int]],
    beside: Sequence[Coroutine[Any, Any, None]],
) -> list[str]:
    """Run a play and what disturbs it, and return the violations of the usual promises.

    Args:
        soak: The soak run.
        play: Starts the cell, submits jobs and returns their number.
        beside: Runs in the background until the jobs have completed.
    """
    background = [
        asyncio.create_task(each) for each in (_measure_memory(soak), *beside)
    ]
    try:
        number = await play()
        broken = await _await_completion(soak)
    finally:
        for task in background:
            task.cancel()
        ended = await asyncio.gather(*background, return_exceptions=True)
    broken += [f"a background task failed: {e!r}" for e in ended if _is_failure(e)]
    broken += [
        f"the process of {process.name} ended by itself, exit status {status}"
        for process in soak.started
        if (status := process.popen.poll()) is not None and status > 0
    ]
    audit = await soak.control_fleet()
    soak.record_event(
        f"{audit['starts']} starts, {len(soak.accepted)} of {number} accepted, "
        f"at most {soak.peak_mb:.0f} MB"
    )
    if soak.peak_mb >= MEMORY_MB:
        broken.append(f"an instance used {soak.peak_mb:.0f} of {MEMORY_MB} MB")
    return [*broken, *audit["violations"]]


def _is_failure(result: object) -> bool:
    return not isinstance(result, asyncio.CancelledError)


async def _measure_memory(soak: Soak) -> None:
    while True:
        await asyncio.sleep(MEASURE_S)
        if soak.front_by_name and all(n in soak.process_by_name for n in soak.names):
            soak.measure_memory()


async def wait_until_ready(soak: Soak) -> None:
    """Wait until an instance answers for the leader.

    Raises:
        RuntimeError: If none does within `READY_TIMEOUT_S`.
    """
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        if await state_of(soak, "f" * 16) == "410":
            return
        await asyncio.sleep(0.2)
    raise RuntimeError("no instance responds; see the logs")


async def _await_completion(soak: Soak) -> list[str]:
    end = time.monotonic() + COMPLETION_TIMEOUT_S
    open_jobs = set(soak.accepted)
    state_by_job: dict[str, str] = {}
    while open_jobs and time.monotonic() < end:
        for job_id in sorted(open_jobs):
            state_by_job[job_id] = await state_of(soak, job_id)
            if state_by_job[job_id] == "completed":
                open_jobs.discard(job_id)
        await asyncio.sleep(0.2)
    broken = [f"job {j} is {state_by_job.get(j)}" for j in sorted(open_jobs)]
    for job_id, statuses in soak.statuses_by_job.items():
        if job_id in soak.accepted or any(code not in (429, 503) for code in statuses):
            continue
        state = await state_of(soak, job_id)
        if state not in ("410", "no response"):
            broken.append(f"job {job_id} was refused with {statuses} and is {state}")
    return broken


async def run_seed(
    seed: int,
    seconds: float,
    log_folder: pathlib.Path | None,
    is_untrusted: bool = False,
    instances: int = len(INSTANCES),
) -> bool:
    """Run a seed of all faults; return whether all guarantees held."""
    play = functools.partial(run_soak, seconds=seconds, is_untrusted=is_untrusted)
    return await run_in_folder(seed, play, log_folder, instances)


async def run_in_folder(
    seed: int,
    play: Callable[[Soak], Awaitable[list[str]]],
    log_folder: pathlib.Path | None,
    instances: int = len(INSTANCES),
) -> bool:
    """Run a seed in its own folder; return whether all guarantees held.

    Args:
        seed: Seed of the random generator.
        play: Starts the processes, disturbs them and returns the violations.
        log_folder: Where to keep settings and logs, or None to remove them.
        instances: Number of instances.
    """
    with contextlib.ExitStack() as stack:
        if log_folder is None:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        else:
            folder = log_folder / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        names = tuple(HOST_BY_INSTANCE)[:instances]
        soak = Soak(folder, random.Random(seed), names=names)
        try:
            broken = await play(soak)
        finally:
            await soak.stop()
        (folder / "events.log").write_text("\n".join([*soak.events, *broken]))
        print(f"seed {seed}: {'ok' if not broken else 'BROKEN'}; {soak.events[-1]}")
        if broken:
            print("\n".join([*soak.events, *broken]))
    return not broken


def main() -> int:
    """Run the seeds that the command line selects."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument(
        "--seconds",
        type=float,
        default=12.0,
        help="seconds of traffic and faults for each seed",
    )
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs")
    parser.add_argument(
        "--regressions", action="store_true", help="run the seeds that failed before"
    )
    parser.add_argument(
        "--untrusted", action="store_true", help="clients that do not keep the limits"
    )
    parser.add_argument(
        "--stops", action="store_true", help="stop instances in overlapping series"
    )
    parser.add_argument(
        "--faults", action="store_true", help="with --stops: the other faults as well"
    )
    parser.add_argument(
        "--instances", type=int, default=len(INSTANCES), help="number of instances"
    )
    arguments = parser.parse_args()
    seeds = list(range(arguments.first, arguments.first + arguments.seeds))
    if arguments.regressions:
        seeds = list(REGRESSIONS)
    play = functools.partial(run_soak, is_untrusted=arguments.untrusted)
    if arguments.stops:
        play = functools.partial(run_stops, has_faults=arguments.faults)
    play = functools.partial(play, seconds=arguments.seconds)
    failed = [
        seed
        for seed in seeds
        if not asyncio.run(
            run_in_folder(seed, play, arguments.keep, arguments.instances)
        )
    ]
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds passed; failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
