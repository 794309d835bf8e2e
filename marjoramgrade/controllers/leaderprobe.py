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
REFUSAL_MS = 100
# A connection that is about to break may take the first call.
REFUSAL_TRIES = 3
REFUSAL_PAUSE_MS = 20


@attrs.frozen
class LeaderProbe:
    """Asks other instances.

    Attributes:
        peers: Reaches the other instances.
        clock: Monotonic time.
    """

    peers: Actor
    clock: Clock

    async def ask_age(self, instance_id: str) -> LeaderAge | None:
        """Return when an instance last heard the leader, None without an answer."""
        try:
            answer = await self.peers.ask(
                CallPeer(instance_id, AskLeaderAge(), ASK_TIMEOUT_MS)
            )
        except MarjoramgradeError:
            return None
        return answer if isinstance(answer, LeaderAge) else None

    async def count_unheard(
        self, instance_ids: Sequence[str], leader: LeaderRow, unheard_ms: int
    ) -> int:
        """Return how many instances have not heard a leader for a time.

        Args:
            instance_ids: The instances to ask.
            leader: The leader; those that know of a later one do not count.
            unheard_ms: The time.
        """
        ages = await asyncio.gather(*(self.ask_age(other) for other in instance_ids))
        return sum(
            1
            for answer in ages
            if answer is not None
            and answer.epoch <= leader.epoch
            and answer.age_ms >= unheard_ms
        )

    async def has_ended(self, instance_id: str) -> bool:
        """Whether the process of an instance refuses connections."""
        for _ in range(REFUSAL_TRIES):
            began_ms = self.clock.now_ms()
            try:
                await self.peers.ask(CallPeer(instance_id, AskLeaderAge(), REFUSAL_MS))
            except OwnerUnreachableError:
                # A connection that is not refused hangs for longer.
                return self.clock.now_ms() - began_ms < REFUSAL_MS
            except MarjoramgradeError:
                await asyncio.sleep(REFUSAL_PAUSE_MS / 1000)
            else:
                return False
        return False
