import pytest

from marjoramgrade.decisions.actions import EndStatus
from marjoramgrade.decisions.queues import DuplicateTaskError
from marjoramgrade.decisions.rounds import TASK_RESERVATION_DELAY_MS
from marjoramgrade.decisions.scheduler import Scheduler
from marjoramgrade.decisions.tasks import RunningTask
from marjoramgrade.model import JobKind, TaskId, Team
from marjoramgrade.settings import PolicyNames
from tests.scheduling import node, queued, scheduler_of, started, stopped


def test_a_queued_task_starts_once_and_its_end_frees_its_resources() -> None:
    """Guards against a second start of one task and against leaked resources."""
    scheduler = scheduler_of(node("w-0", cores=1))
    scheduler.submit(queued("j", 0), 0)
    scheduler.submit(queued("j", 1), 0)
    assert started(scheduler.step(0, 10)) == {"j/0": "w-0"}
    assert scheduler.step(1, 10) == []
    assert scheduler.reason_of(TaskId("j", 0)) == "placed on w-0"
    assert (
        scheduler.reason_of(TaskId("j", 1))
        == "waiting: no worker has enough free capacity"
    )
    scheduler.task_ended(TaskId("j", 0), EndStatus.DONE, 2)
    assert started(scheduler.step(2, 10)) == {"j/1": "w-0"}


def test_a_task_that_runs_is_not_accepted_again() -> None:
    """Guards against two runs of one task."""
    scheduler = scheduler_of(node("w-0"))
    scheduler.submit(queued("j"), 0)
    scheduler.step(0, 10)
    with pytest.raises(DuplicateTaskError):
        scheduler.submit(queued("j"), 1)


def test_the_budget_bounds_the_starts_of_a_step() -> None:
    """Guards against a step that blocks its instance for a long time."""
    scheduler = scheduler_of(node("w-0"))
    for index in range(4):
        scheduler.submit(queued("j", index), 0)
    assert len(scheduler.step(0, 3)) == 3


def test_the_tasks_of_a_lost_worker_are_requeued_without_an_attempt() -> None:
    """Guards against tasks that are not rescheduled after the loss of their worker."""
    scheduler = scheduler_of(node("w-0"))
    scheduler.submit(queued("j"), 0)
    scheduler.step(0, 10)
    assert scheduler.remove_lost_worker("w-0", 1) == [TaskId("j", 0)]
    assert scheduler.reason_of(TaskId("j", 0)) == "requeued: worker lost"
    scheduler.add_worker(node("w-1"))
    assert started(scheduler.step(2, 10)) == {"j/0": "w-1"}
    entry = scheduler.task_ended(TaskId("j", 0), EndStatus.FAILED, 3)
    assert entry is not None
    assert entry.attempts == 1


def test_a_draining_worker_gets_no_start() -> None:
    """Guards against new tasks on a worker that is being removed."""
    scheduler = scheduler_of(node("w-0"))
    scheduler.drain_worker("w-0", 0)
    scheduler.submit(queued("j"), 0)
    assert scheduler.step(0, 10) == []


def test_cancelling_a_job_stops_running_and_drops_queued_tasks() -> None:
    """Guards against a cancelled job that continues to run or is requeued."""
    scheduler = scheduler_of(node("w-0", cores=1))
    for index in range(3):
        scheduler.submit(queued("j", index), 0)
    scheduler.step(0, 10)
    assert scheduler.cancel_job("j") == 3
    assert stopped(scheduler.step(1, 10)) == {"j/0": "stop"}
    assert scheduler.task_ended(TaskId("j", 0), EndStatus.STOPPED, 2) is None
    assert scheduler.step(3, 10) == []
    assert scheduler.queued_count == scheduler.running_count == 0


def test_stops_are_returned_while_nothing_may_start() -> None:
    """Guards against tasks that continue to run in an evacuated zone."""
    scheduler = scheduler_of(node("w"))
    scheduler.submit(queued("j"), 0)
    scheduler.step(0, 10)
    scheduler.stop(TaskId("j", 0), "zone taken out", is_requeued=True)
    assert stopped(list(scheduler.pop_stops())) == {"j/0": "stop"}
    assert scheduler.pop_stops() == []


def test_a_task_that_ended_before_its_stop_was_sent_is_not_stopped() -> None:
    """Guards against a stop that reaches a later run of the same task."""
    scheduler = scheduler_of(node("w-0"))
    scheduler.submit(queued("j"), 0)
    scheduler.step(0, 10)
    scheduler.stop(TaskId("j", 0), "team above its limit", is_requeued=True)
    scheduler.task_ended(TaskId("j", 0), EndStatus.STOPPED, 1)
    decisions = scheduler.step(1, 10)
    assert stopped(decisions) == {}
    assert started(decisions) == {"j/0": "w-0"}


def test_the_limit_hook_is_asked_with_the_use_so_far() -> None:
    """Guards against a team that exceeds its limit within one step."""
    policies = {kind: PolicyNames() for kind in JobKind}

    def may_start(team, resources) -> bool:
        return scheduler.shares.usage_of(team).cpu_millis + resources.cpu_millis <= 2000

    scheduler = Scheduler.from_config(policies, may_start)
    scheduler.add_worker(node("w-0"))
    for index in range(4):
        scheduler.submit(queued("j", index), 0)
    assert len(started(scheduler.step(0, 10))) == 2
    waiting = scheduler.reason_of(TaskId("j", 3))
    assert waiting == "waiting: team at its upper limit"


def test_a_reported_task_is_adopted_and_leaves_the_queue() -> None:
    """Guards against a second start of work that survived a takeover."""
    scheduler = scheduler_of(node("w-0"))
    entry = queued("j")
    scheduler.submit(entry, 0)
    scheduler.adopt(RunningTask.from_queued(entry, entry.task, "w-0", 0))
    assert scheduler.step(0, 10) == []
    assert scheduler.running_count == 1


def test_a_reported_task_with_a_reservation_is_not_started_again() -> None:
    """Guards against two runs of a task that holds a reservation when reported."""
    scheduler = scheduler_of(node("w-0", cores=1))
    scheduler.submit(queued("a"), 0)
    scheduler.step(0, 10)
    entry = queued("urgent", team="b", urgent=True)
    scheduler.submit(entry, 0)
    scheduler.step(1_000, 10)
    scheduler.add_worker(node("w-1", cores=1))
    scheduler.adopt(RunningTask.from_queued(entry, entry.task, "w-1", 900))
    scheduler.task_ended(TaskId("a", 0), EndStatus.DONE, 1_100)
    assert scheduler.step(1_100, 10) == []
    assert scheduler.queued_count == 0


def test_teams_get_capacity_by_their_weights() -> None:
    """Guards against shares that ignore the configured weights."""
    scheduler = scheduler_of(node("w-0", cores=8))
    scheduler.set_teams([Team("a", share=3), Team("b", share=1)])
    for index in range(8):
        scheduler.submit(queued("j-a", index, "a"), 0)
        scheduler.submit(queued("j-b", index, "b"), 0)
    names = list(started(scheduler.step(0, 10)))
    assert sum(name.startswith("j-a") for name in names) == 6


def test_a_large_task_below_its_share_starts_despite_small_ones() -> None:
    """Guards against large tasks that never find enough capacity on one worker."""
    scheduler = scheduler_of(node("w-0", cores=4))
    for index in range(100):
        scheduler.submit(queued("small", index, "a"), 0)
    scheduler.step(0, 10)
    scheduler.submit(queued("large", team="b", cores=4), 0)
    scheduler.step(1, 10)
    for index in range(4):
        assert scheduler.reason_of(TaskId("large", 0)).startswith(
            "waiting: capacity is reserved"
        )
        scheduler.task_ended(TaskId("small", index), EndStatus.DONE, 2 + index)
        names = started(scheduler.step(2 + index, 10))
    assert names == {"large/0": "w-0"}


def test_a_large_task_of_a_team_at_its_share_gets_a_reservation_after_a_delay() -> None:
    """Guards against a large task that waits without bound in a busy shard."""
    scheduler = scheduler_of(node("w-0", cores=2))
    scheduler.submit(queued("small", 0, "a"), 0)
    scheduler.submit(queued("small", 1, "a"), 0)
    scheduler.step(0, 10)
    scheduler.submit(queued("large", team="a", cores=2), 0)
    scheduler.step(TASK_RESERVATION_DELAY_MS - 1, 10)
    assert (
        scheduler.reason_of(TaskId("large", 0))
        == "waiting: no worker has enough free capacity"
    )
    scheduler.step(TASK_RESERVATION_DELAY_MS, 10)
    assert scheduler.reason_of(TaskId("large", 0)).startswith(
        "waiting: capacity is reserved"
    )


def test_a_team_above_its_share_yields_while_capacity_is_reserved() -> None:
    """Guards against small tasks that keep using freed capacity on other workers."""
    scheduler = scheduler_of(node("w-0", cores=2), node("w-1", cores=2))
    for index in range(100):
        scheduler.submit(queued("small", index, "a"), 0)
    placed = started(scheduler.step(0, 10))
    scheduler.submit(queued("large", team="b", cores=2), 0)
    scheduler.step(1, 10)
    for name in placed:
        scheduler.task_ended(TaskId.parse(name), EndStatus.DONE, 2)
        if names := started(scheduler.step(2, 10)):
            assert "large/0" in names
            return
        reason = scheduler.reason_of(TaskId("small", 99))
        assert (
            reason == "waiting: team is above its share, other teams are served first"
        )
    raise AssertionError("the large task did not start")


def test_a_blocked_team_starts_nothing_in_its_reserved_capacity() -> None:
    """Guards against a start above a limit through an earlier reservation."""
    scheduler = scheduler_of(node("w-0", cores=1))
    scheduler.submit(queued("a", team="a"), 0)
    scheduler.step(0, 10)
    scheduler.submit(queued("urgent", team="b", urgent=True), 0)
    scheduler.submit(queued("c", team="c", at_ms=1), 1)
    assert stopped(scheduler.step(1_000, 10)) == {"a/0": "checkpoint"}
    scheduler.set_blocked_team("b")
    scheduler.task_ended(TaskId("a", 0), EndStatus.DONE, 1_100)
    assert started(scheduler.step(1_100, 10)) == {"c/0": "w-0"}
    waiting = scheduler.reason_of(TaskId("urgent", 0))
    assert waiting == "waiting: team at its upper limit"
    scheduler.set_blocked_team("b", "")
    scheduler.task_ended(TaskId("c", 0), EndStatus.DONE, 1_200)
    assert started(scheduler.step(1_200, 10)) == {"urgent/0": "w-0"}
