"""Tests of the order in which other instances relay requests."""

from __future__ import annotations

from marjoramgrade.decisions.relayorder import RelayOrder


def test_neighbours_are_of_different_zones():
    # Guards against asking only instances of one zone, which are cut off together.
    order = RelayOrder()
    order.set_members({"a1": "a", "a2": "a", "a3": "a", "b1": "b", "c1": "c"})
    assert order.first(3) == ("a1", "b1", "c1")


def test_instance_that_does_not_respond_is_asked_last():
    # Guards against instances that left for good and delay each request.
    order = RelayOrder()
    members = {"a": "x", "b": "x", "c": "x"}
    order.set_members(members)
    order.move_to_end("a")
    order.set_members({**members, "d": "x"})
    assert order.first(4) == ("b", "c", "a", "d")
    order.set_members({"a": "x", "d": "x"})
    assert order.first(4) == ("a", "d")
    order.move_to_end("gone")
    assert order.first(4) == ("a", "d")


def test_instance_that_responded_last_is_asked_first():
    # Guards against asking instances that left for good before one that works.
    order = RelayOrder()
    order.set_members({"a": "x", "b": "x", "c": "x"})
    order.move_to_front("c")
    order.move_to_front("gone")
    assert order.first(2) == ("c", "a")
