"""An index over the available resources of workers.

Workers are kept in order of the weighted sum of what they have available, in
blocks that know the largest amount of each resource in them. A search starts at
the first worker whose sum could hold the request and skips blocks in which some
resource is too small, so it does not visit full workers.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator

import attrs

from marjoramgrade.resources import ZERO_RESOURCES, Resources

# A block is split at this length; the cost of a search is the number of blocks
# plus the length of one block, which balances at the root of 2,000 workers.
BLOCK_LIMIT = 64

Entry = tuple[int, str, Resources]


def size_of(amount: Resources) -> int:
    """Return the weighted sum of an amount, the order of the index.

    A core weighs about as much as 2 GiB. An accelerator outweighs a whole worker,
    so that work without accelerators prefers workers that have none free.
    """
    return (
        2 * amount.cpu_millis
        + amount.memory_mib
        + 1_000_000 * amount.accelerators
        + 1_000 * amount.slots
    )


@attrs.define
class _Block:
    """A run of entries in order, with the largest amount of each resource."""

    entries: list[Entry]
    largest: Resources = ZERO_RESOURCES
    is_stale: bool = True

    def may_hold(self, request: Resources) -> bool:
        """Return whether some worker of the block might hold the request."""
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
    """Workers in order of their available resources."""

    def __init__(self) -> None:
        self._blocks: list[_Block] = []
        self._lasts: list[tuple[int, str]] = []

    def add(self, worker_id: str, available: Resources) -> None:
        """Add a worker that is not in the index."""
        entry = (size_of(available), worker_id, available)
        if not self._blocks:
            self._blocks.append(_Block([entry]))
            self._lasts.append(entry[:2])
            return
        at = min(bisect_left(self._lasts, entry[:2]), len(self._blocks) - 1)
        block = self._blocks[at]
        insort(block.entries, entry)
        block.is_stale = True
        if len(block.entries) > BLOCK_LIMIT:
            self._split(at)
        else:
            self._lasts[at] = block.entries[-1][:2]

    def discard(self, worker_id: str, available: Resources) -> None:
        """Remove a worker that was added with this amount."""
        key = (size_of(available), worker_id)
        at = bisect_left(self._lasts, key)
        block = self._blocks[at]
        del block.entries[bisect_left(block.entries, key)]
        block.is_stale = True
        if block.entries:
            self._lasts[at] = block.entries[-1][:2]
        else:
            del self._blocks[at], self._lasts[at]

    def iter_fitting(self, request: Resources) -> Iterator[str]:
        """Yield the workers that have room, the one with the least room first."""
        key = (size_of(request), "")
        start = bisect_left(self._lasts, key)
        for at in range(start, len(self._blocks)):
            block = self._blocks[at]
            if block.may_hold(request):
                for _, worker_id, available in block.entries:
                    if request.fits(available):
                        yield worker_id

    def iter_most_available(self) -> Iterator[str]:
        """Yield all workers, the one with the most room first."""
        for block in reversed(self._blocks):
            for _, worker_id, _ in reversed(block.entries):
                yield worker_id

    def _split(self, at: int) -> None:
        entries = self._blocks[at].entries
        half = len(entries) // 2
        parts = [_Block(entries[:half]), _Block(entries[half:])]
        self._blocks[at : at + 1] = parts
        self._lasts[at : at + 1] = [part.entries[-1][:2] for part in parts]
