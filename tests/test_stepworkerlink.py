"""Tests of the leader's connection to one worker."""

from __future__ import annotations

import asyncio
import contextlib

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers.stepworkerlink import (
    RETRY_DELAY_MS,
    StepWorkerLink,
)
from marjoramgrade.controllers.workerport import WorkerPort
from marjoramgrade.errors import (
    WorkerRefusedError,
    WorkerReplacedError,
    WorkerUnreachableError,
    WorkerUnresponsiveError,
)
from marjoramgrade.messages.steps import (
    AcknowledgeRunEnds,
    AllowLeaseRenewal,
    RaiseFence,
    RunStartResult,
    SendRunStart,
    ShortenListingWaits,
    StartOutcome,
    WorkerCallUnanswered,
    WorkerFenceRefused,
    WorkerListingReceived,
    WorkerUnresponsive,
)
from marjoramgrade.stepjobs import RunEnd, RunEndStatus, StartOrder, WorkerListing
from tests.steps import ref, worker

WORKER_LEASE_MS = 300
LONGEST_LEASE_MS = 900


class Port(WorkerPort):
    def __init__(self):
        self.error = None
        self.ended = ()
        self.calls = []
        self.born_unix_ms = 1_000
        self.clock_offset_ms = 0

    def clock(self):
        return SystemClock().now_ms() - self.clock_offset_ms

    def restart(self, later_ms=1_000):
        """Become the next incarnation, whose clock starts anew at 100."""
        self.born_unix_ms += later_ms
        self.clock_offset_ms = SystemClock().now_ms() - 100

    async def _respond(self, *call):
        self.calls.append(call)
        await asyncio.sleep(0.005)
        if self.error is not None:
            raise self.error
        return self.clock()

    async def start(self, order, fence, expires_clock_ms):
        return await self._respond("start", fence, expires_clock_ms)

    async def stop(self, task, run, fence):
        return await self._respond("stop", fence)

    async def pace(self, task, run, percent, fence):
        return await self._respond("pace", fence)

    async def renew(self, fence, expires_clock_ms, acknowledged, wait_ms):
        clock = await self._respond("renew", fence, expires_clock_ms, acknowledged)
        return WorkerListing(self.born_unix_ms, clock, (), self.ended)

    def close(self):
        self.calls.append(("close",))


class Scheduler(Actor):
    def __init__(self):
        super().__init__()
        self.received = []

    @handles(WorkerListingReceived)
    async def _listed(self, message: WorkerListingReceived) -> None:
        self.received.append(message)

    @handles(WorkerFenceRefused)
    async def _fence_refused(self, message: WorkerFenceRefused) -> None:
        self.received.append(message)

    @handles(WorkerUnresponsive)
    async def _unresponsive(self, message: WorkerUnresponsive) -> None:
        self.received.append(message)

    @handles(RunStartResult)
    async def _started(self, message: RunStartResult) -> None:
        self.received.append(message)

    @handles(WorkerCallUnanswered)
    async def _unanswered(self, message: WorkerCallUnanswered) -> None:
        self.received.append(message)

    def received_of(self, kind):
        return [message for message in self.received if isinstance(message, kind)]


@contextlib.asynccontextmanager
async def link_to_worker(granted=True):
    port, scheduler, clock = Port(), Scheduler(), SystemClock()
    link = StepWorkerLink(
        worker("w"), port, scheduler, clock, WORKER_LEASE_MS, LONGEST_LEASE_MS, 10, 0
    )
    async with contextlib.AsyncExitStack() as stack:
        for actor in (scheduler, link):
            await actor.start()
            stack.push_async_callback(actor.stop)
        if granted:
            link.tell(AllowLeaseRenewal(clock.now_ms() + 60_000))
        async with asyncio.timeout(3):
            while not scheduler.received_of(WorkerListingReceived):
                await asyncio.sleep(0.005)
        yield link, port, scheduler


def start():
    return SendRunStart(StartOrder(ref("a"), 1, "x"), 10)


async def result_of_start(link, scheduler):
    link.tell(start())
    async with asyncio.timeout(3):
        while not scheduler.received_of(RunStartResult):
            await asyncio.sleep(0.005)
    return scheduler.received_of(RunStartResult)[0]


def test_start_outcomes_are_distinguished():
    # Guards against treating a lost response as a refusal: the task would start on
    # another worker while this worker carries the order out late.
    async def run():
        for error, outcome in (
            (None, StartOutcome.STARTED),
            (WorkerUnresponsiveError("lost"), StartOutcome.UNKNOWN),
            (WorkerUnreachableError("none"), StartOutcome.REFUSED),
        ):
            async with link_to_worker() as (link, port, scheduler):
                port.error = error
                answer = await result_of_start(link, scheduler)
                assert answer.outcome is outcome

    asyncio.run(run())


def test_leader_without_confirmation_starts_nothing():
    # Guards against a former leader that continues to start tasks.
    async def run():
        async with link_to_worker(granted=False) as (link, port, scheduler):
            answer = await result_of_start(link, scheduler)
            assert answer.outcome is StartOutcome.REFUSED
            assert not any(call[0] == "start" for call in port.calls)

    asyncio.run(run())


def test_lease_of_an_unresponsive_worker_is_not_extended():
    # Guards against an order that is carried out late and keeps runs alive that count
    # as lost.
    async def run():
        async with link_to_worker() as (_, port, scheduler):
            port.error = WorkerUnresponsiveError("lost")
            await asyncio.sleep(0.05)
            port.calls.clear()
            async with asyncio.timeout(5):
                while not any(
                    m.expired for m in scheduler.received_of(WorkerUnresponsive)
                ):
                    await asyncio.sleep(0.01)
            expiries = {call[2] for call in port.calls if call[0] == "renew"}
            assert len(expiries) == 1

    asyncio.run(run())


def test_another_incarnation_at_the_address_means_that_the_worker_has_ended():
    # Guards against waiting for the lease expiry of a worker that has certainly ended.
    async def run():
        async with link_to_worker() as (_, port, scheduler):
            port.error = WorkerReplacedError("gone")
            async with asyncio.timeout(1):
                while not any(
                    m.expired for m in scheduler.received_of(WorkerUnresponsive)
                ):
                    await asyncio.sleep(0.01)

    asyncio.run(run())


def test_ends_are_acknowledged_only_on_request():
    # Guards against ends that the worker discards before they are stored.
    async def run():
        async with link_to_worker() as (link, port, _):
            port.ended = (RunEnd(1, ref("a"), 1, RunEndStatus.DONE, ""),)
            await asyncio.sleep(0.3)
            assert {call[3] for call in port.calls if call[0] == "renew"} == {0}
            link.tell(AcknowledgeRunEnds(1_000, 1))
            await asyncio.sleep(0.2)
            assert port.calls[-1][3] == 1

    asyncio.run(run())


def test_acknowledgement_of_an_earlier_incarnation_is_ignored():
    # Guards against a restarted worker that discards ends before the leader has seen
    # them, so that their tasks run a second time (seen in the soak with seed 1 under
    # load).
    async def run():
        async with link_to_worker() as (link, port, _):
            port.ended = (RunEnd(1, ref("a"), 1, RunEndStatus.DONE, ""),)
            link.tell(AcknowledgeRunEnds(999, 30))
            await asyncio.sleep(0.3)
            assert {call[3] for call in port.calls if call[0] == "renew"} == {0}

    asyncio.run(run())


def test_raised_fence_lists_under_the_higher_fence():
    # Guards against a listing after which unanswered orders can still take effect.
    async def run():
        async with link_to_worker() as (link, _, scheduler):
            link.tell(RaiseFence(11))
            async with asyncio.timeout(1):
                while not any(
                    m.fence == 11 for m in scheduler.received_of(WorkerListingReceived)
                ):
                    await asyncio.sleep(0.01)

    asyncio.run(run())


def test_shortened_waits_show_at_once_that_a_worker_is_cut_off():
    # Guards against starts sent to the workers of a cut-off zone until the pending
    # listings time out, up to 1.9 s after the cut.
    class Waiting(Port):
        async def renew(self, fence, expires_clock_ms, acknowledged, wait_ms):
            if wait_ms:
                self.calls.append(("wait",))
                await asyncio.sleep(60)
            return await super().renew(fence, expires_clock_ms, acknowledged, wait_ms)

    async def run():
        port, scheduler, clock = Waiting(), Scheduler(), SystemClock()
        link = StepWorkerLink(
            worker("w"),
            port,
            scheduler,
            clock,
            WORKER_LEASE_MS,
            LONGEST_LEASE_MS,
            10,
            0,
        )
        async with contextlib.AsyncExitStack() as stack:
            for actor in (scheduler, link):
                await actor.start()
                stack.push_async_callback(actor.stop)
            async with asyncio.timeout(3):
                while ("wait",) not in port.calls:
                    await asyncio.sleep(0.005)
            port.error = WorkerUnresponsiveError("cut off")
            for ahead_ms in (1_000, 2_000):
                link.tell(ShortenListingWaits(clock.now_ms() + ahead_ms))
                await asyncio.sleep(0.05)
            assert len(scheduler.received_of(WorkerCallUnanswered)) == 1

    asyncio.run(run())


async def wait_until_expired(scheduler):
    """Return how long it takes until the worker is reported as expired."""
    began_ms = SystemClock().now_ms()
    async with asyncio.timeout(5):
        while not any(m.expired for m in scheduler.received_of(WorkerUnresponsive)):
            await asyncio.sleep(0.01)
    return SystemClock().now_ms() - began_ms


def test_call_to_a_silent_worker_carries_nothing_of_an_earlier_incarnation():
    # Guards against an incarnation that gets a lease by the clock of the one before it,
    # and that forgets ends which nobody has seen (review/6).
    async def run():
        async with link_to_worker() as (link, port, scheduler):
            port.ended = (RunEnd(1, ref("a"), 1, RunEndStatus.DONE, ""),)
            link.tell(AcknowledgeRunEnds(1_000, 1))
            await asyncio.sleep(0.1)
            port.error = WorkerUnresponsiveError("crashed")
            while len(scheduler.received_of(WorkerCallUnanswered)) < 2:
                await asyncio.sleep(0.01)
            port.ended = ()
            port.restart()
            port.error = None
            port.calls.clear()
            await asyncio.sleep(RETRY_DELAY_MS / 1000 + 0.1)
            assert port.calls[0][2:] == (0, 0)
            assert port.calls[-1][2] > 0

    asyncio.run(run())


def test_incarnation_that_was_born_earlier_forgets_no_end_that_nobody_has_seen():
    # Guards against a worker whose time of day was set back before it restarted: it was
    # told to forget its ends up to a number of the incarnation before it, and got the
    # lease of that one.
    async def run():
        async with link_to_worker() as (link, port, _):
            port.ended = (RunEnd(1, ref("a"), 1, RunEndStatus.DONE, ""),)
            link.tell(AcknowledgeRunEnds(1_000, 1))
            await asyncio.sleep(0.1)
            port.ended = ()
            port.restart(-500)
            await asyncio.sleep(0.1)
            port.calls.clear()
            await asyncio.sleep(0.1)
            assert {call[3] for call in port.calls} == {0}
            assert max(call[2] for call in port.calls) <= port.clock() + WORKER_LEASE_MS

    asyncio.run(run())


def test_lease_of_a_restarted_worker_may_be_as_long_as_any_order_can_make_it():
    # Guards against a task that starts elsewhere while a restarted worker runs it under
    # a lease that a call to its earlier incarnation granted (review/6).
    async def run():
        async with link_to_worker() as (link, port, scheduler):
            port.restart()
            while scheduler.received[-1].listing.born_unix_ms != port.born_unix_ms:
                await asyncio.sleep(0.005)
            link.tell(RaiseFence(11))
            while scheduler.received[-1].fence != 11:
                await asyncio.sleep(0.005)
            port.error = WorkerUnresponsiveError("cut off")
            assert await wait_until_expired(scheduler) >= LONGEST_LEASE_MS

    asyncio.run(run())


def test_calls_to_an_earlier_incarnation_may_extend_a_lease_until_they_are_fenced_off():
    # Guards against a worker that counts as expired while a late call to its earlier
    # incarnation, under the fence of its last listing, may still extend its lease.
    async def run():
        async with link_to_worker() as (_, port, scheduler):
            port.restart()
            while scheduler.received[-1].listing.born_unix_ms != port.born_unix_ms:
                await asyncio.sleep(0.005)
            port.error = WorkerUnresponsiveError("cut off")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2.5):
                    await wait_until_expired(scheduler)
            assert not any(m.expired for m in scheduler.received_of(WorkerUnresponsive))

    asyncio.run(run())


def test_lease_that_an_earlier_leader_granted_counts_after_the_first_listing():
    # Guards against a new leader that takes the lease of a worker for expired because
    # it has itself granted none.
    async def run():
        async with link_to_worker(granted=False) as (_, port, scheduler):
            port.error = WorkerUnresponsiveError("cut off")
            assert await wait_until_expired(scheduler) >= LONGEST_LEASE_MS / 2

    asyncio.run(run())


def test_start_of_an_earlier_incarnation_does_not_set_the_clock():
    # Guards against a restarted worker whose clock is taken from the late response to a
    # start: its lease counted as expired at once.
    class SlowStart(Port):
        async def start(self, order, fence, expires_clock_ms):
            clock_ms = self.clock()
            await asyncio.sleep(0.2)
            return clock_ms

    async def run():
        port, scheduler, clock = SlowStart(), Scheduler(), SystemClock()
        link = StepWorkerLink(
            worker("w"),
            port,
            scheduler,
            clock,
            WORKER_LEASE_MS,
            LONGEST_LEASE_MS,
            10,
            0,
        )
        async with contextlib.AsyncExitStack() as stack:
            for actor in (scheduler, link):
                await actor.start()
                stack.push_async_callback(actor.stop)
            link.tell(AllowLeaseRenewal(clock.now_ms() + 60_000))
            while not scheduler.received_of(WorkerListingReceived):
                await asyncio.sleep(0.005)
            link.tell(start())
            await asyncio.sleep(0.05)
            port.restart()
            await asyncio.sleep(0.05)
            link.tell(RaiseFence(11))
            while not scheduler.received_of(RunStartResult):
                await asyncio.sleep(0.005)
            port.error = WorkerUnresponsiveError("cut off")
            assert await wait_until_expired(scheduler) >= WORKER_LEASE_MS


def test_refusal_for_the_token_is_reported():
    # Guards against a refusal that tells of a higher token and is counted only as a
    # failed call (review/7).
    async def run():
        async with link_to_worker() as (link, port, scheduler):
            port.error = WorkerRefusedError("409", "fence")
            async with asyncio.timeout(3):
                while not scheduler.received_of(WorkerFenceRefused):
                    await asyncio.sleep(0.005)
            assert scheduler.received_of(WorkerFenceRefused)[0].fence == 10

    asyncio.run(run())
