"""Decoding of the platform's configuration documents."""

from __future__ import annotations

from typing import Any

from marjoramgrade.platform.decoding import (
    decode_object,
    get_flag,
    get_integer,
    get_list,
    get_number,
    get_object,
    get_text,
    get_total_resources,
    reports_invalid,
    to_integer,
    to_object,
    to_text,
)
from marjoramgrade.stepconfig import (
    AdvicePolicy,
    Queue,
    RequestSizeLimits,
    StepConfig,
    TeamPolicy,
    WorkerPool,
)

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
WORKER_TABLE = "servers"


def parse_config(data: bytes) -> StepConfig:
    """Decode a configuration document.

    Raises:
        InvalidInputError: If a field is missing, out of range or has the wrong type.
    """
    with reports_invalid("the configuration"):
        document = decode_object(data)
        limits = get_object(document, "limits")
        queues = [_parse_queue(entry) for entry in document["routes"]]
        pools = [_parse_pool(entry) for entry in document["services"]]
        teams = [_parse_team(entry) for entry in get_list(document, "tenants")]
        return StepConfig(
            to_integer(document["version"], "version"),
            {queue.name: queue for queue in queues},
            {pool.name: pool for pool in pools},
            {team.name: team for team in teams},
            RequestSizeLimits(
                get_integer(limits, "maxHeaderBytes") or 16_384,
                get_integer(limits, "maxBodyBytes") or 262_144,
            ),
        )


def _parse_queue(entry: Any) -> Queue:
    fields = to_object(entry, "route")
    advice = get_object(fields, "advice")
    return Queue(
        name=get_text(fields, "name", required=True),
        host=get_text(fields, "host", required=True).lower(),
        path_prefix=get_text(fields, "pathPrefix", required=True),
        pool=get_text(fields, "service", required=True),
        priority=get_integer(fields, "priority"),
        attempts=get_integer(fields, "attempts") or 1,
        stretch=get_number(fields, "stretch") or 1.0,
        objective_ms=get_integer(fields, "sloMs"),
        advice=_parse_advice_policy(advice) if advice else None,
        public=get_flag(fields, "public"),
    )


def _parse_advice_policy(fields: dict[str, Any]) -> AdvicePolicy:
    # periodMs is the additional time for each worker named in a call.
    return AdvicePolicy(
        get_number(fields, "decideMs"),
        get_number(fields, "periodMs"),
        get_integer(fields, "validMs"),
    )


def _parse_pool(entry: Any) -> WorkerPool:
    fields = to_object(entry, "service")
    return WorkerPool(
        get_text(fields, "name", required=True),
        get_flag(fields, "enforcesCapacity"),
        get_flag(fields, "standby"),
    )


def _parse_team(entry: Any) -> TeamPolicy:
    # maxTasks is an amount of resources, not a number of tasks.
    fields = to_object(entry, "tenant")
    secrets = [to_text(key, "key") for key in get_list(fields, "apiKeys")]
    return TeamPolicy(
        get_text(fields, "name", required=True),
        frozenset(secrets),
        get_number(fields, "weight") or 1.0,
        get_total_resources(get_object(fields, "maxTasks")),
    )
