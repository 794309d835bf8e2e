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
STALE_READ_MULTIPLE = 6


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
class LastHeartbeat:
    """The last beat of the leader that was heard.

    Attributes:
        leader: The leader.
        received_ms: When it was heard, on this instance's clock; 0 if the leader has
            left or was never heard.
        clock_ms: The leader's clock as the beat said, or 0.
    """

    leader: LeaderRow = LeaderRow(0, "")
    received_ms: int = 0
    clock_ms: int = 0


@attrs.define
class LeaderMonitor:
    """What readings of the store have shown of the leader.

    Attributes:
        row: Who leads.
        row_version: Version of that row, 0 if there is none.
        renewal_version: Version of the row that the leader renews.
        unchanged_since_ms: Since when both rows have stood still.
        read_failed_ms: When the store could not be read last.
        read_duration_ms: Duration of the last reading.
    """

    row: LeaderRow = LeaderRow(0, "")
    row_version: int = 0
    renewal_version: int = 0
    unchanged_since_ms: int = 0
    read_failed_ms: int = 0
    read_duration_ms: int = 0

    def record_read_failure(self, now_ms: int) -> None:
        """Note that nothing could be seen; such time does not count as standstill."""
        self.unchanged_since_ms = self.read_failed_ms = now_ms

    def record_row(self, row: LeaderRow, version: int, now_ms: int) -> None:
        """Note who leads."""
        if version != self.row_version:
            self.row, self.row_version, self.unchanged_since_ms = row, version, now_ms

    def record_renewal(
        self, version: int, renewed_ms: int | None, heard: LastHeartbeat, now_ms: int
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
        self.unchanged_since_ms = now_ms
        is_of_leader = heard.leader == self.row and heard.received_ms and heard.clock_ms
        if is_of_leader and renewed_ms is not None and renewed_ms <= heard.clock_ms:
            self.unchanged_since_ms = max(heard.received_ms, self.read_failed_ms)

    def is_leader_down(self, heard: LastHeartbeat, now_ms: int) -> bool:
        """Whether the leader has stood still for too long."""
        limit_ms = STALE_MS if heard.received_ms else STALE_REFUSED_MS
        limit_ms = max(limit_ms, STALE_READ_MULTIPLE * self.read_duration_ms)
        return now_ms - self.unchanged_since_ms >= limit_ms
