"""Tests of the capacity and suspicion of workers."""

from __future__ import annotations

from marjoramgrade.decisions.stepworkers import (
    FAILURES_TO_SUSPECT,
    WorkerState,
    WorkerSuspicion,
)
from marjoramgrade.resources import Resources
from tests.steps import cores, worker


def test_failures_of_one_job_raise_no_suspicion():
    # Guards against avoiding healthy workers because of a job that always fails.
    suspicion = WorkerSuspicion()
    for _ in range(10):
        assert not suspicion.record_failure("poison", 1_000)


def test_worker_that_fails_everything_gets_one_task_at_a_time():
    # Guards against a faulty worker that uses up the attempts of every job.
    suspicion = WorkerSuspicion()
    for index in range(FAILURES_TO_SUSPECT):
        suspicion.record_failure(f"job-{index}", 1_000)
    assert not suspicion.allows(1_001, 0)
    later_ms = suspicion.suspect_until_ms
    assert suspicion.allows(later_ms, 0)
    assert not suspicion.allows(later_ms, 1)
    suspicion.record_success()
    assert suspicion.allows(later_ms, 5)


def test_best_effort_work_leaves_processors_to_other_tasks():
    # Guards against tasks that wait for processors in use by best-effort work.
    state = WorkerState(worker("w", 4))
    state.spare_used = cores(4)
    assert state.has_capacity(cores(4), uses_spare=False)
    assert not state.has_capacity(cores(1), uses_spare=True)


def test_memory_of_best_effort_work_counts():
    # Guards against overcommitted memory: best-effort work does not give memory back.
    state = WorkerState(worker("w", 4))
    state.spare_used = Resources(memory_mib=9_950)
    assert not state.has_capacity(cores(1, 100), uses_spare=False)
