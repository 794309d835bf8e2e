"""Calls to the placement advisor, which serves each instance in turn."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade.decisions.advisorlines import MAX_LINE_MS, AdvisorLines


def test_long_calls_leave_the_own_line_to_short_ones():
    # Guards against a short call that waits half a second behind a long one.
    lines = AdvisorLines("own", {"peer": 1})
    assert lines.choose(530, 0) == "peer"
    lines.began("peer", 530)
    assert lines.choose(530, 0) is None
    assert lines.choose(37, 0) == "own"


def test_single_instance_makes_long_calls_itself():
    # Guards against long calls that nobody makes.
    assert AdvisorLines("own").choose(530, 0) == "own"


def test_silent_instance_is_avoided_for_a_while():
    # Guards against steps that wait in turn for an instance in a zone that is cut off.
    lines = AdvisorLines("own", {"peer": 1})
    lines.avoid("peer", 1_200, 0)
    assert lines.choose(530, 3_900) == "own"
    assert lines.choose(530, 4_000) == "peer"


def test_instance_that_refused_is_tried_again_soon():
    # Guards against 4 s without advice after all instances lost power: none of them
    # answers yet when the first new leader asks (grown kbwb-arrears, trouble-1).
    lines = AdvisorLines("own", {"peer": 1})
    lines.avoid("peer", 2, 0)
    assert lines.choose(530, 10) == "own"
    assert lines.choose(530, 300) == "peer"
    lines.avoid("peer", 2, 300)
    assert lines.choose(530, 700) == "own"
    lines.answered("peer")
    lines.avoid("peer", 2, 1_000)
    assert lines.choose(530, 1_300) == "peer"


def test_instance_that_registers_again_is_tried_at_once():
    # Guards against avoiding a new process for the failures of the one before it.
    lines = AdvisorLines("own", {"peer": 1})
    lines.avoid("peer", 1_200, 0)
    lines.register({"peer": 1})
    assert lines.choose(530, 10) == "own"
    lines.register({"peer": 2})
    assert lines.choose(530, 20) == "peer"


@given(st.lists(st.integers(1, 800), max_size=30))
def test_line_is_free_again_once_all_calls_have_ended(calls):
    # Guards against a remainder in the sum that kept lines busy for ever; with
    # floating point 0.1 + 0.2 - 0.3 is not zero.
    lines = AdvisorLines("own", {"peer": 1})
    for decide_ms in calls:
        lines.began("peer", decide_ms)
    for decide_ms in reversed(calls):
        lines.ended("peer", decide_ms)
    assert lines.choose(2 * MAX_LINE_MS, 0) == "peer"
