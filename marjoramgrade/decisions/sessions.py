"""What the owner of a shard knows about its connections to workers."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS


@attrs.define
class WorkerSession:
    """One worker as its shard's owner sees it.

    Attributes:
        worker_id: The worker.
        is_connected: Whether its inventory arrived on the open connection.
        lease_until_ms: Its tasks may run until this time on the owner's clock;
            zero before the first grant of this epoch.
    """

    worker_id: str
    is_connected: bool = False
    lease_until_ms: int = 0

    @property
    def is_leased(self) -> bool:
        """Whether a lease was granted that was not seen to lapse."""
        return self.lease_until_ms > 0


class WorkerSessions:
    """The sessions of one shard under one epoch."""

    def __init__(self) -> None:
        self._session_by_id: dict[str, WorkerSession] = {}

    def mark_connected(self, worker_id: str, now_ms: int) -> None:
        """Note that a worker sent its inventory.

        Until the first grant the worker counts as leased from now on: a previous
        owner or connection may have granted a lease shortly before.
        """
        session = self._find(worker_id)
        session.is_connected = True
        self._extend(session, now_ms)

    def mark_disconnected(self, worker_id: str) -> None:
        """Note that the connection broke; the lease goes on."""
        self._find(worker_id).is_connected = False

    def record_grant(self, worker_id: str, now_ms: int) -> None:
        """Note that a heartbeat is answered now.

        The worker counts its lease from an earlier time, so it lapses there
        before it lapses here.
        """
        self._extend(self._find(worker_id), now_ms)

    def is_leased(self, worker_id: str) -> bool:
        """Return whether a worker may still run tasks."""
        session = self._session_by_id.get(worker_id)
        return session is not None and session.is_leased

    def is_connected(self, worker_id: str) -> bool:
        """Return whether messages can be sent to a worker."""
        session = self._session_by_id.get(worker_id)
        return session is not None and session.is_connected

    def pop_lapsed(self, now_ms: int) -> list[str]:
        """Return the workers whose lease has lapsed since the last call."""
        lapsed = []
        for session in self._session_by_id.values():
            if session.is_leased and now_ms >= session.lease_until_ms:
                session.lease_until_ms = 0
                lapsed.append(session.worker_id)
        return lapsed

    def connected_ids(self) -> list[str]:
        """Return the workers that messages can be sent to."""
        return [s.worker_id for s in self._session_by_id.values() if s.is_connected]

    def remove(self, worker_id: str) -> None:
        """Drop the session of a worker that is gone."""
        self._session_by_id.pop(worker_id, None)

    def _extend(self, session: WorkerSession, now_ms: int) -> None:
        until_ms = now_ms + WORKER_LEASE_MS + DRIFT_MARGIN_MS
        session.lease_until_ms = max(session.lease_until_ms, until_ms)

    def _find(self, worker_id: str) -> WorkerSession:
        return self._session_by_id.setdefault(worker_id, WorkerSession(worker_id))
