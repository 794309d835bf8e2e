"""Extrapolates the cost of an entry instance at the design size.

The cost is computed from the slopes that `bench.capacity` measures.
Run `python -m bench.capacity --json | python -m bench.designsize`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable

import attrs

from marjoramgrade.controllers.config import READ_INTERVAL_MS as CONFIG_MS
from marjoramgrade.controllers.instances import READ_INTERVAL_MS as INSTANCES_MS
from marjoramgrade.controllers.members import READ_INTERVAL_MS as MEMBERS_MS

# 2,000 workers in shards of 100, two entry instances in each of 11 zones, and
# 24 backend servers in each zone.
WORKERS_PER_OWNER = 100
LISTED_INSTANCES = 2_000 + 11 * 24
ENTRIES = 22
IDLE_AMOUNT_BY_SERIES = {
    "workers": WORKERS_PER_OWNER,
    "listed": LISTED_INSTANCES - WORKERS_PER_OWNER,
    "teams": 61,
    "running": 13_000 / 20,
    "jobs": 23_000,
    "peers": ENTRIES - 1,
}
# Starts per second of one of 20 owners if the cell has 1,200 starts per second;
# requests are counted for a load of 100 per second.
LOAD_AMOUNT_BY_SERIES = {"starts": 1_200 / 20, "requests": 100}
TARGET_BY_FIGURE = {"cpu_percent": 2.1, "memory_private_mib": 32, "bytes_s": 12_000}


@attrs.frozen
class Term:
    """The contribution of one amount to a figure.

    Attributes:
        series: Series that measured the slope.
        amount: Amount at the design size.
        slope: Increase of the figure for each unit of the amount.
    """

    series: str
    amount: float
    slope: float

    @property
    def cost(self) -> float:
        """Contribution of the whole amount, in the unit of the figure."""
        return self.amount * self.slope


def compute_terms(
    slopes: dict[tuple[str, str], float], figure: str, amounts: dict[str, float]
) -> list[Term]:
    """Return the contributions to a figure; negative slopes are noise and count 0."""
    return [
        Term(series, amount, max(0.0, slopes.get((series, figure), 0.0)))
        for series, amount in amounts.items()
    ]


def compute_byte_terms(slopes: dict[tuple[str, str], float]) -> list[Term]:
    """Return the contributions to the bytes per second without load.

    Traffic of reads at a fixed interval is computed as response size times rate,
    because a measurement window contains only a few of these reads.
    """
    reads = 1_000 / INSTANCES_MS
    config_reads = 1_000 / CONFIG_MS
    listed = slopes["listed", "platform_instances_bytes_each"]
    teams = slopes["teams", "platform_config_bytes_each"]
    members = slopes["peers", "platform_members_bytes_each"]
    return [
        Term("listed", LISTED_INSTANCES, listed * reads),
        Term("teams", IDLE_AMOUNT_BY_SERIES["teams"], teams * config_reads),
        Term("workers", WORKERS_PER_OWNER, slopes["workers", "worker_bytes_s"]),
        Term("peers", ENTRIES - 1, slopes["peers", "peer_bytes_s"]),
        Term("members", ENTRIES - 1, members * 1_000 / MEMBERS_MS),
    ]


def _print_terms(figure: str, base: float, terms: list[Term], target: float) -> None:
    total = base + sum(term.cost for term in terms)
    print(f"\n{figure}: {total:,.1f}, target {target:,.1f}: {total / target:.1f} times")
    print(f"  {'base':<10}{'':>30}{base:>14,.2f}")
    for term in terms:
        print(
            f"  {term.series:<10}{term.amount:>14,.0f} x {term.slope:>12.5f}"
            f" ={term.cost:>14,.2f}"
        )


def main(lines: Iterable[str]) -> None:
    """Print the cost at the design size and compare it with the targets."""
    slopes: dict[tuple[str, str], float] = {}
    base: dict[str, float] = {}
    for line in lines:
        document = json.loads(line)
        for found in document["slopes"]:
            slopes[found["series"], found["figure"]] = found["slope"]
        if document["series"] == "workers":
            base = document["readings"][0]["figures"]
    for figure in ("cpu_percent", "memory_private_mib"):
        amounts = dict(IDLE_AMOUNT_BY_SERIES)
        if figure == "cpu_percent":
            # Ended jobs use no measurable processor time: two runs gave slopes of
            # opposite sign, and multiplied by 23,000 jobs this noise would amount
            # to 7 % of a core.
            del amounts["jobs"]
        terms = compute_terms(slopes, figure, amounts)
        _print_terms(
            f"{figure} when idle", base[figure], terms, TARGET_BY_FIGURE[figure]
        )
    figure = "bytes_s"
    _print_terms(
        f"{figure} when idle",
        base["platform_bytes_s"],
        compute_byte_terms(slopes),
        TARGET_BY_FIGURE[figure],
    )
    terms = compute_terms(slopes, "cpu_percent", LOAD_AMOUNT_BY_SERIES)
    _print_terms("cpu_percent added by load", 0, terms, TARGET_BY_FIGURE["cpu_percent"])


if __name__ == "__main__":
    main(sys.stdin)
