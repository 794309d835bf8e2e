"""Reads the state that earlier leaders stored."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import Actor
from marjoramgrade.decisions.stepprogress import JobRecord
from marjoramgrade.errors import InvalidInputError, TableUnavailableError
from marjoramgrade.messages.rows import ReadRows, RowId, StoredRow
from marjoramgrade.stepjobs import StepWorker
from marjoramgrade.steprows import (
    JOBS_TABLE,
    LEADER_PART,
    LEADERSHIP_TABLE,
    PROGRESS_TABLE,
    ROSTER_ROW,
    JobRow,
    RosterRow,
    parse_row,
)

# Delay between read attempts while the store does not respond.
RETRY_MS = 100


@attrs.frozen
class RecoveredState:
    """Jobs, workers and row versions that earlier leaders stored.

    Attributes:
        jobs: Pairs of a job with its queue, and the progress of the job.
        roster: Workers that may have runs.
        version_by_row: Versions of all rows that were read.
    """

    jobs: tuple[tuple[JobRow, JobRecord], ...]
    roster: tuple[StepWorker, ...]
    version_by_row: Mapping[RowId, int]


async def read_recovered_state(store: Actor) -> RecoveredState:
    """Read the stored state, retrying until the store responds."""
    while True:
        try:
            return await _read(store)
        except TableUnavailableError as error:
            logs.log_event("takeover_waits", reason=error.message)
            await asyncio.sleep(RETRY_MS / 1000)


async def _read(store: Actor) -> RecoveredState:
    leadership, jobs, progress = await asyncio.gather(
        _read_all(store, LEADERSHIP_TABLE),
        _read_all(store, JOBS_TABLE),
        _read_all(store, PROGRESS_TABLE),
    )
    versions = {row.row: row.version for row in (*leadership, *jobs, *progress)}
    record_by_id = {}
    for row in progress:
        record_by_id[row.row.key] = parse_row(row.value, JobRecord)
    recovered_jobs = []
    for row in jobs:
        try:
            job = parse_row(row.value, JobRow)
        except InvalidInputError as error:
            logs.log_event("row_unreadable", row=row.row.key, reason=error.message)
            continue
        recovered_jobs.append((job, record_by_id.get(row.row.key, JobRecord())))
    roster: tuple[StepWorker, ...] = ()
    for row in leadership:
        if row.row == ROSTER_ROW:
            roster = parse_row(row.value, RosterRow).workers
    return RecoveredState(tuple(recovered_jobs), roster, versions)


async def _read_all(store: Actor, table: str) -> list[StoredRow]:
    return [row async for row in _iter_rows(store, table)]


async def _iter_rows(store: Actor, table: str) -> AsyncIterator[StoredRow]:
    first = ""
    while True:
        page = await store.ask(ReadRows(table, LEADER_PART, first))
        for row in page.rows:
            # Each further page begins with the last row of the previous page.
            if row.row.key != first:
                yield row
        if not page.more or not page.rows:
            return
        first = page.rows[-1].row.key
