"""Stops instances in overlapping series and checks what their clients get.

Started by `python -m soak.run --stops`. Some clients keep connections idle and use them
late; others open new ones all the while, also to instances that stop.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from soak.cell import SHUTDOWN_S, Soak
from standins.processes import Process

# A request is lost if its connection ends later than this without an answer
# (`lossSlackMs` of the rules).
LOSS_SLACK_S = 0.2
# Connections that were open at SIGTERM and stay idle are closed at least this long
# before the end of the process, so that the end itself does not count as a close.
IDLE_MARGIN_S = 0.5
STOP_GAP_S = (0.3, 1.5)
TWO_AT_A_TIME_SHARE = 0.2
# Share of the stopping instances that get a further signal.
AGAIN_SHARE = 0.3
PAUSE_S = 0.1
START_TIMEOUT_S = 10.0
# Longest time between two connections of a client, in seconds.
RECONNECT_S = 0.4
DEADLINES_MS = (3_000, 10_000)
ATTEMPTS = 4
# Longer than every deadline: a request without an answer until then hangs.
CLIENT_TIMEOUT_S = 15.0


@attrs.frozen
class ClientKind:
    """How a kind of clients uses its connections.

    Attributes:
        name: Beginning of the ids of their requests.
        count: Number of such clients.
        idle_s: Shortest and longest time that a connection is idle before a request.
        is_kept: Whether a connection is used again after a response.
    """

    name: str
    count: int
    idle_s: tuple[float, float]
    is_kept: bool


CLIENT_KINDS = (
    ClientKind("kept", count=60, idle_s=(0.0, 1.5 * SHUTDOWN_S), is_kept=True),
    ClientKind("new", count=8, idle_s=(0.0, 0.1), is_kept=False),
)


@attrs.define
class Call:
    """One request that was sent.

    Attributes:
        name: Instance that it was sent to.
        method: Its method.
        sent_s: Monotonic time at which it was sent.
        took_s: Time until its answer was complete, or until its connection ended.
        status: Status of the answer; 0 if the connection ended without one.
        request_id: Id by which the log of the instance has it.
    """

    name: str
    method: str
    sent_s: float
    request_id: str
    took_s: float = 0.0
    status: int = 0

    @property
    def is_lost(self) -> bool:
        """Whether it was neither answered nor cut off at once."""
        return self.status == 0 and self.took_s > LOSS_SLACK_S


@attrs.define
class IdleClose:
    """The close of a connection by its instance while no request was under way."""

    process: Process
    idle_since_s: float
    closed_s: float


@attrs.define
class Stop:
    """One stop of a process, with its times in seconds of the monotonic clock."""

    process: Process
    sent_s: float
    ended_s: float = 0.0
    is_killed: bool = False
    events: set[str] = attrs.field(factory=set)

    def find_violations(self) -> list[str]:
        """Return what the process did other than end by itself in time."""
        status = self.process.popen.returncode
        found = []
        if self.is_killed:
            found.append("ended only by SIGKILL")
        elif status != 0:
            found.append(f"exit status {status}")
        if "stopped" not in self.events:
            found.append("no line stopped")
        if "stop_overdue" in self.events:
            found.append("a line stop_overdue")
        return found


@attrs.define
class StopPlay:
    """The stops and the clients of one run."""

    soak: Soak
    end_s: float = 0.0
    calls: list[Call] = attrs.field(factory=list)
    idle_closes: list[IdleClose] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    _stop_by_name: dict[str, Stop] = attrs.field(factory=dict)
    _next_job: int = 0

    async def run(self, seconds: float) -> None:
        """Begin stops for a time while clients send, and return when all has ended."""
        # SIGTERM ends an interpreter that has not begun to run the program.
        await asyncio.gather(*(self._await_serving(n) for n in self.soak.names))
        last_stop_s = time.monotonic() + seconds
        self.end_s = last_stop_s + SHUTDOWN_S
        async with asyncio.TaskGroup() as tasks:
            for kind in CLIENT_KINDS:
                for number in range(kind.count):
                    client_id = f"{kind.name}{number}"
                    client = Client(self, kind, client_id, self._new_rng())
                    tasks.create_task(client.run())
            rng = self._new_rng()
            while time.monotonic() < last_stop_s:
                for _ in range(2 if rng.random() < TWO_AT_A_TIME_SHARE else 1):
                    self._signal_one(rng, tasks.create_task)
                await asyncio.sleep(rng.uniform(*STOP_GAP_S))

    def _new_rng(self) -> random.Random:
        return random.Random(self.soak.rng.random())

    def _signal_one(
        self, rng: random.Random, start: Callable[[Coroutine[Any, Any, None]], object]
    ) -> None:
        ending = [s for s in self._stop_by_name.values() if not s.ended_s]
        calm = [name for name in self.soak.names if name not in self._stop_by_name]
        if ending and (not calm or rng.random() < AGAIN_SHARE):
            process = rng.choice(ending).process
            number = rng.choice((signal.SIGTERM, signal.SIGHUP))
            self.soak.record_event(f"{number.name} to {process.name}, which stops")
            process.send(number)
        elif calm:
            name = rng.choice(calm)
            stop = Stop(self.soak.process_by_name[name], time.monotonic())
            self.stops.append(stop)
            self._stop_by_name[name] = stop
            self.soak.record_event(f"stop {name}")
            log_start = stop.process.log.stat().st_size
            stop.process.send(signal.SIGTERM)
            start(self._await_end(stop, log_start))

    async def _await_end(self, stop: Stop, log_start: int) -> None:
        process, name = stop.process, stop.process.name
        while process.popen.poll() is None:
            if time.monotonic() >= stop.sent_s + SHUTDOWN_S:
                stop.is_killed = True
                process.end()
            await asyncio.sleep(0.01)
        stop.ended_s = time.monotonic()
        lines = process.log.read_bytes()[log_start:].splitlines()
        stop.events = {
            json.loads(line)["event"] for line in lines if line.startswith(b"{")
        }
        self.soak.record_event(f"end {name} {stop.ended_s - stop.sent_s:.2f} s later")
        self.soak.start_instance(name)
        await self._await_serving(name)
        del self._stop_by_name[name]

    async def _await_serving(self, name: str) -> None:
        """Wait until the port of the clients is open, for a limited time."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.address_of(name))
                writer.close()
                return
            await asyncio.sleep(PAUSE_S)

    def address_of(self, name: str) -> tuple[str, str]:
        """Return host and port of an instance for clients."""
        host, _, port = self.soak.front_by_name[name].partition(":")
        return host, port

    def new_job(self) -> str:
        """Return the id of a job that was not submitted before."""
        self._next_job += 1
        return f"{self._next_job:016x}"

    def find_violations(self) -> list[str]:
        """Return what broke the promises that hold without other faults."""
        broken = [
            f"LOST: {c.method} {c.request_id} to {c.name}, "
            f"sent {self._describe_time(c.name, c.sent_s)}, "
            f"its connection ended after {c.took_s:.3f} s without an answer"
            for c in self.calls
            if c.is_lost
        ]
        for stop in self.stops:
            began_s = stop.sent_s - self.soak.start_s
            broken += [
                f"STOP: {stop.process.name} at {began_s:.2f}: {text}"
                for text in stop.find_violations()
            ]
            idle = [
                close
                for close in self.idle_closes
                if close.process is stop.process
                and close.idle_since_s < stop.sent_s
                and close.closed_s > stop.ended_s - IDLE_MARGIN_S
            ]
            if idle:
                broken.append(
                    f"IDLE: {stop.process.name} at {began_s:.2f}: {len(idle)} idle "
                    f"connections were open until the process ended"
                )
        return broken

    def _describe_time(self, name: str, at_s: float) -> str:
        """Return a time since the latest SIGTERM before it, or since the start."""
        before = [
            stop.sent_s
            for stop in self.stops
            if stop.process.name == name and stop.sent_s <= at_s
        ]
        if not before:
            return f"{at_s - self.soak.start_s:.2f} s after the start"
        return f"{at_s - max(before):.2f} s after SIGTERM"

    def describe(self) -> str:
        """Return the numbers of stops, requests and closed connections."""
        counts = sorted(Counter(call.status for call in self.calls).items())
        statuses = ", ".join(f"{status}: {count}" for status, count in counts)
        leaders = sum("lead_ended" in stop.events for stop in self.stops)
        return (
            f"{len(self.stops)} stops ({leaders} of leaders), {len(self.calls)} "
            f"requests ({statuses}), {len(self.idle_closes)} idle connections closed"
        )


@attrs.define
class Client:
    """One client, which owns its connection and its latest job."""

    play: StopPlay
    kind: ClientKind
    client_id: str
    rng: random.Random
    _job_id: str = ""
    _calls: int = 0

    async def run(self) -> None:
        """Connect and send until the end of the run."""
        while time.monotonic() < self.play.end_s:
            name = self.rng.choice(self.play.soak.names)
            try:
                stream = await asyncio.open_connection(*self.play.address_of(name))
            except OSError:
                await asyncio.sleep(PAUSE_S)
                continue
            process = self.play.soak.process_by_name[name]
            while await self._use(process, *stream):
                continue
            stream[1].close()
            await asyncio.sleep(self.rng.uniform(0.0, RECONNECT_S))

    async def _use(
        self,
        process: Process,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Stay idle, then send a request; return whether the connection is kept."""
        idle_since_s = time.monotonic()
        lull_s = self.rng.uniform(*self.kind.idle_s)
        try:
            async with asyncio.timeout(min(lull_s, self.play.end_s - idle_since_s)):
                await reader.read(1)
        except TimeoutError:
            pass
        except OSError:
            return False
        if reader.at_eof():
            close = IdleClose(process, idle_since_s, time.monotonic())
            self.play.idle_closes.append(close)
            return False
        method, path, body = self._choose()
        self._calls += 1
        request_id = f"{self.client_id}-{self._calls}"
        call = Call(process.name, method, time.monotonic(), request_id)
        self.play.calls.append(call)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\n"
            f"X-Deadline-Ms: {self.rng.choice(DEADLINES_MS)}\r\n"
            f"Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        is_kept = False
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                writer.write(head.encode() + body)
                call.status, is_kept = await _read_answer(reader)
        call.took_s = time.monotonic() - call.sent_s
        if method == "POST":
            self._record_attempt(call.status)
        return is_kept and self.kind.is_kept and time.monotonic() < self.play.end_s

    def _choose(self) -> tuple[str, str, bytes]:
        """Return method, path and body of the next request."""
        soak = self.play.soak
        method = self.rng.choice(("POST", "POST", "GET", "DELETE"))
        if method == "POST":
            tries = soak.statuses_by_job.get(self._job_id, [])
            if not self._job_id or 200 in tries or len(tries) >= ATTEMPTS:
                self._job_id = self.play.new_job()
            took_ms = self.rng.randrange(50, 200)
            step = {"count": 1, "cpu": 100, "estMs": took_ms}
            document = {"spec": f"100:{took_ms}", "steps": [step]}
            return method, f"/q/{self._job_id}", json.dumps(document).encode()
        job_id = self._job_id or "f" * 16
        if method == "DELETE":
            # From here on it may end as cancelled, also if it is submitted again.
            soak.accepted.pop(job_id, None)
            self._job_id = ""
        return method, f"/q/{job_id}", b""

    def _record_attempt(self, status: int) -> None:
        soak = self.play.soak
        soak.statuses_by_job.setdefault(self._job_id, []).append(status)
        if status == 200:
            soak.accepted[self._job_id] = time.monotonic()


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of a complete answer, and whether its connection is kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    lines = head.splitlines()
    headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    await reader.readexactly(int(headers.get("content-length", "0")))
    return int(lines[0].split()[1]), headers.get("connection") != "close"
