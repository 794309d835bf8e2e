"""Starts entry instances with the deploy file's command, and plays clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from typing import Any

from standin.httpd import HOST, call
from standin.runner import Runner
from standin.store import Store, now_ms

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROLE = "entry"
FIRST_PORT, LAST_PORT = 12_000, 32_000
GRACE_S = 6
DEADLINE_MS = 3_000
RETRIES = 4
# How long the platform waits before it starts a process again that has ended.
RESTART_S = 0.5
QUEUE_HOST = "jobs.example"
PREFIX = "/q/"
KEY = "key-of-tenant-1"

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": QUEUE_HOST,
            "pathPrefix": PREFIX,
            "service": "pool",
            "priority": 1,
            "attempts": 3,
            "stretch": 2.0,
            "sloMs": 500,
        }
    ],
    "services": [{"name": "pool", "enforcesCapacity": False}],
    "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "weight": 100}],
    "limits": {},
}
BOUNDS = {"graceS": GRACE_S, "maxHoldMs": 6_000, "status_s": 120}


def is_troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Ports:
    """Picks free ports, none of them twice."""

    def __init__(self) -> None:
        self._picked: set[int] = set()

    def pick(self) -> int:
        """Return a free port of the loopback address."""
        while True:
            port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
            if port in self._picked:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            self._picked.add(port)
            return port


def _look_up(fields: Any, path: str) -> Any:
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        else:
            fields = fields.get(name) if isinstance(fields, dict) else None
        if fields is None:
            return None
    return fields


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a template of the deploy file."""

    def section(match: re.Match[str]) -> str:
        value = _look_up(fields, match[1])
        if not value:
            return ""
        return match[2].replace("{{.}}", json.dumps(value))

    def placeholder(match: re.Match[str]) -> str:
        value = _look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Cell:
    """The processes, stand-ins and clients of one run of a case."""

    def __init__(self, record_path: pathlib.Path, instances: int = 3):
        self.record_path = record_path
        self.began_ms = now_ms()
        self.lines: list[str] = []
        self.ports = Ports()
        self.store = Store()
        self.runners: list[Runner] = []
        self.fronts: list[str] = []
        self.readies: list[str] = []
        self.statuses_by_job: dict[str, list[int]] = {}
        self.accepted_ms_by_job: dict[str, int] = {}
        self.processes: list[subprocess.Popen[bytes]] = []
        self._instances = instances
        self._command: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    def record(self, event: str, **fields: Any) -> None:
        """Add a line to the record."""
        detail = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{(now_ms() - self.began_ms) / 1000:8.3f} {event} {detail}")

    def add_runner(
        self, runner_id: str, duration_ms: Callable[[str], int], **options: Any
    ) -> Runner:
        """Add a runner, which starts with the cell."""
        port = self.ports.pick()
        runner = Runner(
            runner_id, self.store, port, self.record, duration_ms, **options
        )
        self.runners.append(runner)
        return runner

    async def __aenter__(self) -> Cell:
        store_port = self.ports.pick()
        await self.store.server.listen(store_port)
        self.store.put("config", CONFIG)
        for runner in self.runners:
            await runner.start()
            self._tasks.append(asyncio.create_task(runner.run_forever()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"][ROLE]
        self._command = role["run"].split()
        template = (ROOT / role["template"]).read_text()
        for number in range(self._instances):
            self._start_instance(number, store_port, template)
        await self._wait_until_ready()
        return self

    def _start_instance(self, number: int, store_port: int, template: str) -> None:
        front, ready = self.ports.pick(), self.ports.pick()
        fields = {
            "node": f"front-north-{number}",
            "zone": "north",
            "ip": HOST,
            "listen": {"front": f"{HOST}:{front}", "ready": f"{HOST}:{ready}"},
            "portRange": [self.ports.pick(), self.ports.pick()],
            "platform": {"addr": f"{HOST}:{store_port}", "rowBytes": 65_536},
            "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1_000.0},
            "bounds": BOUNDS,
        }
        folder = pathlib.Path(self._folder.name)
        settings = folder / f"{number}.json"
        settings.write_text(render(template, fields))
        self.fronts.append(f"{HOST}:{front}")
        self.readies.append(f"{HOST}:{ready}")
        self._spawn(number)

    def _spawn(self, number: int) -> None:
        folder = pathlib.Path(self._folder.name)
        variables = {"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8"}
        variables["HOME"] = os.environ.get("HOME", "/")
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        variables["MARJORAMGRADE_NODE_FILE"] = str(folder / f"{number}.json")
        with (folder / f"{number}.log").open("ab") as log:
            self.processes[number:] = [
                subprocess.Popen(
                    self._command,
                    cwd=ROOT,
                    env=variables,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                ),
                *self.processes[number + 1 :],
            ]

    async def _wait_until_ready(self) -> None:
        until_ms = now_ms() + 20_000
        for address in self.readies:
            while (await call(address, "GET", "/ready", timeout_s=1.0))[0] != 200:
                if now_ms() > until_ms:
                    raise RuntimeError("the instances do not become ready")
                await asyncio.sleep(0.1)
        self.record("instances ready", count=len(self.readies))

    async def __aexit__(self, *details: object) -> None:
        for task in self._tasks:
            task.cancel()
        for process in self.processes:
            process.terminate()
        until = time.monotonic() + 2.0
        for process in self.processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.0, until - time.monotonic()))
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for runner in self.runners:
            await runner.close()
        await self.store.server.close()
        self._record_runs()
        self._record_logs()
        self._folder.cleanup()
        self.record_path.write_text("\n".join(self.lines) + "\n")

    def kill_leader(self) -> None:
        """Kill the instance that leads, and start it again as the platform does."""
        number = self._find_leader()
        self.processes[number].kill()
        self.processes[number].wait()
        self.record("leader killed", instance=number)
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, self._spawn, number)

    def _find_leader(self) -> int:
        """Return the number of the instance whose log names the newest leadership."""
        newest, leader = 0, 0
        for number in range(self._instances):
            path = pathlib.Path(self._folder.name) / f"{number}.log"
            for line in path.read_text(errors="replace").splitlines():
                with contextlib.suppress(ValueError):
                    entry = json.loads(line)
                    if entry.get("event") == "lead_taken" and entry["epoch"] > newest:
                        newest, leader = entry["epoch"], number
        return leader

    def _record_runs(self) -> None:
        """Record each run, with its times since the beginning."""
        for entry in self.history():
            times = {
                name: (entry[name] - self.began_ms) / 1000 if entry[name] else "-"
                for name in ("began_ms", "ended_ms", "noted_ms")
            }
            self.record("run", **{**entry, **times})

    def _record_logs(self) -> None:
        """Count the log lines of the instances by event, as a hint at the cause."""
        for path in sorted(pathlib.Path(self._folder.name).glob("*.log")):
            count_by_event: dict[str, int] = {}
            for line in path.read_text(errors="replace").splitlines():
                try:
                    event = str(json.loads(line).get("event"))
                except ValueError:
                    event = f"(no JSON) {line[:100]}"
                count_by_event[event] = count_by_event.get(event, 0) + 1
            self.record(f"log of instance {path.stem}:", **count_by_event)
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())

    # Clients

    async def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        instance: int | None = None,
        timeout_s: float = DEADLINE_MS / 1000,
    ) -> tuple[int, Any]:
        """Send one request of a client to an instance, any one by default."""
        number = random.randrange(len(self.fronts)) if instance is None else instance
        headers = {"Host": QUEUE_HOST, "X-Deadline-Ms": str(DEADLINE_MS)}
        headers["Authorization"] = f"Bearer {KEY}"
        return await call(
            self.fronts[number], method, PREFIX + path, body, headers, timeout_s
        )

    async def submit(self, job_id: str, body: Any) -> bool:
        """Hand a job in as a client does; return whether it was accepted."""
        statuses = self.statuses_by_job.setdefault(job_id, [])
        for attempt in range(1 + RETRIES):
            status, _ = await self.request("POST", job_id, body)
            statuses.append(status)
            if status == 200:
                self.accepted_ms_by_job[job_id] = now_ms()
                break
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.5 + 0.5 * attempt)
        self.record("job sent", job=job_id, statuses=statuses)
        return job_id in self.accepted_ms_by_job

    async def state(self, job_id: str) -> str:
        """Return the state of a job, "410", or "no answer"."""
        for number in range(len(self.fronts)):
            status, document = await self.request("GET", job_id, instance=number)
            if status == 200:
                return str(document["state"])
            if status == 410:
                return "410"
        return "no answer"

    def history(self) -> list[dict[str, Any]]:
        """Return the runs on all runners in the order of their starts."""
        entries = [entry for runner in self.runners for entry in runner.history]
        return sorted(entries, key=lambda entry: entry["began_ms"])


def run_case(path: pathlib.Path, play: Any) -> int:
    """Play a case; return the exit status of its script.

    Args:
        path: Folder of the case.
        play: Coroutine function that plays the case with a cell that it makes from
            the path of the record, and returns the broken rules as texts.
    """
    try:
        broken = asyncio.run(play(path / "record.txt"))
    except (RuntimeError, OSError) as error:
        (path / "record.txt").write_text(f"the case could not run: {error!r}\n")
        print(f"could not run: {error!r}")
        return 2
    for text in broken[:10]:
        print(text)
    print(f"{len(broken)} broken" if broken else "held")
    with (path / "record.txt").open("a") as file:
        file.writelines(f"BROKEN {text}\n" for text in broken)
        file.write("RESULT " + ("broken" if broken else "held") + "\n")
    return 1 if broken else 0
