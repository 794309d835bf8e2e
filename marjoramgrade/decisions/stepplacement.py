"""Placement policies that choose the worker for a task of a step."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from marjoramgrade.decisions.preempting.price import (
    PREEMPTION_RULES,
    ByPriority,
    PreemptionRule,
)
from marjoramgrade.decisions.stepprogress import StepProgress
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.decisions.teamheadroom import URGENT_PRIORITY
from marjoramgrade.registry import Registry

# Returns the sort key of a worker for a task of a step; the lowest key is chosen.
StepPlacement = Callable[[StepProgress, WorkerState], tuple[float, ...]]
STEP_PLACEMENTS: Registry[StepPlacement] = Registry("step placement")
# Placements of usual work that the settings can choose. The others belong to kinds of
# work.
SELECTABLE_PLACEMENTS = ("batch", "speed")
# Share of the time that a queue allows beyond the duration of its tasks that the speed
# of a worker may use up; the rest is for waiting.
MAX_MARGIN_SHARE = 0.5


@STEP_PLACEMENTS.register("batch")
def pack(step: StepProgress, worker: WorkerState) -> tuple[float, ...]:
    """Prefer the fullest worker on which the task displaces no best-effort work."""
    need = step.step.resources.cpu_millis
    left = worker.free_cpu_millis - need
    return (_rack_penalty(step, worker), 1.0 if left < 0 else 0.0, abs(left))


@STEP_PLACEMENTS.register("spare")
def avoid_latency_bound(step: StepProgress, worker: WorkerState) -> tuple[float, ...]:
    """Prefer workers with few latency-bound tasks, then those with most free CPU.

    Best-effort work raises the tail latency of latency-bound tasks on its worker.
    """
    return (
        _rack_penalty(step, worker),
        float(worker.latency_bound_runs),
        -worker.free_cpu_millis,
    )


@STEP_PLACEMENTS.register("latency")
def spread(step: StepProgress, worker: WorkerState) -> tuple[float, ...]:
    """Prefer workers with few latency-bound tasks and little best-effort work."""
    capacity = worker.worker.capacity.cpu_millis or 1
    bound = worker.latency_bound_runs
    return (
        _rack_penalty(step, worker),
        float(bound),
        worker.spare_used.cpu_millis / capacity,
        -worker.free_cpu_millis,
    )


@STEP_PLACEMENTS.register("speed")
def first_completion(step: StepProgress, worker: WorkerState) -> tuple[float, ...]:
    """Prefer the worker on which an urgent task completes first; pack other work.

    Among workers that pack other work equally well, the slower one is taken unless its
    speed would use up much of the time that the queue allows. That leaves the fast ones
    to urgent work.
    """
    rack, displaces, left = pack(step, worker)
    speed, queue = worker.speed, step.job.queue
    if queue.priority == URGENT_PRIORITY:
        return (rack, -speed.grade, displaces, left)
    if speed.grade < 0:
        lost = 1 / speed.factor - 1
        if lost > MAX_MARGIN_SHARE * max(queue.stretch - 1, 0):
            return (rack, displaces, left, 1.0, -speed.grade)
    return (rack, displaces, left, 0.0, speed.grade)


@attrs.frozen
class PlacementRules:
    """The placement rules that the settings choose.

    Attributes:
        usual: Placement of the tasks that are neither best-effort nor latency-bound.
        weighs_speed: Whether urgent gangs and calls for advice prefer fast workers too.
        preemption: Whether runs may be stopped to make room for a task.
    """

    usual: StepPlacement = pack
    weighs_speed: bool = False
    preemption: PreemptionRule = attrs.field(factory=ByPriority)

    @classmethod
    def from_config(
        cls, placement: str, preemption: str = "priority"
    ) -> PlacementRules:
        """Return the rules with these names.

        Raises:
            UnknownNameError: If a registry has no entry of that name.
        """
        return cls(
            STEP_PLACEMENTS.get(placement),
            placement == "speed",
            PREEMPTION_RULES.get(preemption)(),
        )

    def placement_of(self, step: StepProgress) -> StepPlacement:
        """Return the placement policy for a step's kind of work."""
        if step.step.uses_spare:
            return STEP_PLACEMENTS.get("spare")
        if step.step.latency_target_ms:
            return STEP_PLACEMENTS.get("latency")
        return self.usual

    def choose_worker(
        self, step: StepProgress, candidates: Iterable[WorkerState]
    ) -> WorkerState | None:
        """Return the best candidate for one task, or None if there are none."""
        sort_key = self.placement_of(step)
        return min(candidates, key=lambda worker: sort_key(step, worker), default=None)

    def prefers_fast(self, step: StepProgress) -> bool:
        """Return whether a step goes to fast workers first."""
        return self.weighs_speed and step.job.queue.priority == URGENT_PRIORITY


def _rack_penalty(step: StepProgress, worker: WorkerState) -> float:
    preferred_rack = step.step.data_rack or step.rack_in_use
    return 0.0 if not preferred_rack or preferred_rack == worker.worker.rack else 1.0
