"""When an instance that has just registered may change shared state.

An owner that relies on promises asks only the members that it knows of. A
newcomer is unknown to it until one of them has acknowledged the newcomer; that
member then refuses a promise to whoever does not ask the newcomer too.
"""

from __future__ import annotations

from collections.abc import Iterable

from marjoramgrade.decisions.ownership import ShardRow


def may_change_config(
    instance_id: str, registered: Iterable[str], acknowledged_by: Iterable[str]
) -> bool:
    """Return whether the newcomer rule lets an instance change the configuration.

    Args:
        instance_id: This instance.
        registered: The members whose rows were first written before the row of
            this instance; counting later ones would let two that start at once
            wait for each other.
        acknowledged_by: The members that have acknowledged this instance.
    """
    others = frozenset(registered) - {instance_id}
    return not others or bool(others & frozenset(acknowledged_by))


def may_take_over_shard(
    instance_id: str,
    row: ShardRow,
    registered: Iterable[str],
    acknowledged_by: Iterable[str],
) -> bool:
    """Return whether the newcomer rule lets an instance take over a shard.

    Only the owner and the guardians on the row make promises for the shard, so
    only one of them can acknowledge a newcomer for it. A released shard is held
    by nobody.

    Args:
        instance_id: This instance.
        row: The shard row that the takeover is based on.
        registered: The registered members, read no earlier than the row.
        acknowledged_by: The members that have acknowledged this instance.
    """
    if not row.owner or instance_id in {row.owner, *row.guardians}:
        return True
    promisers = {row.owner, *row.guardians}
    if promisers & frozenset(acknowledged_by):
        return True
    return not promisers & frozenset(registered)
