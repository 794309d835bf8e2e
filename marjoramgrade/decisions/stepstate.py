"""Applies events about step jobs and their runs.

Events arrive as method calls with the time as an argument; see `steptracker` for the
resulting actions.
"""

from __future__ import annotations

import math

import attrs

from marjoramgrade.decisions.stepprogress import SLOW_FACTOR, StepProgress, TaskPhase
from marjoramgrade.decisions.steprun import Run, RunPhase
from marjoramgrade.decisions.steptracker import StepTracker
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.decisions.workerspeeds.learning import record_completion
from marjoramgrade.stepjobs import (
    RunEnd,
    RunEndStatus,
    RunReport,
    StepJobState,
    TaskRef,
    WorkerListing,
)

# A run that was confirmed more than this long before a listing was requested is lost
# if the listing lacks it.
VANISHED_MARGIN_MS = 50


@attrs.define(eq=False)
class StepState(StepTracker):
    """The leader's state of step jobs and workers, updated by events."""

    def record_start_confirmed(
        self, worker_id: str, task: TaskRef, number: int, now_ms: int
    ) -> None:
        """Record that a worker has started a run."""
        run = self._find_run(worker_id, task, number)
        if run is not None:
            self._mark_started(run, now_ms)

    def record_start_refused(
        self, worker_id: str, task: TaskRef, number: int
    ) -> Run | None:
        """Remove a run that a worker has not started and never will.

        Returns:
            The removed run, or None if it is unknown or was confirmed before.
        """
        run = self._find_run(worker_id, task, number)
        if run is None or run.running_since_ms:
            return None
        self._detach(run)
        return run

    def record_start_unknown(self, worker_id: str, task: TaskRef, number: int) -> None:
        """Request a listing of a worker that may or may not have started a run."""
        run = self._find_run(worker_id, task, number)
        worker = self.worker_by_id.get(worker_id)
        if run is not None and not run.running_since_ms and worker is not None:
            self.request_sync(worker)

    def apply_listing(
        self,
        worker: WorkerState,
        listing: WorkerListing,
        fence: int,
        asked_ms: int,
        now_ms: int,
        unix_ms: int,
    ) -> None:
        """Apply a worker's listing of its runs.

        Args:
            worker: The worker.
            listing: Its runs and the ends that it has not seen acknowledged.
            fence: Fencing token of the call that returned the listing.
            asked_ms: When the call was sent.
            now_ms: Current time.
            unix_ms: Current time, in Unix time.
        """
        if listing.born_unix_ms != worker.heard_born_unix_ms:
            if asked_ms < worker.heard_ms:
                # The late response of an earlier incarnation. The time of day does not
                # tell which is the earlier one, since it can be set back.
                return
            self._record_incarnation(worker, listing.born_unix_ms, now_ms)
        worker.unresponsive_since_ms = 0
        worker.has_unanswered_call = False
        for end in listing.ended:
            if end.number > worker.last_end_number:
                worker.last_end_number = end.number
                self._apply_end(worker, end, now_ms, unix_ms)
        reported = set()
        for report in listing.running:
            reported.add((report.task, report.run))
            run = worker.run_by_task.get((report.task, report.run))
            if run is not None:
                self._apply_report(run, report, now_ms)
        if not listing.has_all_ends:
            # A run that the listing lacks may have ended. The ends behind those that it
            # holds follow once these are acknowledged.
            return
        if fence == worker.fence and not worker.synced:
            self._reconcile(worker, listing.running, now_ms)
        elif fence == worker.fence:
            self._mark_vanished_lost(worker, reported, asked_ms)

    def _record_incarnation(
        self, worker: WorkerState, born_unix_ms: int, now_ms: int
    ) -> None:
        """Record the first listing of an incarnation of a worker.

        A listing under a fence that earlier calls carried does not settle anything for
        a next incarnation: they may still be carried out there.
        """
        if worker.heard_born_unix_ms or born_unix_ms != worker.worker.born_unix_ms:
            self._mark_restarted(worker)
        worker.heard_born_unix_ms, worker.heard_ms = born_unix_ms, now_ms
        worker.worker = attrs.evolve(worker.worker, born_unix_ms=born_unix_ms)

    def _reconcile(
        self, worker: WorkerState, running: tuple[RunReport, ...], now_ms: int
    ) -> None:
        """Reconcile the runs of a worker; orders under lower tokens have no effect."""
        worker.synced, worker.fence_refusals = True, 0
        present = {(report.task, report.run) for report in running}
        for key, run in list(worker.run_by_task.items()):
            if key not in present:
                self.mark_run_lost(run)
            elif run.phase is RunPhase.STOPPING and run.running_since_ms:
                self.send_stop(run)
        self._remove_orphans(worker)
        for report in running:
            if (report.task, report.run) in worker.run_by_task:
                continue
            if not self._adopt(worker, report, now_ms):
                self._add_orphan(worker, report.task, report.run)

    def _adopt(self, worker: WorkerState, report: RunReport, now_ms: int) -> bool:
        """Adopt a run that an earlier leader started; return whether it was adopted."""
        progress = self.job_by_id.get(report.task.job_id)
        step = progress.step_of(report.task) if progress is not None else None
        if step is None or progress is None or progress.state.is_final:
            return False
        phase = step.phases[report.task.index]
        if phase is TaskPhase.DONE:
            return False
        if phase is TaskPhase.PLACED and not step.step.speculative:
            return False
        run = Run(
            report.task,
            report.run,
            worker.worker.worker_id,
            step,
            RunPhase.RUNNING,
            now_ms,
            is_inherited=True,
        )
        self._attach(run, worker)
        self._mark_started(run, now_ms)
        self._apply_report(run, report, now_ms)
        return True

    def _mark_vanished_lost(
        self, worker: WorkerState, reported: set[tuple[TaskRef, int]], asked_ms: int
    ) -> None:
        for key, run in list(worker.run_by_task.items()):
            confirmed_ms = run.running_since_ms
            if not confirmed_ms or key in reported:
                continue
            if confirmed_ms + VANISHED_MARGIN_MS < asked_ms:
                self.mark_run_lost(run)

    def _mark_started(self, run: Run, now_ms: int) -> None:
        if run.running_since_ms:
            return
        run.mark_started(now_ms)
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        else:
            self.send_stop(run)
        progress = run.step.job
        progress.started = True
        if progress.state is StepJobState.QUEUED:
            progress.state = progress.visible_state = StepJobState.RUNNING

    def _apply_report(self, run: Run, report: RunReport, now_ms: int) -> None:
        self._mark_started(run, now_ms)
        run.record_progress(report.percent, now_ms)
        if run.step.step.long_running and report.percent >= 100:
            self._record_at_work(run)
        if report.checkpoint and report.checkpoint != run.checkpoint:
            run.checkpoint, run.checkpointed_ms = report.checkpoint, now_ms
            run.step.record_checkpoint(run.task.index, report.checkpoint)
        run.measurement = report.measurement

    def _record_at_work(self, run: Run) -> None:
        """Trust a worker again whose probe is long-running and has got to work."""
        suspicion = self.worker_by_id[run.worker_id].suspicion
        if suspicion.probing and run.ordered_ms >= suspicion.suspected_ms:
            suspicion.record_success()

    def _apply_end(
        self, worker: WorkerState, end: RunEnd, now_ms: int, unix_ms: int
    ) -> None:
        self._remove_orphan(worker, (end.task, end.run))
        run = worker.run_by_task.get((end.task, end.run))
        progress = self.job_by_id.get(end.task.job_id)
        step = progress.step_of(end.task) if progress is not None else None
        if step is None or progress is None:
            return
        step.record_checkpoint(end.task.index, end.checkpoint)
        if run is not None:
            self._record_result(worker, run, end.ending, now_ms)
            self._detach(run)
        if progress.state.is_final:
            return
        progress.started = True
        if end.ending is RunEndStatus.DONE and not step.step.long_running:
            self._mark_task_done(step, end.task.index, unix_ms)
        elif end.ending is RunEndStatus.FAILED:
            step.avoided_workers_by_index.setdefault(end.task.index, set()).add(
                worker.worker.worker_id
            )
            self._record_task_failure(step, end, unix_ms)
        elif step.step.checkpoints and end.checkpoint:
            self._changed_job_by_id[progress.job.job_id] = progress

    def _record_result(
        self, worker: WorkerState, run: Run, ending: RunEndStatus, now_ms: int
    ) -> None:
        if ending is RunEndStatus.DONE:
            duration_ms = now_ms - run.running_since_ms if run.running_since_ms else 0
            near_ms = duration_ms / run.place_factor
            if near_ms >= SLOW_FACTOR * self._expected_ms(run.step):
                worker.suspicion.record_straggler(run.task.job_id, now_ms)
            else:
                worker.suspicion.record_success()
            is_whole = not run.is_inherited
            if duration_ms and is_whole and not run.step.checkpoint_of(run.task.index):
                record_completion(run, worker, duration_ms, self.worker_by_id)
                run.step.done_durations.append(round(near_ms))
                self.durations.add(run.step.job.queue.name, near_ms)
        elif ending is RunEndStatus.FAILED:
            worker.suspicion.record_failure(run.task.job_id, now_ms)

    def _expected_ms(self, step: StepProgress) -> float:
        """Return the expected duration of a task, or infinity if none is known."""
        usual_ms = step.usual_duration_ms()
        if usual_ms is None:
            usual_ms = self.durations.average_ms(step.job.queue.name)
        return math.inf if usual_ms is None else usual_ms

    def _mark_task_done(self, step: StepProgress, index: int, unix_ms: int) -> None:
        step.mark_done(index)
        for other_run in list(step.runs_by_index.get(index, ())):
            self.stop_run(other_run, "copy_was_done")
        progress = step.job
        self._changed_job_by_id[progress.job.job_id] = progress
        progress.close_done_occurrences()
        if progress.all_done:
            self.finish_job(progress, StepJobState.COMPLETED, unix_ms)

    def _record_task_failure(
        self, step: StepProgress, end: RunEnd, unix_ms: int
    ) -> None:
        step.record_failure(end.task.index, end.run)
        progress = step.job
        if step.step.long_running:
            return
        self._changed_job_by_id[progress.job.job_id] = progress
        if step.failures_of(end.task.index) >= max(progress.queue.attempts, 1):
            self.finish_job(progress, StepJobState.FAILED, unix_ms)
