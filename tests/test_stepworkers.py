"""Room and trust of workers."""

from __future__ import annotations

from marjoramgrade.decisions.stepworkers import (
    FAILURES_TO_SUSPECT,
    WorkerState,
    WorkerSuspicion,
)
from marjoramgrade.resources import Resources
from tests.steps import cores, worker


def test_failures_of_one_job_raise_no_suspicion():
    # Guards against avoiding good workers because of a job that can never run.
    suspicion = WorkerSuspicion()
    for _ in range(10):
        assert not suspicion.failed("poison", 1_000)


def test_worker_that_fails_everything_gets_one_task_at_a_time():
    # Guards against a worker that burns the attempts of every job.
    suspicion = WorkerSuspicion()
    for index in range(FAILURES_TO_SUSPECT):
        suspicion.failed(f"job-{index}", 1_000)
    assert not suspicion.allows(1_001, 0)
    later_ms = suspicion.suspect_until_ms
    assert suspicion.allows(later_ms, 0)
    assert not suspicion.allows(later_ms, 1)
    suspicion.record_success()
    assert suspicion.allows(later_ms, 5)


def test_spare_work_leaves_processors_to_other_tasks():
    # Guards against tasks that wait for work which takes only what is left.
    state = WorkerState(worker("w", 4))
    state.spare_used = cores(4)
    assert state.has_capacity(cores(4), uses_spare=False)
    assert not state.has_capacity(cores(1), uses_spare=True)


def test_memory_of_spare_work_counts():
    # Guards against overcommitting memory, which spare work does not give back.
    state = WorkerState(worker("w", 4))
    state.spare_used = Resources(memory_mib=9_950)
    assert not state.has_capacity(cores(1, 100), uses_spare=False)
