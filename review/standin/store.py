"""Stand-in of the platform's metadata store, with the outages that cases need."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from standin.httpd import Request, Server

ANSWER_MS = 4.0
TX_MS = 8.0
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_TX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
ROW_BYTES = 65_536


def now_ms() -> int:
    """Return the stand-ins' steady clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


class Store:
    """Rows with versions.

    `silent` holds calls back unanswered and undone; `slowness` multiplies the time
    that each answer takes.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.version = 0
        self.silent = False
        self.slowness = 1.0
        self.rejected_rows: list[str] = []
        self._changed = asyncio.Event()
        self._back = asyncio.Event()
        self._parts: dict[str, asyncio.Lock] = {}
        self.server = Server(self._handle)

    # Operator and runners

    def put(self, key: str, document: Any, table: str = "op") -> None:
        """Write a row as the operator or a runner does."""
        self.version += 1
        self._write(table, "", key, json.dumps(document).encode())
        self._notify()

    def drop(self, key: str, table: str) -> None:
        """Remove a row."""
        if (table, "", key) in self.rows:
            self.version += 1
            self._write(table, "", key, None)
            self._notify()

    def go_silent(self) -> None:
        """Stop to answer calls."""
        self.silent = True
        self._back.clear()

    def come_back(self) -> None:
        """Answer calls again; those sent meanwhile are never answered."""
        self.silent = False
        self._back.set()

    def _write(self, table: str, part: str, key: str, value: bytes | None) -> None:
        row: dict[str, Any] = {"table": table, "part": part, "key": key}
        row["ver"] = self.version
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        self.rows[(table, part, key)] = row

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls

    async def _handle(self, request: Request) -> tuple[int, Any] | None:
        if self.silent:
            await self._back.wait()
            return None
        await asyncio.sleep(ANSWER_MS * self.slowness / 1000)
        if self.silent:
            await self._back.wait()
            return None
        answer: tuple[int, Any] | None = (404, None)
        if request.path == "/rows-tx":
            answer = await self._transact(request)
        elif request.path == "/rows-get":
            answer = self._get(request)
        elif request.path == "/rows-feed":
            answer = await self._feed(request)
        if self.silent:
            await self._back.wait()
            return None
        return answer

    async def _transact(self, request: Request) -> tuple[int, Any] | None:
        body = request.json()
        entries = [*body["expectRev"], *body["puts"], *body["remove"]]
        if len(entries) > MAX_TX_ENTRIES or len(request.body) > MAX_TX_BYTES:
            return 400, {}
        parts = {entry.get("part", "") for entry in entries}
        if len(parts) > 1 or any(e["table"] in ("op", "servers") for e in entries):
            return 400, {}
        values = [(_key(e), base64.b64decode(e["value"])) for e in body["puts"]]
        for key, value in values:
            if len(value) > ROW_BYTES:
                self.rejected_rows.append("/".join(key))
                return 400, {}
        part = next(iter(parts), "")
        async with self._parts.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_MS / 1000)
            if self.silent:
                await self._back.wait()
                return None
            for entry in body["expectRev"]:
                row = self.rows.get(_key(entry))
                found = 0 if row is None or row.get("deleted") else row["ver"]
                if found != entry["ver"]:
                    return 412, self._failed(body["expectRev"])
            self.version += 1
            for key, value in values:
                self._write(*key, value)
            for entry in body["remove"]:
                self._write(*_key(entry), None)
            version = self.version
            self._notify()
        return 200, {"ver": version, "nowMs": now_ms()}

    def _failed(self, checks: list[dict[str, Any]]) -> dict[str, Any]:
        rows = [self.rows.get(_key(entry)) for entry in checks]
        current = [row for row in rows if row is not None and not row.get("deleted")]
        return {"rows": current, "ver": self.version, "nowMs": now_ms()}

    def _get(self, request: Request) -> tuple[int, Any]:
        query = request.query
        first, last = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit") or MAX_PAGE_ROWS), MAX_PAGE_ROWS)
        rows: list[dict[str, Any]] = []
        size, more = 0, False
        for key in sorted(self.rows):
            row = self.rows[key]
            if key[:2] != (query["table"], query.get("part", "")) or key[2] < first:
                continue
            if row.get("deleted") or (last is not None and key[2] >= last):
                continue
            size += len(row["value"])
            if len(rows) >= limit or (rows and size > MAX_PAGE_BYTES):
                more = True
                break
            rows.append(row)
        document = {"rows": rows, "hasMore": more}
        return 200, {**document, "ver": self.version, "nowMs": now_ms()}

    async def _feed(self, request: Request) -> tuple[int, Any] | None:
        table, after = request.query["table"], int(request.query["after"])
        end_ms = now_ms() + min(int(request.query.get("waitMs", 0)), 30_000)
        while True:
            changed, version = self._changed, self.version
            rows = [
                row
                for key, row in self.rows.items()
                if key[0] == table and row["ver"] > after
            ]
            left_ms = end_ms - now_ms()
            if rows or left_ms <= 0 or self.silent:
                rows.sort(key=lambda row: row["ver"])
                document = {"rows": rows, "ver": version, "nowMs": now_ms()}
                return 200, document
            try:
                await asyncio.wait_for(changed.wait(), left_ms / 1000)
            except TimeoutError:
                continue
