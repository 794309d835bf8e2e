"""Output formats of results: tables for people, JSON for programs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs

from marjoramgrade import jsontext
from marjoramgrade.documents import Document
from marjoramgrade.registry import Registry

MAX_CELL_LENGTH = 60

COLUMNS_BY_KIND: dict[str, tuple[str, ...]] = {
    "teams": ("name", "share", "limit", "queue_bound"),
    "keys": ("name", "team"),
    "zones": ("name", "state"),
    "services": ("name", "team"),
    "jobs": ("job_id", "team", "kind", "state", "ended", "shard", "reason"),
    "tasks": ("task", "state", "worker", "reason"),
    "workers": ("instance_id", "zone", "rack", "leaving", "capacity"),
    "backends": ("instance_id", "zone", "service", "leaving", "capacity"),
    "shards": (
        "shard",
        "owner",
        "epoch",
        "free",
        "total",
        "queued_tasks",
        "free_slots",
        "queued_requests",
    ),
    "changes": ("version", "kind", "name", "document"),
    "applied": ("kind", "name", "result", "version"),
}


@attrs.frozen
class View:
    """A result that every output format can show.

    Attributes:
        document: The result as a JSON value, for programs.
        kind: Type of the rows, a key of `COLUMNS_BY_KIND`.
        rows: One document for each row of the table.
    """

    document: Any
    kind: str
    rows: Sequence[Document]


OUTPUT_FORMATS: Registry[Callable[[View], str]] = Registry("output format")


@OUTPUT_FORMATS.register("json")
def format_json(view: View) -> str:
    """Return a result as indented JSON."""
    return jsontext.serialize_pretty(view.document)


@OUTPUT_FORMATS.register("table")
def format_table(view: View) -> str:
    """Return a result as a table with a header line."""
    columns = COLUMNS_BY_KIND[view.kind]
    cells = [
        [_format_cell(row.get(column, "")) for column in columns] for row in view.rows
    ]
    return "\n".join(align_columns([[c.upper() for c in columns], *cells]))


def align_columns(rows: Sequence[Sequence[str]]) -> Iterable[str]:
    """Yield rows with their columns aligned."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(padded).rstrip()


def _format_cell(value: object) -> str:
    if isinstance(value, dict):
        shown = " ".join(f"{key}={part}" for key, part in value.items()) or "none"
    elif isinstance(value, bool):
        shown = "yes" if value else "no"
    else:
        shown = str(value)
    return sanitize_text(shown, MAX_CELL_LENGTH)


def sanitize_text(text: str, limit: int) -> str:
    """Return text that cannot control a terminal, truncated to `limit` characters."""
    plain = "".join(c if c.isprintable() else "?" for c in text[: limit + 1])
    return plain if len(plain) <= limit else plain[: limit - 1] + "…"


def job_row(job: Document) -> Document:
    """Return a job document with the columns that a table shows."""
    outcomes = str(job.get("outcomes", ""))
    spec = job.get("spec", {})
    ended = len(outcomes) - outcomes.count(".")
    return {
        **job,
        "team": spec.get("team", ""),
        "kind": spec.get("kind", ""),
        "ended": f"{ended}/{len(outcomes)}",
    }
