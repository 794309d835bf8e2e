"""A relay between entry instances and the platform that counts bytes.

An entry instance opens a short connection to the platform for each request, so
the kernel's counters of the connection disappear before they can be read.
"""

from __future__ import annotations

import asyncio
import re
from collections import Counter

import attrs

_CHUNK = 1 << 16
_PREFIX = re.compile(rb"[?&](?:prefix|key)=([a-z]*)")
_INSTANCE = re.compile(rb"\r\nInstance: ([^\r]*)\r\n", re.IGNORECASE)


@attrs.define
class Relay:
    """Forwards connections to the platform and counts them and their bytes.

    Attributes:
        host: IP address of the relay and of the platform.
        platform_port: Port of the platform.
        port: Port that the relay listens on; 0 before the start.
        bytes_by_kind: Bytes sent and received by (instance, kind of request).
        requests_by_kind: Connections by (instance, kind of request).
    """

    host: str
    platform_port: int
    port: int = 0
    bytes_by_kind: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    requests_by_kind: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.read(_CHUNK)
            kind = classify(head)
            self.requests_by_kind[kind] += 1
            self.bytes_by_kind[kind] += len(head)
            upstream = await asyncio.open_connection(self.host, self.platform_port)
            upstream[1].write(head)
            await asyncio.gather(
                self._forward(reader, upstream[1], kind),
                self._forward(upstream[0], writer, kind),
            )
        except (OSError, asyncio.CancelledError):
            # The instance or the measurement has ended.
            return
        finally:
            writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kind: tuple[str, str],
    ) -> None:
        try:
            while data := await reader.read(_CHUNK):
                self.bytes_by_kind[kind] += len(data)
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


def classify(head: bytes) -> tuple[str, str]:
    """Return the instance that sent a request and the kind of the request."""
    found = _INSTANCE.search(head)
    instance = found.group(1).decode() if found else ""
    path = head.split(b" ", 2)[1] if head.count(b" ") > 1 else b""
    if b"/v1/instances" in path:
        return instance, "instances"
    prefix = _PREFIX.search(path)
    if prefix is not None:
        return instance, prefix.group(1).decode()
    return instance, "transaction" if b"/v1/transaction" in path else "other"
