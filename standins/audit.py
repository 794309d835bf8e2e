"""Audit of a load run.

The audit compares the outcomes that clients saw with counters of the stand-ins
and uses no counters of the system under test.
"""

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
    """A broken invariant.

    Attributes:
        rule: What must not happen.
        subject: Request, job, task or instance that broke the rule, with details.
    """

    rule: str
    subject: str


async def audit(
    load: Load,
    ended_workers: Counters | None = None,
    ended_backends: Counters | None = None,
) -> list[Violation]:
    """Return the invariants that a finished load run broke.

    Args:
        load: The run; its requests and jobs must be classified.
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


def with_closed_intervals(counters: Mapping[str, Any], ended: float) -> dict[str, Any]:
    """Close the open run intervals of a worker whose process has ended.

    Args:
        counters: Counters of the worker as last read.
        ended: Wall-clock time in seconds when the process ended.

    Returns:
        A copy of the counters in which no interval is open.
    """
    intervals = [
        [task, start, ended if end is None else end]
        for task, start, end in counters["intervals"]
    ]
    return {**counters, "intervals": intervals}


def check_requests(
    sent: Iterable[SentRequest], backends: Iterable[Mapping[str, Any]]
) -> list[Violation]:
    """Compare the outcomes of requests with the runs on the backend servers."""
    runs: Counter[str] = Counter()
    for counters in backends:
        runs.update(counters["runs"])
    violations = []
    for request in sent:
        count = runs[request.request_id]
        if not request.idempotent and count > 1:
            violations.append(Violation("non-idempotent ran twice", request.request_id))
        if request.outcome is Outcome.DONE and count == 0:
            violations.append(Violation("done but did not run", request.request_id))
        if request.outcome is Outcome.NOT_RUN and count:
            violations.append(
                Violation("reported as not run but ran", request.request_id)
            )
        if request.outcome is Outcome.LOST:
            violations.append(
                Violation(
                    "no response, or that of another request",
                    f"{request.request_id} {request.codes}",
                )
            )
    return violations


def check_slots(backends: Counters) -> list[Violation]:
    """Return the backend servers that ran more requests at once than slots."""
    return [
        Violation("backend server over its slots", f"{name}: {counters['most_active']}")
        for name, counters in backends.items()
        if counters["most_active"] > SLOTS
    ]


def check_jobs(
    load: Load,
    recorded: Mapping[str, Mapping[str, Any]],
    workers: Iterable[Mapping[str, Any]],
) -> list[Violation]:
    """Compare the recorded task outcomes of jobs with the ends that workers count."""
    done: Counter[str] = Counter()
    for counters in workers:
        done.update(task for task, result in counters["ends"] if result == "done")
    violations = []
    for job in load.sent_jobs:
        outcomes = recorded.get(job.job_id, {}).get("outcomes", "")
        if job.outcome is Outcome.LOST:
            violations.append(
                Violation("accepted but not ended", f"{job.job_id} {outcomes}")
            )
        if job.outcome is Outcome.NOT_RUN and outcomes:
            violations.append(Violation("refused but recorded", job.job_id))
        if job.outcome is Outcome.DONE and outcomes != "d" * job.tasks:
            violations.append(Violation("record is not all done", job.job_id))
        for index, outcome in enumerate(outcomes):
            if outcome == "d" and not done[f"{job.job_id}/{index}"]:
                violations.append(
                    Violation("done but never ran", f"{job.job_id}/{index}")
                )
    return violations


def check_workers(workers: Counters) -> list[Violation]:
    """Return overcommitted workers and tasks whose runs overlap in time."""
    violations = [
        Violation("worker overcommitted", name)
        for name, counters in workers.items()
        if counters["overcommitted"]
    ]
    spans_by_task: dict[str, list[tuple[float, float]]] = {}
    for counters in workers.values():
        for task, start, end in counters["intervals"]:
            end_or_inf = float("inf") if end is None else end
            spans_by_task.setdefault(task, []).append((start, end_or_inf))
    for task, spans in spans_by_task.items():
        spans.sort()
        for (_, end), (start, _) in zip(spans, spans[1:], strict=False):
            if start < end:
                violations.append(Violation("task ran in two places at once", task))
    return violations
