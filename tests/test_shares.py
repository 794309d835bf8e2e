import pytest

from marjoramgrade.decisions.shares import TeamShares, fair_shares
from tests.scheduling import amount


def test_the_example_of_the_paper_is_reproduced() -> None:
    """Guards against shares that count one resource only (NSDI 2011, section 4.1)."""
    shares = fair_shares(
        amount(9, 18), {}, {"a": amount(100, 400), "b": amount(300, 100)}
    )
    assert shares == pytest.approx({"a": 2 / 3, "b": 2 / 3})


def test_capacity_left_by_a_small_demand_is_shared_by_weight() -> None:
    """Guards against capacity reserved for a team that does not need it."""
    demand = {"a": amount(1), "b": amount(90), "c": amount(90), "d": amount(0)}
    shares = fair_shares(amount(10), {"b": 2}, demand)
    assert shares == pytest.approx({"a": 0.1, "b": 0.6, "c": 0.3, "d": 0.0})


def test_the_distance_is_positive_above_the_share_and_negative_below() -> None:
    """Guards against a distance that does not show which team uses too much."""
    team_shares = TeamShares()
    team_shares.set_total(amount(10))
    team_shares.charge("a", amount(7))
    team_shares.charge("b", amount(3))
    distance = team_shares.distance_by_team({"a": amount(50), "b": amount(50)})
    assert distance == pytest.approx({"a": 0.2, "b": -0.2})


def test_a_changed_total_or_weight_changes_the_order() -> None:
    """Guards against weighted shares computed from an old total or weight."""
    team_shares = TeamShares()
    team_shares.set_total(amount(10, 10))
    team_shares.charge("a", amount(4, 1))
    team_shares.charge("b", amount(1, 5))
    assert team_shares.next_team(["a", "b"]) == "a"
    team_shares.set_total(amount(10, 20))
    assert team_shares.next_team(["a", "b"]) == "b"
    team_shares.set_weights({"a": 4})
    assert team_shares.next_team(["a", "b"]) == "a"
    team_shares.refund("b", amount(1, 5))
    assert team_shares.next_team(["a", "b"]) == "b"
