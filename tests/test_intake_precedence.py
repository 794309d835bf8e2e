"""Tests of the rule on whom to close, refuse or read first, without a network."""

from __future__ import annotations

import attrs
import pytest

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade.adapters.accepting import PAUSE_MS
from marjoramgrade.adapters.peercodec import PeerFrame, serialize_frame
from marjoramgrade.controllers.commits import MAX_BATCH_BYTES, MAX_SENDING_MS
from marjoramgrade.decisions.intake.bounds import (
    PEER_RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    SMALL_BODY_BYTES,
    IntakeBounds,
)
from marjoramgrade.decisions.intake.budget import TINY_MESSAGE_BYTES, BodyBudget
from marjoramgrade.decisions.intake.connections import ConnectionUse, Phase
from marjoramgrade.decisions.intake.precedence import (
    NEW_CONNECTION_MS,
    RECENT_CALLER_MS,
    choose_for_new,
    choose_to_close,
    count_turns_left,
    is_read_first,
)
from marjoramgrade.decisions.intake.turns import (
    SEGMENT_BYTES,
    SEGMENTS_PER_TURN,
    TurnQueue,
)
from marjoramgrade.messages.steps import LeaderBeat
from marjoramgrade.platform.frontend import MAX_BODY_BYTES
from marjoramgrade.stepjobs import MAX_EPOCH

NOW_MS = 10_000
LARGE = 2 * SMALL_BODY_BYTES
# Round trips of a client on another continent, and of instances of one deployment.
CLIENT_ROUND_TRIP_MS = 250
PEER_ROUND_TRIP_MS = 4
SLOWEST_LINK_MBPS = 5


def using(phase=Phase.IDLE, *, age_ms=0, **fields):
    use = ConnectionUse.opened(NOW_MS - age_ms)
    use.enter(phase, NOW_MS - age_ms)
    use.is_unused = phase is Phase.IDLE
    return attrs.evolve(use, **fields)


def receiving(size, expected=MAX_BODY_BYTES, **fields):
    return using(
        Phase.RECEIVING, received_bytes=size, expected_bytes=expected, **fields
    )


def test_connections_are_closed_in_the_order_of_the_rule():
    # Guards against a caller that loses its connection to make room for one that has
    # left or sends what it does not finish.
    in_order = [
        receiving(100, is_waiting=True, has_left=True),
        using(is_identified=False, age_ms=NEW_CONNECTION_MS),
        receiving(LARGE, age_ms=RECENT_CALLER_MS),
        receiving(LARGE),
        receiving(LARGE - 1, is_waiting=True),
        using(age_ms=RECENT_CALLER_MS - 1),
        receiving(10, expected=100),
        using(is_peer=True, age_ms=NEW_CONNECTION_MS),
    ]
    served = using(Phase.SERVED, received_bytes=LARGE)
    left = [*reversed(in_order), served]
    for expected in in_order:
        chosen = choose_for_new(left, NOW_MS)
        assert chosen is expected
        left.remove(chosen)
    assert choose_for_new(left, NOW_MS) is None


def test_unfinished_chunked_body_counts_as_large():
    # Guards against clients that keep their connections by hiding the length of what
    # they send.
    chunked = receiving(10, expected=-1, is_waiting=True)
    caller = using(age_ms=RECENT_CALLER_MS - 1)
    assert choose_for_new([caller, chunked], NOW_MS) is chunked


def test_bytes_that_closing_does_not_free_are_no_reason_to_close():
    # Guards against connections that are closed one after the other while the requests
    # that hold the memory are still being handled.
    peer = using(is_peer=True, serving_bytes=100 * LARGE, age_ms=5_000)
    assert choose_to_close([peer], NOW_MS) is None
    served = using(Phase.SERVED, serving_bytes=LARGE)
    assert choose_to_close([served], NOW_MS) is None
    gone = attrs.evolve(served, has_left=True)
    assert choose_for_new([served, gone], NOW_MS) is gone


def test_new_connection_has_time_to_send_its_request():
    # Guards against callers that are accepted and closed again before they can send.
    new = using(age_ms=NEW_CONNECTION_MS - 1)
    assert choose_for_new([new], NOW_MS) is None
    header_read = attrs.evolve(new, is_unused=False, has_read=True)
    assert choose_for_new([new, header_read], NOW_MS) is None
    kept = attrs.evolve(new, is_unused=False)
    assert choose_for_new([new, kept], NOW_MS) is kept
    left = attrs.evolve(new, has_left=True)
    assert choose_for_new([new, left], NOW_MS) is left
    late = using(age_ms=NEW_CONNECTION_MS)
    assert choose_for_new([new, late], NOW_MS) is late
    # Its request has arrived, and the event loop has not come to it.
    late.record_unread(NOW_MS)
    assert choose_for_new([new, late], NOW_MS) is None
    kept.record_unread(NOW_MS)
    assert choose_for_new([new, kept], NOW_MS) is None


def test_bodies_that_are_nearly_complete_are_finished_first():
    # Guards against many large bodies that arrive at once, fill the budget together and
    # are closed before any is complete.
    size = 16 * SEGMENT_BYTES
    begun = receiving(SEGMENT_BYTES, expected=size)
    nearly = receiving(size - 1, expected=size)
    assert count_turns_left(nearly) == 1 < count_turns_left(begun) == 15
    # A chunked body may end at any time; the longer it is, the later that is expected.
    assert count_turns_left(receiving(size, expected=-1, turns=100)) == 100
    assert count_turns_left(receiving(0, expected=-1)) == 0


def test_rest_of_a_small_request_is_read_first():
    # Guards against ordinary requests that arrive in two pieces and wait behind large
    # bodies.
    assert is_read_first(receiving(100, expected=SMALL_BODY_BYTES))
    assert is_read_first(using(Phase.SERVED, received_bytes=MAX_BODY_BYTES))
    assert not is_read_first(receiving(100, expected=SMALL_BODY_BYTES + 1))
    assert not is_read_first(receiving(100, expected=-1))
    assert is_read_first(receiving(100, is_peer=True))
    # Requests that a client sends without waiting for the answers.
    assert not is_read_first(using())
    assert not is_read_first(using(is_peer=True))
    turns = TurnQueue()
    turns.add("large", 0)
    turns.add("small", 9, is_first=True)
    assert turns.take() == ["small", "large"]


def test_long_body_is_read_on_while_new_ones_keep_coming():
    # Guards against a body that waits for ever behind connections that come and go.
    turns = TurnQueue()
    turns.add("long", turns=10)
    for number in range(100):
        for new in range(SEGMENTS_PER_TURN):
            turns.add((number, new), turns=0)
        if "long" in turns.take():
            return
    pytest.fail("the long body got no turn")


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


def serve(budget, use, size):
    if not budget.may_serve(use, size):
        return False
    budget.change(use, serving=size)
    return True


def test_complete_requests_are_bounded_and_leave_room_for_small_ones():
    # Guards against complete bodies that are all held while the store does not answer,
    # and against small requests that are refused because of them.
    whole = budget()
    uses = [using(Phase.SERVED) for _ in range(12)]
    for use in uses:
        whole.open(use)
    assert [serve(whole, use, LARGE) for use in uses].count(True) == 4
    small = [using(Phase.SERVED) for _ in range(20)]
    for use in small:
        whole.open(use)
    served = [serve(whole, use, SMALL_BODY_BYTES) for use in small]
    assert served.count(True) == 2 * LARGE // SMALL_BODY_BYTES
    assert whole.held_bytes == 6 * LARGE
    heartbeat = using(is_peer=True)
    whole.open(heartbeat)
    assert serve(whole, heartbeat, TINY_MESSAGE_BYTES)
    whole.close(heartbeat)
    # The rest is for messages that are arriving.
    body = receiving(0)
    whole.open(body)
    whole.change(body, received=4 * LARGE)
    assert whole.choose_excess(NOW_MS) is None


def test_calls_of_one_connection_count_together():
    # Guards against an instance, or a stranger, that sends many small calls at once and
    # uses the part of all others.
    whole = budget()
    peer = using(is_peer=True)
    whole.open(peer)
    calls = [serve(whole, peer, SMALL_BODY_BYTES) for _ in range(40)]
    assert calls.count(True) == 4 * LARGE // SMALL_BODY_BYTES


def test_bytes_are_counted_until_they_are_free():
    # Guards against memory that is free for the budget, but not for the process, while
    # a request is handled whose connection was closed.
    whole = budget()
    use = receiving(0)
    whole.open(use)
    whole.change(use, received=LARGE, serving=LARGE, unsent=5)
    whole.disconnect(use)
    whole.disconnect(use)
    assert (whole.held_bytes, whole.ending_bytes) == (LARGE, LARGE)
    assert whole.serving_large_bytes == LARGE
    whole.change(use, received=-LARGE)
    assert (whole.held_bytes, whole.ending_bytes) == (LARGE, 0)
    whole.change(use, serving=-LARGE)
    assert (whole.held_bytes, whole.large_bytes, whole.serving_large_bytes) == (0, 0, 0)
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


def test_receive_buffers_carry_the_largest_messages_in_time():
    # Guards against buffers that slow down a legal request on a long way, or a relayed
    # commit between instances.
    # The other side may send half of a buffer, which the kernel can need for itself.
    trips = MAX_BODY_BYTES / (RECEIVE_BUFFER_BYTES / 2)
    assert trips * CLIENT_ROUND_TRIP_MS < IntakeBounds.from_config().body_ms / 10
    encoded_bytes = MAX_BATCH_BYTES * 4 / 3
    trips = encoded_bytes / (PEER_RECEIVE_BUFFER_BYTES / 2)
    assert trips * PEER_ROUND_TRIP_MS < MAX_SENDING_MS


def test_times_and_sizes_fit_the_slowest_link_and_heartbeats():
    # Guards against callers that count as idle while they send on a slow link, against
    # ports that wait for room longer than a new connection is kept, and against
    # heartbeats that share the part of ordinary calls.
    sending_ms = SMALL_BODY_BYTES * 8 / SLOWEST_LINK_MBPS / 1_000
    assert sending_ms < RECENT_CALLER_MS / 10
    assert PAUSE_MS <= NEW_CONNECTION_MS / 10
    heartbeat = LeaderBeat(MAX_EPOCH, "i" * 64, 2**40)
    assert len(serialize_frame(PeerFrame(0, heartbeat))) <= TINY_MESSAGE_BYTES
