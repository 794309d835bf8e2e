"""Forwards client requests to the instance that leads."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.clock import Clock
from marjoramgrade.decisions.stepprogress import JobRecord
from marjoramgrade.errors import (
    ForbiddenError,
    InvalidInputError,
    JobNotFoundError,
    MarjoramgradeError,
    NoLeaderError,
    NotOwnerError,
    OutcomeUnknownError,
    OwnerUnreachableError,
    QueueNotFoundError,
    Ran,
    RefusedError,
    ShuttingDownError,
    StoredRowError,
    TableError,
    TableUnavailableError,
    drop_frames,
)
from marjoramgrade.messages.peers import CallPeer
from marjoramgrade.messages.rows import ReadRows, RowsPage
from marjoramgrade.messages.steps import (
    CancelStepJob,
    ClientPresence,
    CountPending,
    GetStepJob,
    LeaderBeat,
    LeaderChanged,
    StepJobShown,
    SubmitStepJob,
)
from marjoramgrade.stepjobs import StepJobState
from marjoramgrade.steprows import (
    JOBS_TABLE,
    LEADER_PART,
    PROGRESS_TABLE,
    JobRow,
    parse_row,
)
from marjoramgrade.stopping import RequestProgress

# Pause between attempts while another instance takes over the lead.
RETRY_MS = 60
# Pause before a job goes again to a leader that refused it without the confirmation of
# the store, which is most often away for all then.
UNCONFIRMED_RETRY_MS = 200
# Timeout of one request to the leader. Commits usually take 20 ms, or 1 s on a slow
# store.
ATTEMPT_TIMEOUT_MS = 1_500
# Timeout of the lookup of one row. A slow store takes 400 ms; with the paths through
# other instances a read can take longer than clients wait.
LOOKUP_TIMEOUT_MS = 1_000
# A job that reached no leader is given up once no leader has sent a reply or heartbeat
# for this long, nor since it came; a takeover usually completes within this time. A job
# that may have been accepted is retried until the deadline.
NO_LEADER_TIMEOUT_MS = 1_500
# Time before the client's deadline that is reserved for sending the response.
RESPONSE_MARGIN_MS = 60

# Answers of the leader that no further attempt changes.
_ANSWERS = (ForbiddenError, StoredRowError)
# The attempt reached no leader, so another one may.
_NOT_TAKEN = (NoLeaderError, NotOwnerError, OwnerUnreachableError, ShuttingDownError)

LeaderRequest = SubmitStepJob | GetStepJob | CancelStepJob | CountPending


def _is_unconfirmed(message: LeaderRequest, refusal: MarjoramgradeError) -> bool:
    """Return whether another leader may have accepted a job that is refused.

    An answer at once would be "unknown", after which clients come again at once and
    soon have used up their attempts; after a refusal they wait longer.
    """
    return (
        isinstance(message, SubmitStepJob)
        and isinstance(refusal, RefusedError)
        and not isinstance(refusal, _NOT_TAKEN)
        and not refusal.confirmed_epoch
    )


@attrs.frozen
class ForwardRequest(Message[Any]):
    """A client request to be forwarded to the leader.

    Attributes:
        request: The request.
        deadline_ms: The client's deadline on this instance's clock.
        presence: Whether the client still waits. A job whose client has left is not
            sent to a leader again: the client may meanwhile be refused elsewhere.
        progress: Is told what the request waits for.
    """

    request: LeaderRequest
    deadline_ms: int
    presence: ClientPresence = attrs.field(factory=ClientPresence)
    progress: RequestProgress = attrs.field(factory=RequestProgress)


class ForwardingController(Actor):
    """Forwards requests to the leader and retries them.

    All requests are idempotent: submitting the same job id again creates no new job.

    Args:
        instance_id: Id of this instance.
        scheduler: Handles the requests while this instance leads.
        peers: Sends messages to the other instances.
        store: Reads rows when no leader responds.
        clock: Monotonic time.
    """

    def __init__(
        self,
        instance_id: str,
        scheduler: Actor,
        peers: Actor,
        store: Actor,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._scheduler = scheduler
        self._peers = peers
        self._store = store
        self._clock = clock
        self._leader_id = ""
        self._leader_epoch = 0
        self._leader_changed = asyncio.Event()
        self._last_contact_ms = clock.now_ms()
        # The last heartbeat of the leader, and when it was received.
        self._heartbeat = LeaderBeat(0, "")
        self._heartbeat_ms = 0

    @handles(LeaderChanged)
    async def _leader_changed_to(self, message: LeaderChanged) -> None:
        self._leader_id, self._leader_epoch = message.leader_id, message.epoch
        self._leader_changed.set()
        self._leader_changed = asyncio.Event()

    @handles(ForwardRequest)
    async def _forward(self, message: ForwardRequest) -> Any:
        return self.spawn(
            self._request_until(
                message.request, message.deadline_ms, message.presence, message.progress
            )
        )

    @handles(LeaderBeat)
    async def _heartbeat_received(self, message: LeaderBeat) -> None:
        self._last_contact_ms = self._heartbeat_ms = self._clock.now_ms()
        self._heartbeat = message

    async def _request_until(
        self,
        message: LeaderRequest,
        deadline_ms: int,
        presence: ClientPresence,
        progress: RequestProgress,
    ) -> Any:
        """Send a request to the leader until it replies or the deadline is near.

        Args:
            message: The request.
            deadline_ms: The client's deadline on this instance's clock.
            presence: Whether the client still waits.
            progress: Is told what the request waits for.

        Raises:
            RefusedError: If the leader refused the request, or nothing was submitted.
            OutcomeUnknownError: If the request may have been accepted. That holds for
                every submission that no leader answered: only the leader knows what
                became of earlier attempts through other instances.
        """
        may_be_accepted = False
        began_ms = self._clock.now_ms()
        failure: MarjoramgradeError = NoLeaderError("no instance leads")
        while self._clock.now_ms() + RESPONSE_MARGIN_MS < deadline_ms:
            pause_ms = RETRY_MS
            if presence.has_left and isinstance(message, SubmitStepJob):
                raise OutcomeUnknownError("the client has left")
            left_ms = deadline_ms - self._clock.now_ms() - RESPONSE_MARGIN_MS
            progress.waits_for = f"leader:{self._leader_id}"
            try:
                answer = await self._attempt(
                    self._with_expiry(message, left_ms),
                    min(left_ms, ATTEMPT_TIMEOUT_MS),
                )
                self._last_contact_ms = self._clock.now_ms()
                return answer
            except _ANSWERS:
                self._last_contact_ms = self._clock.now_ms()
                raise
            except JobNotFoundError as error:
                self._last_contact_ms = self._clock.now_ms()
                if isinstance(message, CancelStepJob):
                    await self._check_absence(message, error)
                    may_be_accepted = True
            except MarjoramgradeError as error:
                failure = drop_frames(error)
                if error.ran is not Ran.NO:
                    may_be_accepted = True
                elif _is_unconfirmed(message, error):
                    pause_ms = UNCONFIRMED_RETRY_MS
                    waited_ms = self._clock.now_ms() - began_ms
                    if not may_be_accepted and waited_ms > NO_LEADER_TIMEOUT_MS:
                        break
                elif not isinstance(error, _NOT_TAKEN):
                    self._check_refusal(error, may_be_accepted)
            if isinstance(message, GetStepJob):
                progress.waits_for = "store"
                return await self._read_state(message)
            if not may_be_accepted and self._is_leader_missing(message, began_ms):
                break
            progress.waits_for = f"retry:{failure.code}"
            await asyncio.sleep(pause_ms / 1000)
        if may_be_accepted:
            raise OutcomeUnknownError("the leader did not reply in time")
        logs.log_event("leader_not_reached", code=failure.code, leader=self._leader_id)
        reason = f"no leader accepted the request: {failure.message}"
        if isinstance(message, SubmitStepJob):
            # Another instance may have passed on an earlier attempt of the client.
            raise OutcomeUnknownError(reason)
        raise NoLeaderError(reason)

    def _with_expiry(self, message: LeaderRequest, left_ms: int) -> LeaderRequest:
        """Return a request that its leader does not accept once its client has left.

        The leader's clock is at least what its last heartbeat said, and the time since
        then, so that the request expires early rather than late.
        """
        heartbeat = self._heartbeat
        if (
            not isinstance(message, SubmitStepJob)
            or heartbeat.epoch != self._leader_epoch
            or not heartbeat.clock_ms
        ):
            return message
        age_ms = self._clock.now_ms() - self._heartbeat_ms
        expires_ms = heartbeat.clock_ms + age_ms + left_ms
        return attrs.evolve(message, expires_clock_ms=expires_ms)

    def _is_leader_missing(self, message: LeaderRequest, began_ms: int) -> bool:
        """Return whether to give a request up that has reached no leader so far."""
        since_ms = self._last_contact_ms
        if isinstance(message, SubmitStepJob):
            # Its outcome is unknown, so the client submits it again. Each attempt
            # waits, so that they don't follow each other without a pause.
            since_ms = max(since_ms, began_ms)
        return self._clock.now_ms() - since_ms > NO_LEADER_TIMEOUT_MS

    def _check_refusal(
        self, refusal: MarjoramgradeError, may_be_accepted: bool
    ) -> None:
        """Pass the leader's refusal on, unless an earlier attempt may be accepted.

        Whatever the refusal, it concerns only the attempt that it answers.
        """
        self._last_contact_ms = self._clock.now_ms()
        if not may_be_accepted:
            raise refusal
        if isinstance(refusal, QueueNotFoundError):
            raise OutcomeUnknownError(
                "the queue was removed after an attempt without a reply"
            ) from refusal

    async def _check_absence(
        self, message: CancelStepJob, answer: JobNotFoundError
    ) -> None:
        """Return if the job that the leader does not know may exist.

        A leader that has been replaced does not know the jobs that its successor has
        accepted; the store has the row of every accepted job.

        Raises:
            JobNotFoundError: If the store does not have the job either.
        """
        try:
            row = await self._read_row(JOBS_TABLE, message.job_id, JobRow)
        except TableError:
            return
        if row is None:
            raise answer

    async def _attempt(self, message: LeaderRequest, timeout_ms: int) -> Any:
        leader_id = self._leader_id
        if not leader_id:
            raise NoLeaderError("no instance leads")
        if leader_id != self._instance_id:
            return await self._ask_peer(leader_id, message, timeout_ms)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._scheduler.ask(message)
        except TimeoutError:
            raise OutcomeUnknownError("the leader did not reply in time") from None

    async def _ask_peer(
        self, leader_id: str, message: LeaderRequest, timeout_ms: int
    ) -> Any:
        """Send a request to the leader, but abandon it once another instance leads.

        A leader that lost power or network does not reply, and its successor has read
        everything that it stored.

        Raises:
            OutcomeUnknownError: If another instance leads before the reply.
        """
        call = asyncio.ensure_future(
            self._peers.ask(CallPeer(leader_id, message, timeout_ms))
        )
        replaced = asyncio.ensure_future(self._await_other_leader(leader_id))
        try:
            await asyncio.wait((call, replaced), return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            raise OutcomeUnknownError("another instance leads")
        finally:
            call.cancel()
            replaced.cancel()

    async def _await_other_leader(self, leader_id: str) -> None:
        while self._leader_id in ("", leader_id):
            await self._leader_changed.wait()

    async def _read_state(self, message: GetStepJob) -> StepJobShown:
        """Return the stored state of a job.

        Raises:
            JobNotFoundError: If the store has no such job.
            NoLeaderError: If the store does not respond either.
        """
        try:
            row = await self._read_row(JOBS_TABLE, message.job_id, JobRow)
            record = await self._read_row(PROGRESS_TABLE, message.job_id, JobRecord)
        except TableError as error:
            raise NoLeaderError(
                f"neither leader nor store responds: {error.message}"
            ) from None
        if row is None:
            raise JobNotFoundError(f"no job has the id {message.job_id}")
        state = record.state if record is not None else StepJobState.QUEUED
        return StepJobShown(state, row.job.team)

    async def _read_row(self, table: str, key: str, kind: type[Any]) -> Any:
        """Return a stored row, or None if there is none.

        Raises:
            TableError: If the store does not respond in time.
            StoredRowError: If the row cannot be decoded.
        """
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_MS / 1000):
                page: RowsPage = await self._store.ask(
                    ReadRows(table, LEADER_PART, key, limit=1)
                )
        except TimeoutError:
            raise TableUnavailableError("the store did not respond in time") from None
        for row in page.rows:
            if row.row.key != key:
                continue
            try:
                return parse_row(row.value, kind)
            except InvalidInputError as error:
                raise StoredRowError(error.message) from None
        return None
