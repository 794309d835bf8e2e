"""What callers get from an instance that stops, with real processes."""

from __future__ import annotations

import asyncio
import json
import signal
import time

import attrs
import pytest

from soak.cell import send_request
from tests.untrusted import (
    ORDINARY_JOB,
    alone,  # noqa: F401 (a fixture for all tests)
    running_instance,
)

SHUTDOWN_S = 4.0
# The longest time that a request may have been on its way when its connection ends
# without an answer; later than that it counts as lost.
LOSS_SLACK_S = 0.2
DEADLINE_MS = 10_000
INTERVAL_S = 0.05


@attrs.define
class Call:
    """One request on a connection that was opened before the stop.

    Attributes:
        method: Its method.
        sent_s: When it was sent, since SIGTERM.
        took_s: Time until its answer, or until its connection ended.
        status: Status of the answer; 0 if the connection ended without one, None if it
            had ended before the request was sent and no other could be opened.
        was_told: Whether its first connection had been closed while it was idle.
    """

    method: str
    sent_s: float
    took_s: float = 0.0
    status: int | None = None
    was_told: bool = False

    @property
    def is_lost(self) -> bool:
        """Whether it was sent, and neither answered nor cut off at once."""
        return self.status == 0 and self.took_s > LOSS_SLACK_S


@attrs.define
class Stop:
    """An instance that is stopped while clients use connections that they had open."""

    instance: object
    calls: list[Call] = attrs.field(factory=list)
    began_s: float = 0.0
    _address: tuple[str, str] = ("", "")
    ended_s: float | None = None

    async def play(self, seconds, faults=()):
        """Send SIGTERM, then requests, and faults at their times since then."""
        host, _, port = self.instance.address_by_port["front"].partition(":")
        self._address = (host, port)
        count = int(seconds / INTERVAL_S)
        connections = [
            await asyncio.open_connection(*self._address) for _ in range(count)
        ]
        self.began_s = time.monotonic()
        self.instance.process.send(signal.SIGTERM)
        work = [
            self._call(number, *connection)
            for number, connection in enumerate(connections)
        ]
        await asyncio.gather(self._await_end(), *work, *(self._at(f) for f in faults))

    async def _at(self, fault):
        at_s, act = fault
        await asyncio.sleep(at_s)
        await act()

    async def _await_end(self):
        async with asyncio.timeout(SHUTDOWN_S + 10):
            while self.instance.process.popen.poll() is None:
                await asyncio.sleep(0.01)
        self.ended_s = time.monotonic() - self.began_s

    async def _call(self, number, reader, writer):
        await asyncio.sleep((number + 1) * INTERVAL_S)
        call = Call(
            ("GET", "POST")[number % 2], time.monotonic() - self.began_s, status=None
        )
        self.calls.append(call)
        if reader.at_eof():
            call.was_told = True
            writer.close()
            try:
                reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                return
        body = json.dumps(ORDINARY_JOB).encode() if call.method == "POST" else b""
        head = (
            f"{call.method} /q/{number + 100:016x} HTTP/1.1\r\nHost: jobs.example\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\nRequest-Id: {number:04x}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            writer.write(head.encode() + body)
            async with asyncio.timeout(SHUTDOWN_S + 10):
                line = await reader.readline()
            call.status = int(line.split()[1]) if line else 0
        except OSError:
            call.status = 0
        call.took_s = time.monotonic() - self.began_s - call.sent_s
        writer.close()

    def describe(self, calls):
        return [
            (c.method, round(c.sent_s, 2), round(c.took_s, 3), c.status) for c in calls
        ]


def set_store(instance, mode):
    plan = json.loads((instance.folder / "plan").read_text())

    async def act():
        address = f"127.0.0.1:{plan['control']}"
        await send_request(address, "POST", "/control", {"mode": mode})

    return act


def stopped_instance(folder, faults=()):
    """Play a stop of one instance, and return it with the lines of its log."""

    async def run():
        async with running_instance(folder, shutdown_s=SHUTDOWN_S) as instance:
            stop = Stop(instance)
            await stop.play(SHUTDOWN_S, [(t, make(instance)) for t, make in faults])
            return stop

    stop = asyncio.run(run())
    text = stop.instance.process.log.read_text()
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return stop, lines


# The time since SIGTERM at which the store begins to refuse all calls; None for a stop
# without another fault, after which no instance is left to lead.
@pytest.mark.parametrize("store_out_s", [None, 1.5, 2.5, 3.0])
def test_request_that_waits_is_answered_before_its_connection_ends(
    tmp_path, store_out_s
):
    # Guards against requests that were read while the instance stopped and whose
    # connections were closed without an answer, because their wait was longer than
    # what was left to the process (LOST, issue 51).
    faults = [(store_out_s, lambda i: set_store(i, "busy"))] if store_out_s else []
    stop, _ = stopped_instance(tmp_path, faults)
    lost = [call for call in stop.calls if call.is_lost]
    assert not lost, stop.describe(lost)
    late = [c for c in stop.calls if c.sent_s > (store_out_s or 1.0) and c.status]
    assert late, stop.describe(stop.calls)
    assert any(call.was_told for call in stop.calls)
    assert stop.ended_s < SHUTDOWN_S
    assert stop.instance.process.popen.returncode == 0


def test_log_of_a_stop_has_each_request_and_what_is_held(tmp_path):
    # Guards against a request that ends while an instance stops, and whose log does
    # not tell when it was read, what it waited for and how it ended.
    stop, lines = stopped_instance(tmp_path)
    entries = " ".join(
        line["entries"] for line in lines if line["event"] == "ended_while_stopping"
    )
    fields_by_id = {e.split("/")[0]: e.split("/") for e in entries.split()}
    answered = [number for number, c in enumerate(stop.calls) if c.status]
    assert answered
    for number in answered:
        call = stop.calls[number]
        _, method, since_ms, took_ms, waits_for, ended = fields_by_id[f"{number:04x}"]
        assert (method, ended) == (call.method, str(call.status))
        assert 0 <= int(since_ms) / 1_000 <= call.sent_s + call.took_s
        assert int(took_ms) / 1_000 <= call.took_s + 0.01
        is_refused = not waits_for and call.status in (503, 504)
        stage = waits_for.partition(":")[0]
        assert is_refused or stage in ("leader", "retry", "store", "config")
    events = [line["event"] for line in lines]
    for event in ("stopping", "drained", "clients_closing", "stopped"):
        (line,) = [line for line in lines if line["event"] == event]
        assert line["in_flight"] >= 0
        assert {"oldest_ms", "waiting", "calls", "connections"} <= line.keys()
    assert "stop_overdue" not in events
