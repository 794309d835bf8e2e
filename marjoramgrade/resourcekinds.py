"""Registry of the configured resource types, by their plural name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import attrs

from marjoramgrade import documents
from marjoramgrade.documents import Document
from marjoramgrade.model import Service, Team, Zone
from marjoramgrade.registry import Registry
from marjoramgrade.structuring import name, register_class

T = TypeVar("T")


@attrs.frozen
class KeySummary:
    """A key as clients see it, without the hash of its secret."""

    name: str
    team: str


register_class(documents.converter, KeySummary, {"name": name(), "team": name()})


@attrs.frozen
class ResourceKind(Generic[T]):
    """A type of resource and its conversion from and to documents.

    Attributes:
        plural: Plural name in URLs and in resource files.
        parse: Converts a document to a resource.
        serialize: Converts a resource to a document.
    """

    plural: str
    parse: Callable[[object], T]
    serialize: Callable[[T], Document]


RESOURCE_KINDS: Registry[ResourceKind[Any]] = Registry("resource type")


def _register(kind: ResourceKind[T]) -> ResourceKind[T]:
    RESOURCE_KINDS.register(kind.plural)(kind)
    return kind


def parse_key_summary(document: object) -> KeySummary:
    """Return the key summary in a document."""
    return documents.parse(KeySummary, document)


TEAMS = _register(
    ResourceKind[Team]("teams", documents.parse_team, documents.serialize_team)
)
KEYS = _register(ResourceKind[KeySummary]("keys", parse_key_summary, attrs.asdict))
ZONES = _register(
    ResourceKind[Zone]("zones", documents.parse_zone, documents.serialize_zone)
)
SERVICES = _register(
    ResourceKind[Service](
        "services", documents.parse_service, documents.serialize_service
    )
)
