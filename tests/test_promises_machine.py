import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from marjoramgrade.decisions.joining import may_change_config, may_take_over_shard
from marjoramgrade.decisions.ownership import (
    OWNERSHIP_LEASE_MS,
    HeldLease,
    ObservedLease,
    ShardRow,
)
from marjoramgrade.decisions.promises import (
    FLEET_SCOPE,
    PROMISE_MS,
    GivenPromises,
    PromiseReply,
    PromiseRequest,
    PromiseTracker,
    ReceivedPromises,
)

MACHINE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=250,
    stateful_step_count=40,
    phases=[Phase.generate],
)


@attrs.define
class Write:
    """A write to the table that may arrive at any time.

    Attributes:
        name: The member that sent the write.
        version: Version that the row or document must still have.
        row: New shard row, or None for a change to the configuration.
    """

    name: str
    version: int
    row: ShardRow | None = None


@attrs.define
class Member:
    name: str
    tracker: PromiseTracker
    lease: HeldLease = attrs.field(factory=lambda: HeldLease(0))
    watch: ObservedLease = attrs.field(factory=ObservedLease)
    row: ShardRow = ShardRow("z.0")
    registered: tuple[str, ...] = ()
    registered_before: tuple[str, ...] = ()
    acknowledged_by: set[str] = attrs.field(factory=set)
    write: Write | None = None

    @property
    def given(self) -> GivenPromises:
        return self.tracker.given

    @property
    def fleet(self) -> ReceivedPromises:
        return self.tracker.fleet

    @property
    def zone(self) -> ReceivedPromises:
        return self.tracker.for_shard("z.0")


NAME = st.sampled_from("abc")
MOSTLY_TRUE = st.sampled_from([True, True, True, False])


class PromiseMachine(RuleBasedStateMachine):
    """Three instances of a zone, `c` a joining member, and a table with outages.

    Outages affect each instance separately. Writes may arrive late, and their
    responses may be lost.
    """

    given_type = GivenPromises
    received_type = ReceivedPromises

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.row = ShardRow("z.0", "a", 1, 0, ("a", "b"))
        self.row_version = self.config_version = 1
        self.registered: tuple[str, ...] = ("a", "b")
        self.can_reach_table = dict.fromkeys("abc", True)
        self.writes: list[Write] = []
        self.members = {name: self.make_member(name) for name in "abc"}
        self.members["a"].lease = HeldLease(1, OWNERSHIP_LEASE_MS)
        for name in "abc":
            self.members[name].given.is_admitted = name != "c"
            self.read_table(name)

    def make_member(self, name: str) -> Member:
        fleet = self.received_type(name, FLEET_SCOPE)
        tracker = PromiseTracker(name, "z", self.given_type(), fleet)
        tracker._received_by_shard["z.0"] = self.received_type(name, "z")
        return Member(name, tracker)

    @rule(by_ms=st.sampled_from([500, 2_000, PROMISE_MS, 6_500]))
    def advance(self, by_ms: int) -> None:
        self.now_ms += by_ms

    @rule(name=NAME)
    def toggle_table(self, name: str) -> None:
        self.can_reach_table[name] = not self.can_reach_table[name]
        self.read_table(name)

    @rule()
    def lose_table(self) -> None:
        self.can_reach_table = dict.fromkeys("abc", False)
        for name in "abc":
            self.read_table(name)

    @rule(name=NAME)
    def read_table(self, name: str) -> None:
        member = self.members[name]
        member.given.is_table_reached = self.can_reach_table[name]
        if not self.can_reach_table[name]:
            return
        if member.write is not None and member.write not in self.writes:
            self.end_write(member)
        member.watch.observe(self.row, self.row_version, self.now_ms)
        member.row = self.row
        member.registered = self.registered
        member.fleet.set_members(self.registered)
        member.zone.set_members({self.row.owner, *self.row.guardians})

    @rule()
    def register_newcomer(self) -> None:
        if self.can_reach_table["c"] and "c" not in self.registered:
            self.members["c"].registered_before = self.registered
            self.registered = (*self.registered, "c")

    @rule(name=st.sampled_from("ab"))
    def acknowledge(self, name: str) -> None:
        joining_member = self.members["c"]
        tracker = self.members[name].tracker
        if "c" in self.registered and tracker.acknowledge("c", "z", self.now_ms):
            joining_member.acknowledged_by.add(name)

    @rule(name=NAME, peer=NAME, is_fleet=st.booleans(), is_quick=MOSTLY_TRUE)
    def ask(self, name: str, peer: str, is_fleet: bool, is_quick: bool) -> None:
        member = self.members[name]
        received = member.fleet if is_fleet else member.zone
        request, asked_ms = received.request(), self.now_ms
        reply = self.members[peer].given.attest(
            request, self.config_version, self.now_ms
        )
        self.now_ms += 0 if is_quick else 3_000
        if peer in received.peers:
            received.record(peer, request, reply, asked_ms)
        member.zone.extend(member.lease, self.now_ms)

    @rule(name=NAME)
    def ask_all(self, name: str) -> None:
        for received in (self.members[name].fleet, self.members[name].zone):
            for peer in sorted(received.peers):
                self.ask(name, peer, received.scope == FLEET_SCOPE, is_quick=True)

    @rule(name=NAME, is_at_once=MOSTLY_TRUE)
    def change_config(self, name: str, is_at_once: bool) -> None:
        member = self.members[name]
        earlier_members = () if name != "c" else member.registered_before or ("a", "b")
        if may_change_config(name, earlier_members, member.acknowledged_by):
            self.send(member, Write(name, self.config_version), is_at_once)

    @rule(name=NAME, is_asking=MOSTLY_TRUE)
    def fail_over(self, name: str, is_asking: bool) -> None:
        self.read_table(name)
        for _ in range(4):
            if is_asking:
                self.ask_all(self.row.owner)
            self.advance(by_ms=2_000)
        self.take_over(name, is_at_once=True)

    @rule(name=NAME, is_at_once=MOSTLY_TRUE)
    def take_over(self, name: str, is_at_once: bool) -> None:
        member = self.members[name]
        row = member.row
        if name != row.owner and member.watch.may_take_over(self.now_ms):
            is_allowed = may_take_over_shard(
                name, row, member.registered, member.acknowledged_by
            )
            taken = row.taken_over_by(name, tuple(self.registered))
            if is_allowed:
                member.zone.add_proposed_members(taken.guardians)
                write = Write(name, member.watch.version, taken)
                self.send(member, write, is_at_once)

    def send(self, member: Member, write: Write, is_at_once: bool) -> None:
        is_idle = member.write is None and self.can_reach_table[member.name]
        if is_idle and member.given.begin_write("w", self.now_ms):
            member.write = write
            self.writes.append(write)
            if is_at_once:
                self.arrive(pick=-1, is_answered=True)

    @rule(pick=st.integers(0, 9), is_answered=st.booleans())
    def arrive(self, pick: int, is_answered: bool) -> None:
        if not self.writes:
            return
        write = self.writes.pop(pick % len(self.writes))
        member = self.members[write.name]
        if write.row is None and write.version == self.config_version:
            self.check_no_peer_holds_promises(write.name)
            self.config_version += 1
        elif write.row is not None and write.version == self.row_version:
            self.check_no_peer_holds_promises(write.name)
            assert not self.find_lease_holders(excluding=write.name)
            self.row = write.row
            self.row_version += 1
            if is_answered:
                member.lease = HeldLease(self.row.epoch)
                member.lease.confirm(self.now_ms)
        if is_answered:
            self.end_write(member)

    def end_write(self, member: Member) -> None:
        member.write = None
        member.given.end_write("w")

    @rule(is_answered=MOSTLY_TRUE)
    def renew(self, is_answered: bool) -> None:
        owner = self.members[self.row.owner]
        is_current = owner.lease.epoch == self.row.epoch
        if (
            is_current
            and owner.lease.holds(self.now_ms)
            and self.can_reach_table[owner.name]
        ):
            owner.zone.add_proposed_members(owner.registered)
            self.row = self.row.renewed(tuple(owner.registered))
            self.row_version += 1
            if is_answered:
                owner.zone.set_members(owner.registered)
                owner.lease.confirm(self.now_ms)

    def find_lease_holders(self, excluding: str) -> list[str]:
        return [
            name
            for name, member in self.members.items()
            if name != excluding and member.lease.holds(self.now_ms)
        ]

    def check_no_peer_holds_promises(self, name: str) -> None:
        for member in self.members.values():
            holds_promises = (
                member.fleet.holds(self.now_ms) and member.name in self.registered
            )
            assert member.name == name or not holds_promises


def test_authority_by_promises_never_overlaps_with_a_change() -> None:
    """Guards against stale authority and a second owner (invariants 2 and 11)."""
    run_state_machine_as_test(PromiseMachine, settings=MACHINE)


class WritesDuringPromise(GivenPromises):
    def begin_write(self, write_id: str, now_ms: int) -> bool:
        return True


class IgnoresWritesInFlight(GivenPromises):
    def attest(
        self, request: PromiseRequest, config_version: int, now_ms: int
    ) -> PromiseReply:
        self._writes_in_flight.clear()
        return super().attest(request, config_version, now_ms)


class AlwaysAcknowledges(GivenPromises):
    def acknowledge(self, joining_member: str, zone: str, now_ms: int) -> bool:
        return True


class WithoutProposedMembers(ReceivedPromises):
    def add_proposed_members(self, members) -> None:
        pass


class OnePromiseSuffices(ReceivedPromises):
    def until_ms(self, now_ms: int) -> int:
        ends = sorted(promise.until_ms for promise in self._promise_by_peer.values())
        return ends[-1] if ends else 0


def change_after_promise(machine: PromiseMachine) -> None:
    machine.lose_table()
    machine.ask_all("a")
    machine.toggle_table("b")
    machine.change_config("b", is_at_once=True)


def change_sent_before_promise(machine: PromiseMachine) -> None:
    machine.change_config("b", is_at_once=False)
    machine.lose_table()
    machine.ask_all("a")
    machine.arrive(pick=0, is_answered=False)


def change_by_joining_member(machine: PromiseMachine) -> None:
    machine.can_reach_table.update(a=False, b=False)
    machine.read_table("a")
    machine.read_table("b")
    machine.register_newcomer()
    machine.acknowledge("b")
    machine.ask_all("a")
    machine.change_config("c", is_at_once=True)


def change_by_member_without_request(machine: PromiseMachine) -> None:
    machine.register_newcomer()
    machine.read_table("a")
    machine.can_reach_table.update(a=False, b=False)
    machine.read_table("a")
    machine.read_table("b")
    machine.acknowledge("b")
    machine.ask_all("a")
    machine.change_config("c", is_at_once=True)


def takeover_by_standby_of_unanswered_renewal(machine: PromiseMachine) -> None:
    machine.register_newcomer()
    machine.read_table("a")
    machine.renew(is_answered=False)
    machine.read_table("c")
    machine.can_reach_table.update(a=False, b=False)
    for name in "ab":
        machine.read_table(name)
    machine.fail_over("c", is_asking=True)


def make_machine(
    given: type[GivenPromises] = GivenPromises,
    received: type[ReceivedPromises] = ReceivedPromises,
) -> PromiseMachine:
    class Machine(PromiseMachine):
        given_type = given
        received_type = received

    return Machine()


@pytest.mark.parametrize(
    ("play", "broken"),
    [
        (change_after_promise, {"given": WritesDuringPromise}),
        (change_sent_before_promise, {"given": IgnoresWritesInFlight}),
        (change_by_joining_member, {"given": AlwaysAcknowledges}),
        (change_by_member_without_request, {"received": OnePromiseSuffices}),
        (
            takeover_by_standby_of_unanswered_renewal,
            {"received": WithoutProposedMembers},
        ),
    ],
)
def test_the_machine_finds_a_missing_mechanism(play, broken) -> None:
    """Guards against a state machine that does not detect overlapping authority."""
    play(make_machine())
    with pytest.raises(AssertionError):
        play(make_machine(**broken))
