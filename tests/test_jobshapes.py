"""Bounds on the work that one job causes in a plan, whatever its shape.

Counts function calls instead of time, so that the result is the same on each machine.
"""

from __future__ import annotations

import contextlib
import sys

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramgrade.decisions.stepplanning import MAX_STARTS_PER_PLAN
from marjoramgrade.decisions.stepprogress import (
    MAX_OPEN_STEPS,
    MAX_OPEN_TASKS,
    JobRecord,
)
from marjoramgrade.errors import InvalidInputError
from marjoramgrade.stepjobs import (
    MAX_STEPS,
    MAX_TASKS_PER_STEP,
    Schedule,
    Step,
    StepJob,
)
from tests.steps import URGENT, StepHarness, cores, job, starts, worker

WORKERS = 8
# A plan looks at each worker a few times for each start that it orders and for each
# step that waits, however the steps depend on each other.
CALLS_PER_LOOK = 40
MAX_CALLS = CALLS_PER_LOOK * WORKERS * (MAX_STARTS_PER_PLAN + MAX_STEPS)
TINY = cores(0.001, 1)


class TooManyCallsError(Exception):
    """The measured code made more calls than it may."""


@contextlib.contextmanager
def at_most_calls(limit):
    """End the block with an error once it has made this many function calls."""
    calls = 0

    def count(_frame, event, _argument):
        nonlocal calls
        calls += event == "call"
        if calls > limit:
            sys.setprofile(None)
            raise TooManyCallsError(f"more than {limit} calls")

    previous = sys.getprofile()
    sys.setprofile(count)
    try:
        yield
    finally:
        sys.setprofile(previous)


def layers(count, width):
    """Return the predecessors of each step, each after all of the layer before."""
    return [
        tuple(range(index // width * width - width, index // width * width))
        if index >= width
        else ()
        for index in range(count)
    ]


AFTER_BY_SHAPE = {
    "independent": lambda count: [()] * count,
    "chain": lambda count: [(i - 1,) if i else () for i in range(count)],
    "fan": lambda count: [(0,) if i else () for i in range(count)],
    "layers of 4": lambda count: layers(count, 4),
    "all after all": lambda count: [tuple(range(i)) for i in range(count)],
}


def make_job(shape, steps, tasks, **fields):
    after = AFTER_BY_SHAPE[shape](steps)
    return job("a", *(Step(tasks, TINY, after=a, **fields) for a in after))


def plan_with_bound(new):
    """Plan a job twice within the bound; return the starts of each plan."""
    harness = StepHarness.make(*(worker(f"w{i}") for i in range(WORKERS)))
    ordered = []
    with at_most_calls(MAX_CALLS):
        harness.add(new)
        harness.plan()
    ordered.append(len(starts(harness.sent)))
    with at_most_calls(MAX_CALLS):
        ordered.append(len(starts(harness.plan())))
    return ordered


@pytest.mark.parametrize("shape", AFTER_BY_SHAPE)
def test_plan_of_the_largest_job_is_bounded(shape):
    # Guards against a job whose number of dependency chains keeps the event loop of
    # each leader busy for good (review/1).
    first, second = plan_with_bound(make_job(shape, MAX_STEPS, MAX_TASKS_PER_STEP))
    assert first == second == MAX_STARTS_PER_PLAN


@pytest.mark.parametrize(
    "fields",
    [{"max_per_worker": 500}, {"latency_target_ms": 50}, {"uses_spare": True}],
    ids=str,
)
def test_plan_of_a_wide_step_is_bounded(fields):
    # Guards against a search for a worker whose cost grows with the runs that the
    # step, or the worker, already has.
    new = make_job("independent", 1, MAX_TASKS_PER_STEP, **fields)
    harness = StepHarness.make(*(worker(f"w{i}") for i in range(WORKERS)))
    harness.add(new)
    for _ in range(MAX_TASKS_PER_STEP // MAX_STARTS_PER_PLAN + 1):
        with at_most_calls(MAX_CALLS):
            harness.plan()
    assert len(starts(harness.sent)) == MAX_TASKS_PER_STEP


def test_plan_of_a_job_with_a_year_of_due_occurrences_is_bounded():
    # Guards against a schedule without a start, all of whose occurrences are due: it
    # filled the memory of each leader and hung it.
    minute_ms, times = 60_000, 525_600
    schedule = Schedule(times, 0, minute_ms)
    new = attrs.evolve(job("a", *[Step(1, TINY)] * 2), schedule=schedule)
    harness = StepHarness.make(*(worker(f"w{i}") for i in range(WORKERS)))
    harness.now_ms = times * minute_ms
    with at_most_calls(MAX_CALLS):
        harness.add(new)
        ordered = starts(harness.plan())
    assert len(ordered) == MAX_STARTS_PER_PLAN
    with at_most_calls(MAX_CALLS):
        harness.plan()
    assert len(harness.state.job_by_id["a"].steps_by_occurrence) <= MAX_OPEN_STEPS // 2


def test_missed_occurrences_are_caught_up_in_order():
    # Guards against occurrences that are left out, or that wait for good behind others.
    schedule = Schedule(5, 0, 1_000)
    # Two occurrences together exceed `MAX_OPEN_TASKS`.
    wide = (Step(MAX_TASKS_PER_STEP, TINY), Step(MAX_OPEN_TASKS // 4, TINY))
    new = attrs.evolve(job("a", *wide), schedule=schedule)
    harness = StepHarness.make(*(worker(f"w{i}") for i in range(WORKERS)))
    progress = harness.add(new)
    seen = []
    plans = schedule.times * (sum(s.count for s in wide) // MAX_STARTS_PER_PLAN + 1)
    for _ in range(plans):
        harness.plan()
        seen.append(tuple(progress.steps_by_occurrence))
        for steps in list(progress.steps_by_occurrence.values()):
            for step in steps:
                for run in list(step.iter_runs()):
                    harness.state._detach(run)
                    step.mark_done(run.task.index)
        progress.close_done_occurrences()
    assert progress.all_done
    seen = [numbers for numbers in seen if numbers]
    assert max(map(len, seen)) == 1
    assert [occurrence for (occurrence,) in dict.fromkeys(seen)] == list(range(5))


def test_gang_larger_than_a_plan_is_started_whole():
    # Guards against a part of a gang that waits for members that a later plan starts.
    new = make_job("independent", 1, MAX_TASKS_PER_STEP, gang=True)
    first, second = plan_with_bound(new)
    assert (first, second) == (MAX_TASKS_PER_STEP, 0)


@settings(max_examples=20, deadline=None)
@given(
    shape=st.sampled_from(sorted(AFTER_BY_SHAPE)),
    steps=st.integers(1, MAX_STEPS),
    tasks=st.sampled_from([1, 30, MAX_TASKS_PER_STEP]),
    gang=st.booleans(),
    max_per_worker=st.sampled_from([0, 1, 300]),
)
def test_plan_of_any_job_is_bounded(shape, steps, tasks, gang, max_per_worker):
    # Guards against other shapes of jobs that keep the event loop busy.
    plan_with_bound(
        make_job(shape, steps, tasks, gang=gang, max_per_worker=max_per_worker)
    )


@given(st.data())
def test_chain_lengths_are_those_of_the_longest_chains(data):
    # Guards against an objective or an order computed from a wrong chain.
    count = data.draw(st.integers(1, 8))
    after = [
        tuple(sorted(data.draw(st.sets(st.integers(0, i - 1))))) if i else ()
        for i in range(count)
    ]
    steps = tuple(Step(1, after=a) for a in after)

    def longest(index):
        followers = [later for later in range(count) if index in after[later]]
        return 1 + max(map(longest, followers), default=0)

    lengths = StepJob("a", "q", "", "", steps).chain_lengths()
    assert lengths == tuple(longest(index) for index in range(count))


@pytest.mark.parametrize(
    "steps",
    [(), (Step(0),), (Step(1, after=(5,)),), (Step(1), Step(1, after=(-1,)))],
    ids=str,
)
def test_stored_job_of_an_invalid_shape_is_left_out(steps):
    # Guards against one odd row that ends each instance that takes the lead.
    harness = StepHarness.make(worker("w"))
    odd = StepJob("a", "urgent", "red", "", steps)
    with pytest.raises(InvalidInputError):
        harness.state.restore_job(odd, URGENT, JobRecord(), 0, 0)
    assert not harness.state.job_by_id


def test_stored_job_that_names_a_predecessor_twice_goes_on():
    # Guards against a job of an earlier version that nobody runs any more.
    harness = StepHarness.make(worker("w"))
    stored = job("a", Step(1, TINY), Step(1, TINY, after=(0, 0)))
    restored = harness.state.restore_job(stored, URGENT, JobRecord(), 0, 0)
    assert restored.chain_by_step == (2, 1)


def test_predecessor_that_is_named_twice_is_refused():
    # Guards against a list of predecessors whose length nothing bounds.
    with pytest.raises(InvalidInputError, match="twice"):
        job("a", Step(1), Step(1, after=(0, 0))).check()
    job("a", Step(1), attrs.evolve(Step(1), after=(0,))).check()
