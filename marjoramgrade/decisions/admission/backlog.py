"""The work of the open jobs, by team, pool and place in the planner's order.

The load is 700 open jobs while 100 jobs a second are handed in. Adding up the open
jobs for each new one would take all of a small instance's processor, so they are added
up a few times a second, and a job that is accepted in between is added on its own.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from marjoramgrade.decisions.steppriority import (
    LATE_MULTIPLE,
    LATE_VALUE_SHARE,
    value_of,
)
from marjoramgrade.decisions.stepprogress import JobProgress, StepProgress
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.stepconfig import Queue
from marjoramgrade.stepjobs import Step

# The work of the open jobs is added up again after this time. Estimates are in seconds,
# and adding up 700 jobs of two steps takes some 11 ms on a whole core.
REFRESH_MS = 250


@attrs.frozen
class WorkClass:
    """What decides the place of work in the planner's order.

    Attributes:
        priority: Rank of the queue; 0 comes first.
        is_beyond_weight: Whether the team had used up its weight.
        is_late: Whether the job will be late.
    """

    priority: int
    is_beyond_weight: bool
    is_late: bool

    @property
    def value(self) -> float:
        """Value of a core-second of the work."""
        share = LATE_VALUE_SHARE if self.is_late else 1.0
        return value_of(self.priority, share, is_beyond_weight=self.is_beyond_weight)

    def precedes(self, other: WorkClass) -> bool:
        """Whether earlier work of this class comes before a new job of another one."""
        return self.priority <= other.priority and self.value >= other.value


@attrs.define
class Amounts:
    """Amounts of each resource, multiplied by a time or not."""

    cpu: float = 0.0
    memory: float = 0.0
    accelerators: float = 0.0

    def add(self, resources: Resources, factor: float) -> None:
        """Add a multiple of resources."""
        self.cpu += resources.cpu_millis * factor
        self.memory += resources.memory_mib * factor
        self.accelerators += resources.accelerators * factor

    def add_amounts(self, other: Amounts) -> None:
        """Add other amounts."""
        self.cpu += other.cpu
        self.memory += other.memory
        self.accelerators += other.accelerators

    def scaled(self, factor: float) -> Amounts:
        """Return a multiple of the amounts."""
        return Amounts(
            self.cpu * factor, self.memory * factor, self.accelerators * factor
        )

    def pairs_with(self, limit: Resources) -> Iterator[tuple[float, int]]:
        """Yield each amount with its limit; a limit of 0 means none."""
        yield self.cpu, limit.cpu_millis
        yield self.memory, limit.memory_mib
        yield self.accelerators, limit.accelerators

    def largest_ratio(self, limit: Resources) -> float:
        """Return the largest ratio of an amount to its limit."""
        return max(
            (a / most for a, most in self.pairs_with(limit) if most), default=0.0
        )


@attrs.define
class ClassWork:
    """Work of one class.

    Attributes:
        waiting: Work of the tasks that no worker has, in resources times milliseconds.
        ready: What the tasks need that could start now if there were room.
        placed: What the tasks use that workers have.
        placed_long: The part of `placed` of long-running tasks.
    """

    waiting: Amounts = attrs.field(factory=Amounts)
    ready: Amounts = attrs.field(factory=Amounts)
    placed: Amounts = attrs.field(factory=Amounts)
    placed_long: Amounts = attrs.field(factory=Amounts)


@attrs.frozen
class Timing:
    """The times of a job that decide what it is worth when it completes.

    Attributes:
        chain_ms: Usual duration of its longest chain of steps.
        objective_ms: Time from its first submission in which it should complete.
    """

    chain_ms: float
    objective_ms: float

    @classmethod
    def from_chain(cls, queue: Queue, chain_ms: float) -> Timing:
        """Return the times of a job with this usual duration."""
        return cls(chain_ms, queue.stretch * chain_ms + queue.objective_ms)

    @property
    def worthless_after_ms(self) -> float:
        """Time from the first submission after which the job has no value."""
        return LATE_MULTIPLE * self.objective_ms


@attrs.define
class Backlog:
    """The work of the open jobs at one time.

    Attributes:
        taken_ms: When the open jobs were added up.
        work_by_class_by_scope: Work by team and pool, and by class.
        pool_wait_by_place: How long a new job waits for its pool, once computed.
    """

    taken_ms: int
    work_by_class_by_scope: dict[tuple[str, str], dict[WorkClass, ClassWork]] = (
        attrs.field(factory=dict)
    )
    pool_wait_by_place: dict[tuple[str, WorkClass], float] = attrs.field(factory=dict)

    @classmethod
    def from_state(cls, state: StepState, now_ms: int) -> Backlog:
        """Add up the open jobs, without those that are too late to have any value."""
        backlog = cls(now_ms)
        for progress in state.open_job_by_id.values():
            if not progress.state.is_final:
                backlog.add(state, progress, now_ms)
        return backlog

    def add(self, state: StepState, progress: JobProgress, now_ms: int) -> None:
        """Add an open job."""
        self.pool_wait_by_place.clear()
        work_class = self._classify(state, progress, now_ms)
        work = self._work_of(
            progress, work_class or WorkClass(progress.queue.priority, True, True)
        )
        queue = progress.queue.name
        for step, count, placed, is_ready in _iter_open_steps(progress):
            if placed:
                work.placed.add(step.resources, placed)
                if step.long_running:
                    work.placed_long.add(step.resources, placed)
            if work_class is None or step.long_running or not count:
                continue
            task_ms = state.durations.expected_ms(queue, step.estimate_ms)
            work.waiting.add(step.resources, count * task_ms)
            if is_ready:
                work.ready.add(step.resources, count)

    def _work_of(self, progress: JobProgress, work_class: WorkClass) -> ClassWork:
        scope = (progress.job.team, progress.queue.pool)
        by_class = self.work_by_class_by_scope.setdefault(scope, {})
        return by_class.setdefault(work_class, ClassWork())

    @staticmethod
    def _classify(
        state: StepState, progress: JobProgress, now_ms: int
    ) -> WorkClass | None:
        """Return the class of an open job, or None if it is too late to have value.

        Scheduled jobs and long-running steps keep their value.
        """
        queue, job = progress.queue, progress.job
        if job.schedule.times or any(step.long_running for step in job.steps):
            return WorkClass(queue.priority, progress.beyond_weight, False)
        task_ms = state.durations.expected_ms(queue.name, job.steps[0].estimate_ms)
        timing = Timing.from_chain(queue, progress.longest_chain * task_ms)
        steps = progress.steps_by_occurrence.get(0)
        chain = progress.longest_chain
        if steps:
            chain = max(
                (progress.chain_by_step[s.index] for s in steps if not s.is_done),
                default=0,
            )
        age_ms = now_ms + chain * task_ms - progress.accepted_ms
        if age_ms > timing.worthless_after_ms:
            return None
        is_late = age_ms > timing.objective_ms
        return WorkClass(queue.priority, progress.beyond_weight, is_late)

    def iter_team(self, team: str) -> Iterator[tuple[WorkClass, ClassWork]]:
        """Yield the work of a team in all pools."""
        for (owner, _), by_class in self.work_by_class_by_scope.items():
            if owner == team:
                yield from by_class.items()

    @staticmethod
    def waiting_before(
        scoped: Iterable[tuple[WorkClass, ClassWork]], place: WorkClass
    ) -> Amounts:
        """Return the work that waits and comes before a new job of a class."""
        total = Amounts()
        for work_class, work in scoped:
            if work_class.precedes(place):
                total.add_amounts(work.waiting)
        return total


def _iter_open_steps(
    progress: JobProgress,
) -> Iterator[tuple[Step, int, int, bool]]:
    """Yield each step, its waiting and its placed tasks, and whether it is ready."""
    if not progress.steps_by_occurrence and not progress.job.schedule.times:
        for step in progress.job.steps:
            yield step, step.count, 0, not step.after
        return
    for opened in progress.iter_steps():
        if not opened.is_done:
            placed = len(opened.runs_by_index)
            waiting = max(opened.step.count - opened.done_count - placed, 0)
            yield opened.step, waiting, placed, _is_ready(opened)


def _is_ready(step: StepProgress) -> bool:
    return step.ready_ms is not None or not step.step.after


def entry_need(steps: Iterable[Step]) -> Resources:
    """Return what the first tasks of a job need: one of each step, or a whole gang."""
    need = ZERO_RESOURCES
    for step in steps:
        if not step.after:
            need = need + step.resources.scaled(step.count if step.gang else 1, 1)
    return need
