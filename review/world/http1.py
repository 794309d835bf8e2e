"""A small HTTP/1.1 server and client on asyncio streams, for loopback only."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

HOST = "127.0.0.1"


class NoAnswerError(Exception):
    """The handler sends no response and closes the connection."""


class SilentError(Exception):
    """The connection delivers nothing further, but stays open."""


class Request:
    """One request as a server has read it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object."""
        document = json.loads(self.body)
        assert isinstance(document, dict)
        return document


Handler = Callable[[Request], Awaitable[tuple[int, dict[str, Any]]]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read one message; return its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """Serves one address until it is closed; `close` resets open connections."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def listen(self, port: int = 0) -> int:
        """Listen on a port, or on a free one; return it."""
        self._server = await asyncio.start_server(
            self._serve, HOST, port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                status, answer = await self._handler(
                    Request(method, target, headers, body)
                )
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except SilentError:
            with contextlib.suppress(OSError):
                while await reader.read(65_536):
                    pass
        except (NoAnswerError, OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Connection:
    """A client's connection, kept open between its requests."""

    def __init__(self, port: int, host: str = HOST) -> None:
        self._address = (host, port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect, unless the connection is open."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self._address)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: Any = None
    ) -> None:
        """Send a request without reading its response."""
        await self.open()
        assert self._writer is not None
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await self._writer.drain()

    async def receive(self, timeout_s: float) -> tuple[int, Any]:
        """Return status and body of the next response; status 0 if there is none."""
        try:
            assert self._reader is not None
            async with asyncio.timeout(timeout_s):
                first, headers, body = await read_message(self._reader)
        except (TimeoutError, OSError, EOFError, asyncio.IncompleteReadError):
            self.close()
            return 0, None
        if headers.get("connection", "").lower() == "close":
            self.close()
        document = None
        with contextlib.suppress(ValueError):
            document = json.loads(body)
        return int(first.split(" ")[1]), document
