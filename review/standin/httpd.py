"""A small HTTP/1.1 server and client on asyncio, without other libraries."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
REASON_BY_STATUS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Failed"}


class Request:
    """A request that a server has read in full."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


# A handler returns the status and the document to respond with, or None to close the
# connection without a response.
Handler = Callable[[Request], Awaitable[tuple[int, Any] | None]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Serves one address; `close` also ends its open connections."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int) -> None:
        """Start to listen on a port of the loopback address."""
        self._server = await asyncio.start_server(
            self._serve, HOST, port, limit=1 << 20, backlog=512
        )

    async def close(self) -> None:
        """Stop to listen and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                start, headers = await _read_head(reader)
                method, target, _ = start.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self._handler(Request(method, target, headers, body))
                if answer is None:
                    return
                status, document = answer
                data = b"" if document is None else json.dumps(document).encode()
                reason = REASON_BY_STATUS.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Send one request on a new connection.

    Returns:
        The status, 0 if there was no complete response, and the decoded body.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
    fields = {"Host": address, **(headers or {})}
    if body is not None:
        fields["Content-Type"] = "application/json"
    if data or method == "POST":
        fields["Content-Length"] = str(len(data))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            start, found = await _read_head(reader)
            content = await reader.readexactly(int(found.get("content-length", 0)))
            return int(start.split(" ")[1]), json.loads(content) if content else None
    except (OSError, EOFError, ValueError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
