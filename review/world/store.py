"""Stand-in of the platform's metadata store: rows, transactions and feeds.

Each instance of the system has a port of its own, so that a case can take the store
away from one of them.
"""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Any
from urllib.parse import parse_qs

from .http1 import Request, Server, SilentError

READ_S = 0.004
TRANSACTION_S = 0.008
PAGE_ROWS = 500
MAX_ENTRIES = 100
MAX_BYTES = 1_000_000
ROW_BYTES = 65_536

RowKey = tuple[str, str, str]


class Store:
    """The rows, and the disruptions in force.

    Attributes:
        slow_factor: All calls take this many times their usual duration.
        silent_ports: Calls at these ports get no response.
        swallowed: Port and table of each call that got no response.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, dict[str, Any]] = {}
        self.version = 0
        self.slow_factor = 1.0
        self.silent_ports: set[int] = set()
        self.swallowed: list[tuple[int, str]] = []
        self._changed = asyncio.Event()
        self._servers: list[Server] = []
        self._lock = asyncio.Lock()

    async def open_port(self) -> int:
        """Listen on a further free port and return it."""
        port = 0

        async def handle(request: Request) -> tuple[int, dict[str, Any]]:
            return await self._handle(request, port)

        server = Server(handle)
        port = await server.listen()
        self._servers.append(server)
        return port

    async def close(self) -> None:
        """Close all ports."""
        for server in self._servers:
            await server.close()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row of the operator or of a runner."""
        self.version += 1
        self._write((table, "", key), value)
        self._notify()

    def value_of(self, table: str, part: str, key: str) -> bytes | None:
        """Return the value of a row, or None if there is none."""
        row = self.rows.get((table, part, key))
        if row is None or row.get("deleted"):
            return None
        return base64.b64decode(row["value"])

    def _write(self, key: RowKey, value: bytes | None) -> None:
        table, part, name = key
        row: dict[str, Any] = {
            "table": table,
            "part": part,
            "key": name,
            "ver": self.version,
        }
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        self.rows[key] = row

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _check_silence(self, table: str, port: int) -> None:
        """Give no response while a disruption hides the store from the caller.

        A connection on which a response is lost delivers nothing further.
        """
        if port in self.silent_ports:
            self.swallowed.append((port, table))
            raise SilentError

    async def _handle(self, request: Request, port: int) -> tuple[int, dict[str, Any]]:
        if request.path == "/rows-tx":
            self._check_silence("", port)
            return await self._commit(request)
        query = {name: texts[0] for name, texts in parse_qs(request.query).items()}
        table = query.get("table", "")
        self._check_silence(table, port)
        if request.path == "/rows-get":
            status, body = await self._read(query)
        elif request.path == "/rows-feed":
            status, body = await self._feed(query)
        else:
            return 404, {}
        self._check_silence(table, port)
        return status, body

    def _stamp(self, **body: Any) -> dict[str, Any]:
        now_ms = time.monotonic_ns() // 1_000_000
        return {"ver": self.version, "nowMs": now_ms, **body}

    async def _read(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(READ_S * self.slow_factor)
        wanted = (query["table"], query.get("part", ""))
        first, until = query.get("from", ""), query.get("target", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        found = [
            row
            for key, row in sorted(self.rows.items())
            if key[:2] == wanted
            and key[2] >= first
            and (not until or key[2] < until)
            and not row.get("deleted")
        ]
        page: list[dict[str, Any]] = []
        size = 0
        for row in found[:limit]:
            size += len(row["value"])
            if page and size > MAX_BYTES:
                break
            page.append(row)
        return 200, self._stamp(rows=page, hasMore=len(page) < len(found))

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(READ_S * self.slow_factor)
        table, after = query["table"], int(query["after"])
        end_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self._changed
            rows = [
                row
                for key, row in self.rows.items()
                if key[0] == table and row["ver"] > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: int(row["ver"]))
                return 200, self._stamp(rows=rows)
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _commit(self, request: Request) -> tuple[int, dict[str, Any]]:
        body = request.json()
        checks, puts, removes = (
            body.get("expectRev") or [],
            body.get("puts") or [],
            body.get("remove") or [],
        )
        entries = [*checks, *puts, *removes]
        if len(entries) > MAX_ENTRIES or len(request.body) > MAX_BYTES:
            return 413, {}
        if len({entry.get("part", "") for entry in entries}) > 1:
            return 400, {}
        values = [base64.b64decode(entry.get("value", "")) for entry in puts]
        if any(len(value) > ROW_BYTES for value in values):
            return 413, {}
        if any(entry["table"] in ("op", "servers") for entry in (*puts, *removes)):
            return 403, {}
        async with self._lock:
            await asyncio.sleep(TRANSACTION_S * self.slow_factor)
            return self._apply(checks, puts, values, removes)

    def _apply(
        self,
        checks: list[dict[str, Any]],
        puts: list[dict[str, Any]],
        values: list[bytes],
        removes: list[dict[str, Any]],
    ) -> tuple[int, dict[str, Any]]:
        current = [self.rows.get(_key(entry)) for entry in checks]
        present = [row for row in current if row and not row.get("deleted")]
        for entry, row in zip(checks, current, strict=True):
            version = row["ver"] if row and not row.get("deleted") else 0
            if version != entry["ver"]:
                return 412, self._stamp(rows=present)
        self.version += 1
        for entry, value in zip(puts, values, strict=True):
            self._write(_key(entry), value)
        for entry in removes:
            self._write(_key(entry), None)
        self._notify()
        return 200, self._stamp()


def _key(entry: dict[str, Any]) -> RowKey:
    return (entry["table"], entry.get("part", ""), entry["key"])
