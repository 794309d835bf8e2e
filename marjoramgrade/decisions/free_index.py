"""An index over the available resources of workers.

Workers are sorted by the weighted sum of their available resources and divided
into blocks. Each block stores the largest amount of each resource in it. A search
starts with the first block whose sums are large enough for the request and skips
blocks where some resource is too small, so it does not visit full workers.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator

import attrs

from marjoramgrade.resources import ZERO_RESOURCES, Resources

# A block that exceeds this length is split. A search costs the number of blocks plus
# the length of one block, which is least near the square root of 2,000 workers.
BLOCK_LIMIT = 64

Entry = tuple[int, str, Resources]


def size_of(amount: Resources) -> int:
    """Return the weighted sum of an amount, by which the index is sorted.

    A core weighs about as much as 2 GiB. An accelerator weighs more than all other
    resources of a worker, so that work without accelerators prefers workers that
    have none free.
    """
    return (
        2 * amount.cpu_millis
        + amount.memory_mib
        + 1_000_000 * amount.accelerators
        + 1_000 * amount.slots
    )


@attrs.define
class _Block:
    """A sorted part of the index.

    Attributes:
        entries: Size, worker id and available resources of each worker, sorted.
        largest: Largest amount of each resource in the block.
        is_stale: Whether `largest` must be computed again.
    """

    entries: list[Entry]
    largest: Resources = ZERO_RESOURCES
    is_stale: bool = True

    def may_fit(self, request: Resources) -> bool:
        """Return whether a worker of the block may have enough resources."""
        if self.is_stale:
            amounts = [entry[2] for entry in self.entries]
            self.largest = Resources(
                max(amount.cpu_millis for amount in amounts),
                max(amount.memory_mib for amount in amounts),
                max(amount.accelerators for amount in amounts),
                max(amount.slots for amount in amounts),
            )
            self.is_stale = False
        return request.fits(self.largest)


class FreeIndex:
    """Workers sorted by their available resources."""

    def __init__(self) -> None:
        self._blocks: list[_Block] = []
        self._last_keys: list[tuple[int, str]] = []

    def add(self, worker_id: str, available: Resources) -> None:
        """Add a worker that is not in the index."""
        entry = (size_of(available), worker_id, available)
        if not self._blocks:
            self._blocks.append(_Block([entry]))
            self._last_keys.append(entry[:2])
            return
        position = min(bisect_left(self._last_keys, entry[:2]), len(self._blocks) - 1)
        block = self._blocks[position]
        insort(block.entries, entry)
        block.is_stale = True
        if len(block.entries) > BLOCK_LIMIT:
            self._split(position)
        else:
            self._last_keys[position] = block.entries[-1][:2]

    def discard(self, worker_id: str, available: Resources) -> None:
        """Remove a worker that was added with this amount."""
        key = (size_of(available), worker_id)
        position = bisect_left(self._last_keys, key)
        block = self._blocks[position]
        del block.entries[bisect_left(block.entries, key)]
        block.is_stale = True
        if block.entries:
            self._last_keys[position] = block.entries[-1][:2]
        else:
            del self._blocks[position], self._last_keys[position]

    def iter_fitting(self, request: Resources) -> Iterator[str]:
        """Yield the workers that a request fits on, least available first."""
        key = (size_of(request), "")
        start = bisect_left(self._last_keys, key)
        for position in range(start, len(self._blocks)):
            block = self._blocks[position]
            if block.may_fit(request):
                for _, worker_id, available in block.entries:
                    if request.fits(available):
                        yield worker_id

    def iter_most_available(self) -> Iterator[str]:
        """Yield all workers, most available first."""
        for block in reversed(self._blocks):
            for _, worker_id, _ in reversed(block.entries):
                yield worker_id

    def _split(self, position: int) -> None:
        entries = self._blocks[position].entries
        middle = len(entries) // 2
        parts = [_Block(entries[:middle]), _Block(entries[middle:])]
        self._blocks[position : position + 1] = parts
        self._last_keys[position : position + 1] = [
            part.entries[-1][:2] for part in parts
        ]
