from marjoramgrade.decisions.actions import EndStatus
from marjoramgrade.decisions.gangs import (
    GANG_RESERVATION_DELAY_MS,
    place_gang,
    plan_reservation,
)
from marjoramgrade.decisions.placement import PLACEMENTS
from marjoramgrade.model import TaskId
from marjoramgrade.resources import ZERO_RESOURCES
from tests.scheduling import amount, node, pool_of, queued, scheduler_of, started

BEST_FIT = PLACEMENTS.get("best_fit")()
WORKERS = [node("w-0", rack="a"), node("w-1", rack="a"), node("w-2", rack="b")]


def test_a_gang_is_placed_whole_or_not_at_all() -> None:
    """Guards against members that use resources while they wait for others."""
    pool = pool_of(*WORKERS)
    assert place_gang(pool, BEST_FIT, amount(4), 4, False) is None
    chosen = place_gang(pool, BEST_FIT, amount(2), 6, False)
    assert chosen is not None
    assert sorted(chosen) == ["w-0", "w-0", "w-1", "w-1", "w-2", "w-2"]
    assert all(pool.available_of(f"w-{i}") == amount(4, 8) for i in range(3))


def test_spread_members_use_different_racks() -> None:
    """Guards against a gang that fails as a whole when one rack fails."""
    pool = pool_of(*WORKERS)
    assert place_gang(pool, BEST_FIT, amount(1), 3, True) is None
    chosen = place_gang(pool, BEST_FIT, amount(1), 2, True)
    assert chosen is not None
    assert {pool.node_of(name).rack for name in chosen} == {"a", "b"}


def test_a_reservation_counts_on_batch_work_to_end_but_not_on_services() -> None:
    """Guards against a reservation on a worker whose resources never become free."""
    pool = pool_of(*WORKERS)
    for index in range(3):
        pool.allocate(f"w-{index}", amount(3))
    services = {"w-0": amount(3)}
    planned = plan_reservation(
        pool, amount(2), 4, False, lambda name: services.get(name, ZERO_RESOURCES)
    )
    assert planned == ["w-1", "w-1", "w-2", "w-2"]
    assert plan_reservation(pool, amount(4), 4, False, lambda _: ZERO_RESOURCES) is None


def test_a_waiting_gang_gets_its_resources_despite_small_tasks() -> None:
    """Guards against small tasks that starve a gang."""
    scheduler = scheduler_of(node("w-0", cores=2), node("w-1", cores=2))
    running: list[tuple[int, str]] = []
    for index in range(600):
        scheduler.submit(queued("small", index), 0)
    scheduler.submit(queued("gang", members=(0, 1, 2, 3)), 0)
    # Two tasks end in each step, never four, so the gang never finds all it needs free.
    for now_ms in range(0, 3 * GANG_RESERVATION_DELAY_MS, 100):
        for _, name in running[:2]:
            scheduler.task_ended(TaskId.parse(name), EndStatus.DONE, now_ms)
        del running[:2]
        names = started(scheduler.step(now_ms, 100))
        if "gang/0" in names:
            assert sum(name.startswith("gang") for name in names) == 4
            assert now_ms >= GANG_RESERVATION_DELAY_MS
            return
        running.extend((now_ms, name) for name in names)
    raise AssertionError("the gang was not started")


def test_a_lost_member_restarts_the_whole_gang() -> None:
    """Guards against a gang that runs in part, and a member that never restarts."""
    scheduler = scheduler_of(node("w-0", cores=1), node("w-1", cores=2))
    scheduler.submit(queued("gang", members=(0, 1, 2)), 0)
    placed = started(scheduler.step(0, 10))
    lost = scheduler.remove_lost_worker("w-0", 1)
    others = [TaskId.parse(n) for n, w in placed.items() if w == "w-1"]
    stops = {d.task for d in scheduler.step(1, 10)}
    assert stops == set(others)
    scheduler.add_worker(node("w-2", cores=1))
    scheduler.task_ended(others[0], EndStatus.STOPPED, 2)
    assert scheduler.step(2, 10) == []
    scheduler.task_ended(others[1], EndStatus.DONE, 3)
    again = started(scheduler.step(3, 10))
    assert set(again) == {str(lost[0]), str(others[0])}


def test_a_cancelled_gang_does_not_restart_when_its_members_end() -> None:
    """Guards against a lost member that requeues its cancelled gang."""
    scheduler = scheduler_of(node("w-0", cores=1), node("w-1", cores=1))
    scheduler.submit(queued("gang", members=(0, 1)), 0)
    placed = started(scheduler.step(0, 10))
    scheduler.remove_lost_worker(placed["gang/0"], 1)
    assert scheduler.cancel_job("gang") == 2
    scheduler.task_ended(TaskId("gang", 1), EndStatus.STOPPED, 2)
    assert scheduler.queued_count == scheduler.running_count == 0
