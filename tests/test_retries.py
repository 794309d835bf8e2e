import attrs
import pytest

from marjoramgrade.decisions.retries import (
    BUDGET_FLOOR,
    MAX_LOST_WORKERS,
    MAX_REFUSED_STARTS,
    MAX_REQUEST_ATTEMPTS,
    RETRY_POLICIES,
    STABLE_RUN_MS,
    Attempt,
    RetryBudget,
    RetryVerdict,
    TaskAttempts,
    TaskEnd,
    decide_retry,
    is_safe_to_repeat,
)
from marjoramgrade.errors import Ran
from marjoramgrade.registry import UnknownNameError

SENT = Attempt(
    idempotent=True, ran=Ran.UNKNOWN, bytes_sent=True, attempts=1, deadline_ms=1_000
)


@pytest.mark.parametrize(
    ("ran", "bytes_sent", "is_safe"),
    [
        (Ran.NO, False, True),
        (Ran.NO, True, True),
        (Ran.UNKNOWN, False, True),
        (Ran.UNKNOWN, True, False),
        (Ran.YES, True, False),
        (Ran.YES, False, False),
    ],
)
def test_a_non_idempotent_request_repeats_only_if_it_did_not_run(
    ran: Ran, bytes_sent: bool, is_safe: bool
) -> None:
    """Guards against a non-idempotent request that runs twice (invariant 8)."""
    assert is_safe_to_repeat(False, ran, bytes_sent) is is_safe


def test_a_request_that_ran_is_never_repeated() -> None:
    """Guards against a second run that hides a reported failure."""
    assert not is_safe_to_repeat(True, Ran.YES, True)
    assert is_safe_to_repeat(True, Ran.UNKNOWN, True)


def test_retries_end_with_the_deadline_and_the_attempts() -> None:
    """Guards against retries whose response no caller waits for."""
    policy = RETRY_POLICIES.get("backoff")()

    def verdict(attempt: Attempt, now_ms: int = 0) -> RetryVerdict:
        return decide_retry(attempt, policy, RetryBudget(), now_ms).verdict

    assert verdict(SENT) is RetryVerdict.RETRY
    assert verdict(SENT, now_ms=990) is RetryVerdict.NO_TIME
    last = attrs.evolve(SENT, attempts=MAX_REQUEST_ATTEMPTS)
    assert verdict(last) is RetryVerdict.EXHAUSTED
    assert verdict(attrs.evolve(SENT, idempotent=False)) is RetryVerdict.NOT_SAFE


def test_the_budget_bounds_retries_to_a_tenth_of_the_requests() -> None:
    """Guards against retries that multiply the load of an outage."""
    budget = RetryBudget()
    policy = RETRY_POLICIES.get("backoff")()
    retries = 0
    for _ in range(1_000):
        budget.record_request()
        decision = decide_retry(SENT, policy, budget, 0)
        retries += decision.verdict is RetryVerdict.RETRY
    assert retries == 100 + BUDGET_FLOOR
    assert not budget.try_spend(999)
    spent = [budget.try_spend(60_000) for _ in range(BUDGET_FLOOR + 1)]
    assert spent == [True] * BUDGET_FLOOR + [False]


def test_policies_are_found_by_name() -> None:
    """Guards against settings that name an unknown policy."""
    assert list(RETRY_POLICIES.iter_names()) == ["backoff", "never", "task_backoff"]
    assert RETRY_POLICIES.get("never")().delay_ms(1) is None
    backoff = RETRY_POLICIES.get("backoff")()
    assert [backoff.delay_ms(n) for n in (1, 2, 3, 4)] == [20, 40, 80, None]
    with pytest.raises(UnknownNameError):
        RETRY_POLICIES.get("always")


def test_only_a_real_start_counts_as_an_attempt_of_a_task() -> None:
    """Guards against tasks that fail because workers refused to start them."""
    attempts = TaskAttempts()
    for end in (TaskEnd.REFUSED, TaskEnd.PREEMPTED, TaskEnd.REFUSED):
        attempts = attempts.after(end)
    assert attempts == TaskAttempts(started=0, refused=1)
    for end in (TaskEnd.FAILED, TaskEnd.WORKER_LOST, TaskEnd.FAILED):
        attempts = attempts.after(end)
    assert attempts.exhausted_reason(3) is None
    reason = attempts.after(TaskEnd.OVERRAN_MEMORY).exhausted_reason(3)
    assert reason == "failed: 3 of 3 attempts used"


def test_a_task_that_every_worker_refuses_fails() -> None:
    """Guards against a task that is offered forever without a reported failure."""
    attempts = TaskAttempts()
    for _ in range(MAX_REFUSED_STARTS):
        assert attempts.exhausted_reason(1) is None
        attempts = attempts.after(TaskEnd.REFUSED)
    assert "refused" in (attempts.exhausted_reason(1) or "")


def test_lost_workers_are_no_attempts_unless_the_task_loses_them_all() -> None:
    """Guards against services that fail because their workers were replaced."""
    attempts = TaskAttempts()
    for _ in range(2 * MAX_LOST_WORKERS):
        attempts = attempts.after(TaskEnd.WORKER_LOST, ran_ms=STABLE_RUN_MS)
    assert attempts.exhausted_reason(1) is None
    for _ in range(MAX_LOST_WORKERS):
        assert attempts.exhausted_reason(1) is None
        attempts = attempts.after(TaskEnd.WORKER_LOST, ran_ms=10)
    assert "lost" in (attempts.exhausted_reason(1) or "")
