"""Tests when the lease on a worker counts as expired."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade.decisions.workerlease import MAX_CLOCK_DRIFT, WorkerLease


@given(
    granted=st.integers(0, 10_000),
    elapsed=st.integers(0, 30_000),
    speed=st.floats(1 - MAX_CLOCK_DRIFT, 1.0),
)
def test_lease_never_counts_as_expired_too_early(granted, elapsed, speed):
    # Guards against starting a task elsewhere while a worker with a slow clock may
    # still run it.
    lease = WorkerLease()
    lease.record_clock(1_000, 50)
    lease.granted_until_clock_ms = 1_000 + granted
    if lease.has_expired(50 + elapsed):
        assert 1_000 + elapsed * speed >= lease.granted_until_clock_ms


def test_lease_without_a_clock_reading_expires_by_our_clock():
    # Guards against treating runs of an earlier leader as ended at once.
    lease = WorkerLease(earliest_expiry_ms=7_000)
    assert not lease.has_expired(6_999)
    assert lease.has_expired(7_000)


def test_older_clock_reading_is_ignored():
    # Guards against an older clock reading that arrives late.
    lease = WorkerLease()
    lease.record_clock(2_000, 100)
    lease.record_clock(1_500, 200)
    assert (lease.clock_ms, lease.clock_received_ms) == (2_000, 100)
