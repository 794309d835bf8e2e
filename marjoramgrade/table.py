"""Client interface of the platform's table service."""

from __future__ import annotations

import abc
import uuid
from collections.abc import Mapping
from typing import Any

import attrs

from marjoramgrade.errors import (
    CheckFailedError,
    TableError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)

ABSENT = 0
MAX_COMMIT_ATTEMPTS = 3

RowValue = Mapping[str, Any]


@attrs.frozen
class Row:
    """One row as read.

    Attributes:
        key: The row's key.
        version: Commit number of the transaction that wrote it.
        write_id: Id of that transaction.
        value: The document, or None for a deleted row in a change feed.
    """

    key: str
    version: int
    write_id: str
    value: RowValue | None


@attrs.frozen
class RowsPage:
    """The rows of a prefix that changed after a version.

    Attributes:
        version: Every change up to this commit number is in the page.
        rows: The rows in order of version.
    """

    version: int
    rows: tuple[Row, ...]


@attrs.frozen
class Transaction:
    """Writes that take effect together if every check holds.

    Attributes:
        checks: Expected version by key; `ABSENT` for a row that must not exist.
        writes: New document by key, or None to delete the row.
        write_id: Unique id that the written rows carry.
    """

    checks: Mapping[str, int]
    writes: Mapping[str, RowValue | None]
    write_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)


class Table(abc.ABC):
    """Base class of table clients."""

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction.

        Args:
            transaction: Its checks and writes.

        Returns:
            The commit number, which is the version of every written row.

        Raises:
            CheckFailedError: If a check failed; nothing was written.
            TableUnavailableError: If nothing was written.
            WriteOutcomeUnknownError: If the response was lost.
        """

    @abc.abstractmethod
    async def changes(self, prefix: str, after: int = 0) -> RowsPage:
        """Read the rows below a prefix that changed after a version.

        Raises:
            TableUnavailableError: If the table did not respond.
        """

    async def read(self, key: str) -> Row | None:
        """Read one row.

        Returns:
            The row, or None if it does not exist.

        Raises:
            TableUnavailableError: If the table did not respond.
        """
        page = await self.changes(key)
        for row in page.rows:
            if row.key == key and row.value is not None:
                return row
        return None

    async def commit_and_resolve(self, transaction: Transaction) -> int:
        """Apply a transaction and resolve its outcome if a response is lost.

        The transaction must check every row that it writes. It then takes effect
        at most once however often it is sent, and after a failed check the write
        id of the rows shows whether an earlier attempt was applied.

        Raises:
            CheckFailedError: If a check failed and the rows are not from this
                transaction.
            TableUnavailableError: If nothing was written.
            WriteOutcomeUnknownError: If the outcome could not be determined.
        """
        lost = False
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                return await self.commit(transaction)
            except WriteOutcomeUnknownError:
                lost = True
            except TableUnavailableError as error:
                if not lost:
                    raise
                raise WriteOutcomeUnknownError(error.message) from error
            except CheckFailedError:
                version = await self._find_own_write(transaction) if lost else None
                if version is None:
                    raise
                return version
        raise WriteOutcomeUnknownError(
            "the table did not respond to any commit attempt"
        )

    async def _find_own_write(self, transaction: Transaction) -> int | None:
        for key, value in transaction.writes.items():
            if value is None:
                continue
            try:
                row = await self.read(key)
            except TableError as error:
                raise WriteOutcomeUnknownError(error.message) from error
            if row is not None and row.write_id == transaction.write_id:
                return row.version
        return None


class MemoryTable(Table):
    """In-memory table for tests and for the stand-in platform."""

    def __init__(self) -> None:
        # Rows in order of version: `apply` moves a rewritten row to the end.
        self._row_by_key: dict[str, Row] = {}
        self._version = 0

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction; see `Table.commit`."""
        return self.apply(transaction)

    async def changes(self, prefix: str, after: int = 0) -> RowsPage:
        """Read changed rows; see `Table.changes`."""
        return self.scan(prefix, after)

    def apply(self, transaction: Transaction) -> int:
        """Apply a transaction synchronously; see `Table.commit`."""
        current = {key: self._version_of(key) for key in transaction.checks}
        if any(
            current[key] != expected for key, expected in transaction.checks.items()
        ):
            raise CheckFailedError("a row has changed", current)
        self._version += 1
        for key, value in transaction.writes.items():
            row = Row(key, self._version, transaction.write_id, value)
            self._row_by_key.pop(key, None)
            self._row_by_key[key] = row
        return self._version

    def scan(self, prefix: str, after: int = 0) -> RowsPage:
        """Read changed rows synchronously; see `Table.changes`."""
        rows = []
        for row in reversed(self._row_by_key.values()):
            if row.version <= after:
                break
            if row.key.startswith(prefix) and (row.value is not None or after > 0):
                rows.append(row)
        return RowsPage(self._version, tuple(reversed(rows)))

    def _version_of(self, key: str) -> int:
        row = self._row_by_key.get(key)
        return ABSENT if row is None or row.value is None else row.version
