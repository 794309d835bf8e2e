"""HTTP requests to an entry instance; every failure is raised as a typed error."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncGenerator, Mapping
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.queues import Queue
from tornado.simple_httpclient import HTTPTimeoutError

from marjoramgrade import jsontext
from marjoramgrade.errors import (
    BackendFailedError,
    InvalidInputError,
    MarjoramgradeError,
    OutcomeUnknownError,
    OversizedInputError,
    ProtocolError,
    Ran,
    from_code,
)

CONNECT_TIMEOUT_MS = 2_000
# Longer than the server's default deadline of 10 s, since the server still responds
# after its deadline.
REQUEST_TIMEOUT_MS = 12_000
MAX_CLIENTS = 100
MAX_LINE_BYTES = 2 * 1_048_576
MAX_ERROR_BYTES = 65_536
# Chunks buffered for a slow reader; further chunks are not read from the connection
# until the buffer has space.
MAX_BUFFERED_CHUNKS = 4

# Tornado's error text for a timeout after the connection was established.
_REQUEST_TIMEOUT_TEXT = "Timeout during request"


class ServerUnreachableError(MarjoramgradeError):
    """No entry instance could be reached; nothing has changed."""

    code = "server_unreachable"


@attrs.frozen
class Response:
    """The response to a successful request.

    Attributes:
        status: HTTP status.
        headers: HTTP headers.
        body: The complete body.
    """

    status: int
    headers: HTTPHeaders
    body: bytes

    def document(self) -> Any:
        """Return the JSON value in the body.

        Raises:
            ProtocolError: If the body is not JSON.
        """
        try:
            return jsontext.parse_text(self.body, path="answer")
        except InvalidInputError as error:
            raise ProtocolError(error.message) from None

    def version(self) -> int:
        """Return the version in the `ETag` header.

        Raises:
            ProtocolError: If the header is missing or invalid.
        """
        tag = self.headers.get("ETag", "").removeprefix("W/").strip('"')
        if not (tag.isascii() and tag.isdigit() and len(tag) < 20):
            raise ProtocolError("the response has no version")
        return int(tag)


class Transport:
    """Sends requests to one address.

    Args:
        base_url: `http://HOST:PORT` of an entry instance or a load balancer.
        secret: Secret of the client's key; empty to send no key.
    """

    def __init__(self, base_url: str, secret: str = "") -> None:
        self._base_url = base_url.rstrip("/")
        self._secret = secret
        self._http = AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()

    async def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_ms: int = REQUEST_TIMEOUT_MS,
    ) -> Response:
        """Send a request once, without retries.

        Raises:
            ServerUnreachableError: If the request was not sent or cannot have changed
                anything.
            OutcomeUnknownError: If the response to a change was lost.
            MarjoramgradeError: The error that the server reported.
        """
        request = self._make_request(method, path, headers, timeout_ms)
        request.body = body  # type: ignore[assignment]
        try:
            response = await self._http.fetch(request, raise_error=False)
        except Exception as error:
            raise _transport_error(method, error) from error
        if response.code >= 400:
            ran = response.headers.get("Ran", "")
            raise parse_error(method, response.code, response.body, ran)
        return Response(response.code, response.headers, response.body)

    async def iter_lines(
        self, path: str, connection_lifetime_ms: int
    ) -> AsyncGenerator[bytes]:
        """Yield the lines of a streamed response until it ends.

        Args:
            path: Path of the URL, with the query.
            connection_lifetime_ms: Time after which the connection is closed. It also
                bounds how long a dead connection stays undetected.

        Raises:
            ServerUnreachableError: If the connection broke or was refused.
            MarjoramgradeError: The error that the server reported.
        """
        stream = _LineStream()
        request = self._make_request("GET", path, None, connection_lifetime_ms)
        request.header_callback = stream.on_header
        request.streaming_callback = stream.on_chunk
        fetch = asyncio.ensure_future(stream.fetch(self._http, request))
        try:
            async for line in stream.iter_lines():
                yield line
            response = await fetch
        finally:
            stream.close()
            fetch.cancel()
            with contextlib.suppress(asyncio.CancelledError, MarjoramgradeError):
                await fetch
        if response is not None and response.code >= 400:
            raise parse_error("GET", response.code, stream.error_body)

    def _make_request(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None,
        timeout_ms: int,
    ) -> HTTPRequest:
        sent_headers = HTTPHeaders(dict(headers or {}))
        if self._secret:
            sent_headers["Authorization"] = f"Bearer {self._secret}"
        return HTTPRequest(
            self._base_url + path,
            method=method,
            headers=sent_headers,
            connect_timeout=CONNECT_TIMEOUT_MS / 1000,
            request_timeout=timeout_ms / 1000,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
        )


class _LineStream:
    """Buffers the chunks of one response between the connection and its reader.

    Attributes:
        error_body: Body of an error response, up to `MAX_ERROR_BYTES`.
    """

    def __init__(self) -> None:
        self._chunks: Queue[bytes | None] = Queue(maxsize=MAX_BUFFERED_CHUNKS)
        self._status = 0
        self._closed = False
        self.error_body = b""

    async def fetch(
        self, http: AsyncHTTPClient, request: HTTPRequest
    ) -> HTTPResponse | None:
        """Return the response, or None if the connection's lifetime ended first."""
        try:
            return await _shield(http.fetch(request, raise_error=False))
        except Exception as error:
            if (
                isinstance(error, HTTPTimeoutError)
                and str(error) == _REQUEST_TIMEOUT_TEXT
            ):
                return None
            raise _transport_error("GET", error) from error
        finally:
            if not self._closed:
                await self._chunks.put(None)

    def on_header(self, line: str) -> None:
        """Record the status, which tells whether the body holds lines or an error."""
        if line.startswith("HTTP/"):
            self._status = int(line.split()[1])

    async def on_chunk(self, chunk: bytes) -> None:
        """Store a chunk; wait while the buffer is full."""
        if self._closed:
            raise ProtocolError("the reader of the response has stopped")
        if self._status >= 400:
            self.error_body = (self.error_body + chunk)[:MAX_ERROR_BYTES]
        else:
            await self._chunks.put(chunk)

    async def iter_lines(self) -> AsyncGenerator[bytes]:
        """Yield complete lines; an incomplete last line is discarded."""
        rest = b""
        while (chunk := await self._chunks.get()) is not None:
            *lines, rest = (rest + chunk).split(b"\n")
            if len(rest) > MAX_LINE_BYTES:
                raise OversizedInputError("a line of the response is too long")
            for line in lines:
                yield line

    def close(self) -> None:
        """Discard the buffered chunks; the next chunk ends the connection."""
        self._closed = True
        while not self._chunks.empty():
            self._chunks.get_nowait()


async def _shield(answer: asyncio.Future[HTTPResponse]) -> HTTPResponse:
    """Wait for a response; a cancelled wait logs no error.

    Tornado logs an error if its future is cancelled before the connection ends,
    and asyncio logs an error if the exception of a future is never retrieved.
    """
    answer.add_done_callback(lambda done: done.cancelled() or done.exception())
    return await asyncio.shield(answer)


def _transport_error(method: str, error: Exception) -> MarjoramgradeError:
    reason = str(error) or type(error).__name__
    refused = isinstance(error, ConnectionRefusedError | socket.gaierror)
    unsent = isinstance(error, HTTPTimeoutError) and reason != _REQUEST_TIMEOUT_TEXT
    if method == "GET" or refused or unsent:
        return ServerUnreachableError(f"the server cannot be reached: {reason}")
    return OutcomeUnknownError(f"the response was lost: {reason}")


def parse_error(
    method: str, status: int, body: bytes, ran: str = ""
) -> MarjoramgradeError:
    """Return the typed error in the body of a response.

    A response without a typed error comes from a backend server if the entry
    instance reports that the work ran. Otherwise it comes from an intermediary,
    which does not report whether a change took effect.

    Args:
        method: HTTP method of the request.
        status: HTTP status of the response.
        body: Body of the response, or its first `MAX_ERROR_BYTES`.
        ran: Value of the response's `Ran` header; empty if it is missing.
    """
    try:
        document = jsontext.parse_text(body, max_bytes=MAX_ERROR_BYTES)
        report = document["error"]
        details = {str(k): str(v) for k, v in report.get("details", {}).items()}
        error = from_code(str(report["code"]), str(report["message"]), details)
        error.ran = Ran(report.get("ran", "unknown"))
        return error
    except (InvalidInputError, KeyError, TypeError, AttributeError, ValueError):
        pass
    if ran == Ran.YES.value:
        return BackendFailedError(
            f"the backend server responded with status {status}", status=str(status)
        )
    if method != "GET" and status >= 500:
        return OutcomeUnknownError(f"the response has status {status} and no reason")
    if status >= 500:
        return ServerUnreachableError(f"the response has status {status}")
    return ProtocolError(f"the response has status {status} and no typed error")
