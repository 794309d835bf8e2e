"""A shard's grants: its parts of the upper limits of teams."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from marjoramgrade.decisions import grants
from marjoramgrade.decisions.grants import (
    GrantsRow,
    combine,
    limited_part,
    positive_part,
)
from marjoramgrade.resources import ZERO_RESOURCES, Resources


def choose_donor(
    wanted: Resources, unused_by_shard: Mapping[str, Resources]
) -> str | None:
    """Return the shard to ask to return a part of a team's grant.

    Args:
        wanted: Amount that another shard lacks.
        unused_by_shard: Unused amount of each other shard, from its summary.

    Returns:
        The shard that can return the largest part, or None if no shard can.
    """
    part_by_shard = {
        shard: combine(min, wanted, unused).dominant_share(wanted)
        for shard, unused in sorted(unused_by_shard.items())
    }
    donor = max(part_by_shard, key=lambda shard: part_by_shard[shard], default=None)
    return donor if donor is not None and part_by_shard[donor] > 0 else None


@attrs.define
class TeamGrant:
    """One team's grant in one shard.

    Attributes:
        row: Latest grants row known to this shard.
        version: Version of the row in the table.
        reserved: Amount that the team's tasks of this shard use.
        returning: Amount being returned; it is not used again until a later row
            shows whether the write took effect.
        is_pending: Whether a write based on `version` may still take effect. Its
            check fails on any later version, so a later row resolves it.
    """

    row: GrantsRow
    version: int
    reserved: Resources = ZERO_RESOURCES
    returning: Resources = ZERO_RESOURCES
    is_pending: bool = False

    def usable(self, shard: str) -> Resources:
        """Return the amount that the team may use in a shard."""
        amount = self.row.amount(shard) - self.returning
        return combine(
            lambda value, bound: value if bound else grants.UNLIMITED,
            amount,
            self.row.limit,
        )


@attrs.define
class HeldGrants:
    """The grants of all teams in one shard.

    A team may use a resource only once this owner's claim is in the row, since a
    transaction of an earlier owner may take effect until then.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch of this owner.
    """

    shard: str
    epoch: int
    _grant_by_team: dict[str, TeamGrant] = attrs.field(factory=dict)
    _running_by_team: dict[str, Resources] = attrs.field(factory=dict)

    def adopt(self, row: GrantsRow, version: int) -> None:
        """Adopt a row that was read or written, if it is newer than the known row.

        A row of the same version does not resolve a pending write that is based
        on it; that write may still take effect.
        """
        known = self._grant_by_team.get(row.team)
        if known is None:
            running = self._running_by_team.pop(row.team, ZERO_RESOURCES)
            self._grant_by_team[row.team] = TeamGrant(row, version, running)
        elif version > known.version:
            known.row = row
            known.version = version
            known.returning = ZERO_RESOURCES
            known.is_pending = False

    def version(self, team: str) -> int:
        """Return the version that a write of the team's row must check, or zero."""
        grant = self._grant_by_team.get(team)
        return 0 if grant is None else grant.version

    def reserve(self, team: str, amount: Resources) -> bool:
        """Reserve an amount for a task, and return whether the grant allows it."""
        grant = self._grant_by_team.get(team)
        if grant is None or not self._is_claimed(grant):
            return False
        if not (grant.reserved + amount).fits(grant.usable(self.shard)):
            return False
        grant.reserved += amount
        return True

    def reserve_running(self, team: str, amount: Resources) -> None:
        """Reserve the amount of a task reported as running, even beyond the grant."""
        grant = self._grant_by_team.get(team)
        if grant is not None:
            grant.reserved += amount
        else:
            running = self._running_by_team.get(team, ZERO_RESOURCES)
            self._running_by_team[team] = running + amount

    def release(self, team: str, amount: Resources) -> None:
        """Release the amount of a task that ended.

        Raises:
            ValueError: If more is released than was reserved.
        """
        grant = self._grant_by_team.get(team)
        reserved_amount = self._running_by_team.get(team, ZERO_RESOURCES)
        if grant is not None:
            reserved_amount = grant.reserved
        if not amount.fits(reserved_amount):
            raise ValueError(f"team {team!r} has not reserved {amount}")
        if grant is not None:
            grant.reserved -= amount
        else:
            self._running_by_team[team] = reserved_amount - amount

    def set_reserved(self, team: str, amount: Resources) -> None:
        """Replace the reserved amount, for a caller with its own accounting."""
        grant = self._grant_by_team.get(team)
        if grant is not None:
            grant.reserved = amount
        else:
            self._running_by_team[team] = amount

    def is_pending(self, team: str) -> bool:
        """Return whether a write of the team's row may still take effect."""
        grant = self._grant_by_team.get(team)
        return grant is not None and grant.is_pending

    def row(self, team: str) -> GrantsRow | None:
        """Return the latest known row, or None if none was observed."""
        grant = self._grant_by_team.get(team)
        return None if grant is None else grant.row

    def headroom(self, team: str) -> Resources:
        """Return the amount that the team may still reserve in this shard."""
        grant = self._grant_by_team.get(team)
        if grant is None or not self._is_claimed(grant):
            return ZERO_RESOURCES
        return positive_part(grant.usable(self.shard) - grant.reserved)

    def wanted(self, team: str, demand: Resources) -> Resources:
        """Return the amount that the grant lacks for running and waiting tasks.

        Args:
            team: Name of the team.
            demand: Total amount that its waiting tasks need.
        """
        grant = self._grant_by_team.get(team)
        if grant is None:
            return ZERO_RESOURCES
        lacking = grant.reserved + demand - grant.usable(self.shard)
        return limited_part(positive_part(lacking), grant.row.limit)

    def excess(self, team: str) -> Resources:
        """Return the amount by which running tasks exceed the grant.

        The newest tasks of the team are stopped until there is no excess.
        """
        return self.wanted(team, ZERO_RESOURCES)

    def begin_claim(self, team: str) -> GrantsRow | None:
        """Return the row that claims the grant for this owner.

        Returns:
            The row, or None if no row was observed, the grant is already claimed or
            another write of the row is pending.
        """
        grant = self._writable_grant(team)
        if grant is None or self._is_claimed(grant):
            return None
        return self._mark_pending(
            grant, grants.claim(grant.row, self.shard, self.epoch)
        )

    def begin_allocate(self, team: str, wanted: Resources) -> GrantsRow | None:
        """Return the row to write to allocate more of the limit to this shard.

        Returns:
            The row, or None if nothing can be allocated, the grant is not claimed
            or another write of the row is pending.
        """
        grant = self._writable_grant(team)
        if grant is None or not self._is_claimed(grant):
            return None
        row = grants.allocate(grant.row, self.shard, self.epoch, wanted)
        return None if row == grant.row else self._mark_pending(grant, row)

    def begin_return(self, team: str, amount: Resources) -> GrantsRow | None:
        """Stop using a part of the grant and return the row to write to give it back.

        Must not be called before a takeover is reconciled: tasks on workers that
        have not reported yet use the grant too.

        Returns:
            The row, or None if nothing is unused, the grant is not claimed or
            another write of the row is pending.
        """
        grant = self._writable_grant(team)
        if grant is None or not self._is_claimed(grant):
            return None
        unused = combine(min, positive_part(amount), self.headroom(team))
        unused = limited_part(unused, grant.row.limit)
        if unused == ZERO_RESOURCES:
            return None
        grant.returning = unused
        row = grants.return_unused(grant.row, self.shard, self.epoch, unused)
        return self._mark_pending(grant, row)

    def begin_confirm(self, team: str) -> GrantsRow | None:
        """Return the row to write to confirm a lowered amount.

        Must not be called before a takeover is reconciled.

        Returns:
            The row, or None if no confirmation is required, running tasks exceed
            the amount, the grant is not claimed or another write of the row is
            pending.
        """
        grant = self._writable_grant(team)
        if grant is None or not self._is_claimed(grant):
            return None
        is_required = self.shard in grant.row.unconfirmed_by_shard
        if not is_required or self.excess(team) != ZERO_RESOURCES:
            return None
        return self._mark_pending(
            grant, grants.confirm(grant.row, self.shard, self.epoch)
        )

    def cancel(self, team: str) -> None:
        """Discard the pending write, which certainly was not sent."""
        grant = self._grant_by_team.get(team)
        if grant is not None:
            grant.returning = ZERO_RESOURCES
            grant.is_pending = False

    def _writable_grant(self, team: str) -> TeamGrant | None:
        grant = self._grant_by_team.get(team)
        return None if grant is None or grant.is_pending else grant

    def _is_claimed(self, grant: TeamGrant) -> bool:
        return grant.row.epoch_by_shard.get(self.shard) == self.epoch

    def _mark_pending(self, grant: TeamGrant, row: GrantsRow) -> GrantsRow:
        grant.is_pending = True
        return row
