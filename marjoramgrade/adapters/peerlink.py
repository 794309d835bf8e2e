"""Connections between entry instances: length-prefixed frames over TCP.

Each instance connects to every other instance and sends its calls on the connection
that it opened. Replies return on the same connection, matched by a correlation number.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient

from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.adapters.accepting import BoundedTcpServer
from marjoramgrade.adapters.httppool import (
    UNACKNOWLEDGED_TIMEOUT_MS,
    set_tcp_options,
)
from marjoramgrade.adapters.intake import (
    READ_BYTES,
    BodyBuffer,
    Intake,
    MeasuredStream,
)
from marjoramgrade.adapters.peercodec import (
    MAX_FRAME_BYTES,
    EmptyReply,
    Hello,
    PeerFrame,
    parse_frame,
    serialize_frame,
)
from marjoramgrade.decisions.intake.bounds import PEER_RECEIVE_BUFFER_BYTES
from marjoramgrade.decisions.intake.connections import ConnectionUse
from marjoramgrade.decisions.stopping.answers import WorkKind, refuse
from marjoramgrade.decisions.stopping.schedule import FLUSH_MS
from marjoramgrade.errors import (
    MarjoramgradeError,
    OutcomeUnknownError,
    OversizedInputError,
    OwnerUnreachableError,
    ProtocolError,
    ShuttingDownError,
)
from marjoramgrade.messages.peers import (
    CallOverLink,
    FinishCalls,
    InboundMessage,
    Member,
    PeerDisconnected,
    TellOverLink,
)
from marjoramgrade.messages.workkinds import work_kind_of
from marjoramgrade.stopping import Stopping

CONNECT_TIMEOUT_MS = 1_000
# Limit of unsent bytes per connection; further calls are refused above it.
MAX_UNSENT_BYTES = 8 * 1_048_576
# A hello holds the id of an instance.
MAX_HELLO_BYTES = 4_096
# Frames that are read one after the other without waiting for a turn. A peer that was
# paused sends more at once; between frames that arrive one by one there is no wait.
FRAMES_PER_TURN = 8
# Calls of one connection that run at a time; it is not read on above that. An instance
# has fewer clients.
MAX_CALLS = 2_048
# Name of the port in the statistics of how long calls take.
PORT = "peer"
# Time that calls in flight have when a server closes in a process that has no schedule
# of its stop.
CLOSE_MS = 2_000
# Pause between checks of a server that waits for its calls and replies when it closes.
POLL_MS = 10
_LENGTH = struct.Struct(">I")


async def read_frame(stream: IOStream) -> PeerFrame:
    """Read one frame.

    Raises:
        StreamClosedError: If the connection is closed.
        ProtocolError: If the frame is invalid or too large.
    """
    length = _parse_length(await stream.read_bytes(_LENGTH.size), MAX_FRAME_BYTES)
    return parse_frame(await stream.read_bytes(length))


@attrs.frozen
class HeldFrame:
    """A frame that was read completely.

    Attributes:
        frame: The frame.
        held_bytes: What it holds of the budget until it has been handled; 0 if there
            was no room to hold it.
    """

    frame: PeerFrame
    held_bytes: int


async def read_bounded_frame(
    stream: MeasuredStream, intake: Intake, max_bytes: int
) -> HeldFrame:
    """Read one frame that counts against the budget of the process from its first byte.

    Whoever handles it ends its service.

    Args:
        stream: The connection.
        intake: Bounds the connections of the process.
        max_bytes: Largest frame accepted.

    Raises:
        StreamClosedError: If the connection is closed.
        ProtocolError: If the frame is invalid or too large.
    """
    # The limits of time count from the first byte of the frame.
    first_byte = asyncio.ensure_future(stream.read_bytes(1))
    if not first_byte.done():
        stream.use.messages_in_row = 0
    stream.use.messages_in_row += 1
    prefix = await first_byte
    if stream.use.has_read:
        stream.use.turns = 0
    intake.begin_body(stream.use)
    prefix += await stream.read_bytes(_LENGTH.size - 1)
    length = _parse_length(prefix, max_bytes)
    stream.use.expected_bytes = length
    data = BodyBuffer()
    try:
        while len(data) < length:
            count = min(length - len(data), READ_BYTES)
            part = await stream.read_bytes(count, partial=True)
            data.add(part)
            intake.add_received(stream.use, len(part))
            if len(data) < length and not await intake.await_turn(stream.use):
                raise StreamClosedError
        has_room = intake.begin_service(stream.use)
    finally:
        intake.begin_message(stream.use)
    try:
        return HeldFrame(parse_frame(data.take()), length if has_room else 0)
    except ProtocolError:
        if has_room:
            intake.end_service(stream.use, length)
        raise


def _parse_length(prefix: bytes, max_bytes: int) -> int:
    (length,) = _LENGTH.unpack(prefix)
    if length > max_bytes:
        raise ProtocolError(f"frame of {length} bytes exceeds the maximum size")
    return int(length)


def write_frame(stream: IOStream, frame: PeerFrame) -> None:
    """Queue one frame for sending; the reading task detects a closed stream.

    Raises:
        OversizedInputError: If the frame is too large.
    """
    # Tornado retrieves the exception of the write itself.
    stream.write(_serialize(frame))


def _serialize(frame: PeerFrame) -> bytes:
    data = serialize_frame(frame)
    return _LENGTH.pack(len(data)) + data


def serialize_notice(message: Message[Any]) -> bytes:
    """Return a message that expects no reply as it is sent on any connection.

    Raises:
        ProtocolError: If no encoder is registered for the message.
        OversizedInputError: If the message is too large for a frame.
    """
    return _serialize(PeerFrame(0, message))


def _send_notice(stream: IOStream, message: TellOverLink) -> None:
    """Send a message that expects no reply, or drop it if that fails."""
    with contextlib.suppress(
        MarjoramgradeError, StreamClosedError, StreamBufferFullError
    ):
        stream.write(message.frame or serialize_notice(message.message))


class PeerLink(Actor):
    """The outgoing connection to one peer, opened when first needed.

    Args:
        own_id: Id of this instance.
        own_host: Source IP address of the connection.
        member: The peer.
    """

    def __init__(self, own_id: str, own_host: str, member: Member) -> None:
        super().__init__(member.instance_id)
        self._own_id = own_id
        self._own_host = own_host
        self._member = member
        self._stream: IOStream | None = None
        self._connecting: asyncio.Task[IOStream] | None = None
        self._correlation = 0
        self._frames_read = 0
        self._reply_by_correlation: dict[int, asyncio.Future[Any]] = {}
        self._exchanges: set[asyncio.Task[Any]] = set()
        self._waiting_notices: list[TellOverLink] = []

    async def on_stop(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()

    @handles(CallOverLink)
    async def _call(self, message: CallOverLink) -> Any:
        exchange = self.spawn(self._exchange(message))
        self._exchanges.add(exchange)
        exchange.add_done_callback(self._exchanges.discard)
        return exchange

    @handles(TellOverLink)
    async def _tell(self, message: TellOverLink) -> None:
        stream = self._stream
        # Notices keep their order, also behind those that wait for the connection.
        if self._waiting_notices:
            self._waiting_notices.append(message)
        elif stream is None or stream.closed():
            self._waiting_notices.append(message)
            self.spawn_critical(self._send_waiting_notices())
        else:
            _send_notice(stream, message)

    @handles(FinishCalls)
    async def _finish_calls(self, message: FinishCalls) -> Any:
        return self.spawn(self._await_replies(message.timeout_ms))

    async def _await_replies(self, timeout_ms: int) -> None:
        if self._exchanges:
            await asyncio.wait(self._exchanges, timeout=timeout_ms / 1000)

    async def _send_waiting_notices(self) -> None:
        """Connect and send the waiting notices, or drop them if that fails."""
        with contextlib.suppress(MarjoramgradeError):
            stream = await self._get_stream()
            for message in self._waiting_notices:
                _send_notice(stream, message)
        self._waiting_notices.clear()

    async def _exchange(self, call: CallOverLink) -> Any:
        stream = await self._get_stream()
        self._correlation += 1
        correlation, frames_read = self._correlation, self._frames_read
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_correlation[correlation] = reply
        try:
            write_frame(stream, PeerFrame(correlation, call.message))
            answer = await asyncio.wait_for(reply, call.timeout_ms / 1000)
            return self._check_reply(call.message, answer)
        except StreamBufferFullError:
            raise OwnerUnreachableError(
                f"{self._member.instance_id} does not read from the connection"
            ) from None
        except (TimeoutError, StreamClosedError) as error:
            if isinstance(error, TimeoutError) and self._frames_read == frames_read:
                # No frame arrived since the call was sent: the connection may be dead.
                stream.close()
            raise OutcomeUnknownError(
                f"{self._member.instance_id} did not reply"
            ) from None
        finally:
            self._reply_by_correlation.pop(correlation, None)

    def _check_reply(self, message: Message[Any], reply: Any) -> Any:
        """Return a reply that has a type which the message allows.

        Raises:
            OutcomeUnknownError: If it has another one; the peer may be of another
                version.
        """
        if isinstance(reply, EmptyReply):
            reply = None
        if not isinstance(reply, message.reply_types):
            raise OutcomeUnknownError(
                f"{self._member.instance_id} replied to {type(message).__name__} with "
                f"{type(reply).__name__}"
            )
        return reply

    async def _get_stream(self) -> IOStream:
        if self._stream is not None and not self._stream.closed():
            return self._stream
        if self._connecting is None:
            self._connecting = self.spawn(self._connect())
        try:
            return await asyncio.shield(self._connecting)
        except (OSError, StreamClosedError, TimeoutError, UnicodeError):
            # The resolver raises a UnicodeError for a host that is no host name.
            raise OwnerUnreachableError(
                f"no connection to {self._member.instance_id}"
            ) from None

    async def _connect(self) -> IOStream:
        try:
            stream = await asyncio.wait_for(
                TCPClient().connect(
                    self._member.host,
                    self._member.peer_port,
                    source_ip=self._own_host,
                ),
                CONNECT_TIMEOUT_MS / 1000,
            )
            set_tcp_options(stream, UNACKNOWLEDGED_TIMEOUT_MS)
            stream.max_write_buffer_size = MAX_UNSENT_BYTES
            write_frame(stream, PeerFrame(0, Hello(self._own_id)))
            self._stream = stream
            self.spawn_critical(self._read_replies(stream))
            return stream
        finally:
            self._connecting = None

    async def _read_replies(self, stream: IOStream) -> None:
        try:
            while True:
                frame = await read_frame(stream)
                self._frames_read += 1
                reply = self._reply_by_correlation.pop(frame.correlation, None)
                if reply is None or reply.done():
                    continue
                if isinstance(frame.body, MarjoramgradeError):
                    reply.set_exception(frame.body)
                else:
                    reply.set_result(frame.body)
        except (StreamClosedError, ProtocolError):
            stream.close()
        finally:
            self._fail_replies()

    def _fail_replies(self) -> None:
        for reply in self._reply_by_correlation.values():
            if not reply.done():
                reply.set_exception(
                    OutcomeUnknownError(
                        f"connection to {self._member.instance_id} was lost"
                    )
                )
        self._reply_by_correlation.clear()


def _refuse_call(stream: IOStream, frame: PeerFrame) -> None:
    """Answer a call that there is no room to hold; it has not run."""
    if frame.correlation == 0 or stream.closed():
        return
    error = OwnerUnreachableError("there is no room to hold the call")
    with contextlib.suppress(StreamBufferFullError):
        write_frame(stream, PeerFrame(frame.correlation, error))


class PeerServer(BoundedTcpServer):
    """Accepts connections from other entry instances.

    Args:
        receiver: The actor that handles `InboundMessage` messages.
        disconnect_receiver: The actor that receives `PeerDisconnected` when a
            connection ends, or None.
        intake: Bounds what the connections use.
        stopping: Refuses calls and ends their waits while the process stops.
    """

    def __init__(
        self,
        receiver: Actor,
        disconnect_receiver: Actor | None = None,
        intake: Intake | None = None,
        stopping: Stopping | None = None,
    ) -> None:
        super().__init__()
        self._stopping = stopping or Stopping()
        self._receiver = receiver
        self._disconnect_receiver = disconnect_receiver
        intake = intake or Intake.from_config()
        self.bound_connections(
            intake,
            intake.bounds.peer_connections,
            PEER_RECEIVE_BUFFER_BYTES,
            "peer",
        )
        self._streams: set[IOStream] = set()
        # Those with a frame that waits for a turn or a free call slot.
        self._waiting_streams: set[IOStream] = set()
        self._kind_by_call: dict[asyncio.Future[None], str] = {}

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve one connection until it is closed."""
        measured = self.open_stream(stream, address, is_identified=False)
        if measured is not None:
            await self._serve_stream(measured)

    async def _serve_stream(self, stream: MeasuredStream) -> None:
        self._streams.add(stream)
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_UNSENT_BYTES
        try:
            first = await read_bounded_frame(stream, self.intake, MAX_HELLO_BYTES)
            self.intake.end_service(stream.use, first.held_bytes)
            hello = first.frame.body
            if not isinstance(hello, Hello):
                raise ProtocolError("the first frame of a connection must be a hello")
            stream.use.identify_peer()
            await self._serve_frames(stream, hello.instance_id)
        except StreamClosedError:
            return
        except ProtocolError:
            stream.close()
        finally:
            self._streams.discard(stream)

    async def _serve_frames(self, stream: MeasuredStream, peer_id: str) -> None:
        calls = asyncio.Semaphore(MAX_CALLS)
        try:
            while True:
                held = await read_bounded_frame(stream, self.intake, MAX_FRAME_BYTES)
                if not held.held_bytes:
                    _refuse_call(stream, held.frame)
                    continue
                try:
                    await self._await_slot(stream, held.frame, calls)
                except ShuttingDownError as error:
                    self.intake.end_service(stream.use, held.held_bytes)
                    self._reply(stream, held.frame.correlation, error)
                    continue
                kind = type(held.frame.body).__name__
                work = self._serve(stream, peer_id, held.frame)
                task = self._spawn(work, calls, kind)
                self._hold_until_done(stream.use, held, task)
        finally:
            if self._disconnect_receiver is not None:
                with contextlib.suppress(ShuttingDownError):
                    self._disconnect_receiver.tell(PeerDisconnected(peer_id))

    async def _await_slot(
        self, stream: MeasuredStream, frame: PeerFrame, calls: asyncio.Semaphore
    ) -> None:
        """Wait for a turn and a free call slot.

        Raises:
            ShuttingDownError: If the frame is a call and gets none before all waits
                end; it has not run.
        """
        # The wait itself changes nothing, whatever the call does.
        wait = self._stopping.bound(WorkKind.READ, f"{PORT}.slot")
        self._waiting_streams.add(stream)
        try:
            async with wait if frame.correlation else contextlib.nullcontext():
                if stream.use.messages_in_row >= FRAMES_PER_TURN:
                    stream.use.messages_in_row = 0
                    await self.intake.await_turn(stream.use)
                await calls.acquire()
        finally:
            self._waiting_streams.discard(stream)

    def _bound(self, frame: PeerFrame) -> contextlib.AbstractAsyncContextManager[None]:
        """Return what ends the handling of a call in time; notices have no answer.

        Raises:
            ShuttingDownError: If the server closes.
        """
        if frame.correlation == 0:
            return contextlib.nullcontext()
        kind = work_kind_of(frame.body)
        if self._stopped:
            raise refuse(kind)
        # Some types wait for seconds by design, and say nothing about the others.
        return self._stopping.bound(kind, f"{PORT}.{type(frame.body).__name__}")

    async def close(self) -> None:
        """Refuse new calls, answer those in flight, and close every connection.

        The schedule of the process bounds all of this.
        """
        self.stop()
        # Without effect if the process has a schedule.
        self._stopping.begin(CLOSE_MS)
        schedule = self._stopping.schedule
        assert schedule is not None
        await self._wait_while(
            lambda: bool(self._kind_by_call or self._waiting_streams),
            schedule.close_ms,
        )
        # A peer that does not read must not hold up a process that ends early.
        flushed_ms = self._stopping.clock.now_ms() + FLUSH_MS
        await self._wait_while(
            lambda: any(stream.writing() for stream in self._streams),
            min(schedule.close_ms, flushed_ms),
        )
        for stream in list(self._streams):
            stream.close()

    async def _wait_while(self, is_busy: Callable[[], bool], until_ms: int) -> None:
        while is_busy() and self._stopping.clock.now_ms() < until_ms:
            await asyncio.sleep(POLL_MS / 1_000)

    def count_calls(self) -> Counter[str]:
        """Return the number of calls that are being handled, by type of message."""
        return Counter(self._kind_by_call.values())

    def _spawn(
        self, awaitable: Awaitable[None], calls: asyncio.Semaphore, kind: str
    ) -> asyncio.Future[None]:
        task = asyncio.ensure_future(awaitable)
        self._kind_by_call[task] = kind
        task.add_done_callback(self._kind_by_call.pop)
        task.add_done_callback(lambda _: calls.release())
        return task

    def _hold_until_done(
        self, use: ConnectionUse, held: HeldFrame, task: asyncio.Future[None]
    ) -> None:
        size = held.held_bytes
        task.add_done_callback(lambda _: self.intake.end_service(use, size))

    async def _serve(self, stream: IOStream, peer_id: str, frame: PeerFrame) -> None:
        try:
            async with self._bound(frame):
                body = await self._receiver.ask(InboundMessage(peer_id, frame.body))
        except MarjoramgradeError as error:
            body = error
        self._reply(stream, frame.correlation, EmptyReply() if body is None else body)

    @staticmethod
    def _reply(stream: IOStream, correlation: int, answer: object) -> None:
        """Send the answer to a call; notices and closed connections get none."""
        if correlation == 0 or stream.closed():
            return
        try:
            try:
                write_frame(stream, PeerFrame(correlation, answer))
            except (ProtocolError, OversizedInputError) as error:
                reason = f"the reply cannot be sent: {error.message}"
                unknown = OutcomeUnknownError(reason)
                write_frame(stream, PeerFrame(correlation, unknown))
        except StreamBufferFullError:
            # The peer does not read its replies.
            stream.close()
