"""An HTTP server that ends without cutting off a caller, and bounds its clients."""

from __future__ import annotations

import asyncio
import copy
import select
import socket
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from marjoramgrade.adapters.accepting import BoundedTcpServer
from marjoramgrade.adapters.intake import (
    READ_BYTES,
    BodyBuffer,
    Intake,
    MeasuredStream,
)
from marjoramgrade.decisions.intake.bounds import (
    RECEIVE_BUFFER_BYTES,
    SMALL_BODY_BYTES,
)
from marjoramgrade.decisions.intake.connections import UNKNOWN_LENGTH
from marjoramgrade.decisions.intake.turns import CHUNKED_SEGMENT_BYTES
from marjoramgrade.errors import OutcomeUnknownError, OversizedInputError

# How long open connections are served after the server has stopped accepting, unless
# the caller says otherwise.
FINISH_MS = 700
POLL_MS = 10
# Bounds the accepting of waiting connections while callers go on connecting.
MAX_ACCEPT_ROUNDS = 100
# A connection whose body is too large is read on for this long. Closing it with unread
# data would discard the response.
LINGER_MS = 1_000
# tornado answers a body above its own limit with 400; `_BoundedMessage` answers before
# that limit is reached.
NO_LIMIT = 2**62
TOO_LARGE = (
    b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
# Answers a complete request that can't be held until it has been handled. An earlier
# attempt may have run elsewhere, so the outcome is unknown.
NOT_HELD = (
    b"HTTP/1.1 504 Gateway Timeout\r\nConnection: close\r\nRetry-After: 1\r\n"
    b"Ran: unknown\r\nContent-Type: application/json\r\nContent-Length: 27\r\n\r\n"
    b'{"error":"outcome_unknown"}'
)
# Characters of the id of a request in the log; a longer one is cut.
MAX_REQUEST_ID_LENGTH = 32


@attrs.frozen
class PortLimits:
    """Limits of one HTTP port.

    Attributes:
        max_body_bytes: Largest body that is accepted.
        max_connections: Limit of open connections.
        name: Name of the port in the log.
    """

    max_body_bytes: int
    max_connections: int
    name: str = "http"


# Handles a request; a future that it returns is done once the request is handled.
RequestCallback = Callable[[HTTPServerRequest], "asyncio.Future[None] | None"]


@attrs.define(eq=False)
class _PlainMessage(HTTPMessageDelegate):
    """Passes a request to a callback; tornado's own receiver also decodes forms.

    Attributes:
        connection: Connection of the request.
        stream: Its stream.
        callback: Receives the request.
    """

    connection: HTTP1Connection
    stream: MeasuredStream
    callback: RequestCallback
    _request: HTTPServerRequest | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Begin the request."""
        assert isinstance(start_line, RequestStartLine)
        self._request = HTTPServerRequest(
            connection=self.connection, start_line=start_line, headers=headers
        )

    def data_received(self, chunk: bytes) -> None:
        """Store the body, which comes as one piece."""
        assert self._request is not None
        self._request.body = chunk

    def finish(self) -> None:
        """Pass the request on, and free what it holds once it has been handled."""
        assert self._request is not None
        request, self._request = self._request, None
        handling: asyncio.Future[None] | None = None
        try:
            handling = self.callback(request)
        finally:
            if handling is None:
                self.stream.end_service()
            else:
                handling.add_done_callback(lambda _: self.stream.end_service())


@attrs.define(eq=False)
class _BoundedMessage(HTTPMessageDelegate):
    """Receives one request within the bounds of the process.

    The body is collected here and passed on at its end, as one piece: lists of many
    small pieces take many times the memory of what they hold.

    Attributes:
        intake: Bounds the connections of the process.
        limits: Limits of the port.
        stream: Stream of the connection.
        connection: Connection of the request.
        receiver: Receives the complete request.
    """

    intake: Intake
    limits: PortLimits
    stream: MeasuredStream
    connection: HTTP1Connection
    receiver: HTTPMessageDelegate
    _start: tuple[RequestStartLine, HTTPHeaders] | None = None
    _body: BodyBuffer = attrs.field(factory=BodyBuffer)
    _expected_bytes: int = UNKNOWN_LENGTH
    _is_refused: bool = False

    async def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Refuse a body that is too large, and read a chunked one in small parts."""
        assert isinstance(start_line, RequestStartLine)
        self._start = (start_line, headers)
        self.stream.use.request_id = parse_request_id(headers)
        await self.intake.await_turn_of_next(self.stream.use)
        length = headers.get("Content-Length", "")
        is_chunked = "Transfer-Encoding" in headers
        if length.isascii() and length.isdigit():
            # A number with more digits is above the limit and slow to convert.
            self._expected_bytes = int(length[:18])
        elif not is_chunked:
            self._expected_bytes = 0
        self.intake.begin_body(self.stream.use, self._expected_bytes)
        if not is_chunked:
            if self._expected_bytes > self.limits.max_body_bytes:
                self._refuse(is_waiting="Expect" in headers)
        else:
            # Shared by all connections of the server.
            self.connection.params = copy.copy(self.connection.params)
            self.connection.params.chunk_size = CHUNKED_SEGMENT_BYTES
            await self.intake.await_turn(self.stream.use)

    async def data_received(self, chunk: bytes) -> None:
        """Collect a part of the body, then wait until more may be read."""
        if not self._is_refused:
            self._body.add(chunk)
            if len(self._body) > self.limits.max_body_bytes:
                self._refuse()
            else:
                if len(self._body) == self._expected_bytes:
                    # It is answered from here on, even if it waits to be decoded.
                    self.intake.end_body(self.stream.use)
                self.intake.add_received(self.stream.use, len(chunk))
        # Decoding a large body takes tens of milliseconds, so the end of one waits too.
        is_small = len(self._body) <= SMALL_BODY_BYTES
        is_complete = len(self._body) == self._expected_bytes
        if not (is_complete and is_small) and not self.stream.closed():
            await self.intake.await_turn(self.stream.use)

    def finish(self) -> None:
        """Pass the complete request on, or answer it if it can't be held."""
        if self._is_refused or self._start is None:
            self.stream.close()
            return
        self.intake.end_body(self.stream.use)
        if not self.stream.begin_service():
            self._body = BodyBuffer()
            error = OutcomeUnknownError("there is no room to hold the request")
            self.intake.metrics.refused(error)
            self._respond_and_close(NOT_HELD)
            return
        self.receiver.headers_received(*self._start)
        self.receiver.data_received(self._body.take())
        self.receiver.finish()

    def on_connection_close(self) -> None:
        """Drop what was received."""
        self._body = BodyBuffer()
        self.intake.drop_message(self.stream.use)

    def _refuse(self, *, is_waiting: bool = False) -> None:
        self._is_refused = True
        self._body = BodyBuffer()
        self.intake.begin_message(self.stream.use)
        self.intake.metrics.refused(OversizedInputError("the body is too large"))
        if is_waiting:
            # The client has not sent its body.
            self._respond_and_close(TOO_LARGE)
        elif self._respond(TOO_LARGE, self._end_sending):
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_MS / 1_000, self.stream.close)

    def _respond_and_close(self, response: bytes) -> None:
        self._respond(response, self.stream.close)

    def _respond(self, response: bytes, on_sent: Callable[[], None]) -> bool:
        """Send a response; return whether the connection is still open."""
        try:
            sent = self.stream.write(response)
        except StreamClosedError:
            return False

        def finish(done: asyncio.Future[None]) -> None:
            if not done.cancelled() and done.exception() is None:
                on_sent()

        sent.add_done_callback(finish)
        return not self.stream.closed()

    def _end_sending(self) -> None:
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except (AttributeError, OSError):
            # The connection was closed meanwhile.
            self.stream.close()


class DrainingHttpServer(BoundedTcpServer, HTTPServer):
    """An HTTP server that serves every connection that the kernel has accepted.

    Closing a listening socket resets the connections that wait in its queue, and their
    callers do not learn whether their requests have run.

    With an intake, it also bounds the connections and their unfinished bodies.
    """

    # tornado constructs its servers by `initialize`, which takes their arguments.
    def initialize(
        self,
        *args: Any,
        intake: Intake | None = None,
        limits: PortLimits | None = None,
        **kwargs: Any,
    ) -> None:
        """Store the arguments of `HTTPServer`, the intake and the limits of the port.

        Either none or both of the latter are given.
        """
        if limits is not None:
            kwargs.update(max_body_size=NO_LIMIT, chunk_size=READ_BYTES)
        super().initialize(*args, **kwargs)
        self._listening: list[socket.socket] = []
        # When the last connection was opened, by the clock of the intake; 0 for none.
        self.last_opened_ms = 0
        self._limits = limits
        if intake is not None and limits is not None:
            self.bound_connections(
                intake, limits.max_connections, RECEIVE_BUFFER_BYTES, limits.name
            )

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Start accepting connections on listening sockets."""
        listening = list(sockets)
        self._listening.extend(listening)
        super().add_sockets(listening)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a connection, unless there are too many."""
        if self._intake is None:
            super().handle_stream(stream, address)
            return
        self.last_opened_ms = self._intake.now_ms()
        measured = self.open_stream(stream, address)
        if measured is not None:
            super().handle_stream(measured, address)

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        if self._intake is None or self._limits is None:
            return super().start_request(server_conn, request_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        stream = server_conn.stream
        assert isinstance(stream, MeasuredStream)
        self._intake.begin_message(stream.use)
        callback: Any = self.request_callback
        receiver: HTTPMessageDelegate
        if isinstance(callback, HTTPServerConnectionDelegate):
            receiver = callback.start_request(server_conn, request_conn)
        else:
            receiver = _PlainMessage(request_conn, stream, callback)
        return _BoundedMessage(
            self._intake, self._limits, stream, request_conn, receiver
        )

    @property
    def has_connections(self) -> bool:
        """Whether any client connection is open."""
        return bool(self._connections)

    def close_idle(self) -> None:
        """Close the connections that neither sent nor await anything.

        A new one is kept until its client can have sent its request. One on which a
        request has arrived that is not read yet is kept too.
        """
        if self._intake is not None:
            self._intake.close_idle(self._uses)

    async def finish(self, timeout_ms: int | None = None) -> None:
        """Accept the connections that wait, stop accepting, and serve what is open.

        Connections that become idle are closed.

        Args:
            timeout_ms: Longest time to wait, in milliseconds; `FINISH_MS` if None.
        """
        for _ in range(MAX_ACCEPT_ROUNDS):
            if not self._has_waiting_connection():
                break
            await asyncio.sleep(0)
        self.stop()
        self._listening.clear()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + (FINISH_MS if timeout_ms is None else timeout_ms) / 1000
        while self.has_connections and loop.time() < until_s:
            self.close_idle()
            await asyncio.sleep(POLL_MS / 1000)

    def _has_waiting_connection(self) -> bool:
        poll = select.poll()
        for listening in self._listening:
            poll.register(listening, select.POLLIN)
        return bool(poll.poll(0))


def parse_request_id(headers: HTTPHeaders) -> str:
    """Return the id that the client gave the request, or "" if it cannot be logged."""
    text = headers.get("Request-Id", "")[:MAX_REQUEST_ID_LENGTH]
    return text if text.isascii() and text.isalnum() else ""
