"""What decides whether a new job is accepted: the interface of the policies.

The rule `open_jobs` guards the memory of the leader and the time of its plans, whatever
the jobs are worth.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from marjoramgrade.decisions.stepprogress import JobProgress
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.registry import Registry
from marjoramgrade.stepconfig import Queue
from marjoramgrade.stepjobs import StepJob

# Jobs with more text leave a part of the limit to all others. Clients inside the limits
# of the protocol send 4,000 bytes and some names.
SMALL_TEXT_BYTES = 16_384
LARGE_TEXT_SHARE = 3 / 4


@attrs.frozen
class Submission:
    """A job that a client has handed in and that the leader does not have.

    Attributes:
        job: The job.
        queue: Its queue.
        max_open_jobs: Number of open jobs from which on no policy accepts one.
        now_ms: Current time.
        unix_ms: Current time, in milliseconds since 1970.
        max_text_bytes: Memory of the texts of all jobs above which no policy accepts
            one, in bytes; 0 for no limit.
    """

    job: StepJob
    queue: Queue
    max_open_jobs: int
    now_ms: int
    unix_ms: int
    max_text_bytes: int = 0


@attrs.frozen
class Refusal:
    """Why a job is refused.

    Attributes:
        reason: Name of the reason, for counters.
        message: Description of the reason.
        retry_after_ms: Time after which the job may be accepted; 0 if not known.
    """

    reason: str
    message: str
    retry_after_ms: int = 0


@attrs.frozen
class AdmissionChange:
    """A team or a pool whose jobs begin or cease to be refused.

    Attributes:
        is_refusing: Whether its jobs are refused from now on.
        scope: `team` or `pool`.
        name: Name of the team or pool.
        queue: Name of the queue whose jobs it concerns.
        estimate_ms: How long a new job of the queue waits.
        limit_ms: The longest wait that lets the job that decided keep its value.
    """

    is_refusing: bool
    scope: str
    name: str
    queue: str
    estimate_ms: int
    limit_ms: int


class AdmissionPolicy(Protocol):
    """Admits new jobs in one leadership."""

    def check(self, submission: Submission) -> Refusal | None:
        """Return why a job is refused, or None if it is accepted."""

    def record_accepted(self, submission: Submission, progress: JobProgress) -> None:
        """Record that a job was added after its check."""

    def observe(self, now_ms: int, unix_ms: int) -> Sequence[AdmissionChange]:
        """Learn from the jobs that ended; return the changes since the last call."""


AdmissionPolicyFactory = Callable[[StepState], AdmissionPolicy]
ADMISSION_POLICIES: Registry[AdmissionPolicyFactory] = Registry("admission policy")


def check_room(state: StepState, submission: Submission) -> Refusal | None:
    """Return a refusal if the leader can't hold another job, or not one that large."""
    if len(state.open_job_by_id) >= submission.max_open_jobs:
        return Refusal("open_jobs", "too many jobs are open")
    limit_bytes: float = submission.max_text_bytes
    own_bytes = submission.job.text_bytes
    if own_bytes > SMALL_TEXT_BYTES:
        limit_bytes *= LARGE_TEXT_SHARE
    if limit_bytes and state.text_bytes + own_bytes > limit_bytes:
        return Refusal("text_bytes", "the jobs have too much text")
    return None


@ADMISSION_POLICIES.register("open_jobs")
@attrs.define
class OpenJobsAdmission:
    """Refuses jobs only by the number of open ones."""

    state: StepState

    def check(self, submission: Submission) -> Refusal | None:
        """Return why a job is refused, or None if it is accepted."""
        return check_room(self.state, submission)

    def record_accepted(self, submission: Submission, progress: JobProgress) -> None:
        """Do nothing: nothing is learned."""

    def observe(self, now_ms: int, unix_ms: int) -> Sequence[AdmissionChange]:
        """Return no changes: the rule has no state."""
        return ()
