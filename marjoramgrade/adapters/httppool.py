"""An HTTP client with a pool of persistent connections to one address.

tornado's own clients open a connection for each request; this client uses
tornado's HTTP/1.1 connection class over pooled streams.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable, Mapping

import attrs
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from marjoramgrade.addresses import check_address
from marjoramgrade.errors import InvalidInputError, MarjoramgradeError, Ran

MAX_CONNECTIONS = 6
CONNECT_TIMEOUT_MS = 700
# TCP_USER_TIMEOUT: the kernel closes a connection with data unacknowledged this long.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
MAX_RESPONSE_BYTES = 16 * 1_048_576
# The content of a header field by RFC 9110, section 5.5. The receiver drops white space
# at either end of it.
_HEADER_VALUE = re.compile(
    r"[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?"
)


class HttpNotSentError(MarjoramgradeError):
    """No connection was available; nothing was sent."""

    code = "http_not_sent"


class HttpInvalidRequestError(HttpNotSentError):
    """A request cannot be written as HTTP; nothing was sent."""

    code = "http_invalid_request"


class HttpNoResponseError(MarjoramgradeError):
    """A request was sent and no complete response arrived."""

    code = "http_no_answer"
    ran = Ran.UNKNOWN


class HttpResponseTimeoutError(HttpNoResponseError):
    """No complete response arrived in time; the connection did not break."""


@attrs.frozen
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes
    headers: HTTPHeaders


@attrs.frozen
class _Request:
    method: str
    path: str
    body: bytes
    headers: Mapping[str, str] | None


@attrs.frozen
class TransferLimits:
    """How long the response to a request may arrive.

    Attributes:
        silence_ms: Longest time between two bytes.
        duration_ms: Longest time from the first byte to the last.
    """

    silence_ms: int
    duration_ms: int


class _ResponseCollector(HTTPMessageDelegate):
    """Collects a response.

    Args:
        on_arrival: Called each time that bytes have arrived.
    """

    def __init__(self, on_arrival: Callable[[], None]) -> None:
        self._on_arrival = on_arrival
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.is_complete = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
        self.headers = headers
        self._on_arrival()

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)
        self._on_arrival()

    def finish(self) -> None:
        self.is_complete = True


def check_header_value(text: str, name: str) -> str:
    """Return a text that must arrive unchanged as the value of a header.

    Args:
        text: The text.
        name: What it is, for the message.

    Raises:
        InvalidInputError: If it has a character that Latin-1 lacks, a control character
            or white space at an end, or is empty.
    """
    if not _HEADER_VALUE.fullmatch(text):
        raise InvalidInputError(f"{name} cannot be the value of a header")
    return text


def set_tcp_options(stream: IOStream, timeout_ms: int) -> None:
    """Set the timeout of unacknowledged data and disable Nagle's algorithm.

    Args:
        stream: A connected stream.
        timeout_ms: Time after which the kernel closes a connection whose peer does
            not acknowledge data, in milliseconds.

    Raises:
        StreamClosedError: If the peer has already closed the connection.
    """
    if stream.closed():
        raise StreamClosedError
    stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    stream.set_nodelay(True)


class _ArrivalRecorder:
    """Postpones a timeout while bytes of a response arrive.

    Args:
        timeout: The running timeout of the exchange.
        limits: Limits of a response that has begun to arrive; None if nothing
            postpones the timeout.
        on_arrival: Called each time that bytes have arrived, or None.
    """

    def __init__(
        self,
        timeout: asyncio.Timeout,
        limits: TransferLimits | None,
        on_arrival: Callable[[], None] | None,
    ) -> None:
        self._timeout = timeout
        self._limits = limits
        self._on_arrival = on_arrival
        self._latest_s: float | None = None

    def record(self) -> None:
        """Record that bytes have arrived."""
        if self._on_arrival is not None:
            self._on_arrival()
        if self._limits is None or self._timeout.expired():
            return
        now_s = asyncio.get_running_loop().time()
        if self._latest_s is None:
            self._latest_s = now_s + self._limits.duration_ms / 1000
        silent_s = now_s + self._limits.silence_ms / 1000
        self._timeout.reschedule(min(silent_s, self._latest_s))


class HttpPool:
    """A pool of persistent connections to one address.

    Args:
        address: IP address and port.
        max_connections: Limit of connections and concurrent requests; further
            requests wait.
        max_response_bytes: Largest response body accepted, in bytes; a larger
            response fails the request.

    Raises:
        InvalidInputError: If the address is not one.
    """

    def __init__(
        self,
        address: str,
        max_connections: int = MAX_CONNECTIONS,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        host, _, port = check_address(address, "the address").rpartition(":")
        self._host, self._port = host, int(port)
        self._address = address
        self._idle: list[IOStream] = []
        self._busy: set[IOStream] = set()
        self._running_count = 0
        self._max_connections = max_connections
        self._parameters = HTTP1ConnectionParameters(
            no_keep_alive=False, max_body_size=max_response_bytes
        )
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._closed = False

    @property
    def is_empty(self) -> bool:
        """Whether the pool has no idle connection and no running or waiting request."""
        return not self._idle and not self._running_count and not self._waiters

    def close(self) -> None:
        """Close every connection; requests in flight fail."""
        self._closed = True
        for stream in (*self._idle, *self._busy):
            stream.close()
        self._idle.clear()

    async def request(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: int,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        limits: TransferLimits | None = None,
        on_arrival: Callable[[], None] | None = None,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        Args:
            method: HTTP method.
            path: Path and query.
            timeout_ms: Timeout of the whole exchange, including the wait for a
                connection; with `limits`, until the response begins to arrive.
            body: Request body, or empty; sent with the content type of JSON.
            headers: Additional headers, or None.
            limits: Limits of a response that has begun to arrive, or None.
            on_arrival: Called each time that bytes of the response have arrived.

        Raises:
            HttpNotSentError: If nothing was sent; an `HttpInvalidRequestError` if the
                request cannot be written as HTTP.
            HttpNoResponseError: If the request may have been processed.
        """
        deadline = asyncio.get_running_loop().time() + timeout_ms / 1000
        await self._acquire(deadline)
        try:
            return await self._request(
                _Request(method, path, body, headers), deadline, limits, on_arrival
            )
        finally:
            self._running_count -= 1
            self._wake_waiter()

    async def _request(
        self,
        request: _Request,
        deadline: float,
        limits: TransferLimits | None,
        on_arrival: Callable[[], None] | None,
    ) -> HttpResponse:
        stream = await self._get_stream(deadline)
        self._busy.add(stream)
        is_reusable = False
        try:
            async with asyncio.timeout_at(deadline) as timeout:
                recorder = _ArrivalRecorder(timeout, limits, on_arrival)
                answer = await self._exchange(stream, request, recorder.record)
            is_reusable = answer.headers.get("Connection", "").lower() != "close"
            return answer
        except TimeoutError:
            raise HttpResponseTimeoutError(
                f"{request.method} to {self._address} received no response in time"
            ) from None
        except (StreamClosedError, OSError) as error:
            raise HttpNoResponseError(
                f"{request.method} to {self._address} received no response: {error!r}"
            ) from None
        finally:
            self._busy.discard(stream)
            if is_reusable and not stream.closed() and not self._closed:
                self._add_idle(stream)
            else:
                stream.close()

    def _add_idle(self, stream: IOStream) -> None:
        """Return a connection to the pool.

        A request on a connection that the peer has closed in the meantime would have
        an unknown outcome, so closed connections leave the pool. An idle stream
        detects the closure only while a close callback is set.
        """
        self._idle.append(stream)
        stream.set_close_callback(lambda: self._remove_idle(stream))

    def _remove_idle(self, stream: IOStream) -> None:
        if stream in self._idle:
            self._idle.remove(stream)

    async def _exchange(
        self, stream: IOStream, request: _Request, on_arrival: Callable[[], None]
    ) -> HttpResponse:
        method, body = request.method, request.body
        request_headers = HTTPHeaders({"Host": self._address})
        if request.headers:
            request_headers.update(request.headers)
        if body:
            request_headers["Content-Type"] = "application/json"
        if body or method in ("POST", "PUT"):
            request_headers["Content-Length"] = str(len(body))
        connection = HTTP1Connection(stream, True, self._parameters)
        start = RequestStartLine(method, request.path, "HTTP/1.1")
        try:
            write_future = connection.write_headers(
                start, request_headers, body or None
            )
        except ValueError as error:
            # A text has a line break, or a character that Latin-1 lacks.
            raise HttpInvalidRequestError(
                f"{method} to {self._address} cannot be written: {error}"
            ) from None
        write_future.add_done_callback(
            lambda done: done.cancelled() or done.exception()
        )
        connection.finish()
        collector = _ResponseCollector(on_arrival)
        await connection.read_response(collector)
        if not collector.is_complete:
            raise StreamClosedError
        return HttpResponse(
            collector.status, b"".join(collector.chunks), collector.headers
        )

    async def _get_stream(self, deadline: float) -> IOStream:
        while self._idle:
            stream = self._idle.pop()
            stream.set_close_callback(None)
            if not stream.closed():
                return stream
        loop = asyncio.get_running_loop()
        connect_by = min(deadline, loop.time() + CONNECT_TIMEOUT_MS / 1000)
        try:
            async with asyncio.timeout_at(connect_by):
                stream = await TCPClient().connect(
                    self._host, self._port, af=socket.AF_INET
                )
            set_tcp_options(stream, UNACKNOWLEDGED_TIMEOUT_MS)
        except (TimeoutError, StreamClosedError, OSError) as error:
            raise HttpNotSentError(
                f"could not connect to {self._address}: {error!r}"
            ) from None
        return stream

    async def _acquire(self, deadline: float) -> None:
        if self._closed:
            raise HttpNotSentError(f"the connection pool of {self._address} is closed")
        if deadline <= asyncio.get_running_loop().time():
            raise HttpNotSentError(
                f"deadline passed before the request to {self._address}"
            )
        if self._running_count < self._max_connections:
            self._running_count += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            raise HttpNotSentError(
                f"no connection to {self._address} became free in time"
            ) from None
        self._running_count += 1

    def _wake_waiter(self) -> None:
        while self._waiters and self._running_count < self._max_connections:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
