"""Checks at the receiving end: epochs and the worker's own lease."""

from __future__ import annotations

import attrs

WORKER_LEASE_MS = 10_000
HEARTBEAT_INTERVAL_MS = 2_500
MAX_UNANSWERED_HEARTBEATS = 100


@attrs.define
class EpochFence:
    """Admits only the highest epoch seen so far.

    Attributes:
        epoch: The highest epoch admitted.
    """

    epoch: int = 0

    def admit(self, epoch: int) -> bool:
        """Return whether a message of this epoch may act, and remember the epoch."""
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        return True


@attrs.define
class HeartbeatLease:
    """A worker's lease on running tasks, held by heartbeats that are answered.

    The lease counts from the time a heartbeat was sent, not from the arrival of
    its answer: an answer that was delayed in a buffer extends nothing.

    Attributes:
        until_ms: Tasks may run before this time on the worker's clock.
    """

    until_ms: int = 0
    _sent_ms_by_seq: dict[int, int] = attrs.field(factory=dict)
    _last_seq: int = 0

    def heartbeat(self, now_ms: int) -> int:
        """Return the sequence number of a heartbeat that is sent now."""
        self._last_seq += 1
        self._sent_ms_by_seq[self._last_seq] = now_ms
        # An answer to an older heartbeat could extend nothing any more.
        self._sent_ms_by_seq.pop(self._last_seq - MAX_UNANSWERED_HEARTBEATS, None)
        return self._last_seq

    def record_grant(self, seq: int, lease_ms: int) -> None:
        """Take the owner's answer to a heartbeat.

        Args:
            seq: The heartbeat that is answered; unknown numbers are ignored.
            lease_ms: Length of the lease from the sending of the heartbeat.
        """
        sent_ms = self._sent_ms_by_seq.get(seq)
        if sent_ms is None:
            return
        self.until_ms = max(self.until_ms, sent_ms + lease_ms)
        for old in [number for number in self._sent_ms_by_seq if number <= seq]:
            del self._sent_ms_by_seq[old]

    def holds(self, now_ms: int) -> bool:
        """Return whether tasks may run now."""
        return now_ms < self.until_ms
