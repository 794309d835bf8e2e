"""Discovers the other instances through the store and connects to them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Callable, Mapping
from typing import Any

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.controllers.linkfailures import report_link
from marjoramgrade.controllers.tablereader import read_all_rows
from marjoramgrade.errors import (
    InvalidInputError,
    MarjoramgradeError,
    OverloadedError,
    OwnerUnreachableError,
    RowCheckFailedError,
    ShuttingDownError,
    TableError,
)
from marjoramgrade.messages.peers import (
    CallOverLink,
    CallPeer,
    FinishCalls,
    LinkFailed,
    Member,
    MembersChanged,
    TellOverLink,
    TellPeers,
)
from marjoramgrade.messages.rows import (
    ABSENT,
    CommitRows,
    RowCheck,
    RowId,
    RowWrite,
    StoredRow,
)
from marjoramgrade.metrics import MemoryMetrics, Metrics
from marjoramgrade.steprows import (
    MEMBERS_TABLE,
    MemberRow,
    parse_row,
    serialize_row,
)

# Pause between reads of the list of instances. The first FIRST_REFRESHES pauses are
# shorter, because all instances start at about the same time.
REFRESH_MS = 4_000
FIRST_REFRESH_MS = 400
FIRST_REFRESHES = 8
# Longest time for which a link that is replaced waits for replies. An instance that has
# restarted at the address of the earlier one may have received calls over it.
RETIREMENT_MS = 3_000


class PeersController(Actor):
    """Owns the list of instances and the links to them.

    Args:
        own: This instance as a member.
        store: Reads and writes rows.
        make_link: Creates the link to another instance.
        serialize: Returns a message as the links send it, or None if each link is to
            serialize what it sends.
        metrics: Counts failed links.
    """

    def __init__(
        self,
        own: Member,
        store: Actor,
        make_link: Callable[[Member], Actor],
        serialize: Callable[[Message[Any]], bytes] | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        super().__init__()
        self._own = own
        self._store = store
        self._make_link = make_link
        self._serialize = serialize
        self._metrics = metrics or MemoryMetrics()
        self._member_by_id: dict[str, Member] = {own.instance_id: own}
        self._link_by_id: dict[str, Actor] = {}
        self._retired_links: set[Actor] = set()
        self._subscribers: tuple[Actor, ...] = ()
        self._own_version = ABSENT
        self._registered = False

    def connect(self, subscribers: tuple[Actor, ...]) -> None:
        """Set the controllers that are told of the members."""
        self._subscribers = subscribers

    async def on_start(self) -> None:
        """Start looking for other instances."""
        self.spawn_critical(self._run())

    async def on_stop(self) -> None:
        """Close the links."""
        links = (*self._link_by_id.values(), *self._retired_links)
        await asyncio.gather(*(link.stop() for link in links))

    @handles(CallPeer)
    async def _call(self, message: CallPeer) -> Any:
        link = self._link_by_id.get(message.instance_id)
        if link is None:
            raise OwnerUnreachableError(f"instance {message.instance_id} is unknown")
        return self.spawn(link.ask(CallOverLink(message.message, message.timeout_ms)))

    @handles(TellPeers)
    async def _tell(self, message: TellPeers) -> None:
        # A heartbeat goes to hundreds of peers several times a second.
        frame = self._serialize(message.message) if self._serialize else b""
        order = TellOverLink(message.message, frame)
        for link in self._link_by_id.values():
            # A link that is full or has stopped costs the others nothing.
            with contextlib.suppress(OverloadedError, ShuttingDownError):
                link.tell(order)

    async def _run(self) -> None:
        refreshes = 0
        while True:
            try:
                if not self._registered:
                    await self._register()
                await self._refresh()
                refreshes += 1
            except TableError as error:
                logs.log_event("members_unread", code=error.code)
            pause_ms = FIRST_REFRESH_MS if refreshes < FIRST_REFRESHES else REFRESH_MS
            await asyncio.sleep(pause_ms / 1000)

    async def _register(self) -> None:
        own = self._own
        row = RowId(MEMBERS_TABLE, "", own.instance_id)
        value = serialize_row(
            MemberRow(own.instance_id, own.zone, own.host, own.peer_port, own.strength)
        )
        try:
            await self._store.ask(
                CommitRows((RowCheck(row, self._own_version),), (RowWrite(row, value),))
            )
        except RowCheckFailedError as error:
            # An earlier incarnation of this instance has registered; the next attempt
            # replaces its row.
            for found in error.rows:
                self._own_version = getattr(found, "version", ABSENT)
            return
        self._registered = True

    async def _refresh(self) -> None:
        rows = await read_all_rows(self._store, MEMBERS_TABLE, "")
        found: dict[str, Member] = {self._own.instance_id: self._own}
        # The row version distinguishes the incarnations of an instance.
        for row in rows:
            try:
                member = _parse_member(row)
            except InvalidInputError as error:
                self._metrics.count("unreadable.member")
                logs.log_event("row_unreadable", row=row.row.key, reason=error.message)
                continue
            found[member.instance_id] = Member(
                member.instance_id,
                member.zone,
                member.host,
                member.peer_port,
                row.version,
                member.strength,
            )
        if found != self._member_by_id:
            await self._apply_members(found)
        else:
            # A link that has failed is replaced.
            await self._make_missing_links(found)

    async def _retire(self, link: Actor) -> None:
        """Stop a link once the calls that it has sent are answered."""
        self._retired_links.add(link)
        try:
            await link.ask(FinishCalls(RETIREMENT_MS))
        except MarjoramgradeError as error:
            logs.log_event("link_cut_off", code=error.code, reason=error.message)
        await link.stop()
        self._retired_links.discard(link)

    async def _apply_members(self, found: dict[str, Member]) -> None:
        for instance_id, member in self._member_by_id.items():
            if found.get(instance_id) != member and instance_id in self._link_by_id:
                self.spawn(self._retire(self._link_by_id.pop(instance_id)))
        await self._make_missing_links(found)
        self._member_by_id = found
        logs.log_event("members_changed", members=",".join(sorted(found)))
        for subscriber in self._subscribers:
            subscriber.tell(MembersChanged(tuple(found.values())))

    async def _make_missing_links(self, member_by_id: Mapping[str, Member]) -> None:
        for instance_id, member in member_by_id.items():
            if instance_id in (self._own.instance_id, *self._link_by_id):
                continue
            link = self._make_link(member)
            link.on_fatal = functools.partial(report_link, self, instance_id, link)
            await link.start()
            self._link_by_id[instance_id] = link

    @handles(LinkFailed)
    async def _link_failed(self, message: LinkFailed) -> None:
        """Stop a link that has failed; the next refresh makes another one.

        Until then calls to that instance fail at once, and the others keep theirs.
        """
        if self._link_by_id.get(message.instance_id) is not message.link:
            return
        message.failure.log("peer_link_failed")
        self._metrics.count("set_aside.peer")
        del self._link_by_id[message.instance_id]
        self.spawn(message.link.stop())


def _parse_member(row: StoredRow) -> MemberRow:
    """Decode the row that an instance registers itself with under its id.

    Raises:
        InvalidInputError: If it is not a valid registration of that instance.
    """
    member = parse_row(row.value, MemberRow)
    if member.instance_id != row.row.key:
        raise InvalidInputError("the row names another instance")
    return member
