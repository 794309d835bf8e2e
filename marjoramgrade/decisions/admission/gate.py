"""Refuses new jobs that would complete too late to have any value.

The load is a team that sends a multiple of its usual rate, or a cell with less capacity
than its work. Accepted jobs are never dropped, so what is accepted beyond the capacity
delays everything behind it, and in the end no job completes in time.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import attrs

from marjoramgrade.decisions.admission.estimate import Estimate, Estimator
from marjoramgrade.decisions.admission.policies import (
    ADMISSION_POLICIES,
    AdmissionChange,
    AdmissionPolicyFactory,
    Refusal,
    Submission,
    check_room,
)
from marjoramgrade.decisions.admission.returns import RefusedJob, RefusedJobs
from marjoramgrade.decisions.stepprogress import JobProgress
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.stepjobs import StepJobState

# While a team or pool is refused, a job is accepted only with a wait of this share of
# the one that it could bear, so that the state does not follow single jobs. In trials
# with a hot team, 0.75 cost one job in time of a hundred more.
RESUME_SHARE = 0.9
# Refusing ends once no new job has been refused for this long: several readings of the
# backlog, and as long as newer jobs are taken into account.
SETTLE_MS = 2_000
# Bounds of `Retry-After`. Clients wait for whole seconds, and none waits longer for its
# work than a minute.
MIN_RETRY_MS = 1_000
MAX_RETRY_MS = 60_000
# The returns are spread over this share of the delay, and over a second at least.
SPREAD_SHARE = 0.5


@attrs.frozen
class _Expectation:
    """What was estimated for a job that was accepted."""

    progress: JobProgress
    estimate: Estimate
    since_ms: int


@attrs.define
class _Refusing:
    """A team or pool whose jobs of one queue are refused.

    Attributes:
        estimate_ms: The wait that was last estimated for a refused job.
        limit_ms: The wait that this job could bear.
        refused_ms: When it was refused.
    """

    estimate_ms: int
    limit_ms: int
    refused_ms: int


@ADMISSION_POLICIES.register("estimate")
@attrs.define
class EstimateAdmission:
    """Admits jobs by the estimate of their completion.

    Attributes:
        state: Jobs and workers.
        estimator: Estimates the completion of new jobs.
        refused: The refused jobs that may return.
    """

    state: StepState
    estimator: Estimator = attrs.field(init=False)
    refused: RefusedJobs = attrs.field(factory=RefusedJobs)
    _expectation_by_id: dict[str, _Expectation] = attrs.field(factory=dict)
    # Estimate of the job that was checked last and accepted.
    _last: tuple[str, Estimate] | None = None
    _refusing_by_key: dict[tuple[str, str, str], _Refusing] = attrs.field(factory=dict)
    _changes: list[AdmissionChange] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.estimator = Estimator(self.state)

    def check(self, submission: Submission) -> Refusal | None:
        """Return why a job is refused, or None if it is accepted."""
        self._last = None
        if refusal := check_room(self.state, submission):
            return refusal
        job, queue, now_ms = submission.job, submission.queue, submission.now_ms
        if job.schedule.times or any(step.long_running for step in job.steps):
            # Lateness does not end their value.
            return None
        returned = self.refused.find(job.job_id, now_ms)
        first_ms = now_ms if returned is None else returned.first_ms
        scope = (job.team, queue.name)
        keys = (("team", *scope), ("pool", queue.pool, queue.name))
        is_refusing = any(key in self._refusing_by_key for key in keys)
        estimate = self.estimator.estimate(
            job,
            queue,
            first_ms,
            now_ms,
            self.refused.work_before(scope, job.job_id, now_ms),
            RESUME_SHARE if is_refusing else 1.0,
        )
        if estimate is None:
            return None
        if estimate.has_room or estimate.wait_ms <= estimate.longest_wait_ms:
            self._last = (job.job_id, estimate)
            return None
        if not estimate.backlog_ms and not estimate.pool_wait_ms:
            # Nothing comes before the job; it is late by its own size.
            self._last = (job.job_id, estimate)
            return None
        is_pool = estimate.pool_wait_ms > estimate.team_wait_ms
        if returned is None:
            self._record_refusing(keys[is_pool], estimate, now_ms)
        in_time_ms = first_ms + estimate.timing.objective_ms - estimate.own_ms
        worth_ms = first_ms + estimate.timing.worthless_after_ms - estimate.own_ms
        work = self.estimator.work_of(job, queue)
        retry_ms = _retry_after_ms(job.job_id, estimate, in_time_ms - now_ms)
        self.refused.record(
            RefusedJob(
                job.job_id,
                scope,
                first_ms,
                in_time_ms,
                worth_ms,
                now_ms,
                now_ms + retry_ms,
                work,
            )
        )
        subject = f"pool {queue.pool}" if is_pool else f"team {job.team}"
        return Refusal(
            "pool_late" if is_pool else "team_late",
            f"the job would wait {estimate.wait_ms / 1_000:.1f} s for {subject}, and "
            f"could wait {estimate.longest_wait_ms / 1_000:.1f} s",
            retry_ms,
        )

    def record_accepted(self, submission: Submission, progress: JobProgress) -> None:
        """Record that a job was added after its check.

        A job that returned counts from its first submission, also in the planner.
        """
        job_id, now_ms = submission.job.job_id, submission.now_ms
        returned = self.refused.find(job_id, now_ms)
        if returned is not None:
            progress.accepted_ms = returned.first_ms
            self.refused.remove(job_id)
        self.estimator.add(progress, now_ms)
        if self._last is not None and self._last[0] == job_id:
            estimate = self._last[1]
            self._expectation_by_id[job_id] = _Expectation(progress, estimate, now_ms)

    def observe(self, now_ms: int, unix_ms: int) -> Sequence[AdmissionChange]:
        """Learn from the jobs that ended; return the changes since the last call."""
        for job_id, expected in list(self._expectation_by_id.items()):
            if self._is_settled(expected, now_ms, unix_ms):
                del self._expectation_by_id[job_id]
        self.refused.forget_expired(now_ms)
        for key, refusing in list(self._refusing_by_key.items()):
            if now_ms - refusing.refused_ms >= SETTLE_MS:
                del self._refusing_by_key[key]
                self._record_change(key, refusing, is_refusing=False)
        changes, self._changes = self._changes, []
        return changes

    def _is_settled(self, expected: _Expectation, now_ms: int, unix_ms: int) -> bool:
        """Learn from a job once its outcome is known; return whether it is."""
        progress, estimate = expected.progress, expected.estimate
        if self.state.job_by_id.get(progress.job.job_id) is not progress:
            return True
        age_ms = now_ms - expected.since_ms
        if progress.state is StepJobState.COMPLETED:
            age_ms -= max(unix_ms - progress.ended_unix_ms, 0)
        elif progress.state.is_final:
            return True
        else:
            timing, is_late = estimate.timing, estimate.work_class.is_late
            span_ms = timing.worthless_after_ms if is_late else timing.objective_ms
            is_missed = now_ms - progress.accepted_ms > span_ms
            if not is_missed or age_ms <= estimate.total_ms:
                return False
            # It may stay open for long behind the others, so it counts as soon as it
            # has missed its time and outlasted its estimate.
        self.estimator.accuracy.add(
            progress.queue.name,
            estimate.total_ms,
            age_ms,
            is_late=estimate.work_class.is_late,
        )
        return True

    def _record_refusing(
        self, key: tuple[str, str, str], estimate: Estimate, now_ms: int
    ) -> None:
        """Record that a team or pool has too much work for a new job.

        One that returned may be refused for the time that has passed, which says
        nothing about new ones.
        """
        refusing = _Refusing(
            round(estimate.wait_ms), round(estimate.longest_wait_ms), now_ms
        )
        if key not in self._refusing_by_key:
            self._record_change(key, refusing, is_refusing=True)
        self._refusing_by_key[key] = refusing

    def _record_change(
        self, key: tuple[str, str, str], refusing: _Refusing, *, is_refusing: bool
    ) -> None:
        self._changes.append(
            AdmissionChange(is_refusing, *key, refusing.estimate_ms, refusing.limit_ms)
        )


def _retry_after_ms(job_id: str, estimate: Estimate, in_time_ms: float) -> int:
    """Return the time after which the job may be accepted.

    Work is done at the rate at which time passes, so the excess of the wait is the time
    that it takes to be gone. A job that cannot be in time then is accepted only once
    nothing is left of the backlog. The delay depends on the id as well, so that the
    callers of one moment do not return in one moment.

    Args:
        job_id: Id of the job.
        estimate: Its estimate.
        in_time_ms: How long it can wait and still be in time.
    """
    excess_ms = max(estimate.excess_ms, float(MIN_RETRY_MS))
    if excess_ms > in_time_ms:
        excess_ms = max(excess_ms, estimate.backlog_ms, estimate.pool_wait_ms)
    spread_ms = max(excess_ms * SPREAD_SHARE, MIN_RETRY_MS)
    share = (zlib.crc32(job_id.encode()) % 1_000) / 1_000
    return int(min(excess_ms + share * spread_ms, MAX_RETRY_MS))


__all__ = ["ADMISSION_POLICIES", "AdmissionPolicyFactory", "EstimateAdmission"]
