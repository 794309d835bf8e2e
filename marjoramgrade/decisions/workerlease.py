"""Determines when a lease on a worker has certainly expired."""

from __future__ import annotations

import attrs

# Fraction by which a worker's monotonic clock may run slower than this instance's, as
# the protocol specifies.
MAX_CLOCK_DRIFT = 0.02
# Time between the expiry of a lease on the worker and the end of its runs.
EXPIRY_MARGIN_MS = 250


@attrs.define
class WorkerLease:
    """Lease of one worker, after whose expiry all of its runs have ended.

    Attributes:
        clock_ms: Latest known reading of the worker's clock.
        clock_received_ms: Time of that reading on this instance's clock, or 0 if there
            is none.
        granted_until_clock_ms: Latest expiry that was asked for by this clock of the
            worker.
        unknown_until_clock_ms: Latest expiry, on the worker's clock, that other calls
            may have granted: those of earlier leaders, and those to an earlier
            incarnation, whose clock is another one.
        earliest_expiry_ms: Earliest possible expiry on this instance's clock; the only
            bound while the worker's clock is unknown.
    """

    clock_ms: int = 0
    clock_received_ms: int = 0
    granted_until_clock_ms: int = 0
    unknown_until_clock_ms: int = 0
    earliest_expiry_ms: int = 0

    def record_clock(self, clock_ms: int, now_ms: int) -> None:
        """Record a reading of the worker's clock, unless it is older than the last."""
        if clock_ms >= self.clock_ms:
            self.clock_ms, self.clock_received_ms = clock_ms, now_ms

    def earliest_clock_ms(self, now_ms: int) -> int:
        """Return the lowest time that the worker's clock can show."""
        elapsed_ms = now_ms - self.clock_received_ms
        return self.clock_ms + int(elapsed_ms * (1 - MAX_CLOCK_DRIFT))

    def has_expired(self, now_ms: int) -> bool:
        """Whether the lease has expired even on the slowest permitted clock."""
        if not self.clock_received_ms:
            return now_ms >= self.earliest_expiry_ms
        until_clock_ms = max(self.granted_until_clock_ms, self.unknown_until_clock_ms)
        return (
            now_ms >= self.earliest_expiry_ms
            and self.earliest_clock_ms(now_ms) > until_clock_ms + EXPIRY_MARGIN_MS
        )
