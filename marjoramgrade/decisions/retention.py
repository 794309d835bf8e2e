"""Retention of ended jobs in memory and in the table."""

from __future__ import annotations

from collections import deque

import attrs

from marjoramgrade.model import Job

# Lists and watches show an ended job for this time; its row is retained for longer.
MEMORY_RETENTION_MS = 3_600_000
MAX_DELETED_AT_ONCE = 100


@attrs.frozen
class _EndedJob:
    job_id: str
    version: int
    ended_ms: int


class EndedJobs:
    """Ended jobs, in the order in which this instance recorded them.

    Args:
        retention_ms: Time after which the row of an ended job is deleted.
    """

    def __init__(self, retention_ms: int) -> None:
        self._retention_ms = retention_ms
        self._in_memory: deque[_EndedJob] = deque()
        self._in_table: deque[_EndedJob] = deque()
        self._evicted_version = 0

    def record(self, job: Job, version: int, is_own_shard: bool, now_ms: int) -> None:
        """Record an ended job.

        Args:
            job: The ended job.
            version: Version of the job's row.
            is_own_shard: Whether the job's shard belongs to this zone, whose instances
                delete its row.
            now_ms: The current time.
        """
        ended = _EndedJob(job.job_id, version, now_ms)
        self._in_memory.append(ended)
        if is_own_shard:
            self._in_table.append(ended)

    def is_evicted(self, job: Job, version: int) -> bool:
        """Return whether a row that was read again belongs to an evicted job."""
        return version <= self._evicted_version and not job.is_open

    def pop_evictable(self, now_ms: int) -> list[str]:
        """Remove and return the ids of the jobs to evict from memory."""
        memory_retention_ms = min(MEMORY_RETENTION_MS, self._retention_ms)
        evicted = []
        while (
            self._in_memory
            and now_ms >= self._in_memory[0].ended_ms + memory_retention_ms
        ):
            ended = self._in_memory.popleft()
            self._evicted_version = max(self._evicted_version, ended.version)
            evicted.append(ended.job_id)
        return evicted

    def pop_expired(self, now_ms: int) -> dict[str, int]:
        """Remove and return the versions of rows to delete now, by job id."""
        expired: dict[str, int] = {}
        while self._in_table and len(expired) < MAX_DELETED_AT_ONCE:
            if now_ms < self._in_table[0].ended_ms + self._retention_ms:
                break
            ended = self._in_table.popleft()
            expired[ended.job_id] = ended.version
        return expired
