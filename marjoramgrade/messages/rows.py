"""Messages that read and write rows of the platform's store."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.messages.workkinds import reads

ABSENT = 0


@attrs.frozen
class RowId:
    """Identifies a row.

    Attributes:
        table: Its table.
        part: Its partition, which can span tables; a transaction covers only one.
        key: Its key.
    """

    table: str
    part: str
    key: str


@attrs.frozen
class StoredRow:
    """A row as read from the store.

    Attributes:
        row: Its id.
        value: Its content; empty if the row was deleted.
        version: Version of the transaction that wrote it.
        deleted: Whether the row was deleted.
    """

    row: RowId
    value: bytes
    version: int
    deleted: bool = False


@attrs.frozen
class RowCheck:
    """The version that a row must have; `ABSENT` if the row must not exist."""

    row: RowId
    version: int


@attrs.frozen
class RowWrite:
    """New content of a row, or its deletion."""

    row: RowId
    value: bytes = b""
    remove: bool = False


@attrs.frozen
class RowsCommitted:
    """The reply to a transaction; all written rows have this version."""

    version: int


@attrs.frozen
class CommitRows(Message[RowsCommitted]):
    """Applies all writes if every check holds; all rows must be in one part."""

    checks: tuple[RowCheck, ...]
    writes: tuple[RowWrite, ...]


@attrs.frozen
class RowsPage:
    """Rows as of one point in time.

    Attributes:
        rows: The rows.
        version: Newest version of the store when it responded.
        more: Whether the range has further rows.
    """

    rows: tuple[StoredRow, ...]
    version: int
    more: bool = False


@attrs.frozen
class PageTransfer:
    """The reply to a read whose response is still arriving, or has several parts.

    Attributes:
        transfer_id: Names the response to whoever replies.
    """

    transfer_id: int


@reads
@attrs.frozen
class ReadRows(Message[RowsPage]):
    """Reads rows of one part in the order of their keys.

    Attributes:
        table: The table.
        part: The part.
        first: Key to start from, or empty.
        limit: Maximum number of rows to return.
        timeout_ms: How long to wait for the store; 0 for the default.
        accepts_transfer: Whether the reply may be a `PageTransfer`.
    """

    other_reply_types = (PageTransfer,)

    table: str
    part: str
    first: str = ""
    limit: int = 500
    timeout_ms: int = 0
    accepts_transfer: bool = False


@reads
@attrs.frozen
class WatchRows(Message[RowsPage]):
    """Waits for rows of a table that changed after a version.

    Attributes:
        table: The table.
        after: Version that the reader already has.
        wait_ms: Longest time to wait for a change.
        accepts_transfer: Whether the reply may be a `PageTransfer`.
    """

    other_reply_types = (PageTransfer,)

    table: str
    after: int
    wait_ms: int
    accepts_transfer: bool = False


@attrs.frozen
class PagePart:
    """A part of a page.

    Attributes:
        page: Its rows, with the version and the end of the whole page. The value of a
            row may go on in the next part, under the same id and version.
        count: Number of parts of the page; 0 if the response is still arriving.
        arrivals: How often bytes of the response have arrived.
    """

    page: RowsPage
    count: int
    arrivals: int


@reads
@attrs.frozen
class FetchPart(Message[PagePart]):
    """Reads a part of a response that began to arrive.

    Attributes:
        transfer_id: The response.
        index: Number of the part, from 0.
        wait_ms: Longest time to wait for the response to be complete.
    """

    transfer_id: int
    index: int
    wait_ms: int
