"""Splits pages of rows into parts and joins them again.

A reader on a slow link sees from each part that the path works, and a part holds up
other messages on a connection for less time than a whole page.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from marjoramgrade.messages.rows import RowsPage, StoredRow

PART_BYTES = 65_536
# Bound of the bytes that a row has in a message beside its value: three texts of up to
# 200 bytes, and numbers.
ROW_OVERHEAD_BYTES = 700


def split_page(page: RowsPage, part_bytes: int = PART_BYTES) -> list[RowsPage]:
    """Return the parts of a page, at least one.

    Args:
        page: The page.
        part_bytes: Size that a part may have, in bytes. The value of a longer row is
            spread over several parts.
    """
    parts: list[list[StoredRow]] = [[]]
    size = 0
    for piece in _split_rows(page.rows, part_bytes - ROW_OVERHEAD_BYTES):
        piece_size = len(piece.value) + ROW_OVERHEAD_BYTES
        if parts[-1] and size + piece_size > part_bytes:
            parts.append([])
            size = 0
        parts[-1].append(piece)
        size += piece_size
    return [attrs.evolve(page, rows=tuple(rows)) for rows in parts]


def _split_rows(rows: Sequence[StoredRow], value_bytes: int) -> Iterator[StoredRow]:
    for row in rows:
        for begin in range(0, max(len(row.value), 1), value_bytes):
            yield attrs.evolve(row, value=row.value[begin : begin + value_bytes])


def join_parts(parts: Sequence[RowsPage]) -> RowsPage:
    """Return the page that was split into these parts."""
    chunks_by_row: dict[tuple[str, str, str, int], list[bytes]] = {}
    first_by_row: dict[tuple[str, str, str, int], StoredRow] = {}
    for part in parts:
        for piece in part.rows:
            key = (piece.row.table, piece.row.part, piece.row.key, piece.version)
            first_by_row.setdefault(key, piece)
            chunks_by_row.setdefault(key, []).append(piece.value)
    rows = tuple(
        attrs.evolve(row, value=b"".join(chunks_by_row[key]))
        for key, row in first_by_row.items()
    )
    return attrs.evolve(parts[0], rows=rows)
