from marjoramgrade.decisions.requestqueue import RequestQueue


def _weighted_usage(team: str) -> float:
    return {"large": 2.0, "small": 1.0}[team]


def test_a_team_at_its_limit_does_not_block_the_others() -> None:
    """Guards against many requests of one team that block the head of the queue."""
    queue: RequestQueue[str] = RequestQueue()
    for number in range(3):
        queue.push("large", f"large-{number}")
    queue.push("small", "small-0")
    assert queue.pop(lambda team: team == "small", _weighted_usage) == "small-0"
    assert queue.pop(lambda team: team == "small", _weighted_usage) is None
    assert len(queue) == 3


def test_the_team_below_its_share_goes_first() -> None:
    """Guards against first in, first out, which favours teams with many requests."""
    queue: RequestQueue[str] = RequestQueue()
    queue.push("large", "large-0")
    queue.push("small", "small-0")
    order = [queue.pop(lambda _: True, _weighted_usage) for _ in range(3)]
    assert order == ["small-0", "large-0", None]


def test_expired_requests_are_removed_from_any_position() -> None:
    """Guards against an expired request that stays queued behind a blocked one."""
    queue: RequestQueue[int] = RequestQueue()
    for number in (5, 1, 9):
        queue.push("large", number)
    assert queue.pop_if(lambda number: number < 6) == [5, 1]
    assert list(queue.iter_items()) == [9]
    assert len(queue) == 1
