"""Ids of non-idempotent requests, so that none runs twice.

The owner of a shard writes an id to the row of its minute before the request is
dispatched. Minutes are of the wall clock, since later owners read them too; they
only bound how long ids are kept.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from marjoramgrade.errors import DuplicateRequestError, LedgerUnavailableError

MINUTE_MS = 60_000
# Longer than any client library repeats a request.
KEPT_MINUTES = 30


@attrs.frozen
class LedgerRow:
    """The ids of one minute.

    Attributes:
        minute: Number of the minute.
        request_ids: Ids recorded in it, in order.
    """

    minute: int
    request_ids: tuple[str, ...] = ()


@attrs.define
class RequestLedger:
    """The ids that the owner of one shard knows of.

    An owner must merge every kept row after a takeover before it answers `seen`;
    until then `is_complete` is false and non-idempotent requests are refused.

    Attributes:
        is_complete: Whether the rows of earlier owners have been merged.
    """

    is_complete: bool = False
    _ids_by_minute: dict[int, dict[str, None]] = attrs.field(factory=dict)
    _minute_by_id: dict[str, int] = attrs.field(factory=dict)

    def merge(self, rows: Iterable[LedgerRow]) -> None:
        """Take over every row of the shard as read after a takeover."""
        for row in rows:
            for request_id in row.request_ids:
                self._add(request_id, row.minute)
        self.is_complete = True

    def seen(self, request_id: str) -> bool:
        """Return whether a request was recorded; it may have run."""
        return request_id in self._minute_by_id

    def record(self, request_id: str, now_ms: int) -> LedgerRow:
        """Record a request before it runs.

        Args:
            request_id: Unique id that the caller chose.
            now_ms: Wall-clock time.

        Returns:
            The row to write before the request is dispatched.

        Raises:
            DuplicateRequestError: If the request was recorded before.
            LedgerUnavailableError: If the rows of earlier owners were not read.
        """
        if not self.is_complete:
            raise LedgerUnavailableError("the ledger of the shard is not read yet")
        if self.seen(request_id):
            raise DuplicateRequestError(f"request {request_id!r} was taken before")
        minute = now_ms // MINUTE_MS
        self._add(request_id, minute)
        return self.row(minute)

    def withdraw(self, request_id: str) -> None:
        """Remove a request whose record certainly was not written.

        After a write of unknown outcome the id stays, since a later owner may
        find it in the table.
        """
        minute = self._minute_by_id.pop(request_id, None)
        if minute is not None:
            del self._ids_by_minute[minute][request_id]

    def row(self, minute: int) -> LedgerRow:
        """Return the row of a minute as it should be in the table."""
        return LedgerRow(minute, tuple(self._ids_by_minute.get(minute, ())))

    def expire(self, now_ms: int) -> tuple[int, ...]:
        """Drop old ids and return the minutes whose rows can be deleted."""
        oldest = now_ms // MINUTE_MS - KEPT_MINUTES
        expired = tuple(sorted(m for m in self._ids_by_minute if m < oldest))
        for minute in expired:
            for request_id in self._ids_by_minute.pop(minute):
                if self._minute_by_id.get(request_id) == minute:
                    del self._minute_by_id[request_id]
        return expired

    def __len__(self) -> int:
        return len(self._minute_by_id)

    def _add(self, request_id: str, minute: int) -> None:
        self._ids_by_minute.setdefault(minute, {})[request_id] = None
        latest = max(minute, self._minute_by_id.get(request_id, minute))
        self._minute_by_id[request_id] = latest
