"""Tests of how often workers are listed."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers.stepworkerlink import RETRY_DELAY_MS, StepWorkerLink
from marjoramgrade.decisions.listings.schedule import (
    BUSY_WAIT_MS,
    IDLE_WAIT_MS,
    LISTING_SCHEDULES,
    PERIODIC_WAIT_MS,
    WorkerActivity,
)
from marjoramgrade.decisions.stepsupervision import IDLE_MS
from marjoramgrade.messages.steps import AllowLeaseRenewal, SendRunStart
from marjoramgrade.platform.daemon import MAX_WORKER_LEASE_MS
from marjoramgrade.platform.workers import LISTING_MARGIN_MS
from marjoramgrade.stepjobs import RunReport, StartOrder
from tests.steps import ref, worker
from tests.test_stepworkerlink import Port, Scheduler

# Workers wait no longer for an end, whatever is asked for.
LONGEST_WAIT_MS = 2_000
WORKER_CLOCK_RATE = 0.98


def activity(*, has_runs=False, is_alert=False, has_failed=False):
    return WorkerActivity(has_runs, is_alert, has_failed)


@pytest.mark.parametrize("workers", [10, 100, 1_000, 3_000])
def test_idle_fleet_is_listed_less_often(workers):
    # Guards against listings that grow with workers on which nothing runs.
    listings_per_s = {
        name: workers * 1_000 / LISTING_SCHEDULES.get(name)(activity())
        for name in ("periodic", "expected")
    }
    assert listings_per_s["expected"] <= 0.35 * listings_per_s["periodic"]


def test_no_wait_is_longer_than_workers_allow():
    for name in LISTING_SCHEDULES.iter_names():
        for has_runs in (False, True):
            wait_ms = LISTING_SCHEDULES.get(name)(activity(has_runs=has_runs))
            assert 0 < wait_ms <= LONGEST_WAIT_MS


def test_lease_outlives_a_lost_listing():
    # Guards against a lease of a sound worker that lapses because one listing of it was
    # lost: the next one extends nothing, and the one after it does.
    schedule = LISTING_SCHEDULES.get("expected")
    lost_ms = schedule(activity(has_runs=True)) + LISTING_MARGIN_MS
    retry_ms = schedule(activity(has_runs=True, has_failed=True)) + LISTING_MARGIN_MS
    renewed_ms = lost_ms + RETRY_DELAY_MS + retry_ms + LISTING_MARGIN_MS
    assert renewed_ms < MAX_WORKER_LEASE_MS * WORKER_CLOCK_RATE


def test_start_on_an_idle_worker_outlives_the_pending_listing():
    # Guards against a run that lapses because the listing that was sent before its
    # start is lost, and waits longer than the lease that the start granted.
    schedule = LISTING_SCHEDULES.get("expected")
    lost_ms = schedule(activity()) + LISTING_MARGIN_MS
    retry_ms = schedule(activity(has_runs=True, has_failed=True)) + LISTING_MARGIN_MS
    renewed_ms = lost_ms + RETRY_DELAY_MS + retry_ms
    assert renewed_ms < MAX_WORKER_LEASE_MS * WORKER_CLOCK_RATE


def test_progress_of_a_run_is_reported_in_time_for_supervision():
    # Guards against stalled runs that stay unnoticed since no report covers the time.
    wait_ms = LISTING_SCHEDULES.get("expected")(activity(has_runs=True))
    assert wait_ms + LISTING_MARGIN_MS < IDLE_MS


def test_doubt_shortens_the_wait_only_where_runs_may_be_affected():
    schedule = LISTING_SCHEDULES.get("expected")
    assert schedule(activity(has_runs=True, is_alert=True)) < PERIODIC_WAIT_MS
    assert schedule(activity(has_failed=True)) < PERIODIC_WAIT_MS
    assert schedule(activity(is_alert=True)) == IDLE_WAIT_MS


class Recording(Port):
    """Records the waits that are asked for and answers at once."""

    def __init__(self):
        super().__init__()
        self.waits = []
        self.running = ()

    async def renew(self, fence, expires_clock_ms, acknowledged, wait_ms):
        self.waits.append(wait_ms)
        await asyncio.sleep(0.01)
        listing = await super().renew(fence, expires_clock_ms, acknowledged, wait_ms)
        return type(listing)(
            listing.born_unix_ms, listing.clock_ms, self.running, listing.ended
        )


def test_link_waits_longest_until_a_start_is_sent():
    # Guards against a run whose progress is reported as rarely as an idle worker.
    async def run():
        port, scheduler, clock = Recording(), Scheduler(), SystemClock()
        link = StepWorkerLink(
            worker("w"),
            port,
            scheduler,
            clock,
            MAX_WORKER_LEASE_MS,
            MAX_WORKER_LEASE_MS,
            10,
            0,
            LISTING_SCHEDULES.get("expected"),
        )
        async with contextlib.AsyncExitStack() as stack:
            for actor in (scheduler, link):
                await actor.start()
                stack.push_async_callback(actor.stop)
            link.tell(AllowLeaseRenewal(clock.now_ms() + 60_000))
            async with asyncio.timeout(3):
                while IDLE_WAIT_MS not in port.waits:
                    await asyncio.sleep(0.005)
            port.running = (RunReport(ref("a"), 1, "", 0, 0),)
            link.tell(SendRunStart(StartOrder(ref("a"), 1, ""), 10))
            async with asyncio.timeout(3):
                while port.waits[-1] != BUSY_WAIT_MS:
                    await asyncio.sleep(0.005)
            port.running = ()
            async with asyncio.timeout(3):
                while port.waits[-1] != IDLE_WAIT_MS:
                    await asyncio.sleep(0.005)

    asyncio.run(run())
