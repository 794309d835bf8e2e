import pytest

from marjoramgrade.decisions.workers import OvercommitError, UnknownWorkerError
from tests.scheduling import amount, node, pool_of


def test_a_reservation_above_the_capacity_is_refused_and_changes_nothing() -> None:
    """Guards against overcommitted workers."""
    pool = pool_of(node("w-0", cores=4))
    pool.allocate("w-0", amount(3))
    with pytest.raises(OvercommitError):
        pool.allocate("w-0", amount(2))
    assert pool.free_of("w-0") == amount(1, 8)


def test_a_release_above_the_reservation_is_refused() -> None:
    """Guards against a double release that adds capacity that does not exist."""
    pool = pool_of(node("w-0"))
    pool.allocate("w-0", amount(1))
    pool.release("w-0", amount(1))
    with pytest.raises(OvercommitError):
        pool.release("w-0", amount(1))


def test_draining_hides_a_worker_and_keeps_its_reservations() -> None:
    """Guards against new work on a worker that is about to leave."""
    pool = pool_of(node("w-0"))
    pool.allocate("w-0", amount(1))
    pool.drain("w-0")
    assert list(pool.iter_fitting(amount(1))) == []
    pool.release("w-0", amount(1))
    assert list(pool.iter_fitting(amount(1))) == []
    assert pool.total_capacity == amount(4, 8)


def test_held_resources_are_not_available_now_or_when_they_become_free() -> None:
    """Guards against small tasks that use resources held for a gang."""
    pool = pool_of(node("w-0"))
    pool.allocate("w-0", amount(3))
    pool.hold("w-0", amount(3))
    pool.release("w-0", amount(3))
    assert list(pool.iter_fitting(amount(2))) == []
    pool.release_hold("w-0", amount(3))
    assert [n.worker_id for n in pool.iter_fitting(amount(4))] == ["w-0"]


def test_a_worker_that_shrinks_below_its_reservations_is_refused() -> None:
    """Guards against overcommitment through a changed capacity."""
    pool = pool_of(node("w-0", cores=4))
    pool.allocate("w-0", amount(3))
    with pytest.raises(OvercommitError):
        pool.add(node("w-0", cores=2))
    pool.add(node("w-0", cores=8))
    assert pool.free_of("w-0") == amount(5, 8)


def test_an_unknown_worker_has_a_typed_error() -> None:
    """Guards against a bare KeyError in a controller."""
    with pytest.raises(UnknownWorkerError):
        pool_of().free_of("w-9")
