"""State of the leader, and execution of the actions that this state requests."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Container, Coroutine, Mapping, Sequence
from typing import Any

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import STOPPED_ERRORS, Actor, ActorFailure
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.commits import (
    MAX_BATCH_BYTES,
    CommitController,
    SaveRows,
)
from marjoramgrade.controllers.leaderpolicies import LeaderPolicies
from marjoramgrade.controllers.linkfailures import report_link
from marjoramgrade.controllers.stepworkerlink import ConnectWorker, StepWorkerLink
from marjoramgrade.decisions.admission.policies import AdmissionPolicy
from marjoramgrade.decisions.listings.setaside import FIRST_PAUSE_MS, SetAsideWorkers
from marjoramgrade.decisions.listings.takeover import SLOT_MS, FirstListings
from marjoramgrade.decisions.planpacing import PlanPacer
from marjoramgrade.decisions.stepactions import (
    AskAdvice,
    EndLead,
    PaceRun,
    StartRun,
    StepAction,
    StopRun,
    SyncWorker,
)
from marjoramgrade.decisions.stepplanning import Planner
from marjoramgrade.decisions.stepprogress import JobProgress
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepsupervision import Supervisor
from marjoramgrade.errors import (
    AdvisorError,
    MarjoramgradeError,
    NotOwnerError,
)
from marjoramgrade.messages.peers import CallPeer
from marjoramgrade.messages.rows import RowId, RowWrite
from marjoramgrade.messages.steps import (
    AcknowledgeRunEnds,
    AllowLeaseRenewal,
    LeadershipEnded,
    RaiseFence,
    RequestAdvice,
    SendRunPace,
    SendRunStart,
    SendRunStop,
    StepAdvice,
    StepJobAccepted,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.stepconfig import StepConfig
from marjoramgrade.stepjobs import StepJobState, StepWorker
from marjoramgrade.steprows import (
    RosterRow,
    progress_row_id,
    roster_row_id,
    roster_row_number,
    serialize_progress,
    serialize_row,
)

# A leader that the store has not confirmed for this long extends no lease of a worker.
# A successor can therefore compute when the runs of unreachable workers have ended.
GRANT_LIMIT_MS = 3_500
# Added to the expected duration of advisor calls to get the timeout of a call. A
# channel through an instance without power delays the step by this much, and an urgent
# step has some 700 ms to spare.
ADVICE_MARGIN_MS = 500


@attrs.frozen
class LeaderBounds:
    """Bounds of the deployment that every leader keeps.

    Attributes:
        worker_lease_ms: Duration of the leases that a leader grants to workers.
        longest_lease_ms: Longest lease that a worker grants, whatever is asked for.
        status_retention_ms: How long the state of an ended job can be queried.
        max_row_bytes: Largest row that the store accepts.
        max_batch_bytes: Size of the rows that one transaction may hold, in bytes.
        max_text_bytes: Memory of the texts of all jobs above which none is accepted, in
            bytes; 0 for no limit.
    """

    worker_lease_ms: int
    longest_lease_ms: int
    status_retention_ms: int
    max_row_bytes: int = 65_536
    max_batch_bytes: int = MAX_BATCH_BYTES
    max_text_bytes: int = 0


@attrs.frozen
class EndsToAcknowledge:
    """Run ends of one incarnation of a worker, to acknowledge once they are stored.

    Attributes:
        worker_id: The worker.
        born_unix_ms: Start time of the incarnation, which identifies it.
        job_id_by_number: Jobs of the ends that a listing holds, by number of the end.
    """

    worker_id: str
    born_unix_ms: int
    job_id_by_number: Mapping[int, str]

    def last_stored(self, unstored_job_ids: Container[str]) -> int:
        """Return the number up to which all ends are stored; 0 if the first is not.

        An acknowledgement covers all ends up to its number.
        """
        last = 0
        for number, job_id in sorted(self.job_id_by_number.items()):
            if job_id in unstored_job_ids:
                break
            last = number
        return last


@attrs.define
class LeaderWrites:
    """The writes of one leadership, which begin before its state is recovered.

    Attributes:
        epoch: Number of the leadership.
        row_version: Version of the row that records the leadership.
        confirmed_ms: When the last call was sent to which the store responded that this
            instance leads. Leases of workers may be granted for `GRANT_LIMIT_MS` from
            then on, whenever the response was handled.
        commits: Writes rows to the store.
        stack: Stops the commit controller when the leadership ends.
        recovery: Reads the state that earlier leaders stored; None before it began.
        is_renewing: Whether a renewal of the lead is being written.
    """

    epoch: int
    row_version: int
    confirmed_ms: int
    commits: CommitController
    stack: contextlib.AsyncExitStack
    recovery: asyncio.Task[None] | None = None
    is_renewing: bool = False


@attrs.define
class LeaderState:
    """State that exists only while this instance leads and has recovered.

    Times are monotonic.

    Attributes:
        epoch: Number of the leadership.
        commits: Writes rows to the store.
        state: Jobs, workers and runs.
        planner: Assigns tasks to workers.
        supervisor: Monitors runs.
        admission: Admits new jobs.
        link_by_worker: Links to the workers, by worker id.
        first_listings: Decides when the link to a worker is made.
        first_listing_ended: Set when a worker has responded to its first listing.
        leases_end_ms_by_worker: When the runs of a worker without a link have certainly
            ended. The link that is made next takes over from there.
        pending_submission_by_job: Submissions that are being stored, by job id.
        roster: Ids of the workers that are stored as possible holders of runs.
        recovered_workers: Ids of the workers in the roster of an earlier leader.
        unreadable_job_ids: Stored jobs whose rows cannot be decoded.
        unstored_job_ids: Jobs whose progress the store has refused since it was last
            stored. A write without a row of such a job does not store its progress.
        is_store_reachable: Whether writes reach the store.
        grant_until_ms: Until when leases of workers may be extended.
        plan_scheduled: Whether the planner is about to run.
        pacer: Delays the plans while they take long.
        alert_until_by_zone: Until when the listings of the workers of a zone use the
            shortened wait.
        last_purge_ms: When ended jobs were last removed.
        last_load_log_ms: When the load was last logged.
        last_rewrite_ms: When refused progress was last written again.
    """

    epoch: int
    commits: CommitController
    state: StepState
    planner: Planner
    supervisor: Supervisor
    admission: AdmissionPolicy
    link_by_worker: dict[str, StepWorkerLink] = attrs.field(factory=dict)
    first_listings: FirstListings = attrs.field(factory=FirstListings)
    first_listing_ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    leases_end_ms_by_worker: dict[str, int] = attrs.field(factory=dict)
    pending_submission_by_job: dict[str, asyncio.Task[StepJobAccepted]] = attrs.field(
        factory=dict
    )
    roster: frozenset[str] = frozenset()
    recovered_workers: frozenset[str] = frozenset()
    unreadable_job_ids: frozenset[str] = frozenset()
    unstored_job_ids: set[str] = attrs.field(factory=set)
    is_store_reachable: bool = True
    grant_until_ms: int = 0
    plan_scheduled: bool = False
    pacer: PlanPacer = attrs.field(factory=PlanPacer)
    alert_until_by_zone: dict[str, int] = attrs.field(factory=dict)
    last_purge_ms: int = 0
    last_load_log_ms: int = 0
    last_rewrite_ms: int = 0


class LeaderActionExecutor(Actor):
    """Base class that executes the actions that the state of the leader requests.

    Args:
        instance_id: Id of this instance.
        store: Reads and writes rows.
        peers: Sends messages to the other instances.
        advisor: Calls the placement advisor from this instance.
        connect: Creates the client of a worker.
        bounds: Bounds of leases, of the retention of ended jobs and of rows.
        clock: Monotonic and Unix time.
        metrics: Counters and timings.
        policies: What the settings choose for a leader.
    """

    def __init__(
        self,
        instance_id: str,
        store: Actor,
        peers: Actor,
        advisor: Actor,
        connect: ConnectWorker,
        bounds: LeaderBounds,
        clock: Clock,
        metrics: Metrics,
        policies: LeaderPolicies | None = None,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._policies = policies or LeaderPolicies()
        self._store = store
        self._peers = peers
        self._advisor = advisor
        self._connect = connect
        self._bounds = bounds
        self._clock = clock
        self._metrics = metrics
        self._config = StepConfig()
        self._evacuated_zones: frozenset[str] = frozenset()
        self._version_by_member: dict[str, int] = {}
        self._writes: LeaderWrites | None = None
        self._lead: LeaderState | None = None
        # The platform's list of workers; None before it was read in this leadership.
        self._worker_list: tuple[StepWorker, ...] | None = None
        self._set_aside = SetAsideWorkers()
        self._directory: Actor | None = None
        self._leadership: Actor | None = None

    def connect(self, directory: Actor, leadership: Actor) -> None:
        """Set the controllers that are constructed after the scheduler."""
        self._directory = directory
        self._leadership = leadership

    def _spawn_for_lead(
        self, epoch: int, work: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Run work of a leadership, which ends if the work fails unexpectedly.

        A leader that went on without a part of its work would be heard and replaced
        by nobody.
        """
        task = self.spawn(work)

        def check(done: asyncio.Task[None]) -> None:
            error = None if done.cancelled() else done.exception()
            if error is not None and not isinstance(error, STOPPED_ERRORS):
                name = getattr(done.get_coro(), "__name__", "")
                self._fail_lead(
                    epoch, ActorFailure(type(self).__name__, "", name, error)
                )

        task.add_done_callback(check)
        return task

    def _fail_lead(self, epoch: int, failure: ActorFailure) -> None:
        """End a leadership of which a part has failed unexpectedly."""
        failure.log("lead_failed", epoch=epoch)
        self.tell_soon(LeadershipEnded(epoch, "a part of the leader failed"))

    def _schedule_plan(self, lead: LeaderState) -> None:
        if not lead.plan_scheduled:
            lead.plan_scheduled = True
            self._spawn_for_lead(lead.epoch, self._plan_after_delay(lead))

    async def _plan_after_delay(self, lead: LeaderState) -> None:
        await asyncio.sleep(lead.pacer.delay_ms / 1000)
        lead.plan_scheduled = False
        if self._lead is lead:
            lead.planner.channels.set_instances(self._version_by_member)
            began_ms = self._clock.now_ms()
            lead.planner.plan(began_ms, self._clock.unix_ms())
            self._report_placements(lead)
            self._perform_actions(lead)
            lead.pacer.took_ms = self._clock.now_ms() - began_ms
            self._metrics.timing("plan", lead.pacer.took_ms)
            lead.pacer.was_cut = lead.planner.is_cut
            if lead.planner.is_cut:
                self._schedule_plan(lead)

    def _report_placements(self, lead: LeaderState) -> None:
        """Count and log what the last plan decided about places."""
        for outcome, count in lead.planner.count_by_outcome.items():
            self._metrics.count(f"placement.{outcome}", count)
        lead.planner.count_by_outcome.clear()
        for change in lead.planner.rack_wait_changes:
            if not change.outcome:
                logs.log_event("rack_awaited", job=change.job_id, step=change.name)
                continue
            logs.log_event(
                "rack_wait_ended",
                job=change.job_id,
                step=change.name,
                outcome=change.outcome,
                waited_ms=change.waited_ms,
            )
        lead.planner.rack_wait_changes.clear()

    def _perform_actions(self, lead: LeaderState) -> None:
        """Store the changed jobs and execute the actions that the state requests."""
        if self._lead is not lead:
            return
        starts = []
        for action in lead.state.pop_actions():
            if isinstance(action, StartRun):
                starts.append(action)
            else:
                self._perform_action(lead, action)
        self._save_changed_jobs(lead, None, starts)

    def _perform_action(self, lead: LeaderState, action: StepAction) -> None:
        if isinstance(action, AskAdvice):
            self._spawn_for_lead(lead.epoch, self._ask_advice(lead, action))
            return
        if isinstance(action, EndLead):
            self.tell(LeadershipEnded(lead.epoch, action.reason))
            return
        if isinstance(action, SyncWorker):
            self._spawn_for_lead(lead.epoch, self._sync_worker(lead, action))
            return
        link = lead.link_by_worker.get(action.worker_id)
        if link is None:
            return
        if isinstance(action, StopRun):
            self._metrics.count(f"stopped.{action.reason}")
            logs.log_event(
                "run_stopped",
                job=action.task.job_id,
                task=f"{action.task.occurrence}.{action.task.step}.{action.task.index}",
                worker=action.worker_id,
                reason=action.reason,
            )
            link.tell(SendRunStop(action.task, action.run, action.fence))
        elif isinstance(action, PaceRun):
            link.tell(
                SendRunPace(action.task, action.run, action.percent, action.fence)
            )

    def _send_starts(self, lead: LeaderState, starts: Sequence[StartRun]) -> None:
        for action in starts:
            link = lead.link_by_worker.get(action.worker_id)
            worker = lead.state.worker_by_id.get(action.worker_id)
            order = action.order
            if link is None or worker is None or worker.fence != action.fence:
                # The listing under the newer fencing token showed that the run is
                # absent.
                continue
            run = worker.run_by_task.get((order.task, order.run))
            if run is None:
                continue
            if not lead.state.may_send_start(run, order.ticket, self._clock.now_ms()):
                lead.state.record_start_refused(action.worker_id, order.task, order.run)
                self._schedule_plan(lead)
                continue
            link.tell(SendRunStart(order, action.fence))
            logs.log_batched(
                "start_sent", f"{order.task}/{order.run}@{action.worker_id}"
            )

    async def _sync_worker(self, lead: LeaderState, action: SyncWorker) -> None:
        link = lead.link_by_worker.get(action.worker_id)
        if link is not None:
            link.tell(RaiseFence(action.fence))
            return
        state = lead.state.worker_by_id.get(action.worker_id)
        if state is None:
            return
        if action.worker_id not in lead.roster:
            lead.roster = lead.roster | {action.worker_id}
            await self._save_roster(lead, roster_row_number(action.worker_id))
        if self._lead is not lead:
            return
        link = lead.link_by_worker.get(action.worker_id)
        if link is not None:
            # The fence was raised again while the roster was being stored.
            link.tell(RaiseFence(action.fence))
            return
        was_waiting = lead.first_listings.is_waiting
        lead.first_listings.request(action.worker_id, bool(state.run_by_task))
        if not was_waiting:
            self._spawn_for_lead(lead.epoch, self._begin_first_listings(lead))

    async def _begin_first_listings(self, lead: LeaderState) -> None:
        """Make the links to the waiting workers as earlier ones have responded."""
        while self._lead is lead:
            lead.first_listing_ended.clear()
            now_ms = self._clock.now_ms()
            for worker_id in lead.first_listings.pop_due(now_ms):
                state = lead.state.worker_by_id.get(worker_id)
                if state is None or worker_id in lead.link_by_worker:
                    lead.first_listings.settle(worker_id)
                elif self._set_aside.is_set_aside(worker_id, now_ms):
                    # It gets a link once its pause has ended.
                    lead.first_listings.settle(worker_id)
                    self._bound_leases(lead, worker_id)
                else:
                    await self._add_link(lead, state.worker, state.fence)
            if not lead.first_listings.is_waiting:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SLOT_MS / 1000):
                    await lead.first_listing_ended.wait()

    async def _add_link(
        self, lead: LeaderState, worker: StepWorker, fence: int
    ) -> None:
        worker_id = worker.worker_id
        if worker_id in lead.recovered_workers:
            self._bound_leases(lead, worker_id)
        try:
            port = self._connect(worker)
        except MarjoramgradeError as error:
            # The entry in the roster may be of an earlier version, which checked less.
            self._set_worker_aside(lead, worker_id, error.message)
            return
        link = StepWorkerLink(
            worker,
            port,
            self,
            self._clock,
            self._bounds.worker_lease_ms,
            self._bounds.longest_lease_ms,
            fence,
            lead.leases_end_ms_by_worker.pop(worker_id, 0),
            self._policies.listing,
        )
        lead.link_by_worker[worker_id] = link
        link.on_fatal = functools.partial(report_link, self, worker_id, link)
        await link.start()
        link.tell(AllowLeaseRenewal(lead.grant_until_ms))

    def _bound_leases(self, lead: LeaderState, worker_id: str) -> None:
        """Bound the leases of a worker that this instance has no link to.

        An earlier leader that still runs may extend them for GRANT_LIMIT_MS, and each
        lease then expires by the worker's clock, which may run slower. A link that has
        failed has asked for none that lasts longer.
        """
        longest_ms = GRANT_LIMIT_MS + self._bounds.worker_lease_ms * 11 // 10
        end_ms = self._clock.now_ms() + longest_ms
        lead.leases_end_ms_by_worker.setdefault(worker_id, end_ms)

    def _set_worker_aside(
        self,
        lead: LeaderState,
        worker_id: str,
        reason: str,
        first_pause_ms: int = FIRST_PAUSE_MS,
    ) -> None:
        """Give a worker no link for a while, after an unexpected failure about it.

        Its runs count as lost once its leases have ended, as those of a worker that
        does not respond.
        """
        pause_ms = self._set_aside.record_failure(
            worker_id, self._clock.now_ms(), first_pause_ms
        )
        self._metrics.count("set_aside.worker")
        logs.log_event(
            "worker_set_aside", worker=worker_id, reason=reason, pause_ms=pause_ms
        )
        self._bound_leases(lead, worker_id)

    async def _save_roster(self, lead: LeaderState, number: int) -> None:
        """Write the row of the roster with this number."""
        workers = tuple(
            lead.state.worker_by_id[worker_id].worker
            for worker_id in sorted(lead.roster)
            if worker_id in lead.state.worker_by_id
            and roster_row_number(worker_id) == number
        )
        write = RowWrite(roster_row_id(number), serialize_row(RosterRow(workers)))
        with contextlib.suppress(NotOwnerError, *STOPPED_ERRORS):
            await lead.commits.ask(SaveRows((write,)))

    def _save_changed_jobs(
        self,
        lead: LeaderState,
        ends: EndsToAcknowledge | None,
        starts: Sequence[StartRun] = (),
    ) -> asyncio.Task[None] | None:
        """Store the changed jobs, then send the messages that depend on the write.

        Args:
            lead: State of the leadership.
            ends: Run ends to acknowledge to the worker after the write, or None.
            starts: Run starts to send to workers after the write.

        Returns:
            A task that ends after the write, or None if there is nothing to do.
        """
        changed = lead.state.pop_changed_jobs()
        if not changed and ends is None and not starts:
            return None
        writes = tuple(
            RowWrite(
                progress_row_id(progress.job.job_id),
                serialize_progress(progress, self._bounds.max_row_bytes),
            )
            for progress in changed
        )
        states = [(progress, progress.state) for progress in changed]
        return self._spawn_for_lead(
            lead.epoch, self._store_changed_jobs(lead, writes, states, ends, starts)
        )

    async def _store_changed_jobs(
        self,
        lead: LeaderState,
        writes: tuple[RowWrite, ...],
        states: list[tuple[JobProgress, StepJobState]],
        ends: EndsToAcknowledge | None,
        starts: Sequence[StartRun],
    ) -> None:
        try:
            rejected = await lead.commits.ask(SaveRows(writes))
        except (NotOwnerError, *STOPPED_ERRORS):
            return
        if self._lead is not lead:
            return
        self._record_stored(lead, states, rejected)
        self._publish_states(lead, states)
        if ends is not None:
            self._acknowledge_ends(lead, ends)
        if starts:
            self._send_starts(lead, self._withhold_starts(lead, starts))

    @staticmethod
    def _record_stored(
        lead: LeaderState,
        states: Sequence[tuple[JobProgress, StepJobState]],
        rejected: frozenset[RowId],
    ) -> None:
        """Record which jobs of a write are stored; each row holds all of a job."""
        for progress, _ in states:
            job_id = progress.job.job_id
            if progress_row_id(job_id) in rejected:
                lead.unstored_job_ids.add(job_id)
            else:
                lead.unstored_job_ids.discard(job_id)

    @staticmethod
    def _acknowledge_ends(lead: LeaderState, ends: EndsToAcknowledge) -> None:
        """Let a worker forget the ends whose rows are stored.

        Writes are stored in order, so what earlier listings held has been written too.
        """
        link = lead.link_by_worker.get(ends.worker_id)
        number = ends.last_stored(lead.unstored_job_ids)
        if link is None or not number:
            return
        link.tell(AcknowledgeRunEnds(ends.born_unix_ms, number))
        logs.log_batched(
            "ends_acknowledged", f"{ends.worker_id}#{number}@{ends.born_unix_ms}"
        )

    @staticmethod
    def _withhold_starts(
        lead: LeaderState, starts: Sequence[StartRun]
    ) -> list[StartRun]:
        """Drop the starts whose placement could not be stored; return the others."""
        stored = []
        for action in starts:
            task = action.order.task
            if task.job_id in lead.unstored_job_ids:
                run = action.order.run
                lead.state.record_start_refused(action.worker_id, task, run)
            else:
                stored.append(action)
        return stored

    def _publish_states(
        self, lead: LeaderState, states: list[tuple[JobProgress, StepJobState]]
    ) -> None:
        for progress, state in states:
            if progress.visible_state.is_final or not state.is_final:
                continue
            if progress.job.job_id in lead.unstored_job_ids:
                continue
            progress.visible_state = state
            self._metrics.count(f"ended.{state.value}")
            self._metrics.timing("job", self._clock.now_ms() - progress.accepted_ms)
            logs.log_job_event(
                "job_ended",
                progress.job.job_id,
                queue=progress.job.queue,
                state=state.value,
                age_ms=self._clock.now_ms() - progress.accepted_ms,
                waited=",".join(
                    f"{reason}={waited_ms}"
                    for reason, waited_ms in sorted(
                        progress.waited_ms_by_reason.items()
                    )
                    if waited_ms
                ),
            )

    def _save_rows(self, lead: LeaderState, *writes: RowWrite) -> None:
        self._spawn_for_lead(
            lead.epoch, self._store_changed_jobs(lead, writes, [], None, ())
        )

    async def _ask_advice(self, lead: LeaderState, action: AskAdvice) -> None:
        channels, instance_id = lead.planner.channels, action.instance_id
        request = RequestAdvice(
            action.job_id, action.occurrence, action.step, action.worker_ids
        )
        advice: StepAdvice | None = None
        is_reached = True
        started_ms = self._clock.now_ms()
        try:
            if instance_id == self._instance_id:
                advice = await self._advisor.ask(request)
            else:
                timeout_ms = channels.pending_ms(instance_id) + ADVICE_MARGIN_MS
                advice = await self._peers.ask(
                    CallPeer(instance_id, request, timeout_ms)
                )
        except MarjoramgradeError as error:
            now_ms = self._clock.now_ms()
            channels.avoid(instance_id, now_ms - started_ms, now_ms)
            is_reached = isinstance(error, AdvisorError)
            logs.log_event(
                "advice_failed", job=action.job_id, by=instance_id, code=error.code
            )
        else:
            channels.record_response(instance_id)
        finally:
            channels.record_call_end(instance_id, action.decide_ms)
        if self._lead is not lead:
            return
        now_ms = self._clock.now_ms()
        if advice is None:
            lead.planner.record_advice_failure(
                action, is_reached=is_reached, now_ms=now_ms
            )
        else:
            ticket_by_worker = {w.worker_id: w.ticket for w in advice.workers}
            lead.planner.apply_advice(
                action, ticket_by_worker, now_ms + advice.valid_ms
            )
        self._schedule_plan(lead)
