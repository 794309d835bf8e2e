"""Watches runs: moves what does not get on, and keeps latency targets."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.stepactions import PaceRun, StopRun
from marjoramgrade.decisions.stepplanning import Planner
from marjoramgrade.decisions.stepprogress import SLOW_FACTOR, StepProgress
from marjoramgrade.decisions.steprun import Run, RunPhase
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepworkers import WorkerState

# A stop that brought no end within this time is sent again.
STOP_RETRY_MS = 600
# A task that may have copies gets one when its worker is silent for this long.
UNRESPONSIVE_MS = 200
# A run without any progress for this long stands still, unless its tasks are long:
# one percent of a long task takes longer.
STALL_MS = 1_200
STALL_SHARE = 0.25
# A task that was bad on this many workers takes long by itself; each move throws its
# work away.
MAX_SLOW_WORKERS = 2
# A long-running task that is not at work for this long is started elsewhere.
IDLE_MS = 2_500
# Spare work beside a task above its latency target is slowed by halves at this
# interval, and let faster again in small steps once the target is kept.
PACE_INTERVAL_MS = 500
PACE_RECOVERY_INTERVAL_MS = 2_000
PACE_STEPS = (100, 40, 0)


@attrs.define
class Supervisor:
    """Looks after the runs of one leader.

    Attributes:
        state: Jobs and workers.
        planner: Finds workers for copies.
    """

    state: StepState
    planner: Planner
    _stop_sent_ms: dict[tuple[object, int], int] = attrs.field(factory=dict)
    _paced_ms: dict[str, int] = attrs.field(factory=dict)

    def supervise(self, now_ms: int) -> None:
        """Do everything that is due."""
        for worker in self.state.worker_by_id.values():
            if worker.synced:
                self._repeat_stops(worker, now_ms)
                self._keep_latency(worker, now_ms)
        for progress in list(self.state.open_job_by_id.values()):
            for step in progress.iter_steps():
                if step.runs_by_index:
                    self._watch_step(step, now_ms)

    # Stops

    def _repeat_stops(self, worker: WorkerState, now_ms: int) -> None:
        for key, run in worker.run_by_task.items():
            is_stopping = run.phase is RunPhase.STOPPING and run.running_since_ms
            if is_stopping and self._is_stop_due(key, now_ms):
                self.state.send_stop(run)
        for key, report in worker.orphan_by_task.items():
            if self._is_stop_due(key, now_ms):
                self.state.add_action(
                    StopRun(
                        worker.worker.worker_id,
                        worker.fence,
                        report.task,
                        report.run,
                        "not_wanted",
                    )
                )

    def _is_stop_due(self, key: tuple[object, int], now_ms: int) -> bool:
        since_ms = self._stop_sent_ms.get(key)
        if since_ms is None or now_ms - since_ms >= STOP_RETRY_MS:
            self._stop_sent_ms[key] = now_ms
            return since_ms is not None
        return False

    def discard_finished_stops(self) -> None:
        """Drop what is known of stops that have taken effect."""
        present = {
            key
            for worker in self.state.worker_by_id.values()
            for key in (*worker.run_by_task, *worker.orphan_by_task)
        }
        for key in [key for key in self._stop_sent_ms if key not in present]:
            del self._stop_sent_ms[key]

    # Progress

    def _watch_step(self, step: StepProgress, now_ms: int) -> None:
        if step.job.state.is_final:
            return
        if step.step.gang:
            self._watch_gang(step)
            return
        usual_ms = step.usual_duration_ms()
        for run in list(step.iter_runs()):
            if run.phase is not RunPhase.RUNNING:
                continue
            worker = self.state.worker_by_id.get(run.worker_id)
            if worker is None:
                continue
            if not worker.synced:
                self._copy_unreachable(run, worker, now_ms)
            elif worker.worker.draining:
                self._leave(run, worker)
            elif step.step.long_running:
                self._watch_long_running(run, worker, now_ms)
            else:
                self._watch_progress(run, worker, usual_ms, now_ms)

    def _copy_unreachable(self, run: Run, worker: WorkerState, now_ms: int) -> None:
        """Start a copy, where that is allowed, of a task on a silent worker."""
        step, index = run.step, run.task.index
        is_silent = (
            worker.unresponsive_since_ms
            and now_ms - worker.unresponsive_since_ms >= UNRESPONSIVE_MS
        )
        if not is_silent or not step.step.speculative:
            return
        if len(step.runs_by_index.get(index, ())) < 2:
            self.planner.place_task(
                step, index, self.planner.permitted(step, now_ms), now_ms
            )

    def _watch_gang(self, step: StepProgress) -> None:
        """Stop the rest of a gang that has lost a member."""
        if not step.has_waiting:
            return
        for run in list(step.iter_runs()):
            self.state.stop_run(run, "gang_lost_member")

    def _leave(self, run: Run, worker: WorkerState) -> None:
        """Take a run off a worker that is about to leave, if nothing is lost."""
        step = run.step.step
        if step.long_running or (step.checkpoints and run.checkpoint):
            self.state.stop_run(run, "worker_leaves")

    def _watch_long_running(self, run: Run, worker: WorkerState, now_ms: int) -> None:
        if run.percent >= 100:
            run.idle_since_ms = 0
            return
        if not run.idle_since_ms:
            run.idle_since_ms = now_ms
        elif now_ms - run.idle_since_ms >= IDLE_MS:
            self._move(run, worker, "not_at_work", now_ms)

    def _watch_progress(
        self, run: Run, worker: WorkerState, usual_ms: float | None, now_ms: int
    ) -> None:
        is_starved = run.step.step.uses_spare and worker.free_cpu_millis <= 0
        if run.share < 100 or is_starved:
            # It is slow because it was made to be.
            return
        if now_ms - run.progressed_ms >= self._stall_limit_ms(run, usual_ms):
            self._move(run, worker, "stands_still", now_ms)
            return
        if usual_ms is None and worker.suspicion.probing:
            # Too few tasks of the step tell; that the worker is suspect tells more.
            usual_ms = self.state.durations.average_ms(run.step.job.queue.name)
        total_ms, left_ms = run.predicted_total_ms(), run.predicted_remaining_ms(now_ms)
        if total_ms is None or left_ms is None or usual_ms is None:
            return
        if total_ms < SLOW_FACTOR * usual_ms or left_ms <= usual_ms:
            return
        bad = run.step.avoided_workers_by_index.get(run.task.index, ())
        if len(bad) < MAX_SLOW_WORKERS:
            self._move(run, worker, "slow", now_ms)

    def _stall_limit_ms(self, run: Run, usual_ms: float | None) -> float:
        """Return how long a run may show the same percentage."""
        queue = run.step.job.queue.name
        expected_ms = usual_ms or self.state.durations.expected_ms(
            queue, run.step.step.estimate_ms
        )
        return max(STALL_MS, STALL_SHARE * expected_ms)

    def _move(self, run: Run, worker: WorkerState, reason: str, now_ms: int) -> None:
        """Start a copy elsewhere, or stop the run so that it starts elsewhere."""
        step, index = run.step, run.task.index
        bad = step.avoided_workers_by_index.setdefault(index, set())
        if run.worker_id in bad:
            return
        permitted = self.planner.permitted(step, now_ms)
        others = [w for w in permitted if w.worker.worker_id != run.worker_id]
        if step.job.queue.advice is None or not step.tickets.asked_workers:
            has_place = bool(self.planner.candidates(step, index, others, now_ms))
        else:
            # The tickets may have lapsed; they are asked for again.
            has_place = len(step.tickets.ticket_by_worker) > 1
        if not has_place:
            return
        bad.add(run.worker_id)
        worker.suspicion.mark_suspect(now_ms)
        has_copy = len(step.runs_by_index.get(index, ())) > 1
        if step.step.speculative and (
            has_copy or self.planner.place_task(step, index, others, now_ms)
        ):
            return
        self.state.stop_run(run, reason)

    # Latency

    def _keep_latency(self, worker: WorkerState, now_ms: int) -> None:
        bound = [
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
        too_slow = any(
            run.percent >= 100 and run.measurement > run.step.step.latency_target_ms
            for run in bound
        )
        last_ms = self._paced_ms.get(worker.worker.worker_id, 0)
        if too_slow and now_ms - last_ms >= PACE_INTERVAL_MS:
            self._change_pace(worker, spare, 1, now_ms)
        elif not too_slow and now_ms - last_ms >= PACE_RECOVERY_INTERVAL_MS:
            self._change_pace(worker, spare, -1, now_ms)

    def _change_pace(
        self, worker: WorkerState, spare: list[Run], direction: int, now_ms: int
    ) -> None:
        for run in spare:
            position = PACE_STEPS.index(run.share) + direction
            if not 0 <= position < len(PACE_STEPS):
                if direction > 0:
                    self._leave_paused(run)
                continue
            run.change_share(PACE_STEPS[position], now_ms)
            self._paced_ms[worker.worker.worker_id] = now_ms
            self.state.add_action(
                PaceRun(
                    worker.worker.worker_id,
                    worker.fence,
                    run.task,
                    run.number,
                    run.share,
                )
            )

    def _leave_paused(self, run: Run) -> None:
        """Move spare work that a latency target has stopped entirely."""
        if not run.step.step.gang:
            self.state.stop_run(run, "latency_target")
