"""Changes to the configuration: a single document with a single version.

`next_version` increments `Config.version` before a document is written. The
document records the version that the latest change to each resource was based on:
an operator who has read a document with a higher version has seen that change.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

from marjoramgrade.errors import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    SettingsError,
    SettingsProblem,
)
from marjoramgrade.model import Config, Key, Service, Team, Zone
from marjoramgrade.registry import Registry

NAME = re.compile(r"[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?")
DIGEST = re.compile(r"[0-9a-f]{64}")
# Ids of recent writes stored in the document. A writer whose response was lost
# finds its id there until this many later changes have been accepted.
MAX_RECENT_WRITE_IDS = 64
# Deletions recorded in the document, so that a change based on an old version does
# not recreate a deleted resource.
MAX_RECORDED_DELETIONS = 256

Resource = Team | Key | Zone | Service
Check = Callable[[Config], Iterator[SettingsProblem]]

CHECKS: Registry[Check] = Registry("configuration check")
FIELD_BY_KIND: Mapping[str, str] = {
    "teams": "teams_by_name",
    "keys": "keys_by_name",
    "zones": "zones_by_name",
    "services": "services_by_name",
}
TYPE_BY_KIND: Mapping[str, type[Resource]] = {
    "teams": Team,
    "keys": Key,
    "zones": Zone,
    "services": Service,
}


@attrs.frozen
class Change:
    """A change to one resource.

    Attributes:
        kind: `teams`, `keys`, `zones` or `services`.
        name: Name of the resource.
        resource: New state of the resource, or None to delete it.
        base_version: Version of the resource or of the document that the
            operator saw, from `If-Match`; without `If-Match`, the version of the
            document in force when the change arrived. Zero if the resource must
            not exist yet.
        write_id: Unique id of the change; every attempt to write it uses this id.
    """

    kind: str
    name: str
    resource: Resource | None
    base_version: int
    write_id: str

    @property
    def path(self) -> str:
        """Path of the resource in the document, such as `teams.acme`."""
        return f"{self.kind}.{self.name}"


def resources_of(config: Config, kind: str) -> Mapping[str, Resource]:
    """Return the resources of one kind by name.

    Raises:
        InvalidInputError: If the kind is unknown.
    """
    if kind not in FIELD_BY_KIND:
        raise InvalidInputError(f"unknown resource kind {kind!r}")
    resources: Mapping[str, Resource] = getattr(config, FIELD_BY_KIND[kind])
    return resources


def resource_version(config: Config, kind: str, name: str) -> int:
    """Return the version of one resource, or zero if it does not exist.

    Changes to other resources do not affect this version. It can be the
    `base_version` of the next change to the resource.
    """
    if name not in resources_of(config, kind):
        return 0
    return config.base_version_by_path.get(f"{kind}.{name}", 0) + 1


def is_applied(config: Config, change: Change) -> bool:
    """Return whether a document lists a change among those recently accepted."""
    return change.write_id in config.recent_write_ids


def apply_change(config: Config, change: Change) -> Config:
    """Apply a change to the current document, which may be newer than its base.

    This rebases a change that raced with changes to other resources. The whole
    result is validated, since a racing change may have removed a resource that
    this change refers to.

    Args:
        config: The current document in the table.
        change: The change to apply.

    Returns:
        The document to write; its version is still that of `config`.

    Raises:
        ConflictError: If the resource has changed since `base_version`.
        NotFoundError: If the resource to delete does not exist.
        SettingsError: If the result is invalid.
        InvalidInputError: If the kind is unknown, or the resource is of a different
            kind or has a different name.
    """
    resources = dict(resources_of(config, change.kind))
    _check_base(config, change, change.name in resources)
    if change.resource is None:
        if change.name not in resources:
            raise NotFoundError(f"{change.path} does not exist")
        del resources[change.name]
    else:
        _check_type(change)
        resources[change.name] = change.resource
    replaced: dict[str, Any] = {FIELD_BY_KIND[change.kind]: resources}
    changed = attrs.evolve(config, **replaced)
    changed = _with_history(changed, change)
    check_config(changed)
    return changed


def next_version(config: Config) -> Config:
    """Return a document with its version incremented, ready to be written."""
    return attrs.evolve(config, version=config.version + 1)


def _check_base(config: Config, change: Change, is_present: bool) -> None:
    base = config.base_version_by_path.get(change.path)
    if change.base_version == 0:
        is_current = not is_present
    elif base is not None:
        is_current = base < change.base_version
    else:
        is_current = is_present or change.base_version > config.horizon_version
    if not is_current:
        raise ConflictError(
            f"{change.path} has changed",
            expected_version=change.base_version,
            current_version=resource_version(config, change.kind, change.name),
        )


def _check_type(change: Change) -> None:
    resource = change.resource
    if not isinstance(resource, TYPE_BY_KIND[change.kind]):
        raise InvalidInputError(f"the resource at {change.path} is of a different kind")
    if resource.name != change.name:
        raise InvalidInputError(
            f"the resource at {change.path} is named {resource.name!r}"
        )


def _with_history(config: Config, change: Change) -> Config:
    bases = dict(config.base_version_by_path)
    bases[change.path] = config.version
    present_paths = {
        f"{kind}.{name}"
        for kind in FIELD_BY_KIND
        for name in resources_of(config, kind)
    }
    deleted = sorted(
        (path for path in bases if path not in present_paths),
        key=lambda path: bases[path],
    )
    # Once a deletion is no longer recorded, `_check_base` accepts a change to the
    # missing resource only if its base version is zero or above the horizon.
    horizon = config.horizon_version
    for path in deleted[: max(0, len(deleted) - MAX_RECORDED_DELETIONS)]:
        horizon = max(horizon, bases.pop(path))
    write_ids = (*config.recent_write_ids, change.write_id)[-MAX_RECENT_WRITE_IDS:]
    return attrs.evolve(
        config,
        base_version_by_path=bases,
        horizon_version=horizon,
        recent_write_ids=write_ids,
    )


@attrs.define
class ConfigStore:
    """The configuration in force in this instance; its version never decreases.

    Attributes:
        current: The latest accepted document.
    """

    current: Config = attrs.field(factory=Config)

    @property
    def is_loaded(self) -> bool:
        """Whether a document has been accepted since the instance started."""
        return self.current.version > 0

    def accept_if_newer(self, config: Config) -> bool:
        """Accept a document if it is newer than the one in force.

        Returns:
            Whether the document was accepted.

        Raises:
            SettingsError: If the document is newer but invalid; the current one
                remains in force.
        """
        if config.version <= self.current.version:
            return False
        check_config(config)
        self.current = config
        return True


def check_config(config: Config) -> None:
    """Validate a whole document.

    Raises:
        SettingsError: If the document is invalid; lists every problem and its path.
    """
    problems = list(iter_problems(config))
    if problems:
        raise SettingsError(problems)


def iter_problems(config: Config) -> Iterator[SettingsProblem]:
    """Yield every problem of a document."""
    for name in CHECKS.iter_names():
        yield from CHECKS.get(name)(config)


@CHECKS.register("names")
def _iter_name_problems(config: Config) -> Iterator[SettingsProblem]:
    for kind in FIELD_BY_KIND:
        for name, resource in resources_of(config, kind).items():
            if not NAME.fullmatch(name):
                yield SettingsProblem(f"{kind}.{name}", "the name is malformed")
            if resource.name != name:
                reason = f"{resource.name!r} differs from the name it is listed under"
                yield SettingsProblem(f"{kind}.{name}.name", reason)


@CHECKS.register("teams")
def _iter_team_problems(config: Config) -> Iterator[SettingsProblem]:
    for name, team in config.teams_by_name.items():
        path = f"teams.{name}"
        if team.share < 1:
            yield SettingsProblem(f"{path}.share", "must be at least 1")
        if team.queue_bound < 0:
            yield SettingsProblem(f"{path}.queue_bound", "must not be negative")
        for field, amount in attrs.asdict(team.limit).items():
            if amount < 0:
                yield SettingsProblem(f"{path}.limit.{field}", "must not be negative")


@CHECKS.register("keys")
def _iter_key_problems(config: Config) -> Iterator[SettingsProblem]:
    name_by_digest: dict[str, str] = {}
    for name, key in config.keys_by_name.items():
        path = f"keys.{name}"
        if key.team not in config.teams_by_name:
            yield SettingsProblem(f"{path}.team", f"unknown team {key.team!r}")
        if not DIGEST.fullmatch(key.secret_sha256):
            yield SettingsProblem(
                f"{path}.secret_sha256", "must be a SHA-256 digest in lower-case hex"
            )
        other = name_by_digest.setdefault(key.secret_sha256, name)
        if other != name:
            # Keys with the same secret could belong to different teams; a lookup by
            # secret returns only the first match.
            reason = f"is also the secret of key {other!r}"
            yield SettingsProblem(f"{path}.secret_sha256", reason)


@CHECKS.register("services")
def _iter_service_problems(config: Config) -> Iterator[SettingsProblem]:
    for name, service in config.services_by_name.items():
        if service.team and service.team not in config.teams_by_name:
            reason = f"unknown team {service.team!r}"
            yield SettingsProblem(f"services.{name}.team", reason)
