"""Moves the jobs of a shard to other shards while its zone is out."""

from __future__ import annotations

import attrs

from marjoramgrade.controllers.shardtasks import ShardTasks
from marjoramgrade.decisions.tasks import queued_tasks_from
from marjoramgrade.messages.jobs import StoredJob
from marjoramgrade.model import JobKind

# Batch and gang tasks may run to completion within this time after their zone was
# taken out.
DRAIN_GRACE_MS = 10_000
MAX_CONCURRENT_MOVES = 100
ZONE_OUT_REASON = "zone taken out"


@attrs.define
class ZoneDrain:
    """The drain of one shard under one epoch.

    Attributes:
        tasks: The tasks of the shard.
    """

    tasks: ShardTasks
    _out_since_ms: int | None = None
    _moving: set[str] = attrs.field(factory=set)

    def stop_due_tasks(self, now_ms: int) -> None:
        """Stop services at once, batch and gang tasks after a grace period."""
        if self._out_since_ms is None:
            self._out_since_ms = now_ms
        is_grace_over = now_ms >= self._out_since_ms + DRAIN_GRACE_MS
        for job_id, stored in self.tasks.job_by_id.items():
            if stored.job.spec.kind is JobKind.SERVICE or is_grace_over:
                self._stop_job(job_id)

    def end(self) -> None:
        """End the drain once the zone is in; a later drain has a new grace period."""
        self._out_since_ms = None

    def begin_moves(self, now_ms: int) -> list[StoredJob]:
        """Dequeue jobs without running tasks, mark them as moving and return them."""
        movable: list[StoredJob] = []
        if not self.tasks.reconciliation.is_complete(now_ms):
            return movable
        for job_id, stored in self.tasks.job_by_id.items():
            if len(self._moving) >= MAX_CONCURRENT_MOVES:
                break
            if self._is_movable(stored):
                self._moving.add(job_id)
                self.tasks.scheduler.cancel_job(job_id)
                movable.append(stored)
        return movable

    def record_move_end(self, job_id: str, now_ms: int) -> None:
        """Record the end of a move attempt; requeue the job's tasks if it stays."""
        self._moving.discard(job_id)
        stored = self.tasks.job_by_id.get(job_id)
        if stored is None or stored.job.cancelled:
            return
        outcomes = self.tasks.outcomes
        for entry in queued_tasks_from(stored.job, now_ms):
            if not any(outcomes.is_final(task) for task in entry.iter_tasks()):
                self.tasks.scheduler.submit(entry, now_ms)

    def _is_movable(self, stored: StoredJob) -> bool:
        job_id = stored.job.job_id
        is_busy = bool(self.tasks.scheduler.running.tasks_of_job(job_id))
        is_changing = job_id in self._moving or stored.job.cancelled
        return not (
            is_busy or is_changing or self.tasks.outcomes.has_open_writes(job_id)
        )

    def _stop_job(self, job_id: str) -> None:
        scheduler = self.tasks.scheduler
        for running in scheduler.running.tasks_of_job(job_id):
            if scheduler.running.stop_request_of(running.task) is None:
                scheduler.stop(running.task, ZONE_OUT_REASON, is_requeued=True)
