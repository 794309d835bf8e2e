"""Works out an entry instance's cost at the design size from measured slopes.

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
LISTED = 2_000 + 11 * 24
ENTRIES = 22
AMOUNT_AT_REST = {
    "workers": WORKERS_PER_OWNER,
    "listed": LISTED - WORKERS_PER_OWNER,
    "teams": 61,
    "running": 13_000 / 20,
    "jobs": 23_000,
    "peers": ENTRIES - 1,
}
# Share of an owner in 1,200 starts a second; requests are per 100 a second.
AMOUNT_UNDER_LOAD = {"starts": 1_200 / 20, "requests": 100}
TARGET = {"cpu_percent": 2.1, "memory_private_mib": 32, "bytes_s": 12_000}


@attrs.frozen
class Term:
    """What one amount adds to a figure."""

    series: str
    amount: float
    slope: float

    @property
    def cost(self) -> float:
        """What the amount costs."""
        return self.amount * self.slope


def work_out(
    slopes: dict[tuple[str, str], float], figure: str, amounts: dict[str, float]
) -> list[Term]:
    """Return what each amount adds to a figure, but for noise below zero."""
    return [
        Term(series, amount, max(0.0, slopes.get((series, figure), 0.0)))
        for series, amount in amounts.items()
    ]


def work_out_bytes(slopes: dict[tuple[str, str], float]) -> list[Term]:
    """Return the bytes a second at rest.

    What is read at a fixed interval is counted as the size of one answer times
    the rate, because a window holds few of these reads.
    """
    reads = 1_000 / INSTANCES_MS
    config_reads = 1_000 / CONFIG_MS
    listed = slopes["listed", "platform_instances_bytes_each"]
    teams = slopes["teams", "platform_config_bytes_each"]
    members = slopes["peers", "platform_members_bytes_each"]
    return [
        Term("listed", LISTED, listed * reads),
        Term("teams", AMOUNT_AT_REST["teams"], teams * config_reads),
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
    """Print the cost at the design size against the targets."""
    slopes: dict[tuple[str, str], float] = {}
    base: dict[str, float] = {}
    for line in lines:
        document = json.loads(line)
        for found in document["slopes"]:
            slopes[found["series"], found["figure"]] = found["slope"]
        if document["series"] == "workers":
            base = document["readings"][0]["figures"]
    for figure in ("cpu_percent", "memory_private_mib"):
        amounts = dict(AMOUNT_AT_REST)
        if figure == "cpu_percent":
            # Ended jobs cost no measurable time: two runs gave slopes of opposite
            # sign, which 23,000 jobs would turn into 7 % of a core.
            del amounts["jobs"]
        terms = work_out(slopes, figure, amounts)
        _print_terms(f"{figure} at rest", base[figure], terms, TARGET[figure])
    figure = "bytes_s"
    _print_terms(
        f"{figure} at rest",
        base["platform_bytes_s"],
        work_out_bytes(slopes),
        TARGET[figure],
    )
    terms = work_out(slopes, "cpu_percent", AMOUNT_UNDER_LOAD)
    _print_terms("cpu_percent added by load", 0, terms, TARGET["cpu_percent"])


if __name__ == "__main__":
    main(sys.stdin)
