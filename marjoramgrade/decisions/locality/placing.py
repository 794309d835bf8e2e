"""Places tasks on the rack of their data, or together, as far as that pays.

The load is that of `waits`; this module applies its decisions to the workers that a
plan considers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from marjoramgrade.decisions.locality.waits import RackWaitChange, RackWaits
from marjoramgrade.decisions.stepholds import CapacityHolds
from marjoramgrade.decisions.stepprogress import StepProgress
from marjoramgrade.decisions.stepworkers import WorkerState


@attrs.define
class RackPlacement:
    """Chooses racks for one plan.

    Attributes:
        waits: Decides which tasks wait.
        holds: Capacity that large steps hold.
        count_by_outcome: Receives the outcomes.
        changes: Receives the waits that begin or end.
    """

    waits: RackWaits
    holds: CapacityHolds
    count_by_outcome: Counter[str]
    changes: list[RackWaitChange]

    def wait_near(
        self,
        step: StepProgress,
        near: list[WorkerState],
        now_ms: int,
    ) -> int:
        """Return how many tasks of a step wait for capacity on their rack.

        Args:
            step: The step.
            near: Permitted workers of the rack.
            now_ms: Current time.
        """
        need = step.step.resources
        usable = [
            worker
            for worker in near
            # With capacity, it was left out for another reason, which may last.
            if not worker.has_capacity(need, uses_spare=False)
            and self.holds.allows(step, worker, now_ms)
        ]
        waiting = sum(1 for _ in step.iter_waiting())
        rack = near[0].worker.rack
        return self.waits.wait(step, rack, usable, waiting, now_ms)

    def choose_rack(
        self, step: StepProgress, permitted: list[WorkerState], count: int, now_ms: int
    ) -> list[WorkerState] | None:
        """Choose the workers for tasks that are faster together, or near their data.

        Returns:
            The permitted workers of the rack that has least room beside the tasks; all
            permitted workers if no rack has enough room and waiting does not pay; None
            if the tasks wait.
        """
        by_rack: dict[str, list[WorkerState]] = {}
        for worker in permitted:
            if step.step.data_rack in ("", worker.worker.rack):
                by_rack.setdefault(worker.worker.rack, []).append(worker)
        sufficient = [
            found
            for found in by_rack.values()
            if len(self.free_slots(step, found, count, now_ms)) >= count
        ]
        if sufficient:
            return min(
                sufficient,
                key=lambda found: sum(worker.free_cpu_millis for worker in found),
            )
        if not self.free_slots(step, permitted, 1, now_ms):
            return permitted
        for rack, found in by_rack.items():
            allowed = [
                worker
                for worker in found
                if self.holds.allows(step, worker, now_ms)
                and not worker.suspicion.probing
            ]
            if self.waits.wait(step, rack, allowed, count, now_ms, together=True):
                return None
        return permitted

    def record_wait(self, step: StepProgress, now_ms: int) -> str:
        """Record that a step waits; return the reason."""
        change = self.waits.record_wait(step, now_ms)
        if change is not None:
            self.changes.append(change)
        return "awaits_rack"

    def record_wait_end(self, step: StepProgress, *, is_far: bool, now_ms: int) -> None:
        """Record that no task of a step waits for its rack any more."""
        outcome = "waited_elsewhere" if is_far else "waited_near"
        change = self.waits.record_end(step, outcome, now_ms)
        if change is not None:
            self.changes.append(change)

    def count_place(self, step: StepProgress, *, is_far: bool) -> None:
        """Count the place of a task whose duration depends on it."""
        has_waited = bool(step.rack_wait_since_ms)
        if has_waited:
            outcome = "waited_elsewhere" if is_far else "waited_near"
        else:
            outcome = "not_worth_waiting" if is_far else "near"
        self.count_by_outcome[outcome] += 1

    def free_slots(
        self,
        step: StepProgress,
        workers: Iterable[WorkerState],
        count: int,
        now_ms: int,
    ) -> list[WorkerState]:
        """Return the workers for up to `count` tasks that fit together now.

        A worker is in the list once for each task that fits on it.
        """
        need, spare = step.step.resources, step.step.uses_spare
        max_runs = step.step.max_per_worker or count
        slots: list[WorkerState] = []
        for worker in workers:
            if len(slots) >= count:
                break
            if worker.suspicion.probing or not self.holds.allows(step, worker, now_ms):
                continue
            trial = attrs.evolve(worker)
            for _ in range(min(max_runs, count - len(slots))):
                if not trial.has_capacity(need, uses_spare=spare):
                    break
                if spare:
                    trial.spare_used = trial.spare_used + need
                else:
                    trial.used = trial.used + need
                slots.append(worker)
        return slots
