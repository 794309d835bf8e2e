"""Simulates a cell: runs the schedulers of all zones with a manual clock.

Only the inputs of the scheduling decisions are simulated: tasks end after their run
time, and stopped tasks end after a short random delay. Networks and processes are
not simulated.
"""

from __future__ import annotations

import heapq
import time
from itertools import count
from random import Random

import attrs

from bench.cells import ZONES, Deployment, Work, WorkSource
from marjoramgrade.clock import ManualClock
from marjoramgrade.decisions.actions import EndStatus, StartTask, StopMode, StopTask
from marjoramgrade.decisions.scheduler import Scheduler
from marjoramgrade.decisions.tasks import QueuedTask
from marjoramgrade.model import JobKind, TaskId
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.settings import PolicyNames

TICK_MS = 50
# Maximum number of starts of a scheduler step.
BUDGET = 1_000
# One in this many checkpoint requests is ignored, so that the task ends only with
# the hard stop.
STOPS_PER_IGNORED_CHECKPOINT = 20
LONGEST_STOP_MS = 300


@attrs.define(eq=False)
class Run:
    """A run of a task on a worker.

    Attributes:
        ending: Status that the run ends with.
        is_over: True once the run has ended or another object replaces it.
    """

    task: TaskId
    zone: int
    started_ms: int
    resources: Resources
    ending: EndStatus = EndStatus.DONE
    is_over: bool = False


@attrs.define
class Cell:
    """The schedulers of all zones and their running tasks.

    Attributes:
        waits_ms: Waiting times of started entries that are not urgent.
        urgent_waits_ms: Waiting times of started urgent entries.
        ended: Resource seconds of the tasks that ran to completion.
        cpu_s: Processor time that the schedulers used, in seconds.
        starts: Number of tasks started.
        zones_out: Numbers of the zones that are out.
        work_by_job: Submitted work by job id.
        waiting_by_zone: Queued entries of each zone by job id.
    """

    deployment: Deployment
    policies: PolicyNames
    randomness: Random
    clock: ManualClock = attrs.field(factory=ManualClock)
    schedulers: list[Scheduler] = attrs.field(init=False)
    waits_ms: list[int] = attrs.field(factory=list)
    urgent_waits_ms: list[int] = attrs.field(factory=list)
    ended: Resources = ZERO_RESOURCES
    cpu_s: float = 0.0
    starts: int = 0
    zones_out: set[int] = attrs.field(factory=set)
    work_by_job: dict[str, Work] = attrs.field(factory=dict)
    waiting_by_zone: list[dict[str, QueuedTask]] = attrs.field(init=False)
    _started_jobs: set[str] = attrs.field(factory=set)
    _runs: dict[TaskId, Run] = attrs.field(factory=dict)
    _events: list[tuple[int, int, Run]] = attrs.field(factory=list)
    _number: count[int] = attrs.field(factory=count)

    def __attrs_post_init__(self) -> None:
        policies_by_kind = dict.fromkeys(JobKind, self.policies)
        self.schedulers = []
        self.waiting_by_zone = [{} for _ in range(ZONES)]
        for zone in range(ZONES):
            scheduler = Scheduler.from_config(policies_by_kind)
            scheduler.set_teams(self.deployment.teams)
            for node in self.deployment.nodes_of(zone):
                scheduler.add_worker(node)
            self.schedulers.append(scheduler)

    def submit(self, work: Work, zone: int) -> None:
        """Queue work in a zone."""
        self.work_by_job[work.entry.task.job_id] = work
        self._submit_entry(work.entry, zone)

    def tick(self) -> None:
        """Advance the clock by one tick, end due tasks, then step each scheduler."""
        self.clock.advance(TICK_MS)
        now_ms = self.clock.now_ms()
        while self._events and self._events[0][0] <= now_ms:
            self._end(heapq.heappop(self._events)[2], now_ms)
        for zone, scheduler in enumerate(self.schedulers):
            began_s = time.process_time()
            decisions = scheduler.step(now_ms, BUDGET)
            self.cpu_s += time.process_time() - began_s
            for decision in decisions:
                if isinstance(decision, StartTask):
                    self._start(decision, zone, now_ms)
                else:
                    self._stop(decision, now_ms)

    def queued_count_of(self, zone: int, team: str) -> int:
        """Return the number of queued tasks of a team in a zone."""
        return self.schedulers[zone].queued_count_of(team)

    def usage_of(self, team: str) -> Resources:
        """Return the resources that a team uses in all zones."""
        total = Resources()
        for scheduler in self.schedulers:
            total = total + scheduler.shares.usage_of(team)
        return total

    def done(self) -> Resources:
        """Return the resource seconds of work so far, without that of stopped tasks."""
        now_ms = self.clock.now_ms()
        total = self.ended
        for run in self._runs.values():
            if run.ending is EndStatus.DONE:
                elapsed_ms = now_ms - run.started_ms
                total = total + run.resources.scaled(elapsed_ms, 1_000)
        return total

    def take_zone_out(self, zone: int) -> None:
        """Drain the workers of a zone and move its queue to the other zones."""
        now_ms = self.clock.now_ms()
        self.zones_out.add(zone)
        scheduler = self.schedulers[zone]
        for node in self.deployment.nodes_of(zone):
            scheduler.drain_worker(node.worker_id, now_ms)
        self.move_queue(zone)

    def move_queue(self, zone: int) -> None:
        """Distribute the queued entries of a zone to the zones that are in."""
        others = [z for z in range(ZONES) if z not in self.zones_out]
        for number, entry in enumerate(list(self.waiting_by_zone[zone].values())):
            self.schedulers[zone].cancel(entry.task)
            del self.waiting_by_zone[zone][entry.task.job_id]
            self._submit_entry(entry, others[number % len(others)])

    def stop_zone(self, zone: int) -> None:
        """Stop and requeue the tasks that still run in a zone."""
        for run in list(self._runs.values()):
            if run.zone == zone:
                self.schedulers[zone].stop(run.task, "zone is out", is_requeued=True)

    def bring_zone_back(self, zone: int) -> None:
        """Return the workers of a zone to its scheduler."""
        self.zones_out.discard(zone)
        for node in self.deployment.nodes_of(zone):
            self.schedulers[zone].add_worker(node)

    def _submit_entry(self, entry: QueuedTask, zone: int) -> None:
        began_s = time.process_time()
        self.schedulers[zone].submit(entry, self.clock.now_ms())
        self.cpu_s += time.process_time() - began_s
        self.waiting_by_zone[zone][entry.task.job_id] = entry

    def _start(self, decision: StartTask, zone: int, now_ms: int) -> None:
        task = decision.task
        work = self.work_by_job[task.job_id]
        entry = self.waiting_by_zone[zone].pop(task.job_id, None)
        if entry is not None and task.job_id not in self._started_jobs:
            self._started_jobs.add(task.job_id)
            waits = self.urgent_waits_ms if entry.is_urgent else self.waits_ms
            waits.append(now_ms - entry.queued_ms)
        self.starts += 1
        run = Run(task, zone, now_ms, decision.resources)
        self._runs[task] = run
        self._schedule_end(now_ms + work.run_ms, run)

    def _stop(self, decision: StopTask, now_ms: int) -> None:
        run = self._runs[decision.task]
        is_ignored = self.randomness.randrange(STOPS_PER_IGNORED_CHECKPOINT) == 0
        if decision.mode is StopMode.CHECKPOINT and is_ignored:
            return
        longest_ms = 3_000 if decision.mode is StopMode.CHECKPOINT else LONGEST_STOP_MS
        stopped = attrs.evolve(run, ending=EndStatus.STOPPED)
        run.is_over = True
        self._runs[decision.task] = stopped
        self._schedule_end(now_ms + self.randomness.randint(50, longest_ms), stopped)

    def _end(self, run: Run, now_ms: int) -> None:
        if run.is_over:
            return
        run.is_over = True
        del self._runs[run.task]
        scheduler = self.schedulers[run.zone]
        began_s = time.process_time()
        scheduler.task_ended(run.task, run.ending, now_ms)
        self.cpu_s += time.process_time() - began_s
        if run.ending is EndStatus.DONE:
            ran_ms = now_ms - run.started_ms
            self.ended = self.ended + run.resources.scaled(ran_ms, 1_000)
        entry = scheduler.find_queued(run.task)
        if entry is not None:
            self.waiting_by_zone[run.zone][run.task.job_id] = entry
            if run.zone in self.zones_out:
                self.move_queue(run.zone)

    def _schedule_end(self, due_ms: int, run: Run) -> None:
        heapq.heappush(self._events, (due_ms, next(self._number), run))


def refill_queues(cell: Cell, source: WorkSource, tasks: int) -> None:
    """Fill the queue of each team in each zone that is in to a number of tasks."""
    now_ms = cell.clock.now_ms()
    for zone in range(ZONES):
        if zone in cell.zones_out:
            continue
        for team in cell.deployment.teams:
            while cell.queued_count_of(zone, team.name) < tasks:
                cell.submit(source.draw(team.name, now_ms), zone)
