"""The platform's metadata store: rows over HTTP."""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import urlencode

import msgspec

from marjoramgrade.actor import Actor, handles
from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    HttpResponse,
)
from marjoramgrade.errors import (
    HistoryLostError,
    InvalidInputError,
    ProtocolError,
    RowCheckFailedError,
    TableError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.rows import (
    CommitRows,
    ReadRows,
    RowId,
    RowsCommitted,
    RowsPage,
    StoredRow,
    WatchRows,
)

# Answers usually take 4 ms and transactions 12 ms; a slow store takes some seventy
# times as long, and what was given up on still takes its time there.
READ_TIMEOUT_MS = 1_200
COMMIT_TIMEOUT_MS = 2_000
# Beyond the time that a watch asked to wait.
WATCH_MARGIN_MS = 1_000


class StoreClient(Actor):
    """Owns the connections to the store.

    Args:
        address: IP number and port of the store.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self._pool = HttpPool(address, max_connections=12)

    async def on_stop(self) -> None:
        """Close the connections."""
        self._pool.close()

    @handles(CommitRows)
    async def _commit(self, message: CommitRows) -> Any:
        return self.spawn(self._send_commit(message))

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> Any:
        return self.spawn(self._send_read(message))

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> Any:
        return self.spawn(self._send_watch(message))

    async def _send_commit(self, message: CommitRows) -> RowsCommitted:
        body = msgspec.json.encode(
            {
                "expectRev": [
                    {**_row_document(check.row), "ver": check.version}
                    for check in message.checks
                ],
                "puts": [
                    {
                        **_row_document(write.row),
                        "value": base64.b64encode(write.value).decode(),
                    }
                    for write in message.writes
                    if not write.remove
                ],
                "remove": [
                    _row_document(write.row) for write in message.writes if write.remove
                ],
            }
        )
        answer = await self._call("POST", "/rows-tx", body, COMMIT_TIMEOUT_MS)
        document = _document(answer, "POST")
        if answer.status == 412:
            raise RowCheckFailedError("a row has changed", _rows(document))
        return RowsCommitted(_integer(document, "ver"))

    async def _send_read(self, message: ReadRows) -> RowsPage:
        query = {"table": message.table, "part": message.part, "limit": message.limit}
        if message.first:
            query["from"] = message.first
        path = f"/rows-get?{urlencode(query)}"
        timeout_ms = message.timeout_ms or READ_TIMEOUT_MS
        return _page(_document(await self._call("GET", path, b"", timeout_ms)))

    async def _send_watch(self, message: WatchRows) -> RowsPage:
        query = {
            "table": message.table,
            "after": message.after,
            "waitMs": message.wait_ms,
        }
        path = f"/rows-feed?{urlencode(query)}"
        answer = await self._call("GET", path, b"", message.wait_ms + WATCH_MARGIN_MS)
        if answer.status == 410:
            raise HistoryLostError(f"changes after {message.after} are gone")
        return _page(_document(answer))

    async def _call(
        self, method: str, path: str, body: bytes, timeout_ms: int
    ) -> HttpResponse:
        try:
            answer = await self._pool.request(
                method, path, body=body, timeout_ms=timeout_ms
            )
        except HttpNotSentError as error:
            raise TableUnavailableError(error.message) from None
        except HttpNoResponseError as error:
            raise _unanswered(method, error.message) from None
        if answer.status in (429, 503, 507):
            raise TableUnavailableError(f"the store answered {answer.status}")
        if answer.status in (200, 410, 412):
            return answer
        if answer.status >= 500:
            raise _unanswered(method, f"the store answered {answer.status}")
        raise ProtocolError(
            f"the store answered {answer.status} to {method} {path[:80]}: "
            f"{answer.body[:200]!r}"
        )


def _row_document(row: RowId) -> dict[str, Any]:
    return {"table": row.table, "part": row.part, "key": row.key}


def _unanswered(method: str, reason: str) -> TableError:
    """Return the failure of a call that brought no usable answer."""
    if method == "GET":
        return TableUnavailableError(reason)
    return WriteOutcomeUnknownError(reason)


def _document(answer: HttpResponse, method: str = "GET") -> dict[str, Any]:
    try:
        document = msgspec.json.decode(answer.body)
    except msgspec.DecodeError as error:
        raise _unanswered(method, f"the answer is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise _unanswered(method, "the answer is not an object")
    return document


def _integer(document: dict[str, Any], name: str) -> int:
    value = document.get(name)
    if type(value) is not int:
        raise ProtocolError(f"{name} in the store's answer is not an integer")
    return value


def _rows(document: dict[str, Any]) -> tuple[StoredRow, ...]:
    rows = []
    for entry in document.get("rows") or ():
        try:
            rows.append(_row(entry))
        except (KeyError, TypeError, ValueError) as error:
            raise InvalidInputError(f"a row of the store: {error!r}") from None
    return tuple(rows)


def _row(entry: dict[str, Any]) -> StoredRow:
    row = RowId(entry["table"], entry.get("part") or "", entry["key"])
    is_deleted = bool(entry.get("deleted"))
    value = b"" if is_deleted else base64.b64decode(entry.get("value") or "")
    return StoredRow(row, value, int(entry.get("ver") or 0), is_deleted)


def _page(document: dict[str, Any]) -> RowsPage:
    return RowsPage(
        _rows(document), _integer(document, "ver"), bool(document.get("hasMore"))
    )
