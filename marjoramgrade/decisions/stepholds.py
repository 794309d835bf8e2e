"""Holds worker capacity for large tasks and gangs until enough of it is free.

Small tasks would otherwise take each part of a worker as soon as it becomes free, and
a task that needs a large part of a worker, or a gang that needs several workers at
once, would wait for as long as small tasks arrive.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from marjoramgrade.decisions.durations import QueueDurations
from marjoramgrade.decisions.steppreemption import Preemption
from marjoramgrade.decisions.stepprogress import StepProgress
from marjoramgrade.decisions.steprun import Run, RunPhase
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.resources import ZERO_RESOURCES, Resources

# A task that needs more than this share of some resource of a worker is large.
LARGE_SHARE = 0.34
# Time that a stopped run takes to end.
STOP_MS = 900
# A step waits for runs to end by themselves for at least this time, and for this share
# of its slack, before runs are preempted for it.
MIN_PATIENCE_MS = 700
PATIENCE_SHARE = 0.5
# Capacity that becomes free later than this is not held: estimates that far ahead are
# poor, and the worker would stand idle.
MAX_HOLD_MS = 4_000


@attrs.frozen
class Slot:
    """Capacity of one worker for one more task of a step.

    Attributes:
        worker: The worker.
        delay_ms: Time until the capacity is free.
        victims: Runs that must be stopped for that, beside those of earlier slots.
    """

    worker: WorkerState
    delay_ms: float
    victims: tuple[Run, ...] = ()


@attrs.frozen
class _Hold:
    """Capacity of one worker that a large step is about to take.

    Attributes:
        free_ms: When the capacity is expected to be free.
        need: The capacity.
        released: Resources of the runs that will have ended by then.
    """

    free_ms: float
    need: Resources
    released: Resources


@attrs.define
class CapacityHolds:
    """Workers that waiting large steps hold; valid for one plan.

    Attributes:
        preemption: Stops less urgent runs.
        durations: Durations of the tasks of each queue.
    """

    preemption: Preemption
    durations: QueueDurations
    _hold_by_worker: dict[str, _Hold] = attrs.field(factory=dict)

    def allows(self, step: StepProgress, worker: WorkerState, now_ms: int) -> bool:
        """Return whether a task may start on a worker without delaying its holder.

        It may if it ends before the holder starts, or if both fit beside the runs that
        are still there by then.
        """
        hold = self._hold_by_worker.get(worker.worker.worker_id)
        if hold is None:
            return True
        expected_ms = self.durations.expected_ms(
            step.job.queue.name, step.step.estimate_ms
        )
        if now_ms + expected_ms <= hold.free_ms:
            return True
        later = worker.used + worker.spare_used - hold.released + hold.need
        return (later + step.step.resources).fits(worker.worker.capacity)

    def hold(
        self,
        step: StepProgress,
        workers: Iterable[WorkerState],
        now_ms: int,
        slack_ms: float,
    ) -> list[Slot]:
        """Hold capacity for the next tasks of a step and stop what is in the way.

        Args:
            step: The step.
            workers: Workers that may run it.
            now_ms: Current time.
            slack_ms: How long the step can wait and still be on time. A step that is
                late preempts nothing.

        Returns:
            The capacity that is held: for a gang one slot for each member, for other
            steps one; empty if it does not become free in time.
        """
        needed = step.step.count if step.step.gang else 1
        slots = [
            slot
            for worker in workers
            if self.allows(step, worker, now_ms)
            for slot in self._slots_on(step, worker, needed, now_ms, slack_ms)
        ]
        slots.sort(key=lambda slot: (slot.delay_ms, len(slot.victims)))
        chosen = slots[:needed]
        if len(chosen) < needed:
            return []
        free_ms = now_ms + max(slot.delay_ms for slot in chosen)
        for slot in chosen:
            self.preemption.stop_for_worker(slot.victims)
        by_worker = Counter(slot.worker.worker.worker_id for slot in chosen)
        for slot in chosen:
            worker = slot.worker
            worker_id = worker.worker.worker_id
            self._hold_by_worker[worker_id] = _Hold(
                free_ms,
                step.step.resources.scaled(by_worker[worker_id], 1),
                self._released_by(worker, free_ms, now_ms),
            )
        return chosen

    def _released_by(
        self, worker: WorkerState, free_ms: float, now_ms: int
    ) -> Resources:
        """Return the resources of the runs that end by a time."""
        released = ZERO_RESOURCES
        for run in worker.run_by_task.values():
            if now_ms + self._remaining_ms(run, [], now_ms) <= free_ms:
                released = released + run.step.step.resources
        return released

    def _slots_on(
        self,
        step: StepProgress,
        worker: WorkerState,
        needed: int,
        now_ms: int,
        slack_ms: float,
    ) -> list[Slot]:
        """Return up to `needed` slots on a worker, each counted after those before."""
        max_runs = step.step.max_per_worker or needed
        room = max_runs - step.count_runs_on(worker.worker.worker_id)
        stopped: list[Run] = []
        slots: list[Slot] = []
        while len(slots) < min(needed, room):
            need = step.step.resources.scaled(len(slots) + 1, 1)
            slot = self._next_slot(step, worker, need, stopped, now_ms, slack_ms)
            if slot is None:
                break
            stopped.extend(slot.victims)
            slots.append(slot)
        return slots

    def _next_slot(
        self,
        step: StepProgress,
        worker: WorkerState,
        need: Resources,
        stopped: list[Run],
        now_ms: int,
        slack_ms: float,
    ) -> Slot | None:
        delay_ms = self._natural_delay_ms(step, worker, need, stopped, now_ms)
        patience_ms = max(MIN_PATIENCE_MS, PATIENCE_SHARE * slack_ms)
        if delay_ms <= min(patience_ms, MAX_HOLD_MS) or slack_ms < 0:
            return Slot(worker, delay_ms) if delay_ms <= MAX_HOLD_MS else None
        victims = self.preemption.victims_for(step, worker, need, stopped, now_ms)
        if victims is not None:
            return Slot(worker, STOP_MS, tuple(victims))
        return Slot(worker, delay_ms) if delay_ms <= MAX_HOLD_MS else None

    def _natural_delay_ms(
        self,
        step: StepProgress,
        worker: WorkerState,
        need: Resources,
        stopped: list[Run],
        now_ms: int,
    ) -> float:
        """Return the time until a need fits if only stopping runs are stopped."""
        trial = attrs.evolve(worker)
        spare = step.step.uses_spare
        if trial.has_capacity(need, uses_spare=spare):
            return 0.0
        ends = sorted(
            (
                (self._remaining_ms(run, stopped, now_ms), index, run)
                for index, run in enumerate(worker.run_by_task.values())
            ),
            key=lambda entry: entry[:2],
        )
        for delay_ms, _, run in ends:
            trial.release(run)
            if trial.has_capacity(need, uses_spare=spare):
                return delay_ms
        return float("inf")

    def _remaining_ms(self, run: Run, stopped: list[Run], now_ms: int) -> float:
        if run.phase is RunPhase.STOPPING or run in stopped:
            return STOP_MS
        if run.step.step.long_running:
            return float("inf")
        remaining_ms = run.predicted_remaining_ms(now_ms)
        if remaining_ms is None:
            expected_ms = self.durations.expected_ms(
                run.step.job.queue.name, run.step.step.estimate_ms
            )
            remaining_ms = expected_ms - (now_ms - run.ordered_ms)
        return max(remaining_ms, 0.0)
