"""The choice of running tasks to preempt for urgent work."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

import attrs

from marjoramgrade.decisions.placement import NONE_AVOIDED
from marjoramgrade.decisions.running import RunningTasks
from marjoramgrade.decisions.shares import TeamShares
from marjoramgrade.decisions.tasks import RunningTask
from marjoramgrade.decisions.workers import WorkerPool
from marjoramgrade.model import JobKind, Priority
from marjoramgrade.registry import Registry
from marjoramgrade.resources import Resources

# Batch work comes first, because stopping one member of a gang stops the whole gang
# and stopping a service affects its clients.
VICTIM_ORDER = (JobKind.BATCH, JobKind.GANG, JobKind.SERVICE)


@attrs.frozen
class Eviction:
    """Tasks on one worker whose end frees enough resources for a request."""

    worker_id: str
    victims: tuple[RunningTask, ...]


class Preemption(Protocol):
    """Chooses the tasks to preempt."""

    def choose(
        self,
        running: RunningTasks,
        shares: TeamShares,
        pool: WorkerPool,
        request: Resources,
        avoid_workers: frozenset[str] = NONE_AVOIDED,
        avoid_racks: frozenset[str] = NONE_AVOIDED,
    ) -> Eviction | None:
        """Return tasks of one worker that together free enough, or None.

        Args:
            running: The running tasks of the shard.
            shares: Resource usage of each team.
            pool: The workers of the shard.
            request: Resources that the urgent task needs.
            avoid_workers: Workers that must not be chosen.
            avoid_racks: Racks whose workers must not be chosen.
        """
        ...


PREEMPTIONS: Registry[type[Preemption]] = Registry("preemption")


@PREEMPTIONS.register("none")
class NoPreemption:
    """Never stops running work; a baseline for comparison."""

    def choose(
        self,
        running: RunningTasks,
        shares: TeamShares,
        pool: WorkerPool,
        request: Resources,
        avoid_workers: frozenset[str] = NONE_AVOIDED,
        avoid_racks: frozenset[str] = NONE_AVOIDED,
    ) -> Eviction | None:
        """Return None."""
        return None


@PREEMPTIONS.register("above_share")
class AboveShare:
    """Preempts tasks of the teams furthest above their share, newest first.

    Tasks are collected in this order, by kind of job first, until those of one worker
    free enough resources; the tasks among them that are not needed are dropped.
    """

    def choose(
        self,
        running: RunningTasks,
        shares: TeamShares,
        pool: WorkerPool,
        request: Resources,
        avoid_workers: frozenset[str] = NONE_AVOIDED,
        avoid_racks: frozenset[str] = NONE_AVOIDED,
    ) -> Eviction | None:
        """Return the first tasks in this order that suffice on a worker, or None."""
        victims_by_worker: dict[str, list[RunningTask]] = {}
        available_by_worker: dict[str, Resources] = {}
        for task in _iter_victims(running, shares):
            worker_id = task.worker_id
            if worker_id in avoid_workers or not pool.is_schedulable(worker_id):
                continue
            if pool.node_of(worker_id).rack in avoid_racks:
                continue
            available = available_by_worker.get(worker_id)
            if available is None:
                available = pool.available_after_yield(
                    worker_id
                ) + running.stopping_resources_on(worker_id)
            available = available_by_worker[worker_id] = available + task.resources
            victims = victims_by_worker.setdefault(worker_id, [])
            victims.append(task)
            if request.fits(available):
                return Eviction(worker_id, _needed_victims(victims, available, request))
        return None


def _iter_victims(running: RunningTasks, shares: TeamShares) -> Iterator[RunningTask]:
    teams = sorted(
        running.teams(), key=lambda team: (-shares.weighted_share_of(team), team)
    )
    for kind in VICTIM_ORDER:
        for team in teams:
            yield from running.iter_newest(team, kind, Priority.NORMAL)


def _needed_victims(
    victims: list[RunningTask], available: Resources, request: Resources
) -> tuple[RunningTask, ...]:
    """Return the victims without those that the request does not need.

    Victims are checked in reverse order, so that the task that should be preempted
    last is dropped first.
    """
    needed = list(victims)
    for victim in reversed(victims):
        remaining = available - victim.resources
        if request.fits(remaining):
            needed.remove(victim)
            available = remaining
    return tuple(needed)
