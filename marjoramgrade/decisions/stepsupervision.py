"""Supervises runs: moves stalled and slow ones and enforces latency targets."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.stepactions import PaceRun
from marjoramgrade.decisions.stepplanning import Planner
from marjoramgrade.decisions.stepprogress import SLOW_FACTOR, StepProgress
from marjoramgrade.decisions.steprun import Run, RunPhase
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepworkers import WorkerState

# A stop is sent again if the run has not ended within this time.
STOP_RETRY_MS = 600
# A task that allows speculative copies gets one once its worker has been
# unresponsive for this long.
UNRESPONSIVE_MS = 200
# A run without any progress for this long, and for this share of its expected
# duration, is stalled: one percent of a long task takes longer.
STALL_MS = 1_200
STALL_SHARE = 0.25
# A task that stalled or was slow on this many workers is assumed to be long and is
# not moved for slowness again, since each move discards its work.
MAX_SLOW_WORKERS = 2
# A long-running task that is idle for this long is restarted on another worker.
IDLE_MS = 2_500
# Best-effort work beside a task above its latency target is slowed by one pace step
# per interval, and sped up by one step per recovery interval once the target is met.
# The steps are percentages of full speed.
PACE_INTERVAL_MS = 500
PACE_RECOVERY_INTERVAL_MS = 2_000
PACE_STEPS = (100, 40, 0)


@attrs.define
class Supervisor:
    """Supervises the runs of one leader.

    Attributes:
        state: Jobs and workers.
        planner: Finds workers for speculative copies and moved runs.
    """

    state: StepState
    planner: Planner
    _stop_sent_ms_by_run: dict[tuple[object, int], int] = attrs.field(factory=dict)
    _paced_ms_by_worker: dict[str, int] = attrs.field(factory=dict)

    def supervise(self, now_ms: int) -> None:
        """Repeat stops, adjust paces and move runs where needed."""
        for worker in self.state.worker_by_id.values():
            if worker.synced:
                self._stop_unwanted(worker)
                self._repeat_stops(worker, now_ms)
                self._enforce_latency_targets(worker, now_ms)
        for progress in list(self.state.open_job_by_id.values()):
            for step in progress.iter_steps():
                if step.runs_by_index:
                    self._supervise_step(step, now_ms)

    # Stops

    def _stop_unwanted(self, worker: WorkerState) -> None:
        """Stop the runs that must not go on, whatever became of earlier stops."""
        for run in worker.run_by_task.values():
            if reason := self.state.stop_reason_of(run):
                self.state.stop_run(run, reason)

    def _repeat_stops(self, worker: WorkerState, now_ms: int) -> None:
        for key, run in worker.run_by_task.items():
            is_stopping = run.phase is RunPhase.STOPPING and run.running_since_ms
            if is_stopping and self._is_stop_due(key, now_ms):
                self.state.send_stop(run)
        for key, orphan in worker.orphan_by_task.items():
            if self._is_stop_due(key, now_ms):
                self.state.send_orphan_stop(worker, orphan)

    def _is_stop_due(self, key: tuple[object, int], now_ms: int) -> bool:
        """Return whether to repeat a stop; the first call only records the time."""
        since_ms = self._stop_sent_ms_by_run.get(key)
        if since_ms is None or now_ms - since_ms >= STOP_RETRY_MS:
            self._stop_sent_ms_by_run[key] = now_ms
            return since_ms is not None
        return False

    def discard_finished_stops(self) -> None:
        """Discard the send times of stops that have taken effect."""
        present = {
            key
            for worker in self.state.worker_by_id.values()
            for key in (*worker.run_by_task, *worker.orphan_by_task)
        }
        for key in [key for key in self._stop_sent_ms_by_run if key not in present]:
            del self._stop_sent_ms_by_run[key]

    # Progress

    def _supervise_step(self, step: StepProgress, now_ms: int) -> None:
        if step.job.state.is_final:
            return
        if step.step.gang:
            self._stop_incomplete_gang(step)
            return
        usual_ms = step.usual_duration_ms()
        for run in list(step.iter_runs()):
            if run.phase is not RunPhase.RUNNING:
                continue
            worker = self.state.worker_by_id.get(run.worker_id)
            if worker is None:
                continue
            if not worker.synced:
                self._start_copy_if_unresponsive(run, worker, now_ms)
            elif worker.worker.draining:
                self._stop_on_draining(run, worker)
            elif step.step.long_running:
                self._check_long_running(run, worker, now_ms)
            else:
                self._check_progress(run, worker, usual_ms, now_ms)

    def _start_copy_if_unresponsive(
        self, run: Run, worker: WorkerState, now_ms: int
    ) -> None:
        """Start a speculative copy, if allowed, of a run on an unresponsive worker."""
        step, index = run.step, run.task.index
        is_unresponsive = (
            worker.unresponsive_since_ms
            and now_ms - worker.unresponsive_since_ms >= UNRESPONSIVE_MS
        )
        if not is_unresponsive or not step.step.speculative:
            return
        if len(step.runs_by_index.get(index, ())) < 2:
            self.planner.place_task(
                step, index, self.planner.permitted(step, now_ms), now_ms
            )

    def _stop_incomplete_gang(self, step: StepProgress) -> None:
        """Stop the remaining runs of a gang that has lost a member."""
        if not step.has_waiting:
            return
        for run in list(step.iter_runs()):
            self.state.stop_run(run, "gang_lost_member")

    def _stop_on_draining(self, run: Run, worker: WorkerState) -> None:
        """Stop a run on a draining worker if it is long-running or has a checkpoint."""
        step = run.step.step
        if step.long_running or (step.checkpoints and run.checkpoint):
            self.state.stop_run(run, "worker_leaves")

    def _check_long_running(self, run: Run, worker: WorkerState, now_ms: int) -> None:
        if run.percent >= 100:
            run.idle_since_observed_ms = None
        elif run.idle_since_observed_ms is None:
            run.idle_since_observed_ms = run.observed_ms
        elif run.idle_ms >= IDLE_MS:
            self._move(run, worker, "not_at_work", now_ms)

    def _check_progress(
        self, run: Run, worker: WorkerState, usual_ms: float | None, now_ms: int
    ) -> None:
        is_starved = run.step.step.uses_spare and worker.free_cpu_millis <= 0
        if run.share < 100 or is_starved:
            # The run is slow because it is throttled or starved of processor time.
            return
        if run.stalled_ms >= self._stall_limit_ms(run, usual_ms):
            self._move(run, worker, "stands_still", now_ms)
            return
        if usual_ms is None and worker.suspicion.probing:
            # Too few durations of the step are known; on a suspect worker, the
            # average of the queue is used instead.
            usual_ms = self.state.durations.average_ms(run.step.job.queue.name)
        if usual_ms is not None:
            usual_ms *= run.place_factor
        total_ms, left_ms = run.observed_total_ms(), run.predicted_remaining_ms(now_ms)
        if total_ms is None or left_ms is None or usual_ms is None:
            return
        if total_ms < SLOW_FACTOR * usual_ms or left_ms <= usual_ms:
            return
        avoided = run.step.avoided_workers_by_index.get(run.task.index, ())
        if len(avoided) < MAX_SLOW_WORKERS:
            self._move(run, worker, "slow", now_ms)

    def _stall_limit_ms(self, run: Run, usual_ms: float | None) -> float:
        """Return how long a run may stay at the same percentage."""
        queue = run.step.job.queue.name
        expected_ms = usual_ms or self.state.durations.expected_ms(
            queue, run.step.step.estimate_ms
        )
        return max(STALL_MS, STALL_SHARE * expected_ms * run.place_factor)

    def _move(self, run: Run, worker: WorkerState, reason: str, now_ms: int) -> None:
        """Start a copy on another worker, or stop the run so that it can restart."""
        step, index = run.step, run.task.index
        avoided = step.avoided_workers_by_index.setdefault(index, set())
        if run.worker_id in avoided:
            return
        permitted = self.planner.permitted(step, now_ms)
        others = [w for w in permitted if w.worker.worker_id != run.worker_id]
        if step.job.queue.advice is None or not step.tickets.asked_workers:
            has_alternative = bool(self.planner.candidates(step, index, others, now_ms))
        else:
            # The tickets may have expired; the next plan requests new ones.
            has_alternative = len(step.tickets.ticket_by_worker) > 1
        if not has_alternative:
            return
        avoided.add(run.worker_id)
        worker.suspicion.mark_suspect(now_ms)
        has_copy = len(step.runs_by_index.get(index, ())) > 1
        if step.step.speculative and (
            has_copy or self.planner.place_task(step, index, others, now_ms)
        ):
            return
        self.state.stop_run(run, reason)

    # Latency

    def _enforce_latency_targets(self, worker: WorkerState, now_ms: int) -> None:
        latency_bound = [
            run
            for run in worker.run_by_task.values()
            if run.step.step.latency_target_ms and run.phase is RunPhase.RUNNING
        ]
        spare = [
            run
            for run in worker.run_by_task.values()
            if run.step.step.uses_spare and run.phase is RunPhase.RUNNING
        ]
        if not spare:
            return
        is_above_target = any(
            run.percent >= 100 and run.measurement > run.step.step.latency_target_ms
            for run in latency_bound
        )
        last_ms = self._paced_ms_by_worker.get(worker.worker.worker_id, 0)
        if is_above_target and now_ms - last_ms >= PACE_INTERVAL_MS:
            self._change_pace(worker, spare, 1, now_ms)
        elif not is_above_target and now_ms - last_ms >= PACE_RECOVERY_INTERVAL_MS:
            self._change_pace(worker, spare, -1, now_ms)

    def _change_pace(
        self, worker: WorkerState, spare: list[Run], direction: int, now_ms: int
    ) -> None:
        """Slow (direction 1) or speed up (-1) best-effort runs by one pace step."""
        for run in spare:
            position = PACE_STEPS.index(run.share) + direction
            if not 0 <= position < len(PACE_STEPS):
                if direction > 0:
                    self._stop_paused(run)
                continue
            run.change_share(PACE_STEPS[position], now_ms)
            self._paced_ms_by_worker[worker.worker.worker_id] = now_ms
            self.state.add_action(
                PaceRun(
                    worker.worker.worker_id,
                    worker.fence,
                    run.task,
                    run.number,
                    run.share,
                )
            )

    def _stop_paused(self, run: Run) -> None:
        """Stop a best-effort run that a latency target has paused entirely."""
        if not run.step.step.gang:
            self.state.stop_run(run, "latency_target")
