"""Builders of workers, tasks and schedulers for the tests of the decisions."""

from marjoramgrade.decisions.actions import StartTask, StopTask
from marjoramgrade.decisions.scheduler import Scheduler
from marjoramgrade.decisions.tasks import QueuedTask
from marjoramgrade.decisions.workers import WorkerNode, WorkerPool
from marjoramgrade.model import JobKind, Priority, TaskId
from marjoramgrade.resources import Resources
from marjoramgrade.settings import PolicyNames


def amount(cores: int, gib: int = 0, accelerators: int = 0) -> Resources:
    return Resources(1000 * cores, 1024 * gib, accelerators)


def node(name: str, cores: int = 4, gib: int = 8, rack: str = "r-0") -> WorkerNode:
    return WorkerNode(name, rack, amount(cores, gib))


def pool_of(*nodes: WorkerNode) -> WorkerPool:
    pool = WorkerPool()
    for each in nodes:
        pool.add(each)
    return pool


def queued(
    job: str,
    index: int = 0,
    team: str = "a",
    cores: int = 1,
    *,
    kind: JobKind = JobKind.BATCH,
    urgent: bool = False,
    at_ms: int = 0,
    not_before_ms: int = 0,
    members: tuple[int, ...] = (),
    spread: bool = False,
) -> QueuedTask:
    return QueuedTask(
        TaskId(job, members[0] if members else index),
        team,
        JobKind.GANG if members else kind,
        Priority.URGENT if urgent else Priority.NORMAL,
        amount(cores),
        at_ms,
        not_before_ms,
        gang_size=max(1, len(members)),
        members=members,
        spread_racks=spread,
    )


def scheduler_of(*nodes: WorkerNode, **policies: str) -> Scheduler:
    scheduler = Scheduler.from_config(
        {kind: PolicyNames(**policies) for kind in JobKind}
    )
    for each in nodes:
        scheduler.add_worker(each)
    return scheduler


def started(decisions: list[StartTask | StopTask]) -> dict[str, str]:
    """Return the worker id of each started task."""
    return {str(d.task): d.worker_id for d in decisions if isinstance(d, StartTask)}


def stopped(decisions: list[StartTask | StopTask]) -> dict[str, str]:
    """Return the stop mode of each stopped task."""
    return {str(d.task): d.mode.value for d in decisions if isinstance(d, StopTask)}
