"""Messages to whoever reads and writes the rows of the platform's store."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message

ABSENT = 0


@attrs.frozen
class RowId:
    """Where a row lies: its table, the part of the table, and its key."""

    table: str
    part: str
    key: str


@attrs.frozen
class StoredRow:
    """A row as read.

    Attributes:
        row: Where it lies.
        value: Its content; empty for a deleted row.
        version: Version of the transaction that wrote it.
        deleted: Whether the row was removed.
    """

    row: RowId
    value: bytes
    version: int
    deleted: bool = False


@attrs.frozen
class RowCheck:
    """A version that a row must have; `ABSENT` for a row that must not exist."""

    row: RowId
    version: int


@attrs.frozen
class RowWrite:
    """New content of a row, or its removal."""

    row: RowId
    value: bytes = b""
    remove: bool = False


@attrs.frozen
class RowsCommitted:
    """The answer to a transaction: the version of every written row."""

    version: int


@attrs.frozen
class CommitRows(Message[RowsCommitted]):
    """Applies all writes if every check holds; all rows lie in one part."""

    checks: tuple[RowCheck, ...]
    writes: tuple[RowWrite, ...]


@attrs.frozen
class RowsPage:
    """Rows as of one moment.

    Attributes:
        rows: The rows.
        version: Newest version of the store when it answered.
        more: Whether the range holds further rows.
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
        limit: Most rows to return.
        timeout_ms: How long to wait for the store; 0 for the usual time.
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
        after: Version that is known.
        wait_ms: Longest time to wait for a change.
    """

    table: str
    after: int
    wait_ms: int
