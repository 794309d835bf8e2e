"""The choice of a worker for one task."""

from __future__ import annotations

from typing import Protocol

from marjoramgrade.decisions.workers import WorkerNode, WorkerPool
from marjoramgrade.registry import Registry
from marjoramgrade.resources import Resources

NONE_AVOIDED: frozenset[str] = frozenset()


class Placement(Protocol):
    """Chooses a worker for a request."""

    def choose(
        self,
        pool: WorkerPool,
        request: Resources,
        avoid_workers: frozenset[str] = NONE_AVOIDED,
        avoid_racks: frozenset[str] = NONE_AVOIDED,
    ) -> str | None:
        """Return the id of a worker with enough available resources, or None.

        Args:
            pool: The workers of the shard.
            request: Resources that the task needs.
            avoid_workers: Workers that must not be chosen.
            avoid_racks: Racks whose workers must not be chosen.
        """
        ...


PLACEMENTS: Registry[type[Placement]] = Registry("placement")


def _is_allowed(
    node: WorkerNode, avoid_workers: frozenset[str], avoid_racks: frozenset[str]
) -> bool:
    return node.worker_id not in avoid_workers and node.rack not in avoid_racks


@PLACEMENTS.register("best_fit")
class BestFit:
    """Chooses the fitting worker with the least available, using the index."""

    def choose(
        self,
        pool: WorkerPool,
        request: Resources,
        avoid_workers: frozenset[str] = NONE_AVOIDED,
        avoid_racks: frozenset[str] = NONE_AVOIDED,
    ) -> str | None:
        """Return the id of a worker with enough available resources, or None."""
        for node in pool.iter_fitting(request):
            if _is_allowed(node, avoid_workers, avoid_racks):
                return node.worker_id
        return None


@PLACEMENTS.register("first_fit")
class FirstFit:
    """Chooses the first fitting worker by a linear scan; a baseline for comparison."""

    def choose(
        self,
        pool: WorkerPool,
        request: Resources,
        avoid_workers: frozenset[str] = NONE_AVOIDED,
        avoid_racks: frozenset[str] = NONE_AVOIDED,
    ) -> str | None:
        """Return the id of a worker with enough available resources, or None."""
        for node, available in pool.iter_schedulable():
            if request.fits(available) and _is_allowed(
                node, avoid_workers, avoid_racks
            ):
                return node.worker_id
        return None
