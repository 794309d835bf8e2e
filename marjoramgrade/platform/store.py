"""HTTP client of the platform's metadata store, which holds rows."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from marjoramgrade import logs
from marjoramgrade.actor import Actor, handles
from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    HttpResponse,
    TransferLimits,
)
from marjoramgrade.controllers.transfers import Transfer, Transfers
from marjoramgrade.errors import (
    HistoryLostError,
    InvalidInputError,
    RowCheckFailedError,
    RowsRejectedError,
    TableError,
    TableProtocolError,
    TableRateLimitedError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.rows import (
    CommitRows,
    FetchPart,
    PageTransfer,
    ReadRows,
    RowId,
    RowsCommitted,
    RowsPage,
    StoredRow,
    WatchRows,
)
from marjoramgrade.platform.decoding import (
    get_flag,
    get_integer,
    get_list,
    get_text,
    reports_invalid,
    to_integer,
    to_object,
)

# A response usually takes 4 ms and a transaction 12 ms. A slow store takes about 70
# times as long and continues to process requests that have timed out here.
READ_TIMEOUT_MS = 1_200
COMMIT_TIMEOUT_MS = 2_000
# A response that has begun to arrive fails after this time without a byte.
READ_SILENCE_MS = 1_200
# Several pages of the largest size may share the slowest link.
MAX_TRANSFER_MS = 15_000
READ_LIMITS = TransferLimits(READ_SILENCE_MS, MAX_TRANSFER_MS)
# A response that is not complete this long after its first bytes is fetched in parts.
FIRST_BYTES_LEAD_MS = 30
# The store refuses a transaction with an invalid or oversized row with one of these.
_REJECTED_STATUSES = frozenset((400, 403, 413))
# Added to the wait time of a watch to get the timeout of its request.
WATCH_MARGIN_MS = 1_000


M = TypeVar("M", ReadRows, WatchRows)
Send = Callable[[M, Callable[[], None] | None], Awaitable[RowsPage]]


class StoreClient(Actor):
    """Owns the connections to the store.

    Args:
        address: IP address and port of the store.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self._pool = HttpPool(address, max_connections=12)
        self._newest_version = 0
        self._transfers = Transfers()

    async def on_stop(self) -> None:
        """Close the connections."""
        self._transfers.clear()
        self._pool.close()

    @handles(CommitRows)
    async def _commit(self, message: CommitRows) -> Any:
        return self.spawn(self._send_commit(message))

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> Any:
        return self._read_for_sender(message, self._send_read)

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> Any:
        return self._read_for_sender(message, self._send_watch)

    @handles(FetchPart)
    async def _fetch_part(self, message: FetchPart) -> Any:
        return self.spawn(self._transfers.fetch_part(message))

    def _read_for_sender(self, message: M, send: Send[M]) -> asyncio.Task[Any]:
        if not message.accepts_transfer:
            return self.spawn_for_sender(send(message, None))
        return self.spawn_for_sender(self._begin_transfer(message, send))

    async def _begin_transfer(
        self, message: M, send: Send[M]
    ) -> RowsPage | PageTransfer:
        """Return a short page, or a transfer once the response begins to arrive.

        Raises:
            TableError: If no response begins to arrive.
        """
        transfer = Transfer()
        page: asyncio.Future[RowsPage] = self.spawn(
            send(message, transfer.record_arrival)
        )
        transfer.receive(page)
        try:
            await transfer.has_begun.wait()
            await asyncio.wait((page,), timeout=FIRST_BYTES_LEAD_MS / 1000)
        except asyncio.CancelledError:
            page.cancel()
            raise
        if page.done() and len(transfer.parts) <= 1:
            return await page
        return self._transfers.add(transfer)

    async def _send_commit(self, message: CommitRows) -> RowsCommitted:
        body = msgspec.json.encode(
            {
                "expectRev": [
                    {**_encode_row_id(check.row), "ver": check.version}
                    for check in message.checks
                ],
                "puts": [
                    {
                        **_encode_row_id(write.row),
                        "value": base64.b64encode(write.value).decode(),
                    }
                    for write in message.writes
                    if not write.remove
                ],
                "remove": [
                    _encode_row_id(write.row)
                    for write in message.writes
                    if write.remove
                ],
            }
        )
        answer = await self._call("POST", "/rows-tx", body, COMMIT_TIMEOUT_MS)
        try:
            document = _decode_object(answer, "POST")
            if answer.status == 412:
                raise RowCheckFailedError("a row has changed", _parse_rows(document))
            committed = RowsCommitted(_get_version(document))
        except TableProtocolError as error:
            raise WriteOutcomeUnknownError(error.message) from None
        self._newest_version = max(self._newest_version, committed.version)
        return committed

    async def _send_read(
        self, message: ReadRows, on_arrival: Callable[[], None] | None
    ) -> RowsPage:
        query = {"table": message.table, "part": message.part, "limit": message.limit}
        if message.first:
            query["from"] = message.first
        path = f"/rows-get?{urlencode(query)}"
        timeout_ms = message.timeout_ms or READ_TIMEOUT_MS
        known_version = self._newest_version
        answer = await self._get(path, timeout_ms, on_arrival)
        page = _parse_page(_decode_object(answer))
        self._record_version(message.table, page.version, known_version)
        return page

    def _record_version(self, table: str, version: int, known_version: int) -> None:
        """Record the version of a response; log it if it was known to be outdated."""
        self._newest_version = max(self._newest_version, version)
        if version < known_version:
            logs.log_event(
                "stale_read", table=table, version=version, known=known_version
            )

    async def _send_watch(
        self, message: WatchRows, on_arrival: Callable[[], None] | None
    ) -> RowsPage:
        query = {
            "table": message.table,
            "after": message.after,
            "waitMs": message.wait_ms,
        }
        path = f"/rows-feed?{urlencode(query)}"
        known_version = self._newest_version
        answer = await self._get(path, message.wait_ms + WATCH_MARGIN_MS, on_arrival)
        if answer.status == 410:
            raise HistoryLostError(
                f"the store no longer has the changes after version {message.after}"
            )
        page = _parse_page(_decode_object(answer))
        self._record_version(message.table, page.version, known_version)
        return page

    async def _get(
        self, path: str, timeout_ms: int, on_arrival: Callable[[], None] | None
    ) -> HttpResponse:
        return await self._call("GET", path, b"", timeout_ms, READ_LIMITS, on_arrival)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
        limits: TransferLimits | None = None,
        on_arrival: Callable[[], None] | None = None,
    ) -> HttpResponse:
        try:
            answer = await self._pool.request(
                method,
                path,
                body=body,
                timeout_ms=timeout_ms,
                limits=limits,
                on_arrival=on_arrival,
            )
        except HttpNotSentError as error:
            raise TableUnavailableError(error.message) from None
        except HttpNoResponseError as error:
            raise _failed_call_error(method, error.message) from None
        if answer.status == 429:
            raise TableRateLimitedError("the store responded with status 429")
        if answer.status in (503, 507):
            raise TableUnavailableError(
                f"the store responded with status {answer.status}"
            )
        if answer.status in (200, 410, 412):
            return answer
        if answer.status >= 500:
            raise _failed_call_error(
                method, f"the store responded with status {answer.status}"
            )
        reason = (
            f"the store responded with status {answer.status} to {method} {path[:80]}: "
            f"{answer.body[:200]!r}"
        )
        if method == "GET":
            raise TableProtocolError(reason)
        if answer.status in _REJECTED_STATUSES:
            raise RowsRejectedError(reason)
        raise WriteOutcomeUnknownError(reason)


def _encode_row_id(row: RowId) -> dict[str, Any]:
    return {"table": row.table, "part": row.part, "key": row.key}


def _failed_call_error(method: str, reason: str) -> TableError:
    """Return the error for a call without a usable response.

    A failed read changed nothing; a write may still have been applied.
    """
    if method == "GET":
        return TableUnavailableError(reason)
    return WriteOutcomeUnknownError(reason)


def _decode_object(answer: HttpResponse, method: str = "GET") -> dict[str, Any]:
    try:
        document = msgspec.json.decode(answer.body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _failed_call_error(
            method, f"the store's response is not JSON: {error}"
        ) from None
    if not isinstance(document, dict):
        raise _failed_call_error(method, "the store's response is not a JSON object")
    return document


def _get_version(document: dict[str, Any]) -> int:
    """Return the version of the store in a response.

    Raises:
        TableProtocolError: If it has none.
    """
    try:
        return to_integer(document["ver"], "ver")
    except (KeyError, InvalidInputError):
        raise TableProtocolError(
            "ver in the store's response is not an integer"
        ) from None


def _parse_rows(document: dict[str, Any]) -> tuple[StoredRow, ...]:
    """Decode the rows of a response, leaving out each one that cannot be decoded.

    Raises:
        TableProtocolError: If the response has something else in place of rows.
    """
    try:
        entries = get_list(document, "rows")
    except InvalidInputError as error:
        raise TableProtocolError(f"the store's response: {error.message}") from None
    rows = []
    for entry in entries:
        try:
            rows.append(_parse_row(entry))
        except InvalidInputError as error:
            logs.log_event("store_row_unreadable", reason=error.message)
    return tuple(rows)


def _parse_row(entry: Any) -> StoredRow:
    with reports_invalid("a row of the store"):
        fields = to_object(entry, "row")
        row = RowId(
            get_text(fields, "table", required=True),
            get_text(fields, "part"),
            get_text(fields, "key", required=True),
        )
        is_deleted = get_flag(fields, "deleted")
        value = b"" if is_deleted else _parse_value(fields.get("value"))
        return StoredRow(row, value, get_integer(fields, "ver"), is_deleted)


def _parse_value(value: Any) -> bytes:
    if value is not None and not isinstance(value, str):
        raise InvalidInputError("value is not a text")
    return base64.b64decode(value or "", validate=True)


def _parse_page(document: dict[str, Any]) -> RowsPage:
    return RowsPage(
        _parse_rows(document),
        _get_version(document),
        bool(document.get("hasMore")),
    )
