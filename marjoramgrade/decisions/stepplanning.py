"""Assigns tasks that are ready to start to workers."""

from __future__ import annotations

import functools
import math
import operator
from collections import Counter
from collections.abc import Iterator, Mapping

import attrs

from marjoramgrade.decisions.advisorchannels import AdvisorChannels
from marjoramgrade.decisions.locality.placing import RackPlacement
from marjoramgrade.decisions.locality.waits import RackWaitChange, RackWaits
from marjoramgrade.decisions.stepactions import AskAdvice
from marjoramgrade.decisions.stepholds import LARGE_SHARE, CapacityHolds, Slot
from marjoramgrade.decisions.stepplacement import PlacementRules
from marjoramgrade.decisions.steppreemption import Preemption
from marjoramgrade.decisions.steppriority import STEP_ORDERS, StepOrder, WaitingStep
from marjoramgrade.decisions.stepprogress import JobProgress, StepProgress
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.decisions.teamheadroom import URGENT_PRIORITY
from marjoramgrade.decisions.tickets import Ticket, TicketCache
from marjoramgrade.resources import ZERO_RESOURCES, Resources

# Maximum number of workers named in one advice call; each one lengthens the call.
MAX_WORKERS_PER_CALL = 30
# For this many waiting steps of a queue, the first in the order, a plan makes room and
# asks for advice, beside those whose advice is on its way. Those behind them have no
# use for either yet, and the search for victims and workers takes most of the time of
# a plan.
MAX_STEPS_WITH_ROOM_MADE = 16
# Once this many steps of a pool found no capacity, a plan looks at what its workers
# have free before it searches them for each further step.
BACKLOG_STEPS = 16
# Starts that one plan orders. A job of many small tasks is started over several plans,
# so that the leader sends heartbeats and answers callers between them. A gang is
# started whole.
MAX_STARTS_PER_PLAN = 256
# Advice for capacity that is held is asked for this long before its answer is needed.
ADVICE_LEAD_MS = 400


@attrs.define
class Planner:
    """Plans the starts of one leader.

    Attributes:
        state: Jobs and workers.
        order: Order in which steps are offered capacity.
        rules: Which worker gets a task.
        channels: Calls to the placement advisor.
        rack_wait_changes: Waits for capacity on a rack that began or ended since they
            were last reported.
        count_by_outcome: Outcomes of placements since they were last reported, by name.
        waiting_by_reason: Number of steps that the last plan left waiting, by
            "queue:reason".
        is_cut: Whether the last plan ordered as many starts as it may, so that another
            one is due at once.
    """

    state: StepState
    channels: AdvisorChannels
    order: StepOrder = STEP_ORDERS.get("worth")
    rules: PlacementRules = PlacementRules()
    count_by_outcome: Counter[str] = attrs.field(factory=Counter)
    rack_wait_changes: list[RackWaitChange] = attrs.field(factory=list)
    waiting_by_reason: Counter[str] = attrs.field(factory=Counter)
    is_cut: bool = False
    _starts: int = 0
    _holds: CapacityHolds = attrs.field(init=False)
    _racks: RackPlacement = attrs.field(init=False)
    # Average capacity of the workers of each pool, computed when a plan first needs it.
    _usual_capacity_by_pool: dict[str, Resources] = attrs.field(factory=dict)
    # Steps of a pool that the plan found no capacity for.
    _unplaced_by_pool: Counter[str] = attrs.field(factory=Counter)
    # Most of each resource that any worker of a pool had free when the plan looked,
    # and the worker with most processor time, which placement fills last.
    _most_free_by_pool: dict[str, Resources] = attrs.field(factory=dict)
    _freest_by_pool: dict[str, WorkerState] = attrs.field(factory=dict)
    # Pools in which the plan has started tasks since.
    _pools_with_starts: set[str] = attrs.field(factory=set)
    _workers_by_rack: dict[str, list[WorkerState]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._holds = CapacityHolds(Preemption(self.state), self.state.durations)
        self._racks = self._make_racks()

    def _make_racks(self) -> RackPlacement:
        state = self.state
        waits = RackWaits(state.far_factor, state.durations, state.worker_by_id)
        return RackPlacement(
            waits, self._holds, self.count_by_outcome, self.rack_wait_changes
        )

    def plan(self, now_ms: int, unix_ms: int) -> None:
        """Order all starts that are possible now."""
        self.waiting_by_reason.clear()
        self.is_cut = False
        if not self.state.is_configured:
            return
        self._starts = 0
        preemption = Preemption(
            self.state, self.rules.preemption, unix_ms - now_ms, self.count_by_outcome
        )
        self._holds = CapacityHolds(preemption, self.state.durations)
        self._racks = self._make_racks()
        self._usual_capacity_by_pool.clear()
        self._unplaced_by_pool.clear()
        self._most_free_by_pool.clear()
        self._freest_by_pool.clear()
        self._workers_by_rack.clear()
        self.state.headroom.observe(now_ms)
        room_made_by_queue: Counter[str] = Counter()
        for entry in self.order(self._collect_waiting(now_ms, unix_ms), now_ms):
            if self._starts >= MAX_STARTS_PER_PLAN:
                self.is_cut = True
                return
            step = entry.step
            headroom = self._headroom_beside(entry, now_ms)
            if step.step.gang:
                reason = self._place_gang(step, headroom, now_ms)
            else:
                reason = self._place_tasks(step, headroom, now_ms)
            step.record_wait(reason, now_ms)
            if not reason:
                continue
            self.waiting_by_reason[f"{step.job.queue.name}:{reason}"] += 1
            if reason == "team_limit" and entry.is_on_time(now_ms):
                preemption.free_team_capacity(step, now_ms)
            elif reason in ("no_permitted_worker", "no_room"):
                queue = step.job.queue
                self._unplaced_by_pool[queue.pool] += 1
                if self._only_awaits_advice(step, reason):
                    continue
                room_made_by_queue[queue.name] += 1
                if room_made_by_queue[queue.name] <= MAX_STEPS_WITH_ROOM_MADE:
                    self._make_room(preemption, entry, now_ms)

    def _only_awaits_advice(self, step: StepProgress, reason: str) -> bool:
        """Return whether there is nothing to do for a step before its advice comes.

        Large steps and gangs hold capacity meanwhile.
        """
        is_asked = step.tickets.is_pending and reason == "no_permitted_worker"
        return is_asked and not step.step.gang and not self._is_large(step)

    def _is_large(self, step: StepProgress) -> bool:
        """Return whether a task of a step needs a large part of a usual worker."""
        pool = step.job.queue.pool
        capacity = self._usual_capacity_by_pool.get(pool)
        if capacity is None:
            found = [
                state.worker.capacity
                for state in self.state.worker_by_id.values()
                if state.worker.pool == pool
            ]
            total = functools.reduce(operator.add, found, ZERO_RESOURCES)
            capacity = total.scaled(1, max(len(found), 1))
            self._usual_capacity_by_pool[pool] = capacity
        return step.step.resources.dominant_share(capacity) > LARGE_SHARE

    def _make_room(
        self,
        preemption: Preemption,
        entry: WaitingStep,
        now_ms: int,
    ) -> None:
        """Hold or free capacity for a step that does not fit, and ask for advice."""
        step, slack_ms = entry.step, entry.slack_ms(now_ms)
        slots: list[Slot] = []
        if step.step.gang or self._is_large(step):
            accepted = self.accepted(step, now_ms)
            slots = self._holds.hold(step, accepted, now_ms, slack_ms)
        elif slack_ms >= 0:
            permitted = self.permitted(step, now_ms)
            preemption.free_worker_capacity(step, permitted, now_ms)
        self._ask_advice(step, slots, now_ms)

    def apply_advice(
        self, asked: AskAdvice, text_by_worker: Mapping[str, str], until_ms: int
    ) -> None:
        """Apply the advisor's response.

        Args:
            asked: The advice call that returned the response.
            text_by_worker: Tickets by id of the workers that may run the step.
            until_ms: Time at which the tickets expire.
        """
        cache = self._cache_of(asked)
        if cache is None:
            return
        tickets = {}
        for worker_id, text in text_by_worker.items():
            worker = self.state.worker_by_id.get(worker_id)
            if worker is not None:
                born_unix_ms = worker.worker.born_unix_ms
                tickets[worker_id] = Ticket(text, born_unix_ms, until_ms)
        cache.record(asked.worker_ids, tickets)

    def record_advice_failure(
        self, asked: AskAdvice, *, is_reached: bool, now_ms: int
    ) -> None:
        """Record that an advice call failed.

        Args:
            asked: The advice call that failed.
            is_reached: Whether the call reached the advisor; if not, the next plan
                calls through another instance.
            now_ms: Current time.
        """
        cache = self._cache_of(asked)
        if cache is None:
            return
        if is_reached:
            cache.record_failure(now_ms)
        else:
            cache.record_not_reached()

    def _cache_of(self, asked: AskAdvice) -> TicketCache | None:
        progress = self.state.job_by_id.get(asked.job_id)
        steps = progress and progress.steps_by_occurrence.get(asked.occurrence)
        return steps[asked.step].tickets if steps else None

    def eligible(self, step: StepProgress, now_ms: int) -> list[WorkerState]:
        """Return the workers that may run a step, regardless of free capacity."""
        return [
            worker
            for worker in self.state.worker_by_id.values()
            if self._is_eligible(step, worker, now_ms)
        ]

    def _is_eligible(
        self, step: StepProgress, worker: WorkerState, now_ms: int
    ) -> bool:
        label = step.step.required_label
        return (
            worker.worker.pool == step.job.queue.pool
            and worker.accepts_work(now_ms)
            and worker.worker.zone not in self.state.evacuated_zones
            and (not label or label in worker.worker.labels)
        )

    def permitted(self, step: StepProgress, now_ms: int) -> list[WorkerState]:
        """Return the eligible workers that need no ticket or have a valid one."""
        if step.job.queue.advice is None:
            return self.eligible(step, now_ms)
        # Iterates over the tickets, since a step has them for only a few workers.
        known = self.state.worker_by_id
        return [
            worker
            for worker in map(known.get, step.tickets.ticket_by_worker)
            if worker is not None
            and self._is_eligible(step, worker, now_ms)
            and step.tickets.ticket_for(
                worker.worker.worker_id, worker.worker.born_unix_ms, now_ms
            )
        ]

    def accepted(self, step: StepProgress, now_ms: int) -> list[WorkerState]:
        """Return the eligible workers that advice permits, also by lapsed tickets.

        The advisor's decision on a worker does not change, so a lapsed ticket can be
        renewed.
        """
        if step.job.queue.advice is None:
            return self.eligible(step, now_ms)
        known = self.state.worker_by_id
        return [
            worker
            for worker in map(known.get, step.tickets.ticket_by_worker)
            if worker is not None and self._is_eligible(step, worker, now_ms)
        ]

    def candidates(
        self, step: StepProgress, index: int, permitted: list[WorkerState], now_ms: int
    ) -> list[WorkerState]:
        """Return the permitted workers with capacity for a task.

        Excludes workers on which the task failed or straggled, unless no others fit.
        """
        need, max_runs = step.step.resources, step.step.max_per_worker
        taken = {run.worker_id for run in step.runs_by_index.get(index, ())}
        fitting = [
            worker
            for worker in permitted
            if worker.has_capacity(need, uses_spare=step.step.uses_spare)
            and worker.worker.worker_id not in taken
            and (not max_runs or step.count_runs_on(worker.worker.worker_id) < max_runs)
            and worker.is_trusted(now_ms)
            and self._holds.allows(step, worker, now_ms)
        ]
        avoided = step.avoided_workers_by_index.get(index, set())
        return [w for w in fitting if w.worker.worker_id not in avoided] or fitting

    def place_task(
        self, step: StepProgress, index: int, permitted: list[WorkerState], now_ms: int
    ) -> bool:
        """Order the start of one task.

        Returns:
            False if no worker has capacity or the team is at its limit.
        """
        fitting = self.candidates(step, index, permitted, now_ms)
        worker = self.rules.choose_worker(step, fitting)
        return worker is not None and self._start(step, index, worker, now_ms)

    def _start(
        self, step: StepProgress, index: int, worker: WorkerState, now_ms: int
    ) -> bool:
        """Order the start of a task on a worker, if its team may run it."""
        if not self.state.place(step, {index: worker}, now_ms):
            return False
        self._pools_with_starts.add(step.job.queue.pool)
        if self.rules.prefers_fast(step):
            self.count_by_outcome[f"urgent_{worker.speed.speed_class.value}"] += 1
        return True

    def _collect_waiting(self, now_ms: int, unix_ms: int) -> list[WaitingStep]:
        return [
            WaitingStep.from_step(step, self.state.durations, now_ms, unix_ms)
            for progress in self.state.open_job_by_id.values()
            if not progress.state.is_final
            for step in self._iter_waiting(progress, now_ms, unix_ms)
        ]

    @staticmethod
    def _iter_waiting(
        progress: JobProgress, now_ms: int, unix_ms: int
    ) -> Iterator[StepProgress]:
        for step in progress.iter_due_steps(now_ms, unix_ms):
            if step.has_waiting:
                yield step

    def _headroom_beside(self, entry: WaitingStep, now_ms: int) -> Resources:
        """Return the part of its team's limit that a step leaves to urgent work.

        A step that would be late if it waited longer leaves nothing.
        """
        step = entry.step
        if step.job.queue.priority == URGENT_PRIORITY or not entry.can_wait(now_ms):
            return ZERO_RESOURCES
        return self.state.headroom.headroom(step.job.job.team, now_ms)

    def _fits_nowhere(self, step: StepProgress, now_ms: int) -> bool:
        """Return whether certainly no worker of the pool has capacity for a task.

        Capacity only shrinks during a plan, so one look at all workers serves the rest
        of a backlog.
        """
        pool = step.job.queue.pool
        is_backlog = self._unplaced_by_pool[pool] >= BACKLOG_STEPS
        if step.step.uses_spare or not is_backlog:
            return False
        return not self._may_have_room(step, now_ms)

    def _may_have_room(self, step: StepProgress, now_ms: int) -> bool:
        """Return whether a worker of the pool may have capacity for a task.

        All workers are looked at again only if tasks were started meanwhile and the
        worker that had most is full.
        """
        pool, need = step.job.queue.pool, step.step.resources
        most_free = self._most_free_by_pool.get(pool)
        if most_free is not None:
            if not need.fits(most_free):
                return False
            freest = self._freest_by_pool.get(pool)
            has_room = freest is not None and need.fits(freest.free_resources)
            if has_room or pool not in self._pools_with_starts:
                return True
        return need.fits(self._look_up_most_free(pool, now_ms))

    def _look_up_most_free(self, pool: str, now_ms: int) -> Resources:
        """Return the most of each resource that any worker of a pool has free."""
        most_free = ZERO_RESOURCES
        freest: WorkerState | None = None
        for worker in self.state.worker_by_id.values():
            if worker.worker.pool == pool and worker.accepts_work(now_ms):
                most_free = most_free.maximum(worker.free_resources)
                # Of equal ones, the first is filled first.
                if freest is None or worker.free_cpu_millis >= freest.free_cpu_millis:
                    freest = worker
        self._most_free_by_pool[pool] = most_free
        if freest is not None:
            self._freest_by_pool[pool] = freest
        self._pools_with_starts.discard(pool)
        return most_free

    def _place_tasks(self, step: StepProgress, headroom: Resources, now_ms: int) -> str:
        """Start as many tasks as possible; returns why the rest wait, or ""."""
        if not self.state.is_within_team_limit(step, 1, headroom):
            return "team_limit"
        if self._fits_nowhere(step, now_ms):
            return "no_room"
        near_rack = self._racks.waits.near_rack(step)
        near = self._permitted_on(step, near_rack, now_ms) if near_rack else []
        # The workers near the data are few. The others are searched only if needed.
        permitted = None if near else self.permitted(step, now_ms)
        if permitted is not None and not permitted:
            return "no_permitted_worker"
        if permitted and self._racks.waits.prefers_one_rack(step):
            waiting = sum(1 for _ in step.iter_waiting())
            permitted = self._racks.choose_rack(step, permitted, waiting, now_ms)
            if permitted is None:
                return self._racks.record_wait(step, now_ms)
        has_waiting = has_far = False
        waiting_near: int | None = None
        for index in list(step.iter_waiting()):
            if waiting_near:
                waiting_near -= 1
                continue
            if not self.state.is_within_team_limit(step, 1, headroom):
                return "team_limit"
            if self._starts >= MAX_STARTS_PER_PLAN:
                self.is_cut = True
                return "plan_cut"
            worker = self._choose_near(step, index, near, now_ms)
            if near and worker is None and waiting_near is None:
                # Without room elsewhere none waits: room is made for it as for others.
                waiting_near = 0
                if self._may_have_room(step, now_ms):
                    waiting_near = self._racks.wait_near(step, near, now_ms)
                if waiting_near:
                    has_waiting, waiting_near = True, waiting_near - 1
                    continue
            if worker is None:
                if permitted is None:
                    permitted = self.permitted(step, now_ms)
                fitting = self.candidates(step, index, permitted, now_ms)
                worker = self.rules.choose_worker(step, fitting)
            if worker is None or not self._start(step, index, worker, now_ms):
                return "no_room"
            self._starts += 1
            if near_rack:
                is_far = near_rack != worker.worker.rack
                has_far = has_far or is_far
                self._racks.count_place(step, is_far=is_far)
        if has_waiting:
            return self._racks.record_wait(step, now_ms)
        self._racks.record_wait_end(step, is_far=has_far, now_ms=now_ms)
        return ""

    def _permitted_on(
        self, step: StepProgress, rack: str, now_ms: int
    ) -> list[WorkerState]:
        """Return the permitted workers on a rack."""
        if not self._workers_by_rack:
            for worker in self.state.worker_by_id.values():
                rack_of_worker = worker.worker.rack
                self._workers_by_rack.setdefault(rack_of_worker, []).append(worker)
        return [
            worker
            for worker in self._workers_by_rack.get(rack, ())
            if self._is_eligible(step, worker, now_ms)
            and (
                step.job.queue.advice is None
                or step.tickets.ticket_for(
                    worker.worker.worker_id, worker.worker.born_unix_ms, now_ms
                )
            )
        ]

    def _choose_near(
        self, step: StepProgress, index: int, near: list[WorkerState], now_ms: int
    ) -> WorkerState | None:
        """Return the worker for a task among those on its rack, or None."""
        fitting = self.candidates(step, index, near, now_ms)
        worker = self.rules.choose_worker(step, fitting)
        avoided = step.avoided_workers_by_index.get(index, ())
        if worker is not None and worker.worker.worker_id in avoided:
            return None
        return worker

    def _place_gang(self, step: StepProgress, headroom: Resources, now_ms: int) -> str:
        """Start all tasks of a gang or none; returns why it waits, or ""."""
        if step.runs_by_index:
            return "gang_ends"
        if not self.state.is_within_team_limit(step, step.step.count, headroom):
            return "team_limit"
        permitted = self.permitted(step, now_ms)
        if not permitted:
            return "no_permitted_worker"
        chosen = self._choose_gang_workers(step, permitted, now_ms)
        if chosen is None:
            return "no_room"
        is_placed_together = self._racks.waits.prefers_one_rack(step)
        if is_placed_together:
            rack = self._racks.choose_rack(step, permitted, step.step.count, now_ms)
            if rack is None:
                return self._racks.record_wait(step, now_ms)
            chosen = self._choose_gang_workers(step, rack, now_ms) or chosen
        if not self.state.place(step, dict(enumerate(chosen)), now_ms):
            return "team_limit"
        self._pools_with_starts.add(step.job.queue.pool)
        self._starts += len(chosen)
        if is_placed_together:
            racks = {worker.worker.rack for worker in chosen}
            is_far = racks != {step.step.data_rack or chosen[0].worker.rack}
            self._racks.count_place(step, is_far=is_far)
            self._racks.record_wait_end(step, is_far=is_far, now_ms=now_ms)
        return ""

    def _choose_gang_workers(
        self, step: StepProgress, permitted: list[WorkerState], now_ms: int
    ) -> list[WorkerState] | None:
        """Return one worker per task of a gang, or None if not all tasks fit."""
        count = step.step.count
        if self.rules.prefers_fast(step):
            # The slowest member decides.
            permitted = sorted(permitted, key=lambda worker: -worker.speed.grade)
        slots = self._racks.free_slots(step, permitted, count, now_ms)
        if len(slots) < count:
            return None
        if step.step.same_rack:
            slots = self._prefer_one_rack(slots, count)
        return slots[:count]

    @staticmethod
    def _prefer_one_rack(slots: list[WorkerState], count: int) -> list[WorkerState]:
        """Return the slots of the smallest sufficient rack, or all if none suffices."""
        by_rack: dict[str, list[WorkerState]] = {}
        for worker in slots:
            by_rack.setdefault(worker.worker.rack, []).append(worker)
        sufficient = [found for found in by_rack.values() if len(found) >= count]
        return min(sufficient, key=len) if sufficient else slots

    def _ask_advice(self, step: StepProgress, slots: list[Slot], now_ms: int) -> None:
        """Ask for the tickets that a step needs to start now or on held capacity."""
        advice = step.job.queue.advice
        cache = step.tickets
        if advice is None or cache.is_pending or now_ms < cache.next_call_ms:
            return
        if self.channels.choose(math.ceil(advice.base_ms), now_ms) is None:
            # No channel is free even for the shortest call.
            return
        workers_to_ask = self._workers_to_ask(step, slots, now_ms)
        if not workers_to_ask:
            return
        decide_ms = math.ceil(
            advice.base_ms + advice.per_worker_ms * len(workers_to_ask)
        )
        held_ms = [slot.delay_ms for slot in slots]
        if held_ms and max(held_ms) > decide_ms + ADVICE_LEAD_MS:
            # The tickets would lapse before the held capacity is free.
            return
        instance_id = self.channels.choose(decide_ms, now_ms)
        if instance_id is None:
            return
        self.channels.record_call(instance_id, decide_ms)
        cache.is_pending = True
        job_id, occurrence, index = step.key
        self.state.add_action(
            AskAdvice(
                job_id, occurrence, index, tuple(workers_to_ask), instance_id, decide_ms
            )
        )

    def _workers_to_ask(
        self, step: StepProgress, slots: list[Slot], now_ms: int
    ) -> list[str]:
        """Return the workers whose tickets a step lacks, those with most room first.

        A step that needs a large part of a worker asks before there is room, since room
        is made only on workers that may run it.
        """
        need, spare, cache = step.step.resources, step.step.uses_spare, step.tickets
        held = {slot.worker.worker.worker_id for slot in slots}
        unticketed = [
            worker
            for worker in self.eligible(step, now_ms)
            if not cache.ticket_for(
                worker.worker.worker_id, worker.worker.born_unix_ms, now_ms
            )
        ]
        with_room = [
            worker
            for worker in unticketed
            if worker.worker.worker_id in held
            or worker.has_capacity(need, uses_spare=spare)
        ]
        if not slots and self._is_large(step):
            with_room.extend(
                worker
                for worker in unticketed
                if worker.worker.worker_id not in cache.asked_workers
                and worker not in with_room
            )
        if self.rules.prefers_fast(step):
            with_room.sort(key=lambda w: -w.free_cpu_millis * w.speed.factor)
        else:
            with_room.sort(key=lambda worker: -worker.free_cpu_millis)
        if near_rack := self._racks.waits.near_rack(step):
            with_room.sort(key=lambda worker: worker.worker.rack != near_rack)
        wanted = cache.workers_to_ask(worker.worker.worker_id for worker in with_room)
        return wanted[:MAX_WORKERS_PER_CALL]
