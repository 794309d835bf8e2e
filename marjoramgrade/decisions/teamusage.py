"""Resource usage of teams against their limits, and job rates against weights."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.stepconfig import TeamPolicy

# Period over which the jobs of a team are counted against its weight.
WEIGHT_WINDOW_MS = 1_000


@attrs.define
class TeamUsage:
    """Resource usage and job rates of teams.

    Attributes:
        used_by_team: Resources of the runs that exist or may exist, by team.
        earlier_limit_by_team: Limits that earlier configurations gave to teams.
    """

    used_by_team: dict[str, Resources] = attrs.field(factory=dict)
    earlier_limit_by_team: dict[str, Resources] = attrs.field(factory=dict)
    # Tokens in the bucket of each team and the time of their last update.
    _tokens_by_team: dict[str, tuple[float, int]] = attrs.field(factory=dict)

    def add(self, team: str, amount: Resources) -> None:
        """Add the resources of a run."""
        self.used_by_team[team] = self.used_by_team.get(team, ZERO_RESOURCES) + amount

    def remove(self, team: str, amount: Resources) -> None:
        """Subtract the resources of a run."""
        self.used_by_team[team] = self.used_by_team.get(team, ZERO_RESOURCES) - amount

    def has_capacity(
        self, team: str, amount: Resources, policies: Mapping[str, TeamPolicy]
    ) -> bool:
        """Whether a team stays within its limit if it uses this much more.

        A team of which no limit is known may start work only while it has nothing
        running: any limit admits a single task, and the team's work goes on.
        """
        used = self.used_by_team.get(team, ZERO_RESOURCES)
        limit = self.limit_of(team, policies)
        if limit is None:
            return used == ZERO_RESOURCES
        return is_within(used + amount, limit)

    def is_above_limit(self, team: str, policies: Mapping[str, TeamPolicy]) -> bool:
        """Whether a team uses more than its limit, which may have been lowered."""
        limit = self.limit_of(team, policies)
        used = self.used_by_team.get(team, ZERO_RESOURCES)
        return limit is not None and not is_within(used, limit)

    def limit_of(
        self, team: str, policies: Mapping[str, TeamPolicy]
    ) -> Resources | None:
        """Return the limit of a team, or None if no configuration gave it one.

        A team that was removed keeps its last limit. Jobs of public queues belong to
        no team and have no limit.
        """
        if not team:
            return ZERO_RESOURCES
        policy = policies.get(team)
        if policy is not None:
            return policy.limit
        return self.earlier_limit_by_team.get(team)

    def keep_limits(self, policies: Mapping[str, TeamPolicy]) -> None:
        """Remember the limits of a configuration that is being replaced."""
        for name, policy in policies.items():
            self.earlier_limit_by_team[name] = policy.limit

    def restore_limit(self, team: str, limit: Resources | None) -> None:
        """Take the limit of a team from a stored job, unless one is known."""
        if limit is not None:
            self.earlier_limit_by_team.setdefault(team, limit)

    def would_exceed_weight(self, policy: TeamPolicy | None, now_ms: int) -> bool:
        """Return what `is_beyond_weight` would return, without counting a job."""
        return policy is not None and self._tokens_of(policy, now_ms) < 1.0

    def is_beyond_weight(self, policy: TeamPolicy | None, now_ms: int) -> bool:
        """Count a new job; returns whether it exceeds the team's weight.

        A token bucket holds as many jobs as the weight allows per second, but at
        least one.
        """
        if policy is None:
            return False
        tokens = self._tokens_of(policy, now_ms)
        exceeds = tokens < 1.0
        self._tokens_by_team[policy.name] = (
            tokens if exceeds else tokens - 1.0,
            now_ms,
        )
        return exceeds

    def _tokens_of(self, policy: TeamPolicy, now_ms: int) -> float:
        burst = max(policy.weight * WEIGHT_WINDOW_MS / 1_000, 1.0)
        tokens, since_ms = self._tokens_by_team.get(policy.name, (burst, now_ms))
        return min(burst, tokens + policy.weight * (now_ms - since_ms) / 1_000)


def is_within(amount: Resources, limit: Resources) -> bool:
    """Whether an amount is within a limit; a value of 0 means no limit."""
    return all(
        maximum == 0 or used <= maximum
        for used, maximum in (
            (amount.cpu_millis, limit.cpu_millis),
            (amount.memory_mib, limit.memory_mib),
            (amount.accelerators, limit.accelerators),
        )
    )
