"""Writes the outcomes and moves of a shard's jobs to their rows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from marjoramgrade.actor import Actor
from marjoramgrade.controllers.shardtasks import ShardTasks
from marjoramgrade.errors import (
    CheckFailedError,
    MarjoramgradeError,
    TableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.jobs import JobsChanged, StoredJob, WriteJob
from marjoramgrade.messages.routing import ChooseShard
from marjoramgrade.metrics import Metrics
from marjoramgrade.store import Store

RESOLVE_INTERVAL_MS = 500


class JobWriter:
    """Writes the job rows of one shard for its owner.

    Args:
        shard: Name of the shard.
        store: Reads a row again after a conflict.
        record_writer: Writes job rows.
        routes: Chooses the shard that a job moves to.
        jobs: Returns the actor that is told of written rows.
        metrics: Counters.
    """

    def __init__(
        self,
        shard: str,
        store: Store,
        record_writer: Actor,
        routes: Actor,
        jobs: Callable[[], Actor],
        metrics: Metrics,
    ) -> None:
        self._shard = shard
        self._store = store
        self._record_writer = record_writer
        self._routes = routes
        self._jobs = jobs
        self._metrics = metrics

    async def write(self, state: ShardTasks, stored: StoredJob) -> None:
        """Write a job's pending outcomes, then acknowledge the ends to the workers."""
        job_id = stored.job.job_id
        outcomes = state.outcomes.begin_write(job_id)
        merged = outcomes.merge_into(stored.job)
        try:
            written = stored
            if merged != stored.job:
                written = await self._record_writer.ask(
                    WriteJob(merged, stored.version, state.fence)
                )
        except CheckFailedError:
            state.outcomes.restore(job_id, outcomes)
            await self._reload(job_id)
            return
        except MarjoramgradeError:
            self._metrics.retried("outcome_table_error")
            state.outcomes.restore(job_id, outcomes)
            return
        state.outcomes.end_write(job_id)
        state.record_job_write(written)
        for task, worker_id in outcomes.worker_by_task.items():
            state.outboxes.acknowledge(worker_id, task)
        self._jobs().tell(JobsChanged((written,)))

    async def move(self, state: ShardTasks, stored: StoredJob) -> None:
        """Move a job without running tasks to another shard."""
        job_id = stored.job.job_id
        try:
            shard = await self._routes.ask(ChooseShard(stored.job.spec))
            if shard == self._shard:
                return
            moved = attrs.evolve(
                stored.job, shard=shard, reason=f"moved from {self._shard}: zone out"
            )
            written = await self._write_move(
                WriteJob(moved, stored.version, state.fence)
            )
        except CheckFailedError:
            await self._reload_moved(state, job_id)
            return
        except MarjoramgradeError:
            self._metrics.retried("move_table_error")
            return
        state.remove_moved_job(written)
        self._jobs().tell(JobsChanged((written,)))

    async def _write_move(self, write: WriteJob) -> StoredJob:
        """Repeat the write until its outcome is known; no task may start until then."""
        while True:
            try:
                written: StoredJob = await self._record_writer.ask(write)
                return written
            except WriteOutcomeUnknownError:
                self._metrics.retried("move_outcome_unknown")
                await asyncio.sleep(RESOLVE_INTERVAL_MS / 1000)

    async def _reload_moved(self, state: ShardTasks, job_id: str) -> None:
        """Read the home shard of a job whose row changed during its move."""
        while True:
            try:
                stored = await self._store.read_job(job_id)
            except TableError:
                self._metrics.retried("job_read_failed")
                await asyncio.sleep(RESOLVE_INTERVAL_MS / 1000)
                continue
            if stored is not None and stored.job.shard != self._shard:
                state.remove_moved_job(stored)
            if stored is not None:
                self._jobs().tell(JobsChanged((stored,)))
            return

    async def _reload(self, job_id: str) -> None:
        """Read a job row that another writer has changed and publish it."""
        self._metrics.retried("job_conflict")
        try:
            stored = await self._store.read_job(job_id)
        except MarjoramgradeError:
            self._metrics.retried("job_read_failed")
            return
        if stored is not None:
            self._jobs().tell(JobsChanged((stored,)))
