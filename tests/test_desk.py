"""Handing requests to the instance that leads."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import ManualClock
from marjoramgrade.controllers.desk import (
    ATTEMPT_MS,
    NO_LEADER_MS,
    DeskController,
    Forward,
)
from marjoramgrade.errors import NoLeaderError, OutcomeUnknownError
from marjoramgrade.messages.peers import CallPeer
from marjoramgrade.messages.steps import (
    LeaderBeat,
    LeaderKnown,
    StepJobAccepted,
    SubmitStepJob,
)
from tests.rowstore import MemoryRows
from tests.steps import job

DEADLINE_MS = 3_000


class Leader(Actor):
    """The leader as another instance reaches it."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.is_silent = False
        self.is_writing = True
        self.timeouts_ms = []

    @handles(CallPeer)
    async def _call(self, message: CallPeer) -> object:
        self.timeouts_ms.append(message.timeout_ms)
        if self.is_silent or not self.is_writing:
            self.clock.advance(message.timeout_ms)
            raise OutcomeUnknownError("no reply")
        return StepJobAccepted(True)


@contextlib.asynccontextmanager
async def desk_to_a_leader():
    clock = ManualClock()
    leader, store = Leader(clock), MemoryRows()
    desk = DeskController("own", leader, leader, store, clock)
    async with contextlib.AsyncExitStack() as stack:
        for actor in (leader, store, desk):
            await actor.start()
            stack.push_async_callback(actor.stop)
        desk.tell(LeaderKnown("other", 1))
        desk.tell(LeaderBeat(1, "other"))
        yield desk, leader, clock


async def submit(desk, clock):
    message = SubmitStepJob(job("aa"))
    return await desk.ask(Forward(message, clock.now_ms() + DEADLINE_MS))


def test_job_is_handed_to_the_leader():
    # Guards against a request that is refused although the leader answers.
    async def run():
        async with desk_to_a_leader() as (desk, _, clock):
            assert (await submit(desk, clock)).created

    asyncio.run(run())


def test_caller_hears_soon_that_the_leader_is_silent():
    # Guards against callers in a zone that is cut off, who heard nothing until their
    # deadline and had no time left to come back (grown kbwb-arrears trouble-1).
    async def run():
        async with desk_to_a_leader() as (desk, leader, clock):
            leader.is_silent = True
            began_ms = clock.now_ms()
            with pytest.raises(OutcomeUnknownError):
                await submit(desk, clock)
            assert clock.now_ms() - began_ms <= NO_LEADER_MS + 300
            with pytest.raises((OutcomeUnknownError, NoLeaderError)):
                await submit(desk, clock)
            assert leader.timeouts_ms[-1] <= 200

    asyncio.run(run())


def test_caller_of_a_job_that_is_not_stored_in_time_may_come_back():
    # Guards against a job whose outcome nobody knows until the deadline of its caller.
    async def run():
        async with desk_to_a_leader() as (desk, leader, clock):
            leader.is_writing = False
            began_ms = clock.now_ms()
            beats = asyncio.ensure_future(_beat(desk))
            with pytest.raises(OutcomeUnknownError):
                await submit(desk, clock)
            beats.cancel()
            assert clock.now_ms() - began_ms <= ATTEMPT_MS + 300

    asyncio.run(run())


async def _beat(desk):
    while True:
        desk.tell(LeaderBeat(1, "other"))
        await asyncio.sleep(0)
