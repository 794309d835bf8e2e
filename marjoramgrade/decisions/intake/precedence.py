"""Which connection is closed, refused or read on first when there is no room for all.

Handles crowds of clients that send more than is held, stop within a message, or leave
and come back, beside ordinary callers whose requests are small. One rule serves all
cases, from the first to be given up to the last:

1. connections whose other side has left;
2. connections that have not introduced themselves on the port of instances;
3. messages that are arriving or whose responses are not read, those with the most bytes
   for the longest time without progress first;
4. connections that have been opened or made progress recently and, as far as known,
   carry small requests;
5. connections of other instances that have made progress recently.

Complete requests that wait for their answer are never closed. Those that can't be held
are answered at once. A new connection is not closed to make room for another one before
its client can have sent its request and the header has been read; no further connection
is accepted meanwhile.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from marjoramgrade.decisions.intake.bounds import CONNECTION_BYTES
from marjoramgrade.decisions.intake.connections import (
    UNKNOWN_LENGTH,
    ConnectionUse,
    Phase,
)
from marjoramgrade.decisions.intake.turns import SEGMENT_BYTES

# A connection of another instance carries the calls of all its clients. It is closed
# only if nothing else can be, as long as it made progress within this time; a frame on
# a slow link pauses for a few round trips at most.
ACTIVE_PEER_MS = 1_000
# A new connection has not sent its request for a few round trips, and an event loop
# that is busy reads it only some turns later.
RECENT_CALLER_MS = 1_000
# A few round trips and turns of a busy event loop until a new connection sends, or is
# read for, the first time.
NEW_CONNECTION_MS = 200


def choose_to_close(
    uses: Iterable[ConnectionUse], now_ms: int, connection_bytes: int = 0
) -> ConnectionUse | None:
    """Return the connection to close first, or None if none may be closed.

    Args:
        uses: The connections to choose from.
        now_ms: The time.
        connection_bytes: Counted for a connection beside the bytes that it holds; 0 if
            closing helps only with bytes.
    """

    def precedence(use: ConnectionUse) -> tuple[bool, bool, bool, bool, int]:
        size, idle_ms = use.freed_by_closing + connection_bytes, use.idle_ms(now_ms)
        is_active_peer = use.is_peer and idle_ms < ACTIVE_PEER_MS
        is_caller = not use.is_peer and use.is_small and idle_ms < RECENT_CALLER_MS
        return (
            use.has_left,
            not use.is_identified,
            not is_active_peer,
            not is_caller,
            size * (idle_ms + 1),
        )

    candidates = (
        use for use in uses if use.may_close and use.freed_by_closing + connection_bytes
    )
    return max(candidates, key=precedence, default=None)


def choose_for_new(uses: Iterable[ConnectionUse], now_ms: int) -> ConnectionUse | None:
    """Return the connection to close so that a new one can be opened, or None."""
    candidates = (use for use in uses if may_make_room(use, now_ms))
    return choose_to_close(candidates, now_ms, CONNECTION_BYTES)


def may_make_room(use: ConnectionUse, now_ms: int) -> bool:
    """Return whether a connection may be closed so that a new one can be opened."""
    is_sending = use.is_unused or use.has_read or use.has_unread
    is_new = is_sending and now_ms - use.progress_ms < NEW_CONNECTION_MS
    return use.may_close and (use.has_left or use.phase is not Phase.IDLE or not is_new)


def is_idle(use: ConnectionUse, now_ms: int) -> bool:
    """Return whether a process that stops may close a connection as unused.

    A request of which a part has arrived is waited for, unless its client has left.
    """
    if use.phase is not Phase.IDLE or use.unsent_bytes:
        return False
    is_sending = use.has_read or use.has_unread or use.is_waiting
    return use.has_left or (not is_sending and may_make_room(use, now_ms))


def is_read_first(use: ConnectionUse) -> bool:
    """Return whether a connection gets its turn before all that wait for one.

    These are the rest of a small request, so that ordinary callers do not wait for
    large bodies; a complete body, which takes most memory until it is answered; and
    frames of other instances, which carry the calls of many clients.
    """
    if use.phase is Phase.RECEIVING:
        return use.is_peer or use.is_small
    return use.phase is Phase.SERVED


def count_turns_left(use: ConnectionUse) -> int:
    """Return about how many turns a message needs; those with the fewest go first.

    Bodies that are nearly complete are then finished, and free what they hold, before
    others are begun. A chunked body is taken to need as many as it has used.
    """
    left_bytes = use.expected_bytes - use.received_bytes
    if use.expected_bytes == UNKNOWN_LENGTH or left_bytes <= 0:
        return use.turns
    return math.ceil(left_bytes / SEGMENT_BYTES)
