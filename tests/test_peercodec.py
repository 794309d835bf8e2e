import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import marjoramgrade.adapters.peermessages  # noqa: F401 (registers encodings)
import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade import errors
from marjoramgrade.adapters.peercodec import (
    MAX_FRAME_BYTES,
    EmptyReply,
    Hello,
    PeerFrame,
    parse_frame,
    serialize_frame,
)
from marjoramgrade.decisions.promises import PromiseReply, PromiseRequest, Refusal
from marjoramgrade.messages import rows, steps
from marjoramgrade.messages.configuration import ConfigPushed
from marjoramgrade.messages.jobs import GetTasks, JobAssigned, TaskStatus
from marjoramgrade.messages.promises import Acknowledged, AcknowledgeNewcomer, Attest
from marjoramgrade.messages.requests import RunReply, RunRequest
from marjoramgrade.messages.routing import DispatchSummary, InstanceSummary, TaskSummary
from marjoramgrade.model import TaskId
from marjoramgrade.resources import Resources
from marjoramgrade.stepjobs import Schedule, Step, StepJob, StepJobState

BODIES = [
    Hello("leeds-entry-1"),
    EmptyReply(),
    RunRequest("r", "s", "t", "k", b"\x00\xff", 900, True, "leeds.0"),
    RunReply(200, b"body", "b-1"),
    DispatchSummary("leeds.0", "a", 3, {"s": 16}, 2),
    TaskSummary("leeds.0", "a", 3, Resources(1, 2, 3, 4), Resources(1), 9),
    InstanceSummary("a", "leeds", 7),
    JobAssigned("pack", "leeds.0"),
    ConfigPushed(12),
    GetTasks("leeds.0", "pack"),
    (TaskStatus(TaskId("pack", 1), "running", "placed on w", "w"),),
    Attest(PromiseRequest("fleet", frozenset({"a", "b"}))),
    PromiseReply(Refusal.TABLE_REACHED, 4),
    PromiseReply(None, 4),
    AcknowledgeNewcomer("c", "leeds"),
    Acknowledged(True),
]


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_every_message_survives_a_round_trip(body: object) -> None:
    """Guards against message fields that are lost between entry instances."""
    assert parse_frame(serialize_frame(PeerFrame(5, body))) == PeerFrame(5, body)


def test_an_error_keeps_its_type_and_whether_the_work_ran() -> None:
    """Guards against an unknown outcome that arrives as a refusal."""
    frame = PeerFrame(1, errors.OutcomeUnknownError("lost", shard="leeds.0"))
    body = parse_frame(serialize_frame(frame)).body
    assert type(body) is errors.OutcomeUnknownError
    assert (body.message, body.details) == ("lost", {"shard": "leeds.0"})


def test_a_refusal_tells_other_instances_when_to_retry() -> None:
    """Guards against a `Retry-After` that is lost when an instance passes a job on."""
    refusal = errors.OverloadedError("full", retry_after_ms=4_200).confirmed_by(3)
    body = parse_frame(serialize_frame(PeerFrame(1, refusal))).body
    assert isinstance(body, errors.OverloadedError)
    assert (body.retry_after_ms, body.confirmed_epoch) == (4_200, 3)
    assert errors.OverloadedError("full").retry_after_ms == 0


def test_an_oversized_frame_is_refused_before_it_is_sent() -> None:
    """Guards against a peer that has to buffer a frame of unbounded size."""
    reply = RunReply(200, bytes(MAX_FRAME_BYTES), "b")
    with pytest.raises(errors.OversizedInputError):
        serialize_frame(PeerFrame(1, reply))


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(st.binary(max_size=400))
def test_hostile_frames_raise_only_protocol_errors(data: bytes) -> None:
    """Guards against a crash caused by malformed bytes from a peer."""
    try:
        parse_frame(data)
    except errors.ProtocolError:
        return


def test_step_messages_survive_a_round_trip():
    # Guards against fields that the encoder writes and the decoder does not read.
    job = StepJob(
        "5c0e7a21d94b36f8",
        "queue",
        "red",
        "payload",
        (
            Step(2, Resources(cpu_millis=5), 9, (), image="x", max_unavailable=1),
            Step(1, after=(0,), gang=True, latency_target_ms=4),
        ),
        Schedule(2, 3, 4),
        7,
    )
    row = rows.RowId("jobs", "p0", "a")
    for body in (
        steps.SubmitStepJob(job, 3),
        steps.SubmitStepJob(job, 3, 1_234_567),
        steps.StepJobAccepted(True),
        steps.GetStepJob("a"),
        steps.CancelStepJob("a"),
        steps.CancelStepJob("a", "red"),
        steps.StepJobShown(StepJobState.RUNNING, "red"),
        steps.CountPending("queue", 2),
        steps.PendingCount(4),
        steps.LeaderBeat(2, "b"),
        steps.LeaderLeft(2),
        steps.AskLeaderAge(),
        steps.LeaderAge(2, 500),
        steps.RequestAdvice("a", 0, 1, ("w", "v")),
        steps.StepAdvice((steps.AdvisedWorker("w", "t"),), 2_500),
        rows.CommitRows((rows.RowCheck(row, 4),), (rows.RowWrite(row, b"\x00x"),)),
        rows.RowsCommitted(5),
        rows.ReadRows("jobs", "p0", "a", 7),
        rows.ReadRows("jobs", "p0", accepts_transfer=True),
        rows.WatchRows("jobs", 4, 1_000),
        rows.WatchRows("jobs", 4, 1_000, True),
        rows.PageTransfer(2**62 - 1),
        rows.FetchPart(2**62 - 1, 3, 100),
        rows.PagePart(rows.RowsPage((rows.StoredRow(row, b"x", 3),), 8), 4, 7),
        rows.RowsPage((rows.StoredRow(row, b"x", 3, True),), 8, True),
    ):
        assert parse_frame(serialize_frame(PeerFrame(1, body))).body == body


def test_rows_that_differ_reach_the_instance_that_asked():
    # Guards against a relayed check failure without the current rows, which the
    # requesting instance needs to retry.
    row = rows.StoredRow(rows.RowId("jobs", "p0", "a"), b"x", 3)
    error = errors.RowCheckFailedError("changed", (row,))
    parsed = parse_frame(serialize_frame(PeerFrame(1, error))).body
    assert isinstance(parsed, errors.RowCheckFailedError)
    assert parsed.rows == (row,)


@pytest.mark.parametrize(
    "new", [(), (Step(0),), (Step(-1),), (Step(10**6),), (Step(1, after=(0,)),)]
)
def test_job_of_an_impossible_shape_is_refused(new):
    # Guards against a plan of the leader that fails on a job that no instance checked.
    job = StepJob("5c0e7a21d94b36f8", "queue", "red", "payload", new)
    data = serialize_frame(PeerFrame(1, steps.SubmitStepJob(job, 3)))
    with pytest.raises(errors.ProtocolError):
        parse_frame(data)
