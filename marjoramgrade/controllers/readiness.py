"""Decides whether the load balancer should send new connections to this instance."""

from __future__ import annotations

import asyncio
from typing import Protocol

from marjoramgrade import logs
from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.messages.steps import LeaderBeat, LeaderChanged, StepConfigChanged

POLL_MS = 200
# An instance without a heartbeat of a leader for this long is not ready, and clients
# connect to other instances; two heartbeats may be lost or late. The load balancer
# reacts after two checks, one second apart. If no instance is ready, it uses all.
HEARTBEAT_TIMEOUT_MS = 450
# An instance is not ready either if the store has not confirmed its leader for this
# long: the leader accepts no jobs, as it may be cut off from the store together with
# this instance. A leader renews its lead three times in that time.
CONFIRMATION_TIMEOUT_MS = 1_000


class ReadinessSignal(Protocol):
    """Readiness signal that the load balancer checks.

    Attributes:
        is_ready: Whether new connections should come to this instance.
    """

    is_ready: bool


class ReadinessController(Actor):
    """Sets the readiness signal that the load balancer checks.

    Args:
        signal: The readiness signal.
        clock: Monotonic time.
    """

    def __init__(self, signal: ReadinessSignal, clock: Clock) -> None:
        super().__init__()
        self._signal = signal
        self._clock = clock
        self._has_config = False
        self._leader_id = ""
        self._last_heartbeat_ms = self._confirmed_ms = clock.now_ms()

    async def on_start(self) -> None:
        """Start to update the readiness signal."""
        self.spawn_critical(self._run())

    @handles(StepConfigChanged)
    async def _config_changed(self, message: StepConfigChanged) -> None:
        self._has_config = True

    @handles(LeaderChanged)
    async def _leader_changed(self, message: LeaderChanged) -> None:
        self._leader_id = message.leader_id
        self._last_heartbeat_ms = self._confirmed_ms = self._clock.now_ms()

    @handles(LeaderBeat)
    async def _heartbeat_received(self, message: LeaderBeat) -> None:
        self._last_heartbeat_ms = self._clock.now_ms()
        self._confirmed_ms = self._last_heartbeat_ms - message.confirmed_age_ms

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_MS / 1000)
            now_ms = self._clock.now_ms()
            unheard_ms = now_ms - self._last_heartbeat_ms
            unconfirmed_ms = now_ms - self._confirmed_ms
            has_leader = (
                unheard_ms < HEARTBEAT_TIMEOUT_MS
                and unconfirmed_ms < CONFIRMATION_TIMEOUT_MS
            )
            ready = self._has_config and has_leader
            if ready != self._signal.is_ready:
                self._signal.is_ready = ready
                logs.log_event(
                    "ready" if ready else "not_ready",
                    leader=self._leader_id,
                    unheard=unheard_ms,
                    unconfirmed=unconfirmed_ms,
                )
