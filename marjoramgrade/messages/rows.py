"""Messages that read and write rows of the platform's store."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message

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
class ReadRows(Message[RowsPage]):
    """Reads rows of one part in the order of their keys.

    Attributes:
        table: The table.
        part: The part.
        first: Key to start from, or empty.
        limit: Maximum number of rows to return.
        timeout_ms: How long to wait for the store; 0 for the default.
    """

    table: str
    part: str
    first: str = ""
    limit: int = 500
    timeout_ms: int = 0


@attrs.frozen
class WatchRows(Message[RowsPage]):
    """Waits for rows of a table that changed after a version.

    Attributes:
        table: The table.
        after: Version that the reader already has.
        wait_ms: Longest time to wait for a change.
    """

    table: str
    after: int
    wait_ms: int
