"""Messages about the configuration."""

from __future__ import annotations

from typing import Any

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.model import Config, Key


@attrs.frozen
class ConfigConfirmed(Message[None]):
    """The configuration in force and until when it is known to be current.

    Attributes:
        config: The configuration.
        fresh_until_ms: End of that knowledge on this instance's clock.
        row_version: Commit number of the table's row.
        read_version: Every change up to this commit number is in `config`.
    """

    config: Config
    fresh_until_ms: int
    row_version: int = 0
    read_version: int = 0


@attrs.frozen
class GetConfig(Message[ConfigConfirmed]):
    """Asks for the configuration in force."""


@attrs.frozen
class ChangeConfig(Message[Config]):
    """Asks for a change of one resource of the configuration.

    Attributes:
        kind: Plural name of the resource type, for example `teams`.
        name: Name of the resource.
        value: The new resource, or None to delete it.
        expected_version: Version of the resource that the change is based on,
            zero if it must not exist, None for an unconditional change.
    """

    kind: str
    name: str
    value: Any
    expected_version: int | None = None


@attrs.frozen
class KeyGranted:
    """A key that was granted; the only time its secret is shown."""

    key: Key
    secret: str
    version: int


@attrs.frozen
class GrantKey(Message[KeyGranted]):
    """Asks for a new key of a team."""

    key: Key
    secret: str
    expected_version: int | None = None


@attrs.frozen
class ConfigPushed(Message[None]):
    """Tells a peer that a newer configuration is in the table."""

    version: int
