"""Tests supervision of stalled, slow and interfering runs."""

from __future__ import annotations

import pytest

from marjoramgrade.decisions.stepactions import PaceRun
from marjoramgrade.decisions.stepsupervision import Supervisor
from marjoramgrade.resources import Resources
from marjoramgrade.stepjobs import RunEndStatus, Step
from tests.steps import REPORTS, StepHarness, cores, job, report, starts, stops, worker


def supervise(cell, supervisor):
    supervisor.supervise(cell.now_ms)
    return cell.collect_actions()


@pytest.fixture
def cell():
    return StepHarness.make(worker("w", 4), worker("v", 4))


@pytest.fixture
def supervisor(cell):
    return Supervisor(cell.state, cell.planner)


def test_stalled_run_starts_elsewhere(cell, supervisor):
    # Guards against work that stalls on a worker that appears healthy.
    cell.add(job("a"))
    (start,) = starts(cell.plan())
    cell.confirm(start)
    cell.report_listing(start.worker_id, running=(report(start, 20),))
    cell.now_ms += 2_000
    cell.report_listing(start.worker_id, running=(report(start, 20),))
    (stop,) = stops(supervise(cell, supervisor))
    cell.end(start, 1, RunEndStatus.STOPPED)
    (again,) = starts(cell.plan())
    assert (stop.worker_id, again.worker_id != start.worker_id) == (
        start.worker_id,
        True,
    )


def test_run_that_makes_progress_is_not_stopped(cell, supervisor):
    # Guards against stopping long tasks because other tasks of the queue are short.
    cell.state.durations.add("urgent", 500)
    cell.add(job("a", Step(4, cores(1))))
    sent = starts(cell.plan())
    cell.confirm(*sent)
    for percent in range(10, 90, 10):
        cell.now_ms += 600
        for start in sent:
            cell.report_listing(start.worker_id, running=(report(start, percent),))
        assert supervise(cell, supervisor) == []


def test_run_whose_worker_turned_slow_midway_starts_elsewhere(cell, supervisor):
    # Guards against missing a slowdown because the first half of the task was fast
    # (kbwb-arrears trouble-3: a task of 1.5 s took 7.7 s).
    cell.add(job("a", Step(4, cores(1))))
    sent = starts(cell.plan())
    cell.confirm(*sent)
    slow = sent[0]
    stopped = []
    for passed_ms, percent, slow_percent in (
        (500, 50, 50),
        (400, 80, 54),
        (400, 95, 58),
    ):
        cell.now_ms += passed_ms
        for worker_id in {start.worker_id for start in sent}:
            cell.report_listing(
                worker_id,
                running=tuple(
                    report(start, slow_percent if start is slow else percent)
                    for start in sent
                    if start.worker_id == worker_id
                ),
            )
        stopped += stops(supervise(cell, supervisor))
    assert [stop.task for stop in stopped] == [slow.order.task]


def test_task_that_is_slow_on_two_workers_is_not_moved_again():
    # Guards against a task that is longer than others of its step and restarts on one
    # worker after another (kbwb-arrears trouble-3: nine times, 18 s instead of 3 s).
    cell = StepHarness.make(*(worker(f"w{index}", 4) for index in range(6)))
    supervisor = Supervisor(cell.state, cell.planner)
    progress = cell.add(job("a", Step(1, cores(1))))
    progress.open_occurrence(0)[0].done_durations += [500, 500, 500]
    moves = 0
    for _ in range(5):
        (start,) = starts(cell.plan())
        cell.confirm(start)
        cell.now_ms += 600
        cell.report_listing(start.worker_id, running=(report(start, 20),))
        if not stops(supervise(cell, supervisor)):
            break
        moves += 1
        cell.end(start, 1, RunEndStatus.STOPPED)
    assert moves == 2


def test_run_of_a_small_step_is_judged_by_its_queue_on_a_suspect_worker(
    cell, supervisor
):
    # Guards against a step of one or two tasks that waits for a slow worker: the step
    # has too few durations to judge by (kbwb-arrears trouble-3: 7.1 s).
    cell.state.durations.add("urgent", 1_000)
    cell.add(job("a", Step(1, cores(1))))
    (start,) = starts(cell.plan())
    cell.confirm(start)
    cell.now_ms += 500
    cell.report_listing(start.worker_id, running=(report(start, 8),))
    assert stops(supervise(cell, supervisor)) == []
    cell.worker(start.worker_id).suspicion.probing = True
    (stop,) = stops(supervise(cell, supervisor))
    assert stop.task == start.order.task


def test_slow_run_that_is_done_does_not_clear_its_worker(cell):
    # Guards against a slow worker that is trusted again after each slow task.
    cell.state.durations.add("urgent", 1_000)
    cell.add(job("a", Step(2, cores(1))))
    sent = starts(cell.plan())
    cell.confirm(*sent)
    for start, took_ms in zip(sent, (5_000, 900), strict=True):
        suspicion = cell.worker(start.worker_id).suspicion
        suspicion.mark_suspect(cell.now_ms)
        cell.state.worker_by_id[start.worker_id].run_by_task[
            (start.order.task, start.order.run)
        ].running_since_ms = cell.now_ms - took_ms
        cell.end(start, start.order.task.index + 1, RunEndStatus.DONE)
        assert suspicion.probing is (took_ms == 5_000)


def test_speculative_task_on_unresponsive_worker_gets_a_copy(cell, supervisor):
    # Guards against waiting for a lease to expire where a copy is allowed.
    cell.add(job("a", Step(1, cores(1), speculative=True)))
    (start,) = starts(cell.plan())
    cell.confirm(start)
    cut_off = cell.worker(start.worker_id)
    cut_off.unresponsive_since_ms = cell.now_ms
    cell.state.request_sync(cut_off)
    cell.collect_actions()
    cell.now_ms += 300
    (copy,) = starts(supervise(cell, supervisor))
    assert copy.worker_id != start.worker_id
    assert starts(supervise(cell, supervisor)) == []


def test_non_speculative_task_stays_on_unresponsive_worker(cell, supervisor):
    # Guards against a task that runs twice while its worker is cut off.
    cell.add(job("a"))
    (start,) = starts(cell.plan())
    cell.confirm(start)
    cut_off = cell.worker(start.worker_id)
    cut_off.unresponsive_since_ms = cell.now_ms
    cell.state.request_sync(cut_off)
    cell.collect_actions()
    cell.now_ms += 5_000
    assert starts(supervise(cell, supervisor)) == []
    assert starts(cell.plan()) == []


def test_gang_that_lost_a_member_ends_whole(cell, supervisor):
    # Guards against members that hold capacity while they wait for a lost one.
    cell.add(job("a", Step(3, cores(1), gang=True)))
    members = starts(cell.plan())
    cell.confirm(*members)
    cell.end(members[0], 1, RunEndStatus.LEASE_EXPIRED)
    assert len(stops(supervise(cell, supervisor))) == 2


def test_stop_without_an_end_is_sent_again(cell, supervisor):
    # Guards against a run of a cancelled job that continues because its stop was lost.
    progress = cell.add(job("a"))
    (start,) = starts(cell.plan())
    cell.confirm(start)
    cell.state.cancel_job(progress, 0)
    assert len(stops(cell.collect_actions())) == 1
    supervise(cell, supervisor)
    cell.now_ms += 700
    assert len(stops(supervise(cell, supervisor))) == 1


def test_spare_work_slows_down_beside_a_task_above_its_target():
    # Guards against best-effort work that keeps a task above its latency target.
    cell = StepHarness.make(worker("w", 8))
    supervisor = Supervisor(cell.state, cell.planner)
    watch = Step(1, cores(2), long_running=True, latency_target_ms=50)
    cell.add(job("l", watch))
    cell.add(job("s", Step(1, cores(2), uses_spare=True), queue=REPORTS), REPORTS)
    sent = {start.order.task.job_id: start for start in starts(cell.plan())}
    cell.confirm(*sent.values())
    shares = []
    for _ in range(4):
        cell.now_ms += 600
        running = (report(sent["l"], 100, measurement=90), report(sent["s"], 10))
        cell.report_listing("w", running=running)
        actions = supervise(cell, supervisor)
        shares += [a.percent for a in actions if isinstance(a, PaceRun)]
        if stops(actions):
            break
    assert shares == [40, 0]
    assert stops(actions)[0].task.job_id == "s"


def test_draining_worker_retains_runs_without_checkpoint():
    # Guards against discarding work that may end before the worker leaves.
    cell = StepHarness.make(worker("w"), limit=Resources())
    supervisor = Supervisor(cell.state, cell.planner)
    cell.add(job("a"))
    cell.add(job("l", Step(1, cores(1), long_running=True)))
    sent = starts(cell.plan())
    cell.confirm(*sent)
    leaving = cell.worker("w")
    leaving.worker = type(leaving.worker)(
        "w", "pool", "127.0.0.1:1", "north", cores(8), (), True, 1_000
    )
    assert {s.task.job_id for s in stops(supervise(cell, supervisor))} == {"l"}
