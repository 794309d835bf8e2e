"""Keeps what connections from outside use within the bounds of the process.

One `Intake` serves all ports of a process. It owns the state; the servers report what
happens on their sockets to it, on the event loop that they share.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections import Counter
from collections.abc import Awaitable
from typing import Any

import attrs
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from marjoramgrade import logs
from marjoramgrade.adapters.hangups import HangupWatcher
from marjoramgrade.clock import Clock, SystemClock
from marjoramgrade.decisions.intake.bounds import IntakeBounds
from marjoramgrade.decisions.intake.budget import BodyBudget
from marjoramgrade.decisions.intake.connections import (
    UNKNOWN_LENGTH,
    CloseReason,
    ConnectionUse,
    Phase,
)
from marjoramgrade.decisions.intake.precedence import (
    choose_for_new,
    count_turns_left,
    is_idle,
    is_read_first,
    may_make_room,
)
from marjoramgrade.decisions.intake.turns import SEGMENT_BYTES, TurnQueue
from marjoramgrade.metrics import MemoryMetrics, Metrics

SWEEP_MS = 500
# Refusing has ended once no connection was closed to make room for this long.
REFUSING_MS = 2_000
# Connections are polled at most this often for what the event loop has not come to.
UNREAD_POLL_MS = 10
READ_BYTES = SEGMENT_BYTES
BLOCK_BYTES = 16_384
_HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_ROOM_REASONS = (CloseReason.BUDGET, CloseReason.CONNECTIONS)
_UNLOGGED_REASONS = (CloseReason.LEFT, CloseReason.STOPPING)


class MeasuredStream(IOStream):
    """A stream of one connection that reports its bytes to the intake.

    Args:
        connection: The connected socket.
        intake: Bounds the connections.
        use: What the connection uses.
        max_buffer_size: Limit of the read buffer in bytes.
    """

    def __init__(
        self,
        connection: socket.socket,
        intake: Intake,
        use: ConnectionUse,
        max_buffer_size: int | None = None,
    ) -> None:
        super().__init__(
            connection, max_buffer_size=max_buffer_size, read_chunk_size=READ_BYTES
        )
        self._intake = intake
        self._unsent_bytes = 0
        self._service_bytes = 0
        self.use = use

    @property
    def has_buffered(self) -> bool:
        """Whether bytes were read that no message has taken yet."""
        return self._read_buffer_size > 0

    def begin_service(self) -> bool:
        """Hold a complete request until `end_service`; return whether there is room."""
        size = self.use.received_bytes
        if not self._intake.begin_service(self.use):
            return False
        self._service_bytes = size
        return True

    def resize_service(self, size: int) -> bool:
        """Hold another number of bytes for it; return whether there is room."""
        if not self._intake.resize_service(self.use, self._service_bytes, size):
            return False
        self._service_bytes = size
        return True

    def end_service(self) -> None:
        """Free what the request holds; without effect if that was done before."""
        self._intake.end_service(self.use, self._service_bytes)
        self._service_bytes = 0

    def read_bytes(self, *args: Any, **kwargs: Any) -> Awaitable[bytes]:
        """Read bytes; see `IOStream.read_bytes`."""
        self._check_readable()
        return super().read_bytes(*args, **kwargs)

    def read_until(self, *args: Any, **kwargs: Any) -> Awaitable[bytes]:
        """Read up to a delimiter; see `IOStream.read_until`."""
        self._check_readable()
        return super().read_until(*args, **kwargs)

    def read_until_regex(self, *args: Any, **kwargs: Any) -> Awaitable[bytes]:
        """Read up to a match; see `IOStream.read_until_regex`."""
        self._check_readable()
        return super().read_until_regex(*args, **kwargs)

    def _check_readable(self) -> None:
        # tornado would hand out what was read before the connection was closed, piece
        # by piece and without a pause.
        if self.closed():
            raise StreamClosedError(real_error=self.error)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket and record that the other side makes progress."""
        count = super().read_from_fd(buf)
        if count:
            self.use.has_read, self.use.is_unused = True, False
            self.use.has_unread = False
            self.use.progress_ms = self._intake.now_ms()
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket and record what the other side has taken."""
        count = super().write_to_fd(data)
        self._unsent_bytes -= count
        self.use.progress_ms = self._intake.now_ms()
        if self.use.unsent_bytes:
            self._intake.record_unsent(self.use, self._unsent_bytes)
        return count

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Send bytes, and record those that the other side does not take at once."""
        self._unsent_bytes += len(data)
        try:
            return super().write(data)
        except (StreamClosedError, StreamBufferFullError):
            self._unsent_bytes -= len(data)
            raise
        finally:
            if self._unsent_bytes != self.use.unsent_bytes:
                self._intake.record_unsent(self.use, self._unsent_bytes)

    def close_fd(self) -> None:
        """Close the socket and release what the connection holds."""
        descriptor = self.socket.fileno()
        self._intake.release(self.use, descriptor)
        super().close_fd()
        # The stream can outlive its connection in a reference cycle.
        self._read_buffer.clear()
        self._read_buffer_size = 0


@attrs.define
class BodyBuffer:
    """Collects a body or frame in blocks of limited size.

    One growing buffer for each of many unfinished bodies leaves gaps in the memory of
    the process that it does not return, and a list of small pieces takes many times the
    memory of what it holds.
    """

    _blocks: list[bytearray] = attrs.field(factory=list)
    _length: int = 0

    def __len__(self) -> int:
        return self._length

    def add(self, data: bytes) -> None:
        """Append bytes."""
        self._length += len(data)
        if not self._blocks or len(self._blocks[-1]) + len(data) > BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += data

    def take(self) -> bytes:
        """Remove and return all bytes."""
        data = b"".join(self._blocks)
        self._blocks.clear()
        self._length = 0
        return data


@attrs.define
class _Refusing:
    """A period in which connections are closed to make room.

    Attributes:
        last_ms: Time at which a connection was last closed.
        closed: Number of connections closed.
    """

    last_ms: int
    closed: int = 0


@attrs.define(eq=False)
class Intake:
    """Bounds all connections from outside of one process.

    Attributes:
        bounds: What the connections may use.
        clock: Monotonic time.
        metrics: Counts closed connections by reason.
    """

    bounds: IntakeBounds
    clock: Clock
    metrics: Metrics
    _budget: BodyBudget
    _turns: TurnQueue[asyncio.Future[bool]] = attrs.field(factory=TurnQueue)
    _turn_by_use: dict[ConnectionUse, asyncio.Future[bool]] = attrs.field(factory=dict)
    _stream_by_use: dict[ConnectionUse, MeasuredStream] = attrs.field(factory=dict)
    _use_by_descriptor: dict[int, ConnectionUse] = attrs.field(factory=dict)
    _hangups: HangupWatcher = attrs.field(
        default=attrs.Factory(lambda self: HangupWatcher(self._left), takes_self=True)
    )
    _polled_ms: int | None = None
    _refusing: _Refusing | None = None
    _sweeping: asyncio.TimerHandle | None = None
    _turning: asyncio.Handle | None = None
    _enforcing: asyncio.Handle | None = None

    @classmethod
    def from_config(
        cls,
        bounds: IntakeBounds | None = None,
        clock: Clock | None = None,
        metrics: Metrics | None = None,
    ) -> Intake:
        """Return an intake without connections; the bounds are those by default."""
        bounds = bounds or IntakeBounds.from_config()
        budget = BodyBudget.from_config(bounds)
        return cls(bounds, clock or SystemClock(), metrics or MemoryMetrics(), budget)

    def now_ms(self) -> int:
        """Return the time."""
        return self.clock.now_ms()

    def open(
        self,
        connection: socket.socket,
        others: set[ConnectionUse],
        max_connections: int,
        max_buffer_size: int | None = None,
        *,
        name: str = "",
        is_identified: bool = True,
    ) -> MeasuredStream | None:
        """Take in a new connection of a port.

        Args:
            connection: The connected socket.
            others: The connections of the port, of which some may have been closed;
                the new one is added.
            max_connections: Limit for them.
            max_buffer_size: Limit of the read buffer in bytes.
            name: Port and address of the other side, for the log.
            is_identified: Whether the other side need not introduce itself.

        Returns:
            The stream of the connection, or None if there is no room.
        """
        now_ms = self.now_ms()
        if len(others) >= max_connections:
            others.intersection_update(self._stream_by_use.keys())
        if len(others) >= max_connections:
            self._record_pending()
            chosen = choose_for_new(others, now_ms)
            if chosen is None:
                self._record_closed(
                    ConnectionUse.opened(now_ms, name=name), CloseReason.CONNECTIONS
                )
                connection.close()
                return None
            others.discard(chosen)
            self._close(chosen, CloseReason.CONNECTIONS)
        use = ConnectionUse.opened(now_ms, is_identified=is_identified, name=name)
        stream = MeasuredStream(connection, self, use, max_buffer_size)
        others.add(use)
        self._budget.open(use)
        self._stream_by_use[use] = stream
        self._use_by_descriptor[connection.fileno()] = use
        self._schedule_sweep()
        return stream

    def has_room(self, others: set[ConnectionUse], max_connections: int) -> bool:
        """Return whether a port can accept a further connection.

        Args:
            others: The connections of the port, of which some may have been closed.
            max_connections: Limit for them.
        """
        if len(others) < max_connections:
            return True
        others.intersection_update(self._stream_by_use.keys())
        if len(others) < max_connections:
            return True
        self._record_pending()
        now_ms = self.now_ms()
        return any(may_make_room(use, now_ms) for use in others)

    def close_idle(self, uses: set[ConnectionUse]) -> None:
        """Close those of some connections that neither sent nor await anything."""
        self._polled_ms = None
        self._record_pending()
        now_ms = self.now_ms()
        for use in list(uses):
            if use not in self._stream_by_use:
                uses.discard(use)
            elif is_idle(use, now_ms) and not self._stream_by_use[use].has_buffered:
                self._close(use, CloseReason.STOPPING)

    def count_open(self) -> Counter[str]:
        """Return the number of open connections by port and phase."""
        return Counter(
            f"{use.name.partition(':')[0]}.{use.phase.value}"
            for use in self._stream_by_use
        )

    def release(self, use: ConnectionUse, descriptor: int) -> None:
        """Forget a connection whose stream is being closed.

        What waits for its turn goes on at once, to free what it holds.
        """
        self._budget.disconnect(use)
        self._stream_by_use.pop(use, None)
        self._use_by_descriptor.pop(descriptor, None)
        self._hangups.forget(descriptor)
        turn = self._turn_by_use.get(use)
        if turn is not None:
            self._turns.remove(turn)
            if not turn.done():
                turn.set_result(False)

    def _left(self, descriptor: int) -> None:
        """Record that the other side has closed a connection.

        A client waits for no answer any more. What another instance has sent before is
        still read.
        """
        use = self._use_by_descriptor[descriptor]
        use.has_left = True
        if use in self._turn_by_use and self._is_abandoned(use):
            self._close(use, CloseReason.LEFT)

    def begin_message(self, use: ConnectionUse) -> None:
        """Record that a connection is idle; its last message is held by others."""
        self.drop_message(use)
        use.enter(Phase.IDLE, self.now_ms())
        use.expected_bytes = UNKNOWN_LENGTH
        use.has_read = False

    def drop_message(self, use: ConnectionUse) -> None:
        """Record that what was received of an unfinished message has been freed."""
        if use.received_bytes:
            self._budget.change(use, received=-use.received_bytes)

    def begin_body(
        self, use: ConnectionUse, expected_bytes: int = UNKNOWN_LENGTH
    ) -> None:
        """Record that the body of a message begins, with its length if it is known."""
        use.enter(Phase.RECEIVING, self.now_ms())
        use.expected_bytes = expected_bytes

    def end_body(self, use: ConnectionUse) -> None:
        """Record that a request was read completely; it holds its bytes until answered.

        The connection is not closed before that.
        """
        use.enter(Phase.SERVED, self.now_ms())

    def begin_service(self, use: ConnectionUse) -> bool:
        """Hand the bytes of a complete message to whoever handles it.

        Returns:
            Whether there is room to hold them until `end_service`. If not, nothing is
            held, and the message must be refused at once.
        """
        size = use.received_bytes
        has_room = self._budget.may_serve(use, size)
        self._budget.change(use, received=-size, serving=size if has_room else 0)
        if not has_room:
            self.metrics.count("not_held")
        return has_room

    def resize_service(self, use: ConnectionUse, old_bytes: int, size: int) -> bool:
        """Record that a message being handled takes less or more room than before.

        Args:
            use: Its connection.
            old_bytes: What it has held so far.
            size: What it holds from now on.

        Returns:
            Whether there is room; if not, nothing has changed.
        """
        self._budget.change(use, serving=-old_bytes)
        has_room = size <= old_bytes or self._budget.may_serve(use, size)
        self._budget.change(use, serving=size if has_room else old_bytes)
        return has_room

    def end_service(self, use: ConnectionUse, size: int) -> None:
        """Record that a message has been handled and what it held is free."""
        self._budget.change(use, serving=-size)

    def add_received(self, use: ConnectionUse, count: int) -> None:
        """Record bytes of a body and close connections beyond the budget."""
        self._budget.change(use, received=count)
        self._enforce_budget()

    def record_unsent(self, use: ConnectionUse, count: int) -> None:
        """Record how many bytes of responses are to be sent.

        Connections beyond the budget are closed in the next turn of the event loop: a
        stream must not be closed while it writes.
        """
        self._budget.change(use, unsent=count - use.unsent_bytes)
        if self._enforcing is None and count:
            loop = asyncio.get_running_loop()
            self._enforcing = loop.call_soon(self._enforce_later)

    def _enforce_later(self) -> None:
        self._enforcing = None
        self._enforce_budget()

    async def await_turn_of_next(self, use: ConnectionUse) -> None:
        """Wait before a message that was received together with the one before it.

        A client that sends many at once would otherwise have all of them handled
        without a pause.
        """
        if use.has_read:
            use.turns = 0
        else:
            await self.await_turn(use)

    async def await_turn(self, use: ConnectionUse) -> bool:
        """Wait until more of an unfinished body may be read.

        Returns:
            Whether the connection is still open. What it held must be freed if not.
        """
        if use.has_left and self._is_abandoned(use):
            self._close(use, CloseReason.LEFT)
        if use not in self._budget.uses:
            return False
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._turn_by_use[use] = turn
        stream = self._stream_by_use.get(use)
        if stream is not None:
            self._hangups.watch(stream.socket.fileno())
        self._turns.add(turn, count_turns_left(use), is_first=is_read_first(use))
        use.turns += 1
        use.is_waiting = True
        if self._turning is None:
            self._turning = asyncio.get_running_loop().call_soon(self._give_turns)
        try:
            return await turn
        finally:
            self._turns.remove(turn)
            self._turn_by_use.pop(use, None)
            use.is_waiting = False
            use.progress_ms = self.now_ms()

    @staticmethod
    def _is_abandoned(use: ConnectionUse) -> bool:
        return use.is_identified and not use.is_peer and use.phase is Phase.RECEIVING

    def _give_turns(self) -> None:
        self._turning = None
        for turn in self._turns.take():
            if not turn.done():
                turn.set_result(True)
        if self._turns:
            self._turning = asyncio.get_running_loop().call_soon(self._give_turns)

    def _enforce_budget(self) -> None:
        if self._budget.is_exceeded:
            self._record_pending()
        while (use := self._budget.choose_excess(self.now_ms())) is not None:
            self._close(use, CloseReason.BUDGET)

    def _record_pending(self) -> None:
        """Record progress that the event loop has not come to yet.

        After a long turn, or a pause of the process, connections whose requests have
        arrived would otherwise look idle and be closed before they are read.
        """
        now_ms = self.now_ms()
        if self._polled_ms is not None and now_ms - self._polled_ms < UNREAD_POLL_MS:
            return
        self._polled_ms = now_ms
        poll = select.poll()
        for descriptor, use in self._use_by_descriptor.items():
            if use.unsent_bytes:
                poll.register(descriptor, select.POLLOUT)
            elif use.awaits_bytes:
                poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
        for descriptor, events in poll.poll(0):
            use = self._use_by_descriptor[descriptor]
            if events & _HANGUP_EVENTS:
                continue
            if events & select.POLLIN:
                use.record_unread(now_ms)
            elif events & select.POLLOUT:
                use.progress_ms = now_ms

    def _close(self, use: ConnectionUse, reason: CloseReason) -> None:
        self._record_closed(use, reason)
        self._budget.disconnect(use)
        stream = self._stream_by_use.get(use)
        if stream is not None:
            stream.close()

    def _record_closed(self, use: ConnectionUse, reason: CloseReason) -> None:
        self.metrics.count(f"closed.{reason.value}")
        if reason not in _UNLOGGED_REASONS:
            logs.log_batched(
                "connections_closed", _describe(use, reason, self.now_ms())
            )
        if reason not in _ROOM_REASONS:
            return
        now_ms = self.now_ms()
        if self._refusing is None:
            self._refusing = _Refusing(now_ms)
            logs.log_event(
                "intake_refusing",
                reason=reason.value,
                connections=len(self._stream_by_use),
                held_bytes=self._budget.held_bytes,
                limit_bytes=self.bounds.body_bytes,
            )
        self._refusing.last_ms = now_ms
        self._refusing.closed += 1
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        if self._sweeping is None:
            loop = asyncio.get_running_loop()
            self._sweeping = loop.call_later(SWEEP_MS / 1_000, self._sweep)

    def _sweep(self) -> None:
        """Close what has taken too long; repeated while there are connections."""
        self._sweeping = None
        now_ms = self.now_ms()
        for use in list(self._stream_by_use):
            reason = use.overdue(now_ms, self.bounds)
            if reason is not None:
                self._close(use, reason)
        self.metrics.gauge("intake_connections", len(self._stream_by_use))
        held_bytes = self._budget.held_bytes + self._budget.ending_bytes
        self.metrics.gauge("intake_held_bytes", held_bytes)
        refusing = self._refusing
        if refusing is not None and now_ms - refusing.last_ms >= REFUSING_MS:
            logs.log_event("intake_accepting", closed=refusing.closed)
            self._refusing = None
        if self._stream_by_use or self._refusing is not None:
            self._schedule_sweep()


def _describe(use: ConnectionUse, reason: CloseReason, now_ms: int) -> str:
    """Return why a connection is closed, as an entry of a batch of the log."""
    fields = (
        use.name or "unnamed",
        reason.value,
        use.phase.value,
        str(use.held_bytes),
        str(now_ms - use.opened_ms),
        str(use.idle_ms(now_ms)),
        use.request_id,
    )
    return "/".join(fields)
