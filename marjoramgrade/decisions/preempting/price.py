"""Weighs what a stop of runs gains against what it loses.

The load is a full cell in which urgent jobs stop the runs of others. A run that is
stopped loses its progress since the last checkpoint, and its own job may be late for
it. That is worth it only for a step that is in time by it, and not for one that is late
all the same.
"""

from __future__ import annotations

import abc
import math

import attrs

from marjoramgrade.decisions.durations import QueueDurations
from marjoramgrade.decisions.steppriority import (
    LATE_VALUE_SHARE,
    VALUE_BY_PRIORITY,
    WaitingStep,
)
from marjoramgrade.decisions.stepprogress import JobProgress, StepProgress
from marjoramgrade.decisions.steprun import Run
from marjoramgrade.registry import Registry

# Time from the order of a stop until the run has ended, on the users' platform.
SHORTEST_STOP_MS = 400
LONGEST_STOP_MS = 900
# Time until a stopped run is at work again once there is capacity: a plan, the write of
# its placement, the start and the reading of its checkpoint. The platform does not tell
# it; this is an assumption.
RESTORE_MS = 500
# Duration of tasks of which nothing is known, neither an average nor an estimate.
UNKNOWN_DURATION_MS = 1_000.0


@attrs.frozen
class Exchange:
    """A step for whose task runs could be stopped.

    Attributes:
        step: The step.
        durations: Average durations of tasks.
        now_ms: Current time.
        unix_ms: Current time, in Unix time.
    """

    step: StepProgress
    durations: QueueDurations
    now_ms: int
    unix_ms: int

    def waiting(self, step: StepProgress) -> WaitingStep:
        """Return a step with the times that decide whether its job is in time."""
        return WaitingStep.from_step(step, self.durations, self.now_ms, self.unix_ms)


class PreemptionRule(abc.ABC):
    """Decides whether runs may be stopped: if the gain is more than all losses."""

    @abc.abstractmethod
    def gain(self, exchange: Exchange) -> float:
        """Return what a step gains if one of its tasks starts soon."""

    @abc.abstractmethod
    def loss(self, exchange: Exchange, run: Run) -> float:
        """Return what is lost if a run is stopped for it, in the same unit."""


PREEMPTION_RULES: Registry[type[PreemptionRule]] = Registry("preemption rule")


@PREEMPTION_RULES.register("priority")
@attrs.frozen
class ByPriority(PreemptionRule):
    """Any run of a less urgent queue may be stopped."""

    def gain(self, exchange: Exchange) -> float:
        """Return infinity."""
        return math.inf

    def loss(self, exchange: Exchange, run: Run) -> float:
        """Return 0."""
        return 0.0


@PREEMPTION_RULES.register("price")
@attrs.frozen
class ByPrice(PreemptionRule):
    """Gain and loss are values in core-seconds of the least urgent queue."""

    def gain(self, exchange: Exchange) -> float:
        """Return what the job keeps if a task starts soon; 0 if it is late anyway."""
        step = exchange.step
        if step.step.gang:
            tasks = step.step.count
        else:
            tasks = sum(1 for _ in step.iter_waiting())
        at_stake = _value_of_being_in_time(exchange, step.job) / max(tasks, 1)
        if step.step.long_running:
            return at_stake
        slack_ms = exchange.waiting(step).slack_ms(exchange.now_ms)
        spread_ms = LONGEST_STOP_MS - SHORTEST_STOP_MS
        chance = (slack_ms - SHORTEST_STOP_MS) / spread_ms
        return at_stake * min(max(chance, 0.0), 1.0)

    def loss(self, exchange: Exchange, run: Run) -> float:
        """Return the lost work, and the value of its job if that is late for it."""
        step, now_ms = run.step, exchange.now_ms
        unsaved_ms = run.unsaved_ms(now_ms)
        cores = step.step.resources.cpu_millis / 1_000
        lost = _worth(step.job) * cores * (unsaved_ms + RESTORE_MS) / 1_000
        began_ms = run.running_since_ms or run.ordered_ms
        # The rest of the chain follows even a run that has taken longer than expected.
        progress_ms = min(now_ms - began_ms, _task_ms(exchange, step))
        slack_ms = exchange.waiting(step).slack_ms(now_ms) + progress_ms
        # Its capacity is taken for as long as a task of the other step.
        delay_ms = unsaved_ms + RESTORE_MS + _task_ms(exchange, exchange.step)
        if 0 <= slack_ms < delay_ms:
            lost += _value_of_being_in_time(exchange, step.job)
        return lost


def _value_of_being_in_time(exchange: Exchange, progress: JobProgress) -> float:
    """Return what a job is worth in time beyond what it is worth late."""
    task_ms = exchange.durations.expected_ms
    core_s = sum(
        step.count
        * step.resources.cpu_millis
        * (task_ms(progress.queue.name, step.estimate_ms) or UNKNOWN_DURATION_MS)
        / 1_000_000
        for step in progress.job.steps
    )
    return _worth(progress) * (1 - LATE_VALUE_SHARE) * core_s


def _task_ms(exchange: Exchange, step: StepProgress) -> float:
    queue, estimate_ms = step.job.queue.name, step.step.estimate_ms
    return exchange.durations.expected_ms(queue, estimate_ms) or UNKNOWN_DURATION_MS


def _worth(progress: JobProgress) -> float:
    """Return the value of a core-second of a job that is in time."""
    return VALUE_BY_PRIORITY[min(progress.queue.priority, len(VALUE_BY_PRIORITY) - 1)]
