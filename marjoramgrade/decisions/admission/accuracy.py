"""Learns how far the actual time of a job is from the estimate.

The load is a queue whose declared durations are far off, or whose late jobs wait
behind newer ones that can still be in time. Without a correction the estimate would
refuse jobs that complete in time, or accept jobs that are worth nothing when they
complete.
"""

from __future__ import annotations

import math

import attrs

# The favourable end of the error is the ratio that a tenth of the jobs stay below. One
# job in ten at most is then refused although it might have kept its value.
FAVOURABLE_SHARE = 0.1
# Whether a job will be in time is decided by the ratio that half of the jobs stay
# below. With the favourable end, so many would be admitted that one in ten is in time.
TYPICAL_SHARE = 0.5
# Until jobs have completed, the estimate may be this much too long: durations within a
# queue differ by a third from their average.
INITIAL_RATIO = 0.7
# A few outliers must not open or close the gate.
MIN_RATIO = 0.25
MAX_RATIO = 2.0
# Step of the quantile in logarithms after an outcome above it: about fifty of them move
# it from one bound to the other, which is a second of overload.
LEARNING_STEP = 0.04


@attrs.define
class EstimateAccuracy:
    """Quantiles of actual to estimated time, by queue and outlook.

    Jobs that are expected to be in time and late ones are learned apart: the late ones
    are overtaken by newer jobs, and those in time are not.
    """

    _log_ratio_by_key: dict[tuple[str, bool, float], float] = attrs.field(factory=dict)

    def favourable_ratio(self, queue: str, *, is_late: bool) -> float:
        """Return the factor that turns an estimate into its favourable end."""
        return self._ratio(queue, is_late, FAVOURABLE_SHARE)

    def typical_ratio(self, queue: str, *, is_late: bool) -> float:
        """Return the factor that turns an estimate into the usual time."""
        return self._ratio(queue, is_late, TYPICAL_SHARE)

    def _ratio(self, queue: str, is_late: bool, share: float) -> float:
        log_ratio = self._log_ratio_by_key.get((queue, is_late, share))
        return INITIAL_RATIO if log_ratio is None else math.exp(log_ratio)

    def add(
        self, queue: str, estimate_ms: float, actual_ms: float, *, is_late: bool
    ) -> None:
        """Add the outcome of an accepted job.

        The quantiles follow by steps whose sizes balance when the share of the outcomes
        below them is the right one.
        """
        if estimate_ms <= 0 or actual_ms <= 0:
            return
        low, high = math.log(MIN_RATIO), math.log(MAX_RATIO)
        for share in (FAVOURABLE_SHARE, TYPICAL_SHARE):
            ratio = self._ratio(queue, is_late, share)
            is_below = actual_ms / estimate_ms < ratio
            down = LEARNING_STEP * (1 - share) / share
            moved = math.log(ratio) + (-down if is_below else LEARNING_STEP)
            key = (queue, is_late, share)
            self._log_ratio_by_key[key] = min(max(moved, low), high)
