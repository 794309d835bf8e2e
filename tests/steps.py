"""Builders of step jobs, workers and scheduler states for the tests of decisions."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.advisorchannels import AdvisorChannels
from marjoramgrade.decisions.stepactions import StartRun, StepAction, StopRun
from marjoramgrade.decisions.stepplanning import Planner
from marjoramgrade.decisions.stepprogress import JobProgress, JobRecord
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.resources import Resources
from marjoramgrade.stepconfig import AdvicePolicy, Queue, StepConfig, TeamPolicy
from marjoramgrade.stepjobs import (
    RunEnd,
    RunEndStatus,
    RunReport,
    Step,
    StepJob,
    StepWorker,
    TaskRef,
    WorkerListing,
)
from marjoramgrade.steprows import parse_row, serialize_row

URGENT = Queue("urgent", "host", "/urgent/", "pool", 0, 3, 1.5, 250)
REPORTS = Queue("reports", "host", "/reports/", "pool", 2, 2, 2.2, 1_200)
ADVISED = attrs.evolve(URGENT, name="advised", advice=AdvicePolicy(26.0, 0.4, 2_500))
BORN_MS = 1_000


def cores(count: float, memory: int = 100) -> Resources:
    """Return resources of this many cores and this much memory in MiB."""
    return Resources(cpu_millis=int(count * 1_000), memory_mib=memory)


def job(job_id: str, *steps: Step, queue: Queue = URGENT, team: str = "red") -> StepJob:
    """Return a job, by default with one task of one core."""
    return StepJob(job_id, queue.name, team, "payload", steps or (Step(1, cores(1)),))


@attrs.define
class StepHarness:
    """A scheduler state with its planner and a manually advanced clock."""

    state: StepState
    planner: Planner
    now_ms: int = 10_000
    sent: list[StepAction] = attrs.field(factory=list)

    @classmethod
    def make(
        cls,
        *workers: StepWorker,
        epoch: int = 1,
        limit: Resources | None = None,
    ) -> StepHarness:
        """Return a harness whose workers are synced and have no runs."""
        state = StepState(epoch)
        team = TeamPolicy("red", weight=1_000.0, limit=limit or Resources())
        queues = (URGENT, REPORTS, ADVISED)
        state.config = StepConfig(1, {q.name: q for q in queues}, {}, {"red": team})
        harness = cls(state, Planner(state, AdvisorChannels("own", {"peer": 1})))
        for worker in workers:
            state.add_worker(worker)
            harness.report_listing(worker.worker_id)
        harness.collect_actions()
        return harness

    def take_over(self, *workers: StepWorker) -> StepHarness:
        """Return a successor that has read the stored jobs and workers.

        The workers have not answered it yet.
        """
        state = StepState(self.state.epoch + 1, self.state.config)
        for found in workers:
            state.add_worker(found)
        successor = StepHarness(
            state, attrs.evolve(self.planner, state=state), self.now_ms
        )
        for progress in self.state.job_by_id.values():
            record = parse_row(serialize_row(progress.record()), JobRecord)
            state.restore_job(
                progress.job, progress.queue, record, self.now_ms, self.now_ms
            )
        successor.collect_actions()
        return successor

    def add(self, new: StepJob, queue: Queue = URGENT) -> JobProgress:
        """Add a job and mark it stored."""
        progress = self.state.add_job(new, queue, self.now_ms)
        progress.stored = True
        return progress

    def plan(self) -> list[StepAction]:
        """Plan and return the new actions."""
        self.planner.plan(self.now_ms, self.now_ms)
        return self.collect_actions()

    def collect_actions(self) -> list[StepAction]:
        """Return the new actions and add them to `sent`."""
        actions = self.state.pop_actions()
        self.sent.extend(actions)
        return actions

    def worker(self, worker_id: str) -> WorkerState:
        """Return a worker."""
        return self.state.worker_by_id[worker_id]

    def report_listing(
        self,
        worker_id: str,
        *,
        running: tuple[RunReport, ...] = (),
        ended: tuple[RunEnd, ...] = (),
        fence: int | None = None,
        born_ms: int = BORN_MS,
        asked_ms: int | None = None,
        has_all_ends: bool = True,
    ) -> None:
        """Apply a worker's response to a listing call."""
        worker = self.worker(worker_id)
        self.state.apply_listing(
            worker,
            WorkerListing(born_ms, self.now_ms, running, ended, has_all_ends),
            worker.fence if fence is None else fence,
            self.now_ms if asked_ms is None else asked_ms,
            self.now_ms,
            self.now_ms,
        )

    def confirm(self, *starts: StartRun) -> None:
        """Record that workers confirmed starts."""
        for start in starts:
            self.state.record_start_confirmed(
                start.worker_id, start.order.task, start.order.run, self.now_ms
            )

    def end(
        self, start: StartRun, number: int, ending: RunEndStatus = RunEndStatus.DONE
    ) -> None:
        """Apply a listing with the end of a run; `number` is that of the end."""
        task, run = start.order.task, start.order.run
        self.report_listing(
            start.worker_id, ended=(RunEnd(number, task, run, ending, ""),)
        )


def worker(
    worker_id: str, cpu: float = 8, *, zone: str = "north", labels: tuple[str, ...] = ()
) -> StepWorker:
    """Return a worker with this many cores."""
    return StepWorker(
        worker_id,
        "pool",
        "127.0.0.1:1",
        zone,
        cores(cpu, 10_000),
        labels,
        False,
        BORN_MS,
    )


def starts(actions: list[StepAction]) -> list[StartRun]:
    """Return the starts among actions."""
    return [action for action in actions if isinstance(action, StartRun)]


def stops(actions: list[StepAction]) -> list[StopRun]:
    """Return the stops among actions."""
    return [action for action in actions if isinstance(action, StopRun)]


def report(
    start: StartRun, percent: int = 50, checkpoint: str = "", measurement: int = 0
) -> RunReport:
    """Return a worker's report of a present run."""
    return RunReport(
        start.order.task, start.order.run, checkpoint, percent, measurement
    )


def ref(job_id: str, index: int = 0, step: int = 0) -> TaskRef:
    """Return the reference to a task of the first occurrence."""
    return TaskRef(job_id, 0, step, index)
