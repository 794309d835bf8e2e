"""Weighted dominant resource fairness.

Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource
Types", NSDI 2011: the next task comes from the team whose largest fraction of any
resource, divided by the team's weight, is smallest.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from marjoramgrade.resources import ZERO_RESOURCES, Resources

RESOURCE_FIELDS = ("cpu_millis", "memory_mib", "accelerators", "slots")


def fair_shares(
    total: Resources,
    weight_by_team: Mapping[str, int],
    demand_by_team: Mapping[str, Resources],
) -> dict[str, float]:
    """Return the dominant share that each team is entitled to.

    All shares grow together in proportion to the weights. The share of a team stops
    growing at its demand, or when a resource that it needs is used up (progressive
    filling).

    Args:
        total: The capacity.
        weight_by_team: Weights; a team that is not listed has weight 1.
        demand_by_team: Resources that each team would use on its own.
    """
    wanted = {t: d.dominant_share(total) for t, d in demand_by_team.items()}
    # Lists, not sets: the order of summation must not vary between processes.
    active = [team for team, share in wanted.items() if share > 0]
    weights = {team: weight_by_team.get(team, 1) for team in active}
    # For each resource, the fraction used per unit of dominant share.
    slopes = {
        team: _fractions(demand_by_team[team], total, wanted[team]) for team in active
    }
    shares = dict.fromkeys(demand_by_team, 0.0)
    remaining = [1.0] * len(RESOURCE_FIELDS)
    while active:
        rates = [
            sum(weights[team] * slopes[team][i] for team in active)
            for i in range(len(RESOURCE_FIELDS))
        ]
        growth = min(
            *(max(0.0, remaining[i]) / rate for i, rate in enumerate(rates) if rate),
            *((wanted[team] - shares[team]) / weights[team] for team in active),
        )
        for team in active:
            shares[team] += weights[team] * growth
        remaining = [
            fraction - rate * growth
            for fraction, rate in zip(remaining, rates, strict=True)
        ]
        used_up = [i for i, fraction in enumerate(remaining) if fraction < 1e-9]
        active = [
            team
            for team in active
            if wanted[team] - shares[team] > 1e-9
            and not any(slopes[team][i] for i in used_up)
        ]
    return shares


def _fractions(demand: Resources, total: Resources, dominant: float) -> list[float]:
    pairs = ((getattr(demand, name), getattr(total, name)) for name in RESOURCE_FIELDS)
    return [need / capacity / dominant if capacity else 0.0 for need, capacity in pairs]


class TeamShares:
    """Resource usage and weighted dominant share of each team in one shard."""

    def __init__(self) -> None:
        self._total = ZERO_RESOURCES
        self._weight_by_team: dict[str, int] = {}
        self._usage_by_team: dict[str, Resources] = {}
        # Weighted dominant shares, updated on each change of usage, so that choosing a
        # team compares plain numbers.
        self._weighted_share_by_team: dict[str, float] = {}

    def set_total(self, total: Resources) -> None:
        """Set the total capacity, of which shares are fractions."""
        self._total = total
        for team in self._usage_by_team:
            self._update_weighted_share(team)

    def set_weights(self, weight_by_team: Mapping[str, int]) -> None:
        """Set the weights; a team that is not listed has weight 1."""
        self._weight_by_team = dict(weight_by_team)
        for team in self._usage_by_team:
            self._update_weighted_share(team)

    def charge(self, team: str, amount: Resources) -> None:
        """Add an amount to the usage of a team."""
        self._usage_by_team[team] = self.usage_of(team) + amount
        self._update_weighted_share(team)

    def refund(self, team: str, amount: Resources) -> None:
        """Subtract an amount from the usage of a team."""
        self._usage_by_team[team] = self.usage_of(team) - amount
        self._update_weighted_share(team)

    def usage_of(self, team: str) -> Resources:
        """Return the resources that a team uses."""
        return self._usage_by_team.get(team, ZERO_RESOURCES)

    def weighted_share_of(self, team: str) -> float:
        """Return the dominant share of a team divided by its weight."""
        return self._weighted_share_by_team.get(team, 0.0)

    def mean_weighted_share(self, teams: Iterable[str]) -> float:
        """Return the weighted share of the teams if it were equal for all of them."""
        share = weight = 0.0
        for team in teams:
            team_weight = self._weight_by_team.get(team, 1)
            weight += team_weight
            share += self.weighted_share_of(team) * team_weight
        return share / weight if weight else 0.0

    def excess_of(self, team: str, weighted_share: float) -> float:
        """Return how far a team is above a weighted share, as a dominant share."""
        weight = self._weight_by_team.get(team, 1)
        return weight * (self.weighted_share_of(team) - weighted_share)

    def next_team(self, teams: Iterable[str]) -> str:
        """Return the team that is furthest below its share.

        Args:
            teams: Teams with queued work, at least one.
        """
        share_by_team = self._weighted_share_by_team
        return min(teams, key=lambda team: (share_by_team.get(team, 0.0), team))

    def distance_by_team(
        self, demand_by_team: Mapping[str, Resources]
    ) -> dict[str, float]:
        """Return how far each team is from its share, as a fraction of the capacity.

        Args:
            demand_by_team: Resources that each team uses and waits for.

        Returns:
            The distance by team, positive above the share and negative below it.
        """
        fair = fair_shares(self._total, self._weight_by_team, demand_by_team)
        return {
            team: self.usage_of(team).dominant_share(self._total) - share
            for team, share in fair.items()
        }

    def _update_weighted_share(self, team: str) -> None:
        weight = self._weight_by_team.get(team, 1)
        share = self._usage_by_team[team].dominant_share(self._total)
        self._weighted_share_by_team[team] = share / weight
