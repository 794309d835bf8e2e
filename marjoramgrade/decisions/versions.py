"""Changes to the configuration, which is one document with one version.

`next_version` raises `Config.version` when a document is about to be written. A
resource carries the version that its latest change was based on: whoever has read
a document of a higher version has seen that change.
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
# A writer whose answer was lost finds its id among this many later changes.
MAX_RECENT_WRITE_IDS = 64
# Deletions that are remembered, so that a stale change revives no resource.
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
    """A change of one resource.

    Attributes:
        kind: `teams`, `keys`, `zones` or `services`.
        name: Name of the resource.
        resource: Its new state, or None to delete it.
        base_version: Version of the resource or of the document that the
            operator saw, from `If-Match`, or else of the document in force when
            the change arrived; zero if the resource must not exist yet.
        write_id: Unique id of the change, the same for every attempt.
    """

    kind: str
    name: str
    resource: Resource | None
    base_version: int
    write_id: str

    @property
    def path(self) -> str:
        """The path of the resource in the document."""
        return f"{self.kind}.{self.name}"


def resources_of(config: Config, kind: str) -> Mapping[str, Resource]:
    """Return the resources of one kind by name.

    Raises:
        InvalidInputError: If there is no such kind.
    """
    if kind not in FIELD_BY_KIND:
        raise InvalidInputError(f"no resource kind is named {kind!r}")
    found: Mapping[str, Resource] = getattr(config, FIELD_BY_KIND[kind])
    return found


def resource_version(config: Config, kind: str, name: str) -> int:
    """Return the version of one resource, or zero if it does not exist.

    It stays the same while only other resources change, and serves as the
    `base_version` of a change of this one.
    """
    if name not in resources_of(config, kind):
        return 0
    return config.base_version_by_path.get(f"{kind}.{name}", 0) + 1


def is_applied(config: Config, change: Change) -> bool:
    """Return whether a document shows that a change was accepted."""
    return change.write_id in config.recent_write_ids


def apply_change(config: Config, change: Change) -> Config:
    """Apply a change to the current document, whatever it was first based on.

    A change that raced with changes of other resources is thereby rebased; the
    result is validated as a whole, since such a change may have removed what
    this one refers to.

    Args:
        config: The document now in the table.
        change: The change.

    Returns:
        The document to write, which still has the version of `config`.

    Raises:
        ConflictError: If the resource has changed since `base_version`.
        NotFoundError: If the resource to delete does not exist.
        SettingsError: If the result is invalid.
        InvalidInputError: If the resource is not of the named kind.
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
    """Return a changed document with the version that it gets when written."""
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
        raise InvalidInputError(f"{change.path} is of another kind")
    if resource.name != change.name:
        raise InvalidInputError(f"{change.path} has the name {resource.name!r}")


def _with_history(config: Config, change: Change) -> Config:
    bases = dict(config.base_version_by_path)
    bases[change.path] = config.version
    present = {
        f"{kind}.{name}"
        for kind in FIELD_BY_KIND
        for name in resources_of(config, kind)
    }
    deleted = sorted(
        (path for path in bases if path not in present), key=lambda path: bases[path]
    )
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
    """The configuration in force in this instance; it never goes back.

    Attributes:
        current: The latest accepted document.
    """

    current: Config = attrs.field(factory=Config)

    @property
    def is_loaded(self) -> bool:
        """Whether any document has been accepted since the start."""
        return self.current.version > 0

    def accept_if_newer(self, config: Config) -> bool:
        """Accept a document if it is newer than the one in force.

        Returns:
            Whether it was accepted.

        Raises:
            SettingsError: If it is newer and invalid; the old one stays in force.
        """
        if config.version <= self.current.version:
            return False
        check_config(config)
        self.current = config
        return True


def check_config(config: Config) -> None:
    """Check a whole document.

    Raises:
        SettingsError: With every fault and its path.
    """
    problems = list(iter_problems(config))
    if problems:
        raise SettingsError(problems)


def iter_problems(config: Config) -> Iterator[SettingsProblem]:
    """Yield every fault of a document."""
    for name in CHECKS.iter_names():
        yield from CHECKS.get(name)(config)


@CHECKS.register("names")
def _iter_name_problems(config: Config) -> Iterator[SettingsProblem]:
    for kind in FIELD_BY_KIND:
        for name, resource in resources_of(config, kind).items():
            if not NAME.fullmatch(name):
                yield SettingsProblem(f"{kind}.{name}", "the name is malformed")
            if resource.name != name:
                reason = f"is listed under another name than {resource.name!r}"
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
            yield SettingsProblem(f"{path}.team", f"no team is named {key.team!r}")
        if not DIGEST.fullmatch(key.secret_sha256):
            yield SettingsProblem(f"{path}.secret_sha256", "is no SHA-256 in hex")
        other = name_by_digest.setdefault(key.secret_sha256, name)
        if other != name:
            # One secret must name one team, whichever key is found first.
            reason = f"is the secret of key {other!r} too"
            yield SettingsProblem(f"{path}.secret_sha256", reason)


@CHECKS.register("services")
def _iter_service_problems(config: Config) -> Iterator[SettingsProblem]:
    for name, service in config.services_by_name.items():
        if service.team and service.team not in config.teams_by_name:
            reason = f"no team is named {service.team!r}"
            yield SettingsProblem(f"services.{name}.team", reason)
