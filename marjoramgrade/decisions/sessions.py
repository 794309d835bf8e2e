"""Connections and leases of workers, as known to the owner of their shard."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS


@attrs.define
class WorkerSession:
    """Connection and lease of one worker.

    Attributes:
        worker_id: Id of the worker.
        is_connected: Whether the worker's inventory arrived on the open connection.
        lease_until_ms: Time on the owner's clock until which the worker's tasks
            may run; zero until the worker counts as leased in this epoch and after
            a lapse.
    """

    worker_id: str
    is_connected: bool = False
    lease_until_ms: int = 0

    @property
    def is_leased(self) -> bool:
        """Whether a lease may be in force and `pop_lapsed` has not found it lapsed."""
        return self.lease_until_ms > 0


class WorkerSessions:
    """Sessions of the workers of one shard during one epoch."""

    def __init__(self) -> None:
        self._session_by_id: dict[str, WorkerSession] = {}

    def mark_connected(self, worker_id: str, now_ms: int) -> None:
        """Record that a worker sent its inventory.

        The worker counts as leased from now on, even before the first grant: a
        previous owner or connection may have granted a lease shortly before.
        """
        session = self._find_or_create(worker_id)
        session.is_connected = True
        self._extend(session, now_ms)

    def mark_disconnected(self, worker_id: str) -> None:
        """Record that the connection broke; the lease remains in force."""
        self._find_or_create(worker_id).is_connected = False

    def record_grant(self, worker_id: str, now_ms: int) -> None:
        """Record that a heartbeat is answered now, which grants a lease.

        The worker counts the lease from an earlier time, when it sent the
        heartbeat, so that the lease lapses there before it lapses here.
        """
        self._extend(self._find_or_create(worker_id), now_ms)

    def is_leased(self, worker_id: str) -> bool:
        """Return whether a worker may still run tasks."""
        session = self._session_by_id.get(worker_id)
        return session is not None and session.is_leased

    def is_connected(self, worker_id: str) -> bool:
        """Return whether messages can be sent to a worker."""
        session = self._session_by_id.get(worker_id)
        return session is not None and session.is_connected

    def pop_lapsed(self, now_ms: int) -> list[str]:
        """Return the ids of workers whose lease has lapsed since the last call."""
        lapsed = []
        for session in self._session_by_id.values():
            if session.is_leased and now_ms >= session.lease_until_ms:
                session.lease_until_ms = 0
                lapsed.append(session.worker_id)
        return lapsed

    def connected_ids(self) -> list[str]:
        """Return the ids of workers that messages can be sent to."""
        return [
            session.worker_id
            for session in self._session_by_id.values()
            if session.is_connected
        ]

    def remove(self, worker_id: str) -> None:
        """Remove the session of a worker that no longer exists."""
        self._session_by_id.pop(worker_id, None)

    def _extend(self, session: WorkerSession, now_ms: int) -> None:
        until_ms = now_ms + WORKER_LEASE_MS + DRIFT_MARGIN_MS
        session.lease_until_ms = max(session.lease_until_ms, until_ms)

    def _find_or_create(self, worker_id: str) -> WorkerSession:
        return self._session_by_id.setdefault(worker_id, WorkerSession(worker_id))
