"""Rules for when a joining member may change shared state.

An owner that relies on promises (time-limited guarantees of its peers) requests
them only from the members that it knows. A joining member, whose row has just been
registered, may be unknown to the owner. It must therefore be acknowledged by one of
those members, which then refuses a promise to any requester that does not list the
joining member.
"""

from __future__ import annotations

from collections.abc import Iterable

from marjoramgrade.decisions.ownership import ShardRow


def may_change_config(
    instance_id: str, registered: Iterable[str], acknowledged_by: Iterable[str]
) -> bool:
    """Return whether the joining rule lets an instance change the configuration.

    Args:
        instance_id: This instance.
        registered: The members whose rows were first written before the row of
            this instance. If later ones were included, two instances that start
            at the same time would wait for each other.
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
    """Return whether the joining rule lets an instance take over a shard.

    Only the owner and the standbys on the row give promises for the shard, so the
    acknowledgement must come from one of them. A released shard has no holder.

    Args:
        instance_id: This instance.
        row: The shard row that the takeover is based on.
        registered: The registered members, read no earlier than the row.
        acknowledged_by: The members that have acknowledged this instance.
    """
    if not row.owner or instance_id in {row.owner, *row.guardians}:
        return True
    granters = {row.owner, *row.guardians}
    if granters & frozenset(acknowledged_by):
        return True
    return not granters & frozenset(registered)
