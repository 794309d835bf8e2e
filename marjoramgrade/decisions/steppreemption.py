"""Chooses runs to preempt for more urgent tasks."""

from __future__ import annotations

import functools
import operator
from collections import Counter
from collections.abc import Iterable

import attrs

from marjoramgrade.decisions.preempting.price import (
    ByPriority,
    Exchange,
    PreemptionRule,
)
from marjoramgrade.decisions.stepprogress import StepProgress
from marjoramgrade.decisions.steprun import Run, RunPhase
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.decisions.teamusage import is_within
from marjoramgrade.resources import ZERO_RESOURCES, Resources

# An urgent step waits this long for capacity to become free without preemption.
PREEMPTION_DELAY_MS = 60
# Maximum number of runs preempted for one step per plan because of a team limit.
MAX_VICTIMS = 12


@attrs.define
class Preemption:
    """Preempts less urgent runs when a team's limit or a worker's capacity is used up.

    A `Preemption` is valid for one plan: it indexes the runs once, since a team gains
    no preemptible runs during a plan.

    Attributes:
        state: Jobs and workers.
        rule: Whether runs may be stopped for a step.
        unix_offset_ms: Unix time less the time of the clock.
        count_by_outcome: Receives the number of steps for which the rule did not allow
            some stop.
    """

    state: StepState
    rule: PreemptionRule = attrs.field(factory=ByPriority)
    unix_offset_ms: int = 0
    count_by_outcome: Counter[str] = attrs.field(factory=Counter)
    _gain_by_step: dict[tuple[str, int, int], float] = attrs.field(factory=dict)
    # Highest gain for which no worker could be made free, by queue and shape of a task.
    _refused_gain_by_shape: dict[tuple[str, Resources, int], float] = attrs.field(
        factory=dict
    )
    _refused_steps: set[tuple[str, int, int]] = attrs.field(factory=set)
    _is_indexed: bool = False
    _runs_by_team: dict[str, list[Run]] = attrs.field(factory=dict)
    _stopping_resources_by_team: dict[str, Resources] = attrs.field(factory=dict)
    _victims_by_team_priority: dict[tuple[str, int], list[Run]] = attrs.field(
        factory=dict
    )

    def free_team_capacity(self, step: StepProgress, now_ms: int) -> None:
        """Stop less urgent runs of the same team until a step fits its limit."""
        if not self._may_preempt(step, now_ms):
            return
        team = step.job.job.team
        limit = self.state.usage.limit_of(team, self.state.config.team_by_name)
        if limit is None:
            return
        runs = self._runs_of(team)
        waiting = sum(1 for _ in step.iter_waiting())
        used = self.state.usage.used_by_team.get(team, ZERO_RESOURCES)
        demand = used + step.step.resources.scaled(waiting, 1)
        demand = demand - self._stopping_resources_by_team.get(team, ZERO_RESOURCES)
        team_priority = (team, step.job.queue.priority)
        if team_priority not in self._victims_by_team_priority:
            self._victims_by_team_priority[team_priority] = self._victims(
                step, runs, now_ms
            )
        victims = (
            run
            for run in self._victims_by_team_priority[team_priority]
            if run.phase is RunPhase.RUNNING
        )
        stopped = 0
        for run in victims:
            if stopped == MAX_VICTIMS or is_within(demand, limit):
                return
            if not self._pays(step, [run], now_ms):
                continue
            stopped += 1
            demand = demand - run.step.step.resources
            self._stop(run, "makes_way_in_team")

    def free_worker_capacity(
        self, step: StepProgress, permitted: Iterable[WorkerState], now_ms: int
    ) -> None:
        """Stop less urgent runs on one worker so that one task fits on it."""
        if not self._may_preempt(step, now_ms):
            return
        gain = self._gain_of(step, now_ms)
        key = (step.job.queue.name, step.step.resources, step.step.max_per_worker)
        # All steps without advice and label may use the same workers. What no worker
        # could free for one step, none can for the next one that gains no more.
        is_any_worker = step.job.queue.advice is None and not step.step.required_label
        least = self._refused_gain_by_shape.get(key, 0.0) if is_any_worker else 0.0
        if gain <= least:
            self._record_refusal(step)
            return
        best: list[Run] | None = None
        for worker in permitted:
            chosen = self._victims_on(step, worker, now_ms)
            if chosen is None:
                continue
            if not chosen:
                # Runs that are already stopping free enough capacity here.
                return
            if best is None or _loss(chosen, now_ms) < _loss(best, now_ms):
                best = chosen
        if best is None and is_any_worker and step.key in self._refused_steps:
            self._refused_gain_by_shape[key] = gain
        self.stop_for_worker(best or ())

    def _may_preempt(self, step: StepProgress, now_ms: int) -> bool:
        if step.job.beyond_weight or step.ready_ms is None:
            return False
        return now_ms - step.ready_ms >= PREEMPTION_DELAY_MS

    def victims_for(
        self,
        step: StepProgress,
        worker: WorkerState,
        need: Resources,
        stopped: Iterable[Run],
        now_ms: int,
    ) -> list[Run] | None:
        """Return the runs to stop so that a need fits on a worker.

        Args:
            step: The step that needs the capacity.
            worker: The worker.
            need: Resources that must become free.
            stopped: Runs that will be stopped anyway.
            now_ms: Current time.

        Returns:
            Less urgent runs, or None if the need cannot fit even without them.
        """
        if not self._may_preempt(step, now_ms):
            return None
        runs = list(worker.run_by_task.values())
        free = attrs.evolve(worker)
        ending = [
            run for run in runs if run.phase is RunPhase.STOPPING or run in stopped
        ]
        victims = [
            run for run in self._victims(step, runs, now_ms) if run not in ending
        ]
        chosen: list[Run] = []
        for run in (*ending, *victims):
            if free.has_capacity(need, uses_spare=step.step.uses_spare):
                return chosen if self._pays(step, chosen, now_ms) else None
            free.release(run)
            if run not in ending:
                chosen.append(run)
        fits = free.has_capacity(need, uses_spare=step.step.uses_spare)
        return chosen if fits and self._pays(step, chosen, now_ms) else None

    def _pays(self, step: StepProgress, victims: list[Run], now_ms: int) -> bool:
        """Return whether the rule lets runs be stopped for one task of a step."""
        freed = functools.reduce(
            operator.add, (run.step.step.resources for run in victims), ZERO_RESOURCES
        )
        share = min(freed.dominant_share(step.step.resources), 1.0)
        left = self._gain_of(step, now_ms) * share
        exchange = self._exchange(step, now_ms)
        for run in victims:
            left -= self.rule.loss(exchange, run)
            if left <= 0:
                self._record_refusal(step)
                return False
        return True

    def _gain_of(self, step: StepProgress, now_ms: int) -> float:
        gain = self._gain_by_step.get(step.key)
        if gain is None:
            gain = self.rule.gain(self._exchange(step, now_ms))
            self._gain_by_step[step.key] = gain
        return gain

    def _exchange(self, step: StepProgress, now_ms: int) -> Exchange:
        unix_ms = now_ms + self.unix_offset_ms
        return Exchange(step, self.state.durations, now_ms, unix_ms)

    def _record_refusal(self, step: StepProgress) -> None:
        if step.key not in self._refused_steps:
            self._refused_steps.add(step.key)
            self.count_by_outcome["preemption_not_worth"] += 1

    def stop_for_worker(self, victims: Iterable[Run]) -> None:
        """Stop runs so that a more urgent task fits on their worker."""
        for run in victims:
            self._stop(run, "makes_way_on_worker")

    def _victims_on(
        self, step: StepProgress, worker: WorkerState, now_ms: int
    ) -> list[Run] | None:
        """Return the runs to stop so that a task fits, or None if it cannot fit."""
        max_runs = step.step.max_per_worker
        if max_runs and step.count_runs_on(worker.worker.worker_id) >= max_runs:
            return None
        return self.victims_for(step, worker, step.step.resources, (), now_ms)

    def _victims(
        self, step: StepProgress, runs: Iterable[Run], now_ms: int
    ) -> list[Run]:
        """Return the runs that may be preempted, least lost work first."""
        priority = step.job.queue.priority
        candidates = [
            run
            for run in runs
            if run.phase is RunPhase.RUNNING
            and run.step.job.queue.priority > priority
            and not run.step.step.gang
            and not run.step.step.long_running
        ]
        return sorted(candidates, key=lambda run: _loss((run,), now_ms))

    def _runs_of(self, team: str) -> list[Run]:
        self._index_runs()
        return self._runs_by_team.get(team, [])

    def _index_runs(self) -> None:
        """Group the runs of all workers by team, once per plan."""
        if self._is_indexed:
            return
        self._is_indexed = True
        for worker in self.state.worker_by_id.values():
            for run in worker.run_by_task.values():
                self._runs_by_team.setdefault(run.step.job.job.team, []).append(run)
                if run.phase is RunPhase.STOPPING:
                    self._record_stopping(
                        run.step.job.job.team, run.step.step.resources
                    )
            for orphan in worker.orphan_by_task.values():
                self._record_stopping(orphan.team, orphan.resources)

    def _record_stopping(self, team: str, resources: Resources) -> None:
        leaving = self._stopping_resources_by_team.get(team, ZERO_RESOURCES)
        self._stopping_resources_by_team[team] = leaving + resources

    def _stop(self, run: Run, reason: str) -> None:
        self._index_runs()
        self.state.stop_run(run, reason)
        self._record_stopping(run.step.job.job.team, run.step.step.resources)


def _loss(runs: Iterable[Run], now_ms: int) -> float:
    """Return the work lost by stopping runs, in core-milliseconds."""
    return sum(
        run.step.step.resources.cpu_millis / 1_000 * _unsaved_ms(run, now_ms)
        for run in runs
    )


def _unsaved_ms(run: Run, now_ms: int) -> int:
    return run.unsaved_ms(now_ms)
