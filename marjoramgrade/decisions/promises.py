"""Promises that replace access to the table during an outage of the table.

A promise is a time-limited guarantee of a peer. Until it expires, the peer
writes no configuration, takes over no shard and removes no member. An instance
that holds promises from all other members therefore knows that shared state has
not changed. The granter measures the period from its reply, the holder from just
before it sent the request.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS, HeldLease

PROMISE_MS = 4_000
PROMISE_INTERVAL_MS = 1_500
FLEET_SCOPE = "fleet"


class Refusal(enum.Enum):
    """Reason for which an instance refuses a promise.

    Attributes:
        TABLE_REACHED: The instance's last access to the table succeeded.
        WRITE_IN_FLIGHT: The outcome of one of its writes is unknown.
        UNLISTED_MEMBER: The request does not list a joining member that the
            instance acknowledged.
        NOT_READ: This process has not read the configuration.
    """

    TABLE_REACHED = "table_reached"
    WRITE_IN_FLIGHT = "write_in_flight"
    UNLISTED_MEMBER = "unlisted_member"
    NOT_READ = "not_read"


@attrs.frozen
class PromiseRequest:
    """Request for a promise.

    Attributes:
        scope: `FLEET_SCOPE`, or the name of the zone that contains the held shard.
        members: The members whose promises the requester will collect: all
            registered members, or the standbys of the shard.
    """

    scope: str
    members: frozenset[str]


@attrs.frozen
class PromiseReply:
    """Reply that grants or refuses a promise.

    Attributes:
        refusal: Reason for the refusal, or None if the promise is granted.
        config_version: Version of the granter's configuration.
    """

    refusal: Refusal | None
    config_version: int = 0


@attrs.frozen
class ReceivedPromise:
    """The latest promise of one peer.

    Attributes:
        asked_ms: Time just before the request was sent.
        config_version: Version of the granter's configuration.
    """

    asked_ms: int
    config_version: int

    @property
    def until_ms(self) -> int:
        """Time at which the promise expires for its holder."""
        return self.asked_ms + PROMISE_MS


@attrs.define
class GivenPromises:
    """Promises that this instance has given, and conditions that prevent new ones.

    Attributes:
        is_admitted: Whether this instance may itself change the configuration.
        is_table_reached: Whether the last access to the table succeeded.
        has_read_table: Whether this process has read the configuration. Until
            then its configuration may be older than one that an earlier
            incarnation of the instance accepted.
        until_ms: Time at which the last promise given expires.
    """

    is_admitted: bool = False
    is_table_reached: bool = True
    has_read_table: bool = True
    until_ms: int = 0
    _writes_in_flight: set[str] = attrs.field(factory=set)
    _zone_by_joining_member: dict[str, str] = attrs.field(factory=dict)

    def attest(
        self, request: PromiseRequest, config_version: int, now_ms: int
    ) -> PromiseReply:
        """Grant or refuse a promise.

        A write whose outcome is unknown may take effect later, so no promise is
        granted until the outcome is known. A joining member that this instance
        acknowledged may change shared state, so the request must list it.

        Args:
            request: The peer's request.
            config_version: Version of this instance's configuration.
            now_ms: The current time.
        """
        refusal = None
        if self.is_table_reached:
            refusal = Refusal.TABLE_REACHED
        elif not self.has_read_table:
            refusal = Refusal.NOT_READ
        elif self._writes_in_flight:
            refusal = Refusal.WRITE_IN_FLIGHT
        elif not self.joining_members(request.scope) <= request.members:
            refusal = Refusal.UNLISTED_MEMBER
        else:
            self.until_ms = max(self.until_ms, now_ms + PROMISE_MS + DRIFT_MARGIN_MS)
        return PromiseReply(refusal, config_version)

    def begin_write(self, write_id: str, now_ms: int) -> bool:
        """Record a write to the configuration, a shard row or a member row.

        Must be called immediately before the write is sent, without an `await`
        in between.

        Args:
            write_id: Id under which `end_write` reports the outcome.
            now_ms: The current time.

        Returns:
            Whether the write may be sent; False while a promise is in force.
        """
        if now_ms < self.until_ms:
            return False
        self._writes_in_flight.add(write_id)
        return True

    def end_write(self, write_id: str) -> None:
        """Record that a write took effect or can no longer take effect."""
        self._writes_in_flight.discard(write_id)

    def acknowledge(self, joining_member: str, zone: str, now_ms: int) -> bool:
        """Allow a registered joining member to change shared state.

        Args:
            joining_member: Instance id; its member row must have been written.
            zone: Zone of the joining member, whose shards it may take over.
            now_ms: The current time.

        Returns:
            Whether the joining member is acknowledged. False while a promise is
            in force, since its holder may not know of the joining member. Also
            False if this instance is not admitted, since the other members may
            not have requested a promise from it.
        """
        if now_ms < self.until_ms or not self.is_admitted:
            return False
        self._zone_by_joining_member[joining_member] = zone
        return True

    def remove_member(self, member: str) -> None:
        """Discard a member whose row was removed from the table."""
        self._zone_by_joining_member.pop(member, None)

    def joining_members(self, scope: str) -> set[str]:
        """Return the acknowledged joining members that may change state in a scope."""
        return {
            joining_member
            for joining_member, zone in self._zone_by_joining_member.items()
            if scope in (FLEET_SCOPE, zone)
        }


@attrs.define
class ReceivedPromises:
    """Promises received from the members of one scope.

    Attributes:
        instance_id: This instance, whose own promise is not needed.
        scope: `FLEET_SCOPE`, or the name of the zone that contains the held shard.
        acknowledged: Joining members of the scope that this instance acknowledged.
    """

    instance_id: str
    scope: str
    acknowledged: set[str] = attrs.field(factory=set)
    _members: frozenset[str] | None = None
    _proposed_members: frozenset[str] = frozenset()
    _promise_by_peer: dict[str, ReceivedPromise] = attrs.field(factory=dict)

    @property
    def peers(self) -> frozenset[str]:
        """The peers whose promises are needed."""
        members = (self._members or frozenset()) | self._proposed_members
        return (members | self.acknowledged) - {self.instance_id}

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the member list by the one read from the table."""
        self._members = frozenset(members)
        self._proposed_members = frozenset()

    def add_proposed_members(self, members: Iterable[str]) -> None:
        """Add the members of a list that is about to be written to the shard row.

        Must be called before the takeover and before each renewal. Until the
        reply arrives, the table may hold the old list or the new one, and a
        standby on either list may take over.
        """
        self._proposed_members |= frozenset(members)

    def request(self) -> PromiseRequest:
        """Return the request to send to each peer."""
        return PromiseRequest(self.scope, self.peers | {self.instance_id})

    def record(
        self,
        peer: str,
        request: PromiseRequest,
        reply: PromiseReply,
        asked_ms: int,
    ) -> None:
        """Record a peer's reply.

        A refusal is ignored, as are a reply to a request that did not list all
        current peers and a reply to an older request.

        Args:
            peer: The granter.
            request: The request that the reply answers.
            reply: The peer's reply.
            asked_ms: Time just before the request was sent.
        """
        if reply.refusal is not None or not self.peers <= request.members:
            return
        known = self._promise_by_peer.get(peer)
        if known is None or known.asked_ms < asked_ms:
            promise = ReceivedPromise(asked_ms, reply.config_version)
            self._promise_by_peer[peer] = promise

    def until_ms(self, now_ms: int) -> int:
        """Return when the authority to act without the table expires, or zero.

        It expires with the promise that expires first, and there is none while a
        promise is missing.

        If the fleet has only one member, that member needs no promise, since a
        joining member must first be acknowledged by it. A shard owner without
        standbys has no authority on its own, since its member row may have been
        removed during a network partition of its zone.
        """
        if self._members is None or not (self.peers or self.scope == FLEET_SCOPE):
            return 0
        promises = [self._promise_by_peer.get(peer) for peer in self.peers]
        ends = (0 if promise is None else promise.until_ms for promise in promises)
        return min(ends, default=now_ms + PROMISE_MS)

    def holds(self, now_ms: int) -> bool:
        """Return whether the promises of all peers are in force."""
        return now_ms < self.until_ms(now_ms)

    def confirmed_from_ms(self, config_version: int, now_ms: int) -> int | None:
        """Return the time at which the configuration was last known to be current.

        Args:
            config_version: Version of this instance's configuration.
            now_ms: The current time.

        Returns:
            Time just before the earliest of the promises was requested, or None
            if a promise is missing or a peer has a newer configuration.
        """
        if not self.holds(now_ms):
            return None
        promises = [self._promise_by_peer[peer] for peer in self.peers]
        if any(promise.config_version > config_version for promise in promises):
            return None
        return min((promise.asked_ms for promise in promises), default=now_ms)

    def extend(self, lease: HeldLease, now_ms: int) -> bool:
        """Extend the lease on a shard until the promises expire.

        A lapsed lease is not extended, since a standby may have taken over the
        shard before it gave its promise.

        Returns:
            Whether the lease is in force.
        """
        if lease.holds(now_ms):
            lease.until_ms = max(lease.until_ms, self.until_ms(now_ms))
        return lease.holds(now_ms)


@attrs.define
class PromiseTracker:
    """All promises that this instance has given and received.

    Attributes:
        instance_id: This instance.
        zone: Zone of this instance.
        given: Promises given to other instances.
        fleet: Promises received from all registered members.
    """

    instance_id: str
    zone: str
    given: GivenPromises = attrs.field(factory=GivenPromises)
    fleet: ReceivedPromises = attrs.field()
    _received_by_shard: dict[str, ReceivedPromises] = attrs.field(factory=dict)

    @fleet.default
    def _make_fleet(self) -> ReceivedPromises:
        return ReceivedPromises(self.instance_id, FLEET_SCOPE)

    def for_shard(self, shard: str) -> ReceivedPromises:
        """Return the promises received from the standbys of a held shard."""
        received = self._received_by_shard.get(shard)
        if received is None:
            received = ReceivedPromises(self.instance_id, self.zone)
            self._received_by_shard[shard] = received
            for joining_member in self.given.joining_members(self.zone):
                received.acknowledged.add(joining_member)
        return received

    def discard_shard(self, shard: str) -> None:
        """Discard the promises for a shard that is no longer held."""
        self._received_by_shard.pop(shard, None)

    def acknowledge(self, joining_member: str, zone: str, now_ms: int) -> bool:
        """Allow a joining member to change state; see `GivenPromises.acknowledge`.

        From then on this instance also needs the joining member's promise, even
        if its copy of the member list does not include that member yet.
        """
        if not self.given.acknowledge(joining_member, zone, now_ms):
            return False
        self.fleet.acknowledged.add(joining_member)
        if zone == self.zone:
            for received in self._received_by_shard.values():
                received.acknowledged.add(joining_member)
        return True

    def remove_member(self, member: str) -> None:
        """Discard a member whose row was removed from the table."""
        self.given.remove_member(member)
        for received in (self.fleet, *self._received_by_shard.values()):
            received.acknowledged.discard(member)
