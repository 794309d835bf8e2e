"""Tests that whatever a decoder accepts can be used by what comes after it.

Guards against the gap between what is checked when input is read and what a library
requires where the value is used.
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade.adapters.peercodec import PeerFrame, parse_frame, serialize_frame
from marjoramgrade.decisions.leadermonitor import LeaderRow
from marjoramgrade.decisions.stepprogress import JobRecord
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepsupervision import Supervisor
from marjoramgrade.errors import InvalidInputError, WorkerError
from marjoramgrade.messages.steps import LeaderBeat, SubmitStepJob
from marjoramgrade.platform.configuration import parse_config
from marjoramgrade.platform.decoding import decode_object
from marjoramgrade.platform.frontend import parse_job
from marjoramgrade.platform.workers import (
    RunnerClient,
    parse_listing,
    parse_worker,
)
from marjoramgrade.stepjobs import Step
from marjoramgrade.steprows import (
    JobRow,
    RosterRow,
    parse_row,
    roster_row_number,
    serialize_progress,
    serialize_row,
)
from tests.steps import StepHarness, cores, job, worker
from tests.test_odd_documents import JOB, LISTING, mutations
from tests.test_platform_folder import CONFIG, WORKER_ENTRY

# No connection leaves the loopback interface.
HOSTS = st.sampled_from(["127.0.0.1", "::1", "::ffff:127.0.0.1"])
SCOPES = st.text(max_size=70)


@contextlib.asynccontextmanager
async def serving(body=b"{}"):
    """Yield the port of a server that answers each request with a body."""

    async def respond(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").lower().split("\r\n")
                sizes = [ln[15:] for ln in lines if ln.startswith("content-length:")]
                await reader.readexactly(int(sizes[0]) if sizes else 0)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                )
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


@given(st.text(max_size=20), HOSTS, st.none() | SCOPES)
@example("наряд-7", "127.0.0.1", None)
@example("w\r\nX: 1", "127.0.0.1", None)
@example("w", "::1", "..")
@settings(max_examples=150, deadline=None)
def test_worker_that_is_read_can_be_called(worker_id, host, scope):
    async def run():
        async with serving() as port:
            address = f"{host}:{port}" if scope is None else f"{host}%{scope}:{port}"
            entry = msgspec.json.encode({**WORKER_ENTRY, "addr": address})
            try:
                client = RunnerClient(parse_worker(worker_id, entry))
            except InvalidInputError:
                return
            # The answer has no clock, so it is no listing.
            with contextlib.suppress(WorkerError, InvalidInputError):
                await client.renew(1, 0, 0, 0)
            client.close()

    asyncio.run(run())


def encode(document):
    return msgspec.json.encode(document)


def mutated(document):
    """Return a strategy for documents with up to two odd values."""
    return mutations(document).flatmap(lambda once: st.just(once) | mutations(once))


def harness_with_work():
    """Return a scheduler with a running job and one that waits."""
    harness = StepHarness.make(worker("w"), worker("v", labels=("a", "r1")))
    harness.add(job("ab", Step(2, cores(1)), Step(1, cores(1), after=(0,))))
    harness.confirm(*harness.plan())
    harness.add(job("cd", Step(40, cores(1), data_rack="r1")))
    harness.plan()
    return harness


def go_on(harness):
    """Plan, supervise and store, as the leader does after each event."""
    for _ in range(3):
        harness.now_ms += 700
        harness.plan()
        Supervisor(harness.state, harness.planner).supervise(harness.now_ms)
        for progress in harness.state.pop_changed_jobs():
            parse_row(serialize_progress(progress, 65_536), JobRecord)


@given(mutated(WORKER_ENTRY))
@settings(max_examples=150)
def test_worker_that_is_read_can_be_planned_with_and_stored(document):
    try:
        found = parse_worker("odd", encode(document))
    except InvalidInputError:
        return
    harness = harness_with_work()
    known = [state.worker for state in harness.state.worker_by_id.values()]
    harness.state.set_workers([*known, found])
    harness.report_listing("odd")
    go_on(harness)
    row = serialize_row(RosterRow((found,)))
    assert parse_row(row, RosterRow).workers == (found,)
    assert roster_row_number(found.worker_id) >= 0


@given(mutated(LISTING))
@settings(max_examples=300)
def test_listing_that_is_read_can_be_applied(document):
    try:
        listing = parse_listing(decode_object(encode(document)))
    except InvalidInputError:
        return
    harness = harness_with_work()
    for worker_id in ("w", "v"):
        harness.state.apply_listing(
            harness.worker(worker_id),
            listing,
            harness.worker(worker_id).fence,
            harness.now_ms,
            harness.now_ms,
            harness.now_ms,
        )
    go_on(harness)


@given(mutated(CONFIG), mutated(JOB))
@settings(max_examples=300)
def test_configuration_and_job_that_are_read_can_be_planned(config, document):
    try:
        parsed = parse_config(encode(config))
        new = parse_job(encode(document))
        new = attrs.evolve(new, job_id="ef", queue="r", team="t")
        new.check()
    except InvalidInputError:
        return
    harness = harness_with_work()
    harness.state.apply_config(parsed, frozenset(("north",)))
    queue = parsed.queue_by_name.get("r")
    if queue is not None:
        row = serialize_row(JobRow(new, queue, None))
        assert parse_row(row, JobRow).job == new
        frame = serialize_frame(PeerFrame(1, SubmitStepJob(new, parsed.version, 9)))
        assert parse_frame(frame).body.job == new
        harness.add(new, queue)
    go_on(harness)


def stored_rows():
    """Return the documents of a job's rows."""
    harness = harness_with_work()
    progress = harness.state.job_by_id["ab"]
    rows = (JobRow(progress.job, progress.queue, cores(4)), progress.record())
    return tuple(decode_object(serialize_row(row)) for row in rows)


JOB_ROW, RECORD = stored_rows()


@given(mutated(JOB_ROW), mutated(RECORD))
@settings(max_examples=300)
def test_stored_job_that_is_read_can_be_restored_and_planned(job_row, record):
    try:
        row = parse_row(encode(job_row), JobRow)
        progress = parse_row(encode(record), JobRecord)
    except InvalidInputError:
        return
    harness = StepHarness.make(worker("w"), worker("v"))
    state = harness.state
    state.usage.restore_limit(row.job.team, row.team_limit)
    with contextlib.suppress(InvalidInputError):
        state.restore_job(row.job, row.queue, progress, 10_000, 10_000)
    go_on(harness)


@given(mutated({"epoch": 3, "leader_id": "a"}))
def test_leadership_that_is_read_can_be_followed(document):
    try:
        row = parse_row(encode(document), LeaderRow)
    except InvalidInputError:
        return
    beat = LeaderBeat(row.epoch + 1, row.leader_id, 5, 6)
    assert parse_frame(serialize_frame(PeerFrame(0, beat))).body == beat
    state = StepState(row.epoch + 1)
    assert 0 < state.first_fence <= state.last_fence < 2**53
