"""Lease on the use of this instance's copy of the configuration."""

from __future__ import annotations

import attrs

FRESHNESS_MS = 5_000


@attrs.define
class FreshnessLease:
    """Lease that is in force while the configuration was confirmed recently.

    By the time the lease expires, a change that was accepted elsewhere is in force
    here, or this instance has stopped using its copy.

    Attributes:
        until_ms: Time at which the lease expires.
    """

    until_ms: int = 0

    def confirm(self, asked_ms: int) -> None:
        """Extend the lease.

        Args:
            asked_ms: Time just before the table was read, or just before the
                earliest of the promises (time-limited guarantees) of all members
                was requested.
        """
        self.until_ms = max(self.until_ms, asked_ms + FRESHNESS_MS)

    def holds(self, now_ms: int) -> bool:
        """Return whether the configuration may be used now."""
        return now_ms < self.until_ms
