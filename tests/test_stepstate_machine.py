"""Random sequences of worker events, late orders and takeovers."""

from __future__ import annotations

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from marjoramgrade.decisions.advisorchannels import AdvisorChannels
from marjoramgrade.decisions.stepactions import StartRun, StopRun, SyncWorker
from marjoramgrade.decisions.stepplanning import Planner
from marjoramgrade.decisions.stepprogress import JobRecord
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepsupervision import Supervisor
from marjoramgrade.resources import Resources
from marjoramgrade.stepconfig import StepConfig, TeamPolicy
from marjoramgrade.stepjobs import (
    RunEnd,
    RunEndStatus,
    RunReport,
    Step,
    WorkerListing,
)
from tests.steps import REPORTS, URGENT, cores, job, worker

WORKER_IDS = ("w0", "w1", "w2")
CPU = 4
LIMIT = Resources(cpu_millis=8_000)
CONFIG = StepConfig(1, {}, {}, {"red": TeamPolicy("red", weight=1e6, limit=LIMIT)})
WITHOUT_TEAM = StepConfig(2)


@attrs.define
class FakeWorker:
    """A worker that treats fencing tokens and runs as the platform documents them."""

    fence: int = 0
    running: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    highest_run: dict = attrs.field(factory=dict)
    delayed: list = attrs.field(factory=list)
    ends: int = 0

    def admits(self, fence):
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def start(self, order, fence, cpu):
        """Execute a start; return whether the run is present."""
        if not self.admits(fence):
            return False
        if order.run <= self.highest_run.get(order.task, 0):
            return (order.task, order.run) in self.running
        self.running[(order.task, order.run)] = cpu
        self.highest_run[order.task] = order.run
        return True

    def end(self, key, ending):
        self.running.pop(key)
        self.ends += 1
        self.ended.append(RunEnd(self.ends, *key, ending, ""))

    def stop(self, task, run, fence):
        if not self.admits(fence):
            return
        if (task, run) in self.running:
            self.end((task, run), RunEndStatus.STOPPED)
        self.highest_run[task] = max(run, self.highest_run.get(task, 0))


class Leaders(RuleBasedStateMachine):
    """One leader at a time; each restores what the previous one stored."""

    def __init__(self):
        super().__init__()
        self.now_ms = 10_000
        self.epoch = 0
        self.jobs = {}
        self.records = {}
        self.workers = {worker_id: FakeWorker() for worker_id in WORKER_IDS}
        self.done = set()

    @initialize()
    def first_leader(self):
        self.take_over(CONFIG)

    @rule(config=st.sampled_from((CONFIG, CONFIG, StepConfig(), WITHOUT_TEAM)))
    def take_over(self, config):
        """Start a new leader from the store; actions of the old leader are lost."""
        self.epoch += 1
        self.state = StepState(self.epoch, config)
        self.planner = Planner(self.state, AdvisorChannels("own"))
        self.supervisor = Supervisor(self.state, self.planner)
        for worker_id in WORKER_IDS:
            self.state.add_worker(worker(worker_id, CPU))
        for new, queue in self.jobs.values():
            record = self.records.get(new.job_id, JobRecord())
            self.state.restore_job(new, queue, record, self.now_ms, self.now_ms)
        self.execute_actions()

    @rule(
        count=st.integers(1, 6),
        is_urgent=st.booleans(),
        gang=st.booleans(),
        second=st.booleans(),
        speculative=st.booleans(),
    )
    def submit(self, count, is_urgent, gang, second, speculative):
        queue = URGENT if is_urgent else REPORTS
        steps = [Step(count, cores(1, 0), gang=gang, speculative=speculative)]
        if second:
            steps.append(Step(1, cores(2, 0), after=(0,)))
        new = job(f"{len(self.jobs):016x}", *steps, queue=queue)
        self.jobs[new.job_id] = (new, queue)
        progress = self.state.add_job(new, queue, self.now_ms)
        progress.stored = True
        self.plan()

    @rule(config=st.sampled_from((CONFIG, WITHOUT_TEAM)))
    def configuration_changes(self, config):
        self.state.apply_config(config, frozenset())

    @rule()
    def plan(self):
        self.now_ms += 50
        self.planner.plan(self.now_ms, self.now_ms)
        self.execute_actions()

    @rule()
    def supervise(self):
        self.now_ms += 200
        self.supervisor.supervise(self.now_ms)
        self.execute_actions()

    @rule(worker_id=st.sampled_from(WORKER_IDS))
    def list_worker(self, worker_id):
        fake = self.workers[worker_id]
        state = self.state.worker_by_id[worker_id]
        if not fake.admits(state.fence):
            return
        listing = WorkerListing(
            1_000,
            self.now_ms,
            tuple(RunReport(*key, "", 50, 0) for key in fake.running),
            tuple(fake.ended),
        )
        self.state.apply_listing(
            state, listing, state.fence, self.now_ms, self.now_ms, self.now_ms
        )
        for end in fake.ended:
            if end.ending is RunEndStatus.DONE:
                self.done.add(end.task)
        self.execute_actions()
        # The changes are stored, so the worker may discard the ends.
        fake.ended.clear()

    @rule(worker_id=st.sampled_from(WORKER_IDS))
    def worker_gives_no_response(self, worker_id):
        """A worker becomes unresponsive and keeps its runs."""
        state = self.state.worker_by_id[worker_id]
        if state.synced:
            state.unresponsive_since_ms = self.now_ms
            self.state.request_sync(state)
            # The request for a listing under the new token is lost.
            self.state.pop_actions()

    @precondition(lambda self: any(f.running for f in self.workers.values()))
    @rule(
        data=st.data(),
        ending=st.sampled_from(
            (RunEndStatus.DONE, RunEndStatus.FAILED, RunEndStatus.STOPPED)
        ),
    )
    def run_ends(self, data, ending):
        present = [
            (fake, key) for fake in self.workers.values() for key in fake.running
        ]
        fake, key = data.draw(st.sampled_from(present))
        fake.end(key, ending)

    @precondition(lambda self: any(f.delayed for f in self.workers.values()))
    @rule()
    def late_orders_arrive(self):
        for fake in self.workers.values():
            orders, fake.delayed = fake.delayed, []
            for order, fence, cpu in orders:
                fake.start(order, fence, cpu)

    @rule(lose=st.booleans())
    def next_starts_are_lost(self, lose):
        self.lose = lose

    lose = False

    def execute_actions(self):
        """Store the changed jobs, then execute the actions of the state."""
        actions = self.state.pop_actions()
        for progress in self.state.pop_changed_jobs():
            self.records[progress.job.job_id] = progress.record()
        for action in actions:
            fake = self.workers[action.worker_id]
            if isinstance(action, StartRun):
                self.start(fake, action)
            elif isinstance(action, StopRun):
                fake.stop(action.task, action.run, action.fence)
            elif isinstance(action, SyncWorker):
                fake.admits(action.fence)
        if self.state._actions:
            self.execute_actions()

    def start(self, fake, action):
        order = action.order
        cpu = self.jobs[order.task.job_id][0].steps[order.task.step].resources
        if self.lose:
            fake.delayed.append((order, action.fence, cpu.cpu_millis))
            self.state.record_start_unknown(action.worker_id, order.task, order.run)
        elif fake.start(order, action.fence, cpu.cpu_millis):
            self.state.record_start_confirmed(
                action.worker_id, order.task, order.run, self.now_ms
            )
        else:
            self.state.record_start_refused(action.worker_id, order.task, order.run)

    @invariant()
    def no_worker_is_overcommitted(self):
        for fake in self.workers.values():
            assert sum(fake.running.values()) <= CPU * 1_000

    @invariant()
    def no_task_runs_twice_or_after_its_end(self):
        tasks = [
            task
            for fake in self.workers.values()
            for task, _ in fake.running
            if not self.jobs[task.job_id][0].steps[task.step].speculative
        ]
        assert len(tasks) == len(set(tasks))
        gangs = {
            (task.job_id, task.step)
            for task in self.done
            if self.jobs[task.job_id][0].steps[task.step].gang
        }
        for task in tasks:
            assert task not in self.done or (task.job_id, task.step) in gangs

    @invariant()
    def the_team_keeps_its_limit(self):
        running = sum(sum(f.running.values()) for f in self.workers.values())
        assert running <= LIMIT.cpu_millis


TestLeaders = Leaders.TestCase
TestLeaders.settings = settings(max_examples=120, stateful_step_count=40, deadline=None)
