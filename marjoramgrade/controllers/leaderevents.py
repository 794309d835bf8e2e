"""Handlers of events that leadership, directory and workers report to the leader."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import Any

from marjoramgrade import logs
from marjoramgrade.actor import STOPPED_ERRORS, ActorFailure, Message, handles
from marjoramgrade.controllers.commits import (
    AdoptRowVersions,
    CommitController,
    SaveRows,
)
from marjoramgrade.controllers.leaderactions import (
    GRANT_LIMIT_MS,
    EndsToAcknowledge,
    LeaderActionExecutor,
    LeaderState,
    LeaderWrites,
)
from marjoramgrade.controllers.leaderrecovery import (
    RecoveredState,
    read_recovered_state,
)
from marjoramgrade.decisions.advisorchannels import AdvisorChannels
from marjoramgrade.decisions.leadermonitor import RECOVERY_TIMEOUT_MS
from marjoramgrade.decisions.listings.setaside import LEAD_PAUSE_MS
from marjoramgrade.decisions.stepplanning import Planner
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepsupervision import Supervisor
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.errors import (
    InvalidInputError,
    NotOwnerError,
    ShuttingDownError,
)
from marjoramgrade.messages.peers import LinkFailed, MembersChanged
from marjoramgrade.messages.rows import RowCheck, RowWrite
from marjoramgrade.messages.steps import (
    AllowLeaseRenewal,
    LeadershipAcquired,
    LeadershipConfirmed,
    LeadershipEnded,
    RenewLeadership,
    RunStartResult,
    ShortenListingWaits,
    StartOutcome,
    StepConfigChanged,
    StoreReachability,
    WatchWorkers,
    WorkerCallUnanswered,
    WorkerFenceRefused,
    WorkerListingReceived,
    WorkerMessage,
    WorkersChanged,
    WorkerUnresponsive,
)
from marjoramgrade.stepjobs import StepWorker, WorkerListing
from marjoramgrade.steprows import (
    EPOCH_ROW,
    LEGACY_ROSTER_ROW,
    RENEWAL_ROW,
    roster_row_number,
)

# After a worker did not respond to a call, all listings use the shortened wait for this
# long.
ALERT_MS = 5_000


class LeaderEventHandler(LeaderActionExecutor):
    """Base class that applies reported events while this instance leads."""

    async def on_stop(self) -> None:
        """End the leadership if this instance leads."""
        await self._end_lead("the instance is stopping")

    @handles(LeadershipAcquired)
    async def _leadership_acquired(self, message: LeadershipAcquired) -> Any:
        await self._end_lead("this instance acquired a newer leadership")
        commits = CommitController(
            self._store,
            message.epoch,
            RowCheck(EPOCH_ROW, message.row_version),
            {},
            self._bounds.max_row_bytes,
            self._bounds.max_batch_bytes,
            self._clock,
            self._metrics,
            (self,),
        )
        commits.on_fatal = functools.partial(self._fail_lead, message.epoch)
        stack = contextlib.AsyncExitStack()
        self._writes = writes = LeaderWrites(
            message.epoch, message.row_version, message.asked_ms, commits, stack
        )
        await commits.start()
        stack.push_async_callback(commits.stop)
        self._worker_list = None
        self._watch_workers(True)
        writes.recovery = self.spawn_critical(self._begin_lead(writes))
        return writes.recovery

    async def _begin_lead(self, writes: LeaderWrites) -> None:
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_MS / 1000):
                recovered = await read_recovered_state(self._store, writes.row_version)
        except TimeoutError:
            reason = "the stored state could not be read in time"
            self.tell(LeadershipEnded(writes.epoch, reason))
            return
        writes.commits.tell(AdoptRowVersions(recovered.version_by_row))
        state = StepState(
            writes.epoch,
            self._config,
            self._evacuated_zones,
            far_factor=self._policies.far_factor,
        )
        planner = Planner(
            state,
            AdvisorChannels(self._instance_id),
            rules=self._policies.placement,
        )
        lead = LeaderState(
            writes.epoch,
            writes.commits,
            state,
            planner,
            Supervisor(state, planner),
            self._policies.admission(state),
        )
        lead.grant_until_ms = writes.confirmed_ms + GRANT_LIMIT_MS
        self._restore(lead, recovered)
        self._lead = lead
        logs.log_event(
            "lead_taken",
            epoch=writes.epoch,
            jobs=len(state.job_by_id),
            open=len(state.open_job_by_id),
            workers=len(recovered.roster),
            unreadable=len(recovered.unreadable_job_ids),
        )
        if self._worker_list is not None:
            self._apply_worker_list(lead, self._worker_list)
        self._perform_actions(lead)
        if LEGACY_ROSTER_ROW in recovered.version_by_row:
            await self._replace_legacy_roster(lead)

    async def _replace_legacy_roster(self, lead: LeaderState) -> None:
        """Move the roster from the single row of earlier versions to its own table."""
        for number in sorted(map(roster_row_number, lead.roster)):
            await self._save_roster(lead, number)
        self._save_rows(lead, RowWrite(LEGACY_ROSTER_ROW, remove=True))

    def _restore(self, lead: LeaderState, recovered: RecoveredState) -> None:
        now_ms, unix_ms = self._clock.now_ms(), self._clock.unix_ms()
        for worker in recovered.roster:
            # It may have left or begun to drain since the roster was written, so it
            # gets no new work before the platform has listed it.
            lead.state.add_worker(worker).listed = False
        lead.unreadable_job_ids = recovered.unreadable_job_ids
        lead.roster = lead.recovered_workers = frozenset(lead.state.worker_by_id)
        for row, record in recovered.jobs:
            job = row.job
            # An instance that has just started may lead before it has read the
            # configuration; the job's row then supplies the queue.
            queue = self._config.queue_by_name.get(job.queue, row.queue)
            lead.state.usage.restore_limit(job.team, row.team_limit)
            try:
                progress = lead.state.restore_job(job, queue, record, now_ms, unix_ms)
            except InvalidInputError as error:
                lead.unreadable_job_ids |= {job.job_id}
                logs.log_event("row_unreadable", row=job.job_id, reason=error.message)
                continue
            if not progress.state.is_final:
                # The leader that stored the job may not have come to say so.
                logs.log_job_event("job_restored", job.job_id, epoch=lead.epoch)

    @handles(LeadershipEnded)
    async def _leadership_ended(self, message: LeadershipEnded) -> None:
        if self._writes is not None and self._writes.epoch == message.epoch:
            await self._end_lead(message.reason)
            if self._leadership is not None:
                self._leadership.tell(message)

    async def _end_lead(self, reason: str) -> None:
        writes, self._writes = self._writes, None
        lead, self._lead = self._lead, None
        if writes is None:
            return
        logs.log_event("lead_ended", epoch=writes.epoch, reason=reason)
        if writes.recovery is not None:
            writes.recovery.cancel()
        self._watch_workers(False)
        self.spawn(writes.stack.aclose())
        if lead is None:
            return
        for link in lead.link_by_worker.values():
            # Workers refuse calls of an ended leadership by their fencing token, so
            # the links can stop in the background.
            self.spawn(link.stop())
        lead.link_by_worker.clear()

    @handles(RenewLeadership)
    async def _renew(self, message: RenewLeadership) -> None:
        writes = self._writes
        if writes is None or writes.epoch != message.epoch or writes.is_renewing:
            return
        writes.is_renewing = True
        self.spawn(self._write_renewal(writes))

    async def _write_renewal(self, writes: LeaderWrites) -> None:
        value = str(self._clock.now_ms()).encode()
        try:
            await writes.commits.ask(SaveRows((RowWrite(RENEWAL_ROW, value),)))
        except (NotOwnerError, *STOPPED_ERRORS):
            return
        finally:
            writes.is_renewing = False

    @handles(LeadershipConfirmed)
    async def _leadership_confirmed(self, message: LeadershipConfirmed) -> None:
        if self._writes is None or self._writes.epoch != message.epoch:
            return
        self._writes.confirmed_ms = max(self._writes.confirmed_ms, message.asked_ms)
        if self._leadership is not None:
            self._leadership.tell(message)
        lead = self._lead
        if lead is None:
            return
        until_ms = message.asked_ms + GRANT_LIMIT_MS
        # Telling every link after each write would cost more than the writes.
        if until_ms - lead.grant_until_ms >= GRANT_LIMIT_MS // 16:
            lead.grant_until_ms = until_ms
            for link in lead.link_by_worker.values():
                link.tell(AllowLeaseRenewal(until_ms))

    @handles(StoreReachability)
    async def _store_reachability_changed(self, message: StoreReachability) -> None:
        if self._lead is not None:
            self._lead.is_store_reachable = message.reachable

    def _watch_workers(self, enabled: bool) -> None:
        if self._directory is not None:
            with contextlib.suppress(ShuttingDownError):
                self._directory.tell(WatchWorkers(enabled))

    @handles(StepConfigChanged)
    async def _config_changed(self, message: StepConfigChanged) -> None:
        self._config = message.config
        self._evacuated_zones = message.evacuated_zones
        lead = self._lead
        if lead is None:
            return
        lead.state.apply_config(message.config, message.evacuated_zones)
        self._schedule_plan(lead)

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        self._version_by_member = {
            member.instance_id: member.row_version
            for member in message.members
            if member.instance_id != self._instance_id
        }

    @handles(WorkersChanged)
    async def _workers_changed(self, message: WorkersChanged) -> None:
        self._worker_list = message.workers
        if self._lead is not None:
            self._apply_worker_list(self._lead, message.workers)
            self._perform_actions(self._lead)

    def _apply_worker_list(
        self, lead: LeaderState, workers: tuple[StepWorker, ...]
    ) -> None:
        known = set(lead.state.worker_by_id)
        unlisted = {w.worker.worker_id for w in lead.state.iter_unlisted_workers()}
        lead.state.set_workers(workers)
        for worker in workers:
            if worker.worker_id not in known:
                logs.log_event(
                    "worker_joined",
                    worker=worker.worker_id,
                    zone=worker.zone,
                    cpu=worker.capacity.cpu_millis,
                )
        self._remove_departed_workers(lead)
        if any(worker.worker_id in unlisted for worker in workers):
            self._schedule_plan(lead)

    def _remove_departed_workers(self, lead: LeaderState) -> None:
        for state in list(lead.state.iter_departed_workers()):
            worker_id = state.worker.worker_id
            lead.state.remove_worker(worker_id)
            if worker_id in lead.roster:
                lead.roster -= {worker_id}
                self._spawn_for_lead(
                    lead.epoch,
                    self._save_roster(lead, roster_row_number(worker_id)),
                )
            link = lead.link_by_worker.pop(worker_id, None)
            if link is not None:
                self.spawn(link.stop())
            lead.leases_end_ms_by_worker.pop(worker_id, None)
            self._set_aside.forget(worker_id)
            logs.log_event("worker_left", worker=worker_id)

    @handles(WorkerListingReceived)
    async def _listing_received(self, message: WorkerListingReceived) -> None:
        lead = self._lead
        worker = lead and lead.state.worker_by_id.get(message.worker_id)
        if lead is None or not worker:
            return
        lead.first_listings.settle(message.worker_id)
        lead.first_listing_ended.set()
        was_synced, speed_class = worker.synced, worker.speed.speed_class
        self._log_new_ends(worker, message.listing)
        lead.state.apply_listing(
            worker,
            message.listing,
            message.fence,
            message.asked_ms,
            self._clock.now_ms(),
            self._clock.unix_ms(),
        )
        if worker.synced and not was_synced:
            logs.log_event(
                "worker_synced",
                worker=message.worker_id,
                fence=message.fence,
                runs=len(worker.run_by_task),
                strays=len(worker.orphan_by_task),
            )
        if worker.speed.speed_class is not speed_class:
            self._metrics.count(f"worker_speed.{worker.speed.speed_class.value}")
            logs.log_event(
                "worker_speed",
                worker=message.worker_id,
                speed=worker.speed.speed_class.value,
                factor=round(worker.speed.factor, 2),
            )
        listing = message.listing
        # The listing of an earlier incarnation was not applied.
        if listing.ended and listing.born_unix_ms == worker.worker.born_unix_ms:
            self._schedule_plan(lead)
            job_id_by_number = {end.number: end.task.job_id for end in listing.ended}
            self._save_changed_jobs(
                lead,
                EndsToAcknowledge(
                    message.worker_id, listing.born_unix_ms, job_id_by_number
                ),
            )
        self._perform_actions(lead)
        if worker.synced and not was_synced:
            self._schedule_plan(lead)

    @staticmethod
    def _log_new_ends(worker: WorkerState, listing: WorkerListing) -> None:
        is_restarted = listing.born_unix_ms != worker.worker.born_unix_ms
        for end in listing.ended:
            if is_restarted or end.number > worker.last_end_number:
                logs.log_batched(
                    "run_ended",
                    f"{end.task}/{end.run}:{end.ending.value}"
                    f"@{worker.worker.worker_id}#{end.number}",
                )

    @handles(WorkerCallUnanswered)
    async def _call_unanswered(self, message: WorkerCallUnanswered) -> None:
        lead = self._lead
        if lead is None:
            return
        worker = lead.state.worker_by_id.get(message.worker_id)
        if worker is not None:
            worker.has_unanswered_call = True
        self._shorten_listing_waits(lead, message.worker_id)

    def _shorten_listing_waits(self, lead: LeaderState, worker_id: str) -> None:
        """List all workers now and shorten the listing waits for ALERT_MS.

        When calls to one worker are lost, calls to other workers are often lost too. A
        worker of another zone that responds to the listing is not affected by a cut of
        this one, so with alerts by zone its waits stay as they are.
        """
        worker = lead.state.worker_by_id.get(worker_id)
        has_zone_alerts = self._policies.has_zone_alerts and worker is not None
        zone = worker.worker.zone if has_zone_alerts and worker is not None else ""
        now_ms = self._clock.now_ms()
        until_ms = now_ms + ALERT_MS
        if until_ms - lead.alert_until_by_zone.get(zone, 0) < ALERT_MS // 4:
            return
        lead.alert_until_by_zone[zone] = until_ms
        for linked_id, link in lead.link_by_worker.items():
            linked = lead.state.worker_by_id.get(linked_id)
            is_near = not zone or linked is None or linked.worker.zone == zone
            link.tell(ShortenListingWaits(until_ms if is_near else now_ms))

    @handles(WorkerFenceRefused)
    async def _fence_refused(self, message: WorkerFenceRefused) -> None:
        lead = self._lead
        worker = lead and lead.state.worker_by_id.get(message.worker_id)
        if lead is None or not worker:
            return
        lead.state.record_fence_refused(worker, message.fence)
        logs.log_event(
            "fence_refused",
            worker=message.worker_id,
            fence=message.fence,
            next=worker.fence,
        )
        self._perform_actions(lead)

    @handles(WorkerUnresponsive)
    async def _worker_unresponsive(self, message: WorkerUnresponsive) -> None:
        lead = self._lead
        worker = lead and lead.state.worker_by_id.get(message.worker_id)
        if lead is None or not worker:
            return
        if not worker.unresponsive_since_ms:
            worker.unresponsive_since_ms = self._clock.now_ms()
            if worker.synced:
                lead.state.request_sync(worker)
        if message.expired:
            lead.state.expire_worker(worker)
            self._schedule_plan(lead)
            self._remove_departed_workers(lead)
        self._perform_actions(lead)

    @handles(LinkFailed)
    async def _link_failed(self, message: LinkFailed) -> None:
        """Replace a link that has failed; the other workers keep theirs."""
        lead, worker_id = self._lead, message.instance_id
        if lead is None or lead.link_by_worker.get(worker_id) is not message.link:
            return
        message.failure.log("worker_link_failed")
        self.spawn(lead.link_by_worker.pop(worker_id).stop())
        lead.first_listings.settle(worker_id)
        self._set_worker_aside(lead, worker_id, message.failure.reason)
        worker = lead.state.worker_by_id.get(worker_id)
        if worker is not None:
            worker.unresponsive_since_ms = (
                worker.unresponsive_since_ms or self._clock.now_ms()
            )
            # Orders of the failed link whose outcome is unknown have no effect under
            # the next token.
            lead.state.request_sync(worker)
        self._perform_actions(lead)

    async def contain_failure(self, message: Message[Any], error: Exception) -> bool:
        """End the leadership, and set the worker aside that a message is about.

        The message may have left the state of the leader half changed; the next leader
        reads it from the store. Without a link to that worker it gets no such message.
        """
        lead = self._lead
        if lead is None or not isinstance(message, WorkerMessage):
            return False
        name, work = type(self).__name__, type(message).__name__
        failure = ActorFailure(name, message.subject, work, error)
        failure.log("lead_failed", epoch=lead.epoch)
        self._set_worker_aside(lead, message.worker_id, failure.reason, LEAD_PAUSE_MS)
        ended = LeadershipEnded(lead.epoch, f"{work} could not be handled")
        await self._leadership_ended(ended)
        return True

    def _resume_set_aside(self, lead: LeaderState) -> None:
        """Link the workers again whose pause has ended, and expire their leases."""
        now_ms = self._clock.now_ms()
        for worker_id in self._set_aside.pop_due(now_ms):
            worker = lead.state.worker_by_id.get(worker_id)
            if worker is not None and worker_id not in lead.link_by_worker:
                logs.log_event("worker_linked_again", worker=worker_id)
                lead.state.request_sync(worker)
        for worker_id, end_ms in list(lead.leases_end_ms_by_worker.items()):
            if now_ms < end_ms:
                continue
            # Its runs are lost from here on, so a later link needs no bound.
            del lead.leases_end_ms_by_worker[worker_id]
            worker = lead.state.worker_by_id.get(worker_id)
            if worker is not None:
                logs.log_event("worker_expired", worker=worker_id)
                lead.state.expire_worker(worker)
                self._remove_departed_workers(lead)

    @handles(RunStartResult)
    async def _start_result_received(self, message: RunStartResult) -> None:
        lead = self._lead
        if lead is None:
            return
        state = lead.state
        if message.outcome is StartOutcome.STARTED:
            state.record_start_confirmed(
                message.worker_id, message.task, message.run, self._clock.now_ms()
            )
        elif message.outcome is StartOutcome.UNKNOWN:
            state.record_start_unknown(message.worker_id, message.task, message.run)
            self._shorten_listing_waits(lead, message.worker_id)
        else:
            self._handle_refused_start(lead, message)
        self._perform_actions(lead)

    def _handle_refused_start(self, lead: LeaderState, message: RunStartResult) -> None:
        run = lead.state.record_start_refused(
            message.worker_id, message.task, message.run
        )
        if run is None:
            return
        self._metrics.retried("start_refused")
        logs.log_event(
            "start_refused",
            job=message.task.job_id,
            worker=message.worker_id,
            reason=message.reason,
        )
        worker = lead.state.worker_by_id.get(message.worker_id)
        if message.reason == "ticket":
            run.step.tickets.discard_ticket(message.worker_id)
        elif worker is not None and worker.synced:
            # The worker's runs differ from what this leader assumes.
            worker.suspicion.mark_suspect(self._clock.now_ms())
            lead.state.request_sync(worker)
        self._schedule_plan(lead)
