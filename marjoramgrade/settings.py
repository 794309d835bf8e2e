"""Settings of an entry instance."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from marjoramgrade.model import JobKind

DEFAULT_FILTERS = (
    "identify",
    "deadline",
    "authenticate",
    "authorize",
    "deduplicate",
    "admit",
    "route",
)


@attrs.frozen
class PolicyNames:
    """Names of the registered policies that one kind of work uses.

    Attributes:
        queue_order: Chooses the team whose first waiting task is tried next.
        placement: Chooses the worker for a task.
        preemption: Chooses the running tasks to preempt.
        retry: Chooses the delay before the next attempt of a failed task.
    """

    queue_order: str = "weighted_drf"
    placement: str = "best_fit"
    preemption: str = "above_share"
    retry: str = "task_backoff"


def _default_policies() -> Mapping[JobKind, PolicyNames]:
    return {kind: PolicyNames() for kind in JobKind}


@attrs.frozen
class EntrySettings:
    """Settings that an entry instance reads at its start.

    Attributes:
        instance_id: Unique id of this instance, never reused.
        zone: Its availability zone.
        host: IP address to listen on.
        http_port: TCP port for clients and operators.
        peer_port: TCP port for other entry instances.
        platform_url: Base URL of the platform's services.
        shards_per_zone: Number of shards that the workers and backend servers of a
            zone are split into.
        statsd_host: IP address of the statsd server, or empty for none.
        statsd_port: UDP port of the statsd server.
        operator_key_sha256: SHA-256 of the operators' key in hexadecimal; if empty,
            operations that need it are refused.
        max_body_bytes: Largest accepted request body.
        max_queued_requests: Largest number of requests queued in one shard.
        ended_job_retention_ms: Time after which the row of an ended job is deleted;
            its id may then be reused.
        shutdown_ms: Longest time that a shutdown waits for running requests; releasing
            the shards takes up to `HANDOVER_MS` more.
        filters: Names of the request filters in the order of the chain.
        policies_by_kind: Names of the policies for each kind of work.
    """

    instance_id: str
    zone: str
    host: str
    http_port: int
    peer_port: int
    platform_url: str
    shards_per_zone: int = 1
    statsd_host: str = ""
    statsd_port: int = 8125
    operator_key_sha256: str = ""
    max_body_bytes: int = 1_048_576
    max_queued_requests: int = 10_000
    ended_job_retention_ms: int = 86_400_000
    shutdown_ms: int = 30_000
    filters: tuple[str, ...] = DEFAULT_FILTERS
    policies_by_kind: Mapping[JobKind, PolicyNames] = attrs.field(
        factory=_default_policies
    )
