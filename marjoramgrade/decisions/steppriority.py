"""Orders in which waiting steps are offered worker capacity."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from marjoramgrade.decisions.durations import QueueDurations
from marjoramgrade.decisions.stepprogress import StepProgress
from marjoramgrade.registry import Registry

# Value of a core-second by queue priority, most urgent first: short urgent jobs earn
# about five times as much per core-second as long reports.
VALUE_BY_PRIORITY = (5.0, 2.0, 1.0)
# Shares of the value that remain for a late job and for a very late job.
LATE_VALUE_SHARE = 0.2
VERY_LATE_VALUE_SHARE = 0.01
# A job is late up to this multiple of its latency objective, and very late beyond.
LATE_MULTIPLE = 3
# Work beyond a team's weight is ordered after other work that can be on time and
# before late work. The team's limit already protects other teams, and if new jobs
# waited behind late ones until they were late too, no job would end on time.
BEYOND_WEIGHT_VALUE_SHARE = 0.3


@attrs.frozen
class WaitingStep:
    """A waiting step with the times that decide its place in the order.

    Attributes:
        step: The step.
        objective_ms: Time by which its job should complete, on this instance's clock.
        remaining_ms: Estimated duration of the longest remaining chain of steps.
    """

    step: StepProgress
    objective_ms: float
    remaining_ms: float

    @classmethod
    def from_step(
        cls, step: StepProgress, durations: QueueDurations, now_ms: int, unix_ms: int
    ) -> WaitingStep:
        """Return a step with its times, by the average durations of its queue."""
        progress = step.job
        queue = progress.queue
        task_ms = durations.expected_ms(queue.name, step.step.estimate_ms)
        due_unix_ms = progress.due_unix_ms(step.occurrence)
        began_ms = progress.accepted_ms
        if due_unix_ms:
            began_ms = max(began_ms, now_ms - (unix_ms - due_unix_ms))
        stretched_ms = queue.stretch * progress.longest_chain * task_ms
        objective_ms = began_ms + stretched_ms + queue.objective_ms
        remaining_ms = progress.chain_by_step[step.index] * task_ms
        return cls(step, objective_ms, remaining_ms)

    def slack_ms(self, now_ms: int) -> float:
        """Return how long the step can wait; negative if the job will be late."""
        return self.objective_ms - now_ms - self.remaining_ms

    def is_on_time(self, now_ms: int) -> bool:
        """Whether the job can still complete by its objective."""
        return self.slack_ms(now_ms) >= 0

    def can_wait(self, now_ms: int) -> bool:
        """Whether the job completes by its objective even if the chain takes twice."""
        return self.slack_ms(now_ms) >= self.remaining_ms


StepOrder = Callable[[list[WaitingStep], int], list[WaitingStep]]
STEP_ORDERS: Registry[StepOrder] = Registry("step order")


@STEP_ORDERS.register("worth")
def by_value(waiting: list[WaitingStep], now_ms: int) -> list[WaitingStep]:
    """Order by the value that can still be earned, then by remaining slack."""

    def key(entry: WaitingStep) -> tuple[float, float]:
        finish_ms = now_ms + entry.remaining_ms
        return (-_remaining_value(entry, now_ms), entry.objective_ms - finish_ms)

    return sorted(waiting, key=key)


@STEP_ORDERS.register("fifo")
def by_arrival(waiting: list[WaitingStep], now_ms: int) -> list[WaitingStep]:
    """Order by arrival; the baseline for comparing other orders."""
    return sorted(waiting, key=lambda entry: entry.step.job.accepted_ms)


def value_of(priority: int, share: float = 1.0, *, is_beyond_weight: bool) -> float:
    """Return the value of a core-second of a job, which decides its place.

    Args:
        priority: Rank of the job's queue.
        share: Share of its value that the job still has.
        is_beyond_weight: Whether its team had used up its weight when it arrived.
    """
    worth = VALUE_BY_PRIORITY[min(priority, len(VALUE_BY_PRIORITY) - 1)]
    if is_beyond_weight:
        worth *= BEYOND_WEIGHT_VALUE_SHARE
    return worth * share


def _remaining_value(entry: WaitingStep, now_ms: int) -> float:
    job = entry.step.job
    share = 1.0
    if not (entry.step.step.long_running or entry.is_on_time(now_ms)):
        finish_ms = now_ms + entry.remaining_ms
        allowed_ms = entry.objective_ms - job.accepted_ms
        is_late = finish_ms <= job.accepted_ms + LATE_MULTIPLE * allowed_ms
        share = LATE_VALUE_SHARE if is_late else VERY_LATE_VALUE_SHARE
    return value_of(job.queue.priority, share, is_beyond_weight=job.beyond_weight)
