"""Until when the known configuration is certainly current."""

from __future__ import annotations

import attrs

# A withdrawn key must stop working within 8 s everywhere; the rest is for the
# write, the next read and the tick that acts on it.
FRESH_MS = 5_000


@attrs.define
class FreshnessLease:
    """Counts from before the question that confirmed the configuration.

    Attributes:
        until_ms: The configuration is known to be current before this time.
    """

    until_ms: int = 0

    def confirm(self, asked_ms: int, fresh_ms: int = FRESH_MS) -> None:
        """Extend the lease after an answer.

        Args:
            asked_ms: Time just before the question was sent.
            fresh_ms: Length of the lease from that time.
        """
        self.until_ms = max(self.until_ms, asked_ms + fresh_ms)

    def holds(self, now_ms: int) -> bool:
        """Return whether the configuration is known to be current."""
        return now_ms < self.until_ms
