"""Tests of the readiness signal for the load balancer."""

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
    """Readiness signal that a test reads instead of the load balancer."""

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


async def send_heartbeats(controller, duration_ms, confirmed_age_ms):
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_ms / 1000
    while loop.time() < end_s:
        controller.tell(LeaderBeat(1, "a", 0, confirmed_age_ms))
        await asyncio.sleep(0.05)


def test_an_instance_is_ready_while_the_store_confirms_its_leader():
    # Guards against a load balancer that avoids instances that could serve.
    async def run():
        async with readiness() as (signal, controller):
            await send_heartbeats(controller, 2 * POLL_MS, 100)
            assert signal.is_ready

    asyncio.run(run())


def test_an_instance_is_not_ready_when_the_store_does_not_confirm_its_leader():
    # Guards against a zone that refuses its clients for as long as it is cut off,
    # because its instances still receive heartbeats of a leader that cannot reach the
    # store.
    async def run():
        async with readiness() as (signal, controller):
            await send_heartbeats(controller, 2 * POLL_MS, 100)
            await send_heartbeats(controller, 2 * POLL_MS, CONFIRMATION_TIMEOUT_MS)
            assert not signal.is_ready
            await send_heartbeats(controller, 2 * POLL_MS, 100)
            assert signal.is_ready

    asyncio.run(run())


def test_an_instance_is_not_ready_without_heartbeats_of_a_leader():
    # Guards against clients that are sent to an instance without a leader.
    async def run():
        async with readiness() as (signal, controller):
            await send_heartbeats(controller, 2 * POLL_MS, 100)
            await asyncio.sleep((HEARTBEAT_TIMEOUT_MS + 2 * POLL_MS) / 1000)
            assert not signal.is_ready

    asyncio.run(run())
