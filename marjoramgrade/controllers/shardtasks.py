"""The state of a shard's tasks under one epoch; the shard's controller owns it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from marjoramgrade.controllers.grantmanager import GrantManager
from marjoramgrade.controllers.outboxes import Outboxes
from marjoramgrade.decisions.actions import EndStatus, StartTask
from marjoramgrade.decisions.excess import choose_excess_tasks
from marjoramgrade.decisions.outcomes import PendingOutcomes
from marjoramgrade.decisions.retries import RETRY_POLICIES, RetryPolicy, TaskAttempts
from marjoramgrade.decisions.scheduler import Scheduler
from marjoramgrade.decisions.sessions import WorkerSessions
from marjoramgrade.decisions.takeover import Reconciliation
from marjoramgrade.decisions.tasks import (
    QueuedTask,
    queued_tasks_from,
    running_task_from,
)
from marjoramgrade.decisions.workers import WorkerNode
from marjoramgrade.errors import MarjoramgradeError
from marjoramgrade.messages.jobs import ShardFence, StoredJob, TaskStatus
from marjoramgrade.messages.workers import (
    TaskEnd,
    TaskRun,
    TasksRefused,
    TaskStart,
    WorkerConnected,
)
from marjoramgrade.model import (
    Config,
    Instance,
    Job,
    JobKind,
    JobSpec,
    JobState,
    Outcome,
    TaskId,
)
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.settings import PolicyNames
from marjoramgrade.store import StoredRoster

MAX_STARTS_PER_TICK = 500

ABOVE_LIMIT_REASON = "team above its lowered limit"

END_STATUS_BY_OUTCOME = {
    "done": EndStatus.DONE,
    "failed": EndStatus.FAILED,
    "stopped": EndStatus.STOPPED,
}


@attrs.define
class ShardTasks:
    """Jobs, tasks and workers of a shard under one epoch.

    Attributes:
        shard: Name of the shard.
        fence: Makes writes to the table fail after the next takeover.
        scheduler: Decides which tasks start and stop.
        grants: The part of each team's upper limit that is granted to this shard.
        reconciliation: Tracks which workers of the previous owner have sent their
            inventory or have no lease any more.
        roster: The workers that the table lists for this shard.
        job_by_id: Open jobs whose home is this shard.
        sessions: Connections and leases of the workers.
        outcomes: Outcomes of tasks that are not yet written to the table.
        outboxes: Messages that are not yet sent to the workers.
    """

    shard: str
    fence: ShardFence
    scheduler: Scheduler
    grants: GrantManager
    reconciliation: Reconciliation
    roster: StoredRoster
    job_by_id: dict[str, StoredJob] = attrs.field(factory=dict)
    sessions: WorkerSessions = attrs.field(factory=WorkerSessions)
    outcomes: PendingOutcomes = attrs.field(factory=PendingOutcomes)
    outboxes: Outboxes = attrs.field(factory=Outboxes)
    _retry_by_kind: dict[JobKind, RetryPolicy] = attrs.field(factory=dict)
    _attempt_by_task: dict[TaskId, int] = attrs.field(factory=dict)

    @classmethod
    def from_rows(
        cls,
        fence: ShardFence,
        policies_by_kind: Mapping[JobKind, PolicyNames],
        grants: GrantManager,
        roster: StoredRoster,
        jobs: Iterable[StoredJob],
        now_ms: int,
    ) -> ShardTasks:
        """Return the state of a new owner, before any worker has reported."""
        scheduler = Scheduler.from_config(
            policies_by_kind,
            lambda team, amount: grants.may_use(
                team, amount, scheduler.shares.usage_of(team)
            ),
        )
        reconciliation = Reconciliation(roster.worker_ids, now_ms)
        retry_by_kind = {
            kind: RETRY_POLICIES.get(policies.retry)()
            for kind, policies in policies_by_kind.items()
        }
        tasks = cls(
            fence.shard,
            fence,
            scheduler,
            grants,
            reconciliation,
            roster,
            retry_by_kind=retry_by_kind,
        )
        for stored in jobs:
            tasks.apply_job(stored, now_ms)
        return tasks

    # Jobs

    def set_config(self, config: Config) -> None:
        """Apply the shares, queue bounds and limits of a configuration."""
        self.scheduler.set_teams(config.teams_by_name.values())
        self.grants.set_config(config)

    def usage_by_team(self) -> dict[str, Resources]:
        """Return the resources in use by each team with running tasks."""
        shares = self.scheduler.shares
        return {team: shares.usage_of(team) for team in self.scheduler.running.teams()}

    def stop_excess_tasks(self) -> None:
        """Stop the newest tasks of teams that are above a lowered limit."""
        for team, in_use in self.usage_by_team().items():
            excess = self.grants.excess(team, in_use)
            for task in choose_excess_tasks(self.scheduler.running, team, excess):
                self.scheduler.stop(task, ABOVE_LIMIT_REASON, is_requeued=True)

    def apply_job(self, stored: StoredJob, now_ms: int) -> None:
        """Apply a job row unless the same or a newer version is known."""
        job = stored.job
        known = self.job_by_id.get(job.job_id)
        if known and known.version >= stored.version:
            return
        if job.shard != self.shard:
            if known:
                self.remove_moved_job(stored)
            return
        if job.state is not JobState.OPEN:
            self._discard_job(job)
            return
        self.job_by_id[job.job_id] = stored
        if known is None and not job.cancelled:
            for entry in queued_tasks_from(job, now_ms):
                self.scheduler.submit(entry, now_ms)
        if job.cancelled and (known is None or not known.job.cancelled):
            self._cancel(job)

    def record_job_write(self, stored: StoredJob) -> None:
        """Apply a job row that the owner of this shard has written."""
        if stored.job.state is JobState.OPEN:
            self.job_by_id[stored.job.job_id] = stored
        else:
            self._discard_job(stored.job)

    def tasks_of(self, job_id: str) -> tuple[TaskStatus, ...]:
        """Return the state of every task of a job, or nothing for an unknown job."""
        stored = self.job_by_id.get(job_id)
        if stored is None:
            return ()
        return tuple(
            self._status_of(TaskId(job_id, index), outcome)
            for index, outcome in enumerate(stored.job.outcomes)
        )

    def _status_of(self, task: TaskId, outcome: str) -> TaskStatus:
        if outcome != Outcome.OPEN.value:
            return TaskStatus.from_outcome(task, Outcome(outcome), "ended")
        pending = self.outcomes.outcome_of(task)
        if pending is not None:
            return TaskStatus.from_outcome(task, pending, "ended: not recorded yet")
        reason = self.scheduler.reason_of(task)
        worker_id = self._worker_of(task)
        state = "running" if worker_id else "queued"
        return TaskStatus(task, state, reason, worker_id)

    def _cancel(self, job: Job) -> None:
        """Cancel a job: queued tasks end now, running ones when workers report it."""
        self.scheduler.cancel_job(job.job_id)
        for index, outcome in enumerate(job.outcomes):
            task = TaskId(job.job_id, index)
            is_open = outcome == Outcome.OPEN.value
            if is_open and not self._worker_of(task):
                self.outcomes.record(task, Outcome.CANCELLED)

    def _discard_job(self, job: Job) -> None:
        self.job_by_id.pop(job.job_id, None)
        self.outcomes.discard_job(job)
        for index in range(job.spec.tasks):
            task = TaskId(job.job_id, index)
            if not self._worker_of(task):
                self._attempt_by_task.pop(task, None)

    def remove_moved_job(self, stored: StoredJob) -> None:
        """Remove a job whose home is now another shard."""
        self.scheduler.cancel_job(stored.job.job_id)
        self._discard_job(stored.job)

    # Workers

    def wanted_roster(self, worker_by_id: Mapping[str, Instance]) -> frozenset[str]:
        """Return the workers that the roster should list.

        A worker stays listed while it may run tasks, even if the platform's list
        has dropped it.
        """
        busy = {
            worker_id
            for worker_id in self.roster.worker_ids
            if self.sessions.is_leased(worker_id)
            or self.scheduler.running.tasks_of_worker(worker_id)
        }
        return frozenset(worker_by_id) | frozenset(busy)

    def reconcile_worker(
        self, message: WorkerConnected, worker: Instance, now_ms: int
    ) -> None:
        """Reconcile a worker's inventory with the tasks that should run there."""
        worker_id = message.worker_id
        self.sessions.mark_connected(worker_id, now_ms)
        self.add_listed_worker(worker, now_ms)
        for end in message.ends:
            self.task_ended(worker_id, end, now_ms)
        # Starts decided while the worker was disconnected are scheduled anew: their
        # tasks are requeued below. Sending the old starts as well could run a task
        # twice.
        self.outboxes.discard_unsent_starts(worker_id)
        reported = {run.task for run in message.running}
        for running in self.scheduler.running.tasks_of_worker(worker_id):
            if running.task not in reported:
                # The start was lost with the previous connection.
                self._end(running.task, EndStatus.REFUSED, now_ms)
        for run in message.running:
            self._adopt(worker_id, run, now_ms)
        self.reconciliation.confirm(worker_id)

    def add_listed_worker(self, worker: Instance, now_ms: int) -> None:
        """Add a connected worker to the pool if it is on the roster."""
        worker_id = worker.instance_id
        if worker_id not in self.roster.worker_ids:
            return
        if worker_id not in self.scheduler.pool:
            node = WorkerNode(worker_id, worker.rack, worker.capacity)
            self.scheduler.add_worker(node)
        if worker.leaving:
            self.scheduler.drain_worker(worker_id, now_ms)

    def drain_worker(self, worker_id: str, now_ms: int) -> None:
        """Stop placing tasks on a worker."""
        if worker_id in self.scheduler.pool:
            self.scheduler.drain_worker(worker_id, now_ms)

    def expire_workers(self, now_ms: int) -> None:
        """Requeue the tasks of workers whose lease has lapsed."""
        for worker_id in self.sessions.pop_lapsed(now_ms):
            self.reconciliation.confirm(worker_id)
            if worker_id in self.scheduler.pool:
                self.scheduler.remove_lost_worker(worker_id, now_ms)

    def _adopt(self, worker_id: str, run: TaskRun, now_ms: int) -> None:
        """Adopt a reported task, or stop it if it should not run on this worker."""
        stored = self.job_by_id.get(run.task.job_id)
        current_worker_id = self._worker_of(run.task)
        if current_worker_id == worker_id:
            # A later start of the task did not reach the worker: its connection ended.
            self._attempt_by_task[run.task] = run.attempt
            return
        if stored is None or current_worker_id or not _is_open(stored.job, run.task):
            self.outboxes.stop(worker_id, run.task)
            return
        self._attempt_by_task[run.task] = run.attempt
        try:
            adopted = running_task_from(stored.job, run.task, worker_id, now_ms)
            self.scheduler.adopt(adopted)
        except MarjoramgradeError:
            self.outboxes.stop(worker_id, run.task)

    # Tasks

    def start_tasks(self, now_ms: int) -> None:
        """Decide which tasks start and stop, once all earlier starts are reconciled."""
        if not self.reconciliation.is_complete(now_ms):
            return
        for decision in self.scheduler.step(now_ms, MAX_STARTS_PER_TICK):
            if isinstance(decision, StartTask):
                self.outboxes.start(decision.worker_id, self._start_of(decision))
            else:
                self.outboxes.stop(decision.worker_id, decision.task)

    def forward_stops(self) -> None:
        """Add pending stops to the outboxes, even while no tasks may start."""
        for stop in self.scheduler.pop_stops():
            self.outboxes.stop(stop.worker_id, stop.task)

    def task_ended(self, worker_id: str, end: TaskEnd, now_ms: int) -> None:
        """Apply a task's end; a worker may report the same end more than once.

        The end of an earlier attempt may arrive after the task was started again on
        the same worker. It leaves the current attempt running, unless the task is
        done: then the current attempt is stopped and keeps its resources until then.
        """
        stored = self.job_by_id.get(end.task.job_id)
        if stored is None or not _is_open(stored.job, end.task):
            # The row already has the outcome, or the job was moved.
            self.outboxes.acknowledge(worker_id, end.task)
            self._release_run(worker_id, end, now_ms)
            return
        status = END_STATUS_BY_OUTCOME.get(end.outcome, EndStatus.FAILED)
        if status is EndStatus.DONE:
            self.outcomes.record(end.task, Outcome.DONE, worker_id)
            self._cancel_other_attempts(worker_id, TaskRun(end.task, end.attempt))
        elif stored.job.cancelled:
            self.outcomes.record(end.task, Outcome.CANCELLED, worker_id)
        else:
            self.outboxes.acknowledge(worker_id, end.task)
        if self._runs_attempt(worker_id, TaskRun(end.task, end.attempt)):
            self._end(end.task, status, now_ms)

    def _release_run(self, worker_id: str, end: TaskEnd, now_ms: int) -> None:
        """Release the resources of a run whose task is not needed any more."""
        if not self._runs_attempt(worker_id, TaskRun(end.task, end.attempt)):
            return
        # A task that is not cancelled would be queued again.
        self.scheduler.cancel(end.task)
        self.scheduler.task_ended(end.task, EndStatus.STOPPED, now_ms)
        self._attempt_by_task.pop(end.task, None)

    def requeue_refused_tasks(self, message: TasksRefused, now_ms: int) -> None:
        """Requeue tasks whose current attempt a worker refused to start.

        The refusal of an earlier attempt may arrive after the task was started again
        on the same worker.
        """
        for run in message.runs:
            if self._runs_attempt(message.worker_id, run):
                self._end(run.task, EndStatus.REFUSED, now_ms)

    def total_resources(self) -> Resources:
        """Return the total capacity of the workers."""
        return self.scheduler.pool.total_capacity

    def free_resources(self) -> Resources:
        """Return the capacity that is neither allocated nor reserved.

        Only the workers that accept new tasks count.
        """
        total = ZERO_RESOURCES
        for _, free in self.scheduler.pool.iter_schedulable():
            total = total + free
        return total

    def queued(self) -> int:
        """Return the number of tasks that wait to be started."""
        return self.scheduler.queued_count

    def _worker_of(self, task: TaskId) -> str:
        """Return the worker that a task runs on, or an empty string."""
        running = self.scheduler.running.find(task)
        return running.worker_id if running is not None else ""

    def _runs_attempt(self, worker_id: str, run: TaskRun) -> bool:
        """Return whether an attempt is the current one and runs on a worker."""
        return (
            self._worker_of(run.task) == worker_id
            and self._attempt_by_task.get(run.task) == run.attempt
        )

    def _cancel_other_attempts(self, worker_id: str, done: TaskRun) -> None:
        """Cancel a done task that is queued or runs as another attempt.

        The report of its completion may arrive after the task was requeued.
        """
        if not self._runs_attempt(worker_id, done):
            self.scheduler.cancel(done.task)

    def _end(self, task: TaskId, status: EndStatus, now_ms: int) -> None:
        """End a task's run; requeue the task or record its final outcome."""
        stored = self.job_by_id.get(task.job_id)
        entry = self.scheduler.task_ended(task, status, now_ms)
        if stored is None or stored.job.cancelled:
            if stored is not None and status is not EndStatus.DONE:
                self.outcomes.record(task, Outcome.CANCELLED)
            return
        if entry is None:
            return
        spec = stored.job.spec
        delay_ms = self._retry_by_kind[spec.kind].delay_ms(entry.attempts)
        if delay_ms is None or _is_exhausted(spec, entry):
            for failed in entry.iter_tasks():
                self.outcomes.record(failed, Outcome.FAILED)
            return
        self.scheduler.submit(
            attrs.evolve(entry, not_before_ms=now_ms + delay_ms), now_ms
        )

    def _start_of(self, decision: StartTask) -> TaskStart:
        """Return the message that starts the next attempt of a task."""
        task = decision.task
        spec = self.job_by_id[task.job_id].job.spec
        attempt = self._attempt_by_task.get(task, 0) + 1
        self._attempt_by_task[task] = attempt
        return TaskStart(task, attempt, decision.resources, spec.run_ms, spec.payload)


def _is_exhausted(spec: JobSpec, entry: QueuedTask) -> bool:
    """Return whether no attempts are left; a service restarts until cancelled."""
    if spec.kind is JobKind.SERVICE:
        return False
    attempts = TaskAttempts(entry.attempts)
    return attempts.exhausted_reason(spec.max_attempts) is not None


def _is_open(job: Job, task: TaskId) -> bool:
    is_known = 0 <= task.index < len(job.outcomes)
    return is_known and job.outcomes[task.index] == Outcome.OPEN.value
