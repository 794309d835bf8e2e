"""The rate at which a team's accepted jobs bring work.

The load is a burst that goes on: a job that will be late is overtaken by all newer jobs
that can still be in time, so what they bring is not left for it.
"""

from __future__ import annotations

import math

import attrs

from marjoramgrade.decisions.admission.backlog import Amounts

# Period over which the work of accepted jobs is averaged. Bursts last for seconds.
AVERAGING_MS = 2_000


@attrs.define
class _Average:
    """Resources in use on average if each accepted job runs for as long as it takes."""

    amounts: Amounts
    at_ms: int


@attrs.define
class ArrivalRates:
    """Work of accepted jobs per time, by team and rank of the queue."""

    _average_by_key: dict[tuple[str, int], _Average] = attrs.field(factory=dict)

    def add(self, team: str, priority: int, work: Amounts, now_ms: int) -> None:
        """Add the work of a job, in resources times milliseconds."""
        average = self._average_by_key.setdefault(
            (team, priority), _Average(Amounts(), now_ms)
        )
        average.amounts = average.amounts.scaled(_decay(now_ms - average.at_ms))
        average.amounts.add_amounts(work.scaled(1 / AVERAGING_MS))
        average.at_ms = now_ms

    def rate(self, team: str, below_priority: int, now_ms: int) -> Amounts:
        """Return what the queues of a team with a lower rank bring, in resources."""
        total = Amounts()
        for (owner, priority), average in self._average_by_key.items():
            if owner == team and priority < below_priority:
                total.add_amounts(
                    average.amounts.scaled(_decay(now_ms - average.at_ms))
                )
        return total


def _decay(age_ms: int) -> float:
    return math.exp(-max(age_ms, 0) / AVERAGING_MS)
