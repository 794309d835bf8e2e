"""Tests of the decisions on what connections hold, without a network."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.intake.bounds import (
    SMALL_BODY_BYTES,
)
from marjoramgrade.decisions.intake.budget import BodyBudget
from marjoramgrade.decisions.intake.connections import ConnectionUse, Phase
from marjoramgrade.decisions.intake.turns import (
    TurnQueue,
)

NOW_MS = 10_000
LARGE = 2 * SMALL_BODY_BYTES


def using(phase=Phase.IDLE, *, age_ms=0, **fields):
    use = ConnectionUse.opened(NOW_MS - age_ms)
    use.enter(phase, NOW_MS - age_ms)
    return attrs.evolve(use, **fields)


def receiving(size, **fields):
    return using(Phase.RECEIVING, received_bytes=size, **fields)


def test_removed_waiter_gets_no_turn_and_is_not_kept():
    # Guards against a queue that holds what closed connections have sent.
    turns = TurnQueue()
    for number in range(10_000):
        turns.add(number, turns=number)
        turns.remove(number)
        turns.remove(number)
    assert len(turns) == 0
    assert len(turns._heap) <= 1
    assert turns.take() == []


def budget():
    return BodyBudget(limit_bytes=10 * LARGE, small_bytes=2 * LARGE)


def test_bytes_are_counted_until_they_are_free():
    # Guards against memory that is free for the budget, but not for the process, while
    # a task ends whose connection was closed.
    whole = budget()
    use = receiving(0)
    whole.open(use)
    whole.change(use, received=LARGE, unsent=5)
    whole.disconnect(use)
    whole.disconnect(use)
    assert (whole.held_bytes, whole.ending_bytes) == (0, LARGE)
    whole.change(use, received=-LARGE)
    assert (whole.held_bytes, whole.large_bytes) == (0, 0)
    whole.change(use, received=7)
    assert (whole.held_bytes, whole.ending_bytes) == (0, 0)


def test_no_further_connection_is_closed_for_bytes_that_are_about_to_be_free():
    # Guards against one large body too many that closes all connections.
    whole = budget()
    uses = [receiving(0, age_ms=age) for age in range(6)]
    for use in uses:
        whole.open(use)
        whole.change(use, received=2 * LARGE)
    closed = 0
    while (chosen := whole.choose_excess(NOW_MS)) is not None:
        whole.disconnect(chosen)
        closed += 1
    assert closed == 2
