"""Decides whether a request or a task may be attempted again."""

from __future__ import annotations

import enum
import sys
from collections.abc import Callable
from typing import Protocol

import attrs

from marjoramgrade.errors import Ran
from marjoramgrade.registry import Registry

FIRST_DELAY_MS = 20
MAX_DELAY_MS = 2_000
MAX_REQUEST_ATTEMPTS = 4
FIRST_TASK_DELAY_MS = 500
MAX_TASK_DELAY_MS = 30_000
# Limits the shift in `Backoff`; the longest delay is reached long before.
MAX_DOUBLINGS = 16
BUDGET_PERCENT = 10
# Maximum number of retries available independently of the number of requests, so
# that an instance with few requests has some. One more is earned per interval.
BUDGET_FLOOR = 3
FLOOR_INTERVAL_MS = 1_000
# Maximum number of retries saved from requests; more would let a burst double the load.
BUDGET_CEILING = 100
# Starts of a task refused in a row before it fails; each is tried elsewhere.
MAX_REFUSED_STARTS = 20
# Workers lost in a row while running a task before the task is assumed the cause.
MAX_LOST_WORKERS = 10
# A task that ran this long is not considered the cause of the loss of its worker.
STABLE_RUN_MS = 600_000


class RetryPolicy(Protocol):
    """Determines the delay before another attempt."""

    def delay_ms(self, attempts: int) -> int | None:
        """Return the delay before the next attempt, or None to make no more attempts.

        Args:
            attempts: Attempts made so far, at least one.
        """
        ...


RETRY_POLICIES: Registry[Callable[[], RetryPolicy]] = Registry("retry policy")


@RETRY_POLICIES.register("backoff")
@attrs.frozen
class Backoff:
    """Doubles the delay with every attempt.

    Attributes:
        first_ms: Delay after the first attempt.
        longest_ms: Maximum delay.
        max_attempts: Maximum number of attempts of one request, including the first.
    """

    first_ms: int = FIRST_DELAY_MS
    longest_ms: int = MAX_DELAY_MS
    max_attempts: int = MAX_REQUEST_ATTEMPTS

    def delay_ms(self, attempts: int) -> int | None:
        """Return the delay; see `RetryPolicy.delay_ms`."""
        if attempts >= self.max_attempts:
            return None
        return min(self.longest_ms, self.first_ms << (attempts - 1))


@RETRY_POLICIES.register("task_backoff")
@attrs.frozen
class TaskBackoff(Backoff):
    """Backoff with longer delays for tasks; their job limits the attempts.

    The attributes are those of `Backoff`.
    """

    first_ms: int = FIRST_TASK_DELAY_MS
    longest_ms: int = MAX_TASK_DELAY_MS
    max_attempts: int = sys.maxsize

    def delay_ms(self, attempts: int) -> int | None:
        """Return the delay; see `RetryPolicy.delay_ms`."""
        return super().delay_ms(min(attempts, MAX_DOUBLINGS))


@RETRY_POLICIES.register("never")
@attrs.frozen
class NoRetry:
    """Allows no second attempt."""

    def delay_ms(self, attempts: int) -> int | None:
        """Return None; see `RetryPolicy.delay_ms`."""
        return None


@attrs.define
class RetryBudget:
    """Limits retries to a fraction of the requests, so that they cannot accumulate.

    Retries earned by requests are counted in hundredths, to use integers only. When
    none is left, a retry of the floor is used.
    """

    _hundredths: int = 0
    _floor_retries: int = BUDGET_FLOOR
    _floor_earned_ms: int = 0

    def record_request(self) -> None:
        """Record a first attempt, which earns a fraction of a retry."""
        ceiling = BUDGET_CEILING * 100
        self._hundredths = min(ceiling, self._hundredths + BUDGET_PERCENT)

    def try_spend(self, now_ms: int) -> bool:
        """Return whether a retry is within the budget; if so, charge it."""
        if self._hundredths >= 100:
            self._hundredths -= 100
            return True
        earned = (now_ms - self._floor_earned_ms) // FLOOR_INTERVAL_MS
        if earned > 0:
            self._floor_retries = min(BUDGET_FLOOR, self._floor_retries + earned)
            self._floor_earned_ms = now_ms
        if self._floor_retries == 0:
            return False
        self._floor_retries -= 1
        return True


@attrs.frozen
class Attempt:
    """A request whose latest attempt got no response.

    Attributes:
        idempotent: Whether running the request again does no harm.
        ran: What the peer reported about whether the request ran.
        bytes_sent: Whether any byte of the request may have been sent.
        attempts: Attempts made so far, at least one.
        deadline_ms: Time after which no caller waits for the response.
    """

    idempotent: bool
    ran: Ran
    bytes_sent: bool
    attempts: int
    deadline_ms: int


class RetryVerdict(enum.Enum):
    """Whether to retry a request whose latest attempt got no response, or why not."""

    RETRY = "retry"
    NOT_SAFE = "not_safe"
    NO_TIME = "no_time"
    EXHAUSTED = "exhausted"
    OVER_BUDGET = "over_budget"


@attrs.frozen
class RetryDecision:
    """A verdict and, for a retry, the delay before the next attempt."""

    verdict: RetryVerdict
    delay_ms: int = 0


def certainly_not_run(ran: Ran, bytes_sent: bool) -> bool:
    """Return whether a request cannot have run and never will.

    Args:
        ran: What the peer reported; `UNKNOWN` if it reported nothing.
        bytes_sent: Whether any byte of the request may have been sent.
    """
    return ran is Ran.NO or (ran is Ran.UNKNOWN and not bytes_sent)


def is_safe_to_repeat(idempotent: bool, ran: Ran, bytes_sent: bool) -> bool:
    """Return whether another attempt cannot run a request twice by mistake.

    A request that ran is not repeated even if it is idempotent: its failure is
    the result.
    """
    if ran is Ran.YES:
        return False
    return idempotent or certainly_not_run(ran, bytes_sent)


def decide_retry(
    attempt: Attempt, policy: RetryPolicy, budget: RetryBudget, now_ms: int
) -> RetryDecision:
    """Decide whether a request is sent again; a retry is charged to the budget.

    Args:
        attempt: The latest attempt.
        policy: Delays and the maximum number of attempts.
        budget: Limit on the retries of this instance.
        now_ms: The current time.
    """
    if not is_safe_to_repeat(attempt.idempotent, attempt.ran, attempt.bytes_sent):
        return RetryDecision(RetryVerdict.NOT_SAFE)
    delay_ms = policy.delay_ms(attempt.attempts)
    if delay_ms is None:
        return RetryDecision(RetryVerdict.EXHAUSTED)
    if now_ms + delay_ms >= attempt.deadline_ms:
        return RetryDecision(RetryVerdict.NO_TIME)
    if not budget.try_spend(now_ms):
        return RetryDecision(RetryVerdict.OVER_BUDGET)
    return RetryDecision(RetryVerdict.RETRY, delay_ms)


class TaskEnd(enum.Enum):
    """How one attempt of a task ended without success."""

    REFUSED = "refused"
    FAILED = "failed"
    OVERRAN_MEMORY = "overran_memory"
    WORKER_LOST = "worker_lost"
    PREEMPTED = "preempted"


@attrs.frozen
class TaskAttempts:
    """Counts of the attempts of one task.

    Refused starts, preemptions and lost workers do not count as attempts: a worker
    refuses a start because a precondition is not met, which is no failure of the
    task; a preempted task was stopped in favor of others; and the loss of a worker
    is rarely caused by its tasks. Consecutive refusals and losses are limited, so
    that a task that no worker accepts or survives is reported as failed instead of
    being retried forever.

    Attributes:
        started: Attempts that ran and count towards the limit of the job.
        refused: Starts refused in a row.
        lost: Workers lost in a row.
    """

    started: int = 0
    refused: int = 0
    lost: int = 0

    def after(self, end: TaskEnd, ran_ms: int = 0) -> TaskAttempts:
        """Return the counts after another attempt ended.

        Args:
            end: How the attempt ended.
            ran_ms: How long the attempt ran.
        """
        if end is TaskEnd.REFUSED:
            return attrs.evolve(self, refused=self.refused + 1)
        if end is TaskEnd.PREEMPTED:
            return attrs.evolve(self, refused=0)
        if end is TaskEnd.WORKER_LOST:
            lost = 0 if ran_ms >= STABLE_RUN_MS else self.lost + 1
            return attrs.evolve(self, refused=0, lost=lost)
        return TaskAttempts(self.started + 1)

    def exhausted_reason(self, max_attempts: int) -> str | None:
        """Return why the task has failed, or None if it may start again.

        Args:
            max_attempts: Maximum number of attempts that the job allows.
        """
        if self.started >= max_attempts:
            return f"failed: {self.started} of {max_attempts} attempts used"
        if self.refused >= MAX_REFUSED_STARTS:
            return f"failed: {self.refused} starts refused in a row"
        if self.lost >= MAX_LOST_WORKERS:
            return f"failed: {self.lost} workers lost in a row while it ran"
        return None
