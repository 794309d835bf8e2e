"""Queue orders, which choose the next team, and the queues of each team."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Collection, Mapping
from typing import ClassVar, Protocol

import attrs

from marjoramgrade.decisions.shares import TeamShares
from marjoramgrade.decisions.tasks import QueuedTask
from marjoramgrade.model import JobKind
from marjoramgrade.registry import Registry
from marjoramgrade.resources import Resources

ShapeKey = tuple[JobKind, Resources, int, bool]


@attrs.define(eq=False)
class ShapeQueue:
    """Entries of one team and priority with the same shape.

    The shape of an entry is its kind, resources, gang size and rack spreading, so
    entries of one queue are interchangeable.

    Attributes:
        entries: New work, oldest first.
        requeued: Heap of `(queued_ms, number, entry)` of requeued work, ordered by
            the time at which the work was first queued.
        reason: Why the last round that tried the head did not start it.
    """

    entries: deque[QueuedTask] = attrs.field(factory=deque)
    requeued: list[tuple[int, int, QueuedTask]] = attrs.field(factory=list)
    reason: str = ""

    def __len__(self) -> int:
        return len(self.entries) + len(self.requeued)

    def head(self) -> QueuedTask:
        """Return the oldest entry; the queue must not be empty."""
        return self.requeued[0][2] if self._is_requeued_next() else self.entries[0]

    def pop(self) -> QueuedTask:
        """Remove and return the oldest entry; the queue must not be empty."""
        if self._is_requeued_next():
            return heapq.heappop(self.requeued)[2]
        return self.entries.popleft()

    def retain(self, is_live: Callable[[QueuedTask], bool]) -> None:
        """Remove the entries for which `is_live` returns False."""
        self.entries = deque(filter(is_live, self.entries))
        self.requeued = [item for item in self.requeued if is_live(item[2])]
        heapq.heapify(self.requeued)

    def _is_requeued_next(self) -> bool:
        if not self.requeued or not self.entries:
            return not self.entries
        return self.requeued[0][0] <= self.entries[0].queued_ms


@attrs.define(eq=False)
class TeamQueue:
    """The shape queues of one team at one priority.

    Attributes:
        queue_by_shape: Shape queues by the shape of their entries.
        head_heap: Heap of `(queued_ms, number, key)`, one item for each shape queue
            that has not been skipped in this round.
        skipped: Heap items of the shape queues whose head this round could not start.
    """

    queue_by_shape: dict[ShapeKey, ShapeQueue] = attrs.field(factory=dict)
    head_heap: list[tuple[int, int, ShapeKey]] = attrs.field(factory=list)
    skipped: list[tuple[int, int, ShapeKey]] = attrs.field(factory=list)


class QueueOrder(Protocol):
    """Chooses the team whose head is tried next.

    Attributes:
        is_stable: Whether the choice stays the same while nothing starts and the
            chosen team still has a head, so that the caller may reuse the choice.
    """

    is_stable: ClassVar[bool]

    @classmethod
    def from_config(cls, shares: TeamShares) -> QueueOrder:
        """Return an order that may read the resource usage of the teams."""
        ...

    def pick(
        self, queue_by_team: Mapping[str, TeamQueue], teams: Collection[str]
    ) -> str:
        """Return one of the teams.

        Args:
            queue_by_team: The queues of all teams at one priority.
            teams: The teams to choose from, at least one, each with a head.
        """
        ...


QUEUE_ORDERS: Registry[type[QueueOrder]] = Registry("queue order")


@QUEUE_ORDERS.register("weighted_drf")
@attrs.frozen
class WeightedDrf:
    """Serves the team that is furthest below its weighted dominant share."""

    is_stable: ClassVar[bool] = True

    shares: TeamShares

    @classmethod
    def from_config(cls, shares: TeamShares) -> WeightedDrf:
        """Return an order based on these shares."""
        return cls(shares)

    def pick(
        self, queue_by_team: Mapping[str, TeamQueue], teams: Collection[str]
    ) -> str:
        """Return the team furthest below its share."""
        return self.shares.next_team(teams)


@QUEUE_ORDERS.register("fifo")
class Fifo:
    """Serves the team whose head was queued first; a baseline for comparison."""

    is_stable: ClassVar[bool] = False

    @classmethod
    def from_config(cls, shares: TeamShares) -> Fifo:
        """Return an order that ignores shares."""
        return cls()

    def pick(
        self, queue_by_team: Mapping[str, TeamQueue], teams: Collection[str]
    ) -> str:
        """Return the team with the oldest head."""
        return min(teams, key=lambda team: queue_by_team[team].head_heap[0][:2])
