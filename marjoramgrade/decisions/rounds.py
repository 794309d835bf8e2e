"""One scheduling round of a shard: decides which tasks start and stop."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.actions import Decision, StartTask, StopMode
from marjoramgrade.decisions.gangs import (
    GANG_RESERVATION_DELAY_MS,
    place_gang,
    plan_reservation,
)
from marjoramgrade.decisions.preemption import Eviction
from marjoramgrade.decisions.queues import TaskQueue
from marjoramgrade.decisions.reservations import Reservation
from marjoramgrade.decisions.running import StopRequest
from marjoramgrade.decisions.shard_state import (
    WAITING_ABOVE_SHARE,
    WAITING_AT_LIMIT,
    WAITING_FOR_CAPACITY,
    WAITING_FOR_PREEMPTION,
    WAITING_FOR_RESERVATION,
    ShardState,
)
from marjoramgrade.decisions.tasks import QueuedTask, RunningTask
from marjoramgrade.model import Priority
from marjoramgrade.resources import Resources

# Urgent work must start within 6.1 s: 1 s of waiting for free capacity without
# preemption, 4 s for a checkpoint, and the rest for the stop that follows and for
# the ticks in between.
URGENT_PREEMPTION_DELAY_MS = 1_000
CHECKPOINT_TIMEOUT_MS = 4_000
# After this time a large task may reserve capacity even if its team is at its share,
# because small tasks would otherwise use each part of the capacity as it is freed.
TASK_RESERVATION_DELAY_MS = 5_000
# Reserved capacity is idle until there is enough of it, so at most one reservation
# is made per this many workers.
WORKERS_PER_RESERVATION = 8
# While any reservation of non-urgent work exists, a team that is above its share by
# more than this fraction of the shard starts nothing. A smaller fraction would leave
# capacity idle because a single task can put a team above it.
SHARE_SLACK = 0.01
# A reservation plan examines many workers, so a round in a full shard computes only
# a few plans.
PLANS_PER_ROUND = 4
PREEMPTION_REASON = "preempted for urgent work"


@attrs.define
class SchedulingRound:
    """Starts the tasks that fit, urgent ones first; reserves or preempts for others.

    Attributes:
        state: The shard.
        now_ms: Current time.
        budget: Maximum number of starts in this round; a gang may exceed it.
    """

    state: ShardState
    now_ms: int
    budget: int
    _starts: list[StartTask] = attrs.field(factory=list)
    # Free capacity only shrinks within a round, so a request that needs at least as
    # much as one of these does not fit either.
    _unplaceable: list[Resources] = attrs.field(factory=list)
    _plans_left: int = PLANS_PER_ROUND
    _waiting_teams: tuple[str, ...] = ()
    # Mean weighted share of the waiting teams, or None after a start has changed it.
    _mean_weighted_share: float | None = None

    def run(self) -> list[Decision]:
        """Return the decisions of this round, stops first."""
        for queue in self.state.queues:
            queue.begin_round(self.now_ms)
        self._escalate_checkpoints()
        waiting = [team for queue in self.state.queues for team in queue.iter_teams()]
        waiting += [
            reservation.entry.team
            for reservation in self.state.reservations.list_yielding()
        ]
        self._waiting_teams = tuple(dict.fromkeys(waiting))
        # Urgent work is scheduled first, so that no task is started and preempted in
        # the same round.
        for priority in sorted(Priority, reverse=True):
            self._start_reserved(priority)
            for queue in self.state.queues:
                self._start_queued(queue, priority)
        return [*self.state.pop_stops(), *self._starts]

    def _escalate_checkpoints(self) -> None:
        """Stop tasks whose checkpoint has exceeded its timeout."""
        checkpoints = self.state.checkpoints
        while checkpoints and checkpoints[0][0] <= self.now_ms:
            running = checkpoints.popleft()[1]
            if self.state.running.find(running.task) is running:
                self.state.enqueue_stop(running, StopMode.STOP, PREEMPTION_REASON)

    def _start_reserved(self, priority: Priority) -> None:
        for reservation in self.state.reservations:
            if reservation.entry.priority is not priority:
                continue
            worker_ids = self._workers_for_reservation(reservation)
            if worker_ids is None:
                continue
            if not self.state.may_start(
                reservation.entry.team, reservation.entry.total
            ):
                self.state.cancel_reservation(
                    reservation, self.now_ms, WAITING_AT_LIMIT
                )
                continue
            self.state.reservations.remove(reservation)
            self._start(reservation.entry, worker_ids)

    def _workers_for_reservation(self, reservation: Reservation) -> list[str] | None:
        """Return the workers on which reserved work can start now, or None."""
        if reservation.is_ready(self.state.pool):
            return list(reservation.worker_ids)
        # Other workers may gain free capacity while a checkpoint is written.
        return self._place(reservation.entry) if reservation.entry.is_urgent else None

    def _start_queued(self, queue: TaskQueue, priority: Priority) -> None:
        while len(self._starts) < self.budget:
            entry = queue.peek(priority)
            if entry is None:
                return
            if not self.state.may_start(entry.team, entry.total):
                queue.skip_shape(entry, WAITING_AT_LIMIT)
                continue
            if not entry.is_urgent and self._must_yield(entry.team):
                queue.skip_team(entry, WAITING_ABOVE_SHARE)
                continue
            worker_ids = self._place_queued(entry)
            if worker_ids is not None:
                queue.dequeue(entry)
                self._start(entry, worker_ids)
                continue
            reservation = self._reservation_for(entry)
            if reservation is not None:
                queue.dequeue(entry)
                self.state.reservations.add(reservation)
            else:
                queue.skip_shape(entry, WAITING_FOR_CAPACITY)

    def _must_yield(self, team: str) -> bool:
        """Return whether a team must leave capacity to teams below their share."""
        if not self.state.reservations.yielding_count():
            return False
        return self._excess_of(team) > SHARE_SLACK

    def _excess_of(self, team: str) -> float:
        """Return a team's excess over the mean weighted share of the waiting teams."""
        if self._mean_weighted_share is None:
            self._mean_weighted_share = self.state.shares.mean_weighted_share(
                self._waiting_teams
            )
        return self.state.shares.excess_of(team, self._mean_weighted_share)

    def _place_queued(self, entry: QueuedTask) -> list[str] | None:
        if any(request.fits(entry.resources) for request in self._unplaceable):
            return None
        worker_ids = self._place(entry)
        if worker_ids is None and entry.gang_size == 1 and not entry.is_urgent:
            self._unplaceable.append(entry.resources)
        return worker_ids

    def _place(self, entry: QueuedTask) -> list[str] | None:
        placement = self.state.policy_by_kind[entry.kind].placement
        avoid_workers = self.state.health.avoided(self.now_ms)
        pool = self.state.pool
        if entry.gang_size > 1:
            return place_gang(
                pool,
                placement,
                entry.resources,
                entry.gang_size,
                entry.spread_racks,
                avoid_workers,
            )
        worker_id = placement.choose(pool, entry.resources, avoid_workers)
        if worker_id is not None:
            return [worker_id]
        return self._place_over_reservations(entry) if entry.is_urgent else None

    def _place_over_reservations(self, entry: QueuedTask) -> list[str] | None:
        """Place an urgent task on capacity reserved for non-urgent work.

        The reservations of non-urgent work on the chosen worker are cancelled.

        Returns:
            The worker id in a list, or None if no such worker has enough capacity.
        """
        avoid_workers = self.state.health.avoided(self.now_ms)
        for reservation in self.state.reservations.list_yielding():
            for worker_id in reservation.worker_ids:
                capacity = self.state.pool.available_after_yield(worker_id)
                if worker_id not in avoid_workers and entry.resources.fits(capacity):
                    self.state.cancel_yielding_reservations_on(worker_id, self.now_ms)
                    return [worker_id]
        return None

    def _start(self, entry: QueuedTask, worker_ids: list[str]) -> None:
        self._mean_weighted_share = None
        self._starts.extend(self.state.start(entry, worker_ids, self.now_ms))

    def _reservation_for(self, entry: QueuedTask) -> Reservation | None:
        """Return a reservation for an entry that has waited too long, or None."""
        waited_ms = self.now_ms - max(entry.queued_ms, entry.not_before_ms)
        if entry.is_urgent and waited_ms >= URGENT_PREEMPTION_DELAY_MS:
            reservation = self._preempt_for(entry)
            if reservation is not None:
                return reservation
        if not self._may_reserve(entry, waited_ms):
            return None
        return self._reserve_for(entry)

    def _may_reserve(self, entry: QueuedTask, waited_ms: int) -> bool:
        """Return whether capacity may be reserved for an entry as it becomes free."""
        if not self._plans_left:
            return False
        reservations = self.state.reservations
        if entry.gang_size > 1:
            # Prevents a deadlock of two gangs that each reserve half of the capacity
            # that the other needs.
            return (
                waited_ms >= GANG_RESERVATION_DELAY_MS
                and not reservations.has_yielding_gang()
            )
        if entry.is_urgent:
            return False
        if reservations.yielding_count() >= max(
            1, len(self.state.pool) // WORKERS_PER_RESERVATION
        ):
            return False
        if reservations.yielding_count_of(entry.team):
            return False
        return self._excess_of(entry.team) < 0 or waited_ms >= TASK_RESERVATION_DELAY_MS

    def _reserve_for(self, entry: QueuedTask) -> Reservation | None:
        self._plans_left -= 1
        worker_ids = plan_reservation(
            self.state.pool,
            entry.resources,
            entry.gang_size,
            entry.spread_racks,
            self.state.running.service_resources_on,
            self.state.health.avoided(self.now_ms),
        )
        if worker_ids is None:
            return None
        if entry.gang_size > 1:
            for worker_id in dict.fromkeys(worker_ids):
                self.state.cancel_yielding_reservations_on(worker_id, self.now_ms)
        return Reservation(entry, tuple(worker_ids), WAITING_FOR_RESERVATION)

    def _preempt_for(self, entry: QueuedTask) -> Reservation | None:
        """Preempt running tasks for an urgent entry.

        Returns:
            The reservation, or None if preemption cannot free enough capacity.
        """
        state = self.state
        worker_ids: list[str] = []
        victims: list[RunningTask] = []
        racks: set[str] = set()
        for _ in range(entry.gang_size):
            eviction = self._eviction_for_member(entry, frozenset(racks))
            if eviction is None:
                break
            # Marks the victims and holds the capacity, so that the plan for the next
            # member uses neither.
            for victim in eviction.victims:
                state.running.record_stop_request(
                    victim, StopRequest(True, PREEMPTION_REASON)
                )
            state.pool.hold(eviction.worker_id, entry.resources)
            worker_ids.append(eviction.worker_id)
            victims.extend(eviction.victims)
            if entry.spread_racks:
                racks.add(state.pool.node_of(eviction.worker_id).rack)
        for worker_id in worker_ids:
            state.pool.release_hold(worker_id, entry.resources)
        for victim in victims:
            state.running.clear_stop_request(victim)
        if len(worker_ids) < entry.gang_size:
            return None
        for victim in victims:
            self._checkpoint(victim)
        for worker_id in worker_ids:
            state.cancel_yielding_reservations_on(worker_id, self.now_ms)
        return Reservation(entry, tuple(worker_ids), WAITING_FOR_PREEMPTION)

    def _eviction_for_member(
        self, entry: QueuedTask, avoid_racks: frozenset[str]
    ) -> Eviction | None:
        """Return a worker for one member and its victims, if any, or None."""
        state = self.state
        policy = state.policy_by_kind[entry.kind]
        avoid_workers = state.health.avoided(self.now_ms)
        free = policy.placement.choose(
            state.pool, entry.resources, avoid_workers, avoid_racks
        )
        if free is not None:
            return Eviction(free, ())
        return policy.preemption.choose(
            state.running,
            state.shares,
            state.pool,
            entry.resources,
            avoid_workers,
            avoid_racks,
        )

    def _checkpoint(self, victim: RunningTask) -> None:
        self.state.stop(
            victim, StopMode.CHECKPOINT, StopRequest(True, PREEMPTION_REASON)
        )
        self.state.checkpoints.append((self.now_ms + CHECKPOINT_TIMEOUT_MS, victim))
