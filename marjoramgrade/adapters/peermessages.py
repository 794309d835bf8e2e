"""Encodings of the messages about requests, jobs of single tasks and promises.

A promise is a time-limited guarantee of a peer to change nothing that others rely
on while the table is unreachable.
"""

from __future__ import annotations

from typing import Any

from marjoramgrade.adapters.peercodec import encodes, register_message_type
from marjoramgrade.decisions.promises import PromiseReply, PromiseRequest, Refusal
from marjoramgrade.messages.configuration import ConfigPushed
from marjoramgrade.messages.jobs import GetTasks, JobAssigned, TaskStatus
from marjoramgrade.messages.promises import (
    Acknowledged,
    AcknowledgeNewcomer,
    Attest,
)
from marjoramgrade.messages.requests import RunReply, RunRequest
from marjoramgrade.messages.routing import (
    DispatchSummary,
    InstanceSummary,
    TaskSummary,
)
from marjoramgrade.model import TaskId

for _message_type in (
    JobAssigned,
    RunRequest,
    RunReply,
    TaskSummary,
    InstanceSummary,
    GetTasks,
    AcknowledgeNewcomer,
):
    register_message_type(_message_type)


@encodes(ConfigPushed, "configPushed", ConfigPushed)
def _serialize_config_pushed(message: ConfigPushed) -> int:
    return message.version


def _parse_dispatch_summary(data: Any) -> DispatchSummary:
    free = {entry.service: entry.free for entry in data.freeSlots}
    return DispatchSummary(data.shard, data.owner, data.epoch, free, data.queued)


@encodes(DispatchSummary, "dispatchSummary", _parse_dispatch_summary)
def _serialize_dispatch_summary(summary: DispatchSummary) -> dict[str, Any]:
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


def _parse_tasks(data: Any) -> tuple[TaskStatus, ...]:
    return tuple(
        TaskStatus(
            TaskId(entry.jobId, entry.index), entry.state, entry.reason, entry.workerId
        )
        for entry in data
    )


@encodes(tuple, "tasks", _parse_tasks)
def _serialize_tasks(tasks: tuple[TaskStatus, ...]) -> list[dict[str, Any]]:
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


def _parse_attest(data: Any) -> Attest:
    request = PromiseRequest(data.scope, frozenset(data.members))
    return Attest(request)


@encodes(Attest, "attest", _parse_attest)
def _serialize_attest(message: Attest) -> dict[str, Any]:
    request = message.request
    return {"scope": request.scope, "members": sorted(request.members)}


def _parse_promise_reply(data: Any) -> PromiseReply:
    refusal = Refusal(data.refusal) if data.refusal else None
    return PromiseReply(refusal, data.configVersion)


@encodes(PromiseReply, "promiseReply", _parse_promise_reply)
def _serialize_promise_reply(reply: PromiseReply) -> dict[str, Any]:
    refusal = "" if reply.refusal is None else reply.refusal.value
    return {"refusal": refusal, "configVersion": reply.config_version}


@encodes(Acknowledged, "acknowledged", Acknowledged)
def _serialize_acknowledged(reply: Acknowledged) -> bool:
    return reply.is_acknowledged
