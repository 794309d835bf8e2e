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
    """

    _waiting: list[tuple[int, int, T]] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiter: T, turns: int) -> None:
        """Let a waiter wait that has used a number of turns."""
        heapq.heappush(self._waiting, (turns, next(self._order), waiter))

    def take(self) -> list[T]:
        """Remove and return the waiters of the next turn."""
        count = min(SEGMENTS_PER_TURN, len(self._waiting))
        return [heapq.heappop(self._waiting)[2] for _ in range(count)]
