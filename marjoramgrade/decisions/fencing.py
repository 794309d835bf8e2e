"""Checks on the receiver's side: fencing tokens (epochs) and the worker's lease."""

from __future__ import annotations

import attrs

WORKER_LEASE_MS = 10_000
HEARTBEAT_INTERVAL_MS = 2_500
MAX_UNANSWERED_HEARTBEATS = 100


@attrs.define
class EpochFence:
    """Rejects messages of an epoch below the highest one seen so far.

    Attributes:
        epoch: The highest epoch admitted.
    """

    epoch: int = 0

    def admit(self, epoch: int) -> bool:
        """Return whether to accept a message of this epoch; if so, store the epoch."""
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        return True


@attrs.define
class HeartbeatLease:
    """A worker's lease on running tasks, extended by answered heartbeats.

    The lease is measured from the time at which a heartbeat was sent, not from the
    arrival of its response, so a response delayed in a buffer does not extend it.

    Attributes:
        until_ms: Time on the worker's clock at which the lease expires.
    """

    until_ms: int = 0
    _sent_ms_by_seq: dict[int, int] = attrs.field(factory=dict)
    _last_seq: int = 0

    def heartbeat(self, now_ms: int) -> int:
        """Record a heartbeat that is sent now and return its sequence number."""
        self._last_seq += 1
        self._sent_ms_by_seq[self._last_seq] = now_ms
        # A response to an older heartbeat could no longer extend the lease.
        self._sent_ms_by_seq.pop(self._last_seq - MAX_UNANSWERED_HEARTBEATS, None)
        return self._last_seq

    def record_grant(self, seq: int, lease_ms: int) -> None:
        """Extend the lease by the owner's response to a heartbeat.

        Args:
            seq: Number of the answered heartbeat; unknown numbers are ignored.
            lease_ms: Length of the lease from when the heartbeat was sent.
        """
        sent_ms = self._sent_ms_by_seq.get(seq)
        if sent_ms is None:
            return
        self.until_ms = max(self.until_ms, sent_ms + lease_ms)
        for answered_seq in [sent for sent in self._sent_ms_by_seq if sent <= seq]:
            del self._sent_ms_by_seq[answered_seq]

    def holds(self, now_ms: int) -> bool:
        """Return whether tasks may run now."""
        return now_ms < self.until_ms
