"""Waits until an instance that stops has released its work and its clients left."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from marjoramgrade import logs
from marjoramgrade.clock import Clock

POLL_MS = 20
# The instance has drained once the leadership is released, and no request has been in
# flight and no client connection open for this long.
IDLE_BEFORE_EXIT_MS = 700


class ClientConnections(Protocol):
    """What a front end tells about its clients."""

    @property
    def in_flight(self) -> int:
        """Number of requests that are being served."""
        ...

    @property
    def has_connections(self) -> bool:
        """Whether a client connection is open."""
        ...


async def wait_until_drained(
    front: ClientConnections,
    release: Coroutine[Any, Any, None],
    clock: Clock,
    timeout_ms: int,
    record_turn: Callable[[int], None] = lambda late_ms: None,
) -> None:
    """Wait until clients have left and the leadership is released.

    Args:
        front: The front end, which goes on serving.
        release: Releases the leadership. A store that does not respond can hold it up;
            it is then abandoned, and others take over once the process has ended.
        clock: Monotonic time.
        timeout_ms: Longest time to wait, in milliseconds.
        record_turn: Receives by how many milliseconds a timer was late.
    """
    deadline_ms = clock.now_ms() + timeout_ms
    releasing = asyncio.ensure_future(release)
    try:
        idle_since_ms = clock.now_ms()
        while clock.now_ms() < deadline_ms:
            now_ms = clock.now_ms()
            if not releasing.done() or front.in_flight or front.has_connections:
                idle_since_ms = now_ms
            if now_ms - idle_since_ms >= IDLE_BEFORE_EXIT_MS:
                break
            await asyncio.sleep(POLL_MS / 1000)
            record_turn(clock.now_ms() - now_ms - POLL_MS)
        if releasing.done():
            releasing.result()
        else:
            logs.log_event("lead_release_abandoned", waited_ms=timeout_ms)
    finally:
        releasing.cancel()
