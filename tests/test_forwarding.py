"""Tests of the forwarding of requests to the instance that leads."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import ManualClock
from marjoramgrade.controllers.forwarding import (
    NO_LEADER_TIMEOUT_MS,
    ForwardingController,
    ForwardRequest,
)
from marjoramgrade.errors import (
    ForbiddenError,
    JobNotFoundError,
    MarjoramgradeError,
    NoLeaderError,
    OutcomeUnknownError,
    OverloadedError,
    OwnerUnreachableError,
    QueueNotFoundError,
    Ran,
    RefusedError,
    StaleAuthorityError,
    TableRequiredError,
    from_code,
    iter_error_types,
)
from marjoramgrade.messages.peers import CallPeer
from marjoramgrade.messages.steps import (
    ClientPresence,
    CountPending,
    LeaderBeat,
    LeaderChanged,
    StepJobAccepted,
    SubmitStepJob,
)
from marjoramgrade.platform.frontend import status_of
from tests.rowstore import MemoryRowStore
from tests.steps import job

DEADLINE_MS = 3_000


class Leader(Actor):
    """Stands in for the leader, as a peer and as the local scheduler."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.is_unresponsive = False
        self.failures = []
        self.unresponsive_ids = set()
        self.received = []

    @handles(CallPeer)
    async def _call(self, message: CallPeer) -> object:
        self.received.append(message.message)
        if message.instance_id in self.unresponsive_ids:
            return self.spawn(asyncio.sleep(3_600))
        if self.is_unresponsive:
            self.clock.advance(message.timeout_ms)
            raise OutcomeUnknownError("no reply")
        if self.failures:
            self.clock.advance(300)
            # The last failure is raised again by all further calls.
            raise self.failures.pop(0) if self.failures[1:] else self.failures[0]
        return StepJobAccepted(True)

    @handles(SubmitStepJob)
    async def _submit(self, message: SubmitStepJob) -> StepJobAccepted:
        return StepJobAccepted(True)


@contextlib.asynccontextmanager
async def forwarder_to_leader():
    clock = ManualClock()
    leader, store = Leader(clock), MemoryRowStore()
    forwarder = ForwardingController("own", leader, leader, store, clock)
    async with contextlib.AsyncExitStack() as stack:
        for actor in (leader, store, forwarder):
            await actor.start()
            stack.push_async_callback(actor.stop)
        forwarder.tell(LeaderChanged("other", 1))
        forwarder.tell(LeaderBeat(1, "other"))
        yield forwarder, leader, clock


async def submit(forwarder, clock):
    message = SubmitStepJob(job("aa"))
    return await forwarder.ask(ForwardRequest(message, clock.now_ms() + DEADLINE_MS))


def test_job_is_forwarded_to_the_leader():
    # Guards against a request that is refused although the leader replies.
    async def run():
        async with forwarder_to_leader() as (forwarder, _, clock):
            assert (await submit(forwarder, clock)).created

    asyncio.run(run())


def test_job_that_may_have_been_accepted_is_retried_until_the_deadline():
    # Guards against a client that retries at an instance that knows of no leader, which
    # refuses the job as not run while it runs (seen in kbwb-arrears trouble-2, seed
    # 100282226733).
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            leader.is_unresponsive = True
            began_ms = clock.now_ms()
            with pytest.raises(OutcomeUnknownError):
                await submit(forwarder, clock)
            assert clock.now_ms() - began_ms >= DEADLINE_MS - 100

    asyncio.run(run())


def refusals():
    """Return the types of the errors that say that a request has not run."""
    answers = (ForbiddenError, JobNotFoundError)
    return [
        kind
        for kind in iter_error_types()
        if kind.ran is Ran.NO and not issubclass(kind, answers)
    ]


def make_error(kind):
    return from_code(kind.code, "not now", {})


@pytest.mark.parametrize("kind", refusals())
def test_no_error_after_an_attempt_that_may_have_succeeded_is_a_refusal(kind):
    # Guards against a job that is refused as not run, for whatever reason, although an
    # earlier attempt of the same request was accepted.
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            leader.failures = [OutcomeUnknownError("no reply"), make_error(kind)]
            with pytest.raises(MarjoramgradeError) as caught:
                await submit(forwarder, clock)
            assert caught.value.ran is Ran.UNKNOWN

    asyncio.run(run())


@pytest.mark.parametrize("stopped", ["forwarder", "leader"])
def test_call_that_is_cancelled_on_its_way_is_no_refusal(stopped):
    # Guards against a job that is refused because the link or the actor that waits for
    # its leader stops, while the leader accepts it (rule REFUSED of the users' runs).
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            leader.unresponsive_ids = {"other"}
            message = SubmitStepJob(job("aa"))
            answer = asyncio.ensure_future(
                forwarder.ask(ForwardRequest(message, clock.now_ms() + DEADLINE_MS))
            )
            await asyncio.sleep(0.05)
            clock.advance(DEADLINE_MS)
            await {"forwarder": forwarder, "leader": leader}[stopped].stop()
            with pytest.raises(MarjoramgradeError) as caught:
                await answer
            assert caught.value.ran is Ran.UNKNOWN
            assert status_of(caught.value) == 504

    asyncio.run(run())


@pytest.mark.parametrize(
    "refusal",
    [TableRequiredError, StaleAuthorityError, OverloadedError, QueueNotFoundError],
)
def test_refusal_after_an_attempt_that_may_have_succeeded_is_unknown(refusal):
    # Guards against a job that is refused as not run although a former leader accepted
    # it.
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            leader.failures = [OutcomeUnknownError("no reply"), refusal("not now")]
            with pytest.raises(OutcomeUnknownError):
                await submit(forwarder, clock)
            failure = refusal("not now")
            if isinstance(failure, RefusedError):
                failure = failure.confirmed_by(1)
            leader.failures = [failure]
            with pytest.raises(refusal):
                await submit(forwarder, clock)

    asyncio.run(run())


def test_job_that_was_never_sent_is_given_up_soon_but_not_refused():
    # Guards against clients that wait until their deadline while there is no leader,
    # and against the refusal of a job that another instance had passed on before
    # (seeds 7 and 18 of soak/refusals.py).
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            leader.failures = [OwnerUnreachableError("gone")]
            began_ms = clock.now_ms()
            with pytest.raises(OutcomeUnknownError):
                await submit(forwarder, clock)
            assert clock.now_ms() - began_ms <= NO_LEADER_TIMEOUT_MS + 400


def test_job_whose_client_has_left_is_not_sent_again():
    # Guards against a job that is accepted late, after its client was refused by
    # another instance.
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            leader.failures = [OutcomeUnknownError("no reply")]
            presence = ClientPresence()
            message = SubmitStepJob(job("aa"))
            deadline_ms = clock.now_ms() + 60_000
            answer = asyncio.ensure_future(
                forwarder.ask(ForwardRequest(message, deadline_ms, presence))
            )
            await asyncio.sleep(0.1)
            presence.mark_left()
            with pytest.raises(OutcomeUnknownError, match="left"):
                await asyncio.wait_for(answer, 5)

    asyncio.run(run())


def test_job_waits_for_a_leader_however_long_there_was_none():
    # Guards against clients that hand a job in again and again without a pause, since
    # an instance that has long heard no leader answers "unknown" at once.
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            clock.advance(60_000)
            leader.failures = [OwnerUnreachableError("gone")]
            began_ms = clock.now_ms()
            with pytest.raises(OutcomeUnknownError):
                await submit(forwarder, clock)
            assert clock.now_ms() - began_ms >= NO_LEADER_TIMEOUT_MS
            leader.failures = [
                OwnerUnreachableError("gone"),
                OwnerUnreachableError("gone"),
            ]
            answer = asyncio.ensure_future(submit(forwarder, clock))
            await asyncio.sleep(0.1)
            leader.failures = []
            assert (await answer).created

    asyncio.run(run())


def test_count_without_a_leader_is_refused_soon():
    # Guards against clients that wait until their deadline while there is no leader.
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            leader.failures = [OwnerUnreachableError("gone")]
            began_ms = clock.now_ms()
            deadline_ms = began_ms + DEADLINE_MS
            with pytest.raises(NoLeaderError):
                await forwarder.ask(ForwardRequest(CountPending("q", 1), deadline_ms))
            assert clock.now_ms() - began_ms <= NO_LEADER_TIMEOUT_MS + 400

    asyncio.run(run())


@pytest.mark.parametrize("successor", ["third", "own"])
def test_job_goes_to_the_next_leader_once_the_first_is_replaced(successor):
    # Guards against clients that wait for the reply of a leader that lost power, while
    # another instance already leads (seen in kbwb-arrears trouble-3: 1.4 s instead of
    # 0.4 s).
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            leader.unresponsive_ids = {"other"}
            answer = asyncio.ensure_future(submit(forwarder, clock))
            await asyncio.sleep(0.05)
            assert not answer.done()
            forwarder.tell(LeaderChanged("", 1))
            forwarder.tell(LeaderChanged(successor, 2))
            async with asyncio.timeout(1):
                assert (await answer).created

    asyncio.run(run())


def test_job_expires_at_the_leader_when_its_client_stops_waiting():
    # Guards against a job that is delayed between two instances and accepted after its
    # client has left and was refused elsewhere (rule REFUSED).
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            forwarder.tell(LeaderBeat(1, "other", 70_000))
            await asyncio.sleep(0.01)
            clock.advance(100)
            await submit(forwarder, clock)
            margin_ms = 70_100 + DEADLINE_MS - leader.received[-1].expires_clock_ms
            assert 0 <= margin_ms <= 100
            # The clock of the next leader is not known yet.
            forwarder.tell(LeaderChanged("third", 2))
            await submit(forwarder, clock)
            assert not leader.received[-1].expires_clock_ms

    asyncio.run(run())


def test_job_waits_for_a_leader_that_the_store_confirms():
    # Guards against clients that use up their attempts within a second: after an
    # unknown outcome they come again at once, and the store is away for longer.
    async def run():
        async with forwarder_to_leader() as (forwarder, leader, clock):
            refusal = TableRequiredError("the store is unreachable")
            leader.failures = [refusal]
            began_ms = clock.now_ms()
            with pytest.raises(OutcomeUnknownError):
                await submit(forwarder, clock)
            waited_ms = clock.now_ms() - began_ms
            assert NO_LEADER_TIMEOUT_MS <= waited_ms <= NO_LEADER_TIMEOUT_MS + 400
            leader.failures = [refusal, refusal]
            answer = asyncio.ensure_future(submit(forwarder, clock))
            await asyncio.sleep(0.1)
            leader.failures = []
            assert (await answer).created

    asyncio.run(run())
