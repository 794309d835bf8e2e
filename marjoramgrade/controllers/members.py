"""The registry of entry instances and the connections to them."""

from __future__ import annotations

import asyncio
import functools
import uuid
from collections.abc import Callable, Sequence
from typing import Any

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.linkfailures import report_link
from marjoramgrade.decisions.membership import MemberView, removable_members
from marjoramgrade.errors import (
    CheckFailedError,
    MarjoramgradeError,
    OwnerUnreachableError,
    StaleAuthorityError,
    TableError,
    TableUnavailableError,
)
from marjoramgrade.logs import log_event
from marjoramgrade.messages.instances import InstancesChanged
from marjoramgrade.messages.peers import (
    CallOverLink,
    CallPeer,
    LinkFailed,
    Member,
    MembersChanged,
    TellOverLink,
    TellPeers,
)
from marjoramgrade.messages.promises import (
    BeginWrite,
    EndWrite,
    PreviousIncarnationFound,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.store import Store

READ_INTERVAL_MS = 1_000
# Longer than every lease that a member may hold.
REMOVE_AFTER_MS = 10_000
# A table that responds takes some 10 ms. A process that stops has 500 ms after its
# connections are closed; the others remove the row if it is left.
LEAVE_TIMEOUT_MS = 200


class MembersController(Actor):
    """Registers this instance, reads the registry and owns the peer links.

    Args:
        own: This instance.
        store: Typed access to the table.
        authority: Controller of the promises.
        clock: Monotonic time.
        make_link: Creates the actor that owns the connection to a peer.
        metrics: Counters.
        subscribers: Actors that are told `MembersChanged`.
    """

    def __init__(
        self,
        own: Member,
        store: Store,
        authority: Actor,
        clock: Clock,
        make_link: Callable[[Member], Actor],
        metrics: Metrics,
        subscribers: Sequence[Actor],
    ) -> None:
        super().__init__()
        self._own = own
        self._store = store
        self._authority = authority
        self._clock = clock
        self._make_link = make_link
        self._metrics = metrics
        self._subscribers = tuple(subscribers)
        self._member_by_id: dict[str, Member] = {}
        self._link_by_id: dict[str, Actor] = {}
        self._is_registered = False
        self._view = MemberView()
        self._missing_since_ms_by_member: dict[str, int] = {}
        self._unresolved_writes_by_member: dict[str, list[str]] = {}

    async def on_start(self) -> None:
        """Start registering this instance and reading the registry."""
        self.spawn_critical(self._read_forever())

    async def on_stop(self) -> None:
        """Close the links and remove this instance from the registry."""
        for link in self._link_by_id.values():
            await link.stop()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_MS / 1000):
                await self._store.delete_member(self._own.instance_id)
        except (TableError, TimeoutError):
            self._metrics.retried("member_delete_table_error")

    @handles(CallPeer)
    async def _call(self, message: CallPeer) -> Any:
        link = self._link_by_id.get(message.instance_id)
        if link is None:
            raise OwnerUnreachableError(f"{message.instance_id} is not registered")
        return self.spawn(link.ask(CallOverLink(message.message, message.timeout_ms)))

    @handles(TellPeers)
    async def _tell(self, message: TellPeers) -> None:
        for link in self._link_by_id.values():
            link.tell(TellOverLink(message.message))

    @handles(InstancesChanged)
    async def _instances_changed(self, message: InstancesChanged) -> None:
        self._view.apply_list(message.instances, self._clock.now_ms())

    async def _read_forever(self) -> None:
        while True:
            try:
                if not self._is_registered:
                    if await self._store.write_member(self._own):
                        self._authority.tell(PreviousIncarnationFound())
                    self._is_registered = True
                await self._apply(await self._store.read_members())
                await self._remove_unlisted()
            except MarjoramgradeError:
                self._metrics.retried("members_table_error")
            await asyncio.sleep(READ_INTERVAL_MS / 1000)

    async def _remove_unlisted(self) -> None:
        """Remove members missing from the platform's list for `REMOVE_AFTER_MS`.

        A list that lacks this instance itself is too outdated to rely on.
        """
        if self._view.get(self._own.instance_id) is None:
            return
        now_ms = self._clock.now_ms()
        self._missing_since_ms_by_member = {
            member: self._missing_since_ms_by_member.get(member, now_ms)
            for member in self._member_by_id
            if self._view.get(member) is None
        }
        lapsed_by_member = {
            member: now_ms >= since_ms + REMOVE_AFTER_MS
            for member, since_ms in self._missing_since_ms_by_member.items()
        }
        removable = removable_members(self._member_by_id, self._view, lapsed_by_member)
        for member in sorted(removable):
            await self._remove(member)

    async def _remove(self, member: str) -> None:
        write_id = uuid.uuid4().hex
        try:
            await self._authority.ask(BeginWrite(write_id))
        except StaleAuthorityError:
            self._metrics.retried("removal_without_authority")
            return
        unresolved = self._unresolved_writes_by_member.setdefault(member, [])
        unresolved.append(write_id)
        try:
            await self._store.delete_member(member)
        except TableUnavailableError:
            # This write was not sent; an earlier one may still take effect.
            unresolved.remove(write_id)
            self._authority.tell(EndWrite(write_id))
            raise
        except CheckFailedError:
            self._resolve_removals(member)
            raise
        self._resolve_removals(member)
        log_event("member_removed", member=member)

    def _resolve_removals(self, member: str) -> None:
        """Report that no earlier removal of a member can take effect any more.

        Each of them checked a version of its row that is no longer the current one.
        """
        for write_id in self._unresolved_writes_by_member.pop(member, ()):
            self._authority.tell(EndWrite(write_id))

    async def _apply(self, members: tuple[Member, ...]) -> None:
        member_by_id = {m.instance_id: m for m in members}
        if member_by_id == self._member_by_id:
            # A link that has failed is replaced.
            await self._make_missing_links()
            return
        log_event("members_changed", members=sorted(member_by_id))
        self._member_by_id = member_by_id
        for removed in set(self._link_by_id) - set(member_by_id):
            await self._link_by_id.pop(removed).stop()
        await self._make_missing_links()
        for subscriber in self._subscribers:
            subscriber.tell(MembersChanged(members))

    async def _make_missing_links(self) -> None:
        for instance_id, member in self._member_by_id.items():
            if instance_id in (self._own.instance_id, *self._link_by_id):
                continue
            link = self._make_link(member)
            link.on_fatal = functools.partial(report_link, self, instance_id, link)
            await link.start()
            self._link_by_id[instance_id] = link

    @handles(LinkFailed)
    async def _link_failed(self, message: LinkFailed) -> None:
        """Stop a link that has failed; the next read makes another one."""
        if self._link_by_id.get(message.instance_id) is not message.link:
            return
        message.failure.log("peer_link_failed")
        self._metrics.count("set_aside.peer")
        del self._link_by_id[message.instance_id]
        self.spawn(message.link.stop())
