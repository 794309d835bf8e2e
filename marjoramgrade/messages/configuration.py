"""Messages about the configuration."""

from __future__ import annotations

from typing import Any

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.model import Config, Key


@attrs.frozen
class ConfigConfirmed(Message[None]):
    """The active configuration and the time until which it is known to be current.

    Attributes:
        config: The configuration.
        fresh_until_ms: Time on this instance's clock until which `config` is known to
            be current.
        row_version: Commit number of the row that stores the configuration.
        read_version: `config` includes every change up to this commit number.
    """

    config: Config
    fresh_until_ms: int
    row_version: int = 0
    read_version: int = 0


@attrs.frozen
class GetConfig(Message[ConfigConfirmed]):
    """Asks for the active configuration."""


@attrs.frozen
class ChangeConfig(Message[Config]):
    """Asks to create, replace or delete one resource of the configuration.

    Attributes:
        kind: Plural name of the resource type, for example `teams`.
        name: Name of the resource.
        value: The new resource, or None to delete it.
        expected_version: Version of the resource that the change is based on; zero if
            the resource must not exist, None for an unconditional change.
    """

    kind: str
    name: str
    value: Any
    expected_version: int | None = None


@attrs.frozen
class KeyGranted:
    """A newly granted key; its secret is returned only here.

    Attributes:
        key: The key, with the hash of its secret.
        secret: The secret.
        version: Version of the configuration that contains the key.
    """

    key: Key
    secret: str
    version: int


@attrs.frozen
class GrantKey(Message[KeyGranted]):
    """Asks to create a key of a team.

    Attributes:
        key: The key, with the hash of its secret.
        secret: The secret, for the reply.
        expected_version: As in `ChangeConfig`.
    """

    key: Key
    secret: str
    expected_version: int | None = None


@attrs.frozen
class ConfigPushed(Message[None]):
    """Tells a peer that the table holds the configuration of this version."""

    version: int
