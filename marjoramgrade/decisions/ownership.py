"""Ownership of a shard by a lease with an epoch.

Gray and Cheriton, "Leases", SOSP 1989: the holder measures the lease from just
before it sent the request, all others from the arrival of the response, so clocks
need not be synchronized.
"""

from __future__ import annotations

import attrs

OWNERSHIP_LEASE_MS = 6_000
RENEW_INTERVAL_MS = 2_000
# Upper bound of the drift between two monotonic clocks over one lease.
DRIFT_MARGIN_MS = 500


@attrs.frozen
class ShardRow:
    """The ownership record of a shard in the table.

    Attributes:
        shard: Name of the shard, `zone.number`.
        owner: Instance id of the owner, or empty after the owner released it.
        epoch: Number of the ownership, raised by each takeover; never decreases.
        renewal: Number of renewals by this owner.
        guardians: Ids of the standbys: the instances of the zone whose promises
            (time-limited guarantees) can extend the ownership.
    """

    shard: str
    owner: str = ""
    epoch: int = 0
    renewal: int = 0
    guardians: tuple[str, ...] = ()

    def taken_over_by(self, instance_id: str, guardians: tuple[str, ...]) -> ShardRow:
        """Return the row after a takeover by an instance."""
        return attrs.evolve(
            self,
            owner=instance_id,
            epoch=self.epoch + 1,
            renewal=0,
            guardians=guardians,
        )

    def renewed(self, guardians: tuple[str, ...]) -> ShardRow:
        """Return the row after a renewal by its owner."""
        return attrs.evolve(self, renewal=self.renewal + 1, guardians=guardians)

    def released(self) -> ShardRow:
        """Return the row after its owner released the shard."""
        return attrs.evolve(self, owner="")


@attrs.define
class HeldLease:
    """The holder's view of its own lease.

    Attributes:
        epoch: The epoch under which the shard is held.
        until_ms: Time on the holder's clock at which the lease expires.
    """

    epoch: int
    until_ms: int = 0

    def confirm(self, asked_ms: int, lease_ms: int = OWNERSHIP_LEASE_MS) -> None:
        """Extend the lease after the table accepted a takeover or renewal.

        Args:
            asked_ms: Time just before the write was sent.
            lease_ms: Length of the lease from that time.
        """
        self.until_ms = max(self.until_ms, asked_ms + lease_ms)

    def holds(self, now_ms: int) -> bool:
        """Return whether the lease is in force."""
        return now_ms < self.until_ms

    def revoke(self) -> None:
        """End the lease immediately."""
        self.until_ms = 0


@attrs.define
class ObservedLease:
    """A takeover candidate's view of a lease that another instance holds.

    Attributes:
        version: Version of the row in the table, or -1 before the first read.
        unchanged_since_ms: Time at which this version was first read.
        is_released: Whether the row has no owner.
    """

    version: int = -1
    unchanged_since_ms: int = 0
    is_released: bool = False

    def observe(self, row: ShardRow, version: int, responded_ms: int) -> None:
        """Record the result of reading the ownership row.

        Args:
            row: The row as read.
            version: Version of the row in the table.
            responded_ms: Time at which the response arrived.
        """
        self.is_released = row.owner == ""
        if version != self.version:
            self.version = version
            self.unchanged_since_ms = responded_ms

    def may_take_over(self, now_ms: int, lease_ms: int = OWNERSHIP_LEASE_MS) -> bool:
        """Return whether the shard is released or its lease has certainly lapsed."""
        if self.version < 0:
            return False
        if self.is_released:
            return True
        return now_ms >= self.unchanged_since_ms + lease_ms + DRIFT_MARGIN_MS
