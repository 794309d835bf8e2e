"""Conversion between resource types and JSON-compatible documents.

Parsing is strict: every fault is an `InvalidInputError` that names the path and
the reason. The same bounds apply to documents from clients and from the table.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Protocol, TypeVar

import attrs
from cattrs.gen import make_dict_unstructure_fn, override

from marjoramgrade import structuring
from marjoramgrade.errors import InvalidInputError, OversizedInputError
from marjoramgrade.messages.watches import WatchEvent
from marjoramgrade.model import (
    Config,
    Instance,
    InstanceKind,
    Job,
    JobKind,
    JobSpec,
    Key,
    Outcome,
    Priority,
    Service,
    Team,
    Zone,
    ZoneState,
)
from marjoramgrade.resources import Resources
from marjoramgrade.structuring import (
    InvalidValueError,
    choice,
    ip_address,
    items,
    name,
    register_class,
    sha256,
    text,
    whole_number,
)

Document = dict[str, Any]
T = TypeVar("T")

MAX_TASKS = 10_000
MAX_PAYLOAD_BYTES = 65_536
MAX_JOB_ID_LENGTH = 128
MAX_REASON_BYTES = 4_096
MAX_ATTEMPTS = 100
MAX_SHARE = 1_000_000
MAX_QUEUE_BOUND = 10_000_000
MAX_RUN_MS = 366 * 24 * 3_600_000
# The largest worker has far less; the bound keeps sums over all tasks exact.
MAX_AMOUNT = 2**40
MAX_CONFIG_ENTRIES = 10_000
MAX_BASES = 4 * MAX_CONFIG_ENTRIES
MAX_WRITE_IDS = 10_000
MAX_PORT = 65_535


class Named(Protocol):
    """A resource with a unique name."""

    @property
    def name(self) -> str:
        """Name that no other resource of this kind has."""
        ...


N = TypeVar("N", bound=Named)


@attrs.frozen
class _ResourceBase:
    """The version that the latest change of a resource was based on.

    Attributes:
        path: Kind and name of the resource, such as `teams.acme`.
        version: Version of the configuration before the change.
    """

    path: str
    version: int


@attrs.frozen
class _ConfigDocument:
    """The form of a configuration in documents: lists instead of mappings."""

    version: int = 0
    teams: tuple[Team, ...] = ()
    keys: tuple[Key, ...] = ()
    zones: tuple[Zone, ...] = ()
    services: tuple[Service, ...] = ()
    recent_write_ids: tuple[str, ...] = ()
    bases: tuple[_ResourceBase, ...] = ()
    horizon_version: int = -1


def _check_outcomes(value: Any, _: Any = None) -> str:
    checked: str = text(MAX_TASKS)(value, str)
    if not set(checked) <= {outcome.value for outcome in Outcome}:
        raise InvalidValueError(
            "must contain only the characters '.', 'd', 'f' and 'c'"
        )
    return checked


def _parse_priority(value: Any, _: Any = None) -> Priority:
    member_by_name = {member.name.lower(): member for member in Priority}
    if type(value) is not str or value not in member_by_name:
        raise InvalidValueError(f"must be one of {', '.join(member_by_name)}")
    return member_by_name[value]


_amount = whole_number(0, MAX_AMOUNT)
_HOOKS_BY_CLASS: dict[type, Mapping[str, structuring.StructHook]] = {
    Resources: {field.name: _amount for field in attrs.fields(Resources)},
    JobSpec: {
        "team": name(),
        "tasks": whole_number(1, MAX_TASKS),
        "run_ms": whole_number(0, MAX_RUN_MS),
        "payload": text(MAX_PAYLOAD_BYTES),
        "max_attempts": whole_number(1, MAX_ATTEMPTS),
    },
    Job: {
        "job_id": name(max_length=MAX_JOB_ID_LENGTH),
        "shard": name(),
        "outcomes": _check_outcomes,
        "reason": text(MAX_REASON_BYTES),
    },
    Team: {
        "name": name(),
        "share": whole_number(1, MAX_SHARE),
        "queue_bound": whole_number(1, MAX_QUEUE_BOUND),
    },
    Key: {"name": name(), "team": name(), "secret_sha256": sha256()},
    Zone: {"name": name()},
    Service: {"name": name(), "team": name(optional=True)},
    _ResourceBase: {
        "path": text(MAX_REASON_BYTES),
        "version": whole_number(0),
    },
    Instance: {
        "instance_id": name(),
        "zone": name(),
        "host": ip_address(),
        "port": whole_number(1, MAX_PORT),
        "rack": name(optional=True),
        "service": name(optional=True),
    },
}

converter = structuring.make_converter()
for _kind in (JobKind, ZoneState, InstanceKind):
    converter.register_structure_hook(_kind, choice(_kind))
converter.register_structure_hook(Priority, _parse_priority)
converter.register_unstructure_hook(Priority, lambda priority: priority.name.lower())
for _class, _hooks in _HOOKS_BY_CLASS.items():
    register_class(converter, _class, _hooks)
register_class(
    converter,
    _ConfigDocument,
    {
        "version": whole_number(0),
        "teams": items(Team, MAX_CONFIG_ENTRIES)(converter),
        "keys": items(Key, MAX_CONFIG_ENTRIES)(converter),
        "zones": items(Zone, MAX_CONFIG_ENTRIES)(converter),
        "services": items(Service, MAX_CONFIG_ENTRIES)(converter),
        "recent_write_ids": items(str, MAX_WRITE_IDS)(converter),
        "bases": items(_ResourceBase, MAX_BASES)(converter),
        "horizon_version": whole_number(-1),
    },
)
converter.register_unstructure_hook(
    Resources,
    make_dict_unstructure_fn(
        Resources,
        converter,
        **{f.name: override(omit_if_default=True) for f in attrs.fields(Resources)},  # type: ignore[arg-type]
    ),
)


def parse(kind: type[T], document: object, path: str = "") -> T:
    """Convert a document to an instance of a class.

    Args:
        kind: The class, which must be registered with `converter`.
        document: The value that a JSON parser returned.
        path: Path of the document inside a larger one, for error messages.

    Raises:
        InvalidInputError: If the document is invalid. The details give the path and
            the reason of the first fault; the message lists the first
            `MAX_PROBLEMS` faults.
    """
    try:
        return converter.structure(document, kind)
    except structuring.CONVERSION_ERRORS as error:
        problems = structuring.find_problems(error, path)
        raise _input_error(problems) from None


def _input_error(problems: list[structuring.Problem]) -> InvalidInputError:
    first = problems[0]
    message = "; ".join(f"{p.path} {p.reason}" for p in problems)
    oversized = first.reason.startswith(("must be at most", "must hold at most"))
    kind = OversizedInputError if oversized else InvalidInputError
    return kind(message, path=first.path, reason=first.reason)


def _field_error(path: str, reason: str) -> InvalidInputError:
    return _input_error([structuring.Problem(path, reason)])


def parse_resources(document: object) -> Resources:
    """Return the resources of a document; an absent amount is zero."""
    return parse(Resources, document)


def parse_job_spec(document: object) -> JobSpec:
    """Return the job spec of a document."""
    return parse(JobSpec, document)


def parse_team(document: object) -> Team:
    """Return the team of a document."""
    return parse(Team, document)


def parse_key(document: object) -> Key:
    """Return the key of a document that contains the hash of the secret."""
    return parse(Key, document)


def parse_zone(document: object) -> Zone:
    """Return the zone of a document."""
    return parse(Zone, document)


def parse_service(document: object) -> Service:
    """Return the service of a document."""
    return parse(Service, document)


def parse_instance(document: object) -> Instance:
    """Return the instance of a document."""
    return parse(Instance, document)


def parse_job_id(value: object) -> str:
    """Check a job id that a client chose and return it."""
    try:
        checked: str = name(max_length=MAX_JOB_ID_LENGTH)(value, str)
    except InvalidValueError as error:
        raise _field_error("job_id", str(error)) from None
    return checked


def parse_job(document: object) -> Job:
    """Return the job of a document; a `state` in it must match the outcomes."""
    given_state = None
    if type(document) is dict and "state" in document:
        document = dict(document)
        given_state = document.pop("state")
    job = parse(Job, document)
    if len(job.outcomes) != job.spec.tasks:
        raise _field_error("outcomes", "must contain one character for each task")
    if given_state is not None and given_state != job.state.value:
        raise _field_error("state", "must match the outcomes")
    return job


def parse_config(document: object) -> Config:
    """Return the configuration of a document; any fault rejects all of it."""
    parsed = parse(_ConfigDocument, document)
    return Config(
        version=parsed.version,
        teams_by_name=_index_by_name("teams", parsed.teams),
        keys_by_name=_index_by_name("keys", parsed.keys),
        zones_by_name=_index_by_name("zones", parsed.zones),
        services_by_name=_index_by_name("services", parsed.services),
        recent_write_ids=tuple(parsed.recent_write_ids),
        base_version_by_path={entry.path: entry.version for entry in parsed.bases},
        horizon_version=parsed.horizon_version,
    )


def _index_by_name(path: str, entries: Iterable[N]) -> dict[str, N]:
    entry_by_name: dict[str, N] = {}
    for index, entry in enumerate(entries):
        if entry.name in entry_by_name:
            raise _field_error(f"{path}[{index}].name", "is used twice")
        entry_by_name[entry.name] = entry
    return entry_by_name


def _serialize(value: object) -> Document:
    document: Document = converter.unstructure(value)
    return document


def serialize_resources(resources: Resources) -> Document:
    """Return the document of resources, without the amounts that are zero."""
    return _serialize(resources)


def serialize_job_spec(spec: JobSpec) -> Document:
    """Return the document of a job spec."""
    return _serialize(spec)


def serialize_job(job: Job) -> Document:
    """Return the document of a job, including its derived state."""
    return {**_serialize(job), "state": job.state.value}


def serialize_team(team: Team) -> Document:
    """Return the document of a team."""
    return _serialize(team)


def serialize_key(key: Key) -> Document:
    """Return the document of a key with the hash of its secret, for the table."""
    return _serialize(key)


def serialize_key_summary(key: Key) -> Document:
    """Return the document of a key for clients, without the hash of its secret."""
    return {"name": key.name, "team": key.team}


def serialize_zone(zone: Zone) -> Document:
    """Return the document of a zone."""
    return _serialize(zone)


def serialize_service(service: Service) -> Document:
    """Return the document of a service."""
    return _serialize(service)


def serialize_instance(instance: Instance) -> Document:
    """Return the document of an instance."""
    return _serialize(instance)


def serialize_config(config: Config) -> Document:
    """Return the document of a configuration, its entries sorted by name."""
    return {
        "version": config.version,
        "teams": _serialize_sorted(config.teams_by_name),
        "keys": _serialize_sorted(config.keys_by_name),
        "zones": _serialize_sorted(config.zones_by_name),
        "services": _serialize_sorted(config.services_by_name),
        "recent_write_ids": list(config.recent_write_ids),
        "bases": [
            {"path": path, "version": version}
            for path, version in sorted(config.base_version_by_path.items())
        ],
        "horizon_version": config.horizon_version,
    }


def _serialize_sorted(entry_by_name: Mapping[str, N]) -> list[Document]:
    return [_serialize(entry_by_name[key]) for key in sorted(entry_by_name)]


def serialize_watch_event(event: WatchEvent) -> Document:
    """Return the document that a watch sends for an event."""
    if event.kind == "reset":
        return {"reset": True, "version": event.version}
    document: Document = {}
    if event.job is not None:
        document = serialize_job(event.job)
    elif event.kind == "config":
        document = {"version": event.config_version}
    return {
        "version": event.version,
        "kind": event.kind,
        "name": event.name,
        "document": document,
    }
