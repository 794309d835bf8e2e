"""Step jobs, the workers that run them, and the pending actions.

Callers fetch actions with `pop_actions` and the jobs whose persistent state changed
with `pop_changed_jobs`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

import attrs

from marjoramgrade.decisions.durations import QueueDurations
from marjoramgrade.decisions.stepactions import (
    EndLead,
    StartRun,
    StepAction,
    StopRun,
    SyncWorker,
)
from marjoramgrade.decisions.stepprogress import (
    JobProgress,
    JobRecord,
    StepProgress,
    TaskPhase,
)
from marjoramgrade.decisions.steprun import Run, RunPhase
from marjoramgrade.decisions.stepworkers import Orphan, WorkerState
from marjoramgrade.decisions.teamheadroom import URGENT_PRIORITY, TeamHeadroom
from marjoramgrade.decisions.teamusage import TeamUsage
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.stepconfig import Queue, StepConfig
from marjoramgrade.stepjobs import (
    StartOrder,
    StepJob,
    StepJobState,
    StepWorker,
    TaskRef,
)

# Sizes of the ranges of run numbers and of fencing tokens in each epoch; the ranges
# rise with the epoch and don't overlap.
RUNS_PER_EPOCH = 1_000
FENCES_PER_EPOCH = 10_000
# Workers that left come back within seconds or under another id.
MAX_REMEMBERED_FENCES = 1_000
# Bounds the raise of a token that a worker keeps refusing.
MAX_DOUBLINGS = 10


@attrs.define(eq=False)
class StepTracker:
    """Jobs, workers, resource use of teams and pending actions.

    Attributes:
        epoch: Number of the current leadership; rises with each takeover.
        config: The configuration in force.
        evacuated_zones: Zones whose workers must not get work.
        job_by_id: All jobs in memory.
        open_job_by_id: Jobs that are not final or still have runs.
        text_bytes: Memory of the texts of all jobs, in bytes.
        worker_by_id: All known workers.
        usage: Resources in use by team.
        headroom: Urgent use by team, for which a part of each limit stays free.
        durations: Average task durations by queue.
        far_factor: How many times as long a task takes off the rack of its data; 0 if
            unknown.
        fence_by_removed_worker: Last fencing tokens of the workers that were removed; a
            worker that is back may have seen them.
    """

    epoch: int
    config: StepConfig = attrs.field(factory=StepConfig)
    evacuated_zones: frozenset[str] = frozenset()
    job_by_id: dict[str, JobProgress] = attrs.field(factory=dict)
    open_job_by_id: dict[str, JobProgress] = attrs.field(factory=dict)
    text_bytes: int = 0
    worker_by_id: dict[str, WorkerState] = attrs.field(factory=dict)
    usage: TeamUsage = attrs.field(factory=TeamUsage)
    headroom: TeamHeadroom = attrs.field(factory=TeamHeadroom)
    durations: QueueDurations = attrs.field(factory=QueueDurations)
    far_factor: float = 0.0
    fence_by_removed_worker: dict[str, int] = attrs.field(factory=dict)
    _actions: list[StepAction] = attrs.field(factory=list)
    _changed_job_by_id: dict[str, JobProgress] = attrs.field(factory=dict)

    @property
    def first_fence(self) -> int:
        """The lowest fencing token of the current epoch."""
        return self.epoch * FENCES_PER_EPOCH

    @property
    def last_fence(self) -> int:
        """The highest fencing token of the current epoch."""
        return self.first_fence + FENCES_PER_EPOCH - 1

    def pop_actions(self) -> list[StepAction]:
        """Return the actions added since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def pop_changed_jobs(self) -> list[JobProgress]:
        """Return the jobs whose persistent state changed since the last call."""
        changed, self._changed_job_by_id = list(self._changed_job_by_id.values()), {}
        return changed

    def add_action(self, action: StepAction) -> None:
        """Queue an action for the next `pop_actions`."""
        self._actions.append(action)

    # Configuration

    @property
    def is_configured(self) -> bool:
        """Whether a configuration was read; nothing may start before."""
        return self.config.version > 0

    def apply_config(self, config: StepConfig, evacuated_zones: frozenset[str]) -> None:
        """Apply a newer configuration; its queues replace those of open jobs."""
        self.usage.keep_limits(self.config.team_by_name)
        self.config = config
        self.evacuated_zones = evacuated_zones
        for progress in self.open_job_by_id.values():
            queue = config.queue_by_name.get(progress.job.queue)
            if queue is not None:
                progress.queue = queue

    # Jobs

    def add_job(self, job: StepJob, queue: Queue, now_ms: int) -> JobProgress:
        """Add a new job.

        Its runs are planned immediately, but their starts are sent only after their
        placement is stored. The row of the job is written before that, so no start is
        sent for a job that is not stored.
        """
        progress = JobProgress(job, queue, now_ms)
        progress.beyond_weight = self.usage.is_beyond_weight(
            self.config.team_by_name.get(job.team), now_ms
        )
        self._register_job(progress)
        return progress

    def restore_job(
        self, job: StepJob, queue: Queue, record: JobRecord, now_ms: int, unix_ms: int
    ) -> JobProgress:
        """Restore a job from the record that an earlier leader stored.

        The workers of its runs must have been added before.

        Raises:
            InvalidInputError: If the shape of the job is invalid, or the record does
                not belong to it.
        """
        job.check_shape()
        age_ms = max(unix_ms - job.accepted_unix_ms, 0)
        progress = JobProgress(job, queue, now_ms - age_ms)
        for step, placed in progress.restore(record):
            worker = self.worker_by_id.get(placed.worker_id)
            if worker is not None:
                task = step.task(placed.index)
                run = Run(
                    task,
                    placed.run,
                    placed.worker_id,
                    step,
                    RunPhase.STARTING,
                    now_ms,
                    is_inherited=True,
                )
                # The worker's next listing shows whether the run is present.
                self._attach(run, worker)
                if reason := self.stop_reason_of(run):
                    # The stop that an earlier leader owed may not have been sent.
                    self.stop_run(run, reason)
        self._register_job(progress)
        return progress

    def remove_job(self, job_id: str) -> None:
        """Remove a job and its runs, whose starts were never sent."""
        progress = self.job_by_id.pop(job_id, None)
        if progress is not None:
            self.text_bytes -= progress.job.text_bytes
            for step in progress.iter_steps():
                for run in list(step.iter_runs()):
                    self._detach(run)
        self.open_job_by_id.pop(job_id, None)
        self._changed_job_by_id.pop(job_id, None)

    def mark_changed(self, job_id: str) -> bool:
        """Have the progress of a job stored again; return whether the job is known."""
        progress = self.job_by_id.get(job_id)
        if progress is not None:
            self._changed_job_by_id[job_id] = progress
        return progress is not None

    def cancel_job(self, progress: JobProgress, unix_ms: int) -> None:
        """Cancel a job and stop its runs."""
        self.finish_job(progress, StepJobState.CANCELLED, unix_ms)

    def finish_job(
        self, progress: JobProgress, state: StepJobState, unix_ms: int
    ) -> None:
        """Move a job to a final state and stop its runs."""
        if progress.state.is_final:
            return
        progress.state = state
        progress.ended_unix_ms = unix_ms
        self._changed_job_by_id[progress.job.job_id] = progress
        for step in progress.iter_steps():
            if state is StepJobState.COMPLETED and step.step.gang:
                # Gang members end together; each worker lists the end of its members.
                continue
            for run in list(step.iter_runs()):
                self.stop_run(run, f"job_{state.value}")
        self._close_if_finished(progress)

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not started, without scheduled jobs."""
        return sum(
            1
            for progress in self.open_job_by_id.values()
            if progress.queue.name == queue
            and not progress.started
            and not progress.job.schedule.times
        )

    def _register_job(self, progress: JobProgress) -> None:
        self.job_by_id[progress.job.job_id] = progress
        self.text_bytes += progress.job.text_bytes
        self.open_job_by_id[progress.job.job_id] = progress
        self._close_if_finished(progress)

    def _close_if_finished(self, progress: JobProgress) -> None:
        if progress.state.is_final and not any(
            step.runs_by_index for step in progress.iter_steps()
        ):
            self.open_job_by_id.pop(progress.job.job_id, None)

    # Workers

    def set_workers(self, listed: Iterable[StepWorker]) -> None:
        """Apply the platform's list of workers."""
        listed_by_id = {worker.worker_id: worker for worker in listed}
        for known in self.worker_by_id.values():
            known.listed = known.worker.worker_id in listed_by_id
        for worker_id, worker in listed_by_id.items():
            state = self.worker_by_id.get(worker_id)
            if state is None:
                self.add_worker(worker)
            else:
                self._update_registration(state, worker)

    def _update_registration(self, state: WorkerState, worker: StepWorker) -> None:
        """Apply the registration of a known worker.

        The worker's own listings tell which incarnation is running; a registration can
        be older, or of another writer.
        """
        if worker.born_unix_ms not in (
            state.registered_born_unix_ms,
            state.worker.born_unix_ms,
        ):
            self.request_sync(state)
        state.registered_born_unix_ms = worker.born_unix_ms
        born_unix_ms = state.heard_born_unix_ms or worker.born_unix_ms
        state.worker = attrs.evolve(worker, born_unix_ms=born_unix_ms)

    def iter_unlisted_workers(self) -> Iterator[WorkerState]:
        """Yield the known workers that the platform does not list."""
        return (state for state in self.worker_by_id.values() if not state.listed)

    def iter_departed_workers(self) -> Iterator[WorkerState]:
        """Yield the workers that left and certainly have no runs any more."""
        for worker in self.worker_by_id.values():
            may_have_runs = worker.run_by_task or worker.orphan_by_task
            if not (worker.listed or worker.synced or may_have_runs):
                yield worker

    def add_worker(self, worker: StepWorker) -> WorkerState:
        """Add a worker; it gets work after a listing under its current token."""
        earlier_fence = self.fence_by_removed_worker.pop(
            worker.worker_id, self.first_fence - 1
        )
        state = WorkerState(
            worker,
            fence=min(earlier_fence + 1, self.last_fence),
            registered_born_unix_ms=worker.born_unix_ms,
        )
        self.worker_by_id[worker.worker_id] = state
        self.add_action(SyncWorker(worker.worker_id, state.fence))
        return state

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that has left; it must have no runs."""
        worker = self.worker_by_id.pop(worker_id)
        self.fence_by_removed_worker[worker_id] = worker.fence
        if len(self.fence_by_removed_worker) > MAX_REMEMBERED_FENCES:
            del self.fence_by_removed_worker[next(iter(self.fence_by_removed_worker))]

    def record_fence_refused(self, worker: WorkerState, fence: int) -> None:
        """Raise the fencing token of a worker that has seen a higher one.

        The raise doubles with each refusal, as the worker does not tell its token. If
        the higher token is that of a newer leader, the store ends this lead. A worker
        that refuses the tokens of half the epoch stays without work.
        """
        if fence != worker.fence:
            return
        worker.fence_refusals += 1
        raise_by = 2 ** min(worker.fence_refusals, MAX_DOUBLINGS)
        if worker.fence + raise_by <= self.first_fence + FENCES_PER_EPOCH // 2:
            self.request_sync(worker, raise_by)

    def request_sync(self, worker: WorkerState, raise_by: int = 1) -> None:
        """Raise a worker's fencing token, so that unanswered orders have no effect.

        Ends the lead if the epoch has no higher token: those of the next epoch are.
        """
        if worker.fence + raise_by > self.last_fence:
            self.add_action(EndLead("the fencing tokens of the epoch are used up"))
            raise_by = 0
        worker.fence += raise_by
        worker.synced = False
        self.add_action(SyncWorker(worker.worker.worker_id, worker.fence))

    def _mark_restarted(self, worker: WorkerState) -> None:
        """Handle a restart of a worker.

        The new incarnation has seen no fencing token yet, so an order to the earlier
        incarnation may still arrive late and take effect. The next listing under a
        higher token shows which placed runs exist, as after any unanswered order.
        """
        self._remove_orphans(worker)
        worker.last_end_number = 0
        self.request_sync(worker)

    def expire_worker(self, worker: WorkerState) -> None:
        """Mark all runs of an unresponsive worker as lost after its lease expired."""
        for run in list(worker.run_by_task.values()):
            self.mark_run_lost(run)
        self._remove_orphans(worker)

    # Runs

    def is_within_team_limit(
        self, step: StepProgress, tasks: int = 1, headroom: Resources = ZERO_RESOURCES
    ) -> bool:
        """Whether the team's limit allows this many more tasks of a step.

        Args:
            step: The step.
            tasks: Number of tasks.
            headroom: Part of the limit that stays free.
        """
        need = step.step.resources.scaled(tasks, 1) + headroom
        return self.usage.has_capacity(
            step.job.job.team, need, self.config.team_by_name
        )

    def place(
        self,
        step: StepProgress,
        worker_by_index: Mapping[int, WorkerState],
        now_ms: int,
    ) -> bool:
        """Place tasks on workers and order their starts, if their team may run them.

        All starts come from here, also those of speculative copies and of runs that
        move, so that none bypasses the limit of the team. Without a configuration
        neither limits nor evacuated zones are known, and nothing starts.

        Args:
            step: The step.
            worker_by_index: The worker of each task; those of a gang all at once.
            now_ms: Current time.

        Returns:
            Whether the tasks were placed; all of them are or none.
        """
        is_within = self.is_within_team_limit(step, len(worker_by_index))
        if not self.is_configured or not is_within:
            return False
        run = self._next_run_number(step, worker_by_index)
        for index, worker in worker_by_index.items():
            self._place_task(step, index, worker, run, now_ms)
        return True

    def _place_task(
        self, step: StepProgress, index: int, worker: WorkerState, run: int, now_ms: int
    ) -> None:
        worker_id = worker.worker.worker_id
        task = step.task(index)
        checkpoint = step.checkpoint_of(index)
        ticket = step.tickets.ticket_for(worker_id, worker.worker.born_unix_ms, now_ms)
        new_run = Run(task, run, worker_id, step, RunPhase.STARTING, now_ms)
        self._attach(new_run, worker)
        # The placement is stored before the start is sent, so that the next leader
        # knows which tasks an unreachable worker may be running.
        self._changed_job_by_id[task.job_id] = step.job
        self.add_action(
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

    def may_send_start(self, run: Run, ticket: str, now_ms: int) -> bool:
        """Return whether a start may be sent now that its placement is stored.

        The job must be stored too. During the write, the job may have been cancelled,
        the worker drained, its zone evacuated or the limit of the team lowered. If the
        store was unavailable, the ticket may have expired. A gang starts only whole.

        Args:
            run: The placed run.
            ticket: The ticket in the order, or empty.
            now_ms: Current time.
        """
        step = run.step
        if not step.job.stored:
            # Its client may still be refused.
            return False
        if self.usage.is_above_limit(step.job.job.team, self.config.team_by_name):
            return False
        if step.step.gang and step.has_waiting:
            # Another member has been refused.
            return False
        members = tuple(step.iter_runs()) if step.step.gang else (run,)
        if not all(map(self._may_still_start, members)):
            return False
        if not ticket:
            return True
        has_tickets = all(self._ticket_of(member, now_ms) for member in members)
        return has_tickets and self._ticket_of(run, now_ms) == ticket

    def _may_still_start(self, run: Run) -> bool:
        state = self.worker_by_id[run.worker_id]
        is_evacuated = state.worker.zone in self.evacuated_zones
        is_leaving = state.worker.draining or is_evacuated
        return state.synced and not is_leaving and run.phase is not RunPhase.STOPPING

    def _ticket_of(self, run: Run, now_ms: int) -> str:
        """Return the valid ticket for a run on its worker, or an empty string."""
        worker = self.worker_by_id[run.worker_id].worker
        ticket = run.step.tickets.ticket_for(
            worker.worker_id, worker.born_unix_ms, now_ms
        )
        return ticket.text if ticket is not None else ""

    def _next_run_number(self, step: StepProgress, indexes: Iterable[int]) -> int:
        """Return a run number that no earlier leader can have used."""
        first = (self.epoch - 1) * RUNS_PER_EPOCH
        return 1 + max(
            first, *(step.last_run_by_index.get(index, 0) for index in indexes)
        )

    @staticmethod
    def stop_reason_of(run: Run) -> str:
        """Return why a run must not go on, or an empty string if it may.

        Depends only on what is stored, so that each leader decides alike. The members
        of a gang that is done end together, by themselves.
        """
        step, state = run.step, run.step.job.state
        if state in (StepJobState.CANCELLED, StepJobState.FAILED):
            return f"job_{state.value}"
        is_done = step.phases[run.task.index] is TaskPhase.DONE
        return "copy_was_done" if is_done and not step.step.gang else ""

    def stop_run(self, run: Run, reason: str) -> None:
        """Order the stop of a run; its resources are freed when its end is listed."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.stop_reason = reason
        # A start in flight could arrive after the stop, so the stop is sent only
        # after the start is confirmed.
        if run.running_since_ms:
            self.send_stop(run)

    def send_stop(self, run: Run) -> None:
        """Send the stop of a run; may be repeated if the response was lost.

        A worker that is not synced gets the stop after its next listing under the
        current fencing token.
        """
        worker = self.worker_by_id.get(run.worker_id)
        if worker is not None and worker.synced:
            self.add_action(
                StopRun(
                    run.worker_id, worker.fence, run.task, run.number, run.stop_reason
                )
            )

    def mark_run_lost(self, run: Run) -> None:
        """Remove a run that is gone without a reported end; its task waits again."""
        run.step.record_checkpoint(run.task.index, run.checkpoint)
        self._detach(run)

    def _add_orphan(self, worker: WorkerState, task: TaskRef, run: int) -> None:
        """Stop a run that no open task wants; its team uses its resources until then.

        The job may be final or its occurrence closed. Of an unknown job neither team
        nor resources are known.
        """
        orphan = Orphan(task, run)
        progress = self.job_by_id.get(task.job_id)
        if progress is not None and 0 <= task.step < len(progress.job.steps):
            resources = progress.job.steps[task.step].resources
            orphan = Orphan(task, run, progress.job.team, resources)
        worker.orphan_by_task[(task, run)] = orphan
        self.usage.add(orphan.team, orphan.resources)
        self.send_orphan_stop(worker, orphan)

    def send_orphan_stop(self, worker: WorkerState, orphan: Orphan) -> None:
        """Send the stop of an orphan; may be repeated if the response was lost."""
        self.add_action(
            StopRun(
                worker.worker.worker_id,
                worker.fence,
                orphan.task,
                orphan.run,
                "not_wanted",
            )
        )

    def _remove_orphan(self, worker: WorkerState, key: tuple[TaskRef, int]) -> None:
        orphan = worker.orphan_by_task.pop(key, None)
        if orphan is not None:
            self.usage.remove(orphan.team, orphan.resources)

    def _remove_orphans(self, worker: WorkerState) -> None:
        for key in list(worker.orphan_by_task):
            self._remove_orphan(worker, key)

    def _attach(self, run: Run, worker: WorkerState) -> None:
        worker.add(run)
        run.step.add_run(run)
        data_rack = run.step.step.data_rack
        if self.far_factor > 1 and data_rack not in ("", worker.worker.rack):
            run.place_factor = self.far_factor
        if run.step.step.same_rack:
            run.step.rack_in_use = worker.worker.rack
        self.usage.add(run.step.job.job.team, run.step.step.resources)
        if run.step.job.queue.priority == URGENT_PRIORITY:
            run.counts_as_urgent = True
            self.headroom.change(run.step.job.job.team, run.step.step.resources)

    def _detach(self, run: Run) -> None:
        worker = self.worker_by_id.get(run.worker_id)
        if worker is not None and (run.task, run.number) in worker.run_by_task:
            worker.remove(run)
            self.usage.remove(run.step.job.job.team, run.step.step.resources)
            if run.counts_as_urgent:
                amount = ZERO_RESOURCES - run.step.step.resources
                self.headroom.change(run.step.job.job.team, amount)
        run.step.remove_run(run)
        if not run.step.runs_by_index:
            run.step.rack_in_use = ""
        self._close_if_finished(run.step.job)

    def _find_run(self, worker_id: str, task: TaskRef, number: int) -> Run | None:
        worker = self.worker_by_id.get(worker_id)
        return None if worker is None else worker.run_by_task.get((task, number))
