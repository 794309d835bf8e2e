"""Selects usable instances by the platform's list and by observed failures."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from marjoramgrade.model import Instance, InstanceKind

FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 8_000


@attrs.frozen
class Observation:
    """State of another instance as observed by this one.

    Attributes:
        failures: Number of consecutive failed connections.
        failed_ms: Time of the last failure.
        is_leaving: Whether the other instance announced that it is leaving.
    """

    failures: int = 0
    failed_ms: int = 0
    is_leaving: bool = False

    @property
    def retry_ms(self) -> int:
        """Earliest time of the next connection attempt."""
        if not self.failures:
            return 0
        backoff_ms = FIRST_BACKOFF_MS << min(self.failures - 1, 16)
        return self.failed_ms + min(MAX_BACKOFF_MS, backoff_ms)


@attrs.frozen
class ListChange:
    """Differences between a new list of instances and the previous one.

    Attributes:
        added: Instances that the previous list did not contain.
        removed: Instances that the new list no longer contains.
        leaving: Instances that are leaving and were not known to be leaving before.
    """

    added: tuple[Instance, ...] = ()
    removed: tuple[Instance, ...] = ()
    leaving: tuple[Instance, ...] = ()


@attrs.define
class MemberView:
    """This instance's view of the instances of all kinds.

    The platform's list lags behind, so failures observed here override it: a
    failed instance is unusable immediately, and becomes usable again only after
    a successful connection. Leaving is irreversible, since ids are not reused.

    Attributes:
        listed_ms: Time just before the last list was requested, or -1 before the
            first list.
    """

    listed_ms: int = -1
    _instance_by_id: dict[str, Instance] = attrs.field(factory=dict)
    _observation_by_id: dict[str, Observation] = attrs.field(factory=dict)

    def apply_list(self, instances: Iterable[Instance], asked_ms: int) -> ListChange:
        """Apply a list unless a later request's list has already been applied.

        Args:
            instances: The complete list.
            asked_ms: Time just before the list was requested.

        Returns:
            The differences from the previous list.
        """
        if asked_ms < self.listed_ms:
            return ListChange()
        self.listed_ms = asked_ms
        before = self._instance_by_id
        leaving_before = {name for name in before if self.is_leaving(name)}
        after = {instance.instance_id: instance for instance in instances}
        removed = tuple(before[name] for name in before if name not in after)
        for instance in removed:
            self._observation_by_id.pop(instance.instance_id, None)
        for name in leaving_before & after.keys():
            self._update_observation(name, is_leaving=True)
        self._instance_by_id = after
        return ListChange(
            tuple(after[name] for name in after if name not in before),
            removed,
            tuple(
                after[name]
                for name in after
                if self.is_leaving(name) and name not in leaving_before
            ),
        )

    def get(self, instance_id: str) -> Instance | None:
        """Return an instance of the last list, or None."""
        return self._instance_by_id.get(instance_id)

    def mark_failed(self, instance_id: str, now_ms: int) -> None:
        """Record a failed connection."""
        if instance_id in self._instance_by_id:
            failures = self._observation(instance_id).failures + 1
            self._update_observation(instance_id, failures=failures, failed_ms=now_ms)

    def mark_responsive(self, instance_id: str, asked_ms: int) -> None:
        """Record a response unless its request was sent before the last failure.

        Args:
            instance_id: The instance that responded.
            asked_ms: Time just before the request was sent.
        """
        known = self._observation(instance_id)
        if known.failures and asked_ms > known.failed_ms:
            self._update_observation(instance_id, failures=0)

    def mark_leaving(self, instance_id: str) -> None:
        """Record that an instance announced that it is leaving."""
        if instance_id in self._instance_by_id:
            self._update_observation(instance_id, is_leaving=True)

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether an instance is listed as leaving or has announced it."""
        instance = self._instance_by_id.get(instance_id)
        is_listed_as_leaving = instance is not None and instance.leaving
        return is_listed_as_leaving or self._observation(instance_id).is_leaving

    def is_usable(self, instance_id: str) -> bool:
        """Return whether an instance may get new work."""
        if instance_id not in self._instance_by_id or self.is_leaving(instance_id):
            return False
        return self._observation(instance_id).failures == 0

    def may_connect(self, instance_id: str, now_ms: int) -> bool:
        """Return whether a connection to an instance may be attempted now.

        This includes leaving instances, which have running tasks and
        unacknowledged ends of tasks until they stop.
        """
        if instance_id not in self._instance_by_id:
            return False
        return now_ms >= self._observation(instance_id).retry_ms

    def usable(self, kind: InstanceKind, zone: str = "") -> tuple[Instance, ...]:
        """Return the instances that may get new work, ordered by id.

        Args:
            kind: Kind of the instances.
            zone: Zone of the instances, or empty for all zones.
        """
        return tuple(
            instance
            for instance in self.listed(kind, zone)
            if self.is_usable(instance.instance_id)
        )

    def listed(self, kind: InstanceKind, zone: str = "") -> tuple[Instance, ...]:
        """Return all instances of the last list, ordered by id."""
        return tuple(
            instance
            for _, instance in sorted(self._instance_by_id.items())
            if instance.kind is kind and zone in ("", instance.zone)
        )

    def _observation(self, instance_id: str) -> Observation:
        return self._observation_by_id.get(instance_id, Observation())

    def _update_observation(
        self,
        instance_id: str,
        *,
        failures: int | None = None,
        failed_ms: int | None = None,
        is_leaving: bool | None = None,
    ) -> None:
        known = self._observation(instance_id)
        self._observation_by_id[instance_id] = Observation(
            known.failures if failures is None else failures,
            known.failed_ms if failed_ms is None else failed_ms,
            known.is_leaving if is_leaving is None else is_leaving,
        )


def removable_members(
    registered: Iterable[str],
    view: MemberView,
    lapsed_by_member: Mapping[str, bool],
) -> frozenset[str]:
    """Return the members whose rows may be removed.

    Args:
        registered: Ids of the members that have a row in the table.
        view: This instance's view of the instances.
        lapsed_by_member: Whether all leases of a member have certainly lapsed,
            by member id.
    """
    if view.listed_ms < 0:
        return frozenset()
    return frozenset(
        member
        for member in registered
        if view.get(member) is None and lapsed_by_member.get(member, False)
    )
