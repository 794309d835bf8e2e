"""When everything that a worker runs has surely ended."""

from __future__ import annotations

import attrs

# A worker's steady clock may run this much slower than ours; from the protocol.
CLOCK_SLOWNESS = 0.02
# Between the expiry of a lease on the worker and the end of what it runs.
EXPIRY_MARGIN_MS = 250


@attrs.define
class WorkerLease:
    """When everything that a worker runs has surely ended.

    Attributes:
        clock_ms: The worker's clock as last heard.
        heard_ms: Our time at which it was heard.
        granted_clock_ms: Latest expiry that any order has carried, on the worker's
            clock.
        unheard_until_ms: Expiry on our clock while the worker's clock is unknown.
    """

    clock_ms: int = 0
    heard_ms: int = 0
    granted_clock_ms: int = 0
    unheard_until_ms: int = 0

    def heard(self, clock_ms: int, now_ms: int) -> None:
        """Take over a reading of the worker's clock."""
        if clock_ms >= self.clock_ms:
            self.clock_ms, self.heard_ms = clock_ms, now_ms

    def earliest_clock_ms(self, now_ms: int) -> int:
        """Return what the worker's clock shows at least."""
        elapsed = now_ms - self.heard_ms
        return self.clock_ms + int(elapsed * (1 - CLOCK_SLOWNESS))

    def has_expired(self, now_ms: int) -> bool:
        """Whether the lease has run out however slow the worker's clock is."""
        if not self.heard_ms:
            return now_ms >= self.unheard_until_ms
        return (
            now_ms >= self.unheard_until_ms
            and self.earliest_clock_ms(now_ms)
            > self.granted_clock_ms + EXPIRY_MARGIN_MS
        )
