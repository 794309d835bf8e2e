"""Runs the real programs as processes, injects faults and checks the promises.

    python -m soak.run --seeds 5 [--first 1] [--seconds 12]

Each seed plays a series of overlapping faults: instances are killed, frozen, stopped
and reloaded by signals, the store is busy, slow or loses answers, instances and
workers are cut off by a loopback relay, workers crash and carry orders out late.
Clients hand jobs in all the while. At the end all faults stop and every accepted job
must be complete. Only processes that the soak started are ended.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

import attrs

from marjoramgrade.adapters.httppool import (
    HttpAnswer,
    HttpNoAnswerError,
    HttpNotSentError,
    HttpPool,
)
from marjoramgrade.registry import Registry
from standins.processes import HOST, Process

INSTANCES = ("a", "b", "c")
WORKERS = 4
WORKER_CPU = 4_000
# The rules' bound for jobs that are asked for after the end of the traffic.
FINISH_S = 14.0
GRACE_S = 4
START_S = 10.0
DEADLINE_MS = 3_000

Fault = Callable[["Soak"], Any]
# Seeds that failed once, each with its cause.
REGRESSIONS = {
    20: "a connection that was closed as soon as it was made ended the process",
}
FAULTS: Registry[Fault] = Registry("fault")


# Below the ports that the kernel gives to outgoing connections, one of which could
# otherwise take the port of an instance that is down.
FIRST_PORT, LAST_PORT = 12_000, 32_000


@attrs.define
class StablePorts:
    """Picks free ports that stay free while nobody listens on them."""

    _picked: set[int] = attrs.field(factory=set)

    def pick(self) -> int:
        """Return a free port."""
        while True:
            port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
            with socket.socket() as probe:
                if port not in self._picked and probe.connect_ex((HOST, port)) != 0:
                    self._picked.add(port)
                    return port


@attrs.define
class Soak:
    """One seed.

    Attributes:
        folder: Where settings and logs lie.
        rng: Decides everything.
        events: What happened, with its time.
        accepted: Ids of the jobs that were answered with success.
        refused: Ids of jobs of which every answer was a refusal.
    """

    folder: pathlib.Path
    rng: random.Random
    ports: StablePorts = attrs.field(factory=lambda: StablePorts())
    process_by_name: dict[str, Process] = attrs.field(factory=dict)
    front_by_name: dict[str, str] = attrs.field(factory=dict)
    events: list[str] = attrs.field(factory=list)
    accepted: dict[str, float] = attrs.field(factory=dict)
    answers: dict[str, list[int]] = attrs.field(factory=dict)
    rules: list[list[str]] = attrs.field(factory=list)
    began: float = attrs.field(factory=time.monotonic)
    control: int = 0
    relay: int = 0

    def note(self, text: str) -> None:
        """Record an event."""
        self.events.append(f"{time.monotonic() - self.began:7.2f} {text}")

    async def start(self) -> None:
        """Start the stand-in, the relay and the instances."""
        pick = self.ports.pick
        store, self.control, self.relay = pick(), pick(), pick()
        routes, workers = [], []
        for number in range(WORKERS):
            real, relayed = pick(), pick()
            addr = f"{HOST}:{relayed}"
            entry = {"id": f"w{number}", "addr": addr, "port": real, "cpu": WORKER_CPU}
            workers.append(entry)
            routes.append(_route(f"w{number}", relayed, real))
        plan = {
            "store": store,
            "control": self.control,
            "workers": workers,
            "config": _config(),
        }
        for name in INSTANCES:
            relayed = pick()
            routes.append(_route(f"store-{name}", relayed, store))
            self._write_settings(name, relayed)
        self._write("plan.json", plan)
        self._write("routes.json", routes)
        self._spawn("fleet", "standins.fleet", str(self.folder / "plan.json"))
        self._spawn(
            "relay",
            "standins.relay",
            str(self.folder / "routes.json"),
            HOST,
            str(self.relay),
        )
        await asyncio.sleep(1.0)
        for name in INSTANCES:
            self.start_instance(name)

    def start_instance(self, name: str) -> None:
        """Start an instance, again if it has ended."""
        module = "soak.instance"
        self._spawn(name, module, str(self.folder / f"{name}.settings"))

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        process = Process.spawn(name, self.folder, module, *arguments)
        self.process_by_name[name] = process

    def _write(self, name: str, document: Any) -> None:
        (self.folder / name).write_text(json.dumps(document), encoding="utf-8")

    def _write_settings(self, name: str, store: int) -> None:
        front = f"{HOST}:{self.ports.pick()}"
        self.front_by_name[name] = front
        self._write(
            f"{name}.settings",
            {
                "instance_id": name,
                "zone": "north",
                "host": HOST,
                "front": front,
                "ready": f"{HOST}:{self.ports.pick()}",
                "peer_port": self.ports.pick(),
                "metrics_port": self.ports.pick(),
                "store": f"{HOST}:{store}",
                "advice": f"{HOST}:1",
                "cpu_share": 1.0,
                "cores": 1.0,
                "link_mbps": 1_000.0,
                "longest_lease_ms": 6_000,
                "status_s": 120,
                "shutdown_s": GRACE_S,
            },
        )

    async def command(self, **body: Any) -> dict[str, Any]:
        """Change the stand-in's behaviour and return the audit."""
        answer = await _call(f"{HOST}:{self.control}", "POST", "/control", body)
        if answer is None:
            raise RuntimeError("the stand-in does not answer")
        document: dict[str, Any] = json.loads(answer.body)
        return document

    async def cut(self, target: str, mode: str, seconds: float) -> None:
        """Drop or stall the connections to a target for a while."""
        rule = ["", target, mode]
        self.rules.append(rule)
        await self._send_rules()
        await asyncio.sleep(seconds)
        self.rules.remove(rule)
        await self._send_rules()

    async def _send_rules(self) -> None:
        rules = {"rules": self.rules}
        await _call(f"{HOST}:{self.relay}", "POST", "/control", rules)

    async def stop(self) -> None:
        """End every process that this soak started."""
        for process in self.process_by_name.values():
            process.end()


def _route(target: str, listen: int, port: int) -> dict[str, Any]:
    return {
        "target": target,
        "listen_host": HOST,
        "listen_port": listen,
        "host": HOST,
        "port": port,
    }


def _config() -> dict[str, Any]:
    route = {
        "name": "q",
        "host": "jobs.example",
        "pathPrefix": "/q/",
        "service": "pool",
        "attempts": 3,
        "sloMs": 500,
        "public": True,
    }
    return {"version": 1, "routes": [route], "services": [{"name": "pool"}]}


async def _call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> HttpAnswer | None:
    pool = HttpPool(address, 1)
    data = b"" if body is None else json.dumps(body).encode()
    try:
        return await pool.request(
            method, path, body=data, headers=headers, timeout_ms=DEADLINE_MS
        )
    except (HttpNotSentError, HttpNoAnswerError):
        return None
    finally:
        pool.close()


# Faults; each one ends by itself.


@FAULTS.register("kill")
async def kill(soak: Soak) -> None:
    """Kill an instance and start it again."""
    name = soak.rng.choice(INSTANCES)
    soak.note(f"kill {name}")
    soak.process_by_name[name].end()
    await asyncio.sleep(soak.rng.uniform(0.1, 2.0))
    soak.start_instance(name)


@FAULTS.register("kill_all")
async def kill_all(soak: Soak) -> None:
    """Kill all instances at once."""
    soak.note("kill all")
    for name in INSTANCES:
        soak.process_by_name[name].end()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.5))
    for name in INSTANCES:
        soak.start_instance(name)


@FAULTS.register("freeze")
async def freeze(soak: Soak) -> None:
    """Freeze an instance and let it go on."""
    name = soak.rng.choice(INSTANCES)
    process = soak.process_by_name[name]
    soak.note(f"freeze {name}")
    process.send(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    process.send(signal.SIGCONT)


@FAULTS.register("terminate")
async def terminate(soak: Soak) -> None:
    """Stop an instance gracefully and start it again."""
    name = soak.rng.choice(INSTANCES)
    process = soak.process_by_name[name]
    soak.note(f"terminate {name}")
    process.send(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    process.end()
    soak.start_instance(name)


@FAULTS.register("reload")
async def reload(soak: Soak) -> None:
    """Send SIGHUP."""
    name = soak.rng.choice(INSTANCES)
    soak.note(f"reload {name}")
    soak.process_by_name[name].send(signal.SIGHUP)


@FAULTS.register("store")
async def store(soak: Soak) -> None:
    """Let the store be busy, slow or lose answers."""
    mode = soak.rng.choice(("busy", "slow", "lost"))
    soak.note(f"store {mode}")
    await soak.command(mode=mode)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    await soak.command(mode="ok")


@FAULTS.register("cut_store")
async def cut_store(soak: Soak) -> None:
    """Cut one instance off from the store."""
    target = f"store-{soak.rng.choice(INSTANCES)}"
    mode = soak.rng.choice(("drop", "stall"))
    soak.note(f"{mode} {target}")
    await soak.cut(target, mode, soak.rng.uniform(0.5, 4.0))


@FAULTS.register("cut_worker")
async def cut_worker(soak: Soak) -> None:
    """Cut one worker off from all instances."""
    target = f"w{soak.rng.randrange(WORKERS)}"
    mode = soak.rng.choice(("drop", "stall"))
    soak.note(f"{mode} {target}")
    await soak.cut(target, mode, soak.rng.uniform(0.5, 6.0))


@FAULTS.register("crash_worker")
async def crash_worker(soak: Soak) -> None:
    """Let a worker start again."""
    number = soak.rng.randrange(WORKERS)
    soak.note(f"crash w{number}")
    await soak.command(crash=number)


@FAULTS.register("late")
async def late(soak: Soak) -> None:
    """Let orders to workers go unanswered and be carried out late."""
    soak.note("late orders")
    await soak.command(late=0.1)
    await asyncio.sleep(soak.rng.uniform(1.0, 3.0))
    await soak.command(late=0.0)


# Clients


async def submit(soak: Soak, number: int) -> None:
    """Hand a job in as a client does: again after each answer without a promise."""
    job_id = f"{number:016x}"
    took_ms = soak.rng.randrange(50, 900)
    step: dict[str, Any] = {"count": soak.rng.randrange(1, 5), "cpu": 1_000}
    step["estMs"] = took_ms
    steps = [step]
    if soak.rng.random() < 0.4:
        steps.append({**step, "count": 1, "after": [0]})
    body = {"spec": f"1000:{took_ms}", "steps": steps}
    codes = soak.answers.setdefault(job_id, [])
    for _ in range(4):
        name = soak.rng.choice(INSTANCES)
        headers = {"Host": "jobs.example", "X-Deadline-Ms": str(DEADLINE_MS)}
        answer = await _call(
            soak.front_by_name[name], "POST", f"/q/{job_id}", body, headers
        )
        codes.append(answer.status if answer is not None else 0)
        if answer is not None and answer.status == 200:
            soak.accepted[job_id] = time.monotonic()
            return
        await asyncio.sleep(0.4)


async def state_of(soak: Soak, job_id: str) -> str:
    """Return the state of a job, or the status of the answer."""
    for name in INSTANCES:
        headers = {"Host": "jobs.example"}
        answer = await _call(
            soak.front_by_name[name], "GET", f"/q/{job_id}", None, headers
        )
        if answer is not None and answer.status == 200:
            return str(json.loads(answer.body)["state"])
        if answer is not None and answer.status == 410:
            return "410"
    return "no answer"


async def play(soak: Soak, seconds: float) -> list[str]:
    """Play one seed and return what was broken."""
    await soak.start()
    await _wait_until_ready(soak)
    tasks: list[asyncio.Task[None]] = []
    end = time.monotonic() + seconds
    next_fault = time.monotonic() + 0.5
    number = 0
    while time.monotonic() < end:
        number += 1
        tasks.append(asyncio.create_task(submit(soak, number)))
        if time.monotonic() >= next_fault:
            name = soak.rng.choice(list(FAULTS.iter_names()))
            tasks.append(asyncio.create_task(FAULTS.get(name)(soak)))
            next_fault = time.monotonic() + soak.rng.uniform(0.2, 2.0)
        await asyncio.sleep(soak.rng.uniform(0.1, 0.3))
    await asyncio.gather(*tasks)
    soak.note("all faults are over")
    broken = await _await_completion(soak)
    audit = await soak.command()
    soak.note(f"{audit['starts']} starts, {len(soak.accepted)} of {number} accepted")
    return [*broken, *audit["violations"]]


async def _wait_until_ready(soak: Soak) -> None:
    end = time.monotonic() + START_S
    while time.monotonic() < end:
        if await state_of(soak, "f" * 16) == "410":
            return
        await asyncio.sleep(0.2)
    raise RuntimeError("no instance answers; see the logs")


async def _await_completion(soak: Soak) -> list[str]:
    end = time.monotonic() + FINISH_S
    open_jobs = set(soak.accepted)
    state_by_job: dict[str, str] = {}
    while open_jobs and time.monotonic() < end:
        for job_id in sorted(open_jobs):
            state_by_job[job_id] = await state_of(soak, job_id)
            if state_by_job[job_id] == "completed":
                open_jobs.discard(job_id)
        await asyncio.sleep(0.2)
    broken = [f"job {j} is {state_by_job.get(j)}" for j in sorted(open_jobs)]
    for job_id, codes in soak.answers.items():
        if job_id in soak.accepted or any(code not in (429, 503) for code in codes):
            continue
        state = await state_of(soak, job_id)
        if state not in ("410", "no answer"):
            broken.append(f"job {job_id} was refused with {codes} and is {state}")
    return broken


async def run_seed(seed: int, seconds: float, keep: pathlib.Path | None) -> bool:
    """Play a seed in a folder of its own; returns whether all promises held."""
    with contextlib.ExitStack() as stack:
        if keep is None:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        else:
            folder = keep / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(folder, random.Random(seed))
        try:
            broken = await play(soak, seconds)
        finally:
            await soak.stop()
        print(f"seed {seed}: {'ok' if not broken else 'BROKEN'}; {soak.events[-1]}")
        if broken:
            print("\n".join([*soak.events, *broken]))
    return not broken


def main() -> int:
    """Play the seeds that the command line names."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seconds", type=float, default=12.0, help="of each seed")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs")
    parser.add_argument("--regressions", action="store_true", help="seeds that failed")
    arguments = parser.parse_args()
    seeds = list(range(arguments.first, arguments.first + arguments.seeds))
    if arguments.regressions:
        seeds = list(REGRESSIONS)
    failed = [
        seed
        for seed in seeds
        if not asyncio.run(run_seed(seed, arguments.seconds, arguments.keep))
    ]
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds held: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
