"""Workers of one shard and the resources allocated and held on them."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from marjoramgrade.decisions.free_index import FreeIndex
from marjoramgrade.errors import MarjoramgradeError, NotFoundError
from marjoramgrade.resources import ZERO_RESOURCES, Resources


class OvercommitError(MarjoramgradeError):
    """An allocation or release does not fit the capacity of a worker."""

    code = "overcommit"


class UnknownWorkerError(NotFoundError):
    """The pool has no worker with this id."""

    code = "unknown_worker"


@attrs.frozen
class WorkerNode:
    """Id, rack and capacity of a worker, as known to the owner of its shard."""

    worker_id: str
    rack: str
    capacity: Resources


@attrs.define
class _PoolEntry:
    """A worker with its free and held resources.

    Attributes:
        node: The worker.
        free: Capacity that is not allocated.
        held: Sum of all holds; may exceed `free`.
        yielding: The part of `held` that urgent work and gangs may use.
        is_draining: Whether the worker gets no new work.
        indexed: Available resources stored in the index for this worker, or None
            if it is not in the index.
    """

    node: WorkerNode
    free: Resources
    held: Resources = ZERO_RESOURCES
    yielding: Resources = ZERO_RESOURCES
    is_draining: bool = False
    indexed: Resources | None = None


class WorkerPool:
    """Workers with their free resources.

    A hold withholds resources for waiting work, such as a gang. Placement treats
    held resources as used, but they are not allocated: a hold may exceed the free
    resources until running tasks end.
    """

    def __init__(self) -> None:
        self._entry_by_id: dict[str, _PoolEntry] = {}
        self._index = FreeIndex()
        self._total = ZERO_RESOURCES

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._entry_by_id

    @property
    def total_capacity(self) -> Resources:
        """The capacity of all workers, including draining ones."""
        return self._total

    def add(self, node: WorkerNode) -> None:
        """Add a worker, or replace the known worker with the same id.

        The allocations and holds of a known worker stay. If it was draining, it becomes
        schedulable again.

        Raises:
            OvercommitError: If the allocations of the known worker exceed the new
                capacity.
        """
        known = self._entry_by_id.get(node.worker_id)
        used = known.node.capacity - known.free if known else ZERO_RESOURCES
        if not used.fits(node.capacity):
            raise OvercommitError(
                f"{node.worker_id} has more allocated than its new capacity"
            )
        entry = _PoolEntry(node, node.capacity - used)
        if known:
            entry.held, entry.yielding = known.held, known.yielding
            self._drop(known)
        self._entry_by_id[node.worker_id] = entry
        self._total = self._total + node.capacity
        self._refresh(entry)

    def remove(self, worker_id: str) -> None:
        """Remove a worker with all its allocations and holds."""
        self._drop(self._get(worker_id))

    def drain(self, worker_id: str) -> None:
        """Place no new work on a worker; its allocations stay."""
        entry = self._get(worker_id)
        entry.is_draining = True
        self._refresh(entry)

    def allocate(self, worker_id: str, amount: Resources) -> None:
        """Allocate an amount on a worker.

        Raises:
            OvercommitError: If the amount is not free.
        """
        entry = self._get(worker_id)
        if not amount.fits(entry.free):
            raise OvercommitError(
                f"{amount} is not free on {worker_id}", free=str(entry.free)
            )
        entry.free = entry.free - amount
        self._refresh(entry)

    def release(self, worker_id: str, amount: Resources) -> None:
        """Free an allocated amount.

        Raises:
            OvercommitError: If the free resources would exceed the capacity.
        """
        entry = self._get(worker_id)
        free = entry.free + amount
        if not free.fits(entry.node.capacity):
            raise OvercommitError(f"{amount} was not allocated on {worker_id}")
        entry.free = free
        self._refresh(entry)

    def hold(
        self, worker_id: str, amount: Resources, *, is_yielding: bool = False
    ) -> None:
        """Withhold an amount from placement, whether or not it is free yet.

        Args:
            worker_id: The worker.
            amount: The resources to withhold.
            is_yielding: Whether urgent work and gangs may use the held resources.
        """
        entry = self._get(worker_id)
        entry.held = entry.held + amount
        if is_yielding:
            entry.yielding = entry.yielding + amount
        self._refresh(entry)

    def release_hold(
        self, worker_id: str, amount: Resources, *, is_yielding: bool = False
    ) -> None:
        """End a hold; does nothing if the worker was removed."""
        entry = self._entry_by_id.get(worker_id)
        if entry is None:
            return
        entry.held = entry.held - amount
        if is_yielding:
            entry.yielding = entry.yielding - amount
        self._refresh(entry)

    def node_of(self, worker_id: str) -> WorkerNode:
        """Return a worker."""
        return self._get(worker_id).node

    def free_of(self, worker_id: str) -> Resources:
        """Return the resources that are not allocated on a worker."""
        return self._get(worker_id).free

    def available_of(self, worker_id: str) -> Resources:
        """Return the free resources less the held ones; may be negative."""
        entry = self._get(worker_id)
        return entry.free - entry.held

    def available_after_yield(self, worker_id: str) -> Resources:
        """Return what would be available without the yielding holds."""
        entry = self._get(worker_id)
        return entry.free - entry.held + entry.yielding

    def is_schedulable(self, worker_id: str) -> bool:
        """Return whether a worker is known and not draining."""
        entry = self._entry_by_id.get(worker_id)
        return entry is not None and not entry.is_draining

    def iter_schedulable(self) -> Iterator[tuple[WorkerNode, Resources]]:
        """Yield schedulable workers and their available resources."""
        for entry in self._entry_by_id.values():
            if not entry.is_draining:
                yield entry.node, entry.free - entry.held

    def iter_most_available(self) -> Iterator[tuple[WorkerNode, Resources]]:
        """Yield schedulable workers and their available resources, most first."""
        for worker_id in self._index.iter_most_available():
            entry = self._entry_by_id[worker_id]
            yield entry.node, entry.free - entry.held

    def iter_fitting(self, request: Resources) -> Iterator[WorkerNode]:
        """Yield schedulable workers that a request fits on, least available first."""
        for worker_id in self._index.iter_fitting(request):
            yield self._entry_by_id[worker_id].node

    def _get(self, worker_id: str) -> _PoolEntry:
        try:
            return self._entry_by_id[worker_id]
        except KeyError:
            raise UnknownWorkerError(f"no worker is named {worker_id!r}") from None

    def _drop(self, entry: _PoolEntry) -> None:
        if entry.indexed is not None:
            self._index.discard(entry.node.worker_id, entry.indexed)
        del self._entry_by_id[entry.node.worker_id]
        self._total = self._total - entry.node.capacity

    def _refresh(self, entry: _PoolEntry) -> None:
        """Update the index after a change to one worker."""
        worker_id = entry.node.worker_id
        if entry.indexed is not None:
            self._index.discard(worker_id, entry.indexed)
            entry.indexed = None
        if not entry.is_draining:
            entry.indexed = entry.free - entry.held
            self._index.add(worker_id, entry.indexed)
