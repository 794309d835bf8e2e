from marjoramgrade.decisions.actions import EndStatus
from marjoramgrade.decisions.rounds import (
    CHECKPOINT_TIMEOUT_MS,
    URGENT_PREEMPTION_DELAY_MS,
)
from marjoramgrade.decisions.scheduler import Scheduler
from marjoramgrade.model import JobKind, TaskId
from tests.scheduling import node, queued, scheduler_of, started, stopped

URGENT = TaskId("urgent", 0)


def fill(scheduler: Scheduler, *entries: object) -> None:
    """Start the entries one by one, each newer than the one before."""
    for number, entry in enumerate(entries):
        scheduler.submit(entry, number)
        scheduler.step(number, 10)


def victims_of(scheduler: Scheduler, **urgent: object) -> dict[str, str]:
    scheduler.submit(queued("urgent", urgent=True, at_ms=100, **urgent), 100)
    assert scheduler.step(100 + URGENT_PREEMPTION_DELAY_MS - 1, 10) == []
    return stopped(scheduler.step(100 + URGENT_PREEMPTION_DELAY_MS, 10))


def test_the_newest_task_of_the_team_furthest_above_its_share_is_preempted() -> None:
    """Guards against preempting tasks of a team that is below its share."""
    scheduler = scheduler_of(node("w-0", cores=4))
    fill(
        scheduler,
        queued("a", 0, "a"),
        queued("a", 1, "a"),
        queued("a", 2, "a"),
        queued("b", 0, "b"),
    )
    assert victims_of(scheduler, team="c") == {"a/2": "checkpoint"}


def test_all_victims_are_on_one_worker_and_no_task_is_stopped_needlessly() -> None:
    """Guards against victims on several workers, which free too little on each."""
    scheduler = scheduler_of(node("w-0", cores=3), node("w-1", cores=2))
    fill(scheduler, *(queued("a", index, "a") for index in range(5)))
    worker_by_task = {
        name: scheduler.reason_of(TaskId.parse(name)).rpartition(" ")[2]
        for name in (f"a/{index}" for index in range(5))
    }
    victims = victims_of(scheduler, team="c", cores=2)
    assert len(victims) == 2
    assert len({worker_by_task[name] for name in victims}) == 1


def test_services_are_preempted_last_and_urgent_tasks_never() -> None:
    """Guards against stopping a service before batch work, and preemption loops."""
    scheduler = scheduler_of(node("w-0", cores=3))
    fill(
        scheduler,
        queued("batch", 0, "a"),
        queued("service", 0, "a", kind=JobKind.SERVICE),
        queued("first", 0, "a", urgent=True),
    )
    assert victims_of(scheduler, team="c") == {"batch/0": "checkpoint"}
    scheduler.submit(queued("second", team="c", urgent=True, cores=3), 0)
    assert scheduler.step(2 * URGENT_PREEMPTION_DELAY_MS, 10) == []


def test_freed_resources_stay_reserved_and_the_victim_loses_no_attempt() -> None:
    """Guards against small tasks that use freed resources, and a counted attempt."""
    scheduler = scheduler_of(node("w-0", cores=2))
    fill(scheduler, *(queued("a", index, "a") for index in range(9)))
    assert len(victims_of(scheduler, team="c", cores=2)) == 2
    scheduler.task_ended(TaskId("a", 0), EndStatus.STOPPED, 1_200)
    assert scheduler.step(1_200, 10) == []
    scheduler.task_ended(TaskId("a", 1), EndStatus.STOPPED, 1_300)
    assert started(scheduler.step(1_300, 10)) == {"urgent/0": "w-0"}
    reason = scheduler.reason_of(TaskId("a", 0))
    assert reason == "waiting: no worker has enough free capacity"
    scheduler.task_ended(URGENT, EndStatus.DONE, 1_400)
    assert set(started(scheduler.step(1_400, 10))) == {"a/0", "a/1"}
    entry = scheduler.task_ended(TaskId("a", 0), EndStatus.FAILED, 1_500)
    assert entry is not None
    assert entry.attempts == 1


def test_a_slow_checkpoint_is_followed_by_a_stop_within_the_bound() -> None:
    """Guards against urgent work that waits indefinitely for a checkpoint."""
    scheduler = scheduler_of(node("w-0", cores=1))
    fill(scheduler, queued("a", 0, "a"))
    victims_of(scheduler, team="c")
    stop_ms = 100 + URGENT_PREEMPTION_DELAY_MS + CHECKPOINT_TIMEOUT_MS
    assert stopped(scheduler.step(stop_ms, 10)) == {"a/0": "stop"}
    # At least 1 s of the bound of 6.1 s is left for the worker's stop and the ticks.
    assert stop_ms - 100 <= 6_100 - 1_000


def test_urgent_work_uses_reserved_resources_and_the_reservation_is_not_lost() -> None:
    """Guards against urgent work that waits for resources reserved for other work."""
    scheduler = scheduler_of(node("w-0", cores=3))
    fill(scheduler, *(queued("a", index, "a") for index in range(4)))
    scheduler.submit(queued("b", 0, "b", cores=3), 10)
    assert scheduler.step(10, 10) == []
    assert scheduler.reason_of(TaskId("b", 0)).startswith(
        "waiting: capacity is reserved"
    )
    scheduler.task_ended(TaskId("a", 0), EndStatus.DONE, 11)
    scheduler.submit(queued("urgent", team="c", urgent=True), 11)
    assert started(scheduler.step(11, 10)) == {"urgent/0": "w-0"}
    assert scheduler.reason_of(TaskId("b", 0)).startswith(
        "waiting: capacity is reserved"
    )


def test_urgent_work_starts_elsewhere_while_its_victims_write_checkpoints() -> None:
    """Guards against urgent work that waits for a checkpoint when a worker is free."""
    scheduler = scheduler_of(node("w-0", cores=1), node("w-1", cores=1))
    fill(scheduler, queued("a", 0, "a"), queued("a", 1, "a"))
    (victim,) = victims_of(scheduler, team="c")
    other = TaskId("a", 1 - int(victim[-1]))
    scheduler.task_ended(other, EndStatus.DONE, 1_200)
    assert list(started(scheduler.step(1_200, 10))) == ["urgent/0"]


def test_without_preemption_urgent_work_waits() -> None:
    """Guards against a baseline policy that preempts."""
    scheduler = scheduler_of(node("w-0", cores=1), preemption="none")
    fill(scheduler, queued("a", 0, "a"))
    assert victims_of(scheduler, team="c") == {}


def test_an_urgent_gang_preempts_for_all_members_or_stops_nothing() -> None:
    """Guards against stopping tasks for a gang that cannot start."""
    scheduler = scheduler_of(node("w-0", cores=1), node("w-1", cores=1))
    fill(scheduler, queued("a", 0, "a"), queued("a", 1, "a"))
    assert victims_of(scheduler, team="c", members=(0, 1, 2)) == {}
    scheduler.cancel_job("urgent")
    scheduler.submit(queued("pair", urgent=True, members=(0, 1)), 0)
    assert len(stopped(scheduler.step(2 * URGENT_PREEMPTION_DELAY_MS, 10))) == 2


def test_urgent_work_whose_worker_is_lost_is_placed_again() -> None:
    """Guards against urgent work that is lost with the worker of its reservation."""
    scheduler = scheduler_of(node("w-0", cores=1))
    fill(scheduler, queued("a", 0, "a"))
    victims_of(scheduler, team="c")
    scheduler.remove_lost_worker("w-0", 2_000)
    scheduler.add_worker(node("w-1", cores=1))
    assert started(scheduler.step(2_000, 10)) == {"urgent/0": "w-1"}
