"""Time in whole milliseconds."""

import time
from typing import Protocol

_MS_NS = 1_000_000
# Systems without this clock have none that counts a suspension.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """A monotonic clock."""

    def now_ms(self) -> int:
        """Return the milliseconds since an arbitrary fixed point."""
        ...

    def unix_ms(self) -> int:
        """Return milliseconds since 1970; may jump and differ between instances."""
        ...


class SystemClock:
    """The machine's monotonic clock, which goes on while the machine is suspended.

    A lease or promise ends during a suspension. CLOCK_MONOTONIC stands still then, so
    an instance that wakes up would go on acting on it.
    """

    def now_ms(self) -> int:
        """Return the milliseconds since the machine's boot."""
        return time.clock_gettime_ns(_CLOCK_ID) // _MS_NS

    def unix_ms(self) -> int:
        """Return the milliseconds since 1970 by the machine's wall clock."""
        return time.time_ns() // _MS_NS


class ManualClock:
    """A clock that only `advance` moves, for tests and measurements."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current reading."""
        return self._now_ms

    def unix_ms(self) -> int:
        """Return the current reading, as milliseconds since 1970."""
        return self._now_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward.

        Args:
            by_ms: Milliseconds, not negative.

        Raises:
            ValueError: If the clock would move backwards.
        """
        if by_ms < 0:
            raise ValueError("a monotonic clock does not move backwards")
        self._now_ms += by_ms
