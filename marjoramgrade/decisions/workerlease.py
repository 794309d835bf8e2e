"""When everything that a worker runs has surely ended."""

from __future__ import annotations

import attrs

# A worker's steady clock may run this much slower than ours; from the protocol.
MAX_CLOCK_DRIFT = 0.02
# Between the expiry of a lease on the worker and the end of what it runs.
EXPIRY_MARGIN_MS = 250


@attrs.define
class WorkerLease:
    """When everything that a worker runs has surely ended.

    Attributes:
        clock_ms: The worker's clock as last heard.
        clock_received_ms: Our time at which it was heard.
        granted_until_clock_ms: Latest expiry that any order has carried, on the
            worker's clock.
        earliest_expiry_ms: Expiry on our clock while the worker's clock is unknown.
    """

    clock_ms: int = 0
    clock_received_ms: int = 0
    granted_until_clock_ms: int = 0
    earliest_expiry_ms: int = 0

    def record_clock(self, clock_ms: int, now_ms: int) -> None:
        """Take over a reading of the worker's clock."""
        if clock_ms >= self.clock_ms:
            self.clock_ms, self.clock_received_ms = clock_ms, now_ms

    def earliest_clock_ms(self, now_ms: int) -> int:
        """Return what the worker's clock shows at least."""
        elapsed = now_ms - self.clock_received_ms
        return self.clock_ms + int(elapsed * (1 - MAX_CLOCK_DRIFT))

    def has_expired(self, now_ms: int) -> bool:
        """Whether the lease has run out however slow the worker's clock is."""
        if not self.clock_received_ms:
            return now_ms >= self.earliest_expiry_ms
        return (
            now_ms >= self.earliest_expiry_ms
            and self.earliest_clock_ms(now_ms)
            > self.granted_until_clock_ms + EXPIRY_MARGIN_MS
        )
