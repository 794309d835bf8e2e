"""Speed of workers, learned from their completed runs.

The load is a wide step on workers of unlike speed: its last task decides when the step
is done, and a job that must complete within 1.5 times its work loses half of that
margin on a worker of speed 0.8. Workers do not report their speed. It is compared with
that of the workers that ran other tasks of the same step, since durations differ widely
between jobs and little within a step.
"""

from __future__ import annotations

import enum
import math
import statistics
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from marjoramgrade.decisions.steprun import Run
    from marjoramgrade.decisions.stepworkers import WorkerState

# Durations within a step differ by a third, so one comparison tells a speed of 1.25
# from 1.0 only in part. This many comparisons count at most; older ones fade, so that a
# worker that is replaced under its id is known again after as many runs.
MAX_WEIGHT = 30.0
# Comparisons that an unknown worker starts with, all of them at the usual speed.
PRIOR_WEIGHT = 2.0
# Durations of one step that a comparison needs, as for its usual duration.
MIN_SAMPLES = 3
# Most that one comparison counts, in either direction. Workers of one pool differ by
# less; a run that took longer stood still for a while or is on a faulty worker, which
# supervision handles.
MAX_RATIO = 2.0
# Speeds are told apart in steps of 10 %, which is about twice the error of a learned
# speed, so that noise does not override the packing of workers of one speed.
GRADE_RATIO = 1.1


class SpeedClass(enum.Enum):
    """The learned speed of a worker in words, for logs and counters."""

    SLOW = "slow"
    USUAL = "usual"
    FAST = "fast"


# Grades at which a worker counts as fast or slow: two steps of 10 %. One step more or
# less is within the error for workers with few runs.
FAST_GRADE = 2


@attrs.define
class WorkerSpeed:
    """Learned speed of one worker, relative to the usual one.

    Attributes:
        factor: Estimated speed; 1.25 means that tasks take 0.8 times as long as usual.
        grade: The speed in steps of `GRADE_RATIO`; 0 is the usual speed.
        comparisons: Number of comparisons since the worker became known.
    """

    factor: float = 1.0
    grade: int = 0
    comparisons: int = 0
    _average_log: float = 0.0

    def record(self, ratio: float) -> None:
        """Add a comparison: the usual duration of a task divided by the actual one."""
        bounded = min(max(ratio, 1 / MAX_RATIO), MAX_RATIO)
        self.comparisons += 1
        weight = min(self.comparisons, MAX_WEIGHT)
        self._average_log += (math.log(bounded) - self._average_log) / weight
        # The first comparisons count only in part. A lasting pull to the usual speed
        # would make workers that run the same steps alike.
        certainty = self.comparisons / (self.comparisons + PRIOR_WEIGHT)
        log_factor = self._average_log * certainty
        self.factor = math.exp(log_factor)
        self.grade = round(log_factor / math.log(GRADE_RATIO))

    @property
    def speed_class(self) -> SpeedClass:
        """The speed in words."""
        if self.grade >= FAST_GRADE:
            return SpeedClass.FAST
        return SpeedClass.SLOW if self.grade <= -FAST_GRADE else SpeedClass.USUAL


def record_completion(
    run: Run,
    worker: WorkerState,
    duration_ms: float,
    worker_by_id: Mapping[str, WorkerState],
) -> None:
    """Learn from a run that was done as a whole on one worker.

    The workers of a step are compared once its last task is done. Before, only the
    shorter durations are known, and each worker would seem slow beside them.

    The durations are scaled by the known speeds of their workers. Without that, the
    fast workers would count as usual ones as soon as urgent steps run only there.

    Args:
        run: The run; its task is not yet marked as done.
        worker: Its worker.
        duration_ms: How long it took.
        worker_by_id: All workers.
    """
    step = run.step
    if _is_comparable(run, worker):
        step.run_durations.append((worker.worker.worker_id, duration_ms))
    if step.done_count + 1 < step.step.count:
        return
    samples = [
        (worker_by_id[worker_id].speed, duration)
        for worker_id, duration in step.run_durations
        if worker_id in worker_by_id
    ]
    step.run_durations.clear()
    if len(samples) < MIN_SAMPLES:
        return
    usual_ms = statistics.median(speed.factor * duration for speed, duration in samples)
    for speed, duration in samples:
        speed.record(usual_ms / duration)


def _is_comparable(run: Run, worker: WorkerState) -> bool:
    """Return whether the duration of a run depends on the speed of its worker alone.

    That of best-effort work depends on the processor time that others leave, that of a
    gang on its slowest member, and that of a step with data or tasks on one rack on the
    place of its runs.
    """
    step = run.step.step
    if step.uses_spare or step.gang or step.same_rack or run.share != 100:
        return False
    return not step.data_rack or step.data_rack == worker.worker.rack
