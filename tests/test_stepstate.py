"""Events of jobs, workers and runs."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.stepactions import SyncWorker
from marjoramgrade.decisions.stepprogress import JobRecord, TaskPhase
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.steptracker import RUNS_PER_EPOCH
from marjoramgrade.resources import ZERO_RESOURCES
from marjoramgrade.stepjobs import RunEnd, RunEndStatus, RunReport, Step, StepJobState
from marjoramgrade.steprows import parse_row, serialize_row
from tests.steps import (
    REPORTS,
    StepHarness,
    cores,
    job,
    ref,
    report,
    starts,
    stops,
    worker,
)


def test_job_of_two_steps_runs_in_order():
    # Guards against a step that starts before its predecessor is done.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a", Step(2, cores(1)), Step(1, cores(1), after=(0,))))
    first, second = starts(cell.plan())
    assert {first.order.task.step, second.order.task.step} == {0}
    cell.confirm(first, second)
    cell.end(first, 1)
    assert starts(cell.plan()) == []
    cell.end(second, 2)
    (last,) = starts(cell.plan())
    assert last.order.task.step == 1
    cell.confirm(last)
    cell.end(last, 3)
    assert progress.state is StepJobState.COMPLETED
    assert cell.worker("w").used == ZERO_RESOURCES


def test_dropped_job_gives_its_room_back():
    # Guards against room that stays taken for a job that was refused unsent.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a"))
    progress.stored = False
    assert len(starts(cell.plan())) == 1
    cell.state.remove_job("a")
    assert cell.worker("w").used == ZERO_RESOURCES
    assert cell.state.usage.used_by_team["red"] == ZERO_RESOURCES


def test_unanswered_start_is_settled_by_a_listing_under_a_higher_fence():
    # Guards against a task that runs twice when an order is carried out late.
    cell = StepHarness.make(worker("w"), worker("v"))
    cell.add(job("a"))
    (start,) = starts(cell.plan())
    cell.state.record_start_unknown(start.worker_id, start.order.task, start.order.run)
    (sync,) = cell.collect_actions()
    assert isinstance(sync, SyncWorker)
    assert sync.fence > start.fence
    assert starts(cell.plan()) == []
    # A listing under the old fence proves nothing.
    cell.report_listing(start.worker_id, fence=start.fence)
    assert starts(cell.plan()) == []
    cell.report_listing(start.worker_id)
    (again,) = starts(cell.plan())
    assert again.order.run > start.order.run


def test_unanswered_start_that_is_present_goes_on():
    # Guards against stopping work whose start was only unanswered.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a"))
    (start,) = starts(cell.plan())
    cell.state.record_start_unknown(start.worker_id, start.order.task, start.order.run)
    cell.report_listing("w", running=(report(start),))
    assert starts(cell.plan()) == []
    cell.end(start, 1)
    assert progress.state is StepJobState.COMPLETED


def test_end_that_is_listed_again_counts_once():
    # Guards against a job that fails because one failure was reported twice, to
    # this leader or to one after it.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a"), REPORTS)
    (start,) = starts(cell.plan())
    cell.confirm(start)
    cell.end(start, 1, RunEndStatus.FAILED)
    cell.end(start, 1, RunEndStatus.FAILED)
    assert progress.state is not StepJobState.FAILED
    record = parse_row(serialize_row(progress.record()), JobRecord)

    heir = StepHarness.make(worker("w"), epoch=2)
    restored = heir.state.restore_job(progress.job, REPORTS, record, 0, 0)
    end = RunEnd(1, start.order.task, start.order.run, RunEndStatus.FAILED, "")
    heir.report_listing("w", ended=(end,))
    assert restored.state is not StepJobState.FAILED


def test_attempts_are_used_up_by_failures_only():
    # Guards against a job shown as failed because workers were lost.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a"), REPORTS)
    for number, ending in enumerate(
        (
            RunEndStatus.STOPPED,
            RunEndStatus.LEASE_EXPIRED,
            RunEndStatus.FAILED,
            RunEndStatus.FAILED,
        ),
        1,
    ):
        assert not progress.state.is_final
        (start,) = starts(cell.plan())
        cell.confirm(start)
        cell.end(start, number, ending)
    assert progress.state is StepJobState.FAILED


def test_successor_knows_placed_tasks_on_a_worker_that_it_cannot_reach():
    # Guards against a second run of a task, and against holding all other work
    # back, while a worker is cut off from a new leader.
    cell = StepHarness.make(worker("w", 1), worker("v", 1))
    placed = cell.add(job("a"))
    waiting = cell.add(job("b", Step(2, cores(1))))
    cell.plan()
    records = {p.job.job_id: p.record() for p in cell.state.pop_changed_jobs()}

    state = StepState(2, cell.state.config)
    for worker_id in ("w", "v"):
        state.add_worker(worker(worker_id, 1))
    heir = StepHarness(state, attrs.evolve(cell.planner, state=state))
    for progress in (placed, waiting):
        record = records.get(progress.job.job_id, JobRecord())
        state.restore_job(progress.job, progress.queue, record, 0, 0)
    unreachable = heir.state.job_by_id["a"].open_occurrence(0)[0].runs_by_index[0][0]
    other = "v" if unreachable.worker_id == "w" else "w"
    heir.report_listing(other)
    heir.collect_actions()
    assert {s.order.task.job_id for s in starts(heir.plan())} == {"b"}
    assert heir.state.usage.used_by_team["red"] == cores(2, 200)
    heir.state.expire_worker(heir.worker(unreachable.worker_id))
    heir.report_listing(unreachable.worker_id)
    assert "a" in {s.order.task.job_id for s in starts(heir.plan())}


def test_run_numbers_of_a_new_leader_are_higher():
    # Guards against a start that a worker rejects as older than one it has ended.
    cell = StepHarness.make(worker("w"), epoch=3)
    cell.add(job("a"))
    (start,) = starts(cell.plan())
    assert start.order.run == 2 * RUNS_PER_EPOCH + 1


def test_first_run_number_is_one():
    # Guards against a change of the numbering that the platform's pages give.
    cell = StepHarness.make(worker("w"))
    cell.add(job("a"))
    (start,) = starts(cell.plan())
    assert start.order.run == 1


def test_run_of_a_cancelled_job_is_adopted_by_nobody():
    # Guards against a run that outlives its cancelled job after a takeover.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a"))
    cell.state.cancel_job(progress, 0)
    cell.state.request_sync(cell.worker("w"))
    cell.collect_actions()
    cell.report_listing("w", running=(RunReport(ref("a"), 1, "", 10, 0),))
    (stop,) = stops(cell.collect_actions())
    assert stop.task == ref("a")
    assert not cell.worker("w").accepts_work(cell.now_ms)


def test_cancelled_start_is_stopped_once_it_is_confirmed():
    # Guards against a stop that overtakes the start it belongs to.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a"))
    (start,) = starts(cell.plan())
    cell.state.cancel_job(progress, 0)
    assert stops(cell.collect_actions()) == []
    cell.confirm(start)
    assert len(stops(cell.collect_actions())) == 1
    assert cell.worker("w").used == cores(1)
    cell.end(start, 1, RunEndStatus.STOPPED)
    assert cell.worker("w").used == ZERO_RESOURCES
    assert not cell.state.open_job_by_id


def test_new_life_of_a_worker_has_none_of_the_old_runs():
    # Guards against room that stays taken after a worker started again.
    cell = StepHarness.make(worker("w"))
    cell.add(job("a"))
    (start,) = starts(cell.plan())
    cell.confirm(start)
    cell.report_listing("w", born_ms=5_000)
    cell.collect_actions()
    cell.report_listing("w", born_ms=5_000)
    assert cell.worker("w").used == ZERO_RESOURCES
    assert len(starts(cell.plan())) == 1


def test_listing_of_an_earlier_life_is_ignored():
    # Guards against an answer that arrives after the worker started again.
    cell = StepHarness.make(worker("w"))
    cell.report_listing("w", born_ms=5_000)
    cell.report_listing("w", born_ms=5_000)
    end = RunEnd(1, ref("a"), 1, RunEndStatus.DONE, "")
    cell.report_listing("w", ended=(end,), born_ms=BORN)
    assert cell.worker("w").last_end_number == 0


def test_vanished_run_is_lost_only_after_a_later_listing():
    # Guards against losing a run that a listing from before its start lacks.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a"))
    (start,) = starts(cell.plan())
    cell.confirm(start)
    cell.now_ms += 40
    cell.report_listing("w")
    step = progress.open_occurrence(0)[0]
    assert step.phases == [TaskPhase.PLACED]
    cell.now_ms += 200
    cell.report_listing("w")
    assert step.phases == [TaskPhase.WAITING]


def test_gang_is_done_when_one_member_is():
    # Guards against starting the rest of a gang again that ended together.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a", Step(3, cores(1), gang=True)))
    members = starts(cell.plan())
    assert {m.order.run for m in members} == {1}
    cell.confirm(*members)
    cell.end(members[0], 1)
    assert progress.state is StepJobState.COMPLETED
    assert stops(cell.collect_actions()) == []


def test_copies_are_stopped_when_one_is_done():
    # Guards against a copy that keeps its room after the task is done.
    cell = StepHarness.make(worker("w"), worker("v"))
    progress = cell.add(job("a", Step(1, cores(1), speculative=True)))
    (start,) = starts(cell.plan())
    cell.confirm(start)
    step = progress.open_occurrence(0)[0]
    others = [w for w in cell.state.worker_by_id.values() if not w.run_by_task]
    assert cell.planner.place_task(step, 0, others, cell.now_ms)
    (copy,) = starts(cell.collect_actions())
    cell.confirm(copy)
    cell.end(start, 1)
    (stop,) = stops(cell.collect_actions())
    assert stop.worker_id == copy.worker_id


def test_record_survives_the_store():
    # Guards against progress that is lost or changed on its way through a row.
    cell = StepHarness.make(worker("w"))
    progress = cell.add(job("a", Step(3, cores(1), checkpoints=True)))
    first, second, _ = starts(cell.plan())
    cell.confirm(first, second)
    cell.end(first, 1)
    end = RunEnd(2, second.order.task, second.order.run, RunEndStatus.FAILED, "saved-1")
    cell.report_listing("w", ended=(end,))
    record = parse_row(serialize_row(progress.record()), JobRecord)
    heir = StepHarness.make(worker("w"), epoch=2)
    restored = heir.state.restore_job(progress.job, progress.queue, record, 0, 0)
    step = restored.open_occurrence(0)[0]
    assert step.done_count == 1
    assert step.failures_of(second.order.task.index) == 1
    assert step.checkpoint_of(second.order.task.index) == "saved-1"


BORN = 1_000


def test_order_to_an_earlier_life_of_a_worker_may_come_late():
    # Guards against two runs of a task at a time: an order that went unanswered was
    # carried out by the next life of the worker, which had seen no fence, after the
    # task had been placed elsewhere (soak seed 1 of 12 s, a worker that crashes).
    cell = StepHarness.make(worker("w1", 1), worker("w2", 1))
    cell.add(job("a"))
    first = starts(cell.plan())[0]
    cell.now_ms += 100
    cell.report_listing(first.worker_id, born_ms=5_000)
    assert not starts(cell.plan())
    cell.report_listing(first.worker_id, running=(report(first),), born_ms=5_000)
    assert not starts(cell.plan())


def test_order_that_the_next_life_has_not_carried_out_never_will_be():
    # Guards against a task that waits for ever for an order to an earlier life.
    cell = StepHarness.make(worker("w1", 1), worker("w2", 1))
    cell.add(job("a"))
    first = starts(cell.plan())[0]
    cell.now_ms += 100
    cell.report_listing(first.worker_id, born_ms=5_000)
    cell.report_listing(first.worker_id, born_ms=5_000)
    assert len(starts(cell.plan())) == 1
