import random

import pytest

from marjoramgrade.decisions.free_index import FreeIndex
from marjoramgrade.decisions.placement import PLACEMENTS
from marjoramgrade.resources import Resources
from tests.scheduling import amount, node, pool_of


def test_best_fit_chooses_the_fitting_worker_with_the_least_available() -> None:
    """Guards against small tasks that fragment the capacity of large workers."""
    pool = pool_of(node("w-0", cores=8), node("w-1", cores=2), node("w-2", cores=4))
    assert PLACEMENTS.get("best_fit")().choose(pool, amount(2)) == "w-1"
    assert PLACEMENTS.get("first_fit")().choose(pool, amount(2)) == "w-0"


@pytest.mark.parametrize("name", ["best_fit", "first_fit"])
def test_avoided_workers_and_racks_are_not_chosen(name: str) -> None:
    """Guards against work on a worker in back-off or in a rack already used."""
    pool = pool_of(node("w-0", rack="a"), node("w-1", rack="b"), node("w-2", rack="c"))
    choice = PLACEMENTS.get(name)().choose(
        pool, amount(1), frozenset({"w-0"}), frozenset({"b"})
    )
    assert choice == "w-2"
    assert PLACEMENTS.get(name)().choose(pool, amount(5)) is None


def test_work_without_accelerators_avoids_workers_that_have_some() -> None:
    """Guards against idle accelerators on workers whose cores other work uses."""
    pool = pool_of(node("w-0", cores=8))
    pool.add(node("w-1", cores=4))
    accelerated = node("w-2", cores=2)
    pool.add(type(accelerated)("w-2", "r-0", amount(2, 8, accelerators=4)))
    assert PLACEMENTS.get("best_fit")().choose(pool, amount(2)) == "w-1"


def test_the_index_agrees_with_a_scan_under_random_changes() -> None:
    """Guards against an index that omits a fitting worker or lists a removed one."""
    randomness = random.Random(7)

    def random_amount() -> Resources:
        return amount(randomness.randrange(9), randomness.randrange(9))

    index, amount_by_id = FreeIndex(), {}
    for step in range(3_000):
        worker_id = f"w-{randomness.randrange(300)}"
        if worker_id in amount_by_id:
            index.discard(worker_id, amount_by_id.pop(worker_id))
        else:
            amount_by_id[worker_id] = random_amount()
            index.add(worker_id, amount_by_id[worker_id])
        if step % 10 == 0:
            request = random_amount()
            expected = {k for k, free in amount_by_id.items() if request.fits(free)}
            found = list(index.iter_fitting(request))
            assert len(found) == len(set(found))
            assert set(found) == expected
