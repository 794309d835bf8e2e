"""Tests preemption of runs by more urgent tasks."""

from __future__ import annotations

from marjoramgrade.resources import Resources
from marjoramgrade.stepjobs import Step
from tests.steps import REPORTS, StepHarness, cores, job, report, starts, stops, worker


def test_report_is_preempted_by_an_urgent_task_of_its_team():
    # Guards against urgent jobs that wait for reports of the same team to end.
    harness = StepHarness.make(worker("w"), limit=Resources(cpu_millis=4_000))
    harness.add(job("r", Step(4, cores(1), checkpoints=True), queue=REPORTS), REPORTS)
    harness.confirm(*starts(harness.plan()))
    harness.add(job("u", Step(2, cores(1))))
    harness.plan()
    harness.now_ms += 100
    assert len(stops(harness.plan())) == 2
    harness.now_ms += 100
    assert stops(harness.plan()) == []


def test_run_with_the_newest_checkpoint_is_preempted():
    # Guards against discarding more work than the urgent task requires.
    harness = StepHarness.make(worker("w", 2))
    harness.add(job("r", Step(2, cores(1), checkpoints=True), queue=REPORTS), REPORTS)
    old, fresh = starts(harness.plan())
    harness.confirm(old, fresh)
    harness.now_ms += 3_000
    harness.report_listing("w", running=(report(old), report(fresh, checkpoint="new")))
    harness.add(job("u"))
    harness.plan()
    harness.now_ms += 100
    (stop,) = stops(harness.plan())
    assert stop.task == fresh.order.task


def test_work_beyond_the_weight_of_its_team_preempts_nothing():
    # Guards against a burst of one team that discards the work of other teams.
    harness = StepHarness.make(worker("w", 1))
    harness.add(job("r", queue=REPORTS), REPORTS)
    harness.confirm(*starts(harness.plan()))
    harness.add(job("u")).beyond_weight = True
    harness.plan()
    harness.now_ms += 100
    assert stops(harness.plan()) == []


def test_gang_and_long_running_tasks_are_not_preempted():
    # Guards against stopping a whole gang or a standing watch for one urgent task.
    harness = StepHarness.make(worker("w", 2))
    harness.add(job("g", Step(1, cores(1), gang=True), queue=REPORTS), REPORTS)
    harness.add(job("l", Step(1, cores(1), long_running=True), queue=REPORTS), REPORTS)
    harness.confirm(*starts(harness.plan()))
    harness.add(job("u"))
    harness.plan()
    harness.now_ms += 100
    assert stops(harness.plan()) == []


def test_steps_of_one_team_at_its_limit_sort_its_runs_once(monkeypatch):
    # Guards against a leader that sorts all runs of a team for each of its waiting
    # steps: 20 steps and 1,000 runs took 78 ms per plan.
    harness = StepHarness.make(worker("w", 60), limit=Resources(cpu_millis=50_000))
    harness.add(job("r", Step(50, cores(1)), queue=REPORTS), REPORTS)
    harness.confirm(*starts(harness.plan()))
    for index in range(10):
        harness.add(job(f"u{index}", Step(4, cores(10))))
    harness.plan()
    harness.now_ms += 100
    evaluated = []
    monkeypatch.setattr(
        "marjoramgrade.decisions.steppreemption._unsaved_ms",
        lambda run, now_ms: evaluated.append(run) or 0,
    )
    assert len(stops(harness.plan())) == 40
    assert len(evaluated) == 50
