"""One run of a task on a worker: its state, its progress and its speed."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from marjoramgrade.stepjobs import TaskRef

if TYPE_CHECKING:
    from marjoramgrade.decisions.stepprogress import StepProgress

# The speed of a run is measured over at least this long: progress comes in whole
# percents, and a listing about once a second.
SPEED_WINDOW_MS = 400


class RunPhase(enum.Enum):
    """The state of one run of a task."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """One run of a task on a worker.

    Attributes:
        task: The task.
        number: Number of the run.
        worker_id: Where it runs.
        step: The step that it belongs to.
        phase: Its state.
        ordered_ms: When its start was ordered.
        running_since_ms: When the worker confirmed the start.
        percent: Its progress, 0 to 100.
        progressed_ms: When `percent` last changed.
        measured_percent: Its progress at the last measurement of its speed.
        measured_ms: When that was, or when it started.
        recent_total_ms: How long it would take at the speed last measured, or None.
        checkpoint: Its newest checkpoint, or empty.
        checkpointed_ms: When that was first seen, or 0.
        measurement: See `RunReport.measurement`.
        share: Percent of its speed that it was paced to.
        above_target_ms: Since when its latency is above its target; 0 if it is not.
        idle_since_ms: Since when a long-running task is not at work; 0 if it is.
        stop_reason: Why it is being stopped, or empty.
    """

    task: TaskRef
    number: int
    worker_id: str
    step: StepProgress
    phase: RunPhase
    ordered_ms: int
    running_since_ms: int = 0
    percent: int = 0
    progressed_ms: int = 0
    measured_percent: int = 0
    measured_ms: int = 0
    recent_total_ms: float | None = None
    checkpoint: str = ""
    checkpointed_ms: int = 0
    measurement: int = 0
    share: int = 100
    above_target_ms: int = 0
    idle_since_ms: int = 0
    stop_reason: str = ""

    def mark_started(self, now_ms: int) -> None:
        """Note that the worker has confirmed the start."""
        self.running_since_ms = self.progressed_ms = self.measured_ms = now_ms

    def record_progress(self, percent: int, now_ms: int) -> None:
        """Take over what the worker says of the progress."""
        if percent == self.percent:
            return
        self.percent, self.progressed_ms = percent, now_ms
        done, took_ms = percent - self.measured_percent, now_ms - self.measured_ms
        if done > 0 and took_ms >= SPEED_WINDOW_MS:
            self.recent_total_ms = took_ms * 100 / done
            self.measured_percent, self.measured_ms = percent, now_ms

    def change_share(self, share: int, now_ms: int) -> None:
        """Note that the run is paced, after which its speed is measured anew."""
        self.share = share
        self.progressed_ms = self.measured_ms = now_ms
        self.measured_percent, self.recent_total_ms = self.percent, None

    def predicted_total_ms(self) -> float | None:
        """Return the duration that the progress points to.

        The latest speed counts, because a worker may turn slow midway; work that gets
        only spare processor time changes its speed all the time.

        Returns:
            Milliseconds, or None if the progress is too small to tell.
        """
        if self.recent_total_ms is not None and not self.step.step.uses_spare:
            return self.recent_total_ms
        if self.percent < 5 or self.phase is RunPhase.STARTING:
            return None
        return (self.progressed_ms - self.running_since_ms) * 100 / self.percent

    def predicted_remaining_ms(self, now_ms: int) -> float | None:
        """Return how long the run still takes by that, None if unknown."""
        total_ms = self.predicted_total_ms()
        if total_ms is None:
            return None
        return total_ms * (100 - self.percent) / 100 - (now_ms - self.progressed_ms)
