"""Encoding of messages between entry instances as Cap'n Proto frames.

Each message type has one encoder and one decoder, registered by decorators
under the name of its field in the frame's union.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import capnp
from cattrs import Converter
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from marjoramgrade import errors, messages
from marjoramgrade.decisions.promises import PromiseReply, PromiseRequest, Refusal
from marjoramgrade.messages import rows, steps
from marjoramgrade.model import TaskId
from marjoramgrade.resources import Resources

MAX_FRAME_BYTES = 4 * 1_048_576
# Traversal limit of one frame in words; bounds the work of a hostile frame.
TRAVERSAL_WORDS = MAX_FRAME_BYTES // 4

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))

Encoder = Callable[[Any], Any]
Decoder = Callable[[Any], Any]


@attrs.frozen
class _Codec:
    field: str
    encode: Encoder
    decode: Decoder


_codec_by_type: dict[type, _Codec] = {}
_codec_by_field: dict[str, _Codec] = {}


def encodes(message_type: type, field: str, decode: Decoder) -> Callable[..., Any]:
    """Return a decorator that registers the encoder of a message type.

    Args:
        message_type: The attrs class.
        field: Name of the member of the frame's union.
        decode: Turns the member back into the attrs class.
    """

    def add(encode: Encoder) -> Encoder:
        codec = _Codec(field, encode, decode)
        _codec_by_type[message_type] = codec
        _codec_by_field[field] = codec
        return encode

    return add


@attrs.frozen
class PeerFrame:
    """One decoded frame; `body` is a message, a reply or an error."""

    correlation: int
    body: Any


@attrs.frozen
class Hello:
    """The first frame on a connection: who dialled."""

    instance_id: str


@attrs.frozen
class Done:
    """A reply without content."""


def serialize_frame(frame: PeerFrame) -> bytes:
    """Return the bytes of a frame.

    Raises:
        ProtocolError: If the body has no encoder.
        OversizedInputError: If the frame is larger than `MAX_FRAME_BYTES`.
    """
    body_type = type(frame.body)
    is_error = isinstance(frame.body, errors.MarjoramgradeError)
    if is_error and body_type not in _codec_by_type:
        body_type = errors.MarjoramgradeError
    codec = _codec_by_type.get(body_type)
    if codec is None:
        raise errors.ProtocolError(f"{body_type.__name__} has no encoding")
    content = {"correlation": frame.correlation, codec.field: codec.encode(frame.body)}
    data: bytes = _schema.Frame.new_message(**content).to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise errors.OversizedInputError(f"a frame of {len(data)} bytes is too large")
    return data


def parse_frame(data: bytes) -> PeerFrame:
    """Return the frame that these bytes hold.

    Raises:
        ProtocolError: If the bytes are no valid frame.
    """
    try:
        with _schema.Frame.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_WORDS
        ) as frame:
            codec = _codec_by_field[frame.which()]
            body = codec.decode(getattr(frame, codec.field))
            return PeerFrame(frame.correlation, body)
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise errors.ProtocolError(f"invalid frame: {error}") from error


def _parse_resources(data: Any) -> Resources:
    return Resources(data.cpuMillis, data.memoryMib, data.accelerators, data.slots)


def _serialize_resources(resources: Resources) -> dict[str, int]:
    return {
        "cpuMillis": resources.cpu_millis,
        "memoryMib": resources.memory_mib,
        "accelerators": resources.accelerators,
        "slots": resources.slots,
    }


@encodes(Hello, "hello", Hello)
def _serialize_hello(hello: Hello) -> str:
    return hello.instance_id


@encodes(Done, "done", lambda _: Done())
def _serialize_done(_: Done) -> None:
    return None


def _parse_job_assigned(data: Any) -> messages.JobAssigned:
    return messages.JobAssigned(data.jobId, data.shard)


@encodes(messages.JobAssigned, "jobAssigned", _parse_job_assigned)
def _serialize_job_assigned(message: messages.JobAssigned) -> dict[str, str]:
    return {"jobId": message.job_id, "shard": message.shard}


@encodes(messages.ConfigPushed, "configPushed", messages.ConfigPushed)
def _serialize_config_pushed(message: messages.ConfigPushed) -> int:
    return message.version


def _parse_run_request(data: Any) -> messages.RunRequest:
    return messages.RunRequest(
        request_id=data.requestId,
        service=data.service,
        team=data.team,
        key_name=data.keyName,
        body=bytes(data.body),
        remaining_ms=data.remainingMs,
        idempotent=data.idempotent,
        shard=data.shard,
    )


@encodes(messages.RunRequest, "runRequest", _parse_run_request)
def _serialize_run_request(message: messages.RunRequest) -> dict[str, Any]:
    return {
        "requestId": message.request_id,
        "service": message.service,
        "team": message.team,
        "keyName": message.key_name,
        "body": message.body,
        "remainingMs": message.remaining_ms,
        "idempotent": message.idempotent,
        "shard": message.shard,
    }


def _parse_run_reply(data: Any) -> messages.RunReply:
    return messages.RunReply(data.status, bytes(data.body), data.backendId)


@encodes(messages.RunReply, "runReply", _parse_run_reply)
def _serialize_run_reply(reply: messages.RunReply) -> dict[str, Any]:
    return {
        "status": reply.status,
        "body": reply.body,
        "backendId": reply.backend_id,
    }


def _parse_dispatch_summary(data: Any) -> messages.DispatchSummary:
    free = {entry.service: entry.free for entry in data.freeSlots}
    return messages.DispatchSummary(
        data.shard, data.owner, data.epoch, free, data.queued
    )


@encodes(messages.DispatchSummary, "dispatchSummary", _parse_dispatch_summary)
def _serialize_dispatch_summary(summary: messages.DispatchSummary) -> dict[str, Any]:
    return {
        "shard": summary.shard,
        "owner": summary.owner,
        "epoch": summary.epoch,
        "freeSlots": [
            {"service": service, "free": free}
            for service, free in summary.free_slots_by_service.items()
        ],
        "queued": summary.queued,
    }


def _parse_task_summary(data: Any) -> messages.TaskSummary:
    return messages.TaskSummary(
        data.shard,
        data.owner,
        data.epoch,
        _parse_resources(data.total),
        _parse_resources(data.free),
        data.queued,
    )


@encodes(messages.TaskSummary, "taskSummary", _parse_task_summary)
def _serialize_task_summary(summary: messages.TaskSummary) -> dict[str, Any]:
    return {
        "shard": summary.shard,
        "owner": summary.owner,
        "epoch": summary.epoch,
        "total": _serialize_resources(summary.total),
        "free": _serialize_resources(summary.free),
        "queued": summary.queued,
    }


def _parse_instance_summary(data: Any) -> messages.InstanceSummary:
    return messages.InstanceSummary(data.instanceId, data.zone, data.configVersion)


@encodes(messages.InstanceSummary, "instanceSummary", _parse_instance_summary)
def _serialize_instance_summary(summary: messages.InstanceSummary) -> dict[str, Any]:
    return {
        "instanceId": summary.instance_id,
        "zone": summary.zone,
        "configVersion": summary.config_version,
    }


def _parse_get_tasks(data: Any) -> messages.GetTasks:
    return messages.GetTasks(data.shard, data.jobId)


@encodes(messages.GetTasks, "getTasks", _parse_get_tasks)
def _serialize_get_tasks(message: messages.GetTasks) -> dict[str, str]:
    return {"shard": message.shard, "jobId": message.job_id}


def _parse_tasks(data: Any) -> tuple[messages.TaskStatus, ...]:
    return tuple(
        messages.TaskStatus(
            TaskId(entry.jobId, entry.index), entry.state, entry.reason, entry.workerId
        )
        for entry in data
    )


@encodes(tuple, "tasks", _parse_tasks)
def _serialize_tasks(tasks: tuple[messages.TaskStatus, ...]) -> list[dict[str, Any]]:
    return [
        {
            "jobId": status.task.job_id,
            "index": status.task.index,
            "state": status.state,
            "reason": status.reason,
            "workerId": status.worker_id,
        }
        for status in tasks
    ]


def _parse_attest(data: Any) -> messages.Attest:
    request = PromiseRequest(data.scope, frozenset(data.members))
    return messages.Attest(request)


@encodes(messages.Attest, "attest", _parse_attest)
def _serialize_attest(message: messages.Attest) -> dict[str, Any]:
    request = message.request
    return {"scope": request.scope, "members": sorted(request.members)}


def _parse_promise_reply(data: Any) -> PromiseReply:
    refusal = Refusal(data.refusal) if data.refusal else None
    return PromiseReply(refusal, data.configVersion)


@encodes(PromiseReply, "promiseReply", _parse_promise_reply)
def _serialize_promise_reply(reply: PromiseReply) -> dict[str, Any]:
    refusal = "" if reply.refusal is None else reply.refusal.value
    return {"refusal": refusal, "configVersion": reply.config_version}


def _parse_newcomer(data: Any) -> messages.AcknowledgeNewcomer:
    return messages.AcknowledgeNewcomer(data.instanceId, data.zone)


@encodes(messages.AcknowledgeNewcomer, "acknowledgeNewcomer", _parse_newcomer)
def _serialize_newcomer(message: messages.AcknowledgeNewcomer) -> dict[str, str]:
    return {"instanceId": message.instance_id, "zone": message.zone}


@encodes(messages.Acknowledged, "acknowledged", messages.Acknowledged)
def _serialize_acknowledged(reply: messages.Acknowledged) -> bool:
    return reply.is_acknowledged


def _parse_failure(data: Any) -> errors.MarjoramgradeError:
    details = {entry.name: entry.value for entry in data.details}
    return errors.from_code(data.code, data.message, details)


@encodes(errors.MarjoramgradeError, "failure", _parse_failure)
def _serialize_failure(error: errors.MarjoramgradeError) -> dict[str, Any]:
    details = [{"name": name, "value": str(v)} for name, v in error.details.items()]
    return {"code": error.code, "message": error.message, "details": details}


def _make_converter() -> Converter:
    """Return a converter between attrs classes and structs of the same fields."""
    converter = Converter()

    def unstructure(kind: type) -> Callable[[Any], Any]:
        return make_dict_unstructure_fn(kind, converter, **_renamed(kind))

    def structure(kind: type) -> Callable[[Any, Any], Any]:
        return make_dict_structure_fn(kind, converter, **_renamed(kind))

    converter.register_unstructure_hook_factory(attrs.has, unstructure)
    converter.register_structure_hook_factory(attrs.has, structure)
    converter.register_unstructure_hook(bytes, bytes)
    return converter


def _renamed(kind: type) -> dict[str, Any]:
    return {
        field.name: override(rename=_field_name(field.name))
        for field in attrs.fields(kind)
    }


def _field_name(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


_converter = _make_converter()


def encode_by_fields(message_type: type, field: str) -> None:
    """Register a message type whose struct has the fields of the attrs class.

    Args:
        message_type: The attrs class.
        field: Name of the member of the frame's union.
    """
    attrs.resolve_types(message_type)

    def decode(data: Any) -> Any:
        return _converter.structure(data.to_dict(verbose=True), message_type)

    encodes(message_type, field, decode)(_converter.unstructure)


for _message_type in (
    rows.CommitRows,
    rows.RowsCommitted,
    rows.ReadRows,
    rows.WatchRows,
    rows.RowsPage,
    steps.SubmitStepJob,
    steps.StepJobAccepted,
    steps.GetStepJob,
    steps.CancelStepJob,
    steps.StepJobShown,
    steps.CountPending,
    steps.PendingCount,
    steps.LeaderBeat,
    steps.LeaderLeft,
    steps.AskLeaderAge,
    steps.LeaderAge,
    steps.StepAdvice,
    steps.RequestAdvice,
):
    _name = _message_type.__name__
    encode_by_fields(_message_type, _name[0].lower() + _name[1:])


def _parse_rows_differ(data: Any) -> errors.RowCheckFailedError:
    page = _converter.structure(
        {"rows": data.to_dict(verbose=True)["rows"], "version": 0}, rows.RowsPage
    )
    return errors.RowCheckFailedError("a row has changed", page.rows)


@encodes(errors.RowCheckFailedError, "rowsDiffer", _parse_rows_differ)
def _serialize_rows_differ(error: errors.RowCheckFailedError) -> dict[str, Any]:
    return {"rows": _converter.unstructure(error.rows)}
