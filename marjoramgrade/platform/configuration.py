"""Decoding of the platform's configuration documents."""

from __future__ import annotations

from typing import Any

import msgspec

from marjoramgrade.errors import InvalidInputError
from marjoramgrade.platform.decoding import DECODE_ERRORS
from marjoramgrade.platform.workers import parse_resources
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
        InvalidInputError: If a field is missing or has the wrong type.
    """
    try:
        document = msgspec.json.decode(data)
        limits = document.get("limits") or {}
        queues = [_parse_queue(entry) for entry in document["routes"]]
        pools = [_parse_pool(entry) for entry in document["services"]]
        teams = [_parse_team(entry) for entry in document.get("tenants") or ()]
        return StepConfig(
            int(document["version"]),
            {queue.name: queue for queue in queues},
            {pool.name: pool for pool in pools},
            {team.name: team for team in teams},
            RequestSizeLimits(
                int(limits.get("maxHeaderBytes") or 16_384),
                int(limits.get("maxBodyBytes") or 262_144),
            ),
        )
    except DECODE_ERRORS as error:
        raise InvalidInputError(
            f"the configuration cannot be decoded: {error!r}"
        ) from None


def _parse_queue(entry: dict[str, Any]) -> Queue:
    advice = entry.get("advice")
    return Queue(
        name=entry["name"],
        host=entry["host"].lower(),
        path_prefix=entry["pathPrefix"],
        pool=entry["service"],
        priority=int(entry.get("priority") or 0),
        attempts=int(entry.get("attempts") or 1),
        stretch=float(entry.get("stretch") or 1.0),
        objective_ms=int(entry.get("sloMs") or 0),
        advice=_parse_advice_policy(advice) if advice else None,
        public=bool(entry.get("public")),
    )


def _parse_advice_policy(entry: dict[str, Any]) -> AdvicePolicy:
    # periodMs is the additional time for each worker named in a call.
    return AdvicePolicy(
        float(entry.get("decideMs") or 0),
        float(entry.get("periodMs") or 0),
        int(entry.get("validMs") or 0),
    )


def _parse_pool(entry: dict[str, Any]) -> WorkerPool:
    return WorkerPool(
        entry["name"],
        bool(entry.get("enforcesCapacity")),
        bool(entry.get("standby")),
    )


def _parse_team(entry: dict[str, Any]) -> TeamPolicy:
    # maxTasks is an amount of resources, not a number of tasks.
    return TeamPolicy(
        entry["name"],
        frozenset(entry.get("apiKeys") or ()),
        float(entry.get("weight") or 1.0),
        parse_resources(entry.get("maxTasks") or {}),
    )
