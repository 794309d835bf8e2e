"""Which instances may get work: the platform's list and own observations."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from marjoramgrade.model import Instance, InstanceKind

FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 8_000


@attrs.frozen
class Observation:
    """What this instance has seen of another one.

    Attributes:
        failures: Failed connections in a row.
        failed_ms: Time of the last failure.
        is_leaving: Whether the other instance said that it is leaving.
    """

    failures: int = 0
    failed_ms: int = 0
    is_leaving: bool = False

    @property
    def retry_ms(self) -> int:
        """Time from which a connection may be tried again."""
        if not self.failures:
            return 0
        backoff_ms = FIRST_BACKOFF_MS << min(self.failures - 1, 16)
        return self.failed_ms + min(MAX_BACKOFF_MS, backoff_ms)


@attrs.frozen
class ListChange:
    """What a new list changed.

    Attributes:
        added: Instances that were not known before.
        removed: Instances that the list no longer has.
        leaving: Instances that are leaving and were not before.
    """

    added: tuple[Instance, ...] = ()
    removed: tuple[Instance, ...] = ()
    leaving: tuple[Instance, ...] = ()


@attrs.define
class MemberView:
    """The instances of every kind, as this instance knows them.

    The list lags behind, so a failure that was seen here counts more than the
    list: a failed instance is out of use at once, and comes back only when a
    connection to it worked again. Leaving is never taken back, since ids are
    not reused.

    Attributes:
        listed_ms: Time just before the last list was asked for.
    """

    listed_ms: int = -1
    _instance_by_id: dict[str, Instance] = attrs.field(factory=dict)
    _observation_by_id: dict[str, Observation] = attrs.field(factory=dict)

    def apply_list(self, instances: Iterable[Instance], asked_ms: int) -> ListChange:
        """Take over a list; one that was asked for earlier is ignored.

        Args:
            instances: The whole list.
            asked_ms: Time just before it was asked for.

        Returns:
            What changed.
        """
        if asked_ms < self.listed_ms:
            return ListChange()
        self.listed_ms = asked_ms
        before = self._instance_by_id
        was_leaving = {name for name in before if self.is_leaving(name)}
        after = {instance.instance_id: instance for instance in instances}
        removed = tuple(before[name] for name in before if name not in after)
        for instance in removed:
            self._observation_by_id.pop(instance.instance_id, None)
        for name in was_leaving & after.keys():
            self._observe(name, is_leaving=True)
        self._instance_by_id = after
        return ListChange(
            tuple(after[name] for name in after if name not in before),
            removed,
            tuple(
                after[name]
                for name in after
                if self.is_leaving(name) and name not in was_leaving
            ),
        )

    def get(self, instance_id: str) -> Instance | None:
        """Return an instance of the last list, or None."""
        return self._instance_by_id.get(instance_id)

    def mark_failed(self, instance_id: str, now_ms: int) -> None:
        """Take note of a connection that failed."""
        if instance_id in self._instance_by_id:
            failures = self._observation(instance_id).failures + 1
            self._observe(instance_id, failures=failures, failed_ms=now_ms)

    def mark_responsive(self, instance_id: str, asked_ms: int) -> None:
        """Take note of an answer; one asked for before a failure is ignored.

        Args:
            instance_id: The instance that answered.
            asked_ms: Time just before it was asked.
        """
        known = self._observation(instance_id)
        if known.failures and asked_ms > known.failed_ms:
            self._observe(instance_id, failures=0)

    def mark_leaving(self, instance_id: str) -> None:
        """Take note that an instance said itself that it is leaving."""
        if instance_id in self._instance_by_id:
            self._observe(instance_id, is_leaving=True)

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether an instance is about to go away."""
        instance = self._instance_by_id.get(instance_id)
        is_listed_so = instance is not None and instance.leaving
        return is_listed_so or self._observation(instance_id).is_leaving

    def is_usable(self, instance_id: str) -> bool:
        """Return whether an instance may get new work."""
        if instance_id not in self._instance_by_id or self.is_leaving(instance_id):
            return False
        return self._observation(instance_id).failures == 0

    def may_connect(self, instance_id: str, now_ms: int) -> bool:
        """Return whether a connection to an instance may be tried now.

        An instance that is leaving is still dialled, since its tasks and its
        unacknowledged ends are there until it goes.
        """
        if instance_id not in self._instance_by_id:
            return False
        return now_ms >= self._observation(instance_id).retry_ms

    def usable(self, kind: InstanceKind, zone: str = "") -> tuple[Instance, ...]:
        """Return the instances that may get new work, ordered by id.

        Args:
            kind: What runs there.
            zone: Its zone, or empty for every zone.
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

    def _observe(
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
        registered: The members with a row in the table.
        view: The instances as this instance knows them.
        lapsed_by_member: Whether every lease of a member has certainly lapsed.
    """
    if view.listed_ms < 0:
        return frozenset()
    return frozenset(
        member
        for member in registered
        if view.get(member) is None and lapsed_by_member.get(member, False)
    )
