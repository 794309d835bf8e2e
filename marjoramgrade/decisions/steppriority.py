"""In which order the steps that wait for workers get room."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from marjoramgrade.decisions.stepprogress import StepProgress
from marjoramgrade.registry import Registry

# Worth of a core-second by the priority of the queue, most urgent first: short
# urgent jobs earn about five times as much for each core-second as long reports.
VALUE_BY_PRIORITY = (5.0, 2.0, 1.0)
# What is left of the worth of a job that is late, and of one that is hopeless.
LATE_VALUE_SHARE = 0.2
VERY_LATE_VALUE_SHARE = 0.01
# Up to this multiple of its latency objective a job is late, then hopeless.
LATE_MULTIPLE = 3
# Work beyond a team's weight waits behind other work that can be in time, and goes
# before late work: the limit of the team keeps it from others, and a team whose new
# jobs wait until they are late serves nobody.
BEYOND_WEIGHT_VALUE_SHARE = 0.3


@attrs.frozen
class WaitingStep:
    """A step that waits, and what its order depends on.

    Attributes:
        step: The step.
        objective_ms: When its job should be complete, on our clock.
        remaining_ms: Estimate of the longest chain of work that is left.
    """

    step: StepProgress
    objective_ms: float
    remaining_ms: float

    def is_on_time(self, now_ms: int) -> bool:
        """Whether the job can still be complete in time."""
        return now_ms + self.remaining_ms <= self.objective_ms


StepOrder = Callable[[list[WaitingStep], int], list[WaitingStep]]
STEP_ORDERS: Registry[StepOrder] = Registry("step order")


@STEP_ORDERS.register("worth")
def by_value(waiting: list[WaitingStep], now_ms: int) -> list[WaitingStep]:
    """Order by the worth that can still be earned, then by the slack that is left."""

    def key(entry: WaitingStep) -> tuple[float, float]:
        finish_ms = now_ms + entry.remaining_ms
        return (-_worth(entry, now_ms), entry.objective_ms - finish_ms)

    return sorted(waiting, key=key)


@STEP_ORDERS.register("fifo")
def by_arrival(waiting: list[WaitingStep], now_ms: int) -> list[WaitingStep]:
    """Order by arrival; the baseline that other orders are compared with."""
    return sorted(waiting, key=lambda entry: entry.step.job.accepted_ms)


def _worth(entry: WaitingStep, now_ms: int) -> float:
    job = entry.step.job
    priority = min(job.queue.priority, len(VALUE_BY_PRIORITY) - 1)
    worth = VALUE_BY_PRIORITY[priority]
    if job.beyond_weight:
        worth *= BEYOND_WEIGHT_VALUE_SHARE
    if entry.step.step.long_running:
        return worth
    if entry.is_on_time(now_ms):
        return worth
    finish_ms = now_ms + entry.remaining_ms
    allowed_ms = entry.objective_ms - job.accepted_ms
    if finish_ms <= job.accepted_ms + LATE_MULTIPLE * allowed_ms:
        return worth * LATE_VALUE_SHARE
    return worth * VERY_LATE_VALUE_SHARE
