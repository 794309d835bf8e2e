from marjoramgrade.decisions.requestqueue import RequestQueue


def _level(team: str) -> float:
    return {"large": 2.0, "small": 1.0}[team]


def test_a_team_at_its_limit_does_not_hold_up_the_others() -> None:
    """Guards against one team's flood that blocks the head of the queue."""
    queue: RequestQueue[str] = RequestQueue()
    for number in range(3):
        queue.push("large", f"large-{number}")
    queue.push("small", "small-0")
    assert queue.pop(lambda team: team == "small", _level) == "small-0"
    assert queue.pop(lambda team: team == "small", _level) is None
    assert len(queue) == 3


def test_the_team_below_its_share_goes_first() -> None:
    """Guards against service in order of arrival, which rewards floods."""
    queue: RequestQueue[str] = RequestQueue()
    queue.push("large", "large-0")
    queue.push("small", "small-0")
    order = [queue.pop(lambda _: True, _level) for _ in range(3)]
    assert order == ["small-0", "large-0", None]


def test_late_requests_leave_from_any_place() -> None:
    """Guards against an expired request that waits behind a blocked one."""
    queue: RequestQueue[int] = RequestQueue()
    for number in (5, 1, 9):
        queue.push("large", number)
    assert queue.pop_if(lambda number: number < 6) == [5, 1]
    assert list(queue.iter_items()) == [9]
    assert len(queue) == 1
