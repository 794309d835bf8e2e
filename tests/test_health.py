import random

from marjoramgrade.decisions.actions import EndStatus
from marjoramgrade.decisions.health import (
    BACKOFF_BASE_MS,
    SUSPECT_AFTER_FAILURES,
    WorkerHealth,
)
from marjoramgrade.decisions.scheduler import Scheduler
from marjoramgrade.model import TaskId
from tests.scheduling import node, queued, scheduler_of, started

WORKER_IDS = [f"w-{index}" for index in range(8)]


def starts_by_worker(
    failing_worker: str, faulty_job: str, rounds: int
) -> dict[str, list[int]]:
    """Run short tasks at 24 per second; return the start times by worker."""
    scheduler: Scheduler = scheduler_of(*(node(name) for name in WORKER_IDS))
    randomness = random.Random(3)
    times: dict[str, list[int]] = {name: [] for name in WORKER_IDS}
    number = 0
    for now_ms in range(0, rounds * 1_000, 1_000):
        for _ in range(24):
            number += 1
            job = f"j-{randomness.randrange(5)}"
            scheduler.submit(queued(job, number, at_ms=now_ms), now_ms)
        for name, worker_id in started(scheduler.step(now_ms, 100)).items():
            times[worker_id].append(now_ms)
            fails = worker_id == failing_worker or name.startswith(faulty_job)
            ending = EndStatus.FAILED if fails else EndStatus.DONE
            scheduler.task_ended(TaskId.parse(name), ending, now_ms)
    return times


def test_a_worker_that_fails_everything_gets_few_starts() -> None:
    """Guards against a worker that attracts work because its tasks fail fast."""
    times = starts_by_worker(failing_worker="w-0", faulty_job="-", rounds=600)
    after_ten = len(times["w-0"]) - 10
    total = sum(len(each) for each in times.values())
    assert after_ten < 0.01 * (total - 10)


def test_a_job_that_fails_everywhere_makes_no_worker_suspected() -> None:
    """Guards against a faulty job that makes all workers of the cell suspected."""
    health = WorkerHealth()
    for index in range(200):
        health.record_failure(WORKER_IDS[index % 8], "faulty", index)
    assert health.avoided(200) == frozenset()
    times = starts_by_worker(failing_worker="-", faulty_job="j-0", rounds=60)
    assert sum(len(each) for each in times.values()) == 60 * 24


def test_failures_of_many_jobs_on_one_worker_count() -> None:
    """Guards against ignoring failures of jobs that have run on no other worker."""
    health = WorkerHealth()
    for index in range(SUSPECT_AFTER_FAILURES):
        assert health.avoided(index) == frozenset()
        health.record_failure("w-0", f"j-{index}", index)
    assert health.avoided(SUSPECT_AFTER_FAILURES) == {"w-0"}


def test_one_probe_runs_after_the_back_off_and_success_ends_it() -> None:
    """Guards against many starts on a suspected worker, and lasting suspicion."""
    health = WorkerHealth()
    for index in range(SUSPECT_AFTER_FAILURES):
        health.record_failure("w-0", f"j-{index}", 0)
    assert health.avoided(BACKOFF_BASE_MS - 1) == {"w-0"}
    assert health.avoided(BACKOFF_BASE_MS) == frozenset()
    health.record_start("w-0", BACKOFF_BASE_MS)
    assert health.avoided(BACKOFF_BASE_MS) == {"w-0"}
    health.record_failure("w-0", "probe", BACKOFF_BASE_MS)
    assert health.avoided(3 * BACKOFF_BASE_MS - 1) == {"w-0"}
    health.record_start("w-0", 3 * BACKOFF_BASE_MS)
    health.record_success("w-0", "probe", 3 * BACKOFF_BASE_MS)
    assert health.avoided(3 * BACKOFF_BASE_MS) == frozenset()


def test_a_probe_that_ends_without_a_result_allows_another() -> None:
    """Guards against a worker that gets no work after its probe was cancelled."""
    health = WorkerHealth()
    for index in range(SUSPECT_AFTER_FAILURES):
        health.record_failure("w-0", f"j-{index}", 0)
    health.avoided(BACKOFF_BASE_MS)
    health.record_start("w-0", BACKOFF_BASE_MS)
    health.record_inconclusive_end("w-0", BACKOFF_BASE_MS + 1)
    assert health.avoided(BACKOFF_BASE_MS + 1) == frozenset()
