"""A load in a cell while something happens, followed by the audit."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any

from standins.audit import Counters, audit
from standins.cell import Cell
from standins.load import Load, Outcome, count_codes

TEAM = "hospices"
Disturb = Callable[[Cell, Load], Awaitable[Counters | None]]


async def _nothing(cell: Cell, load: Load) -> None:
    """Leave the cell alone."""


async def run_load(
    folder: pathlib.Path,
    disturb: Disturb = _nothing,
    *,
    shape: dict[str, Any] | None = None,
    **size: Any,
) -> Load:
    """Run a load while something happens, and audit it.

    Args:
        folder: Where the cell keeps settings and logs.
        disturb: Causes the failures; it may return the last counters of workers
            that it ends.
        shape: Attributes of the cell.
        size: Attributes of the load.

    Raises:
        AssertionError: If the audit finds a broken invariant.
    """
    async with Cell(folder, **(shape or {})) as cell:
        secrets = await cell.seed({TEAM: {"share": 1}})
        await cell.wait_for_shards()
        load = Load(cell, TEAM, secrets[TEAM], **size)
        _, ended_workers = await asyncio.gather(load.run(), disturb(cell, load))
        await load.wait_for_jobs()
        print(load.tally(), count_codes([*load.sent_requests, *load.sent_jobs]))
        violations = await audit(load, ended_workers)
        if violations:
            raise AssertionError(violations)
        return load


def assert_work_went_on(load: Load) -> None:
    """Check that jobs ended and that most requests found another instance.

    Raises:
        AssertionError: If they did not.
    """
    outcomes = [request.outcome for request in load.sent_requests]
    jobs = [job.outcome for job in load.sent_jobs]
    if outcomes.count(Outcome.DONE) < len(outcomes) / 2:
        raise AssertionError(load.tally())
    if jobs.count(Outcome.DONE) < len(jobs) / 2 or Outcome.FAILED in jobs:
        raise AssertionError(load.tally())
