"""Audit of a load run from the stand-ins' own counters, never from the system."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from standins.backends import SLOTS
from standins.load import Load, Outcome, SentRequest

Counters = Mapping[str, Mapping[str, Any]]


@attrs.frozen
class Violation:
    """A broken invariant."""

    rule: str
    subject: str


async def audit(
    load: Load,
    ended_workers: Counters | None = None,
    ended_backends: Counters | None = None,
) -> list[Violation]:
    """Return every invariant that a finished load run shows as broken.

    Args:
        load: The run; its requests and jobs are classified.
        ended_workers: Last counters of workers whose process has ended.
        ended_backends: Last counters of backend servers whose process has ended.
    """
    cell = load.cell
    workers = {**(ended_workers or {}), **await cell.counters("worker")}
    backends = {**(ended_backends or {}), **await cell.counters("backend")}
    return [
        *check_requests(load.sent_requests, backends.values()),
        *check_slots(backends),
        *check_jobs(load, await load.read_jobs(), workers.values()),
        *check_workers(workers),
    ]


def closed_at(counters: Mapping[str, Any], ended: float) -> dict[str, Any]:
    """Return the last counters of a worker whose tasks ended with its process.

    Args:
        counters: The counters as last read.
        ended: Wall-clock time of the end in seconds.
    """
    intervals = [
        [task, start, ended if end is None else end]
        for task, start, end in counters["intervals"]
    ]
    return {**counters, "intervals": intervals}


def check_requests(
    sent: Iterable[SentRequest], backends: Iterable[Mapping[str, Any]]
) -> list[Violation]:
    """Compare what callers were told with what the backend servers ran."""
    runs: Counter[str] = Counter()
    for counters in backends:
        runs.update(counters["runs"])
    found = []
    for request in sent:
        count = runs[request.request_id]
        if not request.idempotent and count > 1:
            found.append(Violation("non-idempotent ran twice", request.request_id))
        if request.outcome is Outcome.DONE and count == 0:
            found.append(Violation("answered but did not run", request.request_id))
        if request.outcome is Outcome.NOT_RUN and count:
            found.append(Violation("refused as not run but ran", request.request_id))
        if request.outcome is Outcome.LOST:
            found.append(
                Violation(
                    "no answer of its own", f"{request.request_id} {request.codes}"
                )
            )
    return found


def check_slots(backends: Counters) -> list[Violation]:
    """Return the backend servers that had more requests at once than slots."""
    return [
        Violation("backend server over its slots", f"{name}: {found['most_active']}")
        for name, found in backends.items()
        if found["most_active"] > SLOTS
    ]


def check_jobs(
    load: Load,
    recorded: Mapping[str, Mapping[str, Any]],
    workers: Iterable[Mapping[str, Any]],
) -> list[Violation]:
    """Compare the record of the accepted jobs with what the workers ended."""
    done: Counter[str] = Counter()
    for counters in workers:
        done.update(task for task, result in counters["ends"] if result == "done")
    found = []
    for job in load.sent_jobs:
        outcomes = recorded.get(job.job_id, {}).get("outcomes", "")
        if job.outcome is Outcome.LOST:
            found.append(
                Violation("accepted but not ended", f"{job.job_id} {outcomes}")
            )
        if job.outcome is Outcome.NOT_RUN and outcomes:
            found.append(Violation("refused but recorded", job.job_id))
        if job.outcome is Outcome.DONE and outcomes != "d" * job.tasks:
            found.append(Violation("record is not all done", job.job_id))
        for index, outcome in enumerate(outcomes):
            if outcome == "d" and not done[f"{job.job_id}/{index}"]:
                found.append(Violation("done but never ran", f"{job.job_id}/{index}"))
    return found


def check_workers(workers: Counters) -> list[Violation]:
    """Return overcommitted workers and tasks that ran in two places at once."""
    found = [
        Violation("worker overcommitted", name)
        for name, counters in workers.items()
        if counters["overcommitted"]
    ]
    spans_by_task: dict[str, list[tuple[float, float]]] = {}
    for counters in workers.values():
        for task, start, end in counters["intervals"]:
            until = float("inf") if end is None else end
            spans_by_task.setdefault(task, []).append((start, until))
    for task, spans in spans_by_task.items():
        spans.sort()
        for (_, end), (start, _) in zip(spans, spans[1:], strict=False):
            if start < end:
                found.append(Violation("task ran in two places at once", task))
    return found
