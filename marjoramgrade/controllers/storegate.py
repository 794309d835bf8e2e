"""The way to the store: direct, or through another instance that reaches it.

The store may turn some instances away or be cut off from them while it serves
the others.
"""

from __future__ import annotations

import asyncio
from typing import Any

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
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
from marjoramgrade.messages.steps import StoreContact
from marjoramgrade.steprows import MEMBERS_TABLE

# While the direct way fails, it is tried aside at this interval.
PROBE_MS = 400
# A relay that answers does so within the time that the store takes; a cut one is
# given up after this.
RELAY_TIMEOUT_MS = 800
# Instances that are asked to relay one call.
MAX_RELAYS = 3


class StoreGate(Actor):
    """Handles the messages of the store by whichever way works.

    Args:
        instance_id: Id of this instance.
        link: The direct connection.
        peers: Reaches the other instances.
    """

    def __init__(self, instance_id: str, link: Actor, peers: Actor) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._link = link
        self._peers = peers
        self._members: list[Member] = []
        self._is_direct = True
        self._relay = 0
        self._subscribers: tuple[Actor, ...] = ()

    def connect(self, subscribers: tuple[Actor, ...]) -> None:
        """Set the controllers that are told which way works."""
        self._subscribers = subscribers

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
        if self._is_direct:
            try:
                return await self._link.ask(message)
            except WriteOutcomeUnknownError as error:
                self._lost_direct(error.message)
                raise
            except TableUnavailableError as error:
                self._lost_direct(error.message)
        return await self._send_relayed(message, wait_ms)

    async def _send_relayed(self, message: Message[Any], wait_ms: int) -> Any:
        failure: MarjoramgradeError = TableUnavailableError("the store is cut off")
        for _ in range(min(MAX_RELAYS, len(self._members))):
            member = self._members[self._relay % len(self._members)]
            try:
                answer = await self._peers.ask(
                    CallPeer(member.instance_id, message, RELAY_TIMEOUT_MS + wait_ms)
                )
            except (TableUnavailableError, RefusedError) as error:
                failure = TableUnavailableError(error.message)
            except (WriteOutcomeUnknownError, OutcomeUnknownError) as error:
                self._relay += 1
                if isinstance(message, CommitRows):
                    raise WriteOutcomeUnknownError(error.message) from None
                failure = TableUnavailableError(error.message)
                continue
            except TableError:
                # A check that failed, or lost history, is an answer of the store.
                self._tell(StoreContact(self._is_direct, True))
                raise
            else:
                self._tell(StoreContact(self._is_direct, True))
                return answer
            self._relay += 1
        raise failure

    def _lost_direct(self, reason: str) -> None:
        if not self._is_direct:
            return
        self._is_direct = False
        logs.state_change("store_lost", reason=reason)
        self._tell(StoreContact(False, False))
        self.spawn(self._probe())

    async def _probe(self) -> None:
        while not self._is_direct:
            try:
                await self._link.ask(ReadRows(MEMBERS_TABLE, "", limit=1))
            except TableError:
                await asyncio.sleep(PROBE_MS / 1000)
                continue
            self._is_direct = True
            logs.state_change("store_regained")
            self._tell(StoreContact(True, False))

    def _tell(self, message: Message[None]) -> None:
        for subscriber in self._subscribers:
            subscriber.tell(message)
