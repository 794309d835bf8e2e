"""Promises that stand in for the table while nobody can reach it.

An instance that promises changes nothing that others rely on for a while: it
writes no configuration, takes over no shard and removes no member. An instance
that holds such promises from every other member therefore knows that nothing
has changed. The granter counts from its answer, the holder from before it asked.
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
    """Why an instance makes no promise."""

    TABLE_REACHED = "table_reached"
    WRITE_IN_FLIGHT = "write_in_flight"
    UNLISTED_MEMBER = "unlisted_member"
    NOT_READ = "not_read"


@attrs.frozen
class PromiseRequest:
    """Asks for a promise.

    Attributes:
        scope: `FLEET_SCOPE`, or the name of the zone whose shard is held.
        members: The members whose promises the asker will collect: every
            registered member, or the guardians of the shard.
    """

    scope: str
    members: frozenset[str]


@attrs.frozen
class PromiseReply:
    """Makes a promise or refuses it.

    Attributes:
        refusal: Why there is no promise, or None if there is one.
        config_version: Version of the configuration that the granter has.
    """

    refusal: Refusal | None
    config_version: int = 0


@attrs.frozen
class ReceivedPromise:
    """The latest promise of one peer, counted from before it was asked for."""

    asked_ms: int
    config_version: int

    @property
    def until_ms(self) -> int:
        """The holder may rely on the promise before this time."""
        return self.asked_ms + PROMISE_MS


@attrs.define
class GivenPromises:
    """What this instance has promised, and what it must not promise.

    Attributes:
        is_admitted: Whether this instance may itself change the configuration.
        is_table_reached: Whether the last access to the table was answered.
        has_read_table: Whether this process has read the configuration; before
            that it may be older than one that an earlier life of it accepted.
        until_ms: End of the last promise given.
    """

    is_admitted: bool = False
    is_table_reached: bool = True
    has_read_table: bool = True
    until_ms: int = 0
    _writes_in_flight: set[str] = attrs.field(factory=set)
    _zone_by_newcomer: dict[str, str] = attrs.field(factory=dict)

    def attest(
        self, request: PromiseRequest, config_version: int, now_ms: int
    ) -> PromiseReply:
        """Make a promise or refuse it.

        A write whose outcome is unknown may take effect later, so no promise is
        made before it is resolved. A newcomer that this instance acknowledged
        may change things, so the asker must know of it.

        Args:
            request: What the peer asks for.
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
        """Take note of a write to the configuration, a shard row or a member row.

        Must be called right before the write is sent, with no wait in between.

        Returns:
            Whether the write may be sent; not while a promise is in force.
        """
        if now_ms < self.until_ms:
            return False
        self._writes_in_flight.add(write_id)
        return True

    def end_write(self, write_id: str) -> None:
        """Take note that a write took effect or certainly never will."""
        self._writes_in_flight.discard(write_id)

    def acknowledge(self, joining_member: str, zone: str, now_ms: int) -> bool:
        """Agree that a registered newcomer may change things.

        Args:
            joining_member: Instance id; its member row must have been written.
            zone: Its zone, whose shards it may take over.
            now_ms: The current time.

        Returns:
            Whether it is acknowledged; not while a promise is in force, since
            the holder may not know of the newcomer, and not by an instance that
            was not admitted itself, since nobody may have asked it to promise.
        """
        if now_ms < self.until_ms or not self.is_admitted:
            return False
        self._zone_by_newcomer[joining_member] = zone
        return True

    def remove_member(self, member: str) -> None:
        """Take note that a member row was removed."""
        self._zone_by_newcomer.pop(member, None)

    def joining_members(self, scope: str) -> set[str]:
        """Return the acknowledged newcomers that may change things in a scope."""
        return {
            joining_member
            for joining_member, zone in self._zone_by_newcomer.items()
            if scope in (FLEET_SCOPE, zone)
        }


@attrs.define
class ReceivedPromises:
    """The promises of every member of one scope.

    Attributes:
        instance_id: This instance, whose own promise is not needed.
        scope: `FLEET_SCOPE`, or the name of the zone whose shard is held.
        acknowledged: Newcomers of the scope that this instance acknowledged.
    """

    instance_id: str
    scope: str
    acknowledged: set[str] = attrs.field(factory=set)
    _members: frozenset[str] | None = None
    _proposed: frozenset[str] = frozenset()
    _promise_by_peer: dict[str, ReceivedPromise] = attrs.field(factory=dict)

    @property
    def peers(self) -> frozenset[str]:
        """The peers whose promises are needed."""
        members = (self._members or frozenset()) | self._proposed
        return (members | self.acknowledged) - {self.instance_id}

    def set_members(self, members: Iterable[str]) -> None:
        """Take over the list of members that the table holds."""
        self._members = frozenset(members)
        self._proposed = frozenset()

    def add_proposed_members(self, members: Iterable[str]) -> None:
        """Take note of a list that is about to be written to the shard row.

        Must be called before each renewal and before the takeover itself. Until
        the answer arrives, the table may hold the old list or the new one, and a
        guardian on either may take over.
        """
        self._proposed |= frozenset(members)

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
        """Take over a reply.

        Args:
            peer: The granter.
            request: The request that the reply answers.
            reply: What the peer answered.
            asked_ms: Time just before the request was sent.
        """
        if reply.refusal is not None or not self.peers <= request.members:
            return
        known = self._promise_by_peer.get(peer)
        if known is None or known.asked_ms < asked_ms:
            promise = ReceivedPromise(asked_ms, reply.config_version)
            self._promise_by_peer[peer] = promise

    def until_ms(self, now_ms: int) -> int:
        """Return the end of the authority that the promises give, or zero.

        The only member of the fleet needs no promise, since a newcomer must ask
        it first. An owner without other guardians has no authority of its own:
        its member row may have been removed while its zone was cut off.
        """
        if self._members is None or not (self.peers or self.scope == FLEET_SCOPE):
            return 0
        promises = [self._promise_by_peer.get(peer) for peer in self.peers]
        ends = (0 if found is None else found.until_ms for found in promises)
        return min(ends, default=now_ms + PROMISE_MS)

    def holds(self, now_ms: int) -> bool:
        """Return whether the promises of all peers are in force."""
        return now_ms < self.until_ms(now_ms)

    def confirmed_from_ms(self, config_version: int, now_ms: int) -> int | None:
        """Return since when a configuration is known to be current.

        Args:
            config_version: Version of this instance's configuration.
            now_ms: The current time.

        Returns:
            The time before the earliest promise was asked for, or None if a
            promise is missing or a peer has a newer configuration.
        """
        if not self.holds(now_ms):
            return None
        promises = [self._promise_by_peer[peer] for peer in self.peers]
        if any(promise.config_version > config_version for promise in promises):
            return None
        return min((promise.asked_ms for promise in promises), default=now_ms)

    def extend(self, lease: HeldLease, now_ms: int) -> bool:
        """Extend the ownership of a shard as far as the promises reach.

        A lease that has lapsed stays so: a guardian may have taken the shard
        over before it made its promise.

        Returns:
            Whether the lease holds.
        """
        if lease.holds(now_ms):
            lease.until_ms = max(lease.until_ms, self.until_ms(now_ms))
        return lease.holds(now_ms)


@attrs.define
class PromiseTracker:
    """Every promise that this instance has given and received.

    Attributes:
        instance_id: This instance.
        zone: Its zone.
        given: Promises given to others.
        fleet: Promises of every registered member.
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
        """Return the promises of the guardians of a shard that is held."""
        received = self._received_by_shard.get(shard)
        if received is None:
            received = ReceivedPromises(self.instance_id, self.zone)
            self._received_by_shard[shard] = received
            for joining_member in self.given.joining_members(self.zone):
                received.acknowledged.add(joining_member)
        return received

    def discard_shard(self, shard: str) -> None:
        """Forget the promises for a shard that is no longer held."""
        self._received_by_shard.pop(shard, None)

    def acknowledge(self, joining_member: str, zone: str, now_ms: int) -> bool:
        """Agree that a newcomer may change things; see `GivenPromises.acknowledge`.

        From then on this instance needs the newcomer's promise as well, even if
        its own copy of the member list is older.
        """
        if not self.given.acknowledge(joining_member, zone, now_ms):
            return False
        self.fleet.acknowledged.add(joining_member)
        if zone == self.zone:
            for received in self._received_by_shard.values():
                received.acknowledged.add(joining_member)
        return True

    def remove_member(self, member: str) -> None:
        """Take note that a member row was removed."""
        self.given.remove_member(member)
        for received in (self.fleet, *self._received_by_shard.values()):
            received.acknowledged.discard(member)
