"""Tests of what callers are told about jobs by a leader that may have been replaced."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import io
import json

import attrs
import pytest

from marjoramgrade import logs
from marjoramgrade.actor import Actor, handles
from marjoramgrade.adapters.peercodec import PeerFrame, parse_frame, serialize_frame
from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers import commits, stepscheduling
from marjoramgrade.controllers.commits import SaveRows
from marjoramgrade.controllers.forwarding import ForwardingController, ForwardRequest
from marjoramgrade.controllers.leaderpolicies import LeaderPolicies
from marjoramgrade.decisions.admission import gate
from marjoramgrade.decisions.admission.policies import OpenJobsAdmission, Refusal
from marjoramgrade.errors import (
    MarjoramgradeError,
    OutcomeUnknownError,
    OverloadedError,
    RefusedError,
    TableRequiredError,
    iter_error_types,
)
from marjoramgrade.filters.chain import FilterChain
from marjoramgrade.filters.context import RequestContext
from marjoramgrade.filters.queues import (
    DEFAULT_QUEUE_FILTERS,
    QUEUE_FILTERS,
    QueueFilterEnvironment,
)
from marjoramgrade.messages.rows import CommitRows, ReadRows, RowWrite
from marjoramgrade.messages.steps import (
    GetStepConfig,
    KnownConfig,
    LeaderBeat,
    LeaderChanged,
    QueueRequest,
    QueueVerb,
    SubmitStepJob,
)
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.platform.frontend import status_of
from marjoramgrade.stepconfig import StepConfig, TeamPolicy
from marjoramgrade.stepjobs import Step
from marjoramgrade.steprows import EPOCH_ROW, JobRow, job_row_id, serialize_row
from tests.rowstore import MemoryRowStore
from tests.steps import URGENT, cores, job
from tests.test_stepscheduling import leading

JOB_ID = "00112233445566aa"
DEADLINE_MS = 3_000
PUBLIC = attrs.evolve(URGENT, public=True)
CONFIG = StepConfig(3, {PUBLIC.name: PUBLIC}, {}, {})


class Directory(Actor):
    """Holds the configuration."""

    @handles(GetStepConfig)
    async def _get(self, message: GetStepConfig) -> KnownConfig:
        return KnownConfig(CONFIG)


class OtherPath(Actor):
    """Another instance's path to the same store, which is not cut off."""

    def __init__(self, rows):
        super().__init__()
        self.rows = rows
        self.mode = "ok"

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> object:
        path = MemoryRowStore()
        path.rows, path.mode = self.rows, self.mode
        return await path._read(message)


class Cell:
    """A leader, and an instance that forwards the requests of clients to it."""

    def __init__(self, chain, store, path, clock, scheduler=None):
        self.chain = chain
        self.store = store
        self.path = path
        self.clock = clock
        self.scheduler = scheduler

    async def request(self, verb):
        """Return the status of the answer to a request for the job."""
        new = job(JOB_ID) if verb is QueueVerb.SUBMIT else None
        path = PUBLIC.path_prefix + JOB_ID
        request = QueueRequest(verb, PUBLIC.host, path, new)
        deadline_ms = self.clock.now_ms() + DEADLINE_MS
        try:
            await self.chain.handle(RequestContext(request, "", "", deadline_ms))
        except MarjoramgradeError as error:
            return status_of(error)
        return 200

    def replace_leader(self, *, stores_job=True):
        """Let a successor lead, and accept the job, without the leader's knowledge."""
        row = RowWrite(job_row_id(JOB_ID), serialize_row(JobRow(job(JOB_ID), PUBLIC)))
        writes = (row,) if stores_job else ()
        self.store.apply(CommitRows((), (RowWrite(EPOCH_ROW, b"2"), *writes)))


def make_chain(clock, directory, forwarder):
    environment = QueueFilterEnvironment(
        clock, MemoryMetrics(), directory, forwarder, config_apply_ms=2_000
    )
    filters = [
        QUEUE_FILTERS.get(name).from_config(environment)
        for name in DEFAULT_QUEUE_FILTERS
    ]
    return FilterChain(filters, MemoryMetrics())


@contextlib.asynccontextmanager
async def running_cell(monkeypatch):
    monkeypatch.setattr(commits, "UNREACHABLE_MS", 100)
    monkeypatch.setattr(commits, "WATCH_MS", 10)
    clock = SystemClock()
    async with contextlib.AsyncExitStack() as stack:
        store, scheduler, _ = await stack.enter_async_context(leading(config=CONFIG))
        directory, path = Directory(), OtherPath(store.rows)
        forwarder = ForwardingController("own", scheduler, path, path, clock)
        for actor in (directory, path, forwarder):
            await actor.start()
            stack.push_async_callback(actor.stop)
        forwarder.tell(LeaderChanged("own", 1))
        forwarder.tell(LeaderBeat(1, "own", clock.now_ms()))
        chain = make_chain(clock, directory, forwarder)
        yield Cell(chain, store, path, clock, scheduler)


def test_leader_that_is_cut_off_does_not_refuse_a_job(monkeypatch):
    # Guards against a refused job that runs: an earlier attempt was accepted by a
    # successor that a leader without a path to the store doesn't know (rule REFUSED).
    async def run():
        async with running_cell(monkeypatch) as cell:
            stuck = asyncio.ensure_future(cell.request(QueueVerb.SUBMIT))
            cell.store.mode = "hang"
            await asyncio.sleep(0.3)
            stuck.cancel()
            cell.replace_leader()
            return await asyncio.wait_for(cell.request(QueueVerb.SUBMIT), 2.5)

    assert asyncio.run(run()) == 504


@pytest.mark.parametrize("store_mode", ["ok", "hang", "down"])
def test_replaced_leader_with_too_many_jobs_does_not_refuse_one(
    monkeypatch, store_mode
):
    # Guards against a 429 for a job that the leader's successor has accepted.
    monkeypatch.setattr(stepscheduling, "MAX_OPEN_JOBS", 0)

    async def run():
        async with running_cell(monkeypatch) as cell:
            cell.replace_leader()
            cell.store.mode = store_mode
            return await cell.request(QueueVerb.SUBMIT)

    assert asyncio.run(run()) == 504


def test_leader_that_the_store_confirms_refuses_at_once(monkeypatch):
    # Guards against clients that are left without a true refusal by a leader that is
    # in touch with the store.
    monkeypatch.setattr(stepscheduling, "MAX_OPEN_JOBS", 0)

    async def run():
        async with running_cell(monkeypatch) as cell:
            return await asyncio.wait_for(cell.request(QueueVerb.SUBMIT), 0.5)

    assert asyncio.run(run()) == 429


# 401 and 403 concern the key, not the job.
REFUSALS = [
    kind
    for kind in iter_error_types(RefusedError)
    if status_of(kind("")) not in (401, 403)
]


@pytest.mark.parametrize("kind", REFUSALS)
def test_no_job_is_refused_without_a_confirmed_leader(kind):
    # Guards against a job that is refused by what cannot know its earlier attempts, for
    # example by a full mailbox of the instance that took the request.
    class Refusing(Actor):
        @handles(ForwardRequest)
        async def _forward(self, message: ForwardRequest) -> None:
            raise error

    async def run():
        directory, forwarder = Directory(), Refusing()
        async with contextlib.AsyncExitStack() as stack:
            for actor in (directory, forwarder):
                await actor.start()
                stack.push_async_callback(actor.stop)
            clock = SystemClock()
            chain = make_chain(clock, directory, forwarder)
            return await Cell(chain, None, None, clock).request(QueueVerb.SUBMIT)

    error = kind("not now")
    assert asyncio.run(run()) == 504
    error = error.confirmed_by(7)
    assert asyncio.run(run()) == status_of(error)


def test_confirmation_of_a_refusal_reaches_other_instances():
    # Guards against true refusals that become unknown on their way to the caller.
    refusal = OverloadedError("too many jobs are open").confirmed_by(7)
    frame = parse_frame(serialize_frame(PeerFrame(1, refusal)))
    assert isinstance(frame.body, OverloadedError)
    assert frame.body.confirmed_epoch == 7


def test_refusal_is_confirmed_only_by_an_answer_to_a_later_transaction(monkeypatch):
    # Guards against a refusal that rests on an answer from before the request came, and
    # against a true refusal that becomes unknown.
    monkeypatch.setattr(commits, "UNREACHABLE_MS", 100)
    monkeypatch.setattr(commits, "WATCH_MS", 10)

    async def run():
        async with leading(config=CONFIG) as (store, scheduler, _):
            controller = scheduler._lead.commits
            save = SaveRows((RowWrite(job_row_id("a"), b"x"),), is_refusable=True)
            await controller.ask(save)
            store.mode = "hang"
            await asyncio.sleep(0.02)
            first = asyncio.ensure_future(controller.ask(save))
            await asyncio.sleep(0.02)
            with pytest.raises(TableRequiredError) as caught:
                await controller.ask(save)
            assert not caught.value.confirmed_epoch
            first.cancel()

    asyncio.run(run())


def test_job_that_waits_behind_a_confirmed_transaction_is_refused_truly(monkeypatch):
    # Guards against a true refusal that is reported as an unknown outcome, after which
    # the client has to ask again.
    monkeypatch.setattr(commits, "UNREACHABLE_MS", 100)
    monkeypatch.setattr(commits, "WATCH_MS", 10)
    monkeypatch.setattr(commits, "MAX_ROWS_PER_TRANSACTION", 1)

    class Slow(MemoryRowStore):
        @handles(CommitRows)
        async def _commit(self, message: CommitRows) -> object:
            async def answer():
                await asyncio.sleep(0.03 if self.mode == "ok" else 3_600)
                return self.apply(message)

            return self.spawn(answer())

    async def run():
        async with leading(Slow(), config=CONFIG) as (store, scheduler, _):
            controller = scheduler._lead.commits

            def save(number):
                row = RowWrite(job_row_id(f"a{number}"), b"x")
                message = SaveRows((row,), is_refusable=True)
                return asyncio.ensure_future(controller.ask(message))

            first = save(0)
            await asyncio.sleep(0.01)
            second, stuck, queued = save(1), save(2), save(3)
            await first
            await asyncio.sleep(0.01)
            store.mode = "hang"
            await second
            with pytest.raises(TableRequiredError) as caught:
                await asyncio.wait_for(queued, 1)
            assert caught.value.confirmed_epoch == 1
            stuck.cancel()

    asyncio.run(run())


def test_repeated_attempt_does_not_share_the_confirmation_of_the_first(monkeypatch):
    # Guards against the refusal of an attempt by a confirmation from before it came:
    # a successor may have accepted another attempt in between.
    monkeypatch.setattr(stepscheduling, "MAX_OPEN_JOBS", 0)

    class Replaced(MemoryRowStore):
        async def _replace(self, message):
            answer = self.apply(message)
            self.apply(CommitRows((), (RowWrite(EPOCH_ROW, b"2"),)))
            await asyncio.sleep(0.05)
            return answer

        @handles(CommitRows)
        async def _commit(self, message: CommitRows) -> object:
            if self.mode == "replace":
                self.mode = "ok"
                return self.spawn(self._replace(message))
            return self.apply(message)

    async def run():
        async with leading(Replaced(), config=CONFIG) as (store, scheduler, _):
            # The roster is stored first.
            await asyncio.sleep(0.1)
            store.mode = "replace"
            message = SubmitStepJob(job(JOB_ID))
            first = asyncio.ensure_future(scheduler.ask(message))
            await asyncio.sleep(0.02)
            again = asyncio.ensure_future(scheduler.ask(message))
            return await asyncio.gather(first, again, return_exceptions=True)

    first, again = asyncio.run(run())
    assert isinstance(first, OverloadedError)
    assert first.confirmed_epoch == 1
    assert isinstance(again, RefusedError)
    assert not again.confirmed_epoch


@pytest.mark.parametrize("verb", [QueueVerb.STATE, QueueVerb.CANCEL])
@pytest.mark.parametrize("is_stored", [True, False])
def test_job_that_a_replaced_leader_does_not_know_is_looked_up(
    monkeypatch, verb, is_stored
):
    # Guards against a 410 for a job that a successor of the leader has accepted: its
    # caller takes it for lost, or for cancelled while it runs (UNASKED in REPORT-2).
    monkeypatch.setattr("tests.test_refusals.DEADLINE_MS", 400)

    async def run():
        async with running_cell(monkeypatch) as cell:
            cell.store.mode = "hang"
            cell.replace_leader(stores_job=is_stored)
            return await cell.request(verb)

    found = 200 if verb is QueueVerb.STATE else 504
    assert asyncio.run(run()) == (found if is_stored else 410)


@pytest.mark.parametrize(
    ("verb", "status"), [(QueueVerb.STATE, 503), (QueueVerb.CANCEL, 504)]
)
@pytest.mark.parametrize("mode", ["down", "hang"])
def test_no_job_is_reported_as_unknown_while_the_store_is_away(
    monkeypatch, verb, status, mode
):
    # Guards against a 410 on the authority of a leader that the store can't confirm.
    monkeypatch.setattr("tests.test_refusals.DEADLINE_MS", 400)

    async def run():
        async with running_cell(monkeypatch) as cell:
            cell.store.mode = cell.path.mode = mode
            return await cell.request(verb)

    assert asyncio.run(run()) == status


def test_job_that_arrives_after_its_client_has_left_is_not_accepted():
    # Guards against a job that runs although its client was refused: an attempt was
    # delayed on its way, or waited while the leader was paused, and accepted then.
    async def run():
        async with leading(config=CONFIG) as (store, scheduler, _):
            now_ms = SystemClock().now_ms()
            late = SubmitStepJob(job(JOB_ID), expires_clock_ms=now_ms - 1)
            with pytest.raises(OutcomeUnknownError):
                await scheduler.ask(late)
            await asyncio.sleep(0.05)
            assert job_row_id(JOB_ID) not in store.rows
            in_time = SubmitStepJob(job(JOB_ID), expires_clock_ms=now_ms + 60_000)
            assert (await scheduler.ask(in_time)).created
            assert not (await scheduler.ask(late)).created

    asyncio.run(run())


def test_attempt_that_waits_elsewhere_is_not_accepted_after_a_refusal(monkeypatch):
    # Guards against a refused job that runs: an earlier attempt, whose client lost its
    # connection unnoticed, still waits at an instance that finds the leader later.
    monkeypatch.setattr(stepscheduling, "MAX_OPEN_JOBS", 0)

    async def run():
        async with running_cell(monkeypatch) as cell, contextlib.AsyncExitStack() as st:
            directory = Directory()
            elsewhere = ForwardingController(
                "own", cell.scheduler, cell.path, cell.path, cell.clock
            )
            for actor in (directory, elsewhere):
                await actor.start()
                st.push_async_callback(actor.stop)
            elsewhere.tell(LeaderBeat(1, "own", cell.clock.now_ms()))
            chain = make_chain(cell.clock, directory, elsewhere)
            other = Cell(chain, cell.store, cell.path, cell.clock, cell.scheduler)
            waiting = asyncio.ensure_future(other.request(QueueVerb.SUBMIT))
            await asyncio.sleep(0.3)
            refused = await cell.request(QueueVerb.SUBMIT)
            monkeypatch.setattr(stepscheduling, "MAX_OPEN_JOBS", 5_000)
            elsewhere.tell(LeaderChanged("own", 1))
            await waiting
            return refused, job_row_id(JOB_ID) in cell.store.rows

    assert asyncio.run(run()) == (429, False)


TOO_LATE = 4_200


class LateAdmission(OpenJobsAdmission):
    """Finds every job too late."""

    def check(self, submission):
        return Refusal("team_late", "too late", TOO_LATE)


@pytest.mark.parametrize("change", ["none", "replaced", "cut off", "store away"])
def test_refusal_by_estimate_is_told_only_by_a_confirmed_leader(monkeypatch, change):
    # Guards against a 429 by the estimate of a leader that was replaced or cut off
    # between estimate and refusal, while its successor accepted the job.
    policies = LeaderPolicies(admission=LateAdmission)
    with_policies = functools.partial(leading, policies=policies)
    monkeypatch.setitem(globals(), "leading", with_policies)

    async def run():
        async with running_cell(monkeypatch) as cell:
            if change in ("replaced", "cut off"):
                cell.replace_leader()
            if change in ("cut off", "store away"):
                cell.store.mode = "hang"
            status = await asyncio.wait_for(cell.request(QueueVerb.SUBMIT), 2.8)
            return status, cell.scheduler._metrics.count_by_name

    status, counts = asyncio.run(run())
    assert status == (429 if change == "none" else 504)
    if change == "none":
        assert counts["job_refused.team_late"]


def test_refusal_by_estimate_tells_when_to_retry():
    # Guards against a `Retry-After` that the confirmation of a refusal drops.
    async def run():
        policies = LeaderPolicies(admission=LateAdmission)
        async with leading(config=CONFIG, policies=policies) as (_, scheduler, _):
            with pytest.raises(OverloadedError) as caught:
                await scheduler.ask(SubmitStepJob(job(JOB_ID)))
            assert caught.value.retry_after_ms == TOO_LATE
            assert caught.value.confirmed_epoch == 1

    asyncio.run(run())


def test_accepted_job_is_answered_as_accepted_while_new_ones_are_refused():
    # Guards against a refusal of a job that was accepted before, by this leader or an
    # earlier one.
    policies = LeaderPolicies(admission=LateAdmission)

    async def run():
        async with leading(config=CONFIG) as (store, scheduler, _):
            assert (await scheduler.ask(SubmitStepJob(job(JOB_ID)))).created
            late = leading(store, 2, CONFIG, policies=policies)
            async with late as (_, successor, _):
                assert not (await successor.ask(SubmitStepJob(job(JOB_ID)))).created
                with pytest.raises(OverloadedError):
                    await successor.ask(SubmitStepJob(job("00112233445566bb")))

    asyncio.run(run())


def test_refusing_is_logged_when_it_begins_and_ends(monkeypatch):
    # Guards against a line for each refused job, and an overload that leaves none.
    monkeypatch.setattr(gate, "SETTLE_MS", 100)
    one_core = {"red": TeamPolicy("red", limit=cores(1, 0))}
    config = StepConfig(1, {URGENT.name: URGENT}, {}, one_core)
    out = io.StringIO()
    logs.configure(out)

    async def run():
        policies = LeaderPolicies.from_config("periodic", admission="estimate")
        async with leading(config=config, policies=policies) as (_, scheduler, _):
            await asyncio.sleep(0.3)
            steps = Step(1, cores(1), 60_000)
            answers = [
                scheduler.ask(SubmitStepJob(job(f"{n:016x}", steps))) for n in range(30)
            ]
            done = await asyncio.gather(*answers, return_exceptions=True)
            await asyncio.sleep(0.6)
            return sum(isinstance(answer, OverloadedError) for answer in done)

    assert asyncio.run(run()) > 1
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    events = [line for line in lines if line["event"].startswith("admission_")]
    assert [line["event"] for line in events] == [
        "admission_refusing",
        "admission_accepting",
    ]
    assert events[0]["team"] == "red"
    assert int(events[0]["estimate_ms"]) > int(events[0]["limit_ms"])
