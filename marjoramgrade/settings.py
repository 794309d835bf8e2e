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
    """Names of the policies of one kind of work, looked up in registries."""

    queue_order: str = "weighted_drf"
    placement: str = "best_fit"
    preemption: str = "above_share"
    retry: str = "task_backoff"


def _default_policies() -> Mapping[JobKind, PolicyNames]:
    return {kind: PolicyNames() for kind in JobKind}


@attrs.frozen
class EntrySettings:
    """Everything an entry instance learns at its start.

    Attributes:
        instance_id: Unique id of this instance, never reused.
        zone: Its availability zone.
        host: IP number that it listens on.
        http_port: TCP port for callers and operators.
        peer_port: TCP port for other entry instances.
        platform_url: Base URL of the platform's services.
        shards_per_zone: Shards into which the instances of a zone are split.
        statsd_host: IP number of the statsd server, or empty for none.
        statsd_port: UDP port of the statsd server.
        operator_key_sha256: SHA-256 of the operators' key in hexadecimal; if empty,
            operations that need it are refused.
        max_body_bytes: Largest request body that is taken.
        max_queued_requests: Requests that may wait in one shard.
        ended_job_retention_ms: Time after which the row of an ended job is deleted;
            its id may be used again from then on.
        shutdown_ms: Longest time that a shutdown waits for running requests.
        filters: Names of the request filters, in order.
        policies_by_kind: Policies of each kind of work.
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
