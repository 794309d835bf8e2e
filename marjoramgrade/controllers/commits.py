"""Group commit of the leader's rows: many changes in one transaction.

Each transaction checks the row that names the leader, so that writes of a former
leader have no effect, and the version of each row that it writes, so that a
transaction whose response was lost can be sent again unchanged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.clock import Clock
from marjoramgrade.errors import (
    MarjoramgradeError,
    NotOwnerError,
    RefusedError,
    RowCheckFailedError,
    RowsRejectedError,
    TableRequiredError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.rows import (
    ABSENT,
    CommitRows,
    RowCheck,
    RowId,
    RowsCommitted,
    RowWrite,
    StoredRow,
)
from marjoramgrade.messages.steps import (
    LeadershipConfirmed,
    LeadershipEnded,
    StoreReachability,
)
from marjoramgrade.metrics import Metrics

# The store accepts 100 entries per transaction; each row needs a check and a write.
MAX_ROWS_PER_TRANSACTION = 48
# The store accepts 1 MB per transaction; base64 makes each value a third larger.
MAX_BATCH_BYTES = 600_000
# A transaction that takes longer to send than this could be taken for lost, and would
# be sent again over the same link.
MAX_SENDING_MS = 200
# Pause between attempts while the store is unavailable.
RETRY_MS = 30
# The store counts as unreachable once a transaction has waited this long. A slow store
# takes about a second; clients wait three.
UNREACHABLE_MS = 1_500
# Interval at which the time that a transaction has waited is checked.
WATCH_MS = 100


@attrs.frozen
class SaveRows(Message[frozenset[RowId]]):
    """Writes rows; replied to once they and all rows before them are stored.

    The reply names the rows that the store never accepts, because they are too large or
    invalid; all others are stored.

    Attributes:
        writes: The rows.
        is_refusable: Whether a client waits for the write and can be refused. Such rows
            are written before the others and are replied to on their own. If the store
            turns out to be unreachable before they are first sent, the request fails
            with `TableRequiredError`, which is confirmed if the store has answered a
            transaction that was sent after the request came.
    """

    writes: tuple[RowWrite, ...]
    is_refusable: bool = False


@attrs.frozen
class AdoptRowVersions(Message[None]):
    """Adds the versions of all rows, read after the leadership began.

    A version that a write of this leadership has set meanwhile is newer and stays. From
    then on only this leadership changes the rows.
    """

    version_by_row: Mapping[RowId, int]


@attrs.define
class _Request:
    writes: tuple[RowWrite, ...]
    is_refusable: bool
    came_ms: int
    done: asyncio.Future[frozenset[RowId]]


def max_batch_bytes(link_mbps: float) -> int:
    """Return the size of the rows that one transaction may hold.

    Args:
        link_mbps: Bandwidth of the link to the store, in Mbit/s.
    """
    encoded_bytes = link_mbps * 1e6 / 8 * MAX_SENDING_MS / 1_000
    return min(MAX_BATCH_BYTES, int(encoded_bytes * 3 / 4))


class CommitController(Actor):
    """Owns the writes of one leadership.

    Args:
        store: Reads and writes rows.
        epoch: Number of the leadership.
        epoch_check: Check of the row that names the leader, at the version that this
            leader wrote.
        versions: Version of each existing row.
        max_row_bytes: Largest row that the store accepts.
        max_batch_bytes: Size of the rows from which on a transaction takes no more.
        clock: Monotonic time.
        metrics: Records how long commits take.
        subscribers: Told when the store confirms the leadership, becomes reachable or
            unreachable, and when the leadership ends.
    """

    def __init__(
        self,
        store: Actor,
        epoch: int,
        epoch_check: RowCheck,
        versions: dict[RowId, int],
        max_row_bytes: int,
        max_batch_bytes: int,
        clock: Clock,
        metrics: Metrics,
        subscribers: tuple[Actor, ...],
    ) -> None:
        super().__init__()
        self._store = store
        self._epoch = epoch
        self._epoch_check = epoch_check
        self._version_by_row = versions
        self._max_row_bytes = max_row_bytes
        self._max_batch_bytes = max_batch_bytes
        self._clock = clock
        self._metrics = metrics
        self._subscribers = subscribers
        self._queue: list[_Request] = []
        # The requests of the transaction that is on its way.
        self._batch: list[_Request] = []
        self._wake = asyncio.Event()
        self._waiting_since_ms = 0
        # When the newest transaction was sent that confirmed the leadership.
        self._confirmed_ms = 0
        self._reachable = True
        # Whether the versions of all rows are known.
        self._is_recovered = False

    async def on_start(self) -> None:
        """Start writing rows and watching the store."""
        self.spawn_critical(self._run())
        self.spawn_critical(self._watch_store())

    async def on_stop(self) -> None:
        """Fail the requests that wait, also those whose outcome is unknown."""
        self._fail_all(NotOwnerError("the leadership has ended"))

    @handles(AdoptRowVersions)
    async def _adopt_versions(self, message: AdoptRowVersions) -> None:
        for row, version in message.version_by_row.items():
            self._version_by_row.setdefault(row, version)
        self._is_recovered = True

    @handles(SaveRows)
    async def _save(self, message: SaveRows) -> Any:
        done: asyncio.Future[frozenset[RowId]] = (
            asyncio.get_running_loop().create_future()
        )
        done.add_done_callback(lambda f: f.cancelled() or f.exception())
        if message.is_refusable and not self._reachable:
            raise TableRequiredError("the store is unreachable")
        self._queue.append(
            _Request(message.writes, message.is_refusable, self._clock.now_ms(), done)
        )
        self._wake.set()
        return done

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                self._batch = self._next_batch()
                if not await self._commit(self._batch):
                    return
                self._batch = []

    def _next_batch(self) -> list[_Request]:
        """Remove the requests for the next transaction from the queue."""
        self._move_new_jobs_first()
        rows: set[RowId] = set()
        size = 0
        batch: list[_Request] = []
        for request in self._queue:
            rows.update(write.row for write in request.writes)
            size += sum(len(write.value) for write in request.writes)
            if batch and (
                len(rows) > MAX_ROWS_PER_TRANSACTION or size > self._max_batch_bytes
            ):
                break
            batch.append(request)
        del self._queue[: len(batch)]
        return batch

    def _move_new_jobs_first(self) -> None:
        """Move jobs whose clients wait before the progress of other jobs.

        They would wait too long otherwise, since a slow store writes fewer rows than
        the running jobs change. The writes of any one row stay in order.
        """
        jobs: list[_Request] = []
        others: list[_Request] = []
        waiting: set[RowId] = set()
        for request in self._queue:
            rows = {write.row for write in request.writes}
            if request.is_refusable and waiting.isdisjoint(rows):
                jobs.append(request)
            else:
                others.append(request)
                waiting |= rows
        self._queue = [*jobs, *others]

    async def _commit(self, requests: list[_Request]) -> bool:
        """Write a batch; return whether this instance still leads."""
        began_ms = self._clock.now_ms()
        rejected: set[RowId] = set()
        write_by_row: dict[RowId, RowWrite] = {}
        for write in (write for request in requests for write in request.writes):
            if len(write.value) > self._max_row_bytes:
                reason = f"{len(write.value)} bytes, more than the store accepts"
                self._reject(write.row, reason, rejected)
            else:
                write_by_row[write.row] = write
        try:
            for part in self._split(write_by_row):
                await self._write(part, rejected)
        except NotOwnerError as error:
            self._end_leadership(error)
            return False
        self._waiting_since_ms = 0
        self._metrics.timing("commit", self._clock.now_ms() - began_ms)
        for request in requests:
            if not request.done.done():
                own = {write.row for write in request.writes}
                request.done.set_result(frozenset(rejected & own))
        return True

    def _split(
        self, write_by_row: Mapping[RowId, RowWrite]
    ) -> list[dict[RowId, RowWrite]]:
        """Return the writes in parts that a transaction may hold.

        One request may hold the progress of many jobs.
        """
        parts: list[dict[RowId, RowWrite]] = [{}]
        size = 0
        for row, write in write_by_row.items():
            size += len(write.value)
            is_full = len(parts[-1]) >= MAX_ROWS_PER_TRANSACTION
            if parts[-1] and (is_full or size > self._max_batch_bytes):
                parts.append({})
                size = len(write.value)
            parts[-1][row] = write
        return parts

    async def _write(
        self, write_by_row: dict[RowId, RowWrite], rejected: set[RowId]
    ) -> None:
        """Write rows, halving a batch that the store rejects to find the cause.

        Args:
            write_by_row: The rows.
            rejected: Receives the rows that the store rejects.

        Raises:
            NotOwnerError: If this instance leads no more or must not go on.
        """
        try:
            await self._write_together(write_by_row)
            return
        except RowsRejectedError as error:
            rows = list(write_by_row)
            if len(rows) == 1:
                self._reject(rows[0], error.message, rejected)
                return
        middle = len(rows) // 2
        for half in (rows[:middle], rows[middle:]):
            await self._write({row: write_by_row[row] for row in half}, rejected)

    async def _write_together(self, write_by_row: dict[RowId, RowWrite]) -> None:
        """Write rows in one transaction.

        Raises:
            NotOwnerError: If this instance leads no more or must not go on.
            RowsRejectedError: If the store refuses the transaction as invalid.
        """
        while write_by_row:
            asked_ms = self._clock.now_ms()
            self._waiting_since_ms = self._waiting_since_ms or asked_ms
            try:
                answer: RowsCommitted = await self._store.ask(
                    self._transaction(write_by_row)
                )
            except RowCheckFailedError as error:
                if not self._names_leader(error):
                    await asyncio.sleep(RETRY_MS / 1000)
                    continue
                self._reconcile(write_by_row, error)
                self._record_response(asked_ms)
                continue
            except (TableUnavailableError, WriteOutcomeUnknownError):
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            self._record_success(write_by_row, answer, asked_ms)
            break

    def _reject(self, row: RowId, reason: str, rejected: set[RowId]) -> None:
        rejected.add(row)
        self._metrics.count("rows_rejected")
        logs.log_event("row_rejected", table=row.table, row=row.key, reason=reason)

    def _transaction(self, write_by_row: dict[RowId, RowWrite]) -> CommitRows:
        checks = [
            RowCheck(row, self._version_by_row.get(row, ABSENT)) for row in write_by_row
        ]
        writes = tuple(
            write
            for row, write in write_by_row.items()
            if not (write.remove and self._version_by_row.get(row, ABSENT) == ABSENT)
        )
        return CommitRows((self._epoch_check, *checks), writes)

    def _names_leader(self, error: RowCheckFailedError) -> bool:
        """Return whether a response holds the row that names the leader.

        Raises:
            NotOwnerError: If the row names another leadership.
        """
        for row in error.rows:
            if isinstance(row, StoredRow) and row.row == self._epoch_check.row:
                if row.version != self._epoch_check.version:
                    raise NotOwnerError("another instance leads")
                return True
        return False

    def _reconcile(
        self, write_by_row: dict[RowId, RowWrite], error: RowCheckFailedError
    ) -> None:
        """Update the versions and drop the writes that took effect unconfirmed.

        A write takes effect unconfirmed if the response to its transaction was lost.

        Raises:
            NotOwnerError: If a row changed that this leadership has not written. Only
                the leader writes these rows, so it has recovered an older state, which
                must not replace the newer one.
        """
        current = {row.row: row for row in error.rows if isinstance(row, StoredRow)}
        for row, write in list(write_by_row.items()):
            found = current.get(row)
            version = ABSENT if found is None or found.deleted else found.version
            has_changed = version != self._version_by_row.get(row, ABSENT)
            has_taken_effect = (
                write.remove
                if version == ABSENT
                else (
                    found is not None
                    and not write.remove
                    and found.value == write.value
                )
            )
            if has_changed and not has_taken_effect and self._is_recovered:
                logs.log_event(
                    "foreign_row", table=row.table, row=row.key, version=version
                )
                raise NotOwnerError(
                    "a row was changed that this leader has not written"
                )
            self._version_by_row[row] = version
            if has_taken_effect:
                del write_by_row[row]

    def _record_success(
        self,
        write_by_row: dict[RowId, RowWrite],
        answer: RowsCommitted,
        asked_ms: int,
    ) -> None:
        for row, write in write_by_row.items():
            self._version_by_row[row] = ABSENT if write.remove else answer.version
        self._record_response(asked_ms)

    def _record_response(self, asked_ms: int) -> None:
        """Record that the store has responded and still names this instance."""
        self._waiting_since_ms = 0
        self._confirmed_ms = asked_ms
        self._tell_subscribers(LeadershipConfirmed(self._epoch, asked_ms))
        self._set_reachable(True)

    async def _watch_store(self) -> None:
        """Refuse unsent requests while a transaction gets no response."""
        while True:
            await asyncio.sleep(WATCH_MS / 1000)
            since_ms = self._waiting_since_ms
            if since_ms and self._clock.now_ms() - since_ms >= UNREACHABLE_MS:
                self._set_reachable(False)
                self._refuse_unsent()

    def _refuse_unsent(self) -> None:
        """Refuse refusable requests; none of those in the queue has been sent."""
        for request in self._queue:
            if request.is_refusable and not request.done.done():
                refusal: RefusedError = TableRequiredError("the store is unreachable")
                if self._confirmed_ms > request.came_ms:
                    refusal = refusal.confirmed_by(self._epoch)
                request.done.set_exception(refusal)
        self._queue = [r for r in self._queue if not r.done.done()]

    def _set_reachable(self, reachable: bool) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        logs.log_event("store_reachable" if reachable else "store_unreachable")
        self._tell_subscribers(StoreReachability(reachable))

    def _end_leadership(self, error: NotOwnerError) -> None:
        self._fail_all(error)
        self._tell_subscribers(LeadershipEnded(self._epoch, error.message))

    def _fail_all(self, error: MarjoramgradeError) -> None:
        for request in (*self._batch, *self._queue):
            if not request.done.done():
                request.done.set_exception(error)
        self._batch = []
        self._queue.clear()

    def _tell_subscribers(self, message: Message[None]) -> None:
        for subscriber in self._subscribers:
            subscriber.tell(message)
