"""Keeps a part of each team's limit free for the team's urgent work.

Urgent work that finds its team at the limit waits until a preempted run has ended,
which takes up to a second, and the work of that run since its checkpoint is lost.
"""

from __future__ import annotations

import attrs

from marjoramgrade.resources import ZERO_RESOURCES, Resources

# Queues of this priority run urgent work.
URGENT_PRIORITY = 0
# The headroom follows the highest urgent use, which counts half after this time.
PEAK_HALF_LIFE_MS = 8_000


@attrs.frozen
class _Peak:
    amount: Resources
    at_ms: int

    def decayed(self, now_ms: int) -> Resources:
        remaining = 0.5 ** ((now_ms - self.at_ms) / PEAK_HALF_LIFE_MS)
        return self.amount.scaled(int(remaining * 1_000), 1_000)


@attrs.define
class TeamHeadroom:
    """Urgent use of each team and its recent peak.

    Attributes:
        urgent_by_team: Resources of the urgent runs that exist or may exist.
    """

    urgent_by_team: dict[str, Resources] = attrs.field(factory=dict)
    _peak_by_team: dict[str, _Peak] = attrs.field(factory=dict)

    def change(self, team: str, amount: Resources) -> None:
        """Add an amount, which may be negative, to the urgent use of a team."""
        self.urgent_by_team[team] = (
            self.urgent_by_team.get(team, ZERO_RESOURCES) + amount
        )

    def observe(self, now_ms: int) -> None:
        """Record the present urgent use of all teams in their peaks."""
        for team, used in self.urgent_by_team.items():
            peak = self._peak_by_team.get(team)
            decayed = ZERO_RESOURCES if peak is None else peak.decayed(now_ms)
            self._peak_by_team[team] = _Peak(used.maximum(decayed), now_ms)

    def headroom(self, team: str, now_ms: int) -> Resources:
        """Return what urgent work of a team recently used beyond its present use."""
        peak = self._peak_by_team.get(team)
        if peak is None:
            return ZERO_RESOURCES
        used = self.urgent_by_team.get(team, ZERO_RESOURCES)
        return peak.decayed(now_ms).maximum(used) - used
