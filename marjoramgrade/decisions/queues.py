"""Queued tasks of one shard, by team and by shape.

Tasks of one team with the same shape share a shape queue. If the head of a shape
queue does not fit, no other entry of that queue fits, so the round skips the queue
and tries the next one. A round never examines entries behind a head.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import count

import attrs

from marjoramgrade.decisions.queue_orders import (
    QUEUE_ORDERS,
    QueueOrder,
    ShapeKey,
    ShapeQueue,
    TeamQueue,
)
from marjoramgrade.decisions.tasks import QueuedTask
from marjoramgrade.errors import OverloadedError, RefusedError
from marjoramgrade.model import Priority, TaskId

__all__ = ["QUEUE_ORDERS", "DuplicateTaskError", "QueuedTask", "TaskQueue"]

# Cancelled tasks are removed from the shape queues once they outnumber both this
# and the queued tasks, so a sweep costs amortized constant time per cancelled task.
SWEEP_MINIMUM = 1_024
# Shape queues of one team that a round tries. Without this bound, each round of a
# full shard would try every shape of a team that submits very many shapes.
SHAPES_PER_ROUND = 16
DEFAULT_TEAM_BOUND = 100_000


class DuplicateTaskError(RefusedError):
    """A task with this id is already queued or running."""

    code = "duplicate_task"


@attrs.define(eq=False)
class _PriorityTier:
    """The teams with queued tasks at one priority.

    Attributes:
        queue_by_team: Queues of the teams with at least one shape queue.
        ready: Teams that this round may still try.
        skipped_teams: Teams that were skipped, or had a shape skipped, in this round.
        current: The team chosen last, while that choice is valid; otherwise empty.
    """

    queue_by_team: dict[str, TeamQueue] = attrs.field(factory=dict)
    ready: set[str] = attrs.field(factory=set)
    skipped_teams: set[str] = attrs.field(factory=set)
    current: str = ""


def shape_key_of(entry: QueuedTask) -> ShapeKey:
    """Return the shape of an entry; see `ShapeQueue`."""
    return (entry.kind, entry.resources, entry.gang_size, entry.spread_racks)


class TaskQueue:
    """Queued tasks of one shard.

    Args:
        order: Chooses the team that is tried next.
    """

    def __init__(self, order: QueueOrder) -> None:
        self._order = order
        self._tier_by_priority = {priority: _PriorityTier() for priority in Priority}
        self._entries_by_job: dict[str, dict[int, QueuedTask]] = {}
        self._length_by_team: dict[str, int] = {}
        self._bound_by_team: dict[str, int] = {}
        self._blocked_reason_by_team: dict[str, str] = {}
        # Heap of `(not_before_ms, number, entry)`.
        self._delayed: list[tuple[int, int, QueuedTask]] = []
        # Numbers that break ties in the heaps.
        self._number = count()
        self._queued_count = 0
        self._cancelled_count = 0

    def __len__(self) -> int:
        return self._queued_count

    def length_of(self, team: str) -> int:
        """Return the number of queued tasks of a team."""
        return self._length_by_team.get(team, 0)

    def iter_teams(self) -> Iterator[str]:
        """Yield the teams with queued tasks."""
        yield from self._length_by_team

    def set_bound(self, team: str, bound: int) -> None:
        """Set how many tasks of a team may be queued."""
        self._bound_by_team[team] = bound

    def find(self, task: TaskId) -> QueuedTask | None:
        """Return the entry that a queued task belongs to, or None."""
        return self._entries_by_job.get(task.job_id, {}).get(task.index)

    def entries_of_job(self, job_id: str) -> list[QueuedTask]:
        """Return the queued entries of a job; a gang occurs once per member."""
        return list(self._entries_by_job.get(job_id, {}).values())

    def push(self, entry: QueuedTask, now_ms: int, *, is_requeue: bool = False) -> None:
        """Queue a task or a gang.

        Args:
            entry: The task or gang.
            now_ms: Current time.
            is_requeue: Whether the work was accepted before; the queue bound of its
                team does not apply to such work.

        Raises:
            DuplicateTaskError: If one of its tasks is already queued.
            OverloadedError: If the team's bound would be exceeded.
        """
        self._check_bound(entry, is_requeue)
        entries = self._entries_by_job.setdefault(entry.task.job_id, {})
        indices = [task.index for task in entry.iter_tasks()]
        if any(index in entries for index in indices):
            raise DuplicateTaskError(f"{entry.task} is already queued")
        entries.update(dict.fromkeys(indices, entry))
        self._count(entry.team, len(indices))
        if entry.not_before_ms > now_ms:
            item = (entry.not_before_ms, next(self._number), entry)
            heapq.heappush(self._delayed, item)
        else:
            self._add_to_shape_queue(entry, is_requeue)

    def begin_round(self, now_ms: int) -> None:
        """Start a round: restore skipped shapes and teams, and add due delayed tasks.

        Blocked teams stay blocked.
        """
        while self._delayed and self._delayed[0][0] <= now_ms:
            entry = heapq.heappop(self._delayed)[2]
            if self._is_live(entry):
                self._add_to_shape_queue(entry, is_requeue=True)
            else:
                self._cancelled_count -= entry.gang_size
        for tier in self._tier_by_priority.values():
            tier.current = ""
            for team in tier.skipped_teams:
                self._restore_skipped(tier, team)
            tier.skipped_teams.clear()

    def peek(self, priority: Priority) -> QueuedTask | None:
        """Return the entry to try next at a priority, or None."""
        tier = self._tier_by_priority[priority]
        while tier.ready:
            team = self._choose_team(tier)
            entry = self._head_of(tier.queue_by_team[team])
            if entry is not None:
                return entry
            tier.ready.discard(team)
            if not tier.queue_by_team[team].queue_by_shape:
                del tier.queue_by_team[team]
        return None

    def _choose_team(self, tier: _PriorityTier) -> str:
        if self._order.is_stable and tier.current in tier.ready:
            return tier.current
        tier.current = self._order.pick(tier.queue_by_team, tier.ready)
        return tier.current

    def dequeue(self, entry: QueuedTask) -> None:
        """Remove the entry that `peek` returned."""
        tier = self._tier_by_priority[entry.priority]
        tier.current = ""
        tier.queue_by_team[entry.team].queue_by_shape[shape_key_of(entry)].pop()
        entries = self._entries_by_job[entry.task.job_id]
        for task in entry.iter_tasks():
            del entries[task.index]
        if not entries:
            del self._entries_by_job[entry.task.job_id]
        self._count(entry.team, -entry.gang_size)

    def skip_shape(self, entry: QueuedTask, reason: str) -> None:
        """Skip the shape queue of an entry for the rest of this round.

        Args:
            entry: The entry that `peek` returned.
            reason: Why it was not started, for operators.
        """
        tier = self._tier_by_priority[entry.priority]
        queue = tier.queue_by_team[entry.team]
        queue.queue_by_shape[shape_key_of(entry)].reason = reason
        queue.skipped.append(heapq.heappop(queue.head_heap))
        tier.skipped_teams.add(entry.team)
        if not queue.head_heap or len(queue.skipped) >= SHAPES_PER_ROUND:
            tier.ready.discard(entry.team)

    def skip_team(self, entry: QueuedTask, reason: str) -> None:
        """Skip the team of an entry for the rest of this round.

        Args:
            entry: The entry that `peek` returned.
            reason: Why it was not started, for operators.
        """
        tier = self._tier_by_priority[entry.priority]
        shape_queue = tier.queue_by_team[entry.team].queue_by_shape[shape_key_of(entry)]
        shape_queue.reason = reason
        tier.skipped_teams.add(entry.team)
        tier.ready.discard(entry.team)

    def set_blocked(self, team: str, reason: str) -> None:
        """Block a team, or unblock it with an empty reason."""
        if reason:
            self._blocked_reason_by_team[team] = reason
            for tier in self._tier_by_priority.values():
                tier.ready.discard(team)
        elif self._blocked_reason_by_team.pop(team, ""):
            for tier in self._tier_by_priority.values():
                if team in tier.queue_by_team:
                    self._restore_skipped(tier, team)

    def cancel(self, task: TaskId) -> QueuedTask | None:
        """Cancel a queued task, or the whole gang that it belongs to.

        The amortized cost per cancelled task is constant.

        Returns:
            The cancelled entry, or None if the task is not queued.
        """
        entry = self.find(task)
        if entry is None:
            return None
        entries = self._entries_by_job[task.job_id]
        for member in entry.iter_tasks():
            del entries[member.index]
        if not entries:
            del self._entries_by_job[task.job_id]
        self._record_cancelled(entry.team, entry.gang_size)
        return entry

    def cancel_job(self, job_id: str) -> int:
        """Cancel every queued task of a job without visiting its entries.

        Returns:
            The number of cancelled tasks.
        """
        entries = self._entries_by_job.pop(job_id, None)
        if not entries:
            return 0
        team = next(iter(entries.values())).team
        self._record_cancelled(team, len(entries))
        return len(entries)

    def reason_of(self, entry: QueuedTask) -> str:
        """Return why a queued entry waits, or an empty string if none is recorded."""
        blocked = self._blocked_reason_by_team.get(entry.team)
        if blocked:
            return blocked
        tier = self._tier_by_priority[entry.priority]
        queue = tier.queue_by_team.get(entry.team)
        shape_queue = queue.queue_by_shape.get(shape_key_of(entry)) if queue else None
        return shape_queue.reason if shape_queue else ""

    def _check_bound(self, entry: QueuedTask, is_requeue: bool) -> None:
        bound = self._bound_by_team.get(entry.team, DEFAULT_TEAM_BOUND)
        length = self.length_of(entry.team)
        if not is_requeue and length + entry.gang_size > bound:
            raise OverloadedError(
                f"team {entry.team} has {length} of at most {bound} queued tasks",
                team=entry.team,
            )

    def _is_live(self, entry: QueuedTask) -> bool:
        return self.find(entry.task) is entry

    def _count(self, team: str, change: int) -> None:
        self._queued_count += change
        length = self.length_of(team) + change
        if length:
            self._length_by_team[team] = length
        else:
            self._length_by_team.pop(team, None)

    def _record_cancelled(self, team: str, tasks: int) -> None:
        """Count cancelled tasks, whose entries are removed later."""
        self._count(team, -tasks)
        self._cancelled_count += tasks
        if self._cancelled_count > max(SWEEP_MINIMUM, self._queued_count):
            self._sweep()

    def _sweep(self) -> None:
        for tier in self._tier_by_priority.values():
            for queue in tier.queue_by_team.values():
                for shape_queue in queue.queue_by_shape.values():
                    shape_queue.retain(self._is_live)
        self._delayed = [item for item in self._delayed if self._is_live(item[2])]
        heapq.heapify(self._delayed)
        self._cancelled_count = 0

    def _add_to_shape_queue(self, entry: QueuedTask, is_requeue: bool) -> None:
        tier = self._tier_by_priority[entry.priority]
        queue = tier.queue_by_team.setdefault(entry.team, TeamQueue())
        key = shape_key_of(entry)
        shape_queue = queue.queue_by_shape.get(key)
        if shape_queue is None:
            shape_queue = queue.queue_by_shape[key] = ShapeQueue()
            item = (entry.queued_ms, next(self._number), key)
            heapq.heappush(queue.head_heap, item)
        if is_requeue:
            requeued = (entry.queued_ms, next(self._number), entry)
            heapq.heappush(shape_queue.requeued, requeued)
        else:
            shape_queue.entries.append(entry)
        if queue.head_heap and entry.team not in self._blocked_reason_by_team:
            tier.ready.add(entry.team)

    def _restore_skipped(self, tier: _PriorityTier, team: str) -> None:
        queue = tier.queue_by_team[team]
        for item in queue.skipped:
            heapq.heappush(queue.head_heap, item)
        queue.skipped.clear()
        if queue.head_heap and team not in self._blocked_reason_by_team:
            tier.ready.add(team)

    def _head_of(self, queue: TeamQueue) -> QueuedTask | None:
        """Return the head of the first shape queue and remove empty shape queues."""
        while queue.head_heap:
            queued_ms, number, key = queue.head_heap[0]
            shape_queue = queue.queue_by_shape[key]
            while shape_queue and not self._is_live(shape_queue.head()):
                self._cancelled_count -= shape_queue.pop().gang_size
            if not shape_queue:
                heapq.heappop(queue.head_heap)
                del queue.queue_by_shape[key]
                continue
            head = shape_queue.head()
            if head.queued_ms <= queued_ms:
                return head
            heapq.heapreplace(queue.head_heap, (head.queued_ms, number, key))
        return None
