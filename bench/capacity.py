"""Measures the resource use of an entry instance and its growth with load.

Run `python -m bench.capacity [--json] [--series NAME]`. Each series varies one
amount and holds the others constant; a least-squares line through its readings
gives the slope.
A run takes under three minutes and starts at most ten processes at a time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from bench.rig import LIMITED_TEAM, LONG_RUN_MS, Reading, Rig
from marjoramgrade.registry import Registry
from standins.processes import HOST

ZONE = "leeds"
OTHER_ZONE = "skipton"
WORKERS = 100
TEAMS = 61
TASKS_PER_LONG_JOB = 100
TASKS_PER_SHORT_JOB = 10
SHORT_RUN_MS = 200
PEERS = "peers"
PEER_ZONES = tuple(f"zone{number}" for number in range(1, 8))

Report = Callable[[list[Reading]], None]
Series = Callable[[Rig], Awaitable[list[Reading]]]
OWNER_SERIES: Registry[Series] = Registry("series of an owner")
# Each series starts from the state that the previous one left. Memory that a
# series used only temporarily is reused by later series and hides their growth, so
# the series that retain state run first.
OWNER_ORDER = (
    "workers",
    "teams",
    "running",
    "jobs",
    "starts",
    "requests",
    "listed",
    "limited",
)


@attrs.frozen
class Slope:
    """The least-squares line of one figure over the readings of a series.

    Attributes:
        series: Name of the series.
        figure: Name of the measured value.
        base: Value at amount zero, in the unit of the figure.
        slope: Increase for each unit of the varied amount.
    """

    series: str
    figure: str
    base: float
    slope: float


def fit(readings: list[Reading]) -> list[Slope]:
    """Return the least-squares line of each figure of a series."""
    names = sorted({name for reading in readings for name in reading.figures})
    amounts = [reading.amount for reading in readings]
    mean_amount = sum(amounts) / len(amounts)
    spread = sum((amount - mean_amount) ** 2 for amount in amounts)
    lines = []
    for name in names:
        values = [reading.figures.get(name, 0.0) for reading in readings]
        mean = sum(values) / len(values)
        slope = (
            sum(
                (amount - mean_amount) * (value - mean)
                for amount, value in zip(amounts, values, strict=True)
            )
            / spread
        )
        base = mean - slope * mean_amount
        lines.append(Slope(readings[0].series, name, base, slope))
    return lines


@OWNER_SERIES.register("workers")
async def measure_workers(rig: Rig) -> list[Reading]:
    """Vary the number of workers in the owner's shard."""
    readings = []
    backends = [i for i in rig.cell.instances if i["kind"] == "backend"]
    workers = [i for i in rig.cell.instances if i["kind"] == "worker"]
    for count in (0, 50, WORKERS):
        await rig.list_instances([*backends, *workers[:count]])
        readings.append(await rig.measure("workers", count))
    return readings


@OWNER_SERIES.register("listed")
async def measure_listed(rig: Rig) -> list[Reading]:
    """Vary the number of listed instances that belong to other shards."""
    readings = [rig.repeat_idle_reading("listed")]
    listed = rig.listed
    for count in (1_000, 2_000):
        other_workers = [_make_other_worker(number) for number in range(count)]
        await rig.list_instances([*listed, *other_workers])
        readings.append(await rig.measure("listed", count))
    await rig.list_instances(listed)
    return readings


@OWNER_SERIES.register("teams")
async def measure_teams(rig: Rig) -> list[Reading]:
    """Vary the number of teams, each with a key and all but one with a limit."""
    readings = []
    declared = 0
    for count in (5, 30, TEAMS):
        await rig.declare_teams(declared, count)
        declared = count
        readings.append(await rig.measure("teams", count))
    return readings


@OWNER_SERIES.register("starts")
async def measure_starts(rig: Rig) -> list[Reading]:
    """Vary the task starts per second; a job has ten tasks."""

    async def submit() -> None:
        await rig.submit_job(TASKS_PER_SHORT_JOB, SHORT_RUN_MS)

    readings = [rig.repeat_idle_reading("starts")]
    for rate in (30, 60, 120):
        per_second = rate / TASKS_PER_SHORT_JOB
        readings.append(await rig.measure("starts", rate, submit, per_second))
    return readings


@OWNER_SERIES.register("requests")
async def measure_requests(rig: Rig) -> list[Reading]:
    """Vary the requests per second that the instance receives and dispatches."""
    readings = [rig.repeat_idle_reading("requests")]
    for rate in (50, 100):
        readings.append(await rig.measure("requests", rate, rig.send_request, rate))
    return readings


@OWNER_SERIES.register("running")
async def measure_running(rig: Rig) -> list[Reading]:
    """Vary the number of long tasks that run in the owner's shard."""
    readings = []
    running = 0
    for count in (0, 1_000, 2_000):
        jobs = (count - running) // TASKS_PER_LONG_JOB
        await rig.submit(jobs, TASKS_PER_LONG_JOB, LONG_RUN_MS)
        running = count
        await rig.wait_for_running(count)
        readings.append(await rig.measure("running", count))
    return readings


@OWNER_SERIES.register("jobs")
async def measure_jobs(rig: Rig) -> list[Reading]:
    """Vary the number of ended jobs that the instance stores."""
    readings = [rig.repeat_idle_reading("jobs")]
    known = 0
    for count in (1_000, 2_000):
        await rig.submit(count - known, 1, 1)
        known = count
        readings.append(await rig.measure("jobs", count))
    return readings


@OWNER_SERIES.register("limited")
async def measure_limited(rig: Rig) -> list[Reading]:
    """Measure the starts of a limited team that has 1,000 waiting tasks."""
    running = await rig.count_running()
    idle_reading = rig.repeat_idle_reading("limited")
    await rig.submit(10, TASKS_PER_LONG_JOB, LONG_RUN_MS, LIMITED_TEAM)
    started = time.monotonic()
    reading = await rig.measure("limited", 1, settle_s=0)
    seconds = time.monotonic() - started
    started_tasks = await rig.count_running() - running
    figures = {**reading.figures, "starts_s": started_tasks / seconds}
    return [idle_reading, attrs.evolve(reading, figures=figures)]


async def measure_owner(
    folder: pathlib.Path, report: Report, chosen: list[str]
) -> None:
    """Run the chosen series that use a single entry instance, which owns the shard."""
    rig = await Rig.start(
        folder, zones=(ZONE,), workers_per_zone=WORKERS, backends_per_zone=2
    )
    try:
        await rig.list_instances([])
        await rig.start_entry(ZONE)
        await rig.declare_zones()
        if chosen[0] != "workers":
            await rig.list_instances(rig.cell.instances)
        if "teams" not in chosen:
            await rig.declare_teams(0, TEAMS)
        if chosen[0] not in ("workers", "teams", "running"):
            await rig.measure("rest", 0)
        for name in chosen:
            report(await OWNER_SERIES.get(name)(rig))
    finally:
        rig.stop()


async def measure_peers(folder: pathlib.Path, report: Report) -> None:
    """Vary the number of peers; each zone has one instance, which owns a shard."""
    rig = await Rig.start(
        folder, zones=PEER_ZONES, workers_per_zone=1, backends_per_zone=1
    )
    readings = []
    try:
        for number, zone in enumerate(PEER_ZONES):
            await rig.start_entry(zone)
            if number == 0:
                await rig.declare_zones()
            if number in (1, 3, 6):
                readings.append(await rig.measure(PEERS, number))
    finally:
        rig.stop()
    report(readings)


def _make_other_worker(number: int) -> dict[str, Any]:
    return {
        "instance_id": f"{OTHER_ZONE}-worker-{number + 1}",
        "kind": "worker",
        "zone": OTHER_ZONE,
        "host": HOST,
        "port": 9,
        "capacity": {"cpu_millis": 16_000, "memory_mib": 65_536},
        "rack": f"{OTHER_ZONE}-rack-{number // 8 + 1}",
    }


def _print_series(readings: list[Reading]) -> None:
    amounts = [f"{reading.amount:>10g}" for reading in readings]
    print(f"\n{readings[0].series:<34}", *amounts, f"{'slope':>12}")
    for line in fit(readings):
        values = [reading.figures.get(line.figure, 0.0) for reading in readings]
        shown = [f"{value:>10.2f}" for value in values]
        print(f"  {line.figure:<32}", *shown, f"{line.slope:>12.5f}", flush=True)


def _print_json(readings: list[Reading]) -> None:
    document = {
        "series": readings[0].series,
        "readings": [attrs.asdict(reading) for reading in readings],
        "slopes": [attrs.asdict(line) for line in fit(readings)],
    }
    print(json.dumps(document), flush=True)


def main() -> None:
    """Run the selected series and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--json", action="store_true", help="print a line of JSON for each series"
    )
    parser.add_argument(
        "--series",
        action="append",
        choices=[*OWNER_ORDER, PEERS],
        help="measure only this series; may be repeated",
    )
    arguments = parser.parse_args()
    chosen = arguments.series or [*OWNER_ORDER, PEERS]
    owner_series = [name for name in OWNER_ORDER if name in chosen]
    report = _print_json if arguments.json else _print_series
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        if owner_series:
            asyncio.run(measure_owner(folder / "owner", report, owner_series))
        if PEERS in chosen:
            asyncio.run(measure_peers(folder / "peers", report))
    print(f"measured in {time.monotonic() - started:.0f} s", file=sys.stderr)


if __name__ == "__main__":
    main()
