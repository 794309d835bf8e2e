"""The resources that clients and operators declare, read and watch."""

from __future__ import annotations

import enum
import hashlib
import secrets
from collections.abc import Mapping

import attrs

from marjoramgrade.resources import ZERO_RESOURCES, Resources


class JobKind(enum.Enum):
    """The kinds of work that run as tasks on workers."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class Priority(enum.IntEnum):
    """How soon work must start."""

    NORMAL = 0
    URGENT = 1


class Outcome(enum.Enum):
    """The state of one task as stored in a job's `outcomes` string."""

    OPEN = "."
    DONE = "d"
    FAILED = "f"
    CANCELLED = "c"


class JobState(enum.Enum):
    """The state of a whole job."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class ZoneState(enum.Enum):
    """Whether work may start in a zone."""

    IN = "in"
    OUT = "out"


class InstanceKind(enum.Enum):
    """The kinds of instance on the platform's list."""

    WORKER = "worker"
    BACKEND = "backend"
    ENTRY = "entry"


@attrs.frozen
class JobSpec:
    """A client's specification of a job.

    Attributes:
        team: The team that the work counts against.
        kind: The kind of work, which selects the policies.
        tasks: Number of tasks, at least one.
        resources: Resources that each task needs.
        run_ms: Declared run time of one task in milliseconds; zero for services.
        payload: Opaque text for the worker.
        priority: How soon the work must start.
        max_attempts: Maximum number of starts of one task before it counts as failed.
        spread_racks: Whether a gang's tasks must use different racks.
    """

    team: str
    kind: JobKind
    tasks: int = 1
    resources: Resources = Resources(cpu_millis=1000)
    run_ms: int = 0
    payload: str = ""
    priority: Priority = Priority.NORMAL
    max_attempts: int = 3
    spread_racks: bool = False


@attrs.frozen
class Job:
    """An accepted job as stored in the table.

    Attributes:
        job_id: Unique id, chosen by the client or by the accepting instance.
        spec: The client's specification.
        shard: The shard whose owner runs the job.
        outcomes: One `Outcome` character for each task.
        reason: Human-readable reason for the state of the job.
        cancelled: Whether a client asked to cancel it.
    """

    job_id: str
    spec: JobSpec
    shard: str
    outcomes: str
    reason: str = "accepted"
    cancelled: bool = False

    @classmethod
    def from_spec(cls, job_id: str, spec: JobSpec, shard: str) -> Job:
        """Return a new job whose tasks are all open."""
        return cls(job_id, spec, shard, Outcome.OPEN.value * spec.tasks)

    @property
    def is_open(self) -> bool:
        """Whether a task has not ended."""
        return Outcome.OPEN.value in self.outcomes

    @property
    def state(self) -> JobState:
        """The state that follows from the outcomes of the tasks."""
        if Outcome.OPEN.value in self.outcomes:
            return JobState.OPEN
        if Outcome.CANCELLED.value in self.outcomes:
            return JobState.CANCELLED
        if Outcome.FAILED.value in self.outcomes:
            return JobState.FAILED
        return JobState.DONE

    def with_outcomes(self, outcome_by_index: Mapping[int, Outcome]) -> Job:
        """Return the job with further tasks ended; ended tasks are unchanged."""
        characters = list(self.outcomes)
        for index, outcome in outcome_by_index.items():
            if characters[index] == Outcome.OPEN.value:
                characters[index] = outcome.value
        return attrs.evolve(self, outcomes="".join(characters))


@attrs.frozen(order=True)
class TaskId:
    """Identifies one task of a job."""

    job_id: str
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}/{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskId:
        """Return the id whose `str` form is this text."""
        job_id, _, index = text.rpartition("/")
        return cls(job_id, int(index))


@attrs.frozen
class Team:
    """A team and the resources that it may use.

    Attributes:
        name: Unique name.
        share: Weight of the team when the cell is full, at least one.
        limit: Upper limit across the fleet; a zero amount means no limit.
        queue_bound: Maximum number of its tasks that may wait in one shard.
    """

    name: str
    share: int = 1
    limit: Resources = ZERO_RESOURCES
    queue_bound: int = 100_000


@attrs.frozen
class Key:
    """A key that clients present; only the hash of its secret is stored."""

    name: str
    team: str
    secret_sha256: str

    @classmethod
    def from_secret(cls, name: str, team: str, secret: str) -> Key:
        """Return a key for a secret; the secret itself is not stored."""
        return cls(name, team, hash_secret(secret))


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a key's secret in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def generate_secret() -> str:
    """Return a new secret of 32 random bytes as URL-safe text."""
    return secrets.token_urlsafe(32)


@attrs.frozen
class Zone:
    """An availability zone."""

    name: str
    state: ZoneState = ZoneState.IN


@attrs.frozen
class Service:
    """A request service behind backend servers.

    Attributes:
        name: Unique name.
        team: The only team that may use it, or empty if it is open to all teams.
    """

    name: str
    team: str = ""


@attrs.frozen
class Config:
    """The whole configuration at one version.

    Attributes:
        version: Increases by one with every change; zero before the first.
        recent_write_ids: Ids of the latest accepted changes, newest last.
        base_version_by_path: For each changed or deleted resource (`teams.acme`), the
            version of the document that its latest change was based on.
        horizon_version: Deletions based on this version or an earlier one may be
            missing from `base_version_by_path`.
    """

    version: int = 0
    teams_by_name: Mapping[str, Team] = attrs.field(factory=dict)
    keys_by_name: Mapping[str, Key] = attrs.field(factory=dict)
    zones_by_name: Mapping[str, Zone] = attrs.field(factory=dict)
    services_by_name: Mapping[str, Service] = attrs.field(factory=dict)
    recent_write_ids: tuple[str, ...] = ()
    base_version_by_path: Mapping[str, int] = attrs.field(factory=dict)
    horizon_version: int = -1

    def find_key(self, secret: str) -> Key | None:
        """Return the key with this secret, or None."""
        digest = hash_secret(secret)
        for key in self.keys_by_name.values():
            if secrets.compare_digest(key.secret_sha256, digest):
                return key
        return None

    def is_zone_in(self, zone: str) -> bool:
        """Return whether work may start in a zone; unknown zones are out."""
        known = self.zones_by_name.get(zone)
        return known is not None and known.state is ZoneState.IN


@attrs.frozen
class Instance:
    """One entry of the platform's instance list.

    Attributes:
        instance_id: Unique id, never reused.
        kind: What runs there.
        zone: Its availability zone.
        rack: Its rack; empty where racks do not matter.
        host: IP address.
        port: TCP port of its main protocol.
        leaving: Whether the platform is about to remove it.
        capacity: Resources that it offers.
        service: For backend servers, the service that it runs.
    """

    instance_id: str
    kind: InstanceKind
    zone: str
    host: str
    port: int
    rack: str = ""
    leaving: bool = False
    capacity: Resources = ZERO_RESOURCES
    service: str = ""
