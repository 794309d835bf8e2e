"""Estimates when a new job would complete, from the work that comes before it.

The load is a team that sends a multiple of its usual rate in a cell that has room for
the others: its jobs wait for its own limit, and which of them complete with any value
is decided by the planner's order when they arrive.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from marjoramgrade.decisions.admission.accuracy import EstimateAccuracy
from marjoramgrade.decisions.admission.arrivals import ArrivalRates
from marjoramgrade.decisions.admission.backlog import (
    REFRESH_MS,
    Amounts,
    Backlog,
    Timing,
    WorkClass,
    entry_need,
)
from marjoramgrade.decisions.admission.returns import ReturningWork
from marjoramgrade.decisions.stepprogress import JobProgress
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.teamusage import is_within
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.stepconfig import Queue
from marjoramgrade.stepjobs import StepJob

# The capacity of the pools is added up again after this time. Workers join and leave in
# seconds, and there may be 3,000 of them.
CAPACITY_REFRESH_MS = 1_000
# Until a task of its queue is done, a job may take only this share of its time: clients
# declare durations that are off by up to 0.9, and the steps of many jobs even that out.
CLIENT_ESTIMATE_SHARE = 0.7


@attrs.frozen
class Estimate:
    """When a new job would complete.

    Attributes:
        work_class: Its place in the planner's order when it is expected to start.
        timing: Its own duration and objective.
        has_room: Whether its first tasks could start now.
        team_wait_ms: How long it waits for the limit of its team.
        pool_wait_ms: How long it waits for capacity of its pool.
        own_ms: How long it runs.
        backlog_ms: How long its team's limit takes for the work before it if no newer
            jobs come.
        excess_ms: Time until a new job like it would be expected to be in time.
        longest_wait_ms: The longest wait with which it is in time, or else has some
            value, at the favourable end of the learned error.
    """

    work_class: WorkClass
    timing: Timing
    has_room: bool
    team_wait_ms: float
    pool_wait_ms: float
    own_ms: float
    backlog_ms: float
    excess_ms: float
    longest_wait_ms: float

    @property
    def wait_ms(self) -> float:
        """How long the job waits."""
        return max(self.team_wait_ms, self.pool_wait_ms)

    @property
    def total_ms(self) -> float:
        """Time until the job completes."""
        return self.wait_ms + self.own_ms


@attrs.define
class Estimator:
    """Estimates the completion of new jobs in one leadership.

    Attributes:
        state: Jobs and workers.
        accuracy: Learned error of the estimates.
        arrivals: Work that accepted jobs bring.
        backlog: The work of the open jobs, or None before the first estimate.
    """

    state: StepState
    accuracy: EstimateAccuracy = attrs.field(factory=EstimateAccuracy)
    arrivals: ArrivalRates = attrs.field(factory=ArrivalRates)
    backlog: Backlog | None = None
    _capacity_by_pool: dict[str, Resources] = attrs.field(factory=dict)
    _capacity_ms: int = 0

    def estimate(
        self,
        job: StepJob,
        queue: Queue,
        first_ms: int,
        now_ms: int,
        returning: ReturningWork | None = None,
        wait_share: float = 1.0,
    ) -> Estimate | None:
        """Return when a new job would complete, or None if too little is known.

        Args:
            job: The job.
            queue: Its queue.
            first_ms: When its client submitted it first.
            now_ms: Current time.
            returning: Work of the team's refused jobs that come before it when they
                return.
            wait_share: Share of the longest wait that the job may have.
        """
        usage, policies = self.state.usage, self.state.config.team_by_name
        limit = usage.limit_of(job.team, policies)
        backlog = self.refresh(now_ms)
        capacity = self._capacity_of(queue.pool, now_ms)
        if limit is None or not capacity.cpu_millis:
            return None
        timing = self.timing_of(job, queue)
        is_beyond = usage.would_exceed_weight(policies.get(job.team), now_ms)
        own_ms = self._own_ms(job, queue, timing, limit, capacity)
        # The backlog was added up a moment ago, and some of it is gone since.
        elapsed_ms = now_ms - backlog.taken_ms
        excess_ms = 0.0
        for is_late in (False, True):
            place = WorkClass(queue.priority, is_beyond, is_late)
            before = backlog.waiting_before(backlog.iter_team(job.team), place)
            if returning is not None:
                before.add_amounts(returning.late if is_late else returning.on_time)
            team_wait_ms = self._team_wait_ms(
                backlog, job, limit, place, before, now_ms
            )
            pool_wait_ms = self._pool_wait_ms(backlog, queue.pool, capacity, place)
            has_room = self._has_team_room(backlog, job, limit, place)
            span_ms = timing.worthless_after_ms if is_late else timing.objective_ms
            ratio = self._ratio(queue, is_late=is_late)
            if not is_late:
                new_longest_ms = max(span_ms / ratio - own_ms, 0.0)
                excess_ms = max(team_wait_ms, pool_wait_ms) - (
                    wait_share * new_longest_ms
                )
            longest_ms = (first_ms + span_ms - now_ms) / ratio - own_ms
            found = Estimate(
                place,
                timing,
                has_room and not pool_wait_ms,
                max(team_wait_ms - elapsed_ms, 0.0),
                max(pool_wait_ms - elapsed_ms, 0.0),
                own_ms,
                before.largest_ratio(limit),
                max(excess_ms - elapsed_ms, 0.0),
                wait_share * max(longest_ms, 0.0),
            )
            if found.has_room or found.wait_ms <= found.longest_wait_ms:
                break
        return found

    def _ratio(self, queue: Queue, *, is_late: bool) -> float:
        """Return the factor for the favourable end of the estimate's error."""
        ratio = self.accuracy.favourable_ratio(queue.name, is_late=is_late)
        if self.state.durations.average_ms(queue.name) is None:
            ratio *= CLIENT_ESTIMATE_SHARE
        return ratio

    def timing_of(self, job: StepJob, queue: Queue) -> Timing:
        """Return the duration and the objective of a job."""
        task_ms = self.state.durations.expected_ms(
            queue.name, max(step.estimate_ms for step in job.steps)
        )
        return Timing.from_chain(queue, max(job.chain_lengths()) * task_ms)

    def work_of(self, job: StepJob, queue: Queue) -> Amounts:
        """Return the work of a job, in resources times milliseconds."""
        work = Amounts()
        for step in job.steps:
            task_ms = self.state.durations.expected_ms(queue.name, step.estimate_ms)
            work.add(step.resources, step.count * task_ms)
        return work

    def add(self, progress: JobProgress, now_ms: int) -> None:
        """Add a job that was accepted to the work of the open jobs."""
        job, queue = progress.job, progress.queue
        work = self.work_of(job, queue)
        self.arrivals.add(job.team, queue.priority, work, now_ms)
        if self.backlog is not None:
            self.backlog.add(self.state, progress, now_ms)

    def refresh(self, now_ms: int) -> Backlog:
        """Return the work of the open jobs, added up anew if that was too long ago."""
        backlog = self.backlog
        if backlog is None or now_ms - backlog.taken_ms >= REFRESH_MS:
            backlog = self.backlog = Backlog.from_state(self.state, now_ms)
        return backlog

    def _capacity_of(self, pool: str, now_ms: int) -> Resources:
        """Return the capacity of the workers of a pool that may get work."""
        if now_ms - self._capacity_ms >= CAPACITY_REFRESH_MS or not self._capacity_ms:
            self._capacity_ms = now_ms
            self._capacity_by_pool.clear()
            for state in self.state.worker_by_id.values():
                worker = state.worker
                is_evacuated = worker.zone in self.state.evacuated_zones
                if is_evacuated or not state.accepts_work(now_ms):
                    continue
                known = self._capacity_by_pool.get(worker.pool, ZERO_RESOURCES)
                self._capacity_by_pool[worker.pool] = known + worker.capacity
        return self._capacity_by_pool.get(pool, ZERO_RESOURCES)

    def _own_ms(
        self,
        job: StepJob,
        queue: Queue,
        timing: Timing,
        limit: Resources,
        capacity: Resources,
    ) -> float:
        """Return how long a job runs if nothing comes before it."""
        work = self.work_of(job, queue)
        work_ms = max(work.largest_ratio(limit), work.largest_ratio(capacity))
        advice_ms = 0.0
        if queue.advice is not None:
            # The calls of steps that don't depend on each other are made at once.
            call_ms = queue.advice.base_ms + queue.advice.per_worker_ms
            advice_ms = max(job.chain_lengths()) * call_ms
        return max(timing.chain_ms, work_ms) + advice_ms

    def _team_wait_ms(
        self,
        backlog: Backlog,
        job: StepJob,
        limit: Resources,
        place: WorkClass,
        before: Amounts,
        now_ms: int,
    ) -> float:
        """Return how long the work before a job keeps its team at its limit.

        Runs end and are replaced all the time, so what waits starts at the rate at
        which the limit works it off. Less urgent runs make way. Newer jobs take a part
        of the rate: those of more urgent queues, and if the job will be late, those of
        its own queue too.
        """
        below_priority = place.priority + place.is_late
        held = self.arrivals.rate(job.team, below_priority, now_ms)
        for work_class, work in backlog.iter_team(job.team):
            if work_class.priority <= place.priority:
                held.add_amounts(work.placed_long)
        # Any limit admits a single task, whatever else there is.
        task = entry_need(job.steps)
        least = (task.cpu_millis, task.memory_mib, task.accelerators)
        amounts = zip(
            before.pairs_with(limit), held.pairs_with(limit), least, strict=True
        )
        return max(
            (
                waiting / max(most - used, min(needed, most), 1)
                for (waiting, most), (used, _), needed in amounts
                if most
            ),
            default=0.0,
        )

    def _has_team_room(
        self, backlog: Backlog, job: StepJob, limit: Resources, place: WorkClass
    ) -> bool:
        """Whether the first tasks of a job fit the limit beside what comes before.

        Runs of less urgent queues are preempted unless the job is beyond the weight.
        """
        used = self.state.usage.used_by_team.get(job.team, ZERO_RESOURCES)
        taken = Amounts()
        taken.add(used + entry_need(job.steps), 1)
        for work_class, work in backlog.iter_team(job.team):
            if work_class.precedes(place):
                taken.add_amounts(work.ready)
            is_preempted = work_class.priority > place.priority
            if is_preempted and not place.is_beyond_weight:
                taken.cpu -= work.placed.cpu
                taken.memory -= work.placed.memory
                taken.accelerators -= work.placed.accelerators
        total = Resources(int(taken.cpu), int(taken.memory), int(taken.accelerators))
        return is_within(total, limit)

    def _pool_wait_ms(
        self, backlog: Backlog, pool: str, capacity: Resources, place: WorkClass
    ) -> float:
        """Return how long the work before a job keeps its pool full.

        A team at its limit takes no more of the pool, however much of its work waits.
        The result is kept as long as the backlog: one more job changes it little.
        """
        known = backlog.pool_wait_by_place.get((pool, place))
        if known is not None:
            return known
        usage, policies = self.state.usage, self.state.config.team_by_name
        demands: tuple[list[tuple[float, int]], ...] = ([], [], [])
        for (team, of_pool), by_class in backlog.work_by_class_by_scope.items():
            if of_pool == pool:
                before = backlog.waiting_before(by_class.items(), place)
                limit = usage.limit_of(team, policies) or ZERO_RESOURCES
                for demand, pair in zip(demands, before.pairs_with(limit), strict=True):
                    demand.append(pair)
        rates = (capacity.cpu_millis, capacity.memory_mib, capacity.accelerators)
        wait_ms = max(
            drain_ms(demand, rate)
            for demand, rate in zip(demands, rates, strict=True)
            if rate
        )
        backlog.pool_wait_by_place[(pool, place)] = wait_ms
        return wait_ms


def drain_ms(demands: Sequence[tuple[float, int]], capacity: int) -> float:
    """Return how long several teams together keep a capacity full.

    Args:
        demands: Work of each team and the rate that its limit allows; 0 means any rate.
        capacity: Rate of the whole capacity.
    """
    # Work that is done by a time grows with the limits of the teams that still have
    # some, and with nothing of the others; the capacity is full until it has done that.
    unlimited = sum(work for work, limit in demands if not limit)
    limited = sorted(
        (work / limit, work, limit) for work, limit in demands if limit and work
    )
    done, rate = unlimited, sum(limit for _, _, limit in limited)
    for until_ms, work, limit in limited:
        if rate < capacity and (full_ms := done / (capacity - rate)) <= until_ms:
            return full_ms
        done += work
        rate -= limit
    return done / capacity
