"""Decides whether the balancer should send new connections here."""

from __future__ import annotations

import asyncio
from typing import Protocol

from marjoramgrade import logs
from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.messages.steps import LeaderBeat, LeaderChanged, StepConfigChanged

POLL_MS = 200
# An instance that has not heard a leader for this long sends its callers to others:
# two beats may be lost or late. The balancer needs two looks, one second apart, to
# notice; where all instances are without a leader it uses them all the same.
HEARTBEAT_TIMEOUT_MS = 450
# A leader that is heard but that the store has not confirmed for this long takes no
# jobs: it may be cut off together with this instance. It renews its lead three times
# in that time.
CONFIRMATION_TIMEOUT_MS = 1_000


class ReadinessSignal(Protocol):
    """What the balancer looks at."""

    is_ready: bool


class ReadinessController(Actor):
    """Owns the sign that the balancer looks at.

    Args:
        signal: The sign.
        clock: Monotonic time.
    """

    def __init__(self, signal: ReadinessSignal, clock: Clock) -> None:
        super().__init__()
        self._signal = signal
        self._clock = clock
        self._has_config = False
        self._leader_id = ""
        self._heard_ms = self._confirmed_ms = clock.now_ms()

    async def on_start(self) -> None:
        """Start to look."""
        self.spawn_critical(self._run())

    @handles(StepConfigChanged)
    async def _config_changed(self, message: StepConfigChanged) -> None:
        self._has_config = True

    @handles(LeaderChanged)
    async def _leader_known(self, message: LeaderChanged) -> None:
        self._leader_id = message.leader_id
        self._heard_ms = self._confirmed_ms = self._clock.now_ms()

    @handles(LeaderBeat)
    async def _beat(self, message: LeaderBeat) -> None:
        self._heard_ms = self._clock.now_ms()
        self._confirmed_ms = self._heard_ms - message.confirmed_age_ms

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_MS / 1000)
            now_ms = self._clock.now_ms()
            unheard_ms = now_ms - self._heard_ms
            unconfirmed_ms = now_ms - self._confirmed_ms
            is_led = (
                unheard_ms < HEARTBEAT_TIMEOUT_MS
                and unconfirmed_ms < CONFIRMATION_TIMEOUT_MS
            )
            ready = self._has_config and is_led
            if ready != self._signal.is_ready:
                self._signal.is_ready = ready
                logs.log_event(
                    "ready" if ready else "not_ready",
                    leader=self._leader_id,
                    unheard=unheard_ms,
                    unconfirmed=unconfirmed_ms,
                )
