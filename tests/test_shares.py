import pytest

from marjoramgrade.decisions.shares import TeamShares, fair_shares
from tests.scheduling import amount


def test_the_example_of_the_paper_is_reproduced() -> None:
    """Guards against shares of one resource only (NSDI 2011, section 4.1)."""
    shares = fair_shares(
        amount(9, 18), {}, {"a": amount(100, 400), "b": amount(300, 100)}
    )
    assert shares == pytest.approx({"a": 2 / 3, "b": 2 / 3})


def test_what_a_small_demand_leaves_goes_to_the_others_by_weight() -> None:
    """Guards against shares that keep room for a team that does not want it."""
    demand = {"a": amount(1), "b": amount(90), "c": amount(90), "d": amount(0)}
    shares = fair_shares(amount(10), {"b": 2}, demand)
    assert shares == pytest.approx({"a": 0.1, "b": 0.6, "c": 0.3, "d": 0.0})


def test_the_distance_is_positive_above_the_share_and_negative_below() -> None:
    """Guards against a distance that hides which team gets too much."""
    book = TeamShares()
    book.set_total(amount(10))
    book.charge("a", amount(7))
    book.charge("b", amount(3))
    distance = book.distance_by_team({"a": amount(50), "b": amount(50)})
    assert distance == pytest.approx({"a": 0.2, "b": -0.2})


def test_a_changed_total_or_weight_changes_the_order() -> None:
    """Guards against levels that were worked out for an older cell."""
    book = TeamShares()
    book.set_total(amount(10, 10))
    book.charge("a", amount(4, 1))
    book.charge("b", amount(1, 5))
    assert book.next_team(["a", "b"]) == "a"
    book.set_total(amount(10, 20))
    assert book.next_team(["a", "b"]) == "b"
    book.set_weights({"a": 4})
    assert book.next_team(["a", "b"]) == "a"
    book.refund("b", amount(1, 5))
    assert book.next_team(["a", "b"]) == "b"
