"""Paces the plans of a leader, so that its other work goes on beside a long backlog."""

from __future__ import annotations

import attrs

# Events that come within this time share one plan.
MIN_PLAN_DELAY_MS = 2
# A plan is followed by a pause of this many times its duration. Without it, plans over
# a long backlog take the processor from the writes and listings that shorten it.
PAUSE_MULTIPLE = 3
# Longest pause: an urgent step waits at most this long for the next plan.
MAX_PLAN_DELAY_MS = 400


@attrs.define
class PlanPacer:
    """Decides how long to wait before the next plan.

    Attributes:
        took_ms: Duration of the last plan, with the actions that it ordered, in
            milliseconds.
        was_cut: Whether the last plan could have ordered more starts. The next one then
            follows after as much time as the last one took.
    """

    took_ms: int = 0
    was_cut: bool = False

    @property
    def delay_ms(self) -> int:
        """Time from an event to the plan that answers it, in milliseconds."""
        pause_ms = self.took_ms if self.was_cut else PAUSE_MULTIPLE * self.took_ms
        return min(max(MIN_PLAN_DELAY_MS, pause_ms), MAX_PLAN_DELAY_MS)
