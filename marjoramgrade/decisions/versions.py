"""Versions of the configuration: only newer ones, whole or not at all."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from marjoramgrade.errors import ConflictError, InvalidInputError
from marjoramgrade.model import Config

FIELD_BY_KIND = {
    "teams": "teams_by_name",
    "keys": "keys_by_name",
    "zones": "zones_by_name",
    "services": "services_by_name",
}
KEPT_WRITE_IDS = 64


@attrs.frozen
class ConfigChange:
    """A change of one resource; see `messages.ChangeConfig`."""

    kind: str
    name: str
    value: Any
    expected_version: int | None = None


class ConfigStore:
    """The newest configuration that this instance knows."""

    def __init__(self) -> None:
        self.current = Config()

    def offer(self, config: Config) -> bool:
        """Take over a newer configuration; an older one changes nothing.

        Returns:
            Whether it is newer.
        """
        if config.version <= self.current.version:
            return False
        self.current = config
        return True


def apply_change(config: Config, change: ConfigChange, write_id: str) -> Config:
    """Return the next configuration.

    A change of another resource since the caller read the configuration does not
    matter; a change of the same resource is a conflict.

    Args:
        config: The newest configuration.
        change: The change of one resource.
        write_id: Id by which a lost answer is resolved.

    Raises:
        ConflictError: If the resource has another version than expected.
        InvalidInputError: If the result would refer to what does not exist.
    """
    current_version = config.version_of(change.kind, change.name)
    by_name: Mapping[str, Any] = getattr(config, FIELD_BY_KIND[change.kind])
    if change.name not in by_name:
        current_version = 0
    expected = change.expected_version
    if expected is not None and expected != current_version:
        raise ConflictError(
            f"{change.kind}/{change.name} has version {current_version}",
            expected_version=expected,
            current_version=current_version,
        )
    changed = dict(by_name)
    if change.value is None:
        changed.pop(change.name, None)
    else:
        changed[change.name] = change.value
    version = config.version + 1
    versions = {**config.version_by_resource, f"{change.kind}/{change.name}": version}
    result = attrs.evolve(
        config,
        version=version,
        version_by_resource=versions,
        recent_write_ids=(*config.recent_write_ids, write_id)[-KEPT_WRITE_IDS:],
        **{FIELD_BY_KIND[change.kind]: changed},
    )
    check_references(result)
    return result


def check_references(config: Config) -> None:
    """Check that every named team exists.

    Raises:
        InvalidInputError: With the path of the first fault.
    """
    for key in config.keys_by_name.values():
        if key.team not in config.teams_by_name:
            raise InvalidInputError(f"keys/{key.name}: there is no team {key.team}")
    for service in config.services_by_name.values():
        if service.team and service.team not in config.teams_by_name:
            raise InvalidInputError(
                f"services/{service.name}: there is no team {service.team}"
            )
