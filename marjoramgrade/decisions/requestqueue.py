"""Queue of requests that wait for a slot of one service, fair between teams."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class RequestQueue(Generic[T]):
    """First in, first out within a team; the team with the lowest usage comes first."""

    def __init__(self) -> None:
        self._waiting_by_team: dict[str, deque[T]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, team: str, item: T) -> None:
        """Add a request of a team."""
        self._waiting_by_team.setdefault(team, deque()).append(item)
        self._length += 1

    def pop(
        self, may_run: Callable[[str], bool], weighted_usage_of: Callable[[str], float]
    ) -> T | None:
        """Remove and return the request that should run next.

        Args:
            may_run: Returns whether a team may use another slot.
            weighted_usage_of: Returns the usage of a team divided by its share.

        Returns:
            The request, or None if no team with waiting requests may run one.
        """
        for team in sorted(self._waiting_by_team, key=weighted_usage_of):
            if may_run(team):
                return self._pop_first(team)
        return None

    def pop_if(self, must_remove: Callable[[T], bool]) -> list[T]:
        """Remove and return every request for which a condition holds."""
        removed = []
        for team, queue in list(self._waiting_by_team.items()):
            remaining: deque[T] = deque()
            for item in queue:
                if must_remove(item):
                    removed.append(item)
                else:
                    remaining.append(item)
            self._set_queue(team, remaining)
        self._length -= len(removed)
        return removed

    def iter_items(self) -> Iterator[T]:
        """Yield all queued requests, team by team."""
        for queue in self._waiting_by_team.values():
            yield from queue

    def _pop_first(self, team: str) -> T:
        queue = self._waiting_by_team[team]
        item = queue.popleft()
        self._set_queue(team, queue)
        self._length -= 1
        return item

    def _set_queue(self, team: str, queue: deque[T]) -> None:
        if queue:
            self._waiting_by_team[team] = queue
        else:
            del self._waiting_by_team[team]
