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
# job in ten at most is then refused although it might have kept its value. In trials
# with a team at five times its rate, medians cost a seventh of the jobs in time.
FAVOURABLE_SHARE = 0.1
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
    """The favourable end of actual to estimated time, by queue and outlook.

    Jobs that are expected to be in time and late ones are learned apart: the late ones
    are overtaken by newer jobs, and those in time are not.
    """

    _log_ratio_by_key: dict[tuple[str, bool], float] = attrs.field(factory=dict)

    def favourable_ratio(self, queue: str, *, is_late: bool) -> float:
        """Return the factor that turns an estimate into its favourable end."""
        log_ratio = self._log_ratio_by_key.get((queue, is_late))
        return INITIAL_RATIO if log_ratio is None else math.exp(log_ratio)

    def add(
        self, queue: str, estimate_ms: float, actual_ms: float, *, is_late: bool
    ) -> None:
        """Add the outcome of an accepted job.

        The quantile follows by steps whose sizes balance when the share of the outcomes
        below it is `FAVOURABLE_SHARE`.
        """
        if estimate_ms <= 0 or actual_ms <= 0:
            return
        ratio = self.favourable_ratio(queue, is_late=is_late)
        is_below = actual_ms / estimate_ms < ratio
        down = LEARNING_STEP * (1 - FAVOURABLE_SHARE) / FAVOURABLE_SHARE
        moved = math.log(ratio) + (-down if is_below else LEARNING_STEP)
        low, high = math.log(MIN_RATIO), math.log(MAX_RATIO)
        self._log_ratio_by_key[(queue, is_late)] = min(max(moved, low), high)
