"""Which running tasks make room for urgent work."""

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

# Stopping one member of a gang stops the whole gang, and a service has callers,
# so both come after batch work.
VICTIM_ORDER = (JobKind.BATCH, JobKind.GANG, JobKind.SERVICE)


@attrs.frozen
class Eviction:
    """Tasks on one worker whose end makes room for a request."""

    worker_id: str
    victims: tuple[RunningTask, ...]


class Preemption(Protocol):
    """Chooses the tasks that make room."""

    def choose(
        self,
        running: RunningTasks,
        shares: TeamShares,
        pool: WorkerPool,
        request: Resources,
        avoid_workers: frozenset[str] = NONE_AVOIDED,
        avoid_racks: frozenset[str] = NONE_AVOIDED,
    ) -> Eviction | None:
        """Return tasks of one worker that make room together, or None.

        Args:
            running: The running tasks of the shard.
            shares: What each team uses.
            pool: The workers of the shard.
            request: What the urgent task needs.
            avoid_workers: Workers that must not be chosen.
            avoid_racks: Racks whose workers must not be chosen.
        """
        ...


PREEMPTIONS: Registry[type[Preemption]] = Registry("preemption")


@PREEMPTIONS.register("none")
class NoPreemption:
    """Never stops running work; the baseline."""

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
    """Takes from the teams furthest above their share, newest tasks first.

    Tasks are collected in this order until those of one worker make enough room;
    of these, the ones that are not needed are spared again.
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
        """Return the cheapest tasks of one worker that make room, or None."""
        victims_by_worker: dict[str, list[RunningTask]] = {}
        room_by_worker: dict[str, Resources] = {}
        for task in _iter_victims(running, shares):
            worker_id = task.worker_id
            if worker_id in avoid_workers or not pool.is_schedulable(worker_id):
                continue
            if pool.node_of(worker_id).rack in avoid_racks:
                continue
            room = room_by_worker.get(worker_id)
            if room is None:
                room = pool.available_after_yield(
                    worker_id
                ) + running.stopping_resources_on(worker_id)
            room = room_by_worker[worker_id] = room + task.resources
            victims = victims_by_worker.setdefault(worker_id, [])
            victims.append(task)
            if request.fits(room):
                return Eviction(worker_id, _needed(victims, room, request))
        return None


def _iter_victims(running: RunningTasks, shares: TeamShares) -> Iterator[RunningTask]:
    teams = sorted(
        running.teams(), key=lambda team: (-shares.weighted_share_of(team), team)
    )
    for kind in VICTIM_ORDER:
        for team in teams:
            yield from running.iter_newest(team, kind, Priority.NORMAL)


def _needed(
    victims: list[RunningTask], room: Resources, request: Resources
) -> tuple[RunningTask, ...]:
    """Return the victims without those that the request does not need.

    The last resort is spared first, as it was added last.
    """
    needed = list(victims)
    for victim in reversed(victims):
        without = room - victim.resources
        if request.fits(without):
            needed.remove(victim)
            room = without
    return tuple(needed)
