"""A row store in memory with fault injection."""

from __future__ import annotations

import asyncio

from marjoramgrade.actor import Actor, handles
from marjoramgrade.errors import (
    RowCheckFailedError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.rows import (
    ABSENT,
    CommitRows,
    ReadRows,
    RowId,
    RowsCommitted,
    RowsPage,
    StoredRow,
    WatchRows,
)


class MemoryRowStore(Actor):
    """Fake store that handles requests for rows in memory.

    Attributes:
        rows: The stored rows by id.
        version: Version of the newest transaction.
        mode: `ok`, `down` (requests fail and have no effect), `lost` (transactions are
            applied but their outcome is unknown), `late` (transactions have an unknown
            outcome and are applied only by `apply_late`), or `hang` (transactions get
            no response and reads fail).
        commits: Number of transactions received.
        late: Transactions that `apply_late` will apply.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[RowId, StoredRow] = {}
        self.version = 0
        self.mode = "ok"
        self.commits = 0
        self.late: list[CommitRows] = []

    def apply(self, message: CommitRows) -> RowsCommitted:
        """Apply a transaction at once, whatever the mode."""
        current = []
        for check in message.checks:
            row = self.rows.get(check.row)
            if row is not None:
                current.append(row)
            if (row.version if row is not None else ABSENT) != check.version:
                found = [self.rows[c.row] for c in message.checks if c.row in self.rows]
                raise RowCheckFailedError("a row has changed", tuple(found))
        self.version += 1
        for write in message.writes:
            if write.remove:
                self.rows.pop(write.row, None)
            else:
                self.rows[write.row] = StoredRow(write.row, write.value, self.version)
        return RowsCommitted(self.version)

    def apply_late(self) -> None:
        """Apply the late transactions whose checks still hold."""
        for message in self.late:
            try:
                self.apply(message)
            except RowCheckFailedError:
                continue
        self.late.clear()

    @handles(CommitRows)
    async def _commit(self, message: CommitRows) -> RowsCommitted:
        self.commits += 1
        if self.mode == "down":
            raise TableUnavailableError("down")
        if self.mode == "hang":
            return self.spawn(asyncio.sleep(3_600))
        if self.mode == "late":
            self.late.append(message)
            raise WriteOutcomeUnknownError("no response")
        answer = self.apply(message)
        if self.mode == "lost":
            raise WriteOutcomeUnknownError("no response")
        return answer

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> RowsPage:
        if self.mode in ("down", "hang"):
            raise TableUnavailableError("down")
        rows = sorted(
            (
                row
                for row in self.rows.values()
                if (row.row.table, row.row.part) == (message.table, message.part)
                and row.row.key >= message.first
            ),
            key=lambda row: row.row.key,
        )
        more = len(rows) > message.limit
        return RowsPage(tuple(rows[: message.limit]), self.version, more)

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> RowsPage:
        return self.spawn(self._wait_for_change(message))

    async def _wait_for_change(self, message: WatchRows) -> RowsPage:
        for _ in range(max(message.wait_ms // 10, 1)):
            rows = tuple(
                row
                for row in self.rows.values()
                if row.row.table == message.table and row.version > message.after
            )
            if rows:
                break
            await asyncio.sleep(0.01)
        return RowsPage(rows, self.version)
