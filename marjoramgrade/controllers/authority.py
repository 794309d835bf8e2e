"""Authority while the table is unreachable: promises given and received.

A promise is an instance's time-limited guarantee that it writes no configuration,
takes over no shard and removes no member.
"""

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
        self._promises = PromiseTracker(own.instance_id, own.zone)
        self._promises.given.has_read_table = False
        self._member_by_id: dict[str, Member] = {}
        self._acknowledged_by: set[str] = set()
        self._owned_shards: set[str] = set()
        self._config_version = 0
        self._round_requested = asyncio.Event()

    def connect(self, *, peers: Actor, config: Actor, ownership: Actor) -> None:
        """Set the actors to exchange messages with; called before the start."""
        self._peers = peers
        self._config = config
        self._ownership = ownership

    async def on_start(self) -> None:
        """Start requesting promises and admission."""
        self.spawn_critical(self._run_rounds())
        self.spawn_critical(self._request_admission())

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        member_by_id = {member.instance_id: member for member in message.members}
        for removed in set(self._member_by_id) - set(member_by_id):
            self._promises.remove_member(removed)
        self._member_by_id = member_by_id
        self._promises.fleet.set_members(member_by_id)

    @handles(ConfigConfirmed)
    async def _config_confirmed(self, message: ConfigConfirmed) -> None:
        self._config_version = message.config.version

    @handles(TableReachability)
    async def _table_reachability_changed(self, message: TableReachability) -> None:
        given = self._promises.given
        given.has_read_table |= message.is_reachable
        if given.is_table_reached == message.is_reachable:
            return
        given.is_table_reached = message.is_reachable
        log_event("table_contact", reached=message.is_reachable)
        if not message.is_reachable:
            self._round_requested.set()

    @handles(PreviousIncarnationFound)
    async def _previous_incarnation_found(
        self, message: PreviousIncarnationFound
    ) -> None:
        """Honor promises that an earlier incarnation of this instance may have made."""
        until_ms = self._clock.now_ms() + PROMISE_MS + DRIFT_MARGIN_MS
        self._promises.given.until_ms = max(self._promises.given.until_ms, until_ms)

    @handles(ShardStandbysSet)
    async def _shard_standbys_set(self, message: ShardStandbysSet) -> None:
        self._owned_shards.add(message.shard)
        received = self._promises.for_shard(message.shard)
        if message.is_proposed:
            received.add_proposed_members(message.guardians)
        else:
            received.set_members(message.guardians)

    @handles(ShardOwnershipEnded)
    async def _shard_ownership_ended(self, message: ShardOwnershipEnded) -> None:
        self._owned_shards.discard(message.shard)
        self._promises.discard_shard(message.shard)

    @handles(Attest)
    async def _attest(self, message: Attest) -> PromiseReply:
        reply = self._promises.given.attest(
            message.request, self._config_version, self._clock.now_ms()
        )
        if reply.refusal is not None:
            self._metrics.count(f"promise_refused.{reply.refusal.value}")
        return reply

    @handles(AcknowledgeNewcomer)
    async def _acknowledge(self, message: AcknowledgeNewcomer) -> Acknowledged:
        return Acknowledged(
            self._promises.acknowledge(
                message.instance_id, message.zone, self._clock.now_ms()
            )
        )

    @handles(BeginWrite)
    async def _begin_write(self, message: BeginWrite) -> None:
        if not self._promises.given.is_admitted:
            raise StaleAuthorityError("this instance is not admitted as a member yet")
        if not self._promises.given.begin_write(message.write_id, self._clock.now_ms()):
            raise StaleAuthorityError("a promise to make no changes is in force")

    @handles(EndWrite)
    async def _end_write(self, message: EndWrite) -> None:
        self._promises.given.end_write(message.write_id)

    @handles(MayTakeOverShard)
    async def _may_take_over_shard(self, message: MayTakeOverShard) -> bool:
        return may_take_over_shard(
            self._own.instance_id,
            message.row,
            self._member_by_id,
            self._acknowledged_by,
        )

    async def _request_admission(self) -> None:
        """Ask earlier members to acknowledge this instance."""
        while True:
            await asyncio.sleep(ADMISSION_INTERVAL_MS / 1000)
            earlier = self._earlier_members()
            if earlier is None:
                continue
            for member in earlier - self._acknowledged_by:
                self.spawn(self._request_acknowledgement(member))
            is_admitted = may_change_config(
                self._own.instance_id, earlier, self._acknowledged_by
            )
            if is_admitted and not self._promises.given.is_admitted:
                self._promises.given.is_admitted = True
                log_event("admitted", members=len(self._member_by_id))

    def _earlier_members(self) -> frozenset[str] | None:
        """Return the members registered before this instance.

        Returns:
            Their ids, or None if this instance is not registered yet.
        """
        own = self._member_by_id.get(self._own.instance_id)
        if own is None:
            return None
        return frozenset(
            member.instance_id
            for member in self._member_by_id.values()
            if member.row_version < own.row_version
        )

    async def _request_acknowledgement(self, member: str) -> None:
        message = AcknowledgeNewcomer(self._own.instance_id, self._own.zone)
        try:
            reply = await self._call(member, message)
        except MarjoramgradeError:
            return
        if reply.is_acknowledged:
            self._acknowledged_by.add(member)

    async def _run_rounds(self) -> None:
        """Request promises at intervals while the table is unreachable."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._round_requested.wait(), PROMISE_INTERVAL_MS / 1000
                )
            self._round_requested.clear()
            if not self._promises.given.is_table_reached:
                await self._run_round()

    async def _run_round(self) -> None:
        """Request all promises that are needed and apply those that are in force."""
        scopes = [self._promises.fleet]
        scopes.extend(self._promises.for_shard(shard) for shard in self._owned_shards)
        calls = [
            self._request_promise(received, peer)
            for received in scopes
            for peer in received.peers
        ]
        await asyncio.gather(*calls)
        self._apply_promises()

    async def _request_promise(self, received: ReceivedPromises, peer: str) -> None:
        request = received.request()
        asked_ms = self._clock.now_ms()
        try:
            reply = await self._call(peer, Attest(request))
        except MarjoramgradeError:
            return
        received.record(peer, request, reply, asked_ms)

    def _apply_promises(self) -> None:
        """Report what the promises in force confirm or extend."""
        now_ms = self._clock.now_ms()
        fleet = self._promises.fleet
        from_ms = fleet.confirmed_from_ms(self._config_version, now_ms)
        if from_ms is not None:
            self._metrics.count("config_attested")
            self._config.tell(ConfigAttested(self._config_version, from_ms))
        for shard in self._owned_shards:
            # The promises of all members cover takeovers of shards in every zone.
            until_ms = max(
                self._promises.for_shard(shard).until_ms(now_ms), fleet.until_ms(now_ms)
            )
            if until_ms > now_ms:
                self._metrics.count("ownership_attested")
                self._ownership.tell(OwnershipAttested(shard, until_ms))

    async def _call(self, member: str, message: Any) -> Any:
        return await self._peers.ask(CallPeer(member, message, CALL_TIMEOUT_MS))
