"""All-or-nothing placement of gangs, and reservations for waiting work."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from marjoramgrade.decisions.placement import NONE_AVOIDED, Placement
from marjoramgrade.decisions.workers import WorkerPool
from marjoramgrade.resources import Resources

# In a busy shard small tasks use resources as soon as they become free, so the
# resources for a whole gang would never be free at once. After this time they are
# reserved for it.
GANG_RESERVATION_DELAY_MS = 10_000

# Workers compared for the reservation of a single task; bounds the cost in a large
# shard.
RESERVATION_CANDIDATES = 32


def place_gang(
    pool: WorkerPool,
    placement: Placement,
    resources: Resources,
    count: int,
    spread_racks: bool,
    avoid_workers: frozenset[str] = NONE_AVOIDED,
) -> list[str] | None:
    """Choose workers for all members of a gang, or for none.

    Args:
        pool: The workers of the shard; unchanged on return.
        placement: Chooses a worker for one member.
        resources: Resources that each member needs.
        count: Number of members.
        spread_racks: Whether the members must use different racks.
        avoid_workers: Workers that must not be chosen.

    Returns:
        One worker id for each member, or None if not all of them fit.
    """
    chosen: list[str] = []
    racks: set[str] = set()
    try:
        while len(chosen) < count:
            worker_id = placement.choose(
                pool, resources, avoid_workers, frozenset(racks)
            )
            if worker_id is None:
                return None
            pool.hold(worker_id, resources)
            chosen.append(worker_id)
            if spread_racks:
                racks.add(pool.node_of(worker_id).rack)
        return chosen
    finally:
        for worker_id in chosen:
            pool.release_hold(worker_id, resources)


def members_that_fit(resources: Resources, available: Resources) -> int:
    """Return how many members of a gang fit into the available resources."""
    pairs = (
        (resources.cpu_millis, available.cpu_millis),
        (resources.memory_mib, available.memory_mib),
        (resources.accelerators, available.accelerators),
        (resources.slots, available.slots),
    )
    return max(0, min((has // needed for needed, has in pairs if needed), default=0))


def plan_reservation(
    pool: WorkerPool,
    resources: Resources,
    count: int,
    spread_racks: bool,
    service_resources_on: Callable[[str], Resources],
    avoid_workers: frozenset[str] = NONE_AVOIDED,
) -> list[str] | None:
    """Choose workers on which to reserve resources as they become free.

    Workers that lack least for a member come first, because the fewest running tasks
    have to end there. Resources that services use are not expected to become free.
    For a single task only the workers with the most available are compared.

    Args:
        pool: The workers of the shard.
        resources: Resources that each member needs.
        count: Number of members.
        spread_racks: Whether the members must use different racks.
        service_resources_on: Returns the resources that services use on a worker.
        avoid_workers: Workers that must not be chosen.

    Returns:
        One worker id for each member, or None if not all members can ever fit.
    """
    chosen: list[str] = []
    racks: set[str] = set()
    candidate_count = RESERVATION_CANDIDATES if count == 1 else len(pool)
    workers = sorted(
        islice(pool.iter_most_available(), candidate_count),
        key=lambda pair: (
            (resources - pair[1]).dominant_share(pair[0].capacity),
            pair[0].worker_id,
        ),
    )
    for node, _ in workers:
        if node.worker_id in avoid_workers or (spread_racks and node.rack in racks):
            continue
        # A gang may use resources that are held for single tasks.
        available_on = pool.available_after_yield if count > 1 else pool.available_of
        held = pool.free_of(node.worker_id) - available_on(node.worker_id)
        available = node.capacity - service_resources_on(node.worker_id) - held
        fitting = members_that_fit(resources, available)
        if spread_racks and fitting:
            fitting = 1
            racks.add(node.rack)
        chosen.extend([node.worker_id] * min(fitting, count - len(chosen)))
        if len(chosen) == count:
            return chosen
    return None
