"""How many further attempts a process may make."""

from __future__ import annotations

import abc

import attrs

from marjoramgrade.registry import Registry

FIRST_DELAY_MS = 500
MAX_DELAY_MS = 30_000
RETRY_RATIO = 0.1
MAX_TOKENS = 100.0


class TaskRetry(abc.ABC):
    """Base class of retry policies of tasks."""

    @abc.abstractmethod
    def delay_ms(self, attempts: int, max_attempts: int) -> int | None:
        """Return how long a failed task waits, or None if it is given up.

        Args:
            attempts: Starts that ended in a failure so far.
            max_attempts: Starts that the job allows; zero for no bound.
        """


RETRIES: Registry[type[TaskRetry]] = Registry("retry policy")


@RETRIES.register("backoff")
class BackoffRetry(TaskRetry):
    """Doubles the delay with each failure."""

    def delay_ms(self, attempts: int, max_attempts: int) -> int | None:
        """Return the delay, or None after the last attempt."""
        if max_attempts and attempts >= max_attempts:
            return None
        return min(MAX_DELAY_MS, FIRST_DELAY_MS << min(attempts, 16))


@RETRIES.register("never")
class NeverRetry(TaskRetry):
    """Gives up after the first failure."""

    def delay_ms(self, attempts: int, max_attempts: int) -> int | None:
        """Return None."""
        return None


@attrs.define
class RetryBudget:
    """Lets retries be a tenth of requests, so that failures do not multiply load."""

    _tokens: float = 10.0

    def note_request(self) -> None:
        """Earn a part of a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_RATIO)

    def take(self) -> bool:
        """Return whether a retry is allowed, and spend it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
