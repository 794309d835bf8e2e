"""One run of a task on a worker: its state, its progress and its speed."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from marjoramgrade.stepjobs import TaskRef

if TYPE_CHECKING:
    from marjoramgrade.decisions.stepprogress import StepProgress

# Shortest interval over which the speed of a run is measured: progress is reported in
# whole percents, in a listing about once a second.
SPEED_WINDOW_MS = 400
# Workers report about every 0.6 s, and two reports may be lost. What lies between
# reports that are further apart does not count against a run: its worker may have been
# paused, or silent while the run was at work.
MAX_REPORT_GAP_MS = 2_000


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
        worker_id: Worker of the run.
        step: The step that the task belongs to.
        phase: State of the run.
        ordered_ms: When the start was ordered.
        running_since_ms: When the start was confirmed, or 0.
        percent: Progress, 0 to 100.
        progressed_ms: When `percent` or `share` last changed.
        reported_ms: When the worker last reported the run.
        observed_ms: Time that the worker's reports cover; silences do not count.
        progressed_observed_ms: `observed_ms` when `percent` or `share` last changed.
        measured_percent: Progress at the last measurement of the speed.
        measured_ms: When the speed was last measured, the run started or `share`
            changed.
        recent_total_ms: Total duration at the speed last measured, or None.
        checkpoint: Newest checkpoint, or empty.
        checkpointed_ms: When `checkpoint` was first reported, or 0.
        measurement: See `RunReport.measurement`.
        share: Percentage of its full speed that the run is limited to; see `PaceRun`.
        above_target_ms: Time since which the latency exceeds its target, or 0.
        idle_since_observed_ms: `observed_ms` when a long-running task first reported
            that it does no work, or None while it is at work.
        stop_reason: Why the run is being stopped, or empty.
        counts_as_urgent: Whether it counts towards the urgent use of its team.
        is_inherited: Whether an earlier leader started it. When it started is unknown
            then, and `running_since_ms` is the time of the first listing that has it.
        place_factor: How many times as long the run takes because it is not on the rack
            of its data.
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
    reported_ms: int = 0
    observed_ms: int = 0
    progressed_observed_ms: int = 0
    measured_percent: int = 0
    measured_ms: int = 0
    recent_total_ms: float | None = None
    checkpoint: str = ""
    checkpointed_ms: int = 0
    measurement: int = 0
    share: int = 100
    above_target_ms: int = 0
    idle_since_observed_ms: int | None = None
    stop_reason: str = ""
    counts_as_urgent: bool = False
    is_inherited: bool = False
    place_factor: float = 1.0

    def mark_started(self, now_ms: int) -> None:
        """Record the confirmation of the start."""
        self.running_since_ms = self.progressed_ms = self.measured_ms = now_ms
        self.reported_ms = now_ms

    def record_progress(self, percent: int, now_ms: int) -> None:
        """Record reported progress and measure the speed."""
        gap_ms = now_ms - self.reported_ms
        self.reported_ms = now_ms
        if gap_ms > MAX_REPORT_GAP_MS:
            self.measured_percent, self.measured_ms = percent, now_ms
        else:
            self.observed_ms += gap_ms
        if percent == self.percent:
            return
        if self.is_inherited and not self.percent:
            # The progress before the first report took an unknown time.
            self.measured_percent, self.measured_ms = percent, now_ms
        self.percent, self.progressed_ms = percent, now_ms
        self.progressed_observed_ms = self.observed_ms
        done, took_ms = percent - self.measured_percent, now_ms - self.measured_ms
        if done > 0 and took_ms >= SPEED_WINDOW_MS:
            self.recent_total_ms = took_ms * 100 / done
            self.measured_percent, self.measured_ms = percent, now_ms

    @property
    def stalled_ms(self) -> int:
        """Time over which the worker has reported no progress, without silences."""
        return self.observed_ms - self.progressed_observed_ms

    @property
    def idle_ms(self) -> int:
        """Time over which a long-running task has reported that it does no work."""
        if self.idle_since_observed_ms is None:
            return 0
        return self.observed_ms - self.idle_since_observed_ms

    def change_share(self, share: int, now_ms: int) -> None:
        """Record a new limit of the speed and restart the measurement of the speed."""
        self.share = share
        self.progressed_ms = self.measured_ms = now_ms
        self.progressed_observed_ms = self.observed_ms
        self.measured_percent, self.recent_total_ms = self.percent, None

    def unsaved_ms(self, now_ms: int) -> int:
        """Return the time at work since the last checkpoint, which a stop loses."""
        saved_ms = self.checkpointed_ms if self.step.step.checkpoints else 0
        return now_ms - max(saved_ms, self.running_since_ms)

    def predicted_total_ms(self) -> float | None:
        """Return the total duration predicted from the progress.

        Uses the speed last measured, because a worker may become slow during a run.
        Best-effort runs use the average since their start instead, because their speed
        changes constantly with the spare processor time.

        Returns:
            Milliseconds, or None if there is too little progress for a prediction.
        """
        if self.recent_total_ms is not None and not self.step.step.uses_spare:
            return self.recent_total_ms
        is_unmeasured = self.percent < 5 or self.is_inherited
        if is_unmeasured or self.phase is RunPhase.STARTING:
            return None
        return (self.progressed_ms - self.running_since_ms) * 100 / self.percent

    def observed_total_ms(self) -> float | None:
        """Return the total duration at the speed that the worker's reports show.

        Unlike the prediction it leaves out silences, in which the run may have stood
        still because its worker was paused.

        Returns:
            Milliseconds, or None if too little was reported.
        """
        if self.recent_total_ms is not None and not self.step.step.uses_spare:
            return self.recent_total_ms
        is_unmeasured = self.percent < 5 or self.is_inherited
        if is_unmeasured or not self.progressed_observed_ms:
            return None
        return self.progressed_observed_ms * 100 / self.percent

    def predicted_remaining_ms(self, now_ms: int) -> float | None:
        """Return the predicted remaining duration, or None if unknown."""
        total_ms = self.predicted_total_ms()
        if total_ms is None:
            return None
        return total_ms * (100 - self.percent) / 100 - (now_ms - self.progressed_ms)
