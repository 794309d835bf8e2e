"""The grants row of a team: how its limit is divided among the shards.

Escrow method: O'Neil, "The Escrow Transactional Method", TODS 1986. All
functions return a new row, which is written only if the old row is still current.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import attrs

from marjoramgrade.errors import NotOwnerError
from marjoramgrade.resources import ZERO_RESOURCES, Resources

# Represents an amount without a limit.
UNLIMITED = 1 << 62


def combine(
    function: Callable[[int, int], int], left: Resources, right: Resources
) -> Resources:
    """Apply a function to the two amounts of each resource and return the results."""
    return Resources(
        function(left.cpu_millis, right.cpu_millis),
        function(left.memory_mib, right.memory_mib),
        function(left.accelerators, right.accelerators),
        function(left.slots, right.slots),
    )


def positive_part(amount: Resources) -> Resources:
    """Return the amounts with negative ones replaced by zero."""
    return combine(max, amount, ZERO_RESOURCES)


def bounds_of(limit: Resources) -> Resources:
    """Return a team's limit with `UNLIMITED` in place of zero."""
    return combine(lambda amount, _: amount or UNLIMITED, limit, ZERO_RESOURCES)


def limited_part(amount: Resources, limit: Resources) -> Resources:
    """Return the amounts of limited resources, with zero for unlimited ones."""
    return combine(lambda value, bound: value if bound else 0, amount, limit)


def _total(amounts: Iterable[Resources]) -> Resources:
    return sum(amounts, ZERO_RESOURCES)


@attrs.frozen
class GrantsRow:
    """How the limit of a team is divided among the shards.

    Attributes:
        team: Name of the team.
        limit: Upper limit across the fleet; a zero amount means no limit.
        amount_by_shard: Amount that each shard may use; the sum is within the limit.
        unconfirmed_by_shard: Larger amount that a shard may still use because its
            owner has not confirmed that it applied a lowered limit. No other
            shard is granted the difference before the owner confirms.
        epoch_by_shard: Epoch of the owner that claimed the shard's grant;
            transactions that an earlier owner sent fail from then on.
    """

    team: str
    limit: Resources = ZERO_RESOURCES
    amount_by_shard: Mapping[str, Resources] = attrs.field(factory=dict)
    unconfirmed_by_shard: Mapping[str, Resources] = attrs.field(factory=dict)
    epoch_by_shard: Mapping[str, int] = attrs.field(factory=dict)

    def amount(self, shard: str) -> Resources:
        """Return the amount that a shard may use."""
        return self.amount_by_shard.get(shard, ZERO_RESOURCES)

    def held(self, shard: str) -> Resources:
        """Return the largest amount that the owner of a shard may consider granted."""
        unconfirmed = self.unconfirmed_by_shard.get(shard, ZERO_RESOURCES)
        return combine(max, self.amount(shard), unconfirmed)

    @property
    def unallocated(self) -> Resources:
        """Part of the limit that no shard holds; zero for unlimited resources."""
        shards = {*self.amount_by_shard, *self.unconfirmed_by_shard}
        held = _total(self.held(shard) for shard in shards)
        return limited_part(positive_part(self.limit - held), self.limit)


def initial_row(team: str, limit: Resources, shards: Iterable[str]) -> GrantsRow:
    """Return the initial row of a team.

    Half of the limit is divided evenly, so that every shard can start work at
    once; the other half is left for the shards that need more.
    """
    names = sorted(shards)
    part = limit.scaled(1, 2 * len(names)) if names else ZERO_RESOURCES
    return GrantsRow(team, limit, dict.fromkeys(names, part))


def claim(row: GrantsRow, shard: str, epoch: int) -> GrantsRow:
    """Return the row after a new owner of a shard claimed its grant.

    Raises:
        NotOwnerError: If a later owner has claimed the grant.
    """
    _check_epoch(row, shard, epoch)
    amounts = {shard: ZERO_RESOURCES, **row.amount_by_shard}
    epochs = {**row.epoch_by_shard, shard: epoch}
    return attrs.evolve(row, amount_by_shard=amounts, epoch_by_shard=epochs)


def allocate(row: GrantsRow, shard: str, epoch: int, wanted: Resources) -> GrantsRow:
    """Return the row after granting a shard up to `wanted` of the unallocated part.

    Raises:
        NotOwnerError: If a later owner has claimed the grant.
    """
    _check_epoch(row, shard, epoch)
    taken = combine(min, positive_part(wanted), row.unallocated)
    return _with_amount(row, shard, row.amount(shard) + taken)


def return_unused(
    row: GrantsRow, shard: str, epoch: int, amount: Resources
) -> GrantsRow:
    """Return the row after a shard returned an amount that it does not use.

    Raises:
        NotOwnerError: If a later owner has claimed the grant.
    """
    _check_epoch(row, shard, epoch)
    remaining = positive_part(row.amount(shard) - positive_part(amount))
    return _with_amount(row, shard, remaining)


def confirm(row: GrantsRow, shard: str, epoch: int) -> GrantsRow:
    """Return the row after a shard confirmed that it applied its lowered amount.

    Raises:
        NotOwnerError: If a later owner has claimed the grant.
    """
    _check_epoch(row, shard, epoch)
    unconfirmed = dict(row.unconfirmed_by_shard)
    unconfirmed.pop(shard, None)
    return attrs.evolve(row, unconfirmed_by_shard=unconfirmed)


def with_limit(row: GrantsRow, limit: Resources) -> GrantsRow:
    """Return the row after operators changed the limit.

    Where the sum of the amounts exceeds the new limit, all shrink in proportion.
    A resource that had no limit before is divided evenly.
    """
    shards = sorted(row.amount_by_shard)
    amounts = {shard: row.amount(shard) for shard in shards}
    if shards:
        even_part = limit.scaled(1, len(shards))
        total = _total(amounts.values())
        for shard in shards:
            shrunk = _shrink(amounts[shard], limit, total)
            amounts[shard] = _choose(row.limit, shrunk, even_part)
    unconfirmed = {}
    for shard in shards:
        previous = _choose(row.limit, row.held(shard), bounds_of(ZERO_RESOURCES))
        previous = limited_part(previous, limit)
        if not previous.fits(amounts[shard]):
            unconfirmed[shard] = previous
    return attrs.evolve(
        row,
        limit=limit,
        amount_by_shard=amounts,
        unconfirmed_by_shard=unconfirmed,
    )


def _shrink(amount: Resources, limit: Resources, total: Resources) -> Resources:
    triples = zip(*map(attrs.astuple, (amount, limit, total)), strict=True)
    return Resources(
        *(
            value * bound // allocated if bound and allocated > bound else value
            for value, bound, allocated in triples
        )
    )


def _choose(limit: Resources, limited: Resources, unlimited: Resources) -> Resources:
    """Return the amounts of `limited` where a limit applies, else of `unlimited`."""
    triples = zip(*map(attrs.astuple, (limit, limited, unlimited)), strict=True)
    return Resources(
        *(
            limited_amount if bound else unlimited_amount
            for bound, limited_amount, unlimited_amount in triples
        )
    )


def _with_amount(row: GrantsRow, shard: str, amount: Resources) -> GrantsRow:
    amounts = {**row.amount_by_shard, shard: amount}
    return attrs.evolve(row, amount_by_shard=amounts)


def _check_epoch(row: GrantsRow, shard: str, epoch: int) -> None:
    if epoch < row.epoch_by_shard.get(shard, 0):
        raise NotOwnerError(f"{shard} has an owner with a later epoch", team=row.team)
