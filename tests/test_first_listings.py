"""Tests of the order and pace of a new leader's first listings."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from marjoramgrade.decisions.listings.takeover import (
    MAX_FIRST_LISTINGS,
    SLOT_MS,
    FirstListings,
)
from marjoramgrade.messages.rows import CommitRows, RowWrite
from marjoramgrade.messages.steps import SubmitStepJob
from marjoramgrade.stepjobs import Step, StepJobState
from marjoramgrade.steprows import (
    RosterRow,
    roster_row_id,
    roster_row_number,
    serialize_row,
)
from tests.rowstore import MemoryRowStore
from tests.steps import cores, job, worker
from tests.test_stepscheduling import FakePort, leading, wait_for_state

IDLE_WORKERS = 2 * MAX_FIRST_LISTINGS


def test_workers_of_the_present_deployments_are_all_listed_at_once():
    # Guards against a slower takeover with 176 workers.
    listings = FirstListings()
    ids = [f"w{number}" for number in range(176)]
    for worker_id in ids:
        listings.request(worker_id, may_have_runs=False)
    assert listings.pop_due(0) == ids


def test_workers_with_runs_are_listed_first_and_few_at_a_time():
    # Guards against runs that are settled only after 3,000 idle workers.
    listings = FirstListings(max_running=3)
    for worker_id in "abcde":
        listings.request(worker_id, may_have_runs=worker_id in "de")
    assert listings.pop_due(0) == ["d", "e", "a"]
    assert listings.pop_due(1) == []
    listings.settle("e")
    listings.request("e", may_have_runs=True)
    assert listings.pop_due(2) == ["e"]


def test_workers_that_do_not_respond_hold_the_others_up_for_a_bounded_time():
    # Guards against a takeover that stops at a zone that is cut off.
    listings = FirstListings(max_running=2)
    for worker_id in "abcd":
        listings.request(worker_id, may_have_runs=False)
    assert listings.pop_due(0) == ["a", "b"]
    assert listings.pop_due(SLOT_MS - 1) == []
    assert listings.pop_due(SLOT_MS) == ["c", "d"]
    assert not listings.is_waiting


def test_worker_that_left_without_a_response_is_listed_when_it_returns():
    # Guards against a worker that gets no work for the rest of a leadership.
    listings = FirstListings(max_running=2)
    listings.request("a", may_have_runs=False)
    assert listings.pop_due(0) == ["a"]
    listings.request("a", may_have_runs=False)
    assert listings.pop_due(1) == ["a"]


def test_successor_lists_workers_with_runs_first_and_then_all(monkeypatch):
    # Guards against a takeover that calls all workers of a large fleet at once.
    monkeypatch.setattr(FakePort, "run_ms", 60_000)

    async def run():
        store = MemoryRowStore()
        await store.start()
        async with leading(store) as (_, scheduler, ports):
            await scheduler.ask(SubmitStepJob(job("a", Step(2, cores(1)))))
            await wait_for_state(scheduler, "a", StepJobState.RUNNING)
            await asyncio.sleep(0.1)
            busy = {name for name, port in ports.items() if port.started}
        assert busy
        by_number = defaultdict(list)
        names = [f"a{number:04}" for number in range(IDLE_WORKERS)]
        for name in (*names, "w", "v"):
            by_number[roster_row_number(name)].append(worker(name))
        for number, workers in by_number.items():
            value = serialize_row(RosterRow(tuple(workers)))
            store.apply(CommitRows((), (RowWrite(roster_row_id(number), value),)))

        order, running, most = [], set(), 0
        respond = FakePort.renew

        async def renew(self, *args):
            nonlocal most
            name = self.registered.worker_id
            if name in order:
                return await respond(self, *args)
            order.append(name)
            running.add(name)
            most = max(most, len(running))
            await asyncio.sleep(0.05)
            running.discard(name)
            return await respond(self, *args)

        monkeypatch.setattr(FakePort, "renew", renew)
        async with leading(store, epoch=2, listed=()):
            async with asyncio.timeout(10):
                while len(order) < IDLE_WORKERS + 2:
                    await asyncio.sleep(0.01)
            assert busy <= set(order[: len(busy)])
            assert most <= MAX_FIRST_LISTINGS
        await store.stop()

    asyncio.run(run())
