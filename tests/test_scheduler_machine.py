"""Random operations on one scheduler, compared with a simple model."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from marjoramgrade.decisions.actions import EndStatus, StartTask, StopTask
from marjoramgrade.model import JobKind, TaskId
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from tests.scheduling import amount, node, queued, scheduler_of

WORKERS = [f"w-{index}" for index in range(3)]
CAPACITY = amount(4, 8)
choices = st.integers(0, 1_000)


class SchedulerMachine(RuleBasedStateMachine):
    """Guards against overcommitment, double starts, lost work and split gangs."""

    def __init__(self) -> None:
        super().__init__()
        self.scheduler = scheduler_of()
        self.now_ms = 0
        self.jobs = 0
        self.schedulable_workers: set[str] = set()
        self.draining: set[str] = set()
        # Tasks that must be queued or running, the worker and resources of each task
        # that runs according to the model, and cancelled tasks that still run.
        self.unfinished: set[TaskId] = set()
        self.placed: dict[TaskId, tuple[str, Resources]] = {}
        self.dropped: set[TaskId] = set()
        self.gang_by_job: dict[str, set[int]] = {}
        self.stop_requested: set[TaskId] = set()

    @initialize()
    def fill_the_shard(self) -> None:
        """Start every run with a full shard, so that it reserves and preempts."""
        for name in WORKERS[:2]:
            self.add_worker(name)
        self.submit("a", 1, 8, JobKind.BATCH, False, 0)
        self.step(0, 9)

    @rule(name=st.sampled_from(WORKERS))
    def add_worker(self, name: str) -> None:
        if name not in self.schedulable_workers:
            self.scheduler.add_worker(node(name, rack=name[-1]))
            self.schedulable_workers.add(name)
            self.draining.discard(name)

    @rule(name=st.sampled_from(WORKERS))
    def drain_worker(self, name: str) -> None:
        if name in self.schedulable_workers:
            self.scheduler.drain_worker(name, self.now_ms)
            self.schedulable_workers.discard(name)
            self.draining.add(name)

    @rule(name=st.sampled_from(WORKERS))
    def lose_worker(self, name: str) -> None:
        if name not in self.schedulable_workers | self.draining:
            return
        lost = set(self.scheduler.remove_lost_worker(name, self.now_ms))
        assert lost == {t for t, (worker, _) in self.placed.items() if worker == name}
        for task in lost:
            self.record_end(task, is_final=task in self.dropped)
        self.schedulable_workers.discard(name)
        self.draining.discard(name)

    @rule(
        team=st.sampled_from("abc"),
        cores=st.integers(1, 4),
        count=st.integers(1, 4),
        kind=st.sampled_from(JobKind),
        urgent=st.booleans(),
        delay_ms=st.sampled_from([0, 0, 500]),
    )
    def submit(
        self,
        team: str,
        cores: int,
        count: int,
        kind: JobKind,
        urgent: bool,
        delay_ms: int,
    ) -> None:
        self.jobs += 1
        job = f"j-{self.jobs}"
        common = {
            "urgent": urgent,
            "at_ms": self.now_ms,
            "not_before_ms": self.now_ms + delay_ms,
        }
        if kind is JobKind.GANG:
            members = tuple(range(count))
            entries = [queued(job, 0, team, cores, members=members, **common)]
            self.gang_by_job[job] = set(members)
        else:
            entries = [
                queued(job, index, team, cores, kind=kind, **common)
                for index in range(count)
            ]
        for entry in entries:
            self.scheduler.submit(entry, self.now_ms)
            self.unfinished.update(entry.iter_tasks())

    @rule(elapsed_ms=st.sampled_from([0, 1_000, 12_000]), budget=st.integers(1, 9))
    def step(self, elapsed_ms: int, budget: int) -> None:
        self.now_ms += elapsed_ms
        gangs: dict[str, set[int]] = {}
        for decision in self.scheduler.step(self.now_ms, budget):
            if isinstance(decision, StopTask):
                assert self.placed[decision.task][0] == decision.worker_id
                self.stop_requested.add(decision.task)
                continue
            assert isinstance(decision, StartTask)
            assert decision.task in self.unfinished
            assert decision.task not in self.placed
            assert decision.worker_id in self.schedulable_workers
            self.placed[decision.task] = (decision.worker_id, decision.resources)
            if decision.task.job_id in self.gang_by_job:
                gangs.setdefault(decision.task.job_id, set()).add(decision.task.index)
        for job, indices in gangs.items():
            assert indices == self.gang_by_job[job]

    @rule(choice=choices, ending=st.sampled_from(EndStatus))
    def end_task(self, choice: int, ending: EndStatus) -> None:
        if not self.placed or ending is EndStatus.LOST:
            return
        self.end(sorted(self.placed)[choice % len(self.placed)], ending)

    @rule(ends=st.integers(0, 6))
    def let_claims_start(self, ends: int) -> None:
        """Wait until work may reserve capacity, then free part of the capacity."""
        self.step(12_000, 9)
        for task in sorted(self.stop_requested):
            self.end(task, EndStatus.STOPPED)
        for task in sorted(self.placed)[:ends]:
            self.end(task, EndStatus.DONE)
        self.step(0, 9)

    def end(self, task: TaskId, ending: EndStatus) -> None:
        failed = self.scheduler.task_ended(task, ending, self.now_ms)
        is_final = ending is EndStatus.DONE or task in self.dropped
        self.record_end(task, is_final)
        if failed is not None:
            self.scheduler.submit(failed, self.now_ms)

    @rule(choice=choices)
    def cancel_job(self, choice: int) -> None:
        jobs = sorted({task.job_id for task in self.unfinished})
        if not jobs:
            return
        job = jobs[choice % len(jobs)]
        tasks = {task for task in self.unfinished if task.job_id == job}
        assert self.scheduler.cancel_job(job) == len(tasks)
        self.dropped.update(tasks & self.placed.keys())
        self.unfinished -= tasks - self.placed.keys()

    def record_end(self, task: TaskId, is_final: bool) -> None:
        del self.placed[task]
        self.stop_requested.discard(task)
        if is_final:
            self.unfinished.discard(task)
            self.dropped.discard(task)
            self.gang_by_job.get(task.job_id, set()).discard(task.index)

    @invariant()
    def never_overcommitted(self) -> None:
        for name in self.schedulable_workers | self.draining:
            used = ZERO_RESOURCES
            for worker, resources in self.placed.values():
                if worker == name:
                    used = used + resources
            assert used.fits(CAPACITY)
            assert self.scheduler.pool.free_of(name) == CAPACITY - used

    @invariant()
    def nothing_is_lost(self) -> None:
        assert self.scheduler.running_count == len(self.placed)
        for task in self.unfinished:
            assert self.scheduler.reason_of(task) != ""
        used = {team: self.scheduler.shares.usage_of(team) for team in "abc"}
        total = sum(each.cpu_millis for each in used.values())
        assert total == sum(r.cpu_millis for _, r in self.placed.values())


SchedulerMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
TestSchedulerMachine = SchedulerMachine.TestCase
