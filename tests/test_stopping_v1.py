"""What callers of the `/v1` interface get from an instance that stops."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import time
from collections import Counter

import attrs
import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from marjoramgrade.decisions.stopping.schedule import EXIT_MS, HANDOVER_MS
from marjoramgrade.entry import KNOWN_NAMES, EntryInstance
from marjoramgrade.settingsfile import read_entry_settings
from standins.cell import OPERATOR_SECRET, Cell
from standins.processes import EntryPlan

TEAM = "hospices"
SHUTDOWN_MS = 2_000
# Longer than the whole stop, so that no request ends by itself.
WORK_MS = 12_000
# What a busy machine may add to the times of a stop.
SLACK_S = 1.5
STOP_S = (SHUTDOWN_MS + HANDOVER_MS + EXIT_MS) / 1_000
# More than the 16 slots of the two backend servers.
REQUESTS = 40


@attrs.frozen
class Answer:
    """An answer of an instance; status 0 if the connection ended without one."""

    status: int
    code: str = ""
    ran: str = ""
    connection: str = ""


async def _run_request(cell: Cell, plan: EntryPlan, number: int, secret: str) -> Answer:
    try:
        response = await cell.fetch(
            f"{plan.url}/v1/run/{cell.service}",
            "POST",
            body={"work_ms": WORK_MS},
            secret=secret,
            headers={"Request-Id": f"r{number}", "Deadline-Ms": "30000"},
            timeout_s=30,
        )
    except (OSError, HTTPStreamClosedError):
        return Answer(0)
    error = json.loads(response.body).get("error", {})
    return Answer(
        response.code,
        error.get("code", ""),
        response.headers.get("Ran", ""),
        response.headers.get("Connection", ""),
    )


async def _wait_for_runs(cell: Cell, count: int) -> None:
    async def has_runs() -> bool:
        backends = await cell.counters("backend")
        return sum(len(server["runs"]) for server in backends.values()) >= count

    await cell.wait_until(has_runs)


async def _read_all(plan: EntryPlan, path: str) -> bytes:
    """Send a GET on a new connection and return all that comes until it is closed."""
    reader, writer = await asyncio.open_connection(plan.host, plan.http_port)
    head = f"GET {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {OPERATOR_SECRET}"
    writer.write(f"{head}\r\n\r\n".encode())
    try:
        return await reader.read()
    finally:
        writer.close()


async def _stop(cell: Cell, plan: EntryPlan) -> float:
    """Send SIGTERM and return the time until the process has ended."""
    process = cell.process_by_name[plan.instance_id]
    began_s = time.monotonic()
    process.send(signal.SIGTERM)
    while process.popen.poll() is None:
        await asyncio.sleep(0.02)
        assert time.monotonic() < began_s + 40
    assert process.popen.returncode == 0
    return time.monotonic() - began_s


def _log_of(cell: Cell, plan: EntryPlan) -> list[dict[str, object]]:
    text = cell.process_by_name[plan.instance_id].log.read_text()
    return [json.loads(line) for line in text.splitlines() if line.startswith("{")]


def _cell(folder: pathlib.Path, entries: int = 2, **settings: int) -> Cell:
    return Cell(
        folder,
        zones=("leeds",),
        entries_per_zone=entries,
        extra_settings={"shutdown_ms": SHUTDOWN_MS, **settings},
    )


@attrs.frozen
class ForwarderStop:
    """What the clients of an instance that owns no shard get when it stops.

    Attributes:
        answer: The answer to a request that another instance runs.
        watch: All that was sent on a connection with a watch.
        idle_s: When an idle connection was closed, since SIGTERM.
        answered_s: When the answer came, since SIGTERM.
        lines: Log of the instance.
    """

    answer: Answer
    watch: bytes
    idle_s: float
    answered_s: float
    lines: list[dict[str, object]]


@pytest.fixture(scope="module")
def forwarder_stop(tmp_path_factory: pytest.TempPathFactory) -> ForwarderStop:
    async def run() -> ForwarderStop:
        async with _cell(tmp_path_factory.mktemp("forwarder")) as cell:
            secret = (await cell.seed({TEAM: {"share": 1}}))[TEAM]
            await cell.wait_for_shards()
            owner = await cell.owner_of("leeds.0")
            (other,) = [plan for plan in cell.running_entries() if plan != owner]
            idle = asyncio.create_task(_read_all(other, "/ready"))
            watch = asyncio.create_task(_read_all(other, "/v1/watch"))
            request = asyncio.create_task(_run_request(cell, other, 1, secret))
            await _wait_for_runs(cell, 1)
            began_s = time.monotonic()

            async def timed(task: asyncio.Task[object]) -> float:
                await task
                return time.monotonic() - began_s

            idle_s, answered_s, sent, _ = await asyncio.gather(
                timed(idle),
                timed(request),
                watch,
                _stop(cell, other),
            )
            lines = _log_of(cell, other)
            return ForwarderStop(request.result(), sent, idle_s, answered_s, lines)

    return asyncio.run(run())


def test_a_forwarded_request_is_answered_before_the_end(
    forwarder_stop: ForwarderStop,
) -> None:
    """Guards against a request whose connection is cut while another instance runs it.

    It had been dispatched, so that its outcome is unknown to the instance that stops.
    """
    answer = Answer(502, "outcome_unknown", "unknown", "close")
    assert forwarder_stop.answer == answer
    assert forwarder_stop.answered_s < SHUTDOWN_MS / 1_000 + SLACK_S


def test_a_watch_ends_with_a_complete_response(forwarder_stop: ForwarderStop) -> None:
    """Guards against a watch that ends like a failure of the connection."""
    assert forwarder_stop.watch.startswith(b"HTTP/1.1 200")
    assert forwarder_stop.watch.endswith(b"\r\n0\r\n\r\n")


def test_an_idle_connection_is_closed_while_requests_are_in_flight(
    forwarder_stop: ForwarderStop,
) -> None:
    """Guards against clients that are told of a long stop only at its end."""
    assert forwarder_stop.idle_s < SHUTDOWN_MS / 1_000 - 0.2


def test_the_log_says_what_was_in_flight(forwarder_stop: ForwarderStop) -> None:
    """Guards against a stop of which the log doesn't tell what it ended."""
    line_by_event = {line["event"]: line for line in forwarder_stop.lines}
    assert line_by_event["shutting_down"]["waiting"] == "RunRequest=1,change=1"
    assert line_by_event["clients_closing"]["in_flight"] == 0
    ended = str(line_by_event["ended_while_stopping"]["entries"])
    assert "r1/POST/" in ended
    assert "/RunRequest/502" in ended


def test_an_owner_answers_truly_and_stops_in_time(tmp_path: pathlib.Path) -> None:
    """Guards against an owner that waits for its backend servers without a bound.

    Half of the requests come through the other instance, whose callers are told as
    well. Only what still waits for a slot is reported as not run.
    """

    async def run() -> None:
        async with _cell(tmp_path) as cell:
            secret = (await cell.seed({TEAM: {"share": 1}}))[TEAM]
            await cell.wait_for_shards()
            owner = await cell.owner_of("leeds.0")
            plans = sorted(cell.running_entries(), key=lambda plan: plan != owner)
            requests = [
                asyncio.create_task(_run_request(cell, plans[n % 2], n, secret))
                for n in range(REQUESTS)
            ]
            await _wait_for_runs(cell, 16)
            backends = await cell.counters("backend")
            began = [
                n
                for n in range(REQUESTS)
                for b in backends.values()
                if f"r{n}" in b["runs"]
            ]
            stop_s = await _stop(cell, owner)
            backends = await cell.counters("backend")
            ran = sum((Counter(b["runs"]) for b in backends.values()), Counter())
            assert stop_s < STOP_S + SLACK_S
            # What came through the other instance and has not run may run there now.
            ended = {n for n in range(REQUESTS) if n % 2 == 0} | set(began)
            answers = {n: requests[n].result() for n in ended}
            assert {answer.status for answer in answers.values()} <= {502, 503}
            assert {answers[n].ran for n in began} == {"unknown"}
            reported_not_run = [n for n, a in answers.items() if a.ran == "no"]
            assert reported_not_run
            assert not [n for n in reported_not_run if ran[f"r{n}"]]
            for task in requests:
                task.cancel()

    asyncio.run(run())


def test_a_stop_ends_in_time_without_the_table(tmp_path: pathlib.Path) -> None:
    """Guards against a release of many shards that waits for the table each time."""

    async def run() -> None:
        async with _cell(tmp_path, entries=1, shards_per_zone=6) as cell:
            await cell.seed({TEAM: {"share": 1}})
            (plan,) = cell.running_entries()
            for number in range(6):
                await cell.owner_of(f"leeds.{number}")
            await cell.control_platform(slow_ms=20_000)
            assert await _stop(cell, plan) < STOP_S + SLACK_S
            events = [line["event"] for line in _log_of(cell, plan)]
            assert "handover_abandoned" in events

    asyncio.run(run())


@pytest.mark.parametrize("is_draining", [False, True])
def test_a_failed_instance_answers_what_is_in_flight(
    tmp_path: pathlib.Path, is_draining: bool
) -> None:
    """Guards against requests that are cut off by a process whose actor has failed."""

    async def run() -> None:
        async with _cell(tmp_path, entries=1) as cell:
            secret = (await cell.seed({TEAM: {"share": 1}}))[TEAM]
            await cell.wait_for_shards()
            plan = cell.plan_entry("leeds", "leeds-entry-in-process")
            document = json.loads((tmp_path / "leeds-entry-1.json").read_text())
            document.update(
                instance_id=plan.instance_id,
                host=plan.host,
                http_port=plan.http_port,
                peer_port=plan.peer_port,
            )
            path = tmp_path / "in-process.json"
            path.write_text(json.dumps(document))
            cell.instances.append(
                {
                    "instance_id": plan.instance_id,
                    "kind": "entry",
                    "zone": plan.zone,
                    "host": plan.host,
                    "port": plan.http_port,
                }
            )
            await cell.publish_instances()
            settings = read_entry_settings(path, KNOWN_NAMES)
            async with EntryInstance.from_config(settings) as instance:

                async def has_free_slots() -> bool:
                    status = await cell.fetch_json(f"{plan.url}/v1/status")
                    shards = status.get("shards", [])
                    return any(sum(s.get("free_slots", {}).values()) for s in shards)

                await cell.wait_until(has_free_slots)
                request = asyncio.create_task(_run_request(cell, plan, 1, secret))
                await _wait_for_runs(cell, 1)
                draining = None
                if is_draining:
                    draining = asyncio.create_task(instance.drain())
                    await asyncio.sleep(0.1)
                failed_s = time.monotonic()
                instance._stack.failed.set()
                assert not await instance.wait_for_stop(asyncio.Event())
                assert draining is None or not await draining
                # The context ends as in `serve`.
            assert time.monotonic() - failed_s < SHUTDOWN_MS / 1_000 - 0.2
            answer = Answer(502, "outcome_unknown", "unknown", "close")
            assert await request == answer

    asyncio.run(run())
