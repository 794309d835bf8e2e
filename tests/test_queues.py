import pytest

from marjoramgrade.decisions.queue_orders import QUEUE_ORDERS
from marjoramgrade.decisions.queues import (
    SHAPES_PER_ROUND,
    SWEEP_MINIMUM,
    DuplicateTaskError,
    TaskQueue,
)
from marjoramgrade.decisions.shares import TeamShares
from marjoramgrade.errors import OverloadedError
from marjoramgrade.model import Priority, TaskId
from tests.scheduling import amount, queued


def queue_of(
    order: str = "weighted_drf", shares: TeamShares | None = None
) -> TaskQueue:
    return TaskQueue(QUEUE_ORDERS.get(order).from_config(shares or TeamShares()))


def dequeue_all(queue: TaskQueue, priority: Priority = Priority.NORMAL) -> list[str]:
    taken = []
    while entry := queue.peek(priority):
        queue.dequeue(entry)
        taken.append(str(entry.task))
    return taken


def test_the_team_furthest_below_its_share_goes_first() -> None:
    """Guards against an order that ignores usage and weight."""
    shares = TeamShares()
    shares.set_total(amount(10))
    shares.set_weights({"a": 1, "b": 3})
    shares.charge("a", amount(2))
    shares.charge("b", amount(3))
    queue = queue_of(shares=shares)
    queue.push(queued("j-a", team="a"), 0)
    queue.push(queued("j-b", team="b"), 0)
    assert dequeue_all(queue) == ["j-b/0", "j-a/0"]


def test_fifo_takes_the_oldest_head_of_any_team() -> None:
    """Guards against a baseline that is not first in, first out."""
    queue = queue_of("fifo")
    for at_ms, team in ((5, "a"), (1, "b"), (3, "a")):
        queue.push(queued(f"j-{at_ms}", team=team, at_ms=at_ms, cores=at_ms), 10)
    assert dequeue_all(queue) == ["j-1/0", "j-3/0", "j-5/0"]


def test_a_skipped_shape_blocks_neither_other_shapes_nor_other_teams() -> None:
    """Guards against head-of-line blocking by a large task."""
    queue = queue_of()
    queue.push(queued("large", cores=9), 0)
    queue.push(queued("small", at_ms=1), 1)
    queue.push(queued("other", team="b", at_ms=2), 2)
    head = queue.peek(Priority.NORMAL)
    assert head is not None
    queue.skip_shape(head, "waiting: no worker has enough free capacity")
    assert dequeue_all(queue) == ["small/0", "other/0"]
    assert queue.reason_of(head) == "waiting: no worker has enough free capacity"
    queue.begin_round(3)
    assert queue.peek(Priority.NORMAL) is head


def test_a_round_tries_a_bounded_number_of_shapes_of_one_team() -> None:
    """Guards against a round whose cost grows with the number of shapes."""
    queue = queue_of()
    for cores in range(1, 100):
        queue.push(queued(f"j-{cores}", cores=cores, at_ms=cores), 100)
    tried = 0
    while entry := queue.peek(Priority.NORMAL):
        queue.skip_shape(entry, "no capacity")
        tried += 1
    assert tried == SHAPES_PER_ROUND


def test_cancelled_tasks_are_never_returned_and_not_counted() -> None:
    """Guards against a cancelled task that starts."""
    queue = queue_of()
    for index in range(4):
        queue.push(queued("j", index), 0)
    queue.push(queued("k"), 0)
    assert queue.cancel(TaskId("j", 0)) is not None
    assert queue.cancel(TaskId("j", 0)) is None
    assert queue.length_of("a") == 4
    assert queue.cancel_job("j") == 3
    assert queue.length_of("a") == 1
    assert dequeue_all(queue) == ["k/0"]


def test_tombstones_are_swept_while_their_team_is_blocked() -> None:
    """Guards against memory that grows with cancellations in a blocked team."""
    queue = queue_of()
    queue.set_blocked("a", "blocked")
    for index in range(3 * SWEEP_MINIMUM):
        queue.push(queued("j", index), 0)
        queue.cancel(TaskId("j", index))
    shape_queues = (
        queue._tier_by_priority[Priority.NORMAL].queue_by_team["a"].queue_by_shape
    )
    assert sum(len(each) for each in shape_queues.values()) <= SWEEP_MINIMUM + 1


def test_a_cancelled_and_resubmitted_task_is_returned_once() -> None:
    """Guards against a tombstone that becomes live again with the same id."""
    queue = queue_of()
    queue.push(queued("j"), 0)
    queue.cancel_job("j")
    queue.push(queued("j", at_ms=1), 1)
    assert dequeue_all(queue) == ["j/0"]
    assert len(queue) == 0


def test_the_bound_refuses_new_work_but_not_requeued_work() -> None:
    """Guards against an unbounded queue and against loss of accepted work."""
    queue = queue_of()
    queue.set_bound("a", 1)
    queue.push(queued("j", 0), 0)
    with pytest.raises(OverloadedError):
        queue.push(queued("j", 1), 0)
    queue.push(queued("j", 2), 0, is_requeue=True)
    assert queue.length_of("a") == 2


def test_a_task_is_queued_at_most_once() -> None:
    """Guards against two entries for one task."""
    queue = queue_of()
    queue.push(queued("j"), 0)
    with pytest.raises(DuplicateTaskError):
        queue.push(queued("j"), 0)


def test_a_blocked_team_is_skipped_until_it_is_unblocked() -> None:
    """Guards against work above a limit, and against a team that stays blocked."""
    queue = queue_of()
    queue.push(queued("j"), 0)
    queue.set_blocked("a", "waiting: team at its upper limit")
    queue.begin_round(1)
    assert queue.peek(Priority.NORMAL) is None
    queue.set_blocked("a", "")
    assert dequeue_all(queue) == ["j/0"]


def test_a_delayed_task_is_returned_when_it_is_due() -> None:
    """Guards against a retry that ignores its back-off or is lost."""
    queue = queue_of()
    queue.push(queued("j", not_before_ms=50), 0)
    queue.begin_round(49)
    assert queue.peek(Priority.NORMAL) is None
    queue.begin_round(50)
    assert dequeue_all(queue) == ["j/0"]


def test_requeued_work_keeps_its_place() -> None:
    """Guards against preempted work that is requeued at the end of its queue."""
    queue = queue_of()
    queue.push(queued("new", at_ms=5), 5)
    queue.push(queued("old", 0, at_ms=1), 6, is_requeue=True)
    queue.push(queued("old", 1, at_ms=2), 6, is_requeue=True)
    assert dequeue_all(queue) == ["old/0", "old/1", "new/0"]
