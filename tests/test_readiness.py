"""When the balancer is asked for new connections."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers.readiness import (
    CONFIRMATION_TIMEOUT_MS,
    HEARTBEAT_TIMEOUT_MS,
    POLL_MS,
    ReadinessController,
)
from marjoramgrade.messages.steps import LeaderBeat, StepConfigChanged
from marjoramgrade.stepconfig import StepConfig


@attrs.define
class Signal:
    """What the balancer looks at."""

    is_ready: bool = False


@contextlib.asynccontextmanager
async def readiness():
    signal = Signal()
    controller = ReadinessController(signal, SystemClock())
    async with contextlib.AsyncExitStack() as stack:
        await controller.start()
        stack.push_async_callback(controller.stop)
        controller.tell(StepConfigChanged(StepConfig(version=1), frozenset()))
        yield signal, controller


async def beat_for(controller, duration_ms, confirmed_age_ms):
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_ms / 1000
    while loop.time() < end_s:
        controller.tell(LeaderBeat(1, "a", 0, confirmed_age_ms))
        await asyncio.sleep(0.05)


def test_an_instance_is_ready_while_the_store_confirms_its_leader():
    # Guards against a balancer that avoids instances which could serve.
    async def run():
        async with readiness() as (signal, controller):
            await beat_for(controller, 2 * POLL_MS, 100)
            assert signal.is_ready

    asyncio.run(run())


def test_callers_go_elsewhere_when_the_leader_is_cut_off_together_with_them():
    # Guards against a zone whose callers are refused for as long as it is cut off,
    # because its instances still hear a leader that cannot reach the store.
    async def run():
        async with readiness() as (signal, controller):
            await beat_for(controller, 2 * POLL_MS, 100)
            await beat_for(controller, 2 * POLL_MS, CONFIRMATION_TIMEOUT_MS)
            assert not signal.is_ready
            await beat_for(controller, 2 * POLL_MS, 100)
            assert signal.is_ready

    asyncio.run(run())


def test_callers_go_elsewhere_when_no_leader_is_heard():
    # Guards against callers who are sent to an instance that nobody leads.
    async def run():
        async with readiness() as (signal, controller):
            await beat_for(controller, 2 * POLL_MS, 100)
            await asyncio.sleep((HEARTBEAT_TIMEOUT_MS + 2 * POLL_MS) / 1000)
            assert not signal.is_ready

    asyncio.run(run())
