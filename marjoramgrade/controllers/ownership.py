"""Ownership of the shards of this instance's zone.

A promise is a peer's time-limited guarantee that it makes no changes. While the
table is unreachable, the promises of a shard's standbys or of all members extend its
ownership.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Sequence
from typing import Any

import attrs

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.decisions.ownership import (
    RENEW_INTERVAL_MS,
    HeldLease,
    ObservedLease,
    ShardRow,
)
from marjoramgrade.errors import (
    CheckFailedError,
    MarjoramgradeError,
    StaleAuthorityError,
    TableError,
    TableUnavailableError,
)
from marjoramgrade.logs import log_event
from marjoramgrade.messages.ownership import OwnershipChanged, ReleaseShards
from marjoramgrade.messages.peers import MembersChanged
from marjoramgrade.messages.promises import (
    BeginWrite,
    EndWrite,
    MayTakeOverShard,
    OwnershipAttested,
    ShardOwnershipEnded,
    ShardStandbysSet,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.store import Store

SHARD_POLL_INTERVAL_MS = 500


@attrs.define
class _ShardState:
    """State of one shard as known to this instance.

    Attributes:
        row: The shard row as last read or written.
        version: Version of the row in the table.
        watch: The lease of another owner, as observed by polling.
        lease: This instance's own lease, or None if it does not own the shard.
        fence_version: Version of the row that the last takeover wrote.
        unresolved_writes: Ids of takeover writes that may still take effect.
    """

    row: ShardRow
    version: int = 0
    watch: ObservedLease = attrs.field(factory=ObservedLease)
    lease: HeldLease | None = None
    fence_version: int = 0
    unresolved_writes: list[str] = attrs.field(factory=list)


class OwnershipController(Actor):
    """Renews owned shards and takes over shards whose lease has lapsed.

    Args:
        instance_id: This instance.
        zone: Zone of this instance.
        shards: Names of the zone's shards.
        store: Typed access to the table.
        authority: Controller of the promises.
        clock: Monotonic time.
        metrics: Counters.
        subscribers: Actors that are told `OwnershipChanged`.
    """

    def __init__(
        self,
        instance_id: str,
        zone: str,
        shards: Sequence[str],
        store: Store,
        authority: Actor,
        clock: Clock,
        metrics: Metrics,
        subscribers: Sequence[Actor],
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._zone = zone
        self._store = store
        self._authority = authority
        self._clock = clock
        self._metrics = metrics
        self._subscribers = tuple(subscribers)
        self._state_by_shard = {name: _ShardState(ShardRow(name)) for name in shards}
        self._standbys: tuple[str, ...] = (instance_id,)
        self._is_releasing = False

    async def on_start(self) -> None:
        """Start polling or renewing every shard of the zone."""
        for shard in self._state_by_shard:
            self.spawn_critical(self._maintain(shard))

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        self._standbys = tuple(
            sorted(m.instance_id for m in message.members if m.zone == self._zone)
        )

    @handles(ReleaseShards)
    async def _release(self, message: ReleaseShards) -> Any:
        self._is_releasing = True
        return self.spawn(self._release_all())

    @handles(OwnershipAttested)
    async def _ownership_attested(self, message: OwnershipAttested) -> None:
        """Extend a lease by promises, unless it has lapsed."""
        lease = self._state_by_shard[message.shard].lease
        if lease is not None and lease.holds(self._clock.now_ms()):
            lease.until_ms = max(lease.until_ms, message.until_ms)
            self._publish(message.shard, lease)

    async def _maintain(self, shard: str) -> None:
        state = self._state_by_shard[shard]
        while not self._is_releasing:
            try:
                if state.lease is None:
                    await self._poll_lease(state)
                else:
                    await self._renew(state, state.lease)
            except MarjoramgradeError:
                self._metrics.retried("ownership_table_error")
            self._expire(state)
            interval_ms = (
                SHARD_POLL_INTERVAL_MS if state.lease is None else RENEW_INTERVAL_MS
            )
            await asyncio.sleep(interval_ms / 1000)

    async def _poll_lease(self, state: _ShardState) -> None:
        stored = await self._store.read_shard(state.row.shard)
        state.row, state.version = stored.row, stored.version
        now_ms = self._clock.now_ms()
        state.watch.observe(stored.row, stored.version, now_ms)
        if not state.watch.may_take_over(now_ms) or self._is_releasing:
            return
        if await self._authority.ask(MayTakeOverShard(stored.row)):
            await self._take_over(state)
        else:
            self._metrics.retried("takeover_not_acknowledged")

    async def _take_over(self, state: _ShardState) -> None:
        write_id = uuid.uuid4().hex
        try:
            await self._authority.ask(BeginWrite(write_id))
        except StaleAuthorityError:
            self._metrics.retried("takeover_without_authority")
            return
        state.unresolved_writes.append(write_id)
        asked_ms = self._clock.now_ms()
        row = state.row.taken_over_by(self._instance_id, self._standbys)
        try:
            state.version = await self._store.take_over_shard(row, state.version)
        except CheckFailedError:
            self._metrics.retried("takeover_lost_race")
            self._resolve_writes(state)
            return
        except TableUnavailableError:
            # This write was not sent; an earlier one may still take effect.
            state.unresolved_writes.remove(write_id)
            self._authority.tell(EndWrite(write_id))
            raise
        self._resolve_writes(state)
        self._authority.tell(
            ShardStandbysSet(row.shard, row.guardians, is_proposed=False)
        )
        state.row = row
        state.fence_version = state.version
        state.lease = HeldLease(row.epoch)
        state.lease.confirm(asked_ms)
        log_event("shard_taken", shard=row.shard, epoch=row.epoch)
        self._publish(state.row.shard, state.lease)

    async def _renew(self, state: _ShardState, lease: HeldLease) -> None:
        asked_ms = self._clock.now_ms()
        row = state.row.renewed(self._standbys)
        self._authority.tell(
            ShardStandbysSet(row.shard, row.guardians, is_proposed=True)
        )
        try:
            state.version = await self._store.write_shard(row, state.version)
        except CheckFailedError:
            await self._resolve_conflict(state, lease)
            return
        state.row = row
        self._authority.tell(
            ShardStandbysSet(row.shard, row.guardians, is_proposed=False)
        )
        lease.confirm(asked_ms)
        self._publish(row.shard, lease)

    def _resolve_writes(self, state: _ShardState) -> None:
        """Report that no earlier takeover write can take effect any more.

        A definite response to a later write resolves the earlier writes, which
        checked the same version of the row or an older version.
        """
        for write_id in state.unresolved_writes:
            self._authority.tell(EndWrite(write_id))
        state.unresolved_writes.clear()

    async def _resolve_conflict(self, state: _ShardState, lease: HeldLease) -> None:
        """Adopt a renewal whose response was lost, or end the ownership."""
        stored = await self._store.read_shard(state.row.shard)
        is_own = stored.row.owner == self._instance_id
        if is_own and stored.row.epoch == lease.epoch:
            state.row, state.version = stored.row, stored.version
            return
        self._end_ownership(state, lease)

    def _expire(self, state: _ShardState) -> None:
        lease = state.lease
        if lease is not None and not lease.holds(self._clock.now_ms()):
            self._end_ownership(state, lease)

    def _end_ownership(self, state: _ShardState, lease: HeldLease) -> None:
        lease.revoke()
        state.lease = None
        state.watch = ObservedLease()
        log_event("shard_lost", shard=state.row.shard, epoch=lease.epoch)
        self._authority.tell(ShardOwnershipEnded(state.row.shard))
        self._publish(state.row.shard, lease)

    async def _release_all(self) -> None:
        for state in self._state_by_shard.values():
            if state.lease is None:
                continue
            self._end_ownership(state, state.lease)
            try:
                await self._store.write_shard(state.row.released(), state.version)
            except TableError:
                self._metrics.retried("release_table_error")

    def _publish(self, shard: str, lease: HeldLease) -> None:
        fence_version = self._state_by_shard[shard].fence_version
        message = OwnershipChanged(shard, lease.epoch, lease.until_ms, fence_version)
        for subscriber in self._subscribers:
            subscriber.tell(message)
