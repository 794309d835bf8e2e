"""Filters that check the id, deadline, uniqueness and number of requests."""

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

# The owner of a shard refuses a request at its deadline; this is the time that its
# "not run" reply needs to arrive here.
REPLY_GRACE_MS = 1_500
_REQUEST_ID = re.compile(r"[A-Za-z0-9_.:-]{1,128}")


@FILTERS.register("identify")
class RequestIdFilter(Filter):
    """Checks that the id of a request is valid."""

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> RequestIdFilter:
        """Build the filter from its environment."""
        return cls()

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Refuse ids that cannot be stored and compared."""
        if not _REQUEST_ID.fullmatch(context.request_id):
            raise InvalidInputError(
                "Request-Id must be 1 to 128 letters, digits or any of _.:-"
            )
        return await proceed(context)


@FILTERS.register("deadline")
class DeadlineFilter(Filter):
    """Ends a request at most `REPLY_GRACE_MS` after its deadline.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> DeadlineFilter:
        """Build the filter from its environment."""
        return cls(environment.clock)

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Refuse requests past their deadline and stop waiting for late replies."""
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
    """Refuses a non-idempotent request whose id is in flight at this instance.

    The owner of the shard makes the durable check just before the request runs;
    this filter only refuses duplicates earlier.
    """

    def __init__(self) -> None:
        self._in_flight: set[tuple[str, str]] = set()

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> DeduplicateFilter:
        """Build the filter from its environment."""
        return cls()

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Refuse a duplicate of a non-idempotent request that is in flight."""
        message = context.message
        if not isinstance(message, RunRequest) or message.idempotent:
            return await proceed(context)
        identity = (context.principal.team, context.request_id)
        if identity in self._in_flight:
            raise DuplicateRequestError(
                f"request {context.request_id} is already in flight"
            )
        self._in_flight.add(identity)
        try:
            return await proceed(context)
        finally:
            self._in_flight.discard(identity)


@FILTERS.register("admit")
class AdmitFilter(Filter):
    """Bounds the number of requests that one team has in flight at this instance.

    Args:
        max_in_flight: Maximum number of requests in flight for each team.
    """

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._count_by_team: dict[str, int] = {}

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> AdmitFilter:
        """Build the filter from its environment."""
        return cls(environment.settings.max_queued_requests)

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Refuse excess requests, so that one team cannot fill the queue."""
        if not isinstance(context.message, RunRequest):
            return await proceed(context)
        team = context.principal.team
        count = self._count_by_team.get(team, 0)
        if count >= self._max_in_flight:
            raise OverloadedError(f"team {team} has {count} requests in flight")
        self._count_by_team[team] = count + 1
        try:
            return await proceed(context)
        finally:
            self._count_by_team[team] -= 1
