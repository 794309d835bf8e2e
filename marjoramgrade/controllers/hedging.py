"""Hedged requests: attempts side by side, of which the first response counts."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs

from marjoramgrade.errors import TableRateLimitedError, TableUnavailableError


@attrs.frozen
class Attempt:
    """One path on which a request can be sent.

    Attributes:
        ask: Sends the request, and calls its argument each time that bytes of the
            response have arrived; `TableUnavailableError` means that this path
            failed, any other error is a response.
        lead_ms: Time without a response after which the next attempt starts, too.
    """

    ask: Callable[[Callable[[], None]], Awaitable[Any]]
    lead_ms: int


async def ask_hedged(attempts: Sequence[Attempt], silence_ms: int) -> Any:
    """Return the first response and cancel the other attempts.

    The next attempt starts at once if all earlier ones have failed, but not while a
    response is arriving: over the same link it would slow that response down. The last
    one has its `lead_ms` to respond in.

    After a refusal for the rate no further attempt starts, because each would add to
    the rate; those that are running have the rest of the time.

    Args:
        attempts: The paths, in the order in which they are tried.
        silence_ms: Time without a byte after which a response that had begun to
            arrive is in doubt.

    Raises:
        TableRateLimitedError: If an attempt was refused for the rate of calls and no
            other has a response in time.
        TableUnavailableError: If no attempt has a response in time.
    """
    loop = asyncio.get_running_loop()
    failure = TableUnavailableError("no path to the store responded in time")
    running: set[asyncio.Future[Any]] = set()
    arrived_s = -math.inf
    is_refused = False

    def record_arrival() -> None:
        nonlocal arrived_s
        arrived_s = loop.time()

    try:
        for attempt in attempts:
            if not is_refused:
                running.add(asyncio.ensure_future(attempt.ask(record_arrival)))
            lead_s = loop.time() + attempt.lead_ms / 1000
            while running:
                rest_s = max(lead_s, arrived_s + silence_ms / 1000) - loop.time()
                if rest_s <= 0:
                    break
                done, running = await asyncio.wait(
                    running, timeout=rest_s, return_when=asyncio.FIRST_COMPLETED
                )
                # Each exception is retrieved, since asyncio logs those that are not.
                error_by_task = {task: task.exception() for task in done}
                for task, error in error_by_task.items():
                    if not isinstance(error, TableUnavailableError):
                        return task.result()
                    if not is_refused:
                        failure = error
                    is_refused = isinstance(failure, TableRateLimitedError)
        raise failure
    finally:
        for task in running:
            task.cancel()
