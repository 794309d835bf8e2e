"""Refusal of work that could never run, with the reason."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from marjoramgrade.decisions.gangs import members_that_fit
from marjoramgrade.decisions.workers import WorkerNode
from marjoramgrade.errors import InvalidInputError, OverLimitError, UnsatisfiableError
from marjoramgrade.model import JobKind, JobSpec, Team
from marjoramgrade.resources import ZERO_RESOURCES, Resources

# The outcomes of a job are one row of the table, with one character for each task.
MAX_TASKS = 100_000
MAX_ATTEMPTS = 100


def check_job(
    spec: JobSpec,
    team: Team,
    workers_by_shard: Mapping[str, Sequence[WorkerNode]],
) -> None:
    """Refuse a job that could never run.

    If no worker is known at all, as after a start, no shape is a reason to refuse.

    Args:
        spec: The job.
        team: Its team.
        workers_by_shard: The workers of the cell, whether in use or not.

    Raises:
        InvalidInputError: If a number is out of range.
        OverLimitError: If the team's limit is below what starts together.
        UnsatisfiableError: If no worker could hold a task, or no shard a gang.
    """
    _check_numbers(spec)
    _check_team(spec, team)
    if not any(workers_by_shard.values()):
        return
    workers = [node for nodes in workers_by_shard.values() for node in nodes]
    if not any(spec.resources.fits(node.capacity) for node in workers):
        raise UnsatisfiableError(
            f"no worker of the cell could hold a task of {_text(spec.resources)}",
            reason="task_too_large",
        )
    if spec.kind is JobKind.GANG:
        _check_gang(spec, workers_by_shard)


def _check_numbers(spec: JobSpec) -> None:
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise InvalidInputError(
            f"tasks must be from 1 to {MAX_TASKS}, not {spec.tasks}",
            reason="bad_task_count",
        )
    if not 1 <= spec.max_attempts <= MAX_ATTEMPTS:
        raise InvalidInputError(
            f"max_attempts must be from 1 to {MAX_ATTEMPTS}, not {spec.max_attempts}",
            reason="bad_attempts",
        )
    if spec.run_ms < 0:
        raise InvalidInputError("run_ms must not be negative", reason="bad_run_time")
    if not ZERO_RESOURCES.fits(spec.resources) or spec.resources == ZERO_RESOURCES:
        raise InvalidInputError(
            "resources must not be negative, and one must be positive",
            reason="bad_resources",
        )


def _check_team(spec: JobSpec, team: Team) -> None:
    """Check what starts together against the limit, and the count against the bound."""
    together = spec.tasks if spec.kind is JobKind.GANG else 1
    need = spec.resources.scaled(together, 1)
    limit = team.limit
    # A zero amount means no limit on that resource.
    is_within = (
        need.cpu_millis <= (limit.cpu_millis or need.cpu_millis)
        and need.memory_mib <= (limit.memory_mib or need.memory_mib)
        and need.accelerators <= (limit.accelerators or need.accelerators)
        and need.slots <= (limit.slots or need.slots)
    )
    if not is_within:
        raise OverLimitError(
            f"{_text(need)} must start together, but team {team.name} is limited to "
            f"{_text(limit)}",
            reason="above_team_limit",
        )
    if spec.tasks > team.queue_bound:
        raise UnsatisfiableError(
            f"{spec.tasks} tasks would wait, but at most {team.queue_bound} tasks of "
            f"team {team.name} may wait in a shard",
            reason="above_queue_bound",
        )


def _check_gang(
    spec: JobSpec, workers_by_shard: Mapping[str, Sequence[WorkerNode]]
) -> None:
    best = max(_gang_room(spec, nodes) for nodes in workers_by_shard.values())
    if best < spec.tasks:
        where = "different racks of one shard" if spec.spread_racks else "one shard"
        raise UnsatisfiableError(
            f"the gang has {spec.tasks} members, but {where} could hold at most "
            f"{best} when empty",
            reason="gang_too_large",
        )


def _gang_room(spec: JobSpec, nodes: Sequence[WorkerNode]) -> int:
    """Return how many members an empty shard holds."""
    if spec.spread_racks:
        return len({n.rack for n in nodes if spec.resources.fits(n.capacity)})
    return sum(members_that_fit(spec.resources, node.capacity) for node in nodes)


def _text(amount: Resources) -> str:
    """Return an amount for people."""
    parts = [f"{amount.cpu_millis / 1000:g} cores", f"{amount.memory_mib} MiB"]
    if amount.accelerators:
        parts.append(f"{amount.accelerators} accelerators")
    if amount.slots:
        parts.append(f"{amount.slots} slots")
    return ", ".join(parts)
