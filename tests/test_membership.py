import attrs

from marjoramgrade.decisions.membership import (
    FIRST_BACKOFF_MS,
    MAX_BACKOFF_MS,
    MemberView,
    removable_members,
)
from marjoramgrade.model import Instance, InstanceKind

B1 = Instance("b1", InstanceKind.BACKEND, "z", "10.0.0.1", 80)
B2 = Instance("b2", InstanceKind.BACKEND, "y", "10.0.0.2", 80)
E1 = Instance("e1", InstanceKind.ENTRY, "z", "10.0.0.3", 80)


def make_view(*instances: Instance) -> MemberView:
    view = MemberView()
    view.apply_list(instances, 0)
    return view


def test_a_new_list_tells_what_changed() -> None:
    """Guards against controllers that miss an added, removed or leaving instance."""
    view = make_view(B1, E1)
    change = view.apply_list([attrs.evolve(B1, leaving=True), B2], 1)
    assert [instance.instance_id for instance in change.added] == ["b2"]
    assert [instance.instance_id for instance in change.removed] == ["e1"]
    assert [instance.instance_id for instance in change.leaving] == ["b1"]
    assert view.usable(InstanceKind.BACKEND) == (B2,)
    assert view.usable(InstanceKind.BACKEND, "z") == ()
    assert len(view.listed(InstanceKind.BACKEND, "z")) == 1


def test_an_older_list_is_ignored() -> None:
    """Guards against responses that arrive out of order."""
    view = make_view(B1)
    view.apply_list([B1, B2], 5)
    view.apply_list([], 4)
    assert view.usable(InstanceKind.BACKEND) == (B1, B2)


def test_a_failure_seen_here_outweighs_the_list() -> None:
    """Guards against work for a failed server that the list still contains."""
    view = make_view(B1)
    view.mark_failed("b1", 100)
    view.apply_list([B1], 200)
    assert not view.is_usable("b1")
    assert not view.may_connect("b1", 100 + FIRST_BACKOFF_MS - 1)
    assert view.may_connect("b1", 100 + FIRST_BACKOFF_MS)
    for _ in range(40):
        view.mark_failed("b1", 300)
    assert not view.may_connect("b1", 300 + MAX_BACKOFF_MS - 1)
    assert view.may_connect("b1", 300 + MAX_BACKOFF_MS)
    view.mark_responsive("b1", asked_ms=300)
    assert not view.is_usable("b1"), "the request was sent before the last failure"
    view.mark_responsive("b1", asked_ms=301)
    assert view.is_usable("b1")


def test_leaving_is_never_taken_back() -> None:
    """Guards against new work for a leaving server (invariant 9)."""
    view = make_view(B1)
    view.mark_leaving("b1")
    view.apply_list([B1], 1)
    assert not view.is_usable("b1") and view.may_connect("b1", 1)
    view = make_view(attrs.evolve(B1, leaving=True))
    assert view.apply_list([B1], 1).leaving == ()
    assert not view.is_usable("b1")
    view.apply_list([], 2)
    view.mark_failed("b1", 2)
    assert not view.may_connect("b1", 99_000)


def test_a_member_is_removed_only_off_the_list_and_without_leases() -> None:
    """Guards against the removal of a member that still holds authority."""
    lapsed = {"e1": True, "e2": True, "e3": False}
    assert removable_members(lapsed, MemberView(), lapsed) == frozenset()
    assert removable_members(lapsed, make_view(E1), lapsed) == {"e2"}
