"""Weighted dominant resource fairness.

Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource
Types", NSDI 2011: the next task comes from the team whose largest fraction of any
resource, divided by the team's weight, is smallest.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from marjoramgrade.resources import NOTHING, Resources


class ShareBook:
    """What each team uses in one shard, as a weighted dominant share."""

    def __init__(self) -> None:
        self._total = NOTHING
        self._weight_by_team: dict[str, int] = {}
        self._use_by_team: dict[str, Resources] = {}
        # Kept with each change of use, so that a choice compares plain numbers.
        self._level_by_team: dict[str, float] = {}

    def set_total(self, total: Resources) -> None:
        """Set the capacity of which shares are fractions."""
        self._total = total
        for team in self._use_by_team:
            self._update_level(team)

    def set_weights(self, weight_by_team: Mapping[str, int]) -> None:
        """Set the weights; a team that is not named weighs 1."""
        self._weight_by_team = dict(weight_by_team)
        for team in self._use_by_team:
            self._update_level(team)

    def charge(self, team: str, amount: Resources) -> None:
        """Count an amount as used."""
        self._use_by_team[team] = self.use_of(team) + amount
        self._update_level(team)

    def refund(self, team: str, amount: Resources) -> None:
        """Count an amount as no longer used."""
        self._use_by_team[team] = self.use_of(team) - amount
        self._update_level(team)

    def use_of(self, team: str) -> Resources:
        """Return what a team uses."""
        return self._use_by_team.get(team, NOTHING)

    def level_of(self, team: str) -> float:
        """Return the dominant share of a team divided by its weight."""
        return self._level_by_team.get(team, 0.0)

    def next_team(self, teams: Iterable[str]) -> str:
        """Return the team that is furthest below its share.

        Args:
            teams: Teams with queued work, at least one.
        """
        levels = self._level_by_team
        return min(teams, key=lambda team: (levels.get(team, 0.0), team))

    def _update_level(self, team: str) -> None:
        weight = self._weight_by_team.get(team, 1)
        share = self._use_by_team[team].dominant_share(self._total)
        self._level_by_team[team] = share / weight
