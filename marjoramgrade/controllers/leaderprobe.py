"""Queries other instances about the leader, and checks whether its process runs."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs

from marjoramgrade.actor import Actor
from marjoramgrade.clock import Clock
from marjoramgrade.decisions.leadermonitor import LeaderRow
from marjoramgrade.errors import MarjoramgradeError, OwnerUnreachableError
from marjoramgrade.messages.peers import CallPeer
from marjoramgrade.messages.steps import AskLeaderAge, LeaderAge

ASK_TIMEOUT_MS = 300
# The host of an ended process refuses connections within a round trip; an instance that
# is cut off or without power does not respond within this time.
REFUSAL_TIMEOUT_MS = 100
# The first call may be lost on a connection that is about to break.
PROBE_ATTEMPTS = 3
PROBE_RETRY_DELAY_MS = 20


@attrs.frozen
class LeaderProbe:
    """Queries other instances about the leader.

    Attributes:
        peers: Sends calls to the other instances.
        clock: Monotonic time.
    """

    peers: Actor
    clock: Clock

    async def ask_leader_age(self, instance_id: str) -> LeaderAge | None:
        """Return how long ago an instance heard the leader, None if no reply."""
        try:
            answer = await self.peers.ask(
                CallPeer(instance_id, AskLeaderAge(), ASK_TIMEOUT_MS)
            )
        except MarjoramgradeError:
            return None
        return answer if isinstance(answer, LeaderAge) else None

    async def count_without_heartbeat(
        self, instance_ids: Sequence[str], leader: LeaderRow, min_age_ms: int
    ) -> int:
        """Return how many instances lack a recent heartbeat of a leader.

        Args:
            instance_ids: The instances to ask.
            leader: The leader; instances that know a later epoch do not count.
            min_age_ms: Minimum age of the last heartbeat for an instance to count.
        """
        replies = await asyncio.gather(
            *(self.ask_leader_age(other) for other in instance_ids)
        )
        return sum(
            1
            for answer in replies
            if answer is not None
            and answer.epoch <= leader.epoch
            and answer.age_ms >= min_age_ms
        )

    async def has_process_ended(self, instance_id: str) -> bool:
        """Whether an instance refuses connections because its process has ended."""
        for _ in range(PROBE_ATTEMPTS):
            started_ms = self.clock.now_ms()
            try:
                await self.peers.ask(
                    CallPeer(instance_id, AskLeaderAge(), REFUSAL_TIMEOUT_MS)
                )
            except OwnerUnreachableError:
                # A connection attempt that is not refused takes longer to fail.
                return self.clock.now_ms() - started_ms < REFUSAL_TIMEOUT_MS
            except MarjoramgradeError:
                await asyncio.sleep(PROBE_RETRY_DELAY_MS / 1000)
            else:
                return False
        return False
