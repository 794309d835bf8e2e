"""Placement policies that choose the worker for a task of a step."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from marjoramgrade.decisions.stepprogress import StepProgress
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.registry import Registry

# Returns the sort key of a worker for a task of a step; the lowest key is chosen.
StepPlacement = Callable[[StepProgress, WorkerState], tuple[float, ...]]
STEP_PLACEMENTS: Registry[StepPlacement] = Registry("step placement")


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


def placement_of(step: StepProgress) -> StepPlacement:
    """Return the placement policy for a step's kind of work."""
    if step.step.uses_spare:
        return STEP_PLACEMENTS.get("spare")
    if step.step.latency_target_ms:
        return STEP_PLACEMENTS.get("latency")
    return STEP_PLACEMENTS.get("batch")


def choose_worker(
    step: StepProgress, candidates: Iterable[WorkerState]
) -> WorkerState | None:
    """Return the best candidate for one task, or None if there are none."""
    sort_key = placement_of(step)
    return min(candidates, key=lambda worker: sort_key(step, worker), default=None)


def _rack_penalty(step: StepProgress, worker: WorkerState) -> float:
    preferred_rack = step.step.data_rack or step.rack_in_use
    return 0.0 if not preferred_rack or preferred_rack == worker.worker.rack else 1.0
