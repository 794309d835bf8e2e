"""The operations of the HTTP interface, registered by method and path."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

from marjoramgrade import documents, jsontext
from marjoramgrade.actor import Message
from marjoramgrade.controllers.instances import GetInstances
from marjoramgrade.decisions.versions import resource_version
from marjoramgrade.errors import InvalidInputError, NotFoundError
from marjoramgrade.messages.configuration import (
    ChangeConfig,
    ConfigConfirmed,
    GetConfig,
    GrantKey,
    KeyGranted,
)
from marjoramgrade.messages.jobs import (
    CancelJob,
    GetJob,
    GetTasks,
    ListJobs,
    StoredJob,
    SubmitJob,
    TaskStatus,
)
from marjoramgrade.messages.requests import RunReply, RunRequest
from marjoramgrade.messages.routing import GetSummaries, Summaries
from marjoramgrade.model import (
    Config,
    Instance,
    InstanceKind,
    Key,
    generate_secret,
)

JSON_HEADERS = {"Content-Type": "application/json"}
MAX_JSON_BYTES = 1_048_576
# Matches every name that documents accept; the filters and document parsers
# validate names.
NAME_PATTERN = r"([^/]{1,200})"


@attrs.frozen
class HttpCall:
    """The parts of an HTTP request that operations use.

    Attributes:
        arguments: Variable parts of the path, in order.
        headers: Request headers.
        body: Request body.
        request_id: The `Request-Id` header, or a generated id if it is absent.
        remaining_ms: Time left until the request's deadline, in milliseconds.
    """

    arguments: tuple[str, ...]
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    remaining_ms: int

    def document(self) -> Any:
        """Return the JSON document in the body.

        Raises:
            InvalidInputError: If the body is not valid JSON.
        """
        return jsontext.parse_text(self.body, max_bytes=MAX_JSON_BYTES, path="body")

    def expected_version(self) -> int | None:
        """Return the version in `If-Match`, or None without the header.

        Raises:
            InvalidInputError: If the header is not a version number.
        """
        text = self.headers.get("If-Match")
        if text is None:
            return None
        text = text.strip().strip('"')
        if not (text.isascii() and text.isdigit() and len(text) <= 18):
            raise InvalidInputError("If-Match must be a single version number")
        return int(text)


@attrs.frozen
class HttpResponse:
    """A successful response."""

    status: int
    body: bytes | str
    headers: Mapping[str, str] = JSON_HEADERS


Parse = Callable[[HttpCall], Message[Any]]
Serialize = Callable[[HttpCall, Any], HttpResponse]


@attrs.frozen
class Operation:
    """Parser and serializer for one HTTP method of a path.

    Attributes:
        parse: Turns the request into a message for the filter chain.
        serialize: Turns the reply to the message into a response.
    """

    parse: Parse
    serialize: Serialize


_operations_by_path: dict[str, dict[str, Operation]] = {}


def operation(method: str, path: str, serialize: Serialize) -> Callable[[Parse], Parse]:
    """Return a decorator that registers an operation by its parser.

    Args:
        method: HTTP method.
        path: Regular expression of the path; each group is one argument.
        serialize: Turns the reply into a response.
    """

    def add(parse: Parse) -> Parse:
        operations = _operations_by_path.setdefault(path, {})
        operations[method] = Operation(parse, serialize)
        return parse

    return add


def iter_paths() -> Iterator[tuple[str, Mapping[str, Operation]]]:
    """Yield every path with its operations by method."""
    yield from _operations_by_path.items()


def _json_response(
    document: Any, status: int = 200, version: int | None = None
) -> HttpResponse:
    headers = dict(JSON_HEADERS)
    if version is not None:
        headers["ETag"] = f'"{version}"'
    return HttpResponse(status, jsontext.serialize_text(document), headers)


# Requests


def _serialize_run(call: HttpCall, reply: RunReply) -> HttpResponse:
    headers = {"Ran": "yes", "Backend": reply.backend_id}
    return HttpResponse(reply.status, reply.body, headers)


@operation("POST", rf"/v1/run/{NAME_PATTERN}", _serialize_run)
def _parse_run(call: HttpCall) -> RunRequest:
    text = call.headers.get("Idempotent", "false")
    if text not in ("true", "false"):
        raise InvalidInputError("Idempotent must be true or false")
    return RunRequest(
        request_id=call.request_id,
        service=call.arguments[0],
        team="",
        key_name="",
        body=call.body,
        remaining_ms=call.remaining_ms,
        idempotent=text == "true",
    )


# Jobs


def _serialize_job(call: HttpCall, stored: StoredJob) -> HttpResponse:
    document = {**documents.serialize_job(stored.job), "version": stored.version}
    return _json_response(document, version=stored.version)


def _serialize_accepted_job(call: HttpCall, stored: StoredJob) -> HttpResponse:
    return attrs.evolve(_serialize_job(call, stored), status=201)


def _serialize_jobs(call: HttpCall, jobs: tuple[StoredJob, ...]) -> HttpResponse:
    items = [
        {**documents.serialize_job(stored.job), "version": stored.version}
        for stored in jobs
    ]
    version = max((stored.version for stored in jobs), default=0)
    return _json_response({"version": version, "items": items})


def _serialize_tasks(call: HttpCall, tasks: tuple[TaskStatus, ...]) -> HttpResponse:
    items = [
        {
            "task": str(status.task),
            "state": status.state,
            "reason": status.reason,
            "worker": status.worker_id,
        }
        for status in tasks
    ]
    return _json_response({"items": items})


@operation("POST", r"/v1/jobs", _serialize_accepted_job)
def _parse_submit(call: HttpCall) -> SubmitJob:
    document = call.document()
    if not isinstance(document, dict) or set(document) - {"job_id", "spec"}:
        raise InvalidInputError("the body may contain only job_id and spec")
    job_id = document.get("job_id", uuid.uuid4().hex)
    spec = documents.parse_job_spec(document.get("spec"))
    return SubmitJob(documents.parse_job_id(job_id), spec)


@operation("GET", r"/v1/jobs", _serialize_jobs)
def _parse_list_jobs(call: HttpCall) -> ListJobs:
    return ListJobs()


@operation("GET", rf"/v1/jobs/{NAME_PATTERN}", _serialize_job)
def _parse_get_job(call: HttpCall) -> GetJob:
    return GetJob(call.arguments[0])


@operation("DELETE", rf"/v1/jobs/{NAME_PATTERN}", _serialize_job)
def _parse_cancel(call: HttpCall) -> CancelJob:
    return CancelJob(call.arguments[0])


@operation("GET", rf"/v1/jobs/{NAME_PATTERN}/tasks", _serialize_tasks)
def _parse_get_tasks(call: HttpCall) -> GetTasks:
    return GetTasks("", call.arguments[0])


# Configuration


@attrs.frozen
class ConfigKind:
    """Representation of one type of configuration resource in the interface.

    Attributes:
        kind: Plural name of the type, as in the path.
        get_resources: Returns the resources of this type by name.
        parse: Turns a document into a resource.
        serialize: Turns a resource into a document.
    """

    kind: str
    get_resources: Callable[[Config], Mapping[str, Any]]
    parse: Callable[[Any], Any]
    serialize: Callable[[Any], Any]


CONFIG_KINDS = (
    ConfigKind(
        "teams",
        lambda config: config.teams_by_name,
        documents.parse_team,
        documents.serialize_team,
    ),
    ConfigKind(
        "zones",
        lambda config: config.zones_by_name,
        documents.parse_zone,
        documents.serialize_zone,
    ),
    ConfigKind(
        "services",
        lambda config: config.services_by_name,
        documents.parse_service,
        documents.serialize_service,
    ),
    ConfigKind(
        "keys",
        lambda config: config.keys_by_name,
        documents.parse_key,
        documents.serialize_key_summary,
    ),
)


def _register_config_kind(kind: ConfigKind) -> None:
    """Register the operations that every type of configuration resource has."""

    def serialize_all(call: HttpCall, confirmed: ConfigConfirmed) -> HttpResponse:
        resource_by_name = kind.get_resources(confirmed.config)
        items = [
            kind.serialize(resource_by_name[name]) for name in sorted(resource_by_name)
        ]
        version = confirmed.config.version
        return _json_response({"version": version, "items": items}, version=version)

    def serialize_one(call: HttpCall, confirmed: ConfigConfirmed) -> HttpResponse:
        name = call.arguments[0]
        resource = kind.get_resources(confirmed.config).get(name)
        if resource is None:
            raise NotFoundError(f"no resource named {name} in {kind.kind}")
        version = resource_version(confirmed.config, kind.kind, name)
        return _json_response(kind.serialize(resource), version=version)

    def serialize_changed(call: HttpCall, config: Config) -> HttpResponse:
        name = call.arguments[0]
        resource = kind.get_resources(config).get(name)
        if resource is None:
            # Clients wait for this version to know that the deletion is in force
            # everywhere.
            document, version = {"name": name}, config.version
        else:
            document = kind.serialize(resource)
            version = resource_version(config, kind.kind, name)
        return _json_response({**document, "version": config.version}, version=version)

    def parse_get(call: HttpCall) -> GetConfig:
        return GetConfig()

    def parse_put(call: HttpCall) -> ChangeConfig:
        name = call.arguments[0]
        document = call.document()
        if not isinstance(document, dict) or document.get("name", name) != name:
            raise InvalidInputError(
                "the name in the body differs from the name in the path"
            )
        value = kind.parse({**document, "name": name})
        return ChangeConfig(kind.kind, name, value, call.expected_version())

    def parse_delete(call: HttpCall) -> ChangeConfig:
        return ChangeConfig(kind.kind, call.arguments[0], None, call.expected_version())

    item_path = rf"/v1/{kind.kind}/{NAME_PATTERN}"
    operation("GET", rf"/v1/{kind.kind}", serialize_all)(parse_get)
    operation("GET", item_path, serialize_one)(parse_get)
    operation("DELETE", item_path, serialize_changed)(parse_delete)
    if kind.kind != "keys":
        operation("PUT", item_path, serialize_changed)(parse_put)


for _kind in CONFIG_KINDS:
    _register_config_kind(_kind)


def _serialize_granted_key(call: HttpCall, granted: KeyGranted) -> HttpResponse:
    document = documents.serialize_key_summary(granted.key)
    return _json_response(
        {**document, "secret": granted.secret}, version=granted.version
    )


@operation("PUT", rf"/v1/keys/{NAME_PATTERN}", _serialize_granted_key)
def _parse_grant_key(call: HttpCall) -> GrantKey:
    document = call.document()
    if not isinstance(document, dict) or set(document) - {"name", "team"}:
        raise InvalidInputError("the body may contain only name and team")
    secret = generate_secret()
    key = Key.from_secret(call.arguments[0], str(document.get("team", "")), secret)
    validated = documents.parse_key(documents.serialize_key(key))
    return GrantKey(validated, secret, call.expected_version())


# Load and state


def _serialize_summaries(call: HttpCall, summaries: Summaries) -> HttpResponse:
    shards: dict[str, dict[str, Any]] = {}
    for tasks in summaries.tasks:
        shards[tasks.shard] = {
            "shard": tasks.shard,
            "owner": tasks.owner,
            "epoch": tasks.epoch,
            "total": documents.serialize_resources(tasks.total),
            "free": documents.serialize_resources(tasks.free),
            "queued_tasks": tasks.queued,
        }
    for dispatch in summaries.dispatch:
        shard = shards.setdefault(
            dispatch.shard,
            {
                "shard": dispatch.shard,
                "owner": dispatch.owner,
                "epoch": dispatch.epoch,
            },
        )
        shard["free_slots"] = dict(dispatch.free_slots_by_service)
        shard["queued_requests"] = dispatch.queued
    version_by_zone: dict[str, int] = {}
    for instance in summaries.instances:
        known = version_by_zone.get(instance.zone, instance.config_version)
        version_by_zone[instance.zone] = min(known, instance.config_version)
    return _json_response(
        {
            "shards": [shards[name] for name in sorted(shards)],
            "config": {"version_by_zone": version_by_zone},
        }
    )


@operation("GET", r"/v1/status", _serialize_summaries)
def _parse_status(call: HttpCall) -> GetSummaries:
    return GetSummaries()


def _serialize_instances(instance_kind: InstanceKind) -> Serialize:
    def serialize_kind(call: HttpCall, instances: tuple[Instance, ...]) -> HttpResponse:
        items = [
            documents.serialize_instance(instance)
            for instance in instances
            if instance.kind is instance_kind
        ]
        return _json_response({"items": items})

    return serialize_kind


@operation("GET", r"/v1/workers", _serialize_instances(InstanceKind.WORKER))
@operation("GET", r"/v1/backends", _serialize_instances(InstanceKind.BACKEND))
def _parse_instances(call: HttpCall) -> GetInstances:
    return GetInstances()
