"""Tests of learned worker speeds and of the placement that uses them."""

from __future__ import annotations

import random
import time

import attrs
import msgspec
import pytest

from marjoramgrade.controllers.leaderpolicies import LeaderPolicies
from marjoramgrade.decisions.advisorchannels import AdvisorChannels
from marjoramgrade.decisions.stepactions import AskAdvice
from marjoramgrade.decisions.stepplacement import PlacementRules
from marjoramgrade.decisions.stepplanning import Planner
from marjoramgrade.decisions.workerspeeds.learning import SpeedClass
from marjoramgrade.errors import SettingsError
from marjoramgrade.platform.settings import InstanceSettings, read_settings
from marjoramgrade.registry import UnknownNameError
from marjoramgrade.stepjobs import RunEnd, RunEndStatus, Step
from tests.steps import ADVISED, REPORTS, StepHarness, cores, job, starts, worker

SPEED_BY_LETTER = {"s": 0.8, "u": 1.0, "f": 1.25}
TASK_MS = 1_000
TICK_MS = 50


def make_harness(*workers, placement="speed"):
    harness = StepHarness.make(*workers)
    harness.planner.rules = PlacementRules.from_config(placement)
    return harness


def fleet(count, *, cpu=8):
    """Return workers of three speeds, named by the first letter of their speed."""
    return [worker(f"{'suf'[n % 3]}{n}", cpu) for n in range(count)]


@attrs.define
class Fleet:
    """Runs tasks at the speeds of the workers, on the clock of a harness."""

    harness: StepHarness
    random: random.Random = attrs.field(factory=lambda: random.Random(7))
    due: list = attrs.field(factory=list)
    ends_by_worker: dict = attrs.field(factory=dict)
    worker_by_job: dict = attrs.field(factory=dict)

    def tick(self):
        harness = self.harness
        harness.now_ms += TICK_MS
        for entry in [entry for entry in self.due if entry[0] <= harness.now_ms]:
            self.due.remove(entry)
            start, worker_id = entry[1], entry[1].worker_id
            number = self.ends_by_worker[worker_id] = (
                self.ends_by_worker.get(worker_id, 0) + 1
            )
            end = RunEnd(
                number, start.order.task, start.order.run, RunEndStatus.DONE, ""
            )
            harness.report_listing(worker_id, ended=(end,), asked_ms=0)
        for start in starts(harness.plan()):
            harness.confirm(start)
            job_id = start.order.task.job_id
            self.worker_by_job.setdefault(job_id, []).append(start.worker_id)
            # Durations within a step differ by a third.
            took_ms = TASK_MS * self.random.uniform(0.85, 1.15)
            took_ms /= SPEED_BY_LETTER[start.worker_id[0]]
            self.due.append((harness.now_ms + took_ms, start))


def learn(fleet_, steps=40, width=24, queue=REPORTS):
    for number in range(steps):
        step = Step(width, cores(1), TASK_MS)
        fleet_.harness.add(job(f"l{queue.name}{number}", step, queue=queue), queue)
        for _ in range(12):
            fleet_.tick()
    while fleet_.due:
        fleet_.tick()


def set_speeds(harness):
    """Set the learned speeds of the workers to those that they have."""
    for worker_id, state in harness.state.worker_by_id.items():
        for _ in range(30):
            state.speed.record(SPEED_BY_LETTER[worker_id[0]])


def test_speeds_of_unlike_workers_are_learned():
    # Guards against a scheduler that takes workers of three speeds for alike.
    harness = make_harness(*fleet(9), placement="batch")
    learn(Fleet(harness))
    known = [
        s for s in harness.state.worker_by_id.values() if s.speed.comparisons >= 10
    ]
    assert len(known) >= 6
    for state in known:
        expected = SPEED_BY_LETTER[state.worker.worker_id[0]]
        assert state.speed.factor == pytest.approx(expected, rel=0.13)


def test_fast_workers_stay_fast_while_urgent_steps_run_only_there():
    # Guards against speeds that are compared among fast workers alone: these would
    # count as usual ones, and urgent steps would lose them.
    harness = make_harness(*fleet(9))
    set_speeds(harness)
    fleet_ = Fleet(harness)
    learn(fleet_, steps=60, width=12, queue=REPORTS)
    learn(
        fleet_, steps=60, width=12, queue=harness.state.config.queue_by_name["urgent"]
    )
    for worker_id, state in harness.state.worker_by_id.items():
        if worker_id.startswith("f"):
            assert state.speed.speed_class is SpeedClass.FAST, state.speed


def test_wide_urgent_step_on_workers_of_unlike_speed():
    # Guards against a wide urgent step whose last task runs on a slow worker while a
    # fast one is free.
    harness = make_harness(*fleet(9))
    set_speeds(harness)
    harness.add(job("u", Step(24, cores(1))))
    started = starts(harness.plan())
    assert {start.worker_id[0] for start in started} == {"f"}
    assert harness.planner.count_by_outcome["urgent_fast"] == 24


def test_last_task_of_a_wide_step_ends_earlier_with_learned_speeds():
    # Guards against a placement by speed that does not shorten the longest task.
    longest = {}
    for placement in ("batch", "speed"):
        harness = make_harness(*fleet(12), placement=placement)
        set_speeds(harness)
        harness.add(job("u", Step(30, cores(1))))
        longest[placement] = max(
            TASK_MS / SPEED_BY_LETTER[start.worker_id[0]]
            for start in starts(harness.plan())
        )
    assert longest["speed"] <= 0.7 * longest["batch"]


def test_batch_work_leaves_fast_workers_to_urgent_work():
    # Guards against batch work that fills the fast workers although slower ones suit it
    # as well.
    harness = make_harness(*fleet(3))
    set_speeds(harness)
    harness.add(job("r", Step(12, cores(1)), queue=REPORTS), REPORTS)
    assert {start.worker_id[0] for start in starts(harness.plan())} == {"s", "u"}


def test_batch_work_packs_before_it_leaves_fast_workers():
    # Guards against fragmented workers: leaving the fast ones must cost batch work
    # nothing.
    harness = make_harness(worker("f", 4), worker("s", 8))
    set_speeds(harness)
    harness.add(job("r", Step(4, cores(1)), queue=REPORTS), REPORTS)
    assert {start.worker_id for start in starts(harness.plan())} == {"f"}


def test_batch_work_with_a_small_margin_avoids_slow_workers():
    # Guards against a queue that allows 1.4 times the work, of which a slow worker
    # would use up more than half.
    tight = attrs.evolve(REPORTS, stretch=1.4)
    harness = make_harness(worker("s"), worker("u"))
    set_speeds(harness)
    harness.add(job("r", Step(8, cores(1)), queue=tight), tight)
    assert {start.worker_id for start in starts(harness.plan())} == {"u"}


def test_urgent_gang_and_its_advice_prefer_fast_workers():
    # Guards against a gang at the speed of one slow member, and against tickets for
    # slow workers only.
    harness = make_harness(*fleet(6, cpu=2))
    set_speeds(harness)
    harness.add(job("g", Step(4, cores(1), gang=True)))
    assert {start.worker_id[0] for start in starts(harness.plan())} == {"f"}
    harness = make_harness(*fleet(90, cpu=2))
    set_speeds(harness)
    harness.add(job("a", queue=ADVISED), ADVISED)
    (asked,) = [a for a in harness.plan() if isinstance(a, AskAdvice)]
    assert {worker_id[0] for worker_id in asked.worker_ids} == {"f"}


@pytest.mark.parametrize(
    "step",
    [
        Step(4, cores(1), uses_spare=True),
        Step(4, cores(1), gang=True),
        Step(4, cores(1), same_rack=True),
        Step(4, cores(1), data_rack="elsewhere"),
    ],
)
def test_runs_that_are_slow_for_another_reason_teach_nothing(step):
    # Guards against a worker that counts as slow because it ran tasks off the rack of
    # their data, or best-effort work beside other work.
    harness = make_harness(worker("s"), worker("u"), placement="batch")
    harness.add(job("r", step, queue=REPORTS), REPORTS)
    for number, start in enumerate(starts(harness.plan()), 1):
        harness.confirm(start)
        harness.now_ms += 100 * number
        harness.end(start, number)
    assert all(s.speed.comparisons == 0 for s in harness.state.worker_by_id.values())


def test_new_leader_and_returning_worker_start_at_the_usual_speed():
    # Guards against speeds that outlive the worker that they were learned from.
    harness = make_harness(worker("f"))
    set_speeds(harness)
    harness.state.remove_worker("f")
    harness.state.add_worker(worker("f"))
    assert harness.worker("f").speed.speed_class is SpeedClass.USUAL


def test_default_placement_ignores_speeds():
    # Guards against a change of deployments whose settings do not ask for it.
    harness = make_harness(worker("s", 4), worker("f", 8), placement="batch")
    set_speeds(harness)
    harness.add(job("u", Step(4, cores(1))))
    assert {start.worker_id for start in starts(harness.plan())} == {"s"}
    assert LeaderPolicies.from_config("periodic").placement == PlacementRules()
    with pytest.raises(UnknownNameError):
        LeaderPolicies.from_config("periodic", placement="fastest")


@pytest.mark.parametrize("workers", [176, 3_000])
def test_plan_by_speed_costs_about_as_much_as_one_by_packing(workers):
    # Guards against slower plans over a backlog of 700 steps. Both placements are
    # timed alternately in one run by processor time, with the best of four counted.
    best_s = {"batch": float("inf"), "speed": float("inf")}
    harness = make_harness(*fleet(workers, cpu=1))
    set_speeds(harness)
    for number in range(700):
        step = Step(1, cores(0.5), 1_000)
        queue = harness.state.config.queue_by_name[
            "urgent" if number % 2 else "reports"
        ]
        harness.add(job(f"j{number}", step, queue=queue), queue)
    for _ in range(4):
        for placement in best_s:
            # Both plan the same state: all starts are taken back.
            harness.planner = Planner(
                harness.state,
                AdvisorChannels("own"),
                rules=PlacementRules.from_config(placement),
            )
            began_s = time.process_time()
            started = starts(harness.plan())
            best_s[placement] = min(best_s[placement], time.process_time() - began_s)
            assert started
            for start in started:
                task = start.order.task
                harness.state.record_start_refused(
                    start.worker_id, task, start.order.run
                )
    assert best_s["speed"] <= 1.5 * best_s["batch"], best_s


def test_unknown_placement_in_the_settings_is_reported(tmp_path):
    # Guards against a leader that fails at its first plan because of a wrong name, and
    # against one that places all work as best-effort work.
    path = tmp_path / "settings"
    complete = {
        field.name: "127.0.0.1:1" if field.type == "str" else 1
        for field in attrs.fields(InstanceSettings)
        if field.default is attrs.NOTHING
    }
    path.write_bytes(msgspec.json.encode({**complete, "placement": "speed"}))
    assert read_settings(path).placement == "speed"
    path.write_bytes(msgspec.json.encode({**complete, "placement": "spare"}))
    with pytest.raises(SettingsError, match="placement"):
        read_settings(path)
