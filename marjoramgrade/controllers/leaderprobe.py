"""What other instances say of the leader, and whether its process still runs."""

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
# A process that has ended refuses connections within a round trip; an instance that is
# cut off or without power does not answer in this time.
REFUSAL_TIMEOUT_MS = 100
# A connection that is about to break may take the first call.
PROBE_ATTEMPTS = 3
PROBE_RETRY_DELAY_MS = 20


@attrs.frozen
class LeaderProbe:
    """Asks other instances.

    Attributes:
        peers: Reaches the other instances.
        clock: Monotonic time.
    """

    peers: Actor
    clock: Clock

    async def ask_leader_age(self, instance_id: str) -> LeaderAge | None:
        """Return when an instance last heard the leader, None without an answer."""
        try:
            answer = await self.peers.ask(
                CallPeer(instance_id, AskLeaderAge(), ASK_TIMEOUT_MS)
            )
        except MarjoramgradeError:
            return None
        return answer if isinstance(answer, LeaderAge) else None

    async def count_without_heartbeat(
        self, instance_ids: Sequence[str], leader: LeaderRow, unheard_ms: int
    ) -> int:
        """Return how many instances have not heard a leader for a time.

        Args:
            instance_ids: The instances to ask.
            leader: The leader; those that know of a later one do not count.
            unheard_ms: The time.
        """
        ages = await asyncio.gather(
            *(self.ask_leader_age(other) for other in instance_ids)
        )
        return sum(
            1
            for answer in ages
            if answer is not None
            and answer.epoch <= leader.epoch
            and answer.age_ms >= unheard_ms
        )

    async def has_process_ended(self, instance_id: str) -> bool:
        """Whether the process of an instance refuses connections."""
        for _ in range(PROBE_ATTEMPTS):
            began_ms = self.clock.now_ms()
            try:
                await self.peers.ask(
                    CallPeer(instance_id, AskLeaderAge(), REFUSAL_TIMEOUT_MS)
                )
            except OwnerUnreachableError:
                # A connection that is not refused hangs for longer.
                return self.clock.now_ms() - began_ms < REFUSAL_TIMEOUT_MS
            except MarjoramgradeError:
                await asyncio.sleep(PROBE_RETRY_DELAY_MS / 1000)
            else:
                return False
        return False
