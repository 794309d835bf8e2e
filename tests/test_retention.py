from marjoramgrade.decisions.retention import (
    MAX_DELETED_AT_ONCE,
    MEMORY_RETENTION_MS,
    EndedJobs,
)
from marjoramgrade.model import Job, JobKind, JobSpec, Outcome

RETENTION_MS = 24 * 3_600_000


def make_ended_job(number: int) -> tuple[Job, int]:
    job = Job.from_spec(f"j-{number}", JobSpec("acme", JobKind.BATCH), "leeds.0")
    return job.with_outcomes({0: Outcome.DONE}), number


def test_ended_jobs_leave_memory_and_later_the_table() -> None:
    """Guards against memory and a table that grow with every job without bound."""
    ended = EndedJobs(RETENTION_MS)
    ended.record(*make_ended_job(1), True, now_ms=0)
    ended.record(*make_ended_job(2), False, now_ms=1)
    assert ended.pop_evictable(MEMORY_RETENTION_MS - 1) == []
    assert ended.pop_evictable(MEMORY_RETENTION_MS + 1) == ["j-1", "j-2"]
    assert ended.pop_expired(RETENTION_MS - 1) == {}
    assert ended.pop_expired(RETENTION_MS + 1) == {"j-1": 1}


def test_an_evicted_job_that_is_read_again_is_not_announced_again() -> None:
    """Guards against watches that report the end of an old job again."""
    ended = EndedJobs(RETENTION_MS)
    ended.record(*make_ended_job(5), True, now_ms=0)
    assert not ended.is_evicted(*make_ended_job(5))
    ended.pop_evictable(MEMORY_RETENTION_MS)
    assert ended.is_evicted(*make_ended_job(5))
    assert not ended.is_evicted(*make_ended_job(6))


def test_deletions_are_bounded() -> None:
    """Guards against a transaction that deletes all rows of a busy day at once."""
    ended = EndedJobs(RETENTION_MS)
    for number in range(MAX_DELETED_AT_ONCE + 1):
        ended.record(*make_ended_job(number), True, now_ms=0)
    assert len(ended.pop_expired(RETENTION_MS)) == MAX_DELETED_AT_ONCE
    assert len(ended.pop_expired(RETENTION_MS)) == 1
