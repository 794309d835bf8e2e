"""The leader: accepts step jobs, plans their runs and tracks their progress."""

from __future__ import annotations

import asyncio
from typing import Any

from marjoramgrade import logs
from marjoramgrade.actor import STOPPED_ERRORS, handles
from marjoramgrade.controllers.commits import SaveRows
from marjoramgrade.controllers.leaderactions import LeaderBounds, LeaderState
from marjoramgrade.controllers.leaderevents import LeaderEventHandler
from marjoramgrade.decisions.admission.policies import Submission
from marjoramgrade.decisions.stepprogress import JobProgress
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.errors import (
    ForbiddenError,
    JobNotFoundError,
    MarjoramgradeError,
    NotOwnerError,
    OutcomeUnknownError,
    OverloadedError,
    QueueNotFoundError,
    Ran,
    RefusedError,
    RowsRejectedError,
    StaleAuthorityError,
    StoredRowError,
    TableRequiredError,
    UnsatisfiableError,
)
from marjoramgrade.messages.rows import RowWrite
from marjoramgrade.messages.steps import (
    AwaitStepConfig,
    CancelStepJob,
    CountPending,
    GetStepJob,
    PendingCount,
    StepJobAccepted,
    StepJobShown,
    SubmitStepJob,
)
from marjoramgrade.stepconfig import Queue
from marjoramgrade.steprows import (
    RENEWAL_ROW,
    JobRow,
    job_row_id,
    progress_row_id,
    serialize_row,
)

TICK_MS = 200
# Finished jobs are discarded this long after clients may last query them.
RETENTION_MARGIN_MS = 20_000
PURGE_INTERVAL_MS = 5_000
REPORT_INTERVAL_MS = 1_000
# A row that stays refused costs the other rows of its transaction a few attempts each
# time.
REWRITE_INTERVAL_MS = 2_000
# How long a submission waits for a configuration version that its sender already has.
CONFIG_WAIT_MS = 1_000
# How long a refusal waits for the store to confirm the leadership. A slow store takes
# about a second, and the instance that asked waits 1,500 ms.
CONFIRMATION_TIMEOUT_MS = 1_000
# Maximum number of open jobs; further submissions are refused.
MAX_OPEN_JOBS = 5_000
# Characters of the use of all teams in the log; a line stays below `MAX_LINE_BYTES`.
MAX_USAGE_LENGTH = 2_500


class StepSchedulerController(LeaderEventHandler):
    """Owns the jobs and the links to the workers while this instance is the leader."""

    async def on_start(self) -> None:
        """Start the periodic supervision and planning."""
        self.spawn_critical(self._tick_forever())

    @handles(SubmitStepJob)
    async def _submit(self, message: SubmitStepJob) -> Any:
        lead, job_id = self._current_lead(), message.job.job_id
        # Submitting the same job id again is idempotent: the repeated request waits for
        # the result of the first.
        submission = lead.pending_submission_by_job.get(job_id)
        is_first = submission is None
        if submission is None:
            submission = self.spawn(self._store_job(lead, message))
            lead.pending_submission_by_job[job_id] = submission
            submission.add_done_callback(
                lambda _: lead.pending_submission_by_job.pop(job_id, None)
            )
        return self.spawn(self._answer_submission(lead, submission, is_first))

    async def _answer_submission(
        self,
        lead: LeaderState,
        submission: asyncio.Task[StepJobAccepted],
        is_first: bool,
    ) -> StepJobAccepted:
        """Return the result of a submission, a refusal once the lead is confirmed.

        A leader that has been replaced does not know the attempts that its successor
        has accepted. A refusal that the store does not confirm goes out at once, and
        the instance that took the request answers that the outcome is unknown.

        Args:
            lead: The leadership under which the request came.
            submission: Stores the job; other requests may wait for it as well.
            is_first: Whether it began with this request. If it began earlier, what
                confirmed its refusal may have happened before this request.

        Raises:
            RefusedError: If the job is refused.
            QueueNotFoundError: If a confirmed leader knows no such queue.
            OutcomeUnknownError: If the job may have been stored.
        """
        try:
            return await asyncio.shield(submission)
        except TableRequiredError as refusal:
            if is_first:
                raise
            raise TableRequiredError(refusal.message) from refusal
        except RefusedError as refusal:
            if not await self._is_lead_confirmed(lead):
                raise
            raise refusal.confirmed_by(lead.epoch) from refusal
        except QueueNotFoundError as refusal:
            if await self._is_lead_confirmed(lead):
                raise
            raise StaleAuthorityError(refusal.message) from refusal

    async def _is_lead_confirmed(self, lead: LeaderState) -> bool:
        """Return whether the store confirms, from now on, that this instance leads.

        The renewal joins the next transaction, so that all refusals of that time share
        one confirmation.
        """
        if lead is not self._lead or not lead.is_store_reachable:
            return False
        renewal = RowWrite(RENEWAL_ROW, str(self._clock.now_ms()).encode())
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_MS / 1000):
                await lead.commits.ask(SaveRows((renewal,), is_refusable=True))
        except (TimeoutError, MarjoramgradeError):
            return False
        return True

    async def _store_job(
        self, lead: LeaderState, message: SubmitStepJob
    ) -> StepJobAccepted:
        job = message.job
        self._check_readable(lead, job.job_id)
        if job.job_id in lead.state.job_by_id:
            # A repeated submission can arrive much later.
            return StepJobAccepted(False)
        queue = await self._find_queue(job.queue, message.config_version)
        if 0 < message.expires_clock_ms <= self._clock.now_ms():
            # It was delayed on its way, or this instance was paused. Its client may
            # have been refused since.
            raise OutcomeUnknownError("the client no longer waits for the response")
        if not lead.is_store_reachable:
            raise TableRequiredError("the store is unreachable")
        submission = Submission(
            job,
            queue,
            MAX_OPEN_JOBS,
            self._clock.now_ms(),
            self._clock.unix_ms(),
            self._bounds.max_text_bytes,
        )
        refusal = lead.admission.check(submission)
        if refusal is not None:
            self._metrics.count(f"job_refused.{refusal.reason}")
            raise OverloadedError(
                refusal.message, retry_after_ms=refusal.retry_after_ms
            )
        limit = lead.state.usage.limit_of(job.team, lead.state.config.team_by_name)
        value = serialize_row(JobRow(job, queue, limit))
        if len(value) > self._bounds.max_row_bytes:
            raise UnsatisfiableError("the job is larger than a row of the store")
        progress = lead.state.add_job(job, queue, submission.now_ms)
        lead.admission.record_accepted(submission, progress)
        write = RowWrite(job_row_id(job.job_id), value)
        # Rows are written in the order of the requests, so all plans made from now on
        # are stored after the job.
        self._schedule_plan(lead)
        try:
            await self._await_stored(lead, write, is_refusable=True)
        except MarjoramgradeError as error:
            if error.ran is Ran.NO:
                lead.state.remove_job(job.job_id)
            raise
        progress.stored = True
        logs.log_job_event(
            "job_accepted",
            job.job_id,
            queue=job.queue,
            team=job.team,
            steps=len(job.steps),
            tasks=sum(step.count for step in job.steps),
            beyond_weight=progress.beyond_weight,
        )
        return StepJobAccepted(True)

    async def _find_queue(self, name: str, config_version: int) -> Queue:
        """Return a queue, waiting for the configuration version that the sender used.

        Raises:
            QueueNotFoundError: If the configuration has no such queue.
            StaleAuthorityError: If that configuration does not arrive in time.
        """
        config = self._config
        if config.version < config_version and self._directory is not None:
            config = await self._directory.ask(
                AwaitStepConfig(config_version, CONFIG_WAIT_MS)
            )
        queue = config.queue_by_name.get(name)
        if queue is None:
            raise QueueNotFoundError(f"no queue is named {name}")
        return queue

    @staticmethod
    async def _await_stored(
        lead: LeaderState, *writes: RowWrite, is_refusable: bool = False
    ) -> None:
        """Write rows and wait until the store has them and all rows before them.

        Raises:
            RowsRejectedError: If the store refuses a row as invalid.
            TableRequiredError: If the rows were not sent to the store and will not be.
            OutcomeUnknownError: If the leadership ends first; a successor may find
                the rows in the store.
        """
        try:
            rejected = await lead.commits.ask(SaveRows(writes, is_refusable))
        except (NotOwnerError, *STOPPED_ERRORS):
            raise OutcomeUnknownError(
                "the leadership ended before the store responded"
            ) from None
        if rejected:
            raise RowsRejectedError("the store refused the row as invalid")

    @handles(GetStepJob)
    async def _get(self, message: GetStepJob) -> StepJobShown:
        progress = self._find_job(self._current_lead(), message.job_id)
        return StepJobShown(progress.visible_state, progress.job.team)

    @handles(CancelStepJob)
    async def _cancel(self, message: CancelStepJob) -> Any:
        lead = self._current_lead()
        submission = lead.pending_submission_by_job.get(message.job_id)
        if submission is not None:
            return self.spawn(self._cancel_after(lead, message, submission))
        return self.spawn(self._cancel_job(lead, self._find_cancelled(lead, message)))

    async def _cancel_after(
        self,
        lead: LeaderState,
        message: CancelStepJob,
        submission: asyncio.Task[StepJobAccepted],
    ) -> StepJobShown:
        """Cancel a job once it is known whether it is stored."""
        await asyncio.wait((submission,))
        return await self._cancel_job(lead, self._find_cancelled(lead, message))

    def _find_cancelled(self, lead: LeaderState, message: CancelStepJob) -> JobProgress:
        """Return the job that a message cancels.

        Raises:
            ForbiddenError: If the job belongs to another team.
            JobNotFoundError: If there is no such job.
            OutcomeUnknownError: If the leadership ended while the job was stored.
        """
        if lead is not self._lead:
            raise OutcomeUnknownError("the leadership ended while the job was stored")
        progress = self._find_job(lead, message.job_id)
        team = progress.job.team
        if message.team and team and message.team != team:
            raise ForbiddenError("the job belongs to another team")
        return progress

    async def _cancel_job(
        self, lead: LeaderState, progress: JobProgress
    ) -> StepJobShown:
        if not progress.state.is_final:
            lead.state.cancel_job(progress, self._clock.unix_ms())
            logs.log_job_event("job_cancelled", progress.job.job_id)
            write = self._save_changed_jobs(lead, None)
            self._perform_actions(lead)
            self._schedule_plan(lead)
            if write is not None:
                await write
        else:
            await self._await_stored(lead)
        if not progress.visible_state.is_final:
            raise OutcomeUnknownError(
                "the leadership ended before the cancellation was stored"
            )
        return StepJobShown(progress.visible_state, progress.job.team)

    @handles(CountPending)
    async def _count_pending(self, message: CountPending) -> PendingCount:
        return PendingCount(self._current_lead().state.count_pending(message.queue))

    def _current_lead(self) -> LeaderState:
        if self._lead is None:
            raise NotOwnerError("this instance is not the leader")
        return self._lead

    @staticmethod
    def _check_readable(lead: LeaderState, job_id: str) -> None:
        if job_id in lead.unreadable_job_ids:
            raise StoredRowError(f"the stored rows of job {job_id} cannot be decoded")

    def _find_job(self, lead: LeaderState, job_id: str) -> JobProgress:
        self._check_readable(lead, job_id)
        progress = lead.state.job_by_id.get(job_id)
        if progress is None or not progress.stored:
            raise JobNotFoundError(f"no job has the id {job_id}")
        return progress

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            lead = self._lead
            if lead is None:
                continue
            lead.supervisor.supervise(self._clock.now_ms())
            lead.supervisor.discard_finished_stops()
            self._resume_set_aside(lead)
            self._schedule_plan(lead)
            self._rewrite_refused_progress(lead)
            self._perform_actions(lead)
            self._purge(lead)
            self._observe_admission(lead)
            self._report(lead)

    def _observe_admission(self, lead: LeaderState) -> None:
        """Log the teams and pools whose jobs begin or cease to be refused."""
        changes = lead.admission.observe(self._clock.now_ms(), self._clock.unix_ms())
        for change in changes:
            logs.log_event(
                "admission_refusing" if change.is_refusing else "admission_accepting",
                queue=change.queue,
                estimate_ms=change.estimate_ms,
                limit_ms=change.limit_ms,
                **{change.scope: change.name},
            )

    def _report(self, lead: LeaderState) -> None:
        """Log the load, so that the cause of a late job can be found."""
        now_ms = self._clock.now_ms()
        if now_ms - lead.last_load_log_ms < REPORT_INTERVAL_MS:
            return
        lead.last_load_log_ms = now_ms
        workers = lead.state.worker_by_id.values()
        usable = [worker for worker in workers if worker.accepts_work(now_ms)]
        capacity = sum(worker.worker.capacity.cpu_millis for worker in usable)
        waiting = sorted(lead.planner.waiting_by_reason.items())
        logs.log_event(
            "load",
            open=len(lead.state.open_job_by_id),
            waiting=",".join(f"{reason}={count}" for reason, count in waiting),
            workers=len(usable),
            cpu_capacity=capacity,
            cpu_used=sum(worker.used.cpu_millis for worker in usable),
            cpu_spare_used=sum(worker.spare_used.cpu_millis for worker in usable),
            advice_ms=lead.planner.channels.total_pending_ms,
            teams=_describe_usage(lead.state),
        )

    def _rewrite_refused_progress(self, lead: LeaderState) -> None:
        """Write the progress again that the store has refused.

        Until it is stored, its job is not shown as ended, and the workers that list
        ends of the job keep them.
        """
        now_ms = self._clock.now_ms()
        if now_ms - lead.last_rewrite_ms < REWRITE_INTERVAL_MS:
            return
        lead.last_rewrite_ms = now_ms
        for job_id in tuple(lead.unstored_job_ids):
            if not lead.state.mark_changed(job_id):
                lead.unstored_job_ids.discard(job_id)

    def _purge(self, lead: LeaderState) -> None:
        """Remove finished jobs that clients may no longer query."""
        now_ms = self._clock.now_ms()
        if (
            now_ms - lead.last_purge_ms < PURGE_INTERVAL_MS
            or not lead.is_store_reachable
        ):
            return
        lead.last_purge_ms = now_ms
        oldest_ms = (
            self._clock.unix_ms()
            - self._bounds.status_retention_ms
            - RETENTION_MARGIN_MS
        )
        for progress in list(lead.state.job_by_id.values()):
            if progress.visible_state.is_final and progress.ended_unix_ms < oldest_ms:
                job_id = progress.job.job_id
                lead.state.remove_job(job_id)
                self._save_rows(
                    lead,
                    RowWrite(job_row_id(job_id), remove=True),
                    RowWrite(progress_row_id(job_id), remove=True),
                )


def _describe_usage(state: StepState) -> str:
    """Return the processors in use and the limit, in thousandths, of each team."""
    parts = []
    for team, used in sorted(state.usage.used_by_team.items()):
        known = state.usage.limit_of(team, state.config.team_by_name)
        limit = known.cpu_millis if known is not None else "unknown"
        parts.append(f"{team}={used.cpu_millis}/{limit}")
    return ",".join(parts)[:MAX_USAGE_LENGTH]


__all__ = ["LeaderBounds", "StepSchedulerController"]
