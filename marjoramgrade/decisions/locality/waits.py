"""Decides how long a step waits for capacity near its data or its other tasks.

The load is a rack that is full while other racks have room. A task takes `far_factor`
times as long off the rack of its data, and so do the tasks of a `same_rack` step on
several racks. Waiting pays while the capacity on the rack is likely to be free before
the time that it saves is over. The steps after this one start later by the same time in
both cases, so that the comparison for the step is that for the chain.

The decision is made again in each plan. Nothing is held meanwhile: other work may take
what becomes free, and the step then waits for the next end, or goes elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from marjoramgrade.decisions.durations import QueueDurations
from marjoramgrade.decisions.locality.remaining import (
    ExpectedDuration,
    expected_duration,
    latest_end_delay_ms,
)
from marjoramgrade.decisions.stepprogress import StepProgress
from marjoramgrade.decisions.steprun import Run
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.resources import ZERO_RESOURCES, Resources

# Longest wait in all. Estimates further ahead are poor, as for held capacity.
MAX_WAIT_MS = 4_000
# Longest wait of a step whose job has nothing running. Users require that a job never
# has nothing running for 3 s while a task's turn has come and there is capacity for it
# twice over. The rest is for a pause of the planner, a slow write of the placement
# (1 s) and the start.
MAX_IDLE_WAIT_MS = 1_000
# Time from the end of a run to the start of the next one on its worker, which a start
# elsewhere does not need: the listing of the end and a plan.
RESTART_MS = 100


@attrs.frozen
class RackWaitChange:
    """A wait for capacity on a rack has begun or ended.

    Attributes:
        job_id: The job.
        name: Occurrence and index of the step.
        outcome: How it ended, or empty if it has begun.
        waited_ms: How long it took.
    """

    job_id: str
    name: str
    outcome: str
    waited_ms: int


@attrs.define
class RackWaits:
    """Waits of the steps for capacity near them; valid for one plan.

    Attributes:
        far_factor: How many times as long a task takes away from its data; 0 if
            unknown, in which case no step waits.
        durations: Durations of the tasks of each queue.
        worker_by_id: All workers.
    """

    far_factor: float
    durations: QueueDurations
    worker_by_id: Mapping[str, WorkerState]
    # Latest ends of the runs of a worker, as delays, that a wait can last for.
    _ends_by_worker: dict[str, list[tuple[float, Run]]] = attrs.field(factory=dict)
    _duration_by_step: dict[tuple[str, int, int], ExpectedDuration] = attrs.field(
        factory=dict
    )
    # What earlier steps in the order wait for.
    _claimed_by_worker: dict[str, Resources] = attrs.field(factory=dict)
    # Limit up to which no capacity becomes free, by pool, rack and shape of a task.
    _exhausted_limit_ms: dict[tuple[str, str, Resources, int], float] = attrs.field(
        factory=dict
    )

    def near_rack(self, step: StepProgress) -> str:
        """Return the rack on which the tasks of a step are fastest, or an empty string.

        Tasks of a `same_rack` step that run on several racks already have none.
        """
        if self.far_factor <= 1 or step.step.uses_spare:
            return ""
        if step.step.data_rack:
            return step.step.data_rack
        racks = {
            self.worker_by_id[worker_id].worker.rack
            for worker_id in step.run_count_by_worker
            if worker_id in self.worker_by_id
        }
        return racks.pop() if step.step.same_rack and len(racks) == 1 else ""

    def prefers_one_rack(self, step: StepProgress) -> bool:
        """Return whether the tasks of a step that start together need one rack."""
        shape = step.step
        if self.far_factor <= 1 or shape.uses_spare or step.runs_by_index:
            return False
        return shape.same_rack or (shape.gang and bool(shape.data_rack))

    def limit_ms(self, step: StepProgress, now_ms: int) -> float:
        """Return how long a step may go on waiting; not positive if not at all.

        The wait in all is bounded by the time that it can save: if the ends that it
        relied on were late each time, the step loses at most twice that.
        """
        saved_ms = (self.far_factor - 1) * self._duration_of(step).shortest_ms
        bound_ms = min(saved_ms - RESTART_MS, MAX_WAIT_MS)
        if not any(other.runs_by_index for other in step.job.iter_steps()):
            bound_ms = min(bound_ms, MAX_IDLE_WAIT_MS)
        return bound_ms - (now_ms - self._began_ms(step, now_ms))

    def wait(
        self,
        step: StepProgress,
        rack: str,
        workers: Iterable[WorkerState],
        count: int,
        now_ms: int,
        *,
        together: bool = False,
    ) -> int:
        """Decide how many tasks of a step wait for capacity on a rack.

        The steps behind this one in the plan do not count on that capacity.

        Args:
            step: The step.
            rack: The rack.
            workers: Workers of the rack that may run it.
            count: Number of tasks.
            now_ms: Current time.
            together: Whether either all of them wait or none.

        Returns:
            The number of tasks for which the wait pays.
        """
        limit_ms = self.limit_ms(step, now_ms)
        if limit_ms <= 0:
            return 0
        shape, queue = step.step, step.job.queue
        key = (queue.pool, rack, shape.resources, shape.max_per_worker)
        # All steps without advice and label may use the same workers of a rack. During
        # a plan the rack only loses capacity, so one look serves the rest of a backlog.
        is_any_worker = queue.advice is None and not shape.required_label
        if is_any_worker and limit_ms <= self._exhausted_limit_ms.get(key, 0):
            return 0
        slots = [
            (delay_ms, worker.worker.worker_id)
            for worker in workers
            for delay_ms in self._slot_delays_ms(step, worker, count, limit_ms, now_ms)
        ]
        if is_any_worker and not slots:
            self._exhausted_limit_ms[key] = limit_ms
        if together and len(slots) < count:
            return 0
        slots.sort()
        for _, worker_id in slots[:count]:
            claimed = self._claimed_by_worker.get(worker_id, ZERO_RESOURCES)
            self._claimed_by_worker[worker_id] = claimed + step.step.resources
        return min(len(slots), count)

    def record_wait(self, step: StepProgress, now_ms: int) -> RackWaitChange | None:
        """Record that a step waits; return the change if it has just begun."""
        if step.rack_wait_since_ms:
            return None
        step.rack_wait_since_ms = self._began_ms(step, now_ms)
        return self._change(step, "", now_ms)

    def record_end(
        self, step: StepProgress, outcome: str, now_ms: int
    ) -> RackWaitChange | None:
        """Record that a step no longer waits; return the change if it did."""
        if not step.rack_wait_since_ms:
            return None
        change = self._change(step, outcome, now_ms)
        step.rack_wait_since_ms = 0
        return change

    @staticmethod
    def _change(step: StepProgress, outcome: str, now_ms: int) -> RackWaitChange:
        return RackWaitChange(
            step.job.job.job_id,
            f"{step.occurrence}.{step.index}",
            outcome,
            now_ms - step.rack_wait_since_ms,
        )

    @staticmethod
    def _began_ms(step: StepProgress, now_ms: int) -> int:
        """Return from when the wait counts.

        While a step waited for advice, there was capacity for it already.
        """
        if step.rack_wait_since_ms:
            return step.rack_wait_since_ms
        if step.wait_reason == "no_permitted_worker" and step.ready_ms is not None:
            return step.ready_ms
        return now_ms

    def _duration_of(self, step: StepProgress) -> ExpectedDuration:
        duration = self._duration_by_step.get(step.key)
        if duration is None:
            duration = expected_duration(step, self.durations)
            self._duration_by_step[step.key] = duration
        return duration

    def _ends_on(self, worker: WorkerState, now_ms: int) -> list[tuple[float, Run]]:
        worker_id = worker.worker.worker_id
        ends = self._ends_by_worker.get(worker_id)
        if ends is None:
            ends = []
            for run in worker.run_by_task.values():
                duration = self._duration_of(run.step)
                delay_ms = latest_end_delay_ms(run, duration, now_ms)
                if delay_ms <= MAX_WAIT_MS:
                    ends.append((delay_ms, run))
            ends.sort(key=lambda end: end[0])
            self._ends_by_worker[worker_id] = ends
        return ends

    def _slot_delays_ms(
        self,
        step: StepProgress,
        worker: WorkerState,
        count: int,
        limit_ms: float,
        now_ms: int,
    ) -> list[float]:
        """Return when up to `count` tasks fit on a worker, each beside those before."""
        worker_id = worker.worker.worker_id
        max_runs = step.step.max_per_worker or count
        room = min(max_runs - step.count_runs_on(worker_id), count)
        if room <= 0:
            return []
        need = step.step.resources
        claimed = self._claimed_by_worker.get(worker_id, ZERO_RESOURCES)
        free = worker.free_resources - claimed
        delays: list[float] = []
        wanted = need
        delay_ms = 0.0
        ends = iter(self._ends_on(worker, now_ms))
        while len(delays) < room:
            if wanted.fits(free):
                delays.append(delay_ms)
                wanted = wanted + need
                continue
            end = next(ends, None)
            if end is None or end[0] > limit_ms:
                break
            delay_ms, freed = end[0], end[1].step.step
            resources = freed.resources
            if freed.uses_spare:
                # Best-effort runs do not take processors from other work.
                resources = attrs.evolve(resources, cpu_millis=0)
            free = free + resources
        return delays
