"""Whether the leader that the store names still writes."""

from __future__ import annotations

import attrs

# A leader whose row stands still for this long while it is not heard counts as gone.
# A takeover that was not needed costs a new fence for each worker; a late one costs
# every caller who waits.
STALE_MS = 550
# The same, once its process is known to refuse connections or to have left.
STALE_REFUSED_MS = 350
# On a slow store a renewal takes about three times as long as the reading that looks
# for it, and the next one is only sent after it.
STALE_READINGS = 6


@attrs.frozen
class LeaderRow:
    """Who leads.

    Attributes:
        epoch: Number of the leadership.
        leader_id: The instance, or empty once it has given the leadership up.
    """

    epoch: int
    leader_id: str


@attrs.frozen
class HeardBeat:
    """The last beat of the leader that was heard.

    Attributes:
        leader: The leader.
        at_ms: When it was heard, on this instance's clock; 0 if the leader has left or
            was never heard.
        clock_ms: The leader's clock as the beat said, or 0.
    """

    leader: LeaderRow = LeaderRow(0, "")
    at_ms: int = 0
    clock_ms: int = 0


@attrs.define
class LeadWatch:
    """What readings of the store have shown of the leader.

    Attributes:
        row: Who leads.
        row_version: Version of that row, 0 if there is none.
        renewal_version: Version of the row that the leader renews.
        changed_ms: Since when both rows have stood still.
        failed_ms: When the store could not be read last.
        reading_ms: Duration of the last reading.
    """

    row: LeaderRow = LeaderRow(0, "")
    row_version: int = 0
    renewal_version: int = 0
    changed_ms: int = 0
    failed_ms: int = 0
    reading_ms: int = 0

    def note_failure(self, now_ms: int) -> None:
        """Note that nothing could be seen; such time does not count as standstill."""
        self.changed_ms = self.failed_ms = now_ms

    def note_row(self, row: LeaderRow, version: int, now_ms: int) -> None:
        """Note who leads."""
        if version != self.row_version:
            self.row, self.row_version, self.changed_ms = row, version, now_ms

    def note_renewal(
        self, version: int, renewed_ms: int | None, heard: HeardBeat, now_ms: int
    ) -> None:
        """Note the renewal.

        A renewal that is older than the last beat shows that none came after the
        beat, so the row has stood still since then.

        Args:
            version: Version of the row, 0 if there is none.
            renewed_ms: The leader's clock in the row, None if it cannot be read.
            heard: The last beat.
            now_ms: The time.
        """
        if version == self.renewal_version:
            return
        self.renewal_version = version
        self.changed_ms = now_ms
        is_of_leader = heard.leader == self.row and heard.at_ms and heard.clock_ms
        if is_of_leader and renewed_ms is not None and renewed_ms <= heard.clock_ms:
            self.changed_ms = max(heard.at_ms, self.failed_ms)

    def is_gone(self, heard: HeardBeat, now_ms: int) -> bool:
        """Whether the leader has stood still for too long."""
        limit_ms = STALE_MS if heard.at_ms else STALE_REFUSED_MS
        limit_ms = max(limit_ms, STALE_READINGS * self.reading_ms)
        return now_ms - self.changed_ms >= limit_ms
