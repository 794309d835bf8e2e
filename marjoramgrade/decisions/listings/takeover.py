"""Order and pace of the first listings of workers by a new leader.

The load is a takeover with thousands of workers. A first listing settles what runs on a
worker. Listing all of them at once delays the workers that have runs, and the leader's
own heartbeats, behind the answers of idle workers.
"""

from __future__ import annotations

import attrs

# First listings that run at a time. Deployments with 176 workers settle all at once; at
# 3,000 workers this takes 15 turns.
MAX_FIRST_LISTINGS = 200
# A first listing without a response for this long no longer holds others up. Workers
# respond within 300 ms or have failed, and a whole zone may be cut off.
SLOT_MS = 300


@attrs.define
class FirstListings:
    """Decides which workers a new leader lists next for the first time.

    Attributes:
        max_running: Number of first listings that run at a time.
    """

    max_running: int = MAX_FIRST_LISTINGS
    _with_runs: dict[str, None] = attrs.field(factory=dict)
    _others: dict[str, None] = attrs.field(factory=dict)
    _begun_ms_by_id: dict[str, int] = attrs.field(factory=dict)

    @property
    def is_waiting(self) -> bool:
        """Whether a worker waits for its first listing."""
        return bool(self._with_runs or self._others)

    def request(self, worker_id: str, may_have_runs: bool) -> None:
        """Add a worker that is to be listed; one with stored placements goes first.

        A worker that has left without a response and returns is listed again.
        """
        self._begun_ms_by_id.pop(worker_id, None)
        if may_have_runs or worker_id in self._with_runs:
            self._others.pop(worker_id, None)
            self._with_runs[worker_id] = None
        else:
            self._others[worker_id] = None

    def settle(self, worker_id: str) -> None:
        """Record that a worker has responded."""
        self._begun_ms_by_id.pop(worker_id, None)

    def pop_due(self, now_ms: int) -> list[str]:
        """Return the workers to list now, those that may have runs first."""
        for worker_id, begun_ms in list(self._begun_ms_by_id.items()):
            if now_ms - begun_ms >= SLOT_MS:
                del self._begun_ms_by_id[worker_id]
        due: list[str] = []
        for waiting in (self._with_runs, self._others):
            free = self.max_running - len(self._begun_ms_by_id)
            for worker_id in list(waiting)[: max(0, free)]:
                del waiting[worker_id]
                self._begun_ms_by_id[worker_id] = now_ms
                due.append(worker_id)
        return due
