"""Decides from the store whether the leader is still renewing its leadership."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.elections.candidacy import SMALL_FLEET
from marjoramgrade.stepjobs import is_epoch

# A leader that sends no heartbeats counts as down once its row has been unchanged for
# this long. An unnecessary takeover costs a new fencing token for each worker; a late
# one delays every waiting client.
STALE_MS = 550
# The same limit if the leader has said that it leaves.
STALE_LEFT_MS = 350
# Addition to STALE_MS for each instance beyond a small fleet. A leader that begins
# connects to all of them, 1 to 2 ms each on half a core, before it has time to renew.
STALE_PER_MEMBER_MS = 2
# A leader that has just taken the lead, and was not heard yet, is not replaced for this
# long. It reads the stored state and connects to all instances and workers meanwhile.
# If it has not read the state by then, it leaves the lead to an instance with a faster
# path to the store: its heartbeats keep the others from replacing it.
RECOVERY_TIMEOUT_MS = 2_000
# Lower bound of both limits, as a multiple of the duration of a read. On a slow store
# a renewal takes about three times as long as the read that checks for it, and the
# next renewal is only sent after it.
STALE_READ_MULTIPLE = 6
# Time that a renewal may take to reach the store, beside a multiple of the duration of
# a read: it waits in the leader for the transaction before it.
RENEWAL_DELAY_MS = 100
RENEWAL_READ_MULTIPLE = 3
# Times on the clock of another instance are compared only over so short a time, since
# clocks differ in their rates.
MAX_COMPARED_MS = 1_000


@attrs.frozen
class LeaderRow:
    """The current leadership as stored.

    Attributes:
        epoch: Number of the leadership.
        leader_id: Id of the leading instance, or empty once it has released the
            leadership.
    """

    epoch: int = attrs.field(validator=is_epoch)
    leader_id: str


@attrs.frozen
class LastHeartbeat:
    """The last heartbeat received from the leader.

    Attributes:
        leader: Leadership under which the heartbeat was sent.
        received_ms: Time of receipt, on this instance's clock; 0 if the leader has
            left or no heartbeat was received.
        clock_ms: The leader's clock as given in the heartbeat, or 0.
        has_left: Whether the leader has said that it leaves.
    """

    leader: LeaderRow = LeaderRow(0, "")
    received_ms: int = 0
    clock_ms: int = 0
    has_left: bool = False


@attrs.define
class LeaderMonitor:
    """Tracks the leader's rows in the store.

    Attributes:
        row: The leadership as last read.
        row_version: Version of that row, 0 if there is none.
        renewal_version: Version of the row that the leader renews.
        unchanged_since_ms: Time since which both rows are unchanged.
        read_failed_ms: Time of the last failed read, or 0.
        read_duration_ms: Duration of the last read.
        read_ms: Time of the last read that succeeded, or 0.
        seen_ms: Time at which the leadership row was first read as it is.
        was_replaced: Whether the row was read with other content shortly before, so
            that the leadership has just begun.
    """

    row: LeaderRow = LeaderRow(0, "")
    row_version: int = 0
    renewal_version: int = 0
    unchanged_since_ms: int = 0
    read_failed_ms: int = 0
    read_duration_ms: int = 0
    read_ms: int = 0
    seen_ms: int = 0
    was_replaced: bool = False

    def record_read(self, asked_ms: int, now_ms: int) -> None:
        """Record that the store responded, after the rows have been recorded."""
        self.read_ms = now_ms
        self.read_duration_ms = now_ms - asked_ms

    def record_read_failure(self, now_ms: int) -> None:
        """Record a failed read; time up to it does not count as unchanged."""
        self.unchanged_since_ms = self.read_failed_ms = now_ms

    def record_row(self, row: LeaderRow, version: int, now_ms: int) -> None:
        """Record the leadership row as read."""
        if version == self.row_version:
            return
        read_lately = self.read_ms and now_ms - self.read_ms < RECOVERY_TIMEOUT_MS
        self.was_replaced = bool(read_lately)
        self.row, self.row_version = row, version
        self.unchanged_since_ms = self.seen_ms = now_ms

    def record_renewal(
        self, version: int, renewed_ms: int | None, heard: LastHeartbeat, now_ms: int
    ) -> None:
        """Record the renewal row as read.

        The row counts as unchanged since the last heartbeat if the renewal is older:
        then none followed the heartbeat. A renewal that was sent soon after the
        heartbeat counts from then on, and any other one from now on.

        Args:
            version: Version of the row, 0 if there is none.
            renewed_ms: The leader's clock in the row, None if it cannot be read.
            heard: The last heartbeat.
            now_ms: Current time.
        """
        if version == self.renewal_version:
            return
        self.renewal_version = version
        self.unchanged_since_ms = now_ms
        is_comparable = (
            heard.leader == self.row and heard.received_ms and heard.clock_ms
        )
        if not is_comparable or renewed_ms is None:
            return
        sent_after_ms = renewed_ms - heard.clock_ms
        if sent_after_ms > MAX_COMPARED_MS:
            return
        since_ms = heard.received_ms
        if sent_after_ms > 0:
            since_ms += sent_after_ms + RENEWAL_DELAY_MS
            since_ms += RENEWAL_READ_MULTIPLE * self.read_duration_ms
        self.unchanged_since_ms = max(min(since_ms, now_ms), self.read_failed_ms)

    def is_recovering(self, heard: LastHeartbeat, now_ms: int) -> bool:
        """Whether the leader has just taken the lead and was not heard yet.

        A leadership that has never been renewed has just begun, unless its leader
        failed at once. One whose heartbeats have arrived is held to the usual limits.
        """
        if heard.has_left or (heard.leader == self.row and heard.received_ms):
            return False
        is_new = self.was_replaced or self.renewal_version < self.row_version
        return is_new and now_ms - self.seen_ms < RECOVERY_TIMEOUT_MS

    def is_leader_down(
        self, heard: LastHeartbeat, now_ms: int, members: int = 1
    ) -> bool:
        """Whether the leader's rows have been unchanged for too long.

        Args:
            heard: The last heartbeat.
            now_ms: Current time.
            members: Number of known instances.
        """
        if self.is_recovering(heard, now_ms):
            return False
        limit_ms = STALE_LEFT_MS if heard.has_left else STALE_MS
        limit_ms += max(0, members - SMALL_FLEET) * STALE_PER_MEMBER_MS
        limit_ms = max(limit_ms, STALE_READ_MULTIPLE * self.read_duration_ms)
        return now_ms - self.unchanged_since_ms >= limit_ms
