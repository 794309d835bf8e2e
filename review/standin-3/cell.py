"""Stand-ins of the platform, its runners and its clients, and a small deployment.

Everything listens on loopback addresses and uses the standard library only. The entry
instances are separate processes, started with the command of `deploy/system.toml`.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READ_MS = 4
TX_MS = 8
# Bounds of the small deployment, as in `sites/kbwb-arrears.toml` of the users' pages.
MAX_HOLD_MS = 6_000
STOP_MS = 300
GRACE_S = 6
CONTACT_S = 3.0
FINISH_S = 14.0
HEARTBEAT_S = 1.5
HOST_NAME = "jobs.example"
PREFIX = "/desk/"
KEY = "key-1"

Answer = tuple[int, dict[str, Any]]


class UnansweredError(Exception):
    """Closes the connection without an answer."""


def now_ms() -> int:
    """Return the steady clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class Record:
    """Collects what was sent, answered and run, with the time since the start."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.start:8.3f} {text}")

    def save(self, folder: pathlib.Path) -> None:
        """Write `record.txt`."""
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n", "utf-8")


class HttpServer:
    """A small HTTP/1.1 server."""

    def __init__(
        self, answer: Callable[[str, str, dict[str, str], bytes], Awaitable[Answer]]
    ) -> None:
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode("latin1").split(" ", 2)
                headers = {}
                while (line := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode("latin1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, document = await self._answer(method, target, headers, body)
                data = json.dumps(document).encode() if document else b"{}"
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (UnansweredError, OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store: rows in tables."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self._answer)
        self.down = False

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row of the operator or a runner; None removes it."""
        self.version += 1
        self._write((table, "", key), value)
        self._notify()

    def value(self, table: str, part: str, key: str) -> bytes:
        """Return the value of a row."""
        row = self.rows.get((table, part, key))
        return b"" if row is None else base64.b64decode(row.get("value", ""))

    def _write(self, key: tuple[str, str, str], value: bytes | None) -> None:
        row = {"table": key[0], "key": key[2], "ver": self.version}
        if key[1]:
            row["part"] = key[1]
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        self.rows[key] = row

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        if self.down:
            await asyncio.sleep(0.002)
            return 503, {}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            await asyncio.sleep(TX_MS / 1000)
            return self._commit(json.loads(body))
        if url.path == "/rows-get":
            await asyncio.sleep(READ_MS / 1000)
            return self._get(query)
        if url.path == "/rows-feed":
            return await self._feed(query)
        return 400, {}

    def _commit(self, body: dict[str, Any]) -> Answer:
        checks = [(_row_key(e), e.get("ver", 0)) for e in body.get("expectRev", [])]
        for key, version in checks:
            row = self.rows.get(key)
            found = 0 if row is None or row.get("deleted") else row["ver"]
            if found != version:
                current = [
                    self.rows[k]
                    for k, _ in checks
                    if k in self.rows and not self.rows[k].get("deleted")
                ]
                return 412, {"rows": current, **self._stamp()}
        puts, removed = body.get("puts", []), body.get("remove", [])
        if any(e["table"] in ("op", "servers") for e in (*puts, *removed)):
            return 403, {}
        self.version += 1
        for entry in puts:
            self._write(_row_key(entry), base64.b64decode(entry.get("value", "")))
        for entry in removed:
            self._write(_row_key(entry), None)
        self._notify()
        return 200, self._stamp()

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.version, "nowMs": now_ms()}

    def _get(self, query: dict[str, str]) -> Answer:
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", "500")), 500)
        found = sorted(
            (key[2].encode(), row)
            for key, row in self.rows.items()
            if key[:2] == (table, part)
            and not row.get("deleted")
            and key[2].encode() >= query.get("from", "").encode()
        )
        rows = [row for _, row in found]
        return 200, {
            "rows": rows[:limit],
            "hasMore": len(rows) > limit,
            **self._stamp(),
        }

    async def _feed(self, query: dict[str, str]) -> Answer:
        end_ms = now_ms() + int(query.get("waitMs", "0"))
        after = int(query.get("after", "0"))
        while True:
            changed = self.changed
            rows = sorted(
                (
                    row
                    for key, row in self.rows.items()
                    if key[0] == query["table"] and row["ver"] > after
                ),
                key=lambda row: row["ver"],
            )
            left_ms = end_ms - now_ms()
            if rows or left_ms <= 0:
                return 200, {"rows": rows, **self._stamp()}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_ms / 1000):
                    await changed.wait()


def _row_key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


class Runner:
    """A runner. The spec of a task tells in JSON how many milliseconds it works."""

    def __init__(self, name: str, store: Store, record: Record, **entry: Any) -> None:
        self.name, self.store, self.record = name, store, record
        self.entry: dict[str, Any] = {
            "service": "desk",
            "zone": "gampaha",
            "state": "ready",
            "slots": 8,
            "version": "1",
            "capacity": {"cpu": 8_000, "memMb": 65_536},
            "labels": ["a", "r1"],
            **entry,
        }
        self.server = HttpServer(self._answer)
        self.starts: list[tuple[float, str, int]] = []
        self.done: list[tuple[float, str, int]] = []
        self.beats: asyncio.Task[None] | None = None
        self.work: asyncio.Task[None] | None = None
        self.seq = 0
        self._reset()

    def _reset(self) -> None:
        self.born = int(time.time() * 1000)
        self.base_ms = now_ms() - 1_000
        self.fence = self.lease_ms = self.last_end = 0
        # By task: run, spec, saved, start and due time.
        self.running: dict[str, tuple[int, str, str, int, int]] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.listed = asyncio.Event()

    def clock(self) -> int:
        """Return the runner's own steady clock."""
        return now_ms() - self.base_ms

    async def start(self, host: str, port: int = 0) -> None:
        """Serve calls and report to the store."""
        await self.server.start(host, port)
        self.work = asyncio.create_task(self._work())
        self.beats = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End the process of the runner at once."""
        for task in (self.beats, self.work):
            if task is not None:
                task.cancel()
        await self.server.stop()
        self.record(f"{self.name} crashed, running {sorted(self.running)}")
        self.running.clear()

    async def restart(self, **entry: Any) -> None:
        """Start again under the same id and address."""
        self._reset()
        self.entry.update(entry)
        host, _, port = self.server.address.rpartition(":")
        self.server = HttpServer(self._answer)
        await self.start(host, int(port))
        self.record(f"{self.name} is back with labels {self.entry['labels']}")

    def register(self) -> None:
        """Write the runner's entry."""
        self.seq += 1
        document = {
            **self.entry,
            "addr": self.server.address,
            "seq": self.seq,
            "born": self.born,
        }
        self.store.put("servers", self.name, json.dumps(document).encode())

    async def _beat(self) -> None:
        while True:
            if not self.store.down:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            self._end_due()

    def _end_due(self) -> None:
        clock = self.clock()
        for task, (run, _, _, _, due) in list(self.running.items()):
            if clock > self.lease_ms:
                self._end(task, run, "lapsed")
            elif due and clock >= due:
                self._end(task, run, "done")

    def _end(self, task: str, run: int, how: str) -> None:
        del self.running[task]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        if how == "done":
            self.done.append((time.monotonic(), task, run))
        self.record(f"{self.name} run {task}/{run} ended {how}")
        self.listed.set()
        self.listed = asyncio.Event()

    def _admit(self, body: dict[str, Any]) -> bool:
        if body.get("fence", 0) < self.fence:
            return False
        self.fence = body.get("fence", 0)
        wanted = min(body.get("deadlineMs", 0), self.clock() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, wanted)
        return True

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        document = json.loads(body) if body else {}
        if target == "/hold":
            return await self._hold(document)
        reason = ""
        if target == "/run-start":
            reason = self._start(document)
        elif target == "/run-stop":
            reason = self._stop(document)
        elif target == "/pace":
            reason = "" if self._admit(document) else "fence"
        else:
            return 400, {}
        answer = {"clockMs": self.clock()}
        return (409, {**answer, "reason": reason}) if reason else (200, answer)

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if not self._admit(body):
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        seen = body.get("lastSeen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        born, listed = self.born, self.listed
        if not self.ended and body.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await listed.wait()
        if born != self.born:
            raise UnansweredError
        clock = self.clock()
        running = []
        for task, (run, _, saved, began, due) in self.running.items():
            share = 100 if not due else min(99, 100 * (clock - began) // (due - began))
            running.append([task, run, saved, share, 0])
        return 200, {
            "clockMs": clock,
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }

    def _start(self, body: dict[str, Any]) -> str:
        task, run = body["task"], body["run"]
        if not self._admit(body):
            return "fence"
        if self.running.get(task, (0,))[0] == run:
            return ""
        if run <= self.highest.get(task, 0):
            return "old"
        if self.clock() > self.lease_ms:
            return "late"
        work_ms = int(json.loads(body["spec"]).get("ms", 0))
        clock = self.clock()
        due = clock + work_ms if work_ms else 0
        saved = body.get("saved", "")
        self.running[task] = (run, body["spec"], saved, clock, due)
        self.starts.append((time.monotonic(), task, run))
        self.record(
            f"{self.name} starts {task}/{run} fence {self.fence} "
            f"labels {self.entry['labels']}"
        )
        return ""

    def _stop(self, body: dict[str, Any]) -> str:
        if not self._admit(body):
            return "fence"
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        if self.running.get(task, (0,))[0] == run:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self._end_stopped, self.born, task, run)
        return ""

    def _end_stopped(self, born: int, task: str, run: int) -> None:
        if born == self.born and self.running.get(task, (0,))[0] == run:
            self._end(task, run, "stopped")


class Instance:
    """An entry instance, a process with the command of the deploy file."""

    def __init__(self, cell: Cell, name: str, number: int) -> None:
        self.cell, self.name = cell, name
        self.host = f"127.0.0.{number}"
        self.front = f"{self.host}:{free_port(self.host)}"
        self.ready = f"{self.host}:{free_port(self.host)}"
        self.ports = [free_port(self.host), free_port(self.host)]
        self.path = cell.folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[tuple[float, int]] = []
        self.expected_end = False
        self.restarts = True
        self._watcher: asyncio.Task[None] | None = None

    def fields(self) -> dict[str, Any]:
        """Return the fields of the settings that the template uses."""
        return {
            "node": self.name,
            "zone": "gampaha",
            "ip": self.host,
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": self.ports,
            "platform": {"addr": self.cell.store.server.address, "rowBytes": 65536},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "bounds": {
                "maxHoldMs": MAX_HOLD_MS,
                "configApplyMs": 2000,
                "farX": 3,
                "status_s": 120,
                "graceS": GRACE_S,
            },
        }

    async def start(self) -> None:
        """Start the process."""
        role = self.cell.role
        template = (ROOT / role["template"]).read_text("utf-8")
        self.path.write_text(render(template, self.fields()), "utf-8")
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MARJORAMGRADE_NODE_FILE": str(self.path),
        }
        log = (self.cell.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(role["run"]),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        self.expected_end = False
        self.cell.record(f"{self.name} started, process {self.process.pid}")
        self._watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        kind = "ended" if self.expected_end else "ended by itself"
        self.cell.record(f"{self.name} {kind}, exit status {code}")
        if self.expected_end:
            return
        self.exits.append((time.monotonic(), code))
        if self.restarts:
            # The platform starts it again after a short delay.
            await asyncio.sleep(0.5)
            await self.start()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.cell.record(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        self.restarts, self.expected_end = False, True
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Cell:
    """A small deployment: the store, runners and entry instances."""

    def __init__(self, record: Record, instances: int = 3) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        self.role = deploy["roles"]["entry"]
        self.store = Store(record)
        self.runners: list[Runner] = []
        self.instances: list[Instance] = []
        self._count = instances
        self._version = 0

    async def start(self, runners: int = 3, **entry: Any) -> None:
        """Start the stand-ins and the instances, and wait until they are ready."""
        await self.store.server.start("127.0.0.1")
        self.configure()
        for number in range(runners):
            runner = Runner(f"i-{number:08x}", self.store, self.record, **entry)
            self.runners.append(runner)
            await runner.start("127.0.0.1")
        for number in range(self._count):
            instance = Instance(self, f"front-gampaha-{number + 1}", 21 + number)
            self.instances.append(instance)
            await instance.start()
        await self.await_ready(20.0)

    def configure(self, **changes: Any) -> None:
        """Write a new version of the configuration."""
        self._version += 1
        document = {
            "version": self._version,
            "routes": [
                {
                    "name": "desk",
                    "host": HOST_NAME,
                    "pathPrefix": PREFIX,
                    "service": "desk",
                    "attempts": 3,
                    "stretch": 2.0,
                    "sloMs": 1000,
                }
            ],
            "services": [{"name": "desk", "healthPath": "/health"}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": [{"name": "t1", "apiKeys": [KEY], "weight": 50}],
            **changes,
        }
        self.store.put("op", "config", json.dumps(document).encode())
        self.record(f"configuration {self._version} is acknowledged")

    async def await_ready(self, seconds: float) -> bool:
        """Wait until all instances report themselves ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            states = [await call(i.ready, "GET", "/ready", 1.0) for i in self.instances]
            if all(state and state[0] == 200 for state in states):
                self.record("all instances are ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self) -> None:
        """End everything that was started."""
        for instance in self.instances:
            await instance.end()
        for runner in self.runners:
            for task in (runner.beats, runner.work):
                if task is not None:
                    task.cancel()
            await runner.server.stop()
        await self.store.server.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def client(
        self,
        method: str,
        job: str,
        body: Any = None,
        *,
        first: int = 0,
        seconds: float = 3.0,
        tries: int = 5,
        prefix: str = PREFIX,
        key: str = KEY,
    ) -> tuple[int, dict[str, Any]]:
        """Send a call of a client, with the retries that the pages tell."""
        status, document = 0, {}
        for attempt in range(tries):
            instance = self.instances[(first + attempt) % len(self.instances)]
            answer = await call(
                instance.front, method, prefix + job, seconds, body, key=key
            )
            status, document = answer or (0, {})
            self.record(
                f"{method} {job or 'count'} at {instance.name}: "
                f"{status or 'no answer'} {document}"
            )
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(1.0 if status in (429, 503) else 0.3)
        return status, document


async def call(
    address: str,
    method: str,
    path: str,
    seconds: float,
    body: Any = None,
    key: str = KEY,
) -> tuple[int, dict[str, Any]] | None:
    """Send a request on a new connection; None if no complete answer comes."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        "Connection: close",
        f"X-Deadline-Ms: {int(seconds * 1000)}",
    ]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if data:
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            match = re.search(rb"(?i)content-length: *(\d+)", head)
            length = int(match[1]) if match else 0
            text = await reader.readexactly(length)
            return status, json.loads(text) if text else {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


def free_port(host: str) -> int:
    """Return a port that is free at a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings: values, and sections that hold if present."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        value = find(match[1])
        if not value:
            return ""
        return match[2].replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def fill(match: re.Match[str]) -> str:
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


def job(tasks: int, work_ms: int, **step: Any) -> dict[str, Any]:
    """Return a job of one step."""
    fields = {"count": tasks, "cpu": 1000, "memMb": 256, "estMs": max(work_ms, 1)}
    return {"spec": json.dumps({"ms": work_ms}), "steps": [{**fields, **step}]}


def run(folder: str, main: Callable[[Record], Awaitable[int]], limit_s: float) -> None:
    """Run a case and exit with its result: 0 held, 1 broken, 2 could not run."""
    record = Record()

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await main(record)

    code = 2
    try:
        code = asyncio.run(bounded())
    except Exception as error:
        record(f"the case could not run: {error!r}")
    record(f"result: {code}")
    record.save(pathlib.Path(folder))
    print("\n".join(record.lines[-12:]))
    sys.exit(code)
