from marjoramgrade.decisions.freshness import FRESHNESS_MS, FreshnessLease
from marjoramgrade.decisions.ownership import (
    DRIFT_MARGIN_MS,
    OWNERSHIP_LEASE_MS,
    HeldLease,
)
from marjoramgrade.decisions.promises import (
    FLEET_SCOPE,
    PROMISE_MS,
    GivenPromises,
    PromiseReply,
    PromiseRequest,
    PromiseTracker,
    ReceivedPromises,
    Refusal,
)

REQUEST_TO_ALL = PromiseRequest(FLEET_SCOPE, frozenset("ab"))
GRANTED = PromiseReply(None)


def make_given_during_outage() -> GivenPromises:
    return GivenPromises(is_admitted=True, is_table_reached=False)


def test_a_member_that_reaches_the_table_refuses() -> None:
    """Guards against mistaking a network partition for an outage of the table."""
    given = GivenPromises(is_admitted=True)
    assert given.attest(REQUEST_TO_ALL, 1, 0).refusal is Refusal.TABLE_REACHED
    assert given.begin_write("w", 0)


def test_a_promise_forbids_writes_and_joining_members_until_it_ends() -> None:
    """Guards against a change that the holder of a promise does not learn of."""
    given = make_given_during_outage()
    assert given.attest(REQUEST_TO_ALL, 1, 100).refusal is None
    expires_ms = 100 + PROMISE_MS + DRIFT_MARGIN_MS
    assert not given.begin_write("w", expires_ms - 1)
    assert not given.acknowledge("c", "z", expires_ms - 1)
    assert given.acknowledge("c", "z", expires_ms)
    assert given.begin_write("w", expires_ms)


def test_a_write_of_unknown_outcome_forbids_promises() -> None:
    """Guards against a write that takes effect after a promise was given."""
    given = make_given_during_outage()
    assert given.begin_write("w", 0)
    assert given.attest(REQUEST_TO_ALL, 1, 9_000).refusal is Refusal.WRITE_IN_FLIGHT
    given.end_write("w")
    assert given.attest(REQUEST_TO_ALL, 1, 9_000).refusal is None


def test_a_requester_must_know_the_joining_members_of_its_scope() -> None:
    """Guards against a joining member whose promise is never requested."""
    given = make_given_during_outage()
    assert given.acknowledge("c", "z", 0)
    assert given.attest(REQUEST_TO_ALL, 1, 0).refusal is Refusal.UNLISTED_MEMBER
    in_zone = PromiseRequest("z", frozenset("ab"))
    assert given.attest(in_zone, 1, 0).refusal is Refusal.UNLISTED_MEMBER
    assert given.attest(PromiseRequest("y", frozenset("a")), 1, 0).refusal is None
    given.remove_member("c")
    assert given.attest(REQUEST_TO_ALL, 1, 0).refusal is None
    assert not GivenPromises().acknowledge("c", "z", 0), (
        "the instance is not admitted itself"
    )


def test_a_holder_needs_the_promise_of_a_member_that_it_acknowledged() -> None:
    """Guards against a holder that relies on an outdated member list."""
    tracker = PromiseTracker("a", "z", make_given_during_outage())
    tracker.fleet.set_members("ab")
    tracker.for_shard("z.0").set_members("ab")
    assert tracker.acknowledge("c", "z", 0)
    assert tracker.acknowledge("d", "y", 0)
    tracker.fleet.set_members("ab")
    assert tracker.fleet.peers == {"b", "c", "d"}
    assert tracker.for_shard("z.0").peers == tracker.for_shard("z.1").peers | {"b"}
    assert tracker.for_shard("z.1").peers == {"c"}
    tracker.remove_member("c")
    assert tracker.fleet.peers == {"b", "d"}
    tracker.discard_shard("z.0")
    assert tracker.for_shard("z.0").peers == set()


def test_authority_needs_every_member_and_counts_from_before_the_request() -> None:
    """Guards against authority by a mere majority or by a delayed reply."""
    received = ReceivedPromises("a", FLEET_SCOPE)
    assert not received.holds(0), "the member list is unknown"
    received.set_members({"a", "b", "c"})
    received.record("b", received.request(), GRANTED, asked_ms=100)
    assert not received.holds(100)
    received.record("c", received.request(), GRANTED, asked_ms=300)
    assert received.holds(100 + PROMISE_MS - 1)
    assert not received.holds(100 + PROMISE_MS)
    received.record("b", REQUEST_TO_ALL, GRANTED, asked_ms=900)
    assert not received.holds(100 + PROMISE_MS), "the request to b did not list c"


def test_a_standby_that_may_be_on_the_row_is_asked_too() -> None:
    """Guards against a renewal that took effect although its response was lost."""
    received = ReceivedPromises("a", "z")
    received.set_members({"a"})
    assert not received.holds(0), "an owner without standbys has no authority"
    received.set_members({"a", "b"})
    received.add_proposed_members({"a", "c"})
    received.record("b", received.request(), GRANTED, asked_ms=0)
    assert not received.holds(1)
    received.record("c", received.request(), GRANTED, asked_ms=0)
    assert received.holds(1)


def test_promises_extend_a_lease_only_while_it_holds() -> None:
    """Guards against an owner that resumes after another instance took over."""
    received = ReceivedPromises("a", "z")
    received.set_members({"a", "b"})
    lease = HeldLease(1)
    lease.confirm(0)
    received.record("b", received.request(), GRANTED, asked_ms=5_900)
    assert not received.extend(lease, OWNERSHIP_LEASE_MS)
    assert received.extend(lease, OWNERSHIP_LEASE_MS - 1)
    assert lease.until_ms == 5_900 + PROMISE_MS


def test_promises_confirm_only_the_newest_configuration() -> None:
    """Guards against a revoked key that stays valid during an outage."""
    received = ReceivedPromises("a", FLEET_SCOPE)
    received.set_members({"a", "b", "c"})
    received.record("b", received.request(), PromiseReply(None, 7), 100)
    assert received.confirmed_from_ms(8, 200) is None
    received.record("c", received.request(), PromiseReply(None, 8), 50)
    assert received.confirmed_from_ms(7, 200) is None
    assert received.confirmed_from_ms(8, 200) == 50
    freshness_lease = FreshnessLease()
    freshness_lease.confirm(50)
    freshness_lease.confirm(20)
    assert freshness_lease.holds(50 + FRESHNESS_MS - 1)
    assert not freshness_lease.holds(50 + FRESHNESS_MS)
