import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramgrade import errors, messages
from marjoramgrade.adapters.peercodec import (
    MAX_FRAME_BYTES,
    Done,
    Hello,
    PeerFrame,
    parse_frame,
    serialize_frame,
)
from marjoramgrade.decisions.promises import PromiseReply, PromiseRequest, Refusal
from marjoramgrade.model import TaskId
from marjoramgrade.resources import Resources

BODIES = [
    Hello("leeds-entry-1"),
    Done(),
    messages.RunRequest("r", "s", "t", "k", b"\x00\xff", 900, True, "leeds.0"),
    messages.RunReply(200, b"body", "b-1"),
    messages.DispatchSummary("leeds.0", "a", 3, {"s": 16}, 2),
    messages.TaskSummary("leeds.0", "a", 3, Resources(1, 2, 3, 4), Resources(1), 9),
    messages.InstanceSummary("a", "leeds", 7),
    messages.JobAssigned("pack", "leeds.0"),
    messages.ConfigPushed(12),
    messages.GetTasks("leeds.0", "pack"),
    (messages.TaskStatus(TaskId("pack", 1), "running", "placed on w", "w"),),
    messages.Attest(PromiseRequest("fleet", frozenset({"a", "b"}))),
    PromiseReply(Refusal.TABLE_REACHED, 4),
    PromiseReply(None, 4),
    messages.AcknowledgeNewcomer("c", "leeds"),
    messages.Acknowledged(True),
]


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_every_message_survives_a_round_trip(body: object) -> None:
    """Guards against a field that is lost between entry instances."""
    assert parse_frame(serialize_frame(PeerFrame(5, body))) == PeerFrame(5, body)


def test_an_error_keeps_its_type_and_whether_the_work_ran() -> None:
    """Guards against an unknown outcome that arrives as a refusal."""
    frame = PeerFrame(1, errors.OutcomeUnknownError("lost", shard="leeds.0"))
    body = parse_frame(serialize_frame(frame)).body
    assert type(body) is errors.OutcomeUnknownError
    assert (body.message, body.details) == ("lost", {"shard": "leeds.0"})


def test_an_oversized_frame_is_refused_before_it_is_sent() -> None:
    """Guards against a peer that has to keep an unbounded frame."""
    reply = messages.RunReply(200, bytes(MAX_FRAME_BYTES), "b")
    with pytest.raises(errors.OversizedInputError):
        serialize_frame(PeerFrame(1, reply))


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(st.binary(max_size=400))
def test_hostile_frames_raise_only_protocol_errors(data: bytes) -> None:
    """Guards against a process that ends because of a peer's bytes."""
    try:
        parse_frame(data)
    except errors.ProtocolError:
        return
