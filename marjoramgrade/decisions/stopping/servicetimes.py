"""How long requests have lately taken, for a process that has to stop in time.

Handles a store or a leader that has become slow: the time that a request needs is then
not known beforehand, and one that cannot end in time should not wait in vain.
"""

from __future__ import annotations

from collections import deque

import attrs

# Requests that count. Older ones say little about the present.
MAX_TIMES = 64
# Requests older than this do not count.
MAX_AGE_MS = 5_000
# With fewer of them nothing is known.
MIN_TIMES = 8
# Share of the requests that take at most the expected time.
QUANTILE = 0.75


@attrs.define
class ServiceTimes:
    """The durations of the last requests that were answered with success.

    It belongs to one process, starts empty, and forgets a request after `MAX_AGE_MS`.
    """

    _times: deque[tuple[int, int]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_TIMES)
    )

    def add(self, now_ms: int, took_ms: int) -> None:
        """Record a request that was answered now."""
        self._times.append((now_ms, took_ms))

    def expected_ms(self, now_ms: int) -> int:
        """Return how long a request takes that begins now, 0 if nothing is known."""
        recent = sorted(
            took_ms for at_ms, took_ms in self._times if now_ms - at_ms <= MAX_AGE_MS
        )
        if len(recent) < MIN_TIMES:
            return 0
        return recent[int(len(recent) * QUANTILE)]
