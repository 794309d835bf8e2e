"""Reads all rows of a part of a table, which the store returns in pages."""

from __future__ import annotations

from marjoramgrade.actor import Actor
from marjoramgrade.errors import TableUnavailableError
from marjoramgrade.messages.rows import ReadRows, RowsPage, StoredRow


async def read_all_rows(
    store: Actor, table: str, part: str, oldest_version: int = 0
) -> list[StoredRow]:
    """Return the rows of a part of a table, in the order of their keys.

    The pages are read one after the other, so rows that change meanwhile may be of
    different versions of the store.

    Args:
        store: Reads and writes rows.
        table: The table.
        part: The part.
        oldest_version: Version of the store that the rows must at least have.

    Raises:
        TableError: If the store does not respond, or with an older state.
    """
    rows: list[StoredRow] = []
    first = ""
    while True:
        page: RowsPage = await store.ask(ReadRows(table, part, first))
        if page.version < oldest_version:
            raise TableUnavailableError(
                f"the store responded with version {page.version} of {table}, which is "
                f"older than {oldest_version}"
            )
        # Each further page begins with the last row of the previous page.
        rows.extend(row for row in page.rows if not first or row.row.key != first)
        if not page.more or not page.rows:
            return rows
        first = page.rows[-1].row.key
