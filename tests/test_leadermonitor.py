"""Tests detection of a leader that no longer renews its leadership."""

from marjoramgrade.decisions.leadermonitor import (
    STALE_MS,
    STALE_READ_MULTIPLE,
    LastHeartbeat,
    LeaderMonitor,
    LeaderRow,
)

LEADER = LeaderRow(4, "b")


def make_monitor(read_duration_ms=4):
    watch = LeaderMonitor(read_duration_ms=read_duration_ms)
    watch.record_row(LEADER, 7, 400)
    return watch


def test_leader_without_heartbeat_or_newer_renewal_is_down():
    # Guards against counting from the read of the renewal instead of from the last
    # heartbeat.
    watch, heard = make_monitor(), LastHeartbeat(LEADER, 1_000, 50_000)
    watch.record_renewal(8, 49_900, heard, 1_400)
    assert not watch.is_leader_down(heard, 1_000 + STALE_MS - 1)
    assert watch.is_leader_down(heard, 1_000 + STALE_MS)


def test_renewal_after_the_last_heartbeat_shows_that_leader_is_up():
    # Guards against a takeover when only this instance receives no heartbeats.
    watch, heard = make_monitor(), LastHeartbeat(LEADER, 1_000, 50_000)
    watch.record_renewal(8, 50_200, heard, 1_400)
    assert not watch.is_leader_down(heard, 1_400 + STALE_MS - 1)


def test_renewal_is_not_compared_with_heartbeat_of_another_leader():
    # Guards against comparing the clocks of two instances.
    watch, heard = make_monitor(), LastHeartbeat(LeaderRow(3, "c"), 1_000, 50_000)
    watch.record_renewal(8, 100, heard, 1_400)
    assert not watch.is_leader_down(heard, 1_400 + STALE_MS - 1)


def test_time_of_failed_reads_does_not_count_as_unchanged():
    # Guards against many simultaneous takeovers when the store recovers.
    watch, heard = make_monitor(), LastHeartbeat(LEADER, 1_000, 50_000)
    watch.record_read_failure(3_000)
    watch.record_renewal(8, 49_900, heard, 3_050)
    assert not watch.is_leader_down(heard, 3_000 + STALE_MS - 1)


def test_slow_store_extends_the_limit():
    # Guards against replacing a leader whose renewals take a second each.
    watch, heard = (
        make_monitor(read_duration_ms=280),
        LastHeartbeat(LEADER, 1_000, 50_000),
    )
    watch.record_renewal(8, 49_900, heard, 1_400)
    assert not watch.is_leader_down(heard, 1_000 + STALE_READ_MULTIPLE * 280 - 1)
