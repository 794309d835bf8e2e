"""Reads deployment files: the entry instances of a cell and its initial resources."""

from __future__ import annotations

import collections
import pathlib
from collections.abc import Hashable, Iterable, Iterator
from typing import Any

import attrs

from marjoramgrade import documents, settingsfile
from marjoramgrade.errors import NotFoundError
from marjoramgrade.model import Service, Team, Zone
from marjoramgrade.resources import Resources
from marjoramgrade.settings import EntrySettings
from marjoramgrade.settingsfile import KnownNames
from marjoramgrade.structuring import (
    CONVERSION_ERRORS,
    InvalidValueError,
    Problem,
    StructHook,
    ip_address,
    items,
    name,
    register_class,
    text,
    whole_number,
)

MAX_ENTRIES = 100
MAX_ZONES = 100
MAX_TEAMS = 1_000
MAX_INSTANCES = 100_000
MAX_CONNECTIONS = 10_000


@attrs.frozen
class EntrySpec:
    """The settings that differ between the entry instances of a cell.

    The fields have the same meaning as in `EntrySettings`.
    """

    instance_id: str
    zone: str
    host: str
    http_port: int = 8080
    peer_port: int = 8081


@attrs.frozen
class WorkersSpec:
    """The workers of a cell.

    Attributes:
        count: Number of workers in all zones together.
        per_rack: Number of workers in one rack.
        capacity: Resources of each worker.
    """

    count: int
    per_rack: int
    capacity: Resources


@attrs.frozen
class BackendsSpec:
    """The backend servers of one service, each with one runner.

    Attributes:
        service: Name of the service that they run.
        count: Number of backend servers in all zones together.
        slots: Number of requests that one runner handles concurrently.
        connections: Number of connections that one runner accepts.
    """

    service: str
    count: int
    slots: int = 8
    connections: int = 64


@attrs.frozen
class Deployment:
    """The configuration of a cell that is set before it starts.

    Attributes:
        name: Name of the cell.
        title: Human-readable name of the organisation and its site.
        settings: Settings shared by all entry instances, by field name.
        entries: The entry instances.
        zones: The availability zones.
        teams: The initial teams.
        services: The initial services.
        workers: Number and size of the workers.
        backends: Number and size of the backend servers of each service.
    """

    name: str
    title: str
    settings: dict[str, Any]
    entries: tuple[EntrySpec, ...]
    zones: tuple[Zone, ...]
    teams: tuple[Team, ...]
    services: tuple[Service, ...]
    workers: WorkersSpec
    backends: tuple[BackendsSpec, ...] = ()


_ENTRY_FIELDS = frozenset(field.name for field in attrs.fields(EntrySpec))


def _shared_settings(value: Any, _: Any = None) -> dict[str, Any]:
    if type(value) is not dict:
        raise InvalidValueError("must be an object")
    return value


def _entry_hooks() -> dict[str, StructHook]:
    hooks = {f: settingsfile.SETTINGS_HOOKS[f] for f in _ENTRY_FIELDS}
    return {**hooks, "host": ip_address()}


_converter = documents.converter.copy()
register_class(_converter, EntrySpec, _entry_hooks())
register_class(
    _converter,
    WorkersSpec,
    {
        "count": whole_number(0, MAX_INSTANCES),
        "per_rack": whole_number(1, MAX_INSTANCES),
    },
)
register_class(
    _converter,
    BackendsSpec,
    {
        "service": name(),
        "count": whole_number(0, MAX_INSTANCES),
        "slots": whole_number(1, MAX_CONNECTIONS),
        "connections": whole_number(1, MAX_CONNECTIONS),
    },
)
register_class(
    _converter,
    Deployment,
    {
        "name": name(),
        "title": text(200),
        "settings": _shared_settings,
        "entries": items(EntrySpec, MAX_ENTRIES)(_converter),
        "zones": items(Zone, MAX_ZONES)(_converter),
        "teams": items(Team, MAX_TEAMS)(_converter),
        "services": items(Service, MAX_TEAMS)(_converter),
        "backends": items(BackendsSpec, MAX_TEAMS)(_converter),
    },
)


def parse_deployment(document: object) -> Deployment:
    """Return the deployment in a document.

    Raises:
        SettingsError: If the document is invalid; lists every fault.
    """
    try:
        deployment = _converter.structure(document, Deployment)
    except CONVERSION_ERRORS as error:
        raise settingsfile.settings_error(
            settingsfile.find_all_problems(error)
        ) from None
    problems = list(_iter_problems(deployment))
    if problems:
        raise settingsfile.settings_error(problems)
    return deployment


def read_deployment(path: pathlib.Path) -> Deployment:
    """Return the deployment in a JSON file.

    Raises:
        SettingsError: If the file is invalid; lists every fault.
    """
    return parse_deployment(settingsfile.read_document(path))


def render_settings(
    deployment: Deployment, instance_id: str, names: KnownNames
) -> EntrySettings:
    """Return the settings of one entry instance of a deployment.

    Raises:
        NotFoundError: If the deployment does not list the instance.
        SettingsError: If the shared settings are invalid; lists every fault.
    """
    for entry in deployment.entries:
        if entry.instance_id == instance_id:
            document = {**deployment.settings, **attrs.asdict(entry)}
            return settingsfile.parse_entry_settings(document, names)
    raise NotFoundError(
        f"{deployment.name} has no entry instance {instance_id!r}",
        known=", ".join(entry.instance_id for entry in deployment.entries),
    )


def serialize_seed(deployment: Deployment) -> dict[str, Any]:
    """Return the initial teams, zones and services as input of `apply`."""
    return {
        "teams": [documents.serialize_team(team) for team in deployment.teams],
        "zones": [documents.serialize_zone(zone) for zone in deployment.zones],
        "services": [documents.serialize_service(s) for s in deployment.services],
    }


def _iter_problems(deployment: Deployment) -> Iterator[Problem]:
    zones = {zone.name for zone in deployment.zones}
    teams = {team.name for team in deployment.teams}
    services = {service.name for service in deployment.services}
    entries = deployment.entries
    yield from _iter_duplicates(
        "entries", (e.instance_id for e in entries), "instance_id"
    )
    yield from _iter_duplicates("entries", ((e.host, e.http_port) for e in entries))
    yield from _iter_duplicates("entries", ((e.host, e.peer_port) for e in entries))
    yield from _iter_duplicates("zones", (z.name for z in deployment.zones), "name")
    yield from _iter_duplicates("teams", (t.name for t in deployment.teams), "name")
    yield from _iter_duplicates(
        "services", (s.name for s in deployment.services), "name"
    )
    for index, entry in enumerate(entries):
        if entry.zone not in zones:
            yield Problem(f"entries[{index}].zone", "is not one of the zones")
    for index, zone in enumerate(deployment.zones):
        if all(entry.zone != zone.name for entry in entries):
            yield Problem(f"zones[{index}].name", "has no entry instance")
    for index, service in enumerate(deployment.services):
        if service.team and service.team not in teams:
            yield Problem(f"services[{index}].team", "is not one of the teams")
    for index, backend in enumerate(deployment.backends):
        if backend.service not in services:
            yield Problem(f"backends[{index}].service", "is not one of the services")
    for field in sorted(_ENTRY_FIELDS & deployment.settings.keys()):
        yield Problem(f"settings.{field}", "must be set in each of the entries instead")


def _iter_duplicates(
    path: str, values: Iterable[Hashable], field: str = "host"
) -> Iterator[Problem]:
    """Yield a problem for each repeated value.

    Args:
        path: Name of the list that the values come from.
        values: One value for each entry of the list.
        field: Field that holds the value; `host` if the value is a host and a port.
    """
    seen: collections.Counter[Hashable] = collections.Counter()
    for index, value in enumerate(values):
        if seen[value]:
            reason = "is used twice" if field != "host" else "and port are used twice"
            yield Problem(f"{path}[{index}].{field}", reason)
        seen[value] += 1
