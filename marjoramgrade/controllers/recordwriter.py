"""Writes the job rows and request ids of many senders in few transactions."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from marjoramgrade.actor import Actor, handles
from marjoramgrade.errors import (
    CheckFailedError,
    DuplicateRequestError,
    MarjoramgradeError,
)
from marjoramgrade.messages.jobs import RecordRequestId, StoredJob, WriteJob
from marjoramgrade.store import (
    JOBS_PREFIX,
    RequestRecord,
    Store,
    failed_keys,
    fence_key,
)

# The first record of a transaction waits this long for others.
BATCH_WINDOW_MS = 20
# Limits 22 entry instances together to less than 220 transactions a second.
MIN_WRITE_INTERVAL_MS = 100
MAX_ROWS_PER_TRANSACTION = 500


@attrs.define
class _Pending:
    """A record that waits to be written and the future of its result."""

    record: WriteJob | RequestRecord
    done: asyncio.Future[Any]

    @property
    def key(self) -> str:
        """Key of the row that is written."""
        if isinstance(self.record, WriteJob):
            return JOBS_PREFIX + self.record.job.job_id
        return self.record.key

    def has_failed(self, failed: frozenset[str]) -> bool:
        """Return whether this record checks a key that is among the failed ones."""
        if self.key in failed:
            return True
        fence = self.record.fence if isinstance(self.record, WriteJob) else None
        return fence is not None and fence_key(fence) in failed

    def succeed(self, version: int) -> None:
        if self.done.done():
            return
        if isinstance(self.record, WriteJob):
            self.done.set_result(StoredJob(self.record.job, version))
        else:
            self.done.set_result(None)

    def fail(self, error: MarjoramgradeError) -> None:
        if not self.done.done():
            self.done.set_exception(error)


class RecordWriterController(Actor):
    """Owns the records that wait to be written.

    At most one transaction is in flight. A record whose check fails is refused
    alone; the others of its transaction are written again.

    Args:
        store: Typed access to the table.
    """

    def __init__(self, store: Store) -> None:
        super().__init__()
        self._store = store
        self._waiting: list[_Pending] = []
        self._has_work = asyncio.Event()
        self._writer: asyncio.Task[Any] | None = None
        self._is_closing = False

    async def on_start(self) -> None:
        """Start the loop that writes batches."""
        self._writer = asyncio.create_task(self._write_forever())

    async def on_stop(self) -> None:
        """Write the waiting records, then stop."""
        self._is_closing = True
        self._has_work.set()
        if self._writer is not None:
            await self._writer

    @handles(WriteJob)
    async def _write_job(self, message: WriteJob) -> Any:
        return self._append(message)

    @handles(RecordRequestId)
    async def _record_request(self, message: RecordRequestId) -> Any:
        return self._append(RequestRecord(message.team, message.request_id))

    def _append(self, record: WriteJob | RequestRecord) -> asyncio.Future[Any]:
        done: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Pending(record, done))
        self._has_work.set()
        return done

    async def _write_forever(self) -> None:
        while True:
            await self._has_work.wait()
            if self._is_closing and not self._waiting:
                return
            await asyncio.sleep(BATCH_WINDOW_MS / 1000)
            batch = self._pop_batch()
            if batch:
                await self._write(batch)
            if self._waiting:
                await asyncio.sleep((MIN_WRITE_INTERVAL_MS - BATCH_WINDOW_MS) / 1000)
            elif not self._is_closing:
                self._has_work.clear()

    def _pop_batch(self) -> list[_Pending]:
        """Remove and return the oldest records, at most one for each row."""
        batch: list[_Pending] = []
        later: list[_Pending] = []
        keys: set[str] = set()
        for pending in self._waiting:
            if len(batch) < MAX_ROWS_PER_TRANSACTION and pending.key not in keys:
                keys.add(pending.key)
                batch.append(pending)
            else:
                later.append(pending)
        self._waiting = later
        return batch

    async def _write(self, batch: list[_Pending]) -> None:
        while batch:
            jobs = [p.record for p in batch if isinstance(p.record, WriteJob)]
            requests = [p.record for p in batch if isinstance(p.record, RequestRecord)]
            try:
                version = await self._store.commit_records(jobs, requests)
            except CheckFailedError as error:
                batch = _refuse_failed(batch, error, failed_keys(error, jobs, requests))
                continue
            except MarjoramgradeError as error:
                for pending in batch:
                    pending.fail(error)
                return
            for pending in batch:
                pending.succeed(version)
            return


def _refuse_failed(
    batch: list[_Pending], error: CheckFailedError, failed: frozenset[str]
) -> list[_Pending]:
    """Refuse the records whose checks failed and return the others.

    If the failed keys are not known, all records are refused.
    """
    remaining = []
    for pending in batch:
        if failed and not pending.has_failed(failed):
            remaining.append(pending)
        elif isinstance(pending.record, RequestRecord):
            pending.fail(
                DuplicateRequestError(
                    f"request {pending.record.request_id} has already been recorded"
                )
            )
        else:
            pending.fail(error)
    return remaining
