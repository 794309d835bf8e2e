"""Reads all rows of a part of a table, which the store returns in pages."""

from __future__ import annotations

from marjoramgrade.actor import Actor
from marjoramgrade.messages.rows import ReadRows, RowsPage, StoredRow


async def read_all_rows(store: Actor, table: str, part: str) -> list[StoredRow]:
    """Return the rows of a part of a table, in the order of their keys.

    The pages are read one after the other, so rows that change meanwhile may be of
    different versions of the store.

    Raises:
        TableError: If the store does not respond.
    """
    rows: list[StoredRow] = []
    first = ""
    while True:
        page: RowsPage = await store.ask(ReadRows(table, part, first))
        # Each further page begins with the last row of the previous page.
        rows.extend(row for row in page.rows if not first or row.row.key != first)
        if not page.more or not page.rows:
            return rows
        first = page.rows[-1].row.key
