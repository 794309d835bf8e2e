"""Reconciliation of a shard's workers by a new owner before it starts queued tasks."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS


def _freeze(worker_ids: Iterable[str]) -> frozenset[str]:
    return frozenset(worker_ids)


@attrs.define
class Reconciliation:
    """Classifies a shard's workers as confirmed, lapsed or unknown after a takeover.

    A worker is confirmed when its inventory arrives under the new epoch. From
    then on its fencing token check rejects the previous owner. An unresponsive
    worker has lapsed when no lease granted by the previous owner can still be in
    force. The previous owner's authority ended before `started_ms`, and a worker
    measures its lease from a heartbeat that this owner answered, so waiting for
    the length of one lease suffices.

    The roster must be read after the takeover took effect, and an owner must add
    a worker to it before it starts the first task there. Otherwise workers that
    the previous owner added would be missing from the roster.

    Attributes:
        roster: Ids of the workers that may run tasks of the shard.
        started_ms: Time of the decision to take over.
        worker_lease_ms: Length of a worker's lease.
        margin_ms: Upper bound of the drift between two clocks over one lease.
    """

    roster: frozenset[str] = attrs.field(converter=_freeze)
    started_ms: int
    worker_lease_ms: int = WORKER_LEASE_MS
    margin_ms: int = DRIFT_MARGIN_MS
    _confirmed: set[str] = attrs.field(factory=set, init=False)

    @property
    def lease_lapse_ms(self) -> int:
        """Time at which all unconfirmed workers have lapsed."""
        return self.started_ms + self.worker_lease_ms + self.margin_ms

    def confirm(self, worker_id: str) -> None:
        """Record that a worker sent its inventory under the new epoch."""
        self._confirmed.add(worker_id)

    def is_confirmed(self, worker_id: str) -> bool:
        """Return whether a worker has sent its inventory under the new epoch."""
        return worker_id in self._confirmed

    def lapsed(self, now_ms: int) -> frozenset[str]:
        """Return the unconfirmed workers whose leases have certainly lapsed."""
        return self._unconfirmed() if now_ms >= self.lease_lapse_ms else frozenset()

    def unknown(self, now_ms: int) -> frozenset[str]:
        """Return the workers that may run tasks unknown to the new owner."""
        return frozenset() if now_ms >= self.lease_lapse_ms else self._unconfirmed()

    def is_complete(self, now_ms: int) -> bool:
        """Return whether queued tasks may start."""
        return not self.unknown(now_ms)

    def _unconfirmed(self) -> frozenset[str]:
        return self.roster - self._confirmed


def is_lapsed(
    granted_ms: int,
    now_ms: int,
    worker_lease_ms: int = WORKER_LEASE_MS,
    margin_ms: int = DRIFT_MARGIN_MS,
) -> bool:
    """Return whether an unresponsive worker's lease has certainly lapsed.

    Args:
        granted_ms: Time at which this owner sent its last grant to the worker.
        now_ms: The current time.
        worker_lease_ms: Length of a worker's lease.
        margin_ms: Upper bound of the drift between two clocks over one lease.
    """
    return now_ms >= granted_ms + worker_lease_ms + margin_ms
