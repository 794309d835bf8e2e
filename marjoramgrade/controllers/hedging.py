"""Hedged requests: attempts side by side, of which the first response counts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs

from marjoramgrade.errors import TableUnavailableError


@attrs.frozen
class Attempt:
    """One path on which a request can be sent.

    Attributes:
        ask: Sends the request; `TableUnavailableError` means that this path failed,
            any other error is a response.
        lead_ms: Time without a response after which the next attempt starts, too.
    """

    ask: Callable[[], Awaitable[Any]]
    lead_ms: int


async def ask_hedged(attempts: Sequence[Attempt]) -> Any:
    """Return the first response and cancel the other attempts.

    The next attempt starts at once if all earlier ones have failed. The last one has
    its `lead_ms` to respond in.

    Raises:
        TableUnavailableError: If no attempt has a response in time.
    """
    loop = asyncio.get_running_loop()
    failure = TableUnavailableError("no path to the store responded in time")
    running: set[asyncio.Future[Any]] = set()
    try:
        for attempt in attempts:
            running.add(asyncio.ensure_future(attempt.ask()))
            until_s = loop.time() + attempt.lead_ms / 1000
            while running and loop.time() < until_s:
                done, running = await asyncio.wait(
                    running,
                    timeout=until_s - loop.time(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                # Each exception is retrieved, since asyncio logs those that are not.
                error_by_task = {task: task.exception() for task in done}
                for task, error in error_by_task.items():
                    if not isinstance(error, TableUnavailableError):
                        return task.result()
                    failure = error
        raise failure
    finally:
        for task in running:
            task.cancel()
