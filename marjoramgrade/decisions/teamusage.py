"""What each team has running, against its upper limit."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.stepconfig import TeamPolicy

# Jobs of a team that count towards its weight are counted over this time.
WEIGHT_WINDOW_MS = 1_000


@attrs.define
class TeamUsage:
    """What teams have running, and how fast their jobs come.

    Attributes:
        used_by_team: What runs, or may run, by team.
    """

    used_by_team: dict[str, Resources] = attrs.field(factory=dict)
    _allowance_by_team: dict[str, tuple[float, int]] = attrs.field(factory=dict)

    def add(self, team: str, amount: Resources) -> None:
        """Count a run."""
        self.used_by_team[team] = self.used_by_team.get(team, ZERO_RESOURCES) + amount

    def remove(self, team: str, amount: Resources) -> None:
        """Stop counting a run."""
        self.used_by_team[team] = self.used_by_team.get(team, ZERO_RESOURCES) - amount

    def has_capacity(
        self, team: str, amount: Resources, policies: Mapping[str, TeamPolicy]
    ) -> bool:
        """Whether a team stays within its limit with this much more."""
        policy = policies.get(team)
        if policy is None:
            return True
        total = self.used_by_team.get(team, ZERO_RESOURCES) + amount
        return is_within(total, policy.limit)

    def is_beyond_weight(self, policy: TeamPolicy | None, now_ms: int) -> bool:
        """Count a job that came; returns whether it exceeds the team's weight.

        A bucket holds as many jobs as the weight gives in a second.
        """
        if policy is None:
            return False
        burst = max(policy.weight * WEIGHT_WINDOW_MS / 1_000, 1.0)
        level, since_ms = self._allowance_by_team.get(policy.name, (burst, now_ms))
        level = min(burst, level + policy.weight * (now_ms - since_ms) / 1_000)
        exceeds = level < 1.0
        self._allowance_by_team[policy.name] = (
            level if exceeds else level - 1.0,
            now_ms,
        )
        return exceeds


def is_within(amount: Resources, limit: Resources) -> bool:
    """Whether an amount is within a limit, of which 0 means none."""
    return all(
        most == 0 or used <= most
        for used, most in (
            (amount.cpu_millis, limit.cpu_millis),
            (amount.memory_mib, limit.memory_mib),
            (amount.accelerators, limit.accelerators),
        )
    )
