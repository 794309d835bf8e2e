"""The leader: takes jobs of steps, plans their runs and keeps their progress."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from typing import Any

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.commits import CommitController, SaveRows
from marjoramgrade.controllers.inheritance import Inheritance, read_inheritance
from marjoramgrade.controllers.workerlink import ConnectWorker, WorkerLink
from marjoramgrade.decisions.advisorlines import AdvisorLines
from marjoramgrade.decisions.steporders import (
    AskAdvice,
    PaceRun,
    StartRun,
    StepAction,
    StopRun,
    SyncWorker,
)
from marjoramgrade.decisions.stepplanning import Planner
from marjoramgrade.decisions.stepprogress import JobProgress, RunPhase
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepsupervision import Supervisor
from marjoramgrade.decisions.tickets import Ticket
from marjoramgrade.errors import (
    JobNotFoundError,
    MarjoramgradeError,
    NotOwnerError,
    OutcomeUnknownError,
    OverloadedError,
    QueueNotFoundError,
    ShuttingDownError,
    TableRefusedError,
)
from marjoramgrade.messages import CallPeer, MembersChanged
from marjoramgrade.messages.rows import RowCheck, RowWrite
from marjoramgrade.messages.steps import (
    AwaitConfiguration,
    CallUnanswered,
    CancelStepJob,
    ConfigurationChanged,
    CountPending,
    GetStepJob,
    LeadConfirmed,
    LinkAcknowledge,
    LinkAlert,
    LinkGrant,
    LinkPace,
    LinkStart,
    LinkStop,
    LinkSync,
    PendingCount,
    RenewLead,
    RequestAdvice,
    StartAnswered,
    StartOutcome,
    StepAdvice,
    StepDown,
    StepJobAccepted,
    StepJobShown,
    StoreReachable,
    SubmitStepJob,
    TakeLead,
    WatchWorkers,
    WorkerListed,
    WorkerSilent,
    WorkersListed,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.stepconfig import Queue, StepConfig
from marjoramgrade.stepjobs import StepJobState, StepWorker
from marjoramgrade.steprows import (
    EPOCH_ROW,
    RENEWAL_ROW,
    ROSTER_ROW,
    JobRow,
    RosterRow,
    job_row,
    progress_row,
    serialize_row,
)

# Events of the same moment are planned for together.
PLAN_DELAY_MS = 2
TICK_MS = 200
# A leader that the store has not confirmed for this long extends no lease, so a
# successor knows when the runs of workers that it cannot reach have ended.
GRANT_LIMIT_MS = 3_500
# Jobs that ended are dropped this long after callers may last ask for them.
RETENTION_MARGIN_MS = 20_000
PURGE_INTERVAL_MS = 5_000
REPORT_INTERVAL_MS = 1_000
# Beyond the time that the advisor is expected to take.
ADVICE_MARGIN_MS = 1_000
# How long a job waits for a configuration that its sender already has.
CONFIG_WAIT_MS = 1_000
# After a call to a worker that went unanswered, all listings wait only shortly.
ALERT_MS = 5_000
# Jobs that may be open at a time; further ones are refused.
MAX_OPEN_JOBS = 5_000


@attrs.frozen
class LeaseTerms:
    """How long leases of workers last.

    Attributes:
        hold_ms: Length of the leases that every leader grants.
        status_ms: How long callers may ask for a job that has ended.
    """

    hold_ms: int
    status_ms: int


@attrs.define
class _Lead:
    """What exists only while this instance leads."""

    epoch: int
    stack: contextlib.AsyncExitStack
    commits: CommitController
    state: StepState
    planner: Planner
    supervisor: Supervisor
    link_by_worker: dict[str, WorkerLink] = attrs.field(factory=dict)
    roster: frozenset[str] = frozenset()
    inherited: frozenset[str] = frozenset()
    reachable: bool = True
    is_renewing: bool = False
    grant_until_ms: int = 0
    plan_scheduled: bool = False
    alert_until_ms: int = 0
    purged_ms: int = 0
    reported_ms: int = 0


class StepSchedulerController(Actor):
    """Owns the jobs and the links to the workers while this instance leads.

    Args:
        instance_id: Id of this instance.
        store: Reads and writes rows.
        peers: Reaches the other instances.
        advisor: Asks the placement advisor from this instance.
        connect: Makes the client of a worker.
        terms: How long leases last.
        clock: Monotonic time.
        metrics: Counters.
    """

    def __init__(
        self,
        instance_id: str,
        store: Actor,
        peers: Actor,
        advisor: Actor,
        connect: ConnectWorker,
        terms: LeaseTerms,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._store = store
        self._peers = peers
        self._advisor = advisor
        self._connect = connect
        self._terms = terms
        self._clock = clock
        self._metrics = metrics
        self._config = StepConfig()
        self._evacuated: frozenset[str] = frozenset()
        self._member_ids: tuple[str, ...] = ()
        self._lead: _Lead | None = None
        self._directory: Actor | None = None
        self._leadership: Actor | None = None

    def connect(self, directory: Actor, leadership: Actor) -> None:
        """Set the controllers that are built after this one."""
        self._directory = directory
        self._leadership = leadership

    async def on_start(self) -> None:
        """Start the clockwork."""
        self.keep_running(self._tick_forever())

    async def on_stop(self) -> None:
        """End the leadership, if there is one."""
        await self._end_lead("the instance stops")

    # Leadership

    @handles(TakeLead)
    async def _take_lead(self, message: TakeLead) -> Any:
        await self._end_lead("a newer leadership of this instance")
        return self.spawn(self._begin_lead(message))

    async def _begin_lead(self, message: TakeLead) -> None:
        inheritance = await read_inheritance(self._store)
        state = StepState(message.epoch, self._config, self._evacuated)
        planner = Planner(state, AdvisorLines(self._instance_id))
        check = RowCheck(EPOCH_ROW, message.row_version)
        versions = dict(inheritance.version_by_row)
        commits = CommitController(
            self._store,
            message.epoch,
            check,
            versions,
            self._clock,
            self._metrics,
            (self,),
        )
        stack = contextlib.AsyncExitStack()
        await commits.start()
        stack.push_async_callback(commits.stop)
        lead = _Lead(
            message.epoch, stack, commits, state, planner, Supervisor(state, planner)
        )
        lead.grant_until_ms = self._clock.now_ms() + GRANT_LIMIT_MS
        self._restore(lead, inheritance)
        self._lead = lead
        self._watch_workers(True)
        logs.state_change(
            "lead_taken",
            epoch=message.epoch,
            jobs=len(state.job_by_id),
            open=len(state.open_by_id),
            workers=len(inheritance.roster),
        )
        self._perform(lead)

    def _restore(self, lead: _Lead, inheritance: Inheritance) -> None:
        now_ms, unix_ms = self._clock.now_ms(), self._clock.unix_ms()
        for worker in inheritance.roster:
            lead.state.add_worker(worker)
        lead.roster = lead.inherited = frozenset(lead.state.worker_by_id)
        for row, record in inheritance.jobs:
            job = row.job
            # An instance that has just started may lead before it has read the
            # configuration.
            queue = self._config.queue_by_name.get(job.queue, row.queue)
            lead.state.restore_job(job, queue, record, now_ms, unix_ms)

    @handles(StepDown)
    async def _step_down(self, message: StepDown) -> None:
        if self._lead is not None and self._lead.epoch == message.epoch:
            await self._end_lead(message.reason)
            if self._leadership is not None:
                self._leadership.tell(message)

    async def _end_lead(self, reason: str) -> None:
        lead, self._lead = self._lead, None
        if lead is None:
            return
        logs.state_change("lead_ended", epoch=lead.epoch, reason=reason)
        self._watch_workers(False)
        for link in lead.link_by_worker.values():
            # Calls of the old leadership are refused by fence; nothing waits for
            # them.
            self.spawn(link.stop())
        lead.link_by_worker.clear()
        self.spawn(lead.stack.aclose())

    @handles(RenewLead)
    async def _renew(self, message: RenewLead) -> None:
        lead = self._lead
        if lead is None or lead.epoch != message.epoch or lead.is_renewing:
            return
        lead.is_renewing = True
        self.spawn(self._write_renewal(lead))

    async def _write_renewal(self, lead: _Lead) -> None:
        value = str(self._clock.now_ms()).encode()
        try:
            await lead.commits.ask(SaveRows((RowWrite(RENEWAL_ROW, value),)))
        except (NotOwnerError, ShuttingDownError):
            return
        finally:
            lead.is_renewing = False

    @handles(LeadConfirmed)
    async def _confirmed(self, message: LeadConfirmed) -> None:
        lead = self._lead
        if lead is None or lead.epoch != message.epoch:
            return
        until_ms = message.asked_ms + GRANT_LIMIT_MS
        # Telling every link at each write would cost more than the writes.
        if until_ms - lead.grant_until_ms >= GRANT_LIMIT_MS // 16:
            lead.grant_until_ms = until_ms
            for link in lead.link_by_worker.values():
                link.tell(LinkGrant(until_ms))

    @handles(StoreReachable)
    async def _store_changed(self, message: StoreReachable) -> None:
        if self._lead is not None:
            self._lead.reachable = message.reachable

    def _watch_workers(self, enabled: bool) -> None:
        if self._directory is not None:
            with contextlib.suppress(ShuttingDownError):
                self._directory.tell(WatchWorkers(enabled))

    # What others tell

    @handles(ConfigurationChanged)
    async def _config_changed(self, message: ConfigurationChanged) -> None:
        self._config = message.config
        self._evacuated = message.evacuated_zones
        lead = self._lead
        if lead is None:
            return
        lead.state.config = message.config
        lead.state.evacuated_zones = message.evacuated_zones
        for progress in lead.state.open_by_id.values():
            queue = message.config.queue_by_name.get(progress.job.queue)
            if queue is not None:
                progress.queue = queue
        self._schedule_plan(lead)

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        self._member_ids = tuple(
            member.instance_id
            for member in message.members
            if member.instance_id != self._instance_id
        )

    @handles(WorkersListed)
    async def _workers_listed(self, message: WorkersListed) -> None:
        lead = self._lead
        if lead is None:
            return
        known = set(lead.state.worker_by_id)
        lead.state.set_workers(message.workers)
        for worker in message.workers:
            if worker.worker_id not in known:
                logs.state_change(
                    "worker_joined",
                    worker=worker.worker_id,
                    zone=worker.zone,
                    cpu=worker.capacity.cpu_millis,
                )
        self._drop_departed(lead)
        self._perform(lead)

    def _drop_departed(self, lead: _Lead) -> None:
        for worker_id, state in list(lead.state.worker_by_id.items()):
            if state.listed or state.run_by_task or state.synced:
                continue
            lead.state.remove_worker(worker_id)
            link = lead.link_by_worker.pop(worker_id, None)
            if link is not None:
                self.spawn(link.stop())
            logs.state_change("worker_left", worker=worker_id)

    @handles(WorkerListed)
    async def _worker_listed(self, message: WorkerListed) -> None:
        lead = self._lead
        worker = lead and lead.state.worker_by_id.get(message.worker_id)
        if lead is None or not worker:
            return
        had_synced = worker.synced
        lead.state.listed(
            worker,
            message.listing,
            message.fence,
            message.asked_ms,
            self._clock.now_ms(),
            self._clock.unix_ms(),
        )
        if worker.synced and not had_synced:
            logs.state_change(
                "worker_synced",
                worker=message.worker_id,
                fence=message.fence,
                runs=len(worker.run_by_task),
                strays=len(worker.stray_by_task),
            )
        if message.listing.ended:
            self._schedule_plan(lead)
            self._save_changed(lead, (message.worker_id, worker.last_end))
        self._perform(lead)
        if worker.synced and not had_synced:
            self._schedule_plan(lead)

    @handles(CallUnanswered)
    async def _call_unanswered(self, message: CallUnanswered) -> None:
        if self._lead is not None:
            self._alert(self._lead)

    def _alert(self, lead: _Lead) -> None:
        """Let all links look more often; what one worker loses others lose too."""
        until_ms = self._clock.now_ms() + ALERT_MS
        if until_ms - lead.alert_until_ms < ALERT_MS // 4:
            return
        lead.alert_until_ms = until_ms
        for link in lead.link_by_worker.values():
            link.tell(LinkAlert(until_ms))

    @handles(WorkerSilent)
    async def _worker_silent(self, message: WorkerSilent) -> None:
        lead = self._lead
        worker = lead and lead.state.worker_by_id.get(message.worker_id)
        if lead is None or not worker:
            return
        if not worker.silent_since_ms:
            worker.silent_since_ms = self._clock.now_ms()
            if worker.synced:
                lead.state.request_sync(worker)
        if message.expired:
            lead.state.expire_worker(worker)
            self._schedule_plan(lead)
            self._drop_departed(lead)
        self._perform(lead)

    @handles(StartAnswered)
    async def _start_answered(self, message: StartAnswered) -> None:
        lead = self._lead
        if lead is None:
            return
        state = lead.state
        if message.outcome is StartOutcome.STARTED:
            state.start_confirmed(
                message.worker_id, message.task, message.run, self._clock.now_ms()
            )
        elif message.outcome is StartOutcome.UNKNOWN:
            state.start_unknown(message.worker_id, message.task, message.run)
            self._alert(lead)
        else:
            self._start_refused(lead, message)
        self._perform(lead)

    def _start_refused(self, lead: _Lead, message: StartAnswered) -> None:
        run = lead.state.start_refused(message.worker_id, message.task, message.run)
        if run is None:
            return
        self._metrics.retried("start_refused")
        logs.state_change(
            "start_refused",
            job=message.task.job_id,
            worker=message.worker_id,
            reason=message.reason,
        )
        worker = lead.state.worker_by_id.get(message.worker_id)
        if message.reason == "ticket":
            run.step.tickets.reject(message.worker_id)
        elif worker is not None and worker.synced:
            # Whatever the worker has is not what this leader believes.
            worker.suspicion.distrust(self._clock.now_ms())
            lead.state.request_sync(worker)
        self._schedule_plan(lead)

    # Callers

    @handles(SubmitStepJob)
    async def _submit(self, message: SubmitStepJob) -> Any:
        lead = self._current()
        return self.spawn(self._accept(lead, message))

    async def _accept(self, lead: _Lead, message: SubmitStepJob) -> StepJobAccepted:
        job = message.job
        known = lead.state.job_by_id.get(job.job_id)
        if known is not None:
            # The same id again is a repetition, which can arrive much later.
            if not known.stored:
                await self._settle(lead)
            if known.stored:
                return StepJobAccepted(False)
            # The first call was refused meanwhile, so this one hands the job in.
        queue = await self._find_queue(job.queue, message.config_version)
        if job.job_id in lead.state.job_by_id:
            # A repetition came first while this call waited for the configuration.
            return await self._accept(lead, message)
        if not lead.reachable:
            raise TableRefusedError("the store cannot be reached")
        if len(lead.state.open_by_id) >= MAX_OPEN_JOBS:
            raise OverloadedError("too many jobs are open")
        progress = lead.state.add_job(job, queue, self._clock.now_ms())
        write = RowWrite(
            job_row(job.job_id), serialize_row(JobRow(job, progress.queue))
        )
        # Rows are written in the order in which they are asked for, so whatever is
        # planned from now on is stored after the job.
        self._schedule_plan(lead)
        try:
            await self._settle(lead, write, may_refuse=True)
        except TableRefusedError:
            lead.state.drop_job(job.job_id)
            raise
        progress.stored = True
        logs.state_change(
            "job_accepted",
            job=job.job_id,
            queue=job.queue,
            team=job.team,
            steps=len(job.steps),
            tasks=sum(step.count for step in job.steps),
            beyond_weight=progress.beyond_weight,
        )
        return StepJobAccepted(True)

    async def _find_queue(self, name: str, config_version: int) -> Queue:
        """Return a queue, waiting for the configuration that the sender went by.

        Raises:
            QueueNotFoundError: If the configuration has no such queue.
            StaleAuthorityError: If it does not come in time.
        """
        config = self._config
        if config.version < config_version and self._directory is not None:
            config = await self._directory.ask(
                AwaitConfiguration(config_version, CONFIG_WAIT_MS)
            )
        queue = config.queue_by_name.get(name)
        if queue is None:
            raise QueueNotFoundError(f"no queue is named {name}")
        return queue

    @staticmethod
    async def _settle(lead: _Lead, *writes: RowWrite, may_refuse: bool = False) -> None:
        """Wait until the store holds a job.

        Raises:
            TableRefusedError: If nothing was sent to the store and nothing will be.
            OutcomeUnknownError: If the lead ends first; a successor may find it.
        """
        try:
            await lead.commits.ask(SaveRows(writes, may_refuse))
        except (NotOwnerError, ShuttingDownError):
            raise OutcomeUnknownError("the lead ended before an answer") from None

    @handles(GetStepJob)
    async def _get(self, message: GetStepJob) -> StepJobShown:
        progress = self._find(self._current(), message.job_id)
        return StepJobShown(progress.shown_state, progress.job.team)

    @handles(CancelStepJob)
    async def _cancel(self, message: CancelStepJob) -> Any:
        lead = self._current()
        progress = self._find(lead, message.job_id)
        return self.spawn(self._cancel_job(lead, progress))

    async def _cancel_job(self, lead: _Lead, progress: JobProgress) -> StepJobShown:
        if not progress.state.is_final:
            lead.state.cancel_job(progress, self._clock.unix_ms())
            logs.state_change("job_cancelled", job=progress.job.job_id)
            stored = self._save_changed(lead, None)
            self._perform(lead)
            self._schedule_plan(lead)
            if stored is not None:
                await stored
        else:
            await self._settle(lead)
        if not progress.shown_state.is_final:
            raise OutcomeUnknownError("the lead ended before the job was cancelled")
        return StepJobShown(progress.shown_state, progress.job.team)

    @handles(CountPending)
    async def _count_pending(self, message: CountPending) -> PendingCount:
        return PendingCount(self._current().state.count_pending(message.queue))

    def _current(self) -> _Lead:
        if self._lead is None:
            raise NotOwnerError("this instance does not lead")
        return self._lead

    def _find(self, lead: _Lead, job_id: str) -> JobProgress:
        progress = lead.state.job_by_id.get(job_id)
        if progress is None or not progress.stored:
            raise JobNotFoundError(f"no job has the id {job_id}")
        return progress

    # Planning

    def _schedule_plan(self, lead: _Lead) -> None:
        if not lead.plan_scheduled:
            lead.plan_scheduled = True
            self.spawn(self._plan_soon(lead))

    async def _plan_soon(self, lead: _Lead) -> None:
        await asyncio.sleep(PLAN_DELAY_MS / 1000)
        lead.plan_scheduled = False
        if self._lead is lead:
            lead.planner.lines.instance_ids = self._member_ids
            lead.planner.plan(self._clock.now_ms(), self._clock.unix_ms())
            self._perform(lead)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            lead = self._lead
            if lead is None:
                continue
            lead.supervisor.supervise(self._clock.now_ms())
            lead.supervisor.forget_stops()
            self._schedule_plan(lead)
            self._perform(lead)
            self._purge(lead)
            self._report(lead)

    def _report(self, lead: _Lead) -> None:
        """Write a line on the load, so that a late job can be explained."""
        now_ms = self._clock.now_ms()
        if now_ms - lead.reported_ms < REPORT_INTERVAL_MS:
            return
        lead.reported_ms = now_ms
        workers = lead.state.worker_by_id.values()
        usable = [worker for worker in workers if worker.accepts_work(now_ms)]
        capacity = sum(worker.worker.capacity.cpu_millis for worker in usable)
        waiting = sorted(lead.planner.waiting_by_reason.items())
        logs.state_change(
            "load",
            open=len(lead.state.open_by_id),
            waiting=",".join(f"{reason}={count}" for reason, count in waiting),
            workers=len(usable),
            cpu_capacity=capacity,
            cpu_used=sum(worker.used.cpu_millis for worker in usable),
            cpu_spare_used=sum(worker.spare_used.cpu_millis for worker in usable),
            advice_ms=lead.planner.lines.total_pending_ms,
        )

    def _purge(self, lead: _Lead) -> None:
        """Drop the jobs that callers may no longer ask for."""
        now_ms = self._clock.now_ms()
        if now_ms - lead.purged_ms < PURGE_INTERVAL_MS or not lead.reachable:
            return
        lead.purged_ms = now_ms
        oldest_ms = self._clock.unix_ms() - self._terms.status_ms - RETENTION_MARGIN_MS
        for progress in list(lead.state.job_by_id.values()):
            if progress.shown_state.is_final and progress.ended_unix_ms < oldest_ms:
                job_id = progress.job.job_id
                lead.state.drop_job(job_id)
                self._save(
                    lead,
                    RowWrite(job_row(job_id), remove=True),
                    RowWrite(progress_row(job_id), remove=True),
                )

    # Carrying out

    def _perform(self, lead: _Lead) -> None:
        """Store what has changed and send whatever the state asks for."""
        if self._lead is not lead:
            return
        starts = []
        for action in lead.state.take_actions():
            if isinstance(action, StartRun):
                starts.append(action)
            else:
                self._perform_one(lead, action)
        self._save_changed(lead, None, starts)

    def _perform_one(self, lead: _Lead, action: StepAction) -> None:
        if isinstance(action, AskAdvice):
            self.spawn(self._ask_advice(lead, action))
            return
        if isinstance(action, SyncWorker):
            self.spawn(self._sync_worker(lead, action))
            return
        link = lead.link_by_worker.get(action.worker_id)
        if link is None:
            return
        if isinstance(action, StopRun):
            self._metrics.count(f"stopped.{action.reason}")
            logs.state_change(
                "run_stopped",
                job=action.task.job_id,
                task=f"{action.task.occurrence}.{action.task.step}.{action.task.index}",
                worker=action.worker_id,
                reason=action.reason,
            )
            link.tell(LinkStop(action.task, action.run, action.fence))
        elif isinstance(action, PaceRun):
            link.tell(LinkPace(action.task, action.run, action.percent, action.fence))

    def _send_starts(self, lead: _Lead, starts: Sequence[StartRun]) -> None:
        for action in starts:
            link = lead.link_by_worker.get(action.worker_id)
            worker = lead.state.worker_by_id.get(action.worker_id)
            order = action.order
            if link is None or worker is None or worker.fence != action.fence:
                # The listing under the new fence has shown that it is not there.
                continue
            run = worker.run_by_task.get((order.task, order.run))
            if run is None:
                continue
            if run.phase is RunPhase.STOPPING:
                lead.state.start_refused(action.worker_id, order.task, order.run)
                continue
            link.tell(LinkStart(order, action.fence))

    async def _sync_worker(self, lead: _Lead, action: SyncWorker) -> None:
        link = lead.link_by_worker.get(action.worker_id)
        if link is not None:
            link.tell(LinkSync(action.fence))
            return
        state = lead.state.worker_by_id.get(action.worker_id)
        if state is None:
            return
        is_inherited = action.worker_id in lead.inherited
        if action.worker_id not in lead.roster:
            lead.roster = lead.roster | {action.worker_id}
            await self._save_roster(lead)
        if self._lead is not lead or action.worker_id in lead.link_by_worker:
            return
        await self._add_link(lead, state.worker, action.fence, is_inherited)

    async def _add_link(
        self, lead: _Lead, worker: StepWorker, fence: int, is_inherited: bool
    ) -> None:
        expired_ms = 0
        if is_inherited:
            # An earlier leader that is still at work may renew leases for this
            # long, and each of them lasts on the worker's own clock.
            expired_ms = (
                self._clock.now_ms() + GRANT_LIMIT_MS + self._terms.hold_ms * 11 // 10
            )
        link = WorkerLink(
            worker,
            self._connect(worker),
            self,
            self._clock,
            self._terms.hold_ms,
            fence,
            expired_ms,
        )
        lead.link_by_worker[worker.worker_id] = link
        link.on_fatal = self.on_fatal
        await link.start()
        link.tell(LinkGrant(lead.grant_until_ms))

    async def _save_roster(self, lead: _Lead) -> None:
        workers = tuple(
            state.worker
            for worker_id, state in lead.state.worker_by_id.items()
            if worker_id in lead.roster
        )
        write = RowWrite(ROSTER_ROW, serialize_row(RosterRow(workers)))
        with contextlib.suppress(NotOwnerError, ShuttingDownError):
            await lead.commits.ask(SaveRows((write,)))

    def _save_changed(
        self,
        lead: _Lead,
        ends: tuple[str, int] | None,
        starts: Sequence[StartRun] = (),
    ) -> asyncio.Task[None] | None:
        """Store the jobs that changed, then let go what waits for that.

        Args:
            lead: The lead.
            ends: A worker, and the number of its last end that this covers.
            starts: Starts of which the store must know.

        Returns:
            A task that ends once all is stored, or None if nothing is to be.
        """
        changed = lead.state.take_changed()
        if not changed and ends is None and not starts:
            return None
        writes = tuple(
            RowWrite(
                progress_row(progress.job.job_id), serialize_row(progress.record())
            )
            for progress in changed
        )
        states = [(progress, progress.state) for progress in changed]
        return self.spawn(self._store_changed_jobs(lead, writes, states, ends, starts))

    async def _store_changed_jobs(
        self,
        lead: _Lead,
        writes: tuple[RowWrite, ...],
        states: list[tuple[JobProgress, StepJobState]],
        ends: tuple[str, int] | None,
        starts: Sequence[StartRun],
    ) -> None:
        try:
            await lead.commits.ask(SaveRows(writes))
        except (NotOwnerError, ShuttingDownError):
            return
        if self._lead is not lead:
            return
        self._show_states(lead, states)
        if ends is not None:
            worker_id, number = ends
            link = lead.link_by_worker.get(worker_id)
            if link is not None:
                link.tell(LinkAcknowledge(number))
        if starts:
            self._send_starts(lead, starts)

    def _show_states(
        self, lead: _Lead, states: list[tuple[JobProgress, StepJobState]]
    ) -> None:
        for progress, state in states:
            if progress.shown_state.is_final or not state.is_final:
                continue
            progress.shown_state = state
            self._metrics.count(f"ended.{state.value}")
            self._metrics.timing("job", self._clock.now_ms() - progress.accepted_ms)
            logs.state_change(
                "job_ended",
                job=progress.job.job_id,
                queue=progress.job.queue,
                state=state.value,
                age_ms=self._clock.now_ms() - progress.accepted_ms,
            )

    def _save(self, lead: _Lead, *writes: RowWrite) -> None:
        self.spawn(self._store_changed_jobs(lead, writes, [], None, ()))

    # Advice

    async def _ask_advice(self, lead: _Lead, action: AskAdvice) -> None:
        lines, chosen = lead.planner.lines, action.instance_id
        request = RequestAdvice(
            action.job_id, action.occurrence, action.step, action.worker_ids
        )
        advice: StepAdvice | None = None
        try:
            if chosen == self._instance_id:
                advice = await self._advisor.ask(request)
            else:
                timeout_ms = lines.pending_ms(chosen) + ADVICE_MARGIN_MS
                advice = await self._peers.ask(CallPeer(chosen, request, timeout_ms))
        except MarjoramgradeError as error:
            lines.avoid(chosen, self._clock.now_ms())
            logs.state_change(
                "advice_failed", job=action.job_id, by=chosen, code=error.code
            )
        finally:
            lines.ended(chosen, action.decide_ms)
        if self._lead is lead:
            self._advised(lead, action, advice)

    def _advised(
        self, lead: _Lead, action: AskAdvice, advice: StepAdvice | None
    ) -> None:
        progress = lead.state.job_by_id.get(action.job_id)
        steps = progress and progress.steps_by_occurrence.get(action.occurrence)
        if not steps:
            return
        now_ms = self._clock.now_ms()
        book = steps[action.step].tickets
        if advice is None:
            book.failed(now_ms)
            return
        tickets = {}
        for advised in advice.workers:
            state = lead.state.worker_by_id.get(advised.worker_id)
            if state is not None:
                tickets[advised.worker_id] = Ticket(
                    advised.ticket,
                    state.worker.born_unix_ms,
                    now_ms + advice.valid_ms,
                )
        book.record(action.worker_ids, tickets)
        self._schedule_plan(lead)
