"""Decides what follows when the store refuses calls for their rate.

The load is a fleet that calls the store more often than it serves, or a store that
rejects some instances for seconds while it serves the others. Both have the same
response. They differ in what others see: in the first case every instance is served now
and then, in the second this instance is never served and others are.
"""

from __future__ import annotations

import random

import attrs

# First pause after a refusal; it doubles with each further one. A response takes 4 ms.
FIRST_PAUSE_MS = 20
# Longest pause. A leader renews its lead every 300 ms, and others read the renewal of
# one that they have not heard for 550 ms.
MAX_PAUSE_MS = 200
# An instance that has not been served for this long compares itself with others. With
# the pauses above it has then been refused five times or more, which a store that
# serves every second call does to one instance in 30.
UNSERVED_MS = 300
# At least this many refusals in a row before the comparison.
MIN_REFUSALS = 4
# Time over which 40 instances or fewer that are refused together spread their
# comparisons, and the addition for each further instance. 300 of them then send 830
# calls a second, two each, if their relays are refused too, and 2,100, five each, at
# most. The store serves 6,000 reads a second.
SPREAD_MS = 200
SPREAD_PER_INSTANCE_MS = 2
SPREAD_INSTANCES = 40
# The time between comparisons doubles up to this one.
MAX_COMPARISON_MS = 3_200
# Other instances that must be served while this one is refused. One may be served by
# chance.
MIN_SERVED = 2


@attrs.define
class RateBackoff:
    """Pauses between calls of one kind, since the store limits reads and writes apart.

    Attributes:
        refusals: Consecutive refusals; those of calls that were sent before an earlier
            refusal are not counted.
        rng: Source of the jitter.
    """

    refusals: int = 0
    rng: random.Random = attrs.field(factory=random.Random)
    _refused_ms: int = 0

    def record_refused(self, sent_ms: int, now_ms: int) -> bool:
        """Record a refusal of a call; return whether it is counted."""
        if self.refusals and sent_ms < self._refused_ms:
            return False
        self.refusals += 1
        self._refused_ms = now_ms
        return True

    def record_served(self) -> None:
        """Record that the store served a call."""
        self.refusals = 0

    def pause_ms(self, now_ms: int) -> int:
        """Return how long the next call waits: half to all of the current pause."""
        if not self.refusals:
            return 0
        # The exponent is bounded, since refusals may go on for minutes.
        longest_ms = min(FIRST_PAUSE_MS << min(self.refusals - 1, 8), MAX_PAUSE_MS)
        pause_ms = round(self.rng.uniform(longest_ms / 2, longest_ms))
        return max(0, self._refused_ms + pause_ms - now_ms)


@attrs.define
class RefusedAlone:
    """Finds out whether the store refuses this instance while it serves others.

    Attributes:
        rng: Source of the jitter.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    _refusals: int = 0
    _comparisons: int = 0

    @property
    def is_refused(self) -> bool:
        """Whether the last call was refused."""
        return self._refusals > 0

    def record_refused(self) -> None:
        """Record a refusal that counts."""
        self._refusals += 1

    def record_served(self) -> None:
        """Record that the store served this instance directly."""
        self._refusals = self._comparisons = 0

    def next_comparison_ms(self, instances: int) -> int:
        """Return the time until this instance compares itself with others.

        Args:
            instances: Number of known instances.
        """
        beyond = max(0, instances - SPREAD_INSTANCES)
        spread_ms = SPREAD_MS + SPREAD_PER_INSTANCE_MS * beyond
        factor = 1 << min(self._comparisons, 8)
        self._comparisons += 1
        base_ms = min(factor * UNSERVED_MS, MAX_COMPARISON_MS)
        return base_ms + round(self.rng.uniform(0, min(factor * spread_ms, 3_200)))

    @property
    def should_compare(self) -> bool:
        """Whether the store has refused enough calls in a row."""
        return self._refusals >= MIN_REFUSALS
