"""Latest times at which capacity is expected to become free, from what runs there.

The load is a rack that is full of work of known and of unknown duration. A wait for
capacity may take as long as the latest end that is likely, so poor estimates make waits
shorter and not longer.
"""

from __future__ import annotations

import math

import attrs

from marjoramgrade.decisions.durations import QueueDurations
from marjoramgrade.decisions.stepholds import STOP_MS
from marjoramgrade.decisions.stepprogress import StepProgress
from marjoramgrade.decisions.steprun import Run, RunPhase

# Error of a duration, as a share of it, by what it is known from. Durations of a step
# differ by a third; those of a queue differ from job to job; a client's estimate is off
# by up to 0.9.
STEP_ERROR = 0.33
QUEUE_ERROR = 0.5
ESTIMATE_ERROR = 0.9
# Error of an end that is predicted from reported progress: progress comes in whole
# percents up to 2 s apart, and the speed of a run varies.
PREDICTION_ERROR = 0.1


@attrs.frozen
class ExpectedDuration:
    """Expected duration of a task of a step and the error of that time.

    Attributes:
        expected_ms: Duration on the rack of its data.
        error: Share of the duration by which the actual one may differ.
    """

    expected_ms: float
    error: float

    @property
    def longest_ms(self) -> float:
        """The longest duration that is likely."""
        return self.expected_ms * (1 + self.error)

    @property
    def shortest_ms(self) -> float:
        """The shortest duration that is likely."""
        return self.expected_ms * (1 - self.error)


def expected_duration(
    step: StepProgress, durations: QueueDurations
) -> ExpectedDuration:
    """Return the expected duration of a task, from the best source that is known."""
    usual_ms = step.usual_duration_ms()
    if usual_ms is not None:
        return ExpectedDuration(usual_ms, STEP_ERROR)
    average_ms = durations.average_ms(step.job.queue.name)
    if average_ms is not None:
        return ExpectedDuration(average_ms, QUEUE_ERROR)
    return ExpectedDuration(float(step.step.estimate_ms), ESTIMATE_ERROR)


def latest_end_delay_ms(run: Run, duration: ExpectedDuration, now_ms: int) -> float:
    """Return the time until a run has ended with high likelihood.

    Args:
        run: The run.
        duration: Expected duration of the tasks of its step.
        now_ms: Current time.

    Returns:
        Milliseconds; infinity for a run that is longer than likely already, of which
        nothing is known any more, and for a long-running one.
    """
    if run.phase is RunPhase.STOPPING:
        return STOP_MS
    if run.step.step.long_running:
        return math.inf
    remaining_ms, total_ms = run.predicted_remaining_ms(now_ms), None
    if remaining_ms is not None:
        total_ms = run.predicted_total_ms()
    if remaining_ms is None or total_ms is None:
        longest_ms = duration.longest_ms * run.place_factor
        delay_ms = longest_ms - (now_ms - run.ordered_ms)
    else:
        delay_ms = remaining_ms + PREDICTION_ERROR * total_ms
    return delay_ms if delay_ms >= 0 else math.inf
