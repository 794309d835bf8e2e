"""Ownership of a shard by a lease with an epoch.

Gray and Cheriton, "Leases", SOSP 1989: the holder counts the lease from before
it asked, everyone else from after the answer, so no common clock is needed.
"""

from __future__ import annotations

import attrs

OWNERSHIP_LEASE_MS = 6_000
RENEW_INTERVAL_MS = 2_000
# Two monotonic clocks may differ by this much over one lease.
DRIFT_MARGIN_MS = 500


@attrs.frozen
class ShardRow:
    """The ownership record of a shard in the table.

    Attributes:
        shard: Name of the shard, `zone.number`.
        owner: Instance id of the owner, or empty after a hand-over.
        epoch: Raised by every change of owner; it never falls.
        renewal: Raised by every renewal.
        guardians: Instances of the zone whose promises can extend ownership.
    """

    shard: str
    owner: str = ""
    epoch: int = 0
    renewal: int = 0
    guardians: tuple[str, ...] = ()

    def taken_over_by(self, instance_id: str, guardians: tuple[str, ...]) -> ShardRow:
        """Return the row after a change of owner."""
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
        """Return the row after its owner gave the shard up."""
        return attrs.evolve(self, owner="")


@attrs.define
class HeldLease:
    """The holder's view of its own lease.

    Attributes:
        epoch: The epoch under which the shard is held.
        until_ms: The holder may act before this time on its own clock.
    """

    epoch: int
    until_ms: int = 0

    def confirm(self, asked_ms: int, lease_ms: int = OWNERSHIP_LEASE_MS) -> None:
        """Extend the lease after a positive answer.

        Args:
            asked_ms: Time just before the renewal was sent.
            lease_ms: Length of the lease from that time.
        """
        self.until_ms = max(self.until_ms, asked_ms + lease_ms)

    def holds(self, now_ms: int) -> bool:
        """Return whether the holder may act now."""
        return now_ms < self.until_ms

    def revoke(self) -> None:
        """End the lease at once."""
        self.until_ms = 0


@attrs.define
class ObservedLease:
    """A candidate's view of a lease that another instance holds."""

    version: int = -1
    unchanged_since_ms: int = 0
    is_released: bool = False

    def observe(self, row: ShardRow, version: int, answered_ms: int) -> None:
        """Take note of a read of the ownership row.

        Args:
            row: The row as read.
            version: Version of the row in the table.
            answered_ms: Time at which the answer arrived.
        """
        self.is_released = row.owner == ""
        if version != self.version:
            self.version = version
            self.unchanged_since_ms = answered_ms

    def may_take_over(self, now_ms: int, lease_ms: int = OWNERSHIP_LEASE_MS) -> bool:
        """Return whether the observed lease has certainly lapsed."""
        if self.version < 0:
            return False
        if self.is_released:
            return True
        return now_ms >= self.unchanged_since_ms + lease_ms + DRIFT_MARGIN_MS
