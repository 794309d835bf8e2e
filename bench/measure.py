"""Measures the quality and cost of scheduling decisions for the two deployments.

All results except processor time are determined by the seed. Processor time is
given as a ratio to the baseline policies of the same run, because the speed of
machines varies.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from random import Random

import attrs

from bench.cells import DEPLOYMENTS, ZONES, Deployment, WorkSource
from bench.driver import TICK_MS, Cell, refill_queues
from marjoramgrade.decisions.shares import fair_shares
from marjoramgrade.resources import Resources
from marjoramgrade.settings import PolicyNames

SEED = 20_26
DEFAULT_POLICIES = PolicyNames()
FIFO_FIRST_FIT = PolicyNames(queue_order="fifo", placement="first_fit")
NO_PREEMPTION = PolicyNames(preemption="none")
POLICIES = {
    "ours": DEFAULT_POLICIES,
    "fifo+first_fit": FIFO_FIRST_FIT,
    "no preemption": NO_PREEMPTION,
}

# The longest tasks run for 120 s; earlier results still depend on the empty cell at
# the start.
WARM_UP_MS = 120_000
WINDOW_MS = 60_000
BACKLOG = 40
STEADY_LOAD = 0.85
URGENT_EVERY_MS = 1_000
ZONE_OUT_MS, ZONE_STOP_MS, ZONE_BACK_MS = 140_000, 150_000, 200_000


@attrs.frozen
class Figures:
    """The results of one run of a scenario; None if the scenario has no such result.

    Attributes:
        scenario: Name of the scenario.
        deployment: Name of the deployment.
        policies: Name of the policies.
        wait_median_ms: Median waiting time of work that is not urgent.
        wait_p99_ms: 99th percentile of these waiting times.
        wait_worst_ms: Longest of these waiting times.
        urgent_worst_ms: Longest waiting time of urgent work.
        packing: Mean used part of the scarcest resource of the cell.
        share_distance: Largest difference between the share of a team in a window
            and its fair share.
        work_done: Work done as a fraction of its upper bound.
        cpu_us_per_start: Processor time of the schedulers for each start in µs.
    """

    scenario: str
    deployment: str
    policies: str
    wait_median_ms: int | None = None
    wait_p99_ms: int | None = None
    wait_worst_ms: int | None = None
    urgent_worst_ms: int | None = None
    packing: float | None = None
    share_distance: float | None = None
    work_done: float | None = None
    cpu_us_per_start: float = attrs.field(default=0.0, metadata={"timed": True})


def percentile(values: list[int], fraction: float) -> int | None:
    """Return the percentile of a fraction; None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def demand_of(deployment: Deployment, team: str) -> Resources:
    """Return resources in the proportion in which a team's mix of work uses them."""
    total = Resources()
    for shape in deployment.shapes_by_team[team]:
        amount = Resources(1000 * shape.cores, 1024 * shape.gib)
        times = shape.part * shape.members * sum(shape.run_ms)
        total = total + amount.scaled(times, 1)
    return total


def fluid_shares(deployment: Deployment) -> dict[str, float]:
    """Return the fair dominant shares of teams that all demand more than they get.

    Work is assumed to be divisible, so this is an upper bound for any placement.
    """
    weights = {team.name: team.share for team in deployment.teams}
    demand = {name: demand_of(deployment, name) for name in weights}
    return fair_shares(deployment.total, weights, demand)


def new_cell(deployment: Deployment, policies: str) -> tuple[Cell, WorkSource]:
    """Return a cell and its work, with the same seeds for all policies."""
    cell = Cell(deployment, POLICIES[policies], Random(SEED))
    return cell, WorkSource(deployment, Random(SEED + 1))


def run_steady(deployment: Deployment, policies: str, until_ms: int) -> Figures:
    """Measure waiting times while the arriving work uses a part of the capacity."""
    cell, source = new_cell(deployment, policies)
    arrivals = Random(SEED + 2)
    rates = {
        team: STEADY_LOAD * share / source.mean_load(team)
        for team, share in fluid_shares(deployment).items()
    }
    due_ms = {team: arrivals.expovariate(rate) for team, rate in rates.items()}
    while cell.clock.now_ms() < until_ms:
        now_ms = cell.clock.now_ms()
        for team, rate in rates.items():
            while due_ms[team] <= now_ms:
                zone = min(range(ZONES), key=lambda z: _load_of(cell, z))
                cell.submit(source.draw(team, now_ms), zone)
                due_ms[team] += arrivals.expovariate(rate)
        cell.tick()
        if now_ms < WARM_UP_MS:
            cell.waits_ms.clear()
    return Figures(
        "steady",
        deployment.name,
        policies,
        wait_median_ms=percentile(cell.waits_ms, 0.5),
        wait_p99_ms=percentile(cell.waits_ms, 0.99),
        wait_worst_ms=max(cell.waits_ms),
        cpu_us_per_start=1e6 * cell.cpu_s / cell.starts,
    )


def _load_of(cell: Cell, zone: int) -> tuple[int, float]:
    scheduler = cell.schedulers[zone]
    used = Resources()
    for team in cell.deployment.teams:
        used = used + scheduler.shares.usage_of(team.name)
    return scheduler.queued_count, used.dominant_share(scheduler.pool.total_capacity)


def run_full(deployment: Deployment, policies: str, until_ms: int) -> Figures:
    """Measure packing, shares and urgent work while every team has a backlog."""
    cell, source = new_cell(deployment, policies)
    total = deployment.total
    fair = fluid_shares(deployment)
    packings: list[float] = []
    windows: list[dict[str, float]] = []
    ticks_per_window = WINDOW_MS // TICK_MS
    while cell.clock.now_ms() < until_ms:
        now_ms = cell.clock.now_ms()
        refill_queues(cell, source, BACKLOG)
        if now_ms % URGENT_EVERY_MS == 0:
            cell.submit(source.draw_urgent(now_ms), (now_ms // URGENT_EVERY_MS) % ZONES)
        cell.tick()
        if now_ms < WARM_UP_MS:
            continue
        if (now_ms - WARM_UP_MS) % WINDOW_MS == 0:
            windows.append(dict.fromkeys(fair, 0.0))
        usage_by_team = {team: cell.usage_of(team) for team in fair}
        for team, usage in usage_by_team.items():
            windows[-1][team] += usage.dominant_share(total) / ticks_per_window
        packings.append(sum(usage_by_team.values(), Resources()).dominant_share(total))
    distances = [abs(each[team] - fair[team]) for each in windows for team in fair]
    return Figures(
        "full",
        deployment.name,
        policies,
        urgent_worst_ms=_longest_urgent_wait_ms(cell),
        packing=sum(packings) / len(packings),
        share_distance=max(distances),
        cpu_us_per_start=1e6 * cell.cpu_s / cell.starts,
    )


def _longest_urgent_wait_ms(cell: Cell) -> int:
    """Return the longest wait of urgent work, including work that still waits."""
    now_ms = cell.clock.now_ms()
    waiting = [
        now_ms - entry.queued_ms
        for entries in cell.waiting_by_zone
        for entry in entries.values()
        if entry.is_urgent
    ]
    return max(cell.urgent_waits_ms + waiting)


def run_zone_move(deployment: Deployment, policies: str, until_ms: int) -> Figures:
    """Measure the work done while a zone is taken out and brought back."""
    cell, source = new_cell(deployment, policies)
    done_before = Resources()
    while cell.clock.now_ms() < until_ms:
        now_ms = cell.clock.now_ms()
        if now_ms == WARM_UP_MS:
            done_before = cell.done()
        if now_ms == ZONE_OUT_MS:
            cell.take_zone_out(0)
        elif now_ms == ZONE_STOP_MS:
            cell.stop_zone(0)
        elif now_ms == ZONE_BACK_MS:
            cell.bring_zone_back(0)
        refill_queues(cell, source, BACKLOG)
        cell.tick()
    zone_ms = ZONES * (until_ms - WARM_UP_MS) - (ZONE_BACK_MS - ZONE_OUT_MS)
    # No schedule can use more of the scarcest resource than its capacity.
    bound = deployment.total.scaled(zone_ms, ZONES * 1_000)
    return Figures(
        "zone move",
        deployment.name,
        policies,
        work_done=(cell.done() - done_before).dominant_share(bound),
        cpu_us_per_start=1e6 * cell.cpu_s / cell.starts,
    )


Scenario = Callable[[Deployment, str, int], Figures]
SCENARIOS: dict[str, tuple[Scenario, tuple[str, ...]]] = {
    "steady": (run_steady, ("ours", "fifo+first_fit")),
    "full": (run_full, ("ours", "fifo+first_fit", "no preemption")),
    "zone move": (run_zone_move, ("ours", "fifo+first_fit")),
}
UNTIL_MS = 240_000


def measure(deployments: list[Deployment], scenarios: list[str]) -> list[Figures]:
    """Run the given scenarios for the given deployments."""
    return [
        run(deployment, policies, UNTIL_MS)
        for deployment in deployments
        for run, names in map(SCENARIOS.__getitem__, scenarios)
        for policies in names
    ]


def _row(figures: Figures, base: Figures) -> dict[str, object]:
    row = attrs.asdict(figures)
    cpu_us = row.pop("cpu_us_per_start")
    row["cpu_ratio"] = round(cpu_us / base.cpu_us_per_start, 2)
    return {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in row.items()
        if value is not None
    }


def rows_of(results: list[Figures]) -> list[dict[str, object]]:
    """Return rows to print; processor time is a ratio to that of fifo+first_fit."""
    base_by_key = {
        (each.scenario, each.deployment): each
        for each in results
        if each.policies == "fifo+first_fit"
    }
    return [_row(r, base_by_key[(r.scenario, r.deployment)]) for r in results]


def main() -> None:
    """Print the results as a table, or as JSON with `--json`.

    Further arguments select deployments and scenarios by name.
    """
    names = [name for name in sys.argv[1:] if name in DEPLOYMENTS]
    chosen = [DEPLOYMENTS[name] for name in names or DEPLOYMENTS]
    scenarios = [name for name in sys.argv[1:] if name in SCENARIOS]
    rows = rows_of(measure(chosen, scenarios or list(SCENARIOS)))
    if "--json" in sys.argv:
        print(json.dumps(rows, indent=1))
        return
    for row in rows:
        labels = [str(row.pop(key)) for key in ("scenario", "deployment", "policies")]
        measured = "  ".join(f"{name}={value}" for name, value in row.items())
        print(f"{labels[0]:10} {labels[1]:11} {labels[2]:15} {measured}")


if __name__ == "__main__":
    main()
