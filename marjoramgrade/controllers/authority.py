"""Authority while the table is unreachable: promises given and received."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.decisions.joining import may_change_config, may_take_over_shard
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS
from marjoramgrade.decisions.promises import (
    PROMISE_INTERVAL_MS,
    PROMISE_MS,
    PromiseReply,
    PromiseTracker,
    ReceivedPromises,
)
from marjoramgrade.errors import MarjoramgradeError, StaleAuthorityError
from marjoramgrade.logs import log_event
from marjoramgrade.messages.configuration import ConfigConfirmed
from marjoramgrade.messages.peers import CallPeer, Member, MembersChanged
from marjoramgrade.messages.promises import (
    Acknowledged,
    AcknowledgeNewcomer,
    Attest,
    BeginWrite,
    ConfigAttested,
    EndWrite,
    MayTakeOverShard,
    OwnershipAttested,
    PreviousIncarnationFound,
    ShardOwnershipEnded,
    ShardStandbysSet,
    TableReachability,
)
from marjoramgrade.metrics import Metrics

CALL_TIMEOUT_MS = 1_000
ADMISSION_INTERVAL_MS = 500


class AuthorityController(Actor):
    """Owns the promises of this instance and its admission as a member.

    Args:
        own: This instance.
        clock: Monotonic time.
        metrics: Counters.
    """

    def __init__(self, own: Member, clock: Clock, metrics: Metrics) -> None:
        super().__init__()
        self._own = own
        self._clock = clock
        self._metrics = metrics
        self._book = PromiseTracker(own.instance_id, own.zone)
        self._book.given.has_read_table = False
        self._member_by_id: dict[str, Member] = {}
        self._acknowledged_by: set[str] = set()
        self._held_shards: set[str] = set()
        self._config_version = 0
        self._round_due = asyncio.Event()

    def connect(self, *, peers: Actor, config: Actor, ownership: Actor) -> None:
        """Name the actors that are asked and told; called before the start."""
        self._peers = peers
        self._config = config
        self._ownership = ownership

    async def on_start(self) -> None:
        """Begin to ask for promises and for admission."""
        self.spawn_critical(self._ask_forever())
        self.spawn_critical(self._seek_admission())

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        found = {member.instance_id: member for member in message.members}
        for gone in set(self._member_by_id) - set(found):
            self._book.remove_member(gone)
        self._member_by_id = found
        self._book.fleet.set_members(found)

    @handles(ConfigConfirmed)
    async def _config_confirmed(self, message: ConfigConfirmed) -> None:
        self._config_version = message.config.version

    @handles(TableReachability)
    async def _table_contact(self, message: TableReachability) -> None:
        given = self._book.given
        given.has_read_table |= message.is_reachable
        if given.is_table_reached == message.is_reachable:
            return
        given.is_table_reached = message.is_reachable
        log_event("table_contact", reached=message.is_reachable)
        if not message.is_reachable:
            self._round_due.set()

    @handles(PreviousIncarnationFound)
    async def _member_replaced(self, message: PreviousIncarnationFound) -> None:
        """Keep the promises that an earlier life of this instance may have made."""
        until_ms = self._clock.now_ms() + PROMISE_MS + DRIFT_MARGIN_MS
        self._book.given.until_ms = max(self._book.given.until_ms, until_ms)

    @handles(ShardStandbysSet)
    async def _shard_held(self, message: ShardStandbysSet) -> None:
        self._held_shards.add(message.shard)
        received = self._book.for_shard(message.shard)
        if message.is_proposed:
            received.add_proposed_members(message.guardians)
        else:
            received.set_members(message.guardians)

    @handles(ShardOwnershipEnded)
    async def _shard_dropped(self, message: ShardOwnershipEnded) -> None:
        self._held_shards.discard(message.shard)
        self._book.discard_shard(message.shard)

    @handles(Attest)
    async def _attest(self, message: Attest) -> PromiseReply:
        reply = self._book.given.attest(
            message.request, self._config_version, self._clock.now_ms()
        )
        if reply.refusal is not None:
            self._metrics.count(f"promise_refused.{reply.refusal.value}")
        return reply

    @handles(AcknowledgeNewcomer)
    async def _acknowledge(self, message: AcknowledgeNewcomer) -> Acknowledged:
        return Acknowledged(
            self._book.acknowledge(
                message.instance_id, message.zone, self._clock.now_ms()
            )
        )

    @handles(BeginWrite)
    async def _begin_write(self, message: BeginWrite) -> None:
        if not self._book.given.is_admitted:
            raise StaleAuthorityError("this instance is not admitted as a member yet")
        if not self._book.given.begin_write(message.write_id, self._clock.now_ms()):
            raise StaleAuthorityError("a promise to change nothing is in force")

    @handles(EndWrite)
    async def _end_write(self, message: EndWrite) -> None:
        self._book.given.end_write(message.write_id)

    @handles(MayTakeOverShard)
    async def _may_take_shard(self, message: MayTakeOverShard) -> bool:
        return may_take_over_shard(
            self._own.instance_id,
            message.row,
            self._member_by_id,
            self._acknowledged_by,
        )

    async def _seek_admission(self) -> None:
        """Ask earlier members to acknowledge this instance."""
        while True:
            await asyncio.sleep(ADMISSION_INTERVAL_MS / 1000)
            earlier = self._earlier_members()
            if earlier is None:
                continue
            for member in earlier - self._acknowledged_by:
                self.spawn(self._ask_acknowledgement(member))
            is_admitted = may_change_config(
                self._own.instance_id, earlier, self._acknowledged_by
            )
            if is_admitted and not self._book.given.is_admitted:
                self._book.given.is_admitted = True
                log_event("admitted", members=len(self._member_by_id))

    def _earlier_members(self) -> frozenset[str] | None:
        """Return the members that were registered first, None if not registered."""
        own = self._member_by_id.get(self._own.instance_id)
        if own is None:
            return None
        return frozenset(
            member.instance_id
            for member in self._member_by_id.values()
            if member.row_version < own.row_version
        )

    async def _ask_acknowledgement(self, member: str) -> None:
        message = AcknowledgeNewcomer(self._own.instance_id, self._own.zone)
        try:
            reply = await self._call(member, message)
        except MarjoramgradeError:
            return
        if reply.is_acknowledged:
            self._acknowledged_by.add(member)

    async def _ask_forever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._round_due.wait(), PROMISE_INTERVAL_MS / 1000
                )
            self._round_due.clear()
            if not self._book.given.is_table_reached:
                await self._ask_round()

    async def _ask_round(self) -> None:
        """Ask for every promise that is needed and use what holds."""
        scopes = [self._book.fleet]
        scopes.extend(self._book.for_shard(shard) for shard in self._held_shards)
        calls = [
            self._ask_promise(received, peer)
            for received in scopes
            for peer in received.peers
        ]
        await asyncio.gather(*calls)
        self._use_promises()

    async def _ask_promise(self, received: ReceivedPromises, peer: str) -> None:
        request = received.request()
        asked_ms = self._clock.now_ms()
        try:
            reply = await self._call(peer, Attest(request))
        except MarjoramgradeError:
            return
        received.record(peer, request, reply, asked_ms)

    def _use_promises(self) -> None:
        now_ms = self._clock.now_ms()
        fleet = self._book.fleet
        from_ms = fleet.confirmed_from_ms(self._config_version, now_ms)
        if from_ms is not None:
            self._metrics.count("config_attested")
            self._config.tell(ConfigAttested(self._config_version, from_ms))
        for shard in self._held_shards:
            # Members promise to take over no shard, whatever its zone.
            until_ms = max(
                self._book.for_shard(shard).until_ms(now_ms), fleet.until_ms(now_ms)
            )
            if until_ms > now_ms:
                self._metrics.count("ownership_attested")
                self._ownership.tell(OwnershipAttested(shard, until_ms))

    async def _call(self, member: str, message: Any) -> Any:
        return await self._peers.ask(CallPeer(member, message, CALL_TIMEOUT_MS))
