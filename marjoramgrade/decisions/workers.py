"""Workers of one shard and the resources reserved on them."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from marjoramgrade.decisions.free_index import FreeIndex
from marjoramgrade.errors import MarjoramgradeError, NotFoundError
from marjoramgrade.resources import ZERO_RESOURCES, Resources


class OvercommitError(MarjoramgradeError):
    """A reservation would exceed the capacity of a worker."""

    code = "overcommit"


class UnknownWorkerError(NotFoundError):
    """The pool has no worker of this id."""

    code = "unknown_worker"


@attrs.frozen
class WorkerNode:
    """A worker as its shard owner knows it."""

    worker_id: str
    rack: str
    capacity: Resources


@attrs.define
class _Room:
    """What is used and held on one worker."""

    node: WorkerNode
    free: Resources
    held: Resources = ZERO_RESOURCES
    yielding: Resources = ZERO_RESOURCES
    is_draining: bool = False
    # The amount under which the worker is in the index, or None.
    indexed: Resources | None = None


class WorkerPool:
    """Workers with their free resources.

    An amount that is held is kept for work that waits, such as a gang. It counts
    as used for every choice of a worker, but is not reserved: it may exceed what
    is free until running tasks end.
    """

    def __init__(self) -> None:
        self._room_by_id: dict[str, _Room] = {}
        self._index = FreeIndex()
        self._total = ZERO_RESOURCES

    def __len__(self) -> int:
        return len(self._room_by_id)

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._room_by_id

    @property
    def total_capacity(self) -> Resources:
        """The capacity of all workers, draining ones included."""
        return self._total

    def add(self, node: WorkerNode) -> None:
        """Add a worker, or replace one of the same id that has no reservation.

        Raises:
            OvercommitError: If the known worker has reservations that exceed the
                new capacity.
        """
        known = self._room_by_id.get(node.worker_id)
        used = known.node.capacity - known.free if known else ZERO_RESOURCES
        if not used.fits(node.capacity):
            raise OvercommitError(
                f"{node.worker_id} has more reserved than its new capacity"
            )
        room = _Room(node, node.capacity - used)
        if known:
            room.held, room.yielding = known.held, known.yielding
            self._drop(known)
        self._room_by_id[node.worker_id] = room
        self._total = self._total + node.capacity
        self._refresh(room)

    def remove(self, worker_id: str) -> None:
        """Remove a worker with all its reservations."""
        self._drop(self._get(worker_id))

    def drain(self, worker_id: str) -> None:
        """Let a worker take no new work; its reservations stay."""
        room = self._get(worker_id)
        room.is_draining = True
        self._refresh(room)

    def allocate(self, worker_id: str, amount: Resources) -> None:
        """Reserve an amount on a worker.

        Raises:
            OvercommitError: If the amount is not free.
        """
        room = self._get(worker_id)
        if not amount.fits(room.free):
            raise OvercommitError(
                f"{amount} is not free on {worker_id}", free=str(room.free)
            )
        room.free = room.free - amount
        self._refresh(room)

    def release(self, worker_id: str, amount: Resources) -> None:
        """Give back a reserved amount.

        Raises:
            OvercommitError: If more would be free than the worker has.
        """
        room = self._get(worker_id)
        free = room.free + amount
        if not free.fits(room.node.capacity):
            raise OvercommitError(f"{amount} was not reserved on {worker_id}")
        room.free = free
        self._refresh(room)

    def hold(
        self, worker_id: str, amount: Resources, *, is_yielding: bool = False
    ) -> None:
        """Keep an amount from being chosen, whether or not it is free yet.

        Args:
            worker_id: The worker.
            amount: What is kept.
            is_yielding: Whether the hold gives way to urgent work and gangs.
        """
        room = self._get(worker_id)
        room.held = room.held + amount
        if is_yielding:
            room.yielding = room.yielding + amount
        self._refresh(room)

    def release_hold(
        self, worker_id: str, amount: Resources, *, is_yielding: bool = False
    ) -> None:
        """End a hold; a worker that has gone is ignored."""
        room = self._room_by_id.get(worker_id)
        if room is None:
            return
        room.held = room.held - amount
        if is_yielding:
            room.yielding = room.yielding - amount
        self._refresh(room)

    def node_of(self, worker_id: str) -> WorkerNode:
        """Return a worker."""
        return self._get(worker_id).node

    def free_of(self, worker_id: str) -> Resources:
        """Return what is not reserved on a worker."""
        return self._get(worker_id).free

    def available_of(self, worker_id: str) -> Resources:
        """Return what is neither reserved nor held; amounts may be negative."""
        room = self._get(worker_id)
        return room.free - room.held

    def available_after_yield(self, worker_id: str) -> Resources:
        """Return what is available once the holds that give way have ended."""
        room = self._get(worker_id)
        return room.free - room.held + room.yielding

    def is_schedulable(self, worker_id: str) -> bool:
        """Return whether a worker is known and takes new work."""
        room = self._room_by_id.get(worker_id)
        return room is not None and not room.is_draining

    def iter_schedulable(self) -> Iterator[tuple[WorkerNode, Resources]]:
        """Yield workers that take new work and what is available on them."""
        for room in self._room_by_id.values():
            if not room.is_draining:
                yield room.node, room.free - room.held

    def iter_most_available(self) -> Iterator[tuple[WorkerNode, Resources]]:
        """Yield open workers and what is available, the most room first."""
        for worker_id in self._index.iter_most_available():
            room = self._room_by_id[worker_id]
            yield room.node, room.free - room.held

    def iter_fitting(self, request: Resources) -> Iterator[WorkerNode]:
        """Yield open workers that have room, the one with the least room first."""
        for worker_id in self._index.iter_fitting(request):
            yield self._room_by_id[worker_id].node

    def _get(self, worker_id: str) -> _Room:
        try:
            return self._room_by_id[worker_id]
        except KeyError:
            raise UnknownWorkerError(f"no worker is named {worker_id!r}") from None

    def _drop(self, room: _Room) -> None:
        if room.indexed is not None:
            self._index.discard(room.node.worker_id, room.indexed)
        del self._room_by_id[room.node.worker_id]
        self._total = self._total - room.node.capacity

    def _refresh(self, room: _Room) -> None:
        """Bring the index up to date with the room of one worker."""
        worker_id = room.node.worker_id
        if room.indexed is not None:
            self._index.discard(worker_id, room.indexed)
            room.indexed = None
        if not room.is_draining:
            room.indexed = room.free - room.held
            self._index.add(worker_id, room.indexed)
