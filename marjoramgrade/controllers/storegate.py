"""The way to the store: direct, or through another instance that reaches it.

The store may turn some instances away or be cut off from them while it serves
the others.
"""

from __future__ import annotations

from typing import Any

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.clock import Clock
from marjoramgrade.errors import (
    MarjoramgradeError,
    OutcomeUnknownError,
    RefusedError,
    TableError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages import CallPeer, Member, MembersChanged
from marjoramgrade.messages.rows import CommitRows, ReadRows, WatchRows

# After a call that failed, the direct way is not tried for this long.
DIRECT_PAUSE_MS = 700
RELAY_TIMEOUT_MS = 1_500
# Instances that are asked to relay one call.
MAX_RELAYS = 2


class StoreGate(Actor):
    """Handles the messages of the store by whichever way works.

    Args:
        instance_id: Id of this instance.
        link: The direct connection.
        peers: Reaches the other instances.
        clock: Monotonic time.
    """

    def __init__(
        self, instance_id: str, link: Actor, peers: Actor, clock: Clock
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._link = link
        self._peers = peers
        self._clock = clock
        self._members: list[Member] = []
        self._next_relay = 0
        self._direct_from_ms = 0
        self._is_direct = True

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        self._members = [
            member
            for member in message.members
            if member.instance_id != self._instance_id
        ]

    @handles(CommitRows)
    async def _commit(self, message: CommitRows) -> Any:
        return self.spawn(self._send(message, 0))

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> Any:
        return self.spawn(self._send(message, 0))

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> Any:
        return self.spawn(self._send(message, message.wait_ms))

    async def _send(self, message: Message[Any], wait_ms: int) -> Any:
        failure: MarjoramgradeError = TableUnavailableError("the store is not tried")
        if self._clock.now_ms() >= self._direct_from_ms:
            try:
                answer = await self._link.ask(message)
                self._note(True, "")
                return answer
            except WriteOutcomeUnknownError as error:
                self._note(False, error.message)
                raise
            except TableUnavailableError as error:
                self._note(False, error.message)
                failure = error
        for member in self._relays():
            try:
                return await self._peers.ask(
                    CallPeer(member.instance_id, message, RELAY_TIMEOUT_MS + wait_ms)
                )
            except WriteOutcomeUnknownError:
                raise
            except TableUnavailableError as error:
                failure = error
            except TableError:
                # A check that failed, or lost history, is an answer of the store.
                raise
            except OutcomeUnknownError as error:
                if isinstance(message, CommitRows):
                    raise WriteOutcomeUnknownError(error.message) from None
                failure = TableUnavailableError(error.message)
            except RefusedError as error:
                failure = TableUnavailableError(error.message)
        raise failure

    def _relays(self) -> list[Member]:
        count = min(MAX_RELAYS, len(self._members))
        first = self._next_relay
        self._next_relay += 1
        return [
            self._members[(first + offset) % len(self._members)]
            for offset in range(count)
        ]

    def _note(self, is_direct: bool, reason: str) -> None:
        if not is_direct:
            self._direct_from_ms = self._clock.now_ms() + DIRECT_PAUSE_MS
        if is_direct != self._is_direct:
            self._is_direct = is_direct
            event = "store_regained" if is_direct else "store_lost"
            logs.state_change(event, reason=reason)
