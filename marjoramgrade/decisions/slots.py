"""Slots in use on the backend servers of one shard.

Selection takes the less loaded of two random servers: Mitzenmacher, "The
power of two choices in randomized load balancing", TPDS 2001; Sparrow (SOSP
2013) applies the same idea to the placement of tasks.
"""

from __future__ import annotations

import random

import attrs

FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 8_000
FAILED_RESPONSES_ALLOWED = 3
# A request on a broken connection may still reach the server up to this much later.
LATE_ARRIVAL_MS = 1_000
# Probes without a lower count after which a server gets no requests until its count
# is exact.
RECOUNT_AFTER_PROBES = 5


@attrs.define
class BackendSlots:
    """The slots of one backend server.

    Attributes:
        backend_id: Instance id of the server.
        service: The service that it runs.
        capacity: Requests that it accepts at once: the smaller of its slots and
            its connections, since each request uses one of each.
        in_flight: Requests of this owner that wait for a response.
        untracked: Upper bound on slots used by requests of earlier owners and by
            requests that this owner abandoned.
        is_counted: Whether the server has reported its slots in use under the
            current epoch since it was added or failed.
        is_leaving: Whether the server is leaving and gets no new requests.
        is_removed: Whether the server was removed; its record stays until its
            requests have ended.
        is_recounting: Whether the server gets no new requests until those in flight
            have ended, so that its count is exact.
        late_arrival_until_ms: A count requested before this time is ignored, since
            it may lack an abandoned request that has not reached the server yet.
        failures: Consecutive failures since the last response; sets the back-off.
        failed_ms: Time of the last failure.
        probe_ms: Time from which a failed server is probed again.
        failed_responses: Consecutive requests that the server ran and failed.
    """

    backend_id: str
    service: str
    capacity: int
    in_flight: int = 0
    untracked: int = 0
    is_counted: bool = False
    is_leaving: bool = False
    is_removed: bool = False
    is_recounting: bool = False
    late_arrival_until_ms: int = 0
    failures: int = 0
    failed_ms: int = -1
    probe_ms: int = 0
    failed_responses: int = 0
    _stale_probes: int = 0

    @property
    def in_use(self) -> int:
        """Upper bound on the slots in use."""
        return self.in_flight + self.untracked

    @property
    def is_selectable(self) -> bool:
        """Whether the server may get a request when it has a free slot."""
        is_excluded = self.is_leaving or self.is_removed or self.is_recounting
        return self.is_counted and not is_excluded

    @property
    def free(self) -> int:
        """Slots that are available for requests now."""
        return max(0, self.capacity - self.in_use) if self.is_selectable else 0

    def needs_probe(self, now_ms: int) -> bool:
        """Return whether the server should be asked for its slots in use."""
        if self.is_removed:
            return False
        if not self.is_counted:
            return now_ms >= self.probe_ms
        return self.untracked > 0

    def apply_count(self, in_use: int, asked_ms: int) -> None:
        """Apply a count that the server reported under the current epoch.

        The count may or may not include requests in `in_flight`, so all of it may be
        untracked requests. Their number cannot grow, since the server rejects requests
        of earlier epochs.
        """
        if asked_ms < self.late_arrival_until_ms:
            return
        if not self.is_counted:
            self.untracked = in_use
            self.is_counted = True
        elif in_use < self.untracked:
            self.untracked = in_use
            self._stale_probes = 0
        else:
            self._stale_probes += 1
        self._update_recount()

    def _update_recount(self) -> None:
        # A busy server may never report a count below `untracked`, since the count
        # includes this owner's requests. It is exact once those have ended.
        if self.is_recounting:
            self.is_recounting = self.in_flight > 0
        elif (
            self.untracked
            and self.in_flight
            and self._stale_probes >= RECOUNT_AFTER_PROBES
        ):
            self.is_recounting = True
        if not self.in_flight or self.is_recounting:
            self._stale_probes = 0


@attrs.define
class SlotPool:
    """The backend servers of one shard, none of which is used beyond its capacity.

    Attributes:
        rng: Source of the random choices; seeded in tests.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    _backend_by_id: dict[str, BackendSlots] = attrs.field(factory=dict)

    def add(self, backend_id: str, service: str, slots: int, connections: int) -> None:
        """Add a server; it is selectable once its slots in use are known.

        Requests in flight stay counted if the server is added again.

        Args:
            backend_id: Instance id of the server.
            service: The service that it runs.
            slots: Requests that it runs at once.
            connections: Connections that it accepts.
        """
        capacity = min(slots, connections)
        known = self._backend_by_id.get(backend_id)
        if known is None:
            known = BackendSlots(backend_id, service, capacity)
            self._backend_by_id[backend_id] = known
        elif known.is_removed:
            known.is_removed = False
            known.is_leaving = False
            known.is_counted = False
        known.service = service
        known.capacity = capacity

    def remove(self, backend_id: str) -> None:
        """Stop using a server; requests in flight may still be released."""
        backend = self._backend_by_id.get(backend_id)
        if backend is not None:
            backend.is_removed = True

    def mark_leaving(self, backend_id: str) -> None:
        """Send a server no new requests; requests in flight continue."""
        backend = self._backend_by_id.get(backend_id)
        if backend is not None:
            backend.is_leaving = True

    def mark_failed(self, backend_id: str, now_ms: int) -> None:
        """Stop selecting a server whose connection failed, until it is probed.

        The server may have restarted and lost its fencing token, so it must report
        its slots in use again.
        """
        backend = self._backend_by_id.get(backend_id)
        if backend is None:
            return
        backend.is_counted = False
        backend.failures += 1
        backend.failed_ms = now_ms
        exponent = min(backend.failures - 1, 16)
        backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << exponent)
        backend.probe_ms = now_ms + backoff_ms

    def record_count(self, backend_id: str, in_use: int, asked_ms: int) -> None:
        """Apply the slots in use that a server reported under the current epoch.

        Args:
            backend_id: Instance id of the server.
            in_use: Slots in use by requests of any owner.
            asked_ms: Time just before the count was requested.
        """
        backend = self._backend_by_id.get(backend_id)
        if backend is not None and asked_ms > backend.failed_ms:
            backend.apply_count(in_use, asked_ms)

    def acquire(self, service: str) -> str | None:
        """Acquire a slot for a request.

        Returns:
            Instance id of the server, or None if no slot is free.
        """
        free = [
            backend
            for backend in self._backend_by_id.values()
            if backend.service == service and backend.free > 0
        ]
        if not free:
            return None
        choices = self.rng.sample(free, min(2, len(free)))
        backend = min(choices, key=lambda choice: choice.in_use / choice.capacity)
        backend.in_flight += 1
        return backend.backend_id

    def release(self, backend_id: str) -> None:
        """Release the slot of a request that the server answered.

        A response resets the back-off. A count does not, since a server may answer
        probes and fail every request.

        Raises:
            ValueError: If this owner holds no slot of the server.
        """
        backend = self._end_request(backend_id)
        backend.failures = 0
        backend.failed_responses = 0

    def release_failed(self, backend_id: str, now_ms: int) -> None:
        """Release the slot of a request that the server ran and failed.

        A server that fails every request at once always has free slots, so most
        requests would go to it. After `FAILED_RESPONSES_ALLOWED` consecutive failures
        it is therefore marked as failed and backed off from.

        Raises:
            ValueError: If this owner holds no slot of the server.
        """
        backend = self._end_request(backend_id)
        backend.failed_responses += 1
        if backend.failed_responses >= FAILED_RESPONSES_ALLOWED:
            self.mark_failed(backend_id, now_ms)

    def abandon(self, backend_id: str, now_ms: int) -> None:
        """Abandon a request that may still run on the server.

        Its slot stays counted until a later probe shows a lower count.

        Raises:
            ValueError: If this owner holds no slot of the server.
        """
        backend = self._end_request(backend_id)
        backend.untracked += 1
        late_arrival_until_ms = now_ms + LATE_ARRIVAL_MS
        backend.late_arrival_until_ms = max(
            backend.late_arrival_until_ms, late_arrival_until_ms
        )

    def due_probes(self, now_ms: int) -> tuple[str, ...]:
        """Return the ids of the servers to probe for their slots in use now.

        Also discards removed servers whose requests have ended.
        """
        self._discard_removed(now_ms)
        return tuple(
            backend.backend_id
            for backend in self._backend_by_id.values()
            if backend.needs_probe(now_ms)
        )

    def free_slots(self, service: str) -> int:
        """Return the number of slots available to requests of a service now."""
        backends = self._backend_by_id.values()
        return sum(backend.free for backend in backends if backend.service == service)

    def untracked_total(self) -> int:
        """Return how many slots requests of unknown teams may use."""
        return sum(backend.untracked for backend in self._backend_by_id.values())

    def backend_ids(self) -> set[str]:
        """Return the ids of the servers that were not removed."""
        backends = self._backend_by_id.values()
        return {b.backend_id for b in backends if not b.is_removed}

    def get(self, backend_id: str) -> BackendSlots | None:
        """Return the record of a server, or None."""
        return self._backend_by_id.get(backend_id)

    def _end_request(self, backend_id: str) -> BackendSlots:
        backend = self._backend_by_id.get(backend_id)
        if backend is None or backend.in_flight == 0:
            raise ValueError(f"no slot of {backend_id!r} is in use by this owner")
        backend.in_flight -= 1
        return backend

    def _discard_removed(self, now_ms: int) -> None:
        for backend in list(self._backend_by_id.values()):
            has_ended = (
                backend.in_flight == 0 and now_ms >= backend.late_arrival_until_ms
            )
            if backend.is_removed and has_ended:
                del self._backend_by_id[backend.backend_id]
