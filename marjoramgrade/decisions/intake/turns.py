"""Which unfinished bodies are read on in one turn of the event loop.

Handles many concurrent bodies in very small chunks or pieces: reading them all in each
turn would leave no time for ordinary requests.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")

# With chunks of one byte, a segment takes 4 ms on one core and 8 ms on the slowest
# processor.
CHUNKED_SEGMENT_BYTES = 256
SEGMENTS_PER_TURN = 2


@attrs.define
class TurnQueue(Generic[T]):
    """Bodies that wait to be read on; those that have used the fewest turns go first.

    A short body in chunks therefore does not wait for long ones.

    Waiters must be hashable. One that is removed stays in the heap, without being
    returned, until its turn would have come or most entries are such.
    """

    _heap: list[tuple[int, int, T]] = attrs.field(factory=list)
    _waiting: set[T] = attrs.field(factory=set)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiter: T, turns: int) -> None:
        """Let a waiter wait that has used a number of turns."""
        self._waiting.add(waiter)
        heapq.heappush(self._heap, (turns, next(self._order), waiter))

    def remove(self, waiter: T) -> None:
        """Let a waiter wait no longer."""
        self._waiting.discard(waiter)
        if len(self._heap) > 2 * len(self._waiting):
            self._heap = [entry for entry in self._heap if entry[2] in self._waiting]
            heapq.heapify(self._heap)

    def take(self) -> list[T]:
        """Remove and return the waiters of the next turn."""
        count = min(SEGMENTS_PER_TURN, len(self._waiting))
        taken: list[T] = []
        while len(taken) < count:
            waiter = heapq.heappop(self._heap)[2]
            if waiter in self._waiting:
                self._waiting.discard(waiter)
                taken.append(waiter)
        return taken
