"""The order in which other instances are asked to relay requests."""

from __future__ import annotations

import itertools
from collections.abc import Mapping

import attrs


@attrs.define
class RelayOrder:
    """Instances by how likely they are to reach the store.

    Neighbours in the order are of different zones where possible, since the instances
    of a zone are cut off together. The instance that responded last is the first, and
    one that does not respond moves to the end, so that instances that have left for
    good do not delay further requests.
    """

    _ids: list[str] = attrs.field(factory=list)

    def set_members(self, zone_by_id: Mapping[str, str]) -> None:
        """Add new members at the end and drop those that are not listed any more."""
        ids_by_zone: dict[str, list[str]] = {}
        for instance_id, zone in zone_by_id.items():
            if instance_id not in self._ids:
                ids_by_zone.setdefault(zone, []).append(instance_id)
        rounds = itertools.zip_longest(*ids_by_zone.values())
        self._ids = [
            *(known for known in self._ids if known in zone_by_id),
            *(new for new in itertools.chain.from_iterable(rounds) if new is not None),
        ]

    def first(self, count: int) -> tuple[str, ...]:
        """Return the ids of the instances to ask next, at most `count`."""
        return tuple(self._ids[:count])

    def move_to_front(self, instance_id: str) -> None:
        """Record that an instance relayed a request."""
        if instance_id in self._ids:
            self._ids.remove(instance_id)
            self._ids.insert(0, instance_id)

    def move_to_end(self, instance_id: str) -> None:
        """Record that an instance did not relay a request."""
        if instance_id in self._ids:
            self._ids.remove(instance_id)
            self._ids.append(instance_id)
