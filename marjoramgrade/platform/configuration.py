"""The platform's configuration documents."""

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
    """Return a configuration.

    Raises:
        InvalidInputError: If a field is missing or of another type.
    """
    try:
        document = msgspec.json.decode(data)
        limits = document.get("limits") or {}
        queues = [_queue(entry) for entry in document["routes"]]
        pools = [_pool(entry) for entry in document["services"]]
        teams = [_team(entry) for entry in document.get("tenants") or ()]
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
        raise InvalidInputError(f"the configuration: {error!r}") from None


def _queue(entry: dict[str, Any]) -> Queue:
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
        advice=_advice(advice) if advice else None,
        public=bool(entry.get("public")),
    )


def _advice(entry: dict[str, Any]) -> AdvicePolicy:
    # periodMs is the time for each worker that a call names.
    return AdvicePolicy(
        float(entry.get("decideMs") or 0),
        float(entry.get("periodMs") or 0),
        int(entry.get("validMs") or 0),
    )


def _pool(entry: dict[str, Any]) -> WorkerPool:
    return WorkerPool(
        entry["name"],
        bool(entry.get("enforcesCapacity")),
        bool(entry.get("standby")),
    )


def _team(entry: dict[str, Any]) -> TeamPolicy:
    # maxTasks is an amount of resources, not a number of tasks.
    return TeamPolicy(
        entry["name"],
        frozenset(entry.get("apiKeys") or ()),
        float(entry.get("weight") or 1.0),
        parse_resources(entry.get("maxTasks") or {}),
    )
