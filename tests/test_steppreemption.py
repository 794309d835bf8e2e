"""Tests preemption of runs by more urgent tasks."""

from __future__ import annotations

from marjoramgrade.resources import Resources
from marjoramgrade.stepjobs import Step
from tests.steps import REPORTS, StepHarness, cores, job, report, starts, stops, worker


def test_report_is_preempted_by_an_urgent_task_of_its_team():
    # Guards against urgent jobs that wait for reports of the same team to end.
    cell = StepHarness.make(worker("w"), limit=Resources(cpu_millis=4_000))
    cell.add(job("r", Step(4, cores(1), checkpoints=True), queue=REPORTS), REPORTS)
    cell.confirm(*starts(cell.plan()))
    cell.add(job("u", Step(2, cores(1))))
    cell.plan()
    cell.now_ms += 100
    assert len(stops(cell.plan())) == 2
    cell.now_ms += 100
    assert stops(cell.plan()) == []


def test_run_with_the_newest_checkpoint_is_preempted():
    # Guards against discarding more work than the urgent task requires.
    cell = StepHarness.make(worker("w", 2))
    cell.add(job("r", Step(2, cores(1), checkpoints=True), queue=REPORTS), REPORTS)
    old, fresh = starts(cell.plan())
    cell.confirm(old, fresh)
    cell.now_ms += 3_000
    cell.report_listing("w", running=(report(old), report(fresh, checkpoint="new")))
    cell.add(job("u"))
    cell.plan()
    cell.now_ms += 100
    (stop,) = stops(cell.plan())
    assert stop.task == fresh.order.task


def test_work_beyond_the_weight_of_its_team_preempts_nothing():
    # Guards against a burst of one team that discards the work of other teams.
    cell = StepHarness.make(worker("w", 1))
    cell.add(job("r", queue=REPORTS), REPORTS)
    cell.confirm(*starts(cell.plan()))
    cell.add(job("u")).beyond_weight = True
    cell.plan()
    cell.now_ms += 100
    assert stops(cell.plan()) == []


def test_gang_and_long_running_tasks_are_not_preempted():
    # Guards against stopping a whole gang or a standing watch for one urgent task.
    cell = StepHarness.make(worker("w", 2))
    cell.add(job("g", Step(1, cores(1), gang=True), queue=REPORTS), REPORTS)
    cell.add(job("l", Step(1, cores(1), long_running=True), queue=REPORTS), REPORTS)
    cell.confirm(*starts(cell.plan()))
    cell.add(job("u"))
    cell.plan()
    cell.now_ms += 100
    assert stops(cell.plan()) == []


def test_steps_of_one_team_at_its_limit_sort_its_runs_once(monkeypatch):
    # Guards against a leader that sorts all runs of a team for each of its waiting
    # steps: 20 steps and 1,000 runs took 78 ms per plan.
    cell = StepHarness.make(worker("w", 60), limit=Resources(cpu_millis=50_000))
    cell.add(job("r", Step(50, cores(1)), queue=REPORTS), REPORTS)
    cell.confirm(*starts(cell.plan()))
    for index in range(10):
        cell.add(job(f"u{index}", Step(4, cores(10))))
    cell.plan()
    cell.now_ms += 100
    evaluated = []
    monkeypatch.setattr(
        "marjoramgrade.decisions.steppreemption._unsaved_ms",
        lambda run, now_ms: evaluated.append(run) or 0,
    )
    assert len(stops(cell.plan())) == 40
    assert len(evaluated) == 50
