"""Reads the state that earlier leaders stored."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import TypeVar

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import Actor
from marjoramgrade.controllers.tablereader import read_all_rows
from marjoramgrade.decisions.stepprogress import JobRecord
from marjoramgrade.errors import InvalidInputError, TableError
from marjoramgrade.messages.rows import RowId, StoredRow
from marjoramgrade.stepjobs import StepWorker
from marjoramgrade.steprows import (
    JOBS_TABLE,
    LEADER_PART,
    LEADERSHIP_TABLE,
    LEGACY_ROSTER_ROW,
    PROGRESS_TABLE,
    ROSTER_TABLE,
    JobRow,
    RosterRow,
    parse_row,
)

T = TypeVar("T")

# Delay between read attempts while the store does not respond.
RETRY_MS = 100


@attrs.frozen
class RecoveredState:
    """Jobs, workers and row versions that earlier leaders stored.

    Attributes:
        jobs: Pairs of a job with its queue, and the progress of the job.
        roster: Workers that may have runs.
        version_by_row: Versions of all rows that were read.
        unreadable_job_ids: Jobs with a row that cannot be decoded. They must neither
            run nor be accepted again, since they may have run.
    """

    jobs: tuple[tuple[JobRow, JobRecord], ...]
    roster: tuple[StepWorker, ...]
    version_by_row: Mapping[RowId, int]
    unreadable_job_ids: frozenset[str] = frozenset()


async def read_recovered_state(store: Actor, oldest_version: int) -> RecoveredState:
    """Read the stored state, retrying until the store responds.

    Args:
        store: Reads and writes rows.
        oldest_version: Version of the takeover. Former leaders write nothing after it,
            so tables that are read at this version or later belong together.
    """
    while True:
        try:
            return await _read(store, oldest_version)
        except TableError as error:
            logs.log_event("takeover_waits", reason=error.message)
            await asyncio.sleep(RETRY_MS / 1000)


async def _read(store: Actor, oldest_version: int) -> RecoveredState:
    leadership, roster, jobs, progress = await asyncio.gather(
        *(
            read_all_rows(store, table, LEADER_PART, oldest_version)
            for table in (LEADERSHIP_TABLE, ROSTER_TABLE, JOBS_TABLE, PROGRESS_TABLE)
        )
    )
    versions = {
        row.row: row.version for row in (*leadership, *roster, *jobs, *progress)
    }
    record_by_id, unreadable_records = _parse_rows(progress, JobRecord)
    row_by_id, unreadable_jobs = _parse_rows(jobs, JobRow)
    unreadable = unreadable_records | unreadable_jobs
    recovered_jobs = tuple(
        (job, record_by_id.get(job_id, JobRecord()))
        for job_id, job in row_by_id.items()
        if job_id not in unreadable
    )
    legacy = [row for row in leadership if row.row == LEGACY_ROSTER_ROW]
    roster_by_key, _ = _parse_rows([*legacy, *roster], RosterRow)
    worker_by_id = {
        worker.worker_id: worker
        for part in roster_by_key.values()
        for worker in part.workers
    }
    return RecoveredState(
        recovered_jobs, tuple(worker_by_id.values()), versions, frozenset(unreadable)
    )


def _parse_rows(
    rows: Sequence[StoredRow], kind: type[T]
) -> tuple[dict[str, T], set[str]]:
    """Return the content of rows by key, and the keys of those that are unreadable."""
    value_by_key: dict[str, T] = {}
    unreadable = set()
    for row in rows:
        try:
            value_by_key[row.row.key] = parse_row(row.value, kind)
        except InvalidInputError as error:
            unreadable.add(row.row.key)
            logs.log_event("row_unreadable", row=row.row.key, reason=error.message)
    return value_by_key, unreadable
