"""A store behind a link with a rate, which all connections share."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import re
from urllib.parse import parse_qsl, urlsplit

CHUNK_BYTES = 4_096
OPERATOR_TABLE = "op"


class Direction:
    """One direction of a link with a rate in Mbit/s."""

    def __init__(self, rate_mbit_s):
        self.rate_mbit_s = rate_mbit_s
        self.free_s = 0.0

    async def carry(self, size):
        """Wait until the link has carried some bytes, after those of others."""
        now_s = asyncio.get_running_loop().time()
        took_s = size * 8 / (self.rate_mbit_s * 1e6)
        self.free_s = max(self.free_s, now_s) + took_s
        await asyncio.sleep(self.free_s - now_s)


class SlowLinkStore:
    """Serves one row of configuration to reads and watches, and accepts writes.

    Args:
        rate_mbit_s: Rate of the link in each direction, in Mbit/s.
        silent_after: Numbers of the requests, by the bytes after which their responses
            go silent.

    Attributes:
        requests: Number of requests so far.
        sent: Bytes sent so far.
        received: Bytes of writes received so far.
        silenced: Number of responses that have gone silent.
        waiting: Number of watches that wait for a change.
        address: IP address and port while it runs.
    """

    def __init__(self, rate_mbit_s, silent_after=None):
        self.silent_after = silent_after or {}
        self.requests = 0
        self.sent = 0
        self.received = 0
        self.silenced = 0
        self.waiting = 0
        self.address = ""
        self._version = 1
        self._value = b"{}"
        self._changed = asyncio.Event()
        self._down = Direction(rate_mbit_s)
        self._up = Direction(rate_mbit_s)
        self._writers = set()

    def change(self, value):
        """Write a new configuration."""
        self._version += 1
        self._value = value
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @contextlib.asynccontextmanager
    async def running(self):
        """Listen on a free port while the context is open."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.close()
            for writer in list(self._writers):
                writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                number = self.requests
                path, query = urlsplit(head.split()[1].decode())[2:4]
                if path == "/rows-tx":
                    await self._receive(reader, head)
                    self._version += 1
                    document = {"ver": self._version}
                else:
                    document = await self._answer(path, dict(parse_qsl(query)))
                await self._send(writer, document, self.silent_after.get(number))
        self._writers.discard(writer)
        writer.close()

    async def _receive(self, reader, head):
        rest = int(re.search(rb"Content-Length: (\d+)", head)[1])
        while rest:
            chunk = await reader.readexactly(min(rest, CHUNK_BYTES))
            rest -= len(chunk)
            self.received += len(chunk)
            await self._up.carry(len(chunk))

    async def _answer(self, path, asked):
        rows = []
        if path == "/rows-get":
            rows = self._rows() if asked["table"] == OPERATOR_TABLE else []
        elif asked["table"] == OPERATOR_TABLE:
            if self._version <= int(asked["after"]):
                self.waiting += 1
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(asked["waitMs"]) / 1000):
                        await self._changed.wait()
                self.waiting -= 1
            rows = self._rows() if self._version > int(asked["after"]) else []
        return {"ver": self._version, "hasMore": False, "rows": rows}

    def _rows(self):
        value = base64.b64encode(self._value).decode()
        row = {"table": OPERATOR_TABLE, "part": "", "key": "config"}
        return [{**row, "value": value, "ver": self._version}]

    async def _send(self, writer, document, silent_after):
        body = json.dumps(document).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        for begin in range(0, len(data), CHUNK_BYTES):
            if silent_after is not None and begin >= silent_after:
                self.silenced += 1
                await asyncio.sleep(3_600)
            chunk = data[begin : begin + CHUNK_BYTES]
            await self._down.carry(len(chunk))
            if writer.is_closing():
                raise ConnectionResetError
            writer.write(chunk)
            self.sent += len(chunk)
            await writer.drain()
