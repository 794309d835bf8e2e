"""One round of a shard's scheduler: what starts and stops now."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.actions import Decision, StartTask, StopMode, StopTask
from marjoramgrade.decisions.claims import Claim
from marjoramgrade.decisions.gangs import GANG_WAIT_MS, place_gang, plan_reservation
from marjoramgrade.decisions.queues import TaskQueue
from marjoramgrade.decisions.running import Stopping
from marjoramgrade.decisions.shard_state import (
    AT_LIMIT,
    FREEING_ROOM,
    KEEPING_ROOM,
    NO_ROOM,
    ShardState,
)
from marjoramgrade.decisions.tasks import QueuedTask, RunningTask
from marjoramgrade.model import Priority

# The bound for urgent work is 6.1 s: 1 s to find room by itself, 4 s for a
# checkpoint, and the rest for the stop that follows and for the ticks between.
URGENT_WAIT_MS = 1_000
CHECKPOINT_MS = 4_000
PREEMPTED = "preempted for urgent work"


@attrs.define
class Round:
    """Starts what fits, urgent work first, and makes room for what must not wait.

    Attributes:
        state: The shard.
        now_ms: Time now.
        budget: Starts that this round may decide; a gang may exceed it.
    """

    state: ShardState
    now_ms: int
    budget: int
    _starts: list[StartTask] = attrs.field(factory=list)

    def run(self) -> list[Decision]:
        """Return the decisions of this round, stops first."""
        for queue in self.state.queues:
            queue.begin_round(self.now_ms)
        self._escalate_checkpoints()
        self._start_claims()
        for priority in sorted(Priority, reverse=True):
            for queue in self.state.queues:
                self._start_queued(queue, priority)
        decisions = [*self.state.pending, *self._starts]
        self.state.pending.clear()
        return decisions

    def _escalate_checkpoints(self) -> None:
        """Stop tasks whose checkpoint takes too long."""
        checkpoints = self.state.checkpoints
        while checkpoints and checkpoints[0][0] <= self.now_ms:
            running = checkpoints.popleft()[1]
            if self.state.running.find(running.task) is running:
                stop = StopTask(
                    running.task, running.worker_id, StopMode.STOP, PREEMPTED
                )
                self.state.pending.append(stop)

    def _start_claims(self) -> None:
        for claim in self.state.claims:
            if not claim.is_ready(self.state.pool):
                continue
            if not self.state.may_start(claim.entry.team, claim.entry.total):
                continue
            self.state.claims.remove(claim)
            self._start(claim.entry, list(claim.worker_ids))

    def _start_queued(self, queue: TaskQueue, priority: Priority) -> None:
        while len(self._starts) < self.budget:
            entry = queue.peek(priority)
            if entry is None:
                return
            if not self.state.may_start(entry.team, entry.total):
                queue.park(entry, AT_LIMIT)
                continue
            worker_ids = self._place(entry)
            if worker_ids is not None:
                queue.take(entry)
                self._start(entry, worker_ids)
                continue
            claim = self._claim_for(entry)
            if claim is not None:
                queue.take(entry)
                self.state.claims.add(claim)
            else:
                queue.park(entry, NO_ROOM)

    def _place(self, entry: QueuedTask) -> list[str] | None:
        placement = self.state.policy_by_kind[entry.kind].placement
        avoid = self.state.health.avoided(self.now_ms)
        pool = self.state.pool
        if entry.gang_size > 1:
            return place_gang(
                pool,
                placement,
                entry.resources,
                entry.gang_size,
                entry.spread_racks,
                avoid,
            )
        worker_id = placement.choose(pool, entry.resources, avoid)
        return None if worker_id is None else [worker_id]

    def _start(self, entry: QueuedTask, worker_ids: list[str]) -> None:
        self._starts.extend(self.state.start(entry, worker_ids, self.now_ms))

    def _claim_for(self, entry: QueuedTask) -> Claim | None:
        """Return a claim for an entry that has waited too long, or None."""
        waited_ms = self.now_ms - max(entry.queued_ms, entry.not_before_ms)
        if entry.is_urgent and waited_ms >= URGENT_WAIT_MS:
            claim = self._preempt_for(entry)
            if claim is not None:
                return claim
        # One reservation at a time: two gangs must not each keep half of the shard.
        if entry.gang_size == 1 or waited_ms < GANG_WAIT_MS:
            return None
        if self.state.claims.has_reservation():
            return None
        return self._reserve_for(entry)

    def _reserve_for(self, entry: QueuedTask) -> Claim | None:
        worker_ids = plan_reservation(
            self.state.pool,
            entry.resources,
            entry.gang_size,
            entry.spread_racks,
            self.state.running.services_on,
            self.state.health.avoided(self.now_ms),
        )
        if worker_ids is None:
            return None
        return Claim(entry, tuple(worker_ids), KEEPING_ROOM)

    def _preempt_for(self, entry: QueuedTask) -> Claim | None:
        """Choose running tasks to stop for each member of an urgent entry."""
        state = self.state
        preemption = state.policy_by_kind[entry.kind].preemption
        avoid = state.health.avoided(self.now_ms)
        if entry.gang_size > 1:
            return None
        eviction = preemption.choose(
            state.running, state.shares, state.pool, entry.resources, avoid
        )
        if eviction is None:
            return None
        for victim in eviction.victims:
            self._checkpoint(victim)
        return Claim(entry, (eviction.worker_id,), FREEING_ROOM)

    def _checkpoint(self, victim: RunningTask) -> None:
        self.state.stop(victim, StopMode.CHECKPOINT, Stopping(True, PREEMPTED))
        self.state.checkpoints.append((self.now_ms + CHECKPOINT_MS, victim))
