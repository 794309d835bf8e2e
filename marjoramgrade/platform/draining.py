"""Waits until an instance that stops has released its work and its clients left."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from marjoramgrade import logs
from marjoramgrade.stopping import Stopping

POLL_MS = 20
# The instance has drained once the leadership is released, the load balancer sends no
# connections, and no request has been in flight and no connection open for this long.
IDLE_BEFORE_EXIT_MS = 700
# New connections that come later than this after the load balancer should have noticed
# show that it goes on sending them, as it does with few instances left in a zone.
NOTICE_LAG_MS = 200


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

    @property
    def last_used_ms(self) -> int:
        """When the last connection was opened or the last request came; 0 for never."""
        ...

    @property
    def last_opened_ms(self) -> int:
        """When the last connection was opened; 0 for never."""
        ...

    def close_idle(self) -> None:
        """Close the connections whose clients neither sent nor await anything."""
        ...


async def wait_until_drained(
    front: ClientConnections,
    release: Coroutine[Any, Any, None],
    stopping: Stopping,
    is_noticed: Callable[[], bool],
) -> None:
    """Wait until clients have left and the leadership is released.

    Returns when all waits of requests end, at the latest.

    Args:
        front: The front end, which goes on serving.
        release: Releases the leadership. A store that does not respond can hold it up;
            it is then abandoned, and others take over once the process has ended.
        stopping: Has the schedule.
        is_noticed: Returns whether the load balancer sends new connections elsewhere.
    """
    clock = stopping.clock
    releasing = asyncio.ensure_future(release)
    noticed_ms: int | None = None
    try:
        idle_since_ms = clock.now_ms()
        # A failure of the process moves the schedule, so it is read each time.
        while (schedule := stopping.schedule) and clock.now_ms() < schedule.answer_ms:
            now_ms = clock.now_ms()
            if noticed_ms is None and (is_noticed() or now_ms >= schedule.idle_ms):
                noticed_ms = now_ms
            if noticed_ms is not None:
                # Clients whose connections are closed before could come back here.
                front.close_idle()
            is_used = front.in_flight or front.has_connections
            if not releasing.done() or is_used:
                idle_since_ms = now_ms
            idle_since_ms = max(idle_since_ms, front.last_used_ms)
            if (
                noticed_ms is not None
                and now_ms - max(idle_since_ms, noticed_ms) >= IDLE_BEFORE_EXIT_MS
                and front.last_opened_ms < noticed_ms + NOTICE_LAG_MS
            ):
                break
            await asyncio.sleep(POLL_MS / 1000)
        if releasing.done():
            releasing.result()
        else:
            logs.log_event("lead_release_abandoned", waited_ms=stopping.since_ms)
    finally:
        releasing.cancel()
