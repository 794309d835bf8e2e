"""What the teams of one shard may run under their upper limits."""

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
    """Return the shard that is asked to give back grant of a team.

    Args:
        wanted: What another shard lacks.
        unused_by_shard: What each other shard can spare, from their summaries.

    Returns:
        The shard that can spare the largest part, or None.
    """
    part_by_shard = {
        shard: combine(min, wanted, unused).dominant_share(wanted)
        for shard, unused in sorted(unused_by_shard.items())
    }
    best = max(part_by_shard, key=lambda shard: part_by_shard[shard], default=None)
    return best if best is not None and part_by_shard[best] > 0 else None


@attrs.define
class TeamGrant:
    """One team's grant in one shard.

    Attributes:
        row: The grants row that is in force here.
        version: Its version in the table.
        reserved: What the team's tasks of this shard use.
        returning: What is being given back; it is not used again until a later
            row shows what became of it.
        is_pending: Whether a write based on `version` may take effect. Its
            check fails on any later version, so a later row resolves it.
    """

    row: GrantsRow
    version: int
    reserved: Resources = ZERO_RESOURCES
    returning: Resources = ZERO_RESOURCES
    is_pending: bool = False

    def usable(self, shard: str) -> Resources:
        """Return what the team may use in a shard."""
        amount = self.row.amount(shard) - self.returning
        return combine(
            lambda value, bound: value if bound else grants.UNLIMITED,
            amount,
            self.row.limit,
        )


@attrs.define
class HeldGrants:
    """The grants of every team in one shard.

    A team may use a resource only after this owner's claim is in the row, since
    a transaction of an earlier owner may take effect before that.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch of this owner.
    """

    shard: str
    epoch: int
    _grant_by_team: dict[str, TeamGrant] = attrs.field(factory=dict)
    _running_by_team: dict[str, Resources] = attrs.field(factory=dict)

    def observe(self, row: GrantsRow, version: int) -> None:
        """Take over a row that was read or written; older rows are ignored.

        A row of the same version says nothing about a write that was sent on
        the basis of it, which may still take effect.
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
        """Reserve for a start, if the grant allows it."""
        grant = self._grant_by_team.get(team)
        if grant is None or not self._is_claimed(grant):
            return False
        if not (grant.reserved + amount).fits(grant.usable(self.shard)):
            return False
        grant.reserved += amount
        return True

    def reserve_running(self, team: str, amount: Resources) -> None:
        """Count a task that a worker reports as running, whatever the grant."""
        grant = self._grant_by_team.get(team)
        if grant is not None:
            grant.reserved += amount
        else:
            running = self._running_by_team.get(team, ZERO_RESOURCES)
            self._running_by_team[team] = running + amount

    def release(self, team: str, amount: Resources) -> None:
        """Give up the reservation of a task that ended.

        Raises:
            ValueError: If more is released than was reserved.
        """
        grant = self._grant_by_team.get(team)
        before = self._running_by_team.get(team, ZERO_RESOURCES)
        if grant is not None:
            before = grant.reserved
        if not amount.fits(before):
            raise ValueError(f"team {team!r} has not reserved {amount}")
        if grant is not None:
            grant.reserved -= amount
        else:
            self._running_by_team[team] = before - amount

    def set_reserved(self, team: str, amount: Resources) -> None:
        """Take over what a caller that keeps its own count says is reserved."""
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
        """Return the row in force here, or None if none was observed."""
        grant = self._grant_by_team.get(team)
        return None if grant is None else grant.row

    def headroom(self, team: str) -> Resources:
        """Return what the team may still start here."""
        grant = self._grant_by_team.get(team)
        if grant is None or not self._is_claimed(grant):
            return ZERO_RESOURCES
        return positive_part(grant.usable(self.shard) - grant.reserved)

    def wanted(self, team: str, demand: Resources) -> Resources:
        """Return what the grant lacks for running and waiting tasks.

        Args:
            team: The team.
            demand: What its waiting tasks ask for.
        """
        grant = self._grant_by_team.get(team)
        if grant is None:
            return ZERO_RESOURCES
        lacking = grant.reserved + demand - grant.usable(self.shard)
        return limited_part(positive_part(lacking), grant.row.limit)

    def excess(self, team: str) -> Resources:
        """Return by how much running tasks are above the grant.

        The newest tasks of the team are stopped until nothing is left.
        """
        return self.wanted(team, ZERO_RESOURCES)

    def begin_claim(self, team: str) -> GrantsRow | None:
        """Return the row that claims the grant for this owner, or None."""
        grant = self._idle_grant(team)
        if grant is None or self._is_claimed(grant):
            return None
        return self._begin(grant, grants.claim(grant.row, self.shard, self.epoch))

    def begin_allocate(self, team: str, wanted: Resources) -> GrantsRow | None:
        """Return the row to write to take unallocated grant.

        Returns:
            The row, or None if there is nothing to take or another write of the
            row is pending.
        """
        grant = self._idle_grant(team)
        if grant is None or not self._is_claimed(grant):
            return None
        row = grants.allocate(grant.row, self.shard, self.epoch, wanted)
        return None if row == grant.row else self._begin(grant, row)

    def begin_return(self, team: str, amount: Resources) -> GrantsRow | None:
        """Subtract unused grant and return the row to write to give it back.

        It must not be called before a takeover is reconciled: tasks on workers
        not heard of use the grant too.

        Returns:
            The row, or None if nothing is unused or another write is pending.
        """
        grant = self._idle_grant(team)
        if grant is None or not self._is_claimed(grant):
            return None
        unused = combine(min, positive_part(amount), self.headroom(team))
        unused = limited_part(unused, grant.row.limit)
        if unused == ZERO_RESOURCES:
            return None
        grant.returning = unused
        row = grants.return_unused(grant.row, self.shard, self.epoch, unused)
        return self._begin(grant, row)

    def begin_confirm(self, team: str) -> GrantsRow | None:
        """Return the row that confirms a lowered amount, or None.

        It must not be called before a takeover is reconciled.

        Returns:
            The row, or None if no confirmation is asked for, running tasks are
            above the amount or another write is pending.
        """
        grant = self._idle_grant(team)
        if grant is None or not self._is_claimed(grant):
            return None
        is_asked = self.shard in grant.row.unconfirmed_by_shard
        if not is_asked or self.excess(team) != ZERO_RESOURCES:
            return None
        return self._begin(grant, grants.confirm(grant.row, self.shard, self.epoch))

    def cancel(self, team: str) -> None:
        """Take note that the pending write certainly did not leave."""
        grant = self._grant_by_team.get(team)
        if grant is not None:
            grant.returning = ZERO_RESOURCES
            grant.is_pending = False

    def _idle_grant(self, team: str) -> TeamGrant | None:
        grant = self._grant_by_team.get(team)
        return None if grant is None or grant.is_pending else grant

    def _is_claimed(self, grant: TeamGrant) -> bool:
        return grant.row.epoch_by_shard.get(self.shard) == self.epoch

    def _begin(self, grant: TeamGrant, row: GrantsRow) -> GrantsRow:
        grant.is_pending = True
        return row
