"""Checks that refuse jobs that could never run, with the reason."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from marjoramgrade.decisions.gangs import members_that_fit
from marjoramgrade.decisions.workers import WorkerNode
from marjoramgrade.errors import InvalidInputError, OverLimitError, UnsatisfiableError
from marjoramgrade.model import JobKind, JobSpec, Team
from marjoramgrade.resources import ZERO_RESOURCES, Resources

# The outcomes of a job are stored in one row, with one character for each task.
MAX_TASKS = 100_000
MAX_ATTEMPTS = 100


def check_job(
    spec: JobSpec,
    team: Team,
    workers_by_shard: Mapping[str, Sequence[WorkerNode]],
) -> None:
    """Refuse a job that could never run.

    While no worker is known, such as after a start, no job is refused for its size.

    Args:
        spec: The job.
        team: Its team.
        workers_by_shard: All workers of the cell, whether or not they are in use.

    Raises:
        InvalidInputError: If a number is out of range.
        OverLimitError: If the tasks that must start together exceed the team's limit.
        UnsatisfiableError: If a task fits no empty worker, a gang fits no empty shard,
            or the tasks exceed the queue bound of the team.
    """
    _check_numbers(spec)
    _check_team(spec, team)
    if not any(workers_by_shard.values()):
        return
    workers = [node for nodes in workers_by_shard.values() for node in nodes]
    if not any(spec.resources.fits(node.capacity) for node in workers):
        raise UnsatisfiableError(
            "no worker of the cell has the capacity for a task of "
            f"{_format_resources(spec.resources)}",
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
            "resources must not be negative, and at least one must be positive",
            reason="bad_resources",
        )


def _check_team(spec: JobSpec, team: Team) -> None:
    """Check a job against the limit and the queue bound of its team."""
    concurrent_tasks = spec.tasks if spec.kind is JobKind.GANG else 1
    needed = spec.resources.scaled(concurrent_tasks, 1)
    limit = team.limit
    # A zero amount means no limit on that resource.
    is_within = (
        needed.cpu_millis <= (limit.cpu_millis or needed.cpu_millis)
        and needed.memory_mib <= (limit.memory_mib or needed.memory_mib)
        and needed.accelerators <= (limit.accelerators or needed.accelerators)
        and needed.slots <= (limit.slots or needed.slots)
    )
    if not is_within:
        raise OverLimitError(
            f"{_format_resources(needed)} must start together, but team {team.name} "
            f"is limited to {_format_resources(limit)}",
            reason="above_team_limit",
        )
    if spec.tasks > team.queue_bound:
        raise UnsatisfiableError(
            f"the job has {spec.tasks} tasks, but at most {team.queue_bound} tasks of "
            f"team {team.name} may be queued in a shard",
            reason="above_queue_bound",
        )


def _check_gang(
    spec: JobSpec, workers_by_shard: Mapping[str, Sequence[WorkerNode]]
) -> None:
    capacity = max(_gang_capacity(spec, nodes) for nodes in workers_by_shard.values())
    if capacity < spec.tasks:
        scope = "different racks of one shard" if spec.spread_racks else "one shard"
        raise UnsatisfiableError(
            f"the gang has {spec.tasks} members, but {scope} could hold at most "
            f"{capacity} when empty",
            reason="gang_too_large",
        )


def _gang_capacity(spec: JobSpec, nodes: Sequence[WorkerNode]) -> int:
    """Return how many members of the gang fit into an empty shard."""
    if spec.spread_racks:
        return len({n.rack for n in nodes if spec.resources.fits(n.capacity)})
    return sum(members_that_fit(spec.resources, node.capacity) for node in nodes)


def _format_resources(amount: Resources) -> str:
    """Return an amount as text for error messages."""
    parts = [f"{amount.cpu_millis / 1000:g} cores", f"{amount.memory_mib} MiB"]
    if amount.accelerators:
        parts.append(f"{amount.accelerators} accelerators")
    if amount.slots:
        parts.append(f"{amount.slots} slots")
    return ", ".join(parts)
