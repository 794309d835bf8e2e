"""Tests of the pauses of workers whose link has failed."""

from marjoramgrade.decisions.listings.setaside import (
    FIRST_PAUSE_MS,
    FORGET_MS,
    LEAD_PAUSE_MS,
    MAX_PAUSE_MS,
    SetAsideWorkers,
)
from marjoramgrade.platform.daemon import MAX_WORKER_LEASE_MS


def test_pauses_double_up_to_the_longest():
    # Guards against a worker whose link fails at once and that costs a connection, a
    # token and a log line several times a second.
    workers, now_ms, pauses = SetAsideWorkers(), 1_000, []
    for _ in range(10):
        pauses.append(workers.record_failure("w", now_ms))
        assert workers.is_set_aside("w", now_ms + pauses[-1] - 1)
        now_ms += pauses[-1]
        assert not workers.is_set_aside("w", now_ms)
        assert workers.pop_due(now_ms) == ["w"]
        assert workers.pop_due(now_ms) == []
    assert pauses[0] == FIRST_PAUSE_MS
    assert pauses[1] == 2 * FIRST_PAUSE_MS
    assert pauses[-1] == MAX_PAUSE_MS


def test_first_pause_keeps_the_runs_of_the_worker():
    # Guards against runs that are lost because one call has failed unexpectedly.
    assert 2 * FIRST_PAUSE_MS < MAX_WORKER_LEASE_MS


def test_failures_are_forgotten():
    workers = SetAsideWorkers()
    workers.record_failure("w", 0)
    workers.record_failure("w", 1_000)
    assert workers.record_failure("w", 10 * FORGET_MS) == FIRST_PAUSE_MS
    workers.record_failure("w", 10 * FORGET_MS + 1)
    workers.forget("w")
    assert not workers.is_set_aside("w", 10 * FORGET_MS + 2)
    assert workers.record_failure("w", 10 * FORGET_MS + 3) == FIRST_PAUSE_MS


def test_worker_that_ended_a_leadership_stays_away_longer():
    # Guards against one worker that ends a leadership every minute.
    workers = SetAsideWorkers()
    assert workers.record_failure("w", 0, LEAD_PAUSE_MS) == LEAD_PAUSE_MS
    assert workers.is_set_aside("w", LEAD_PAUSE_MS - 1)
    assert not workers.is_set_aside("v", 0)


def test_many_workers_that_fail_cost_little():
    # Guards against a leader that is busy with the links of a fleet that all fail, such
    # as one of 2,000 workers of an unknown version.
    workers, ids = SetAsideWorkers(), [f"w{number}" for number in range(2_000)]
    for worker_id in ids:
        workers.record_failure(worker_id, 0)
    made_by_minute = []
    for minute in range(5):
        made = 0
        for now_ms in range(60_000 * minute, 60_000 * (minute + 1), 200):
            for worker_id in workers.pop_due(now_ms):
                workers.record_failure(worker_id, now_ms)
                made += 1
        made_by_minute.append(made)
    # A takeover makes 2,000 links in 3 s.
    assert made_by_minute[0] <= 8 * len(ids)
    assert made_by_minute[-1] <= len(ids)
