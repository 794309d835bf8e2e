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
# Small enough that 640 connections that wait for their turn hold 10 MB, and large
# enough that a body of the largest size takes 16 turns.
SEGMENT_BYTES = 16_384
SEGMENTS_PER_TURN = 2


@attrs.define
class TurnQueue(Generic[T]):
    """Bodies that wait to be read on; those that need the fewest turns go first.

    A short body in chunks therefore does not wait for long ones. A long one is passed
    by others for a limited time: each round of the queue counts like a turn needed by
    those that come after it.

    Waiters must be hashable. One that is removed stays in the heap, without being
    returned, until its turn would have come or most entries are such.
    """

    _heap: list[tuple[bool, float, int, T]] = attrs.field(factory=list)
    _waiting: set[T] = attrs.field(factory=set)
    _order: Iterator[int] = attrs.field(factory=itertools.count)
    _rounds: float = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiter: T, turns: int, *, is_first: bool = False) -> None:
        """Let a waiter wait.

        Args:
            waiter: The waiter.
            turns: Number of turns that it needs, as far as known.
            is_first: Whether it comes before all that are not.
        """
        self._waiting.add(waiter)
        entry = (not is_first, self._rounds + turns, next(self._order), waiter)
        heapq.heappush(self._heap, entry)

    def remove(self, waiter: T) -> None:
        """Let a waiter wait no longer."""
        self._waiting.discard(waiter)
        if len(self._heap) > 2 * len(self._waiting):
            self._heap = [entry for entry in self._heap if entry[3] in self._waiting]
            heapq.heapify(self._heap)

    def take(self) -> list[T]:
        """Remove and return the waiters of the next turn."""
        count = min(SEGMENTS_PER_TURN, len(self._waiting))
        if count:
            self._rounds += count / len(self._waiting)
        taken: list[T] = []
        while len(taken) < count:
            waiter = heapq.heappop(self._heap)[3]
            if waiter in self._waiting:
                self._waiting.discard(waiter)
                taken.append(waiter)
        return taken
