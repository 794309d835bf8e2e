"""Runs a load in a cell, injects faults during the run and audits the outcome."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any

from standins.audit import Counters, audit
from standins.cell import Cell
from standins.load import Load, Outcome, count_codes

TEAM = "hospices"
FaultInjector = Callable[[Cell, Load], Awaitable[Counters | None]]


async def _inject_no_faults(cell: Cell, load: Load) -> None:
    """Inject no faults."""


async def run_load(
    folder: pathlib.Path,
    inject_faults: FaultInjector = _inject_no_faults,
    *,
    cell_options: dict[str, Any] | None = None,
    **load_options: Any,
) -> Load:
    """Start a cell, run a load, inject faults during the run and audit the outcome.

    Args:
        folder: Folder for the cell's settings and logs.
        inject_faults: Causes the faults; may return the last counters of workers
            whose processes it ends.
        cell_options: Attributes of the cell.
        load_options: Attributes of the load.

    Returns:
        The load with the outcome of each request and job.

    Raises:
        AssertionError: If the audit finds a broken invariant.
    """
    async with Cell(folder, **(cell_options or {})) as cell:
        secrets = await cell.seed({TEAM: {"share": 1}})
        await cell.wait_for_shards()
        load = Load(cell, TEAM, secrets[TEAM], **load_options)
        _, ended_workers = await asyncio.gather(load.run(), inject_faults(cell, load))
        await load.wait_for_jobs()
        load.workers = await cell.counters("worker")
        print(load.tally(), count_codes([*load.sent_requests, *load.sent_jobs]))
        violations = await audit(load, ended_workers)
        if violations:
            raise AssertionError(violations)
        return load


def assert_most_work_done(load: Load) -> None:
    """Check that at least half of the requests and jobs are done and no job failed.

    Raises:
        AssertionError: If fewer are done or a job failed.
    """
    outcomes = [request.outcome for request in load.sent_requests]
    jobs = [job.outcome for job in load.sent_jobs]
    if outcomes.count(Outcome.DONE) < len(outcomes) / 2:
        raise AssertionError(load.tally())
    if jobs.count(Outcome.DONE) < len(jobs) / 2 or Outcome.FAILED in jobs:
        raise AssertionError(load.tally())
