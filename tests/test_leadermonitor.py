"""Whether the leader that the store names still writes."""

from marjoramgrade.decisions.leadermonitor import (
    STALE_MS,
    STALE_READ_MULTIPLE,
    LastHeartbeat,
    LeaderMonitor,
    LeaderRow,
)

LEADER = LeaderRow(4, "b")


def watch_of(read_duration_ms=4):
    watch = LeaderMonitor(read_duration_ms=read_duration_ms)
    watch.record_row(LEADER, 7, 400)
    return watch


def test_silent_leader_without_a_newer_renewal_is_gone():
    # Guards against watching the row only from the end of the silence on.
    watch, heard = watch_of(), LastHeartbeat(LEADER, 1_000, 50_000)
    watch.record_renewal(8, 49_900, heard, 1_400)
    assert not watch.is_leader_down(heard, 1_000 + STALE_MS - 1)
    assert watch.is_leader_down(heard, 1_000 + STALE_MS)


def test_renewal_after_the_last_beat_is_a_sign_of_life():
    # Guards against a takeover from a leader that this instance alone does not hear.
    watch, heard = watch_of(), LastHeartbeat(LEADER, 1_000, 50_000)
    watch.record_renewal(8, 50_200, heard, 1_400)
    assert not watch.is_leader_down(heard, 1_400 + STALE_MS - 1)


def test_renewal_of_another_leader_says_nothing_of_the_beat():
    # Guards against comparing the clocks of two instances.
    watch, heard = watch_of(), LastHeartbeat(LeaderRow(3, "c"), 1_000, 50_000)
    watch.record_renewal(8, 100, heard, 1_400)
    assert not watch.is_leader_down(heard, 1_400 + STALE_MS - 1)


def test_time_in_which_nothing_was_seen_is_no_standstill():
    # Guards against many takeovers at once when the store comes back.
    watch, heard = watch_of(), LastHeartbeat(LEADER, 1_000, 50_000)
    watch.record_read_failure(3_000)
    watch.record_renewal(8, 49_900, heard, 3_050)
    assert not watch.is_leader_down(heard, 3_000 + STALE_MS - 1)


def test_slow_store_needs_a_longer_standstill():
    # Guards against replacing a leader whose renewals take a second.
    watch, heard = watch_of(read_duration_ms=280), LastHeartbeat(LEADER, 1_000, 50_000)
    watch.record_renewal(8, 49_900, heard, 1_400)
    assert not watch.is_leader_down(heard, 1_000 + STALE_READ_MULTIPLE * 280 - 1)
