"""The leader's connection to one worker: orders, lease renewals and run listings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marjoramgrade import logs
from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.workerport import WorkerPort
from marjoramgrade.decisions.listings.schedule import (
    ListingSchedule,
    WorkerActivity,
    periodic,
)
from marjoramgrade.decisions.workerlease import WorkerLease
from marjoramgrade.errors import (
    InvalidInputError,
    WorkerError,
    WorkerRefusedError,
    WorkerReplacedError,
    WorkerUnreachableError,
    WorkerUnresponsiveError,
)
from marjoramgrade.messages.steps import (
    AcknowledgeRunEnds,
    AllowLeaseRenewal,
    RaiseFence,
    RunStartResult,
    SendRunPace,
    SendRunStart,
    SendRunStop,
    ShortenListingWaits,
    StartOutcome,
    WorkerCallUnanswered,
    WorkerFenceRefused,
    WorkerListingReceived,
    WorkerUnresponsive,
)
from marjoramgrade.stepjobs import StepWorker, WorkerListing

# While ends that the worker lists are not yet stored, the next listing is requested
# after this time, since the worker would respond to it at once.
ACKNOWLEDGEMENT_WAIT_MS = 120
# Pause after a listing that failed.
RETRY_DELAY_MS = 150
# A call without a response may be carried out this much later. After a restart, a call
# to the earlier incarnation may extend the lease until a higher fence has been listed.
LATE_CALL_MS = 12_000
# A worker counts as unresponsive after this many consecutive failed listings.
FAILURES_TO_UNRESPONSIVE = 2


class StepWorkerLink(Actor):
    """Owns the calls to one incarnation of a worker.

    An unexpected failure of a call ends the link; the leader then replaces it.

    Args:
        worker: The worker.
        port: The client of the worker.
        scheduler: Told of listings, start results and failed calls.
        clock: Monotonic time.
        worker_lease_ms: Duration of the leases that are granted.
        longest_lease_ms: Longest lease that any order can make a worker grant.
        fence: The first fencing token.
        earliest_expiry_ms: Time on this instance's clock after which leases of earlier
            leaders have expired.
        schedule: Chooses how long each listing waits for a run to end.
    """

    def __init__(
        self,
        worker: StepWorker,
        port: WorkerPort,
        scheduler: Actor,
        clock: Clock,
        worker_lease_ms: int,
        longest_lease_ms: int,
        fence: int,
        earliest_expiry_ms: int,
        schedule: ListingSchedule = periodic,
    ) -> None:
        super().__init__(worker.worker_id)
        self._worker_id = worker.worker_id
        self._port = port
        self._scheduler = scheduler
        self._clock = clock
        self._worker_lease_ms = worker_lease_ms
        self._longest_lease_ms = longest_lease_ms
        self._schedule = schedule
        self._fence = fence
        self._lease = WorkerLease(earliest_expiry_ms=earliest_expiry_ms)
        self._acknowledged_number = 0
        self._born_unix_ms = 0
        # When the first listing of this incarnation was received.
        self._heard_ms = 0
        # Calls up to this fence may have been sent to an earlier incarnation.
        self._earlier_fence = 0
        self._is_lease_known = False
        self._last_end_number = 0
        self._failures = 0
        self._grant_until_ms = 0
        self._has_reported_expiry = False
        self._acknowledgement_received = asyncio.Event()
        self._alert_until_ms = 0
        # A worker that was not listed yet may have runs of earlier leaders.
        self._lists_runs = True
        self._start_sent_ms = 0

    async def on_start(self) -> None:
        """Start listing the worker's runs."""
        self.spawn_critical(self._list_forever())

    async def on_stop(self) -> None:
        """Close the connections."""
        self._port.close()

    @handles(AllowLeaseRenewal)
    async def _allow_renewal(self, message: AllowLeaseRenewal) -> None:
        self._grant_until_ms = message.until_ms

    @handles(ShortenListingWaits)
    async def _shorten_waits(self, message: ShortenListingWaits) -> None:
        is_first = self._clock.now_ms() >= self._alert_until_ms
        self._alert_until_ms = max(self._alert_until_ms, message.until_ms)
        if is_first:
            # The pending listing would show only after its wait that the worker is
            # unresponsive.
            self.spawn_critical(self._list(0))

    @handles(AcknowledgeRunEnds)
    async def _acknowledge(self, message: AcknowledgeRunEnds) -> None:
        if message.born_unix_ms != self._born_unix_ms:
            # Each incarnation numbers its own ends; those of this one are not stored.
            return
        if message.number > self._acknowledged_number:
            self._acknowledged_number = message.number
            self._acknowledgement_received.set()

    @handles(RaiseFence)
    async def _raise_fence(self, message: RaiseFence) -> None:
        self._fence = max(self._fence, message.fence)
        self.spawn_critical(self._list_now())

    @handles(SendRunStart)
    async def _start(self, message: SendRunStart) -> None:
        self.spawn_critical(self._send_start(message))

    @handles(SendRunStop)
    async def _stop_run(self, message: SendRunStop) -> None:
        self.spawn_critical(self._send_stop(message))

    @handles(SendRunPace)
    async def _pace_run(self, message: SendRunPace) -> None:
        self.spawn_critical(self._send_pace(message))

    # Orders

    async def _send_start(self, message: SendRunStart) -> None:
        outcome, reason = await self._try_start(message)
        self._scheduler.tell(
            RunStartResult(
                self._worker_id,
                message.order.task,
                message.order.run,
                outcome,
                reason,
            )
        )

    async def _try_start(self, message: SendRunStart) -> tuple[StartOutcome, str]:
        if not self._may_grant():
            return StartOutcome.REFUSED, "no_authority"
        expiry = self._next_expiry() or self._lease.granted_until_clock_ms
        if not expiry:
            return StartOutcome.REFUSED, "not_heard"
        try:
            self._start_sent_ms = self._clock.now_ms()
            # The response does not name the incarnation whose clock it shows, so the
            # clock is taken from listings only.
            await self._port.start(message.order, message.fence, expiry)
        except WorkerRefusedError as error:
            return StartOutcome.REFUSED, error.reason
        except (WorkerUnreachableError, WorkerReplacedError) as error:
            return StartOutcome.REFUSED, error.code
        except WorkerUnresponsiveError as error:
            logs.log_event(
                "start_unanswered",
                job=message.order.task.job_id,
                worker=self._worker_id,
                reason=error.message,
            )
            return StartOutcome.UNKNOWN, error.code
        return StartOutcome.STARTED, ""

    async def _send_stop(self, message: SendRunStop) -> None:
        try:
            await self._port.stop(message.task, message.run, message.fence)
        except WorkerError as error:
            # The supervisor sends the stop again until the end is listed.
            self._log_failure("stop_failed", message.task.job_id, error)

    async def _send_pace(self, message: SendRunPace) -> None:
        try:
            await self._port.pace(
                message.task, message.run, message.percent, message.fence
            )
        except WorkerError as error:
            self._log_failure("pace_failed", message.task.job_id, error)

    def _log_failure(self, event: str, job_id: str, error: WorkerError) -> None:
        logs.log_event(
            event,
            job=job_id,
            worker=self._worker_id,
            code=error.code,
            reason=error.message,
        )

    # Leases and listings

    def _may_grant(self) -> bool:
        return self._clock.now_ms() < self._grant_until_ms

    def _next_expiry(self) -> int:
        """Return when the lease is to expire on the worker's clock; 0 for no change.

        The lease of an unresponsive worker is not extended: an order that is carried
        out late must not keep runs alive that count as lost. The expiry is not repeated
        either, since the worker may have restarted: on the clock of the next
        incarnation it would be a far longer lease.
        """
        if not self._lease.clock_received_ms or self._failures or not self._may_grant():
            return 0
        now_ms = self._clock.now_ms()
        expiry = self._lease.earliest_clock_ms(now_ms) + self._worker_lease_ms
        self._lease.granted_until_clock_ms = max(
            self._lease.granted_until_clock_ms, expiry
        )
        return self._lease.granted_until_clock_ms

    async def _list_forever(self) -> None:
        while True:
            wait_ms = self._wait_ms() if self._is_fully_acknowledged() else 0
            if not await self._list(wait_ms):
                await asyncio.sleep(RETRY_DELAY_MS / 1000)
            elif not self._is_fully_acknowledged():
                await self._wait_for_acknowledgement()

    def _wait_ms(self) -> int:
        return self._schedule(
            WorkerActivity(
                has_runs=self._lists_runs or self._start_sent_ms > 0,
                is_alert=self._clock.now_ms() < self._alert_until_ms,
                has_failed=self._failures > 0,
            )
        )

    def _is_fully_acknowledged(self) -> bool:
        return (
            bool(self._lease.clock_received_ms)
            and self._acknowledged_number >= self._last_end_number
        )

    async def _wait_for_acknowledgement(self) -> None:
        self._acknowledgement_received.clear()
        try:
            async with asyncio.timeout(ACKNOWLEDGEMENT_WAIT_MS / 1000):
                while not self._is_fully_acknowledged():
                    await self._acknowledgement_received.wait()
                    self._acknowledgement_received.clear()
        except TimeoutError:
            return

    async def _list_now(self) -> None:
        fence = self._fence
        while fence == self._fence and not await self._list(0):
            await asyncio.sleep(RETRY_DELAY_MS / 1000)

    async def _list(self, wait_ms: int) -> bool:
        """List the runs once; return whether the worker responded."""
        fence, asked_ms = self._fence, self._clock.now_ms()
        # A worker that did not respond may have restarted, and numbers its ends anew.
        acknowledged = 0 if self._failures else self._acknowledged_number
        try:
            listing = await self._port.renew(
                fence, self._next_expiry(), acknowledged, wait_ms
            )
        except WorkerRefusedError as error:
            if error.reason == "fence":
                if fence < self._fence:
                    return True
                self._scheduler.tell(WorkerFenceRefused(self._worker_id, fence))
            return self._record_failure(error)
        except (WorkerError, InvalidInputError) as error:
            return self._record_failure(error)
        self._record_listing(listing, fence, asked_ms)
        self._scheduler.tell(
            WorkerListingReceived(self._worker_id, listing, fence, asked_ms)
        )
        return True

    def _record_listing(
        self, listing: WorkerListing, fence: int, asked_ms: int
    ) -> None:
        if listing.born_unix_ms != self._born_unix_ms:
            if asked_ms < self._heard_ms:
                # The late response of an earlier incarnation. The time of day does not
                # tell which is the earlier one, since it can be set back.
                return
            self._heard_ms = self._clock.now_ms()
            self._earlier_fence = self._fence if self._born_unix_ms else 0
            self._is_lease_known = False
            self._born_unix_ms = listing.born_unix_ms
            self._acknowledged_number = self._last_end_number = 0
            self._lease = WorkerLease()
        self._lists_runs = bool(listing.running)
        if asked_ms > self._start_sent_ms:
            self._start_sent_ms = 0
        self._lease.record_clock(listing.clock_ms, self._clock.now_ms())
        if not self._is_lease_known:
            self._bound_unknown_grants(listing, fence)
        for end in listing.ended:
            self._last_end_number = max(self._last_end_number, end.number)
        if self._failures >= FAILURES_TO_UNRESPONSIVE:
            logs.log_event("worker_answers", worker=self._worker_id)
        self._failures = 0
        self._has_reported_expiry = False

    def _bound_unknown_grants(self, listing: WorkerListing, fence: int) -> None:
        """Bound the lease that calls which this link cannot measure have granted.

        Once the worker has seen a higher fence than those calls carry, none of them has
        an effect any more. Until then each may still be carried out.
        """
        self._is_lease_known = fence > self._earlier_fence
        late_ms = 0 if self._is_lease_known else LATE_CALL_MS
        self._lease.unknown_until_clock_ms = (
            listing.clock_ms + late_ms + self._longest_lease_ms
        )

    def _record_failure(self, error: WorkerError | InvalidInputError) -> bool:
        self._failures += 1
        self._scheduler.tell(WorkerCallUnanswered(self._worker_id))
        if self._failures == FAILURES_TO_UNRESPONSIVE:
            logs.log_event(
                "worker_silent",
                worker=self._worker_id,
                code=error.code,
                reason=error.message,
            )
        # Another incarnation at the worker's address means that this one has ended.
        expired = isinstance(error, WorkerReplacedError) or self._lease.has_expired(
            self._clock.now_ms()
        )
        if self._failures >= FAILURES_TO_UNRESPONSIVE and not self._has_reported_expiry:
            self._has_reported_expiry = expired
            if expired:
                logs.log_event("worker_expired", worker=self._worker_id)
            self._scheduler.tell(WorkerUnresponsive(self._worker_id, expired))
        return False


ConnectWorker = Callable[[StepWorker], WorkerPort]
