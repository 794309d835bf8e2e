"""Whether this instance's configuration is known to be current."""

from __future__ import annotations

import attrs

FRESHNESS_MS = 5_000


@attrs.define
class FreshnessLease:
    """Holds while the configuration in force was confirmed recently.

    A change accepted elsewhere is in force here, or this instance has stopped
    relying on its copy, once the lease has run out.

    Attributes:
        until_ms: The configuration may be relied on before this time.
    """

    until_ms: int = 0

    def confirm(self, asked_ms: int) -> None:
        """Extend the lease.

        Args:
            asked_ms: Time just before the table was read, or just before the
                earliest of the promises of every member was asked for.
        """
        self.until_ms = max(self.until_ms, asked_ms + FRESHNESS_MS)

    def holds(self, now_ms: int) -> bool:
        """Return whether the configuration may be relied on now."""
        return now_ms < self.until_ms
