"""Tests the choice of the instance that calls the placement advisor."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade.decisions.advisorchannels import (
    MAX_CHANNEL_BACKLOG_MS,
    AdvisorChannels,
)


def test_long_calls_leave_the_own_channel_to_short_calls():
    # Guards against a short call that waits half a second behind a long one.
    channels = AdvisorChannels("own", {"peer": 1})
    assert channels.choose(530, 0) == "peer"
    channels.record_call("peer", 530)
    assert channels.choose(530, 0) is None
    assert channels.choose(37, 0) == "own"


def test_single_instance_makes_long_calls_itself():
    # Guards against long calls that no instance makes.
    assert AdvisorChannels("own").choose(530, 0) == "own"


def test_unresponsive_instance_is_avoided_for_the_maximum_backoff():
    # Guards against steps that each wait for an instance in a zone that is cut off.
    channels = AdvisorChannels("own", {"peer": 1})
    channels.avoid("peer", 1_200, 0)
    assert channels.choose(530, 3_900) == "own"
    assert channels.choose(530, 4_000) == "peer"


def test_instance_that_refused_is_tried_again_soon():
    # Guards against 4 s without advice after all instances lost power: none of them
    # responds yet when the first new leader calls (grown kbwb-arrears, trouble-1).
    channels = AdvisorChannels("own", {"peer": 1})
    channels.avoid("peer", 2, 0)
    assert channels.choose(530, 10) == "own"
    assert channels.choose(530, 300) == "peer"
    channels.avoid("peer", 2, 300)
    assert channels.choose(530, 700) == "own"
    channels.record_response("peer")
    channels.avoid("peer", 2, 1_000)
    assert channels.choose(530, 1_300) == "peer"


def test_instance_that_registers_again_is_tried_at_once():
    # Guards against avoiding a new process because its predecessor failed.
    channels = AdvisorChannels("own", {"peer": 1})
    channels.avoid("peer", 1_200, 0)
    channels.set_instances({"peer": 1})
    assert channels.choose(530, 10) == "own"
    channels.set_instances({"peer": 2})
    assert channels.choose(530, 20) == "peer"


@given(st.lists(st.integers(1, 800), max_size=30))
def test_line_is_free_again_once_all_calls_have_ended(calls):
    # Guards against a remainder in the sum that kept channels busy forever: in
    # floating point, 0.1 + 0.2 - 0.3 is not zero.
    channels = AdvisorChannels("own", {"peer": 1})
    for decide_ms in calls:
        channels.record_call("peer", decide_ms)
    for decide_ms in reversed(calls):
        channels.record_call_end("peer", decide_ms)
    assert channels.choose(2 * MAX_CHANNEL_BACKLOG_MS, 0) == "peer"
