"""Reads and serializes the settings of an entry instance as JSON."""

from __future__ import annotations

import pathlib
from collections.abc import Collection, Iterable, Mapping
from typing import Any

import attrs
from cattrs import Converter

from marjoramgrade import jsontext, structuring
from marjoramgrade.errors import InvalidInputError, SettingsError, SettingsProblem
from marjoramgrade.model import JobKind
from marjoramgrade.registry import Registry
from marjoramgrade.settings import EntrySettings, PolicyNames
from marjoramgrade.structuring import (
    InvalidValueError,
    StructHook,
    choice,
    http_url,
    ip_address,
    name,
    register_class,
    sha256,
    whole_number,
)

MAX_FILE_BYTES = 1_048_576
MAX_PROBLEMS = 1_000
MAX_PORT = 65_535
MAX_SHARDS_PER_ZONE = 100
MAX_BODY_BYTES = 64 * 1_048_576
MAX_QUEUED_REQUESTS = 1_000_000
MIN_RETENTION_MS = 60_000
MAX_RETENTION_MS = 366 * 24 * 3_600_000
MAX_SHUTDOWN_MS = 600_000

port = whole_number(1, MAX_PORT)
SETTINGS_HOOKS: Mapping[str, StructHook] = {
    "instance_id": name(),
    "zone": name(),
    "host": ip_address(),
    "http_port": port,
    "peer_port": port,
    "platform_url": http_url,
    "shards_per_zone": whole_number(1, MAX_SHARDS_PER_ZONE),
    "statsd_host": ip_address(optional=True),
    "statsd_port": port,
    "operator_key_sha256": sha256(optional=True),
    "max_body_bytes": whole_number(0, MAX_BODY_BYTES),
    "max_queued_requests": whole_number(0, MAX_QUEUED_REQUESTS),
    "ended_job_retention_ms": whole_number(MIN_RETENTION_MS, MAX_RETENTION_MS),
    "shutdown_ms": whole_number(0, MAX_SHUTDOWN_MS),
}


@attrs.frozen
class KnownNames:
    """The filter and policy names that settings may use.

    Attributes:
        filters: Names of request filters.
        policies_by_field: Names of the registered policies for each field of
            `PolicyNames`.
    """

    filters: Collection[str]
    policies_by_field: Mapping[str, Collection[str]]

    @classmethod
    def from_registries(
        cls, filters: Registry[Any], **registry_by_field: Registry[Any]
    ) -> KnownNames:
        """Return the names that the registries contain.

        Args:
            filters: The registry of request filters.
            registry_by_field: The registry for each field of `PolicyNames`.

        Raises:
            TypeError: If a field of `PolicyNames` is missing or a field is unknown.
        """
        fields = {field.name for field in attrs.fields(PolicyNames)}
        if fields != set(registry_by_field):
            raise TypeError(f"expected one registry for each of {sorted(fields)}")
        names = {field: list(r.iter_names()) for field, r in registry_by_field.items()}
        return cls(list(filters.iter_names()), names)


def one_of(known: Collection[str]) -> StructHook:
    """Return a hook that accepts only the known names."""
    listed = ", ".join(sorted(known)) or "(nothing is registered)"

    def check(value: Any, _: Any = None) -> str:
        if type(value) is not str or value not in known:
            raise InvalidValueError(f"must be one of {listed}")
        return value

    return check


def make_settings_converter(names: KnownNames) -> Converter:
    """Return a strict converter for `PolicyNames` and `EntrySettings`."""
    converter = structuring.make_converter()
    converter.register_structure_hook(JobKind, choice(JobKind))
    known = names.policies_by_field
    register_class(
        converter, PolicyNames, {field: one_of(known[field]) for field in known}
    )
    collection_hooks = {
        "filters": _filters_hook(names),
        "policies_by_kind": policies_hook(converter),
    }
    register_class(converter, EntrySettings, {**SETTINGS_HOOKS, **collection_hooks})
    return converter


def _filters_hook(names: KnownNames) -> StructHook:
    known = one_of(names.filters)

    def check(value: Any, _: Any = None) -> tuple[str, ...]:
        if type(value) is not list:
            raise InvalidValueError("must be a list")
        checked = tuple(known(entry, str) for entry in value)
        if len(set(checked)) != len(checked):
            raise InvalidValueError("must not list a filter twice")
        return checked

    return check


def policies_hook(converter: Converter) -> StructHook:
    """Return a hook that adds default policies for the kinds of work not given."""

    def check(value: Any, _: Any = None) -> Mapping[JobKind, PolicyNames]:
        if type(value) is not dict:
            raise InvalidValueError("must be an object")
        given = converter.structure(value, dict[JobKind, PolicyNames])
        return {kind: given.get(kind, PolicyNames()) for kind in JobKind}

    return check


def settings_error(problems: Iterable[structuring.Problem]) -> SettingsError:
    """Return an error that lists the faults of a settings or deployment document."""
    return SettingsError([SettingsProblem(p.path, p.reason) for p in problems])


def find_all_problems(error: Exception) -> list[structuring.Problem]:
    """Return the faults that a converter found, up to `MAX_PROBLEMS`."""
    return structuring.find_problems(error, limit=MAX_PROBLEMS)


def parse_entry_settings(document: object, names: KnownNames) -> EntrySettings:
    """Return the settings in a document.

    Args:
        document: The parsed JSON value.
        names: Names of the registered filters and policies.

    Raises:
        SettingsError: If the document is invalid; lists every fault. No part of the
            document is used then.
    """
    converter = make_settings_converter(names)
    try:
        settings = converter.structure(document, EntrySettings)
    except structuring.CONVERSION_ERRORS as error:
        raise settings_error(find_all_problems(error)) from None
    if settings.http_port == settings.peer_port:
        problem = structuring.Problem("peer_port", "must differ from http_port")
        raise settings_error([problem])
    return settings


def serialize_entry_settings(settings: EntrySettings) -> dict[str, Any]:
    """Return settings as a JSON document."""
    document = attrs.asdict(settings, recurse=False)
    document["filters"] = list(settings.filters)
    document["policies_by_kind"] = {
        kind.value: attrs.asdict(policies)
        for kind, policies in settings.policies_by_kind.items()
    }
    return document


def read_document(path: pathlib.Path) -> Any:
    """Return the parsed content of a JSON file.

    Raises:
        SettingsError: If the file cannot be read, is too large or is not valid JSON.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        reason = error.strerror or "cannot be read"
        raise settings_error([structuring.Problem(path.name, reason)]) from None
    try:
        return jsontext.parse_text(data, max_bytes=MAX_FILE_BYTES, path=path.name)
    except InvalidInputError as error:
        raise settings_error([structuring.Problem(path.name, error.message)]) from None


def read_entry_settings(path: pathlib.Path, names: KnownNames) -> EntrySettings:
    """Return the settings in a JSON file.

    Raises:
        SettingsError: If the file is invalid; lists every fault.
    """
    return parse_entry_settings(read_document(path), names)
