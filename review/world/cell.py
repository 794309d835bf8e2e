"""Starts the entry instances of the deploy file and plays their clients.

A case is a coroutine that gets a `Cell`; `run_case` starts the cell, ends all
processes, writes `record.txt` and exits with the verdict.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from .http1 import HOST, Connection
from .runner import Fleet, Journal, Runner
from .store import Store

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
# Below the ports that the kernel gives to outgoing connections.
PORTS = (15_000, 32_000)
KEY = "key-of-team"
DOMAIN = "jobs.example"
DEADLINE_MS = 3_000
HELD, BROKEN, UNABLE = 0, 1, 2
OPEN_STATES = ("queued", "running")
# `finish_s` of the site, and the time without a run that breaks LOST.
FINISH_S = 14.0
IDLE_S = 3.0


def free_port() -> int:
    """Return a free port that no outgoing connection takes meanwhile."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


class Entry:
    """One entry instance as a process.

    Attributes:
        name: Id of the instance.
        store_port: The port at which this instance reaches the store.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self.folder = folder
        self.store_port = 0
        self.front_port = free_port()
        self.ready_port = free_port()
        self.peer_port = free_port()
        self.metrics_port = free_port()
        self.log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self, bounds: dict[str, Any]) -> None:
        """Fill in the fields of the template of the deploy file."""
        settings = {
            "instance_id": self.name,
            "zone": self.zone,
            "host": HOST,
            "front": f"{HOST}:{self.front_port}",
            "ready": f"{HOST}:{self.ready_port}",
            "peer_port": self.peer_port,
            "metrics_port": self.metrics_port,
            "store": f"{HOST}:{self.store_port}",
            "row_bytes": 65_536,
            "cpu_share": 0.537,
            "cores": 2,
            "link_mbps": 1000.0,
            "longest_lease_ms": bounds["maxHoldMs"],
            "status_s": 120,
            "shutdown_s": 6,
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        deploy = tomllib.loads(
            (REPOSITORY / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MARJORAMGRADE_NODE_FILE": str(self.folder / f"{self.name}.json"),
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself."""
        return self._process is not None and self._process.poll() is not None

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the log so far."""
        lines = []
        for text in self.log.read_text(encoding="utf-8").splitlines():
            try:
                lines.append(json.loads(text))
            except ValueError:
                lines.append({"event": "text", "text": text})
        return lines


class Cell:
    """The system, its platform, its runners and its clients.

    Attributes:
        trouble: Whether the case plays its disruption.
        bounds: The bounds of the site.
    """

    def __init__(self, folder: pathlib.Path, bounds: dict[str, Any]) -> None:
        self.folder = folder
        self.bounds = bounds
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.journal = Journal()
        self.store = Store()
        self.fleet = Fleet(self.store, self.journal, bounds["maxHoldMs"])
        self.entries: list[Entry] = []
        self.config: dict[str, Any] = {
            "version": 3,
            "routes": [self.route("q")],
            "services": [{"name": "pool"}],
            "limits": {},
            "tenants": [{"name": "team", "apiKeys": [KEY], "weight": 100}],
        }

    @staticmethod
    def route(name: str, **fields: Any) -> dict[str, Any]:
        """Return a route with the fields that the site's routes have."""
        return {
            "name": name,
            "host": DOMAIN,
            "pathPrefix": f"/{name}/",
            "service": "pool",
            "priority": 1,
            "attempts": 3,
            "stretch": 1.5,
            "sloMs": 250,
            **fields,
        }

    def publish_config(self) -> None:
        """Write the configuration as the operator does."""
        self.store.put("op", "config", json.dumps(self.config).encode())
        self.journal.add(f"operator writes configuration {self.config['version']}")

    async def add_entry(self, name: str, zone: str = "zone-a") -> Entry:
        """Create an entry instance; `Entry.start` starts it."""
        entry = Entry(name, zone, self.folder)
        entry.store_port = await self.store.open_port()
        entry.write_settings(self.bounds)
        self.entries.append(entry)
        return entry

    async def start_entries(self, count: int) -> None:
        """Start entry instances and wait until all are ready."""
        for number in range(count):
            (await self.add_entry(f"entry-{number + 1}")).start()
        for entry in self.entries:
            await self.await_ready(entry)

    async def is_ready(self, entry: Entry) -> bool:
        """Return whether an instance reports that it is ready."""
        connection = Connection(entry.ready_port)
        try:
            await connection.send("GET", "/ready", {"Host": "ready"})
            status, _ = await connection.receive(1.0)
        except OSError:
            return False
        finally:
            connection.close()
        return status == 200

    async def await_ready(self, entry: Entry, timeout_s: float = 20.0) -> None:
        """Wait until an instance is ready."""
        end_s = time.monotonic() + timeout_s
        while not await self.is_ready(entry):
            if time.monotonic() > end_s or entry.has_ended:
                raise RuntimeError(f"{entry.name} does not become ready")
            await asyncio.sleep(0.1)

    def leader_name(self) -> str:
        """Return the id of the instance that the store names as the leader."""
        value = self.store.value_of("leadership", "p0", "epoch")
        if not value:
            return ""
        found: dict[str, Any] = json.loads(value)
        return str(found.get("leader_id", ""))

    def leader(self) -> Entry:
        """Return the instance that the store names as the leader."""
        name = self.leader_name()
        return next(entry for entry in self.entries if entry.name == name)

    def followers(self) -> list[Entry]:
        """Return the other instances."""
        name = self.leader_name()
        return [entry for entry in self.entries if entry.name != name]

    # Clients

    def job_id(self) -> str:
        """Return a new id of a job."""
        return f"{random.getrandbits(64):016x}"

    @staticmethod
    def headers() -> dict[str, str]:
        """Return the headers of a client's request."""
        return {
            "Host": DOMAIN,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }

    async def call(
        self,
        entry: Entry,
        method: str,
        job_id: str,
        body: Any = None,
        queue: str = "q",
        connection: Connection | None = None,
    ) -> tuple[int, Any]:
        """Send a client's request; return status and body of the response."""
        own = connection or Connection(entry.front_port)
        self.journal.add(f"{method} {job_id} at {entry.name}")
        try:
            await own.send(method, f"/{queue}/{job_id}", self.headers(), body)
            status, answer = await own.receive(DEADLINE_MS / 1000 + 1.0)
        except OSError:
            own.close()
            status, answer = 0, None
        if connection is None:
            own.close()
        self.journal.add(f"{method} {job_id} at {entry.name} -> {status} {answer}")
        return status, answer

    async def submit(
        self,
        entries: list[Entry],
        steps: list[dict[str, Any]],
        spec: dict[str, Any],
        queue: str = "q",
        **fields: Any,
    ) -> str:
        """Hand a job in, at other instances until it is accepted; return its id."""
        job_id = self.job_id()
        body = {"spec": json.dumps(spec), "steps": steps, **fields}
        for attempt in range(5):
            entry = entries[attempt % len(entries)]
            status, _ = await self.call(entry, "POST", job_id, body, queue)
            if 200 <= status < 300:
                return job_id
            await asyncio.sleep(0.3)
        raise RuntimeError(f"job {job_id} was not accepted")

    async def state(self, entry: Entry, job_id: str, queue: str = "q") -> str:
        """Return the state of a job as a client sees it, or the status."""
        status, answer = await self.call(entry, "GET", job_id, queue=queue)
        return str(answer["state"]) if status == 200 and answer else str(status)

    async def check_lost(
        self, entry: Entry, jobs: list[str], runner: Runner, need_cpu: int
    ) -> None:
        """Check LOST for jobs that one sound runner has capacity for twice over.

        The jobs are asked for after `FINISH_S` without traffic, and then their runs
        are watched for `IDLE_S`.
        """
        await asyncio.sleep(FINISH_S)
        states = {job: await self.state(entry, job) for job in jobs}
        open_jobs = [job for job, state in states.items() if state in OPEN_STATES]
        for job, state in states.items():
            if state not in (*OPEN_STATES, "completed", "failed"):
                self.journal.break_rule(
                    f"LOST: a GET for job {job} is answered {state}"
                )
        seen: set[str] = set()
        end_s = time.monotonic() + IDLE_S
        while time.monotonic() < end_s:
            used = sum(run.cpu for run in runner.run_by_key.values())
            pool_used = sum(
                run.cpu for other in self.fleet.runners for run in other.runs
            )
            pool = sum(other.cpu for other in self.fleet.runners)
            has_room = (
                runner.is_up
                and runner.cpu - used >= 2 * need_cpu
                and 2 * pool_used < pool
            )
            if not has_room:
                raise RuntimeError("the runner has no capacity twice over")
            seen |= {
                run.task.partition(".")[0]
                for other in self.fleet.runners
                for run in other.runs
            }
            await asyncio.sleep(0.02)
        for job in open_jobs:
            if job not in seen:
                self.journal.break_rule(
                    f"LOST: job {job} is {states[job]} and has nothing running for "
                    f"{IDLE_S:.0f} s, though runner {runner.runner_id} has capacity "
                    "for it twice over"
                )

    async def wait_for(
        self, condition: Callable[[], bool], timeout_s: float, what: str = ""
    ) -> bool:
        """Wait until a condition holds; return whether it did in time."""
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                if what:
                    raise RuntimeError(f"not in time: {what}")
                return False
            await asyncio.sleep(0.02)
        return True

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for entry in self.entries:
            entry.end()
        await self.fleet.close()
        await self.store.close()


Case = Callable[[Cell], Awaitable[None]]


async def _play(case: Case, cell: Cell, limit_s: float) -> int:
    try:
        async with asyncio.timeout(limit_s):
            await case(cell)
    except Exception:
        reason = traceback.format_exc()
        cell.journal.add("the case could not run: " + reason)
        print(reason.strip().splitlines()[-1])
        return BROKEN if cell.journal.violations else UNABLE
    finally:
        await cell.close()
    return BROKEN if cell.journal.violations else HELD


def run_case(
    case: Case, folder: pathlib.Path, bounds: dict[str, Any], limit_s: float = 110.0
) -> None:
    """Play a case, write `record.txt` into its folder and exit with the verdict."""
    work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    cell = Cell(work, bounds)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNABLE))
    try:
        verdict = asyncio.run(_play(case, cell, limit_s))
    finally:
        for entry in cell.entries:
            entry.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(work, keep, dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    summary = {HELD: "held", BROKEN: "broken", UNABLE: "could not run"}[verdict]
    trouble = "with" if cell.trouble else "without"
    lines = [*cell.journal.lines, f"verdict: {summary}, {trouble} the disruption"]
    text = "\n".join(line.replace(str(REPOSITORY), "") for line in lines)
    (folder / "record.txt").write_text(text + "\n", encoding="utf-8")
    print("\n".join(cell.journal.violations[:5] or [lines[-1]]))
    sys.exit(verdict)
