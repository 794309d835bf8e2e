"""Everything the leader knows of jobs of steps and of the workers that run them.

Events come in as calls with the time as an argument; what must be done goes out
through `take_actions`, and the jobs whose lasting part changed through
`take_changed`.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from marjoramgrade.decisions.durations import Durations
from marjoramgrade.decisions.stepfleet import WorkerState
from marjoramgrade.decisions.steporders import (
    StartRun,
    StepAction,
    StopRun,
    SyncWorker,
)
from marjoramgrade.decisions.stepprogress import (
    JobProgress,
    JobRecord,
    Run,
    RunPhase,
    StepProgress,
    TaskPhase,
)
from marjoramgrade.decisions.teamusage import TeamUsage
from marjoramgrade.stepconfig import Queue, StepConfig
from marjoramgrade.stepjobs import (
    Ending,
    RunEnd,
    RunReport,
    StartOrder,
    StepJob,
    StepJobState,
    StepWorker,
    TaskRef,
    WorkerListing,
)

# Run numbers and fences of one leadership lie below those of the next.
RUNS_PER_EPOCH = 1_000
FENCES_PER_EPOCH = 10_000
# A run that was confirmed this long before a listing was asked for must be in it.
VANISHED_MARGIN_MS = 50


@attrs.define(eq=False)
class StepState:
    """Jobs, workers, teams and the actions that are due.

    Attributes:
        epoch: Number of this leadership; rises with each takeover.
        config: The configuration in force.
        evacuated_zones: Zones whose workers are to get nothing.
        job_by_id: All jobs that are kept.
        worker_by_id: All workers that are known.
        usage: What teams have running.
        durations: How long tasks take, by queue.
    """

    epoch: int
    config: StepConfig = attrs.field(factory=StepConfig)
    evacuated_zones: frozenset[str] = frozenset()
    job_by_id: dict[str, JobProgress] = attrs.field(factory=dict)
    open_by_id: dict[str, JobProgress] = attrs.field(factory=dict)
    worker_by_id: dict[str, WorkerState] = attrs.field(factory=dict)
    usage: TeamUsage = attrs.field(factory=TeamUsage)
    durations: Durations = attrs.field(factory=Durations)
    _actions: list[StepAction] = attrs.field(factory=list)
    _changed: dict[str, JobProgress] = attrs.field(factory=dict)

    @property
    def first_fence(self) -> int:
        """The lowest fence of this leadership."""
        return self.epoch * FENCES_PER_EPOCH

    def take_actions(self) -> list[StepAction]:
        """Return what must be done since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def take_changed(self) -> list[JobProgress]:
        """Return the jobs whose lasting part changed since the last call."""
        changed, self._changed = list(self._changed.values()), {}
        return changed

    def act(self, action: StepAction) -> None:
        """Ask for something to be done."""
        self._actions.append(action)

    # Jobs

    def add_job(self, job: StepJob, queue: Queue, now_ms: int) -> JobProgress:
        """Take a new job.

        Its runs are planned at once. They leave once their places are stored, and so
        after the job itself, whose row is written before.
        """
        progress = JobProgress(job, queue, now_ms)
        progress.beyond_weight = self.usage.is_beyond_weight(
            self.config.team_by_name.get(job.team), now_ms
        )
        self._keep(progress)
        return progress

    def restore_job(
        self, job: StepJob, queue: Queue, record: JobRecord, now_ms: int, unix_ms: int
    ) -> JobProgress:
        """Take a job over from an earlier leader.

        The workers of its runs must have been added before.
        """
        age_ms = max(unix_ms - job.accepted_unix_ms, 0)
        progress = JobProgress(job, queue, now_ms - age_ms)
        for step, placed in progress.restore(record):
            worker = self.worker_by_id.get(placed.worker_id)
            if worker is not None:
                task = step.task(placed.index)
                run = Run(
                    task, placed.run, placed.worker_id, step, RunPhase.STARTING, now_ms
                )
                # The listing of the worker tells whether the run is present.
                self._attach(run, worker)
        self._keep(progress)
        return progress

    def drop_job(self, job_id: str) -> None:
        """Forget a job and the runs that were never sent."""
        progress = self.job_by_id.pop(job_id, None)
        if progress is not None:
            for step in progress.iter_steps():
                for run in list(step.iter_runs()):
                    self._detach(run)
        self.open_by_id.pop(job_id, None)
        self._changed.pop(job_id, None)

    def cancel_job(self, progress: JobProgress, unix_ms: int) -> None:
        """End a job that callers no longer want."""
        self.finish_job(progress, StepJobState.CANCELLED, unix_ms)

    def finish_job(
        self, progress: JobProgress, state: StepJobState, unix_ms: int
    ) -> None:
        """Bring a job to a final state and stop its runs."""
        if progress.state.is_final:
            return
        progress.state = state
        progress.ended_unix_ms = unix_ms
        self._changed[progress.job.job_id] = progress
        for step in progress.iter_steps():
            if state is StepJobState.COMPLETED and step.step.gang:
                # The members of a gang end together; each worker lists its own.
                continue
            for run in list(step.iter_runs()):
                self.stop_run(run, f"job_{state.value}")
        self._settle_job(progress)

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue have been taken and not started."""
        return sum(
            1
            for progress in self.open_by_id.values()
            if progress.queue.name == queue
            and not progress.started
            and not progress.job.schedule.times
        )

    def _keep(self, progress: JobProgress) -> None:
        self.job_by_id[progress.job.job_id] = progress
        if not progress.state.is_final:
            self.open_by_id[progress.job.job_id] = progress

    def _settle_job(self, progress: JobProgress) -> None:
        if progress.state.is_final and not any(
            step.runs_by_index for step in progress.iter_steps()
        ):
            self.open_by_id.pop(progress.job.job_id, None)

    # Workers

    def set_workers(self, listed: Iterable[StepWorker]) -> None:
        """Take over the platform's list of workers."""
        listed_by_id = {worker.worker_id: worker for worker in listed}
        for known in self.worker_by_id.values():
            known.listed = known.worker.worker_id in listed_by_id
        for worker_id, worker in listed_by_id.items():
            state = self.worker_by_id.get(worker_id)
            if state is None:
                self.add_worker(worker)
            elif worker.born_unix_ms >= state.worker.born_unix_ms:
                if worker.born_unix_ms != state.worker.born_unix_ms:
                    self._reborn(state)
                state.worker = worker

    def add_worker(self, worker: StepWorker) -> WorkerState:
        """Start to use a worker; it gets work once it is listed in sync."""
        state = WorkerState(worker, fence=self.first_fence)
        self.worker_by_id[worker.worker_id] = state
        self.act(SyncWorker(worker.worker_id, state.fence))
        return state

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker that has left; it must have no runs."""
        del self.worker_by_id[worker_id]

    def request_sync(self, worker: WorkerState) -> None:
        """Raise the fence of a worker, so that unanswered orders have no effect."""
        worker.fence += 1
        worker.synced = False
        self.act(SyncWorker(worker.worker.worker_id, worker.fence))

    def _reborn(self, worker: WorkerState) -> None:
        """Note that a worker started again: nothing of before is left on it."""
        for run in list(worker.run_by_task.values()):
            self.lose_run(run)
        worker.stray_by_task.clear()
        worker.last_end = 0
        if worker.synced:
            self.request_sync(worker)

    def expire_worker(self, worker: WorkerState) -> None:
        """Note that all leases on a silent worker have surely run out."""
        for run in list(worker.run_by_task.values()):
            self.lose_run(run)
        worker.stray_by_task.clear()

    # Runs

    def place(
        self, step: StepProgress, index: int, worker: WorkerState, run: int, now_ms: int
    ) -> Run:
        """Order the start of a task."""
        worker_id = worker.worker.worker_id
        task = step.task(index)
        checkpoint = step.checkpoint_of(index)
        ticket = step.tickets.ticket_for(worker_id, worker.worker.born_unix_ms, now_ms)
        new = Run(task, run, worker_id, step, RunPhase.STARTING, now_ms)
        self._attach(new, worker)
        # The store must know the place before the worker does, so that a successor
        # knows which tasks a worker that it cannot reach may run.
        self._changed[task.job_id] = step.job
        self.act(
            StartRun(
                worker_id,
                worker.fence,
                StartOrder(
                    task,
                    run,
                    step.job.job.payload,
                    checkpoint,
                    ticket.text if ticket is not None else "",
                ),
            )
        )
        return new

    def next_run(self, step: StepProgress, index: int) -> int:
        """Return a run number that no earlier leader can have used."""
        first = (self.epoch - 1) * RUNS_PER_EPOCH
        indexes = range(step.step.count) if step.step.gang else (index,)
        return 1 + max(
            first, *(step.last_run_by_index.get(other, 0) for other in indexes)
        )

    def stop_run(self, run: Run, reason: str) -> None:
        """Order the stop of a run; its room is given back when its end is listed."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.stop_reason = reason
        # A start that is on its way could overtake the stop, so the stop waits
        # for its answer.
        if run.running_since_ms:
            self.send_stop(run)

    def send_stop(self, run: Run) -> None:
        """Send the stop of a run, once more if its answer was lost.

        A worker that does not answer gets its stops when it is listed in sync.
        """
        worker = self.worker_by_id.get(run.worker_id)
        if worker is not None and worker.synced:
            self.act(
                StopRun(
                    run.worker_id, worker.fence, run.task, run.number, run.stop_reason
                )
            )

    def lose_run(self, run: Run) -> None:
        """Note that a run is gone and told nothing; its task waits again."""
        run.step.keep_checkpoint(run.task.index, run.checkpoint)
        self._detach(run)

    def _attach(self, run: Run, worker: WorkerState) -> None:
        worker.add(run)
        run.step.add_run(run)
        if run.step.step.same_rack:
            run.step.rack_in_use = worker.worker.rack
        self.usage.add(run.step.job.job.team, run.step.step.resources)

    def _detach(self, run: Run) -> None:
        worker = self.worker_by_id.get(run.worker_id)
        if worker is not None and (run.task, run.number) in worker.run_by_task:
            worker.remove(run)
            self.usage.remove(run.step.job.job.team, run.step.step.resources)
        run.step.drop_run(run)
        if not run.step.runs_by_index:
            run.step.rack_in_use = ""
        self._settle_job(run.step.job)

    # What workers say

    def start_confirmed(
        self, worker_id: str, task: TaskRef, number: int, now_ms: int
    ) -> None:
        """Note that a worker has begun a run."""
        run = self._run(worker_id, task, number)
        if run is not None:
            self._begin(run, now_ms)

    def start_refused(self, worker_id: str, task: TaskRef, number: int) -> Run | None:
        """Note that a worker did not begin a run and never will."""
        run = self._run(worker_id, task, number)
        if run is None or run.running_since_ms:
            return None
        self._detach(run)
        return run

    def start_unknown(self, worker_id: str, task: TaskRef, number: int) -> None:
        """Note that nobody knows whether a worker begins a run."""
        run = self._run(worker_id, task, number)
        worker = self.worker_by_id.get(worker_id)
        if run is not None and not run.running_since_ms and worker is not None:
            self.request_sync(worker)

    def listed(
        self,
        worker: WorkerState,
        listing: WorkerListing,
        fence: int,
        asked_ms: int,
        now_ms: int,
        unix_ms: int,
    ) -> None:
        """Take over what a worker says of its runs.

        Args:
            worker: The worker.
            listing: Its runs and the ends that were not acknowledged.
            fence: Fence of the call that it answers.
            asked_ms: When the call was sent.
            now_ms: The time.
            unix_ms: The time of day.
        """
        if listing.born_unix_ms < worker.worker.born_unix_ms:
            return
        if listing.born_unix_ms != worker.worker.born_unix_ms:
            self._reborn(worker)
            worker.worker = attrs.evolve(
                worker.worker, born_unix_ms=listing.born_unix_ms
            )
        worker.silent_since_ms = 0
        for end in listing.ended:
            if end.number > worker.last_end:
                worker.last_end = end.number
                self._ended(worker, end, now_ms, unix_ms)
        reported = set()
        for report in listing.running:
            reported.add((report.task, report.run))
            run = worker.run_by_task.get((report.task, report.run))
            if run is not None:
                self._progressed(run, report, now_ms)
        if fence == worker.fence and not worker.synced:
            self._synchronise(worker, listing.running, now_ms)
        elif fence == worker.fence:
            self._drop_vanished(worker, reported, asked_ms)

    def _synchronise(
        self, worker: WorkerState, running: tuple[RunReport, ...], now_ms: int
    ) -> None:
        """Settle what a worker runs; orders under lower fences have no effect."""
        worker.synced = True
        present = {(report.task, report.run) for report in running}
        for key, run in list(worker.run_by_task.items()):
            if key not in present:
                self.lose_run(run)
            elif run.phase is RunPhase.STOPPING and run.running_since_ms:
                self.send_stop(run)
        worker.stray_by_task = {}
        for report in running:
            key = (report.task, report.run)
            if key in worker.run_by_task:
                continue
            if not self._adopt(worker, report, now_ms):
                worker.stray_by_task[key] = report
                self.act(
                    StopRun(
                        worker.worker.worker_id,
                        worker.fence,
                        report.task,
                        report.run,
                        "not_wanted",
                    )
                )

    def _adopt(self, worker: WorkerState, report: RunReport, now_ms: int) -> bool:
        """Take over a run that an earlier leader has started."""
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
        )
        self._attach(run, worker)
        self._begin(run, now_ms)
        self._progressed(run, report, now_ms)
        return True

    def _drop_vanished(
        self, worker: WorkerState, reported: set[tuple[TaskRef, int]], asked_ms: int
    ) -> None:
        for key, run in list(worker.run_by_task.items()):
            confirmed_ms = run.running_since_ms
            if not confirmed_ms or key in reported:
                continue
            if confirmed_ms + VANISHED_MARGIN_MS < asked_ms:
                self.lose_run(run)

    def _begin(self, run: Run, now_ms: int) -> None:
        if run.running_since_ms:
            return
        run.running_since_ms = run.progressed_ms = now_ms
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        else:
            self.send_stop(run)
        progress = run.step.job
        progress.started = True
        if progress.state is StepJobState.QUEUED:
            progress.state = progress.shown_state = StepJobState.RUNNING

    def _progressed(self, run: Run, report: RunReport, now_ms: int) -> None:
        self._begin(run, now_ms)
        if report.percent != run.percent:
            run.percent = report.percent
            run.progressed_ms = now_ms
        if report.checkpoint and report.checkpoint != run.checkpoint:
            run.checkpoint, run.checkpointed_ms = report.checkpoint, now_ms
            run.step.keep_checkpoint(run.task.index, report.checkpoint)
        run.figure = report.figure

    def _ended(
        self, worker: WorkerState, end: RunEnd, now_ms: int, unix_ms: int
    ) -> None:
        worker.stray_by_task.pop((end.task, end.run), None)
        run = worker.run_by_task.get((end.task, end.run))
        progress = self.job_by_id.get(end.task.job_id)
        step = progress.step_of(end.task) if progress is not None else None
        if step is None or progress is None:
            return
        step.keep_checkpoint(end.task.index, end.checkpoint)
        if run is not None:
            self._learn(worker, run, end.ending, now_ms)
            self._detach(run)
        if progress.state.is_final:
            return
        progress.started = True
        if end.ending is Ending.DONE and not step.step.long_running:
            self._task_done(step, end.task.index, unix_ms)
        elif end.ending is Ending.FAILED:
            step.bad_workers_by_index.setdefault(end.task.index, set()).add(
                worker.worker.worker_id
            )
            self._task_failed(step, end, unix_ms)
        elif step.step.checkpoints and end.checkpoint:
            self._changed[progress.job.job_id] = progress

    def _learn(
        self, worker: WorkerState, run: Run, ending: Ending, now_ms: int
    ) -> None:
        if ending is Ending.DONE:
            worker.suspicion.succeeded()
            if run.running_since_ms and not run.step.checkpoint_of(run.task.index):
                duration_ms = now_ms - run.running_since_ms
                run.step.done_durations.append(duration_ms)
                self.durations.add(run.step.job.queue.name, duration_ms)
        elif ending is Ending.FAILED:
            worker.suspicion.failed(run.task.job_id, now_ms)

    def _task_done(self, step: StepProgress, index: int, unix_ms: int) -> None:
        step.mark_done(index)
        for copy in list(step.runs_by_index.get(index, ())):
            self.stop_run(copy, "copy_was_done")
        progress = step.job
        self._changed[progress.job.job_id] = progress
        progress.close_done_occurrences()
        if progress.all_done:
            self.finish_job(progress, StepJobState.COMPLETED, unix_ms)

    def _task_failed(self, step: StepProgress, end: RunEnd, unix_ms: int) -> None:
        step.record_failure(end.task.index, end.run)
        progress = step.job
        if step.step.long_running:
            return
        self._changed[progress.job.job_id] = progress
        if step.failures_of(end.task.index) >= max(progress.queue.attempts, 1):
            self.finish_job(progress, StepJobState.FAILED, unix_ms)

    def _run(self, worker_id: str, task: TaskRef, number: int) -> Run | None:
        worker = self.worker_by_id.get(worker_id)
        return None if worker is None else worker.run_by_task.get((task, number))
