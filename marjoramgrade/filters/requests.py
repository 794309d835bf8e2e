"""Filters that check the form and the time of a request."""

from __future__ import annotations

import asyncio
import re
from typing import Any

from marjoramgrade.clock import Clock
from marjoramgrade.errors import (
    DeadlineExceededError,
    DuplicateRequestError,
    InvalidInputError,
    OutcomeUnknownError,
    OverloadedError,
)
from marjoramgrade.filters.chain import FILTERS, Filter, FilterEnvironment, Proceed
from marjoramgrade.filters.context import RequestContext
from marjoramgrade.messages.requests import RunRequest

# The owner refuses at the deadline; its "not run" needs this long to come back.
REPLY_GRACE_MS = 1_500
_REQUEST_ID = re.compile(r"[A-Za-z0-9_.:-]{1,128}")


@FILTERS.register("identify")
class RequestIdFilter(Filter):
    """Checks that a request carries a usable id."""

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> RequestIdFilter:
        """Return the filter."""
        return cls()

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Refuse ids that could not be kept or compared."""
        if not _REQUEST_ID.fullmatch(context.request_id):
            raise InvalidInputError(
                "Request-Id must be 1 to 128 letters, digits or any of _.:-"
            )
        return await proceed(context)


@FILTERS.register("deadline")
class DeadlineFilter(Filter):
    """Answers no later than shortly after the deadline.

    Args:
        clock: Monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> DeadlineFilter:
        """Return the filter."""
        return cls(environment.clock)

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Refuse late requests and stop waiting for late replies."""
        remaining_ms = context.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise DeadlineExceededError("the deadline has passed")
        try:
            return await asyncio.wait_for(
                proceed(context), (remaining_ms + REPLY_GRACE_MS) / 1000
            )
        except TimeoutError:
            raise OutcomeUnknownError("no reply before the deadline") from None


@FILTERS.register("deduplicate")
class DeduplicateFilter(Filter):
    """Refuses a non-idempotent request whose id is in flight here.

    The durable check is made by the owner of the shard just before it runs; this
    one only answers sooner.
    """

    def __init__(self) -> None:
        self._in_flight: set[tuple[str, str]] = set()

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> DeduplicateFilter:
        """Return the filter."""
        return cls()

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Let one copy of a non-idempotent request proceed at a time."""
        message = context.message
        if not isinstance(message, RunRequest) or message.idempotent:
            return await proceed(context)
        identity = (context.principal.team, context.request_id)
        if identity in self._in_flight:
            raise DuplicateRequestError(f"request {context.request_id} is running")
        self._in_flight.add(identity)
        try:
            return await proceed(context)
        finally:
            self._in_flight.discard(identity)


@FILTERS.register("admit")
class AdmitFilter(Filter):
    """Bounds the requests that one team has in flight at this instance.

    Args:
        bound: Requests of one team at once.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._count_by_team: dict[str, int] = {}

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> AdmitFilter:
        """Return the filter."""
        return cls(environment.settings.max_queued_requests)

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Refuse requests over the bound, so that one team cannot fill the queue."""
        if not isinstance(context.message, RunRequest):
            return await proceed(context)
        team = context.principal.team
        count = self._count_by_team.get(team, 0)
        if count >= self._bound:
            raise OverloadedError(f"team {team} has {count} requests in flight")
        self._count_by_team[team] = count + 1
        try:
            return await proceed(context)
        finally:
            self._count_by_team[team] -= 1
