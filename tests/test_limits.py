import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from marjoramgrade.decisions import grants
from marjoramgrade.decisions.grants import UNLIMITED, GrantsRow
from marjoramgrade.decisions.limits import HeldGrants, choose_donor
from marjoramgrade.errors import CheckFailedError
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.table import MemoryTable, Transaction

MACHINE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=120,
    stateful_step_count=40,
    phases=[Phase.generate],
)
SHARDS = ("x", "y", "z")
SHARD = st.sampled_from(SHARDS)
MOSTLY_TRUE = st.sampled_from([True, True, True, False])


def units(amount: int) -> Resources:
    return Resources(accelerators=amount)


def held_grants_of(limit: int, amount: int) -> HeldGrants:
    held = HeldGrants("x", 1)
    row = GrantsRow("t", units(limit), {"x": units(amount)})
    held.adopt(grants.claim(row, "x", 1), 1)
    return held


def test_reservations_stay_within_the_grant() -> None:
    """Guards against a team that exceeds its upper limit (invariant 4)."""
    held = held_grants_of(10, 3)
    assert not held.reserve("other", units(1)), "its row was never read"
    assert held.reserve("t", Resources(cpu_millis=900, accelerators=2))
    assert not held.reserve("t", units(2))
    assert held.headroom("t").accelerators == 1
    assert held.headroom("t").cpu_millis == UNLIMITED - 900
    assert held.wanted("t", units(4)) == units(3)
    held.release("t", units(2))
    with pytest.raises(ValueError):
        held.release("t", units(1))


def test_an_owner_uses_no_grant_before_its_claim_is_in_the_row() -> None:
    """Guards against a late transaction of the previous owner."""
    held = HeldGrants("x", 2)
    row = grants.claim(GrantsRow("t", units(9), {"x": units(5)}), "x", 1)
    held.reserve_running("t", units(4))
    held.adopt(row, 1)
    assert not held.reserve("t", units(1))
    claimed = held.begin_claim("t")
    assert claimed is not None
    held.adopt(claimed, 2)
    assert held.headroom("t") == attrs.evolve(held.headroom("t"), accelerators=1)


def test_returned_grant_stays_unused_until_a_later_row_is_read() -> None:
    """Guards against an amount that is used here and granted to another shard."""
    held = held_grants_of(10, 5)
    returning = held.begin_return("t", units(3))
    assert returning is not None and returning.amount("x") == units(2)
    assert held.headroom("t").accelerators == 2
    assert held.begin_allocate("t", units(1)) is None, "a write is pending"
    held.adopt(grants.claim(GrantsRow("t", units(10)), "x", 1), 1)
    assert held.headroom("t").accelerators == 2, "the write may still take effect"
    held.adopt(returning, 2)
    assert held.headroom("t").accelerators == 2
    assert held.begin_return("t", units(1)) is not None
    held.cancel("t")
    assert held.headroom("t").accelerators == 2


def test_a_lowered_grant_is_confirmed_once_running_tasks_fit() -> None:
    """Guards against an amount that is granted to others while tasks still use it."""
    held = held_grants_of(10, 8)
    assert held.reserve("t", units(6))
    lowered = grants.with_limit(
        grants.claim(GrantsRow("t", units(10), {"x": units(8)}), "x", 1), units(4)
    )
    held.adopt(lowered, 2)
    assert held.excess("t") == units(2)
    assert held.begin_confirm("t") is None
    held.release("t", units(2))
    confirmed = held.begin_confirm("t")
    assert confirmed is not None and confirmed.unconfirmed_by_shard == {}


def test_the_shard_that_can_spare_most_is_asked() -> None:
    """Guards against requests to shards that have nothing to return."""
    unused = {"x": units(1), "y": units(9), "z": Resources(cpu_millis=99)}
    assert choose_donor(units(4), unused) == "y"
    assert choose_donor(units(4), {"z": unused["z"]}) is None
    assert choose_donor(units(4), {}) is None


@attrs.define
class Owner:
    held: HeldGrants
    sent: Transaction | None = None


class GrantMachine(RuleBasedStateMachine):
    """Three shards that share one limit, which operators change.

    Transactions may arrive late, and their responses may be lost. Tasks outlive the
    owner of their shard.
    """

    grants_type = HeldGrants
    lower = staticmethod(grants.with_limit)

    def __init__(self) -> None:
        super().__init__()
        self.ceiling = 6
        self.table = MemoryTable()
        self.write(grants.initial_row("t", units(6), SHARDS))
        self.running = dict.fromkeys(SHARDS, 0)
        self.in_transit: list[tuple[str, Owner, Transaction]] = []
        self.old_rows = [self.read()]
        self.owners: dict[str, Owner] = {}
        for shard in SHARDS:
            self.take_over(shard)

    def write(self, row: GrantsRow) -> None:
        self.table.apply(Transaction({}, {"grants/t": {"row": row}}))

    def read(self) -> tuple[GrantsRow, int]:
        row = self.table.scan("grants/").rows[0]
        return row.value["row"], row.version

    @rule(shard=SHARD)
    def take_over(self, shard: str) -> None:
        epoch = self.read()[0].epoch_by_shard.get(shard, 0)
        if shard in self.owners:
            epoch = max(epoch, self.owners[shard].held.epoch)
        owner = self.owners[shard] = Owner(self.grants_type(shard, epoch + 1))
        owner.held.reserve_running("t", units(self.running[shard]))
        self.observe(shard)
        self.send(shard, owner.held.begin_claim("t"), is_at_once=True)

    @rule(shard=SHARD)
    def observe(self, shard: str) -> None:
        self.old_rows = [*self.old_rows, self.read()][-8:]
        self.owners[shard].held.adopt(*self.read())

    @rule(shard=SHARD, pick=st.integers(0, 9))
    def observe_late(self, shard: str, pick: int) -> None:
        self.owners[shard].held.adopt(*self.old_rows[pick % len(self.old_rows)])

    @rule(shard=SHARD, amount=st.integers(1, 4))
    def start(self, shard: str, amount: int) -> None:
        if self.owners[shard].held.reserve("t", units(amount)):
            self.running[shard] += amount

    @rule(shard=SHARD, amount=st.integers(1, 4))
    def end(self, shard: str, amount: int) -> None:
        ended = min(amount, self.running[shard])
        self.owners[shard].held.release("t", units(ended))
        self.running[shard] -= ended

    @rule(shard=SHARD)
    def fill(self, shard: str) -> None:
        self.send_again(shard)
        self.arrive(pick=-1, is_answered=True)
        self.observe(shard)
        self.take(shard, 6, is_at_once=True)
        for _ in range(6):
            self.start(shard, 1)

    @rule(shard=SHARD, amount=st.integers(1, 6), is_at_once=MOSTLY_TRUE)
    def take(self, shard: str, amount: int, is_at_once: bool) -> None:
        row = self.owners[shard].held.begin_allocate("t", units(amount))
        self.send(shard, row, is_at_once)

    @rule(shard=SHARD, amount=st.integers(1, 6), is_at_once=MOSTLY_TRUE)
    def give_back(self, shard: str, amount: int, is_at_once: bool) -> None:
        row = self.owners[shard].held.begin_return("t", units(amount))
        self.send(shard, row, is_at_once)

    @rule(shard=SHARD, is_at_once=MOSTLY_TRUE)
    def confirm(self, shard: str, is_at_once: bool) -> None:
        self.observe(shard)
        excess = self.owners[shard].held.excess("t").accelerators
        self.end(shard, excess)
        self.send(shard, self.owners[shard].held.begin_confirm("t"), is_at_once)

    @rule(shard=SHARD)
    def send_again(self, shard: str) -> None:
        owner = self.owners[shard]
        if owner.sent is not None:
            self.in_transit.append((shard, owner, owner.sent))

    @rule(limit=st.sampled_from([3, 6, 12]))
    def change_limit(self, limit: int) -> None:
        self.write(self.lower(self.read()[0], units(limit)))
        self.ceiling = max(self.ceiling, limit)

    def send(self, shard: str, row: GrantsRow | None, is_at_once: bool) -> None:
        if row is None:
            return
        owner = self.owners[shard]
        checks = {"grants/t": owner.held.version("t")}
        owner.sent = Transaction(checks, {"grants/t": {"row": row}})
        self.in_transit.append((shard, owner, owner.sent))
        if is_at_once:
            self.arrive(pick=-1, is_answered=True)

    @rule(pick=st.integers(0, 9), is_answered=MOSTLY_TRUE)
    def arrive(self, pick: int, is_answered: bool) -> None:
        if not self.in_transit:
            return
        shard, owner, sent = self.in_transit.pop(pick % len(self.in_transit))
        try:
            self.table.apply(sent)
        except CheckFailedError:
            return
        if is_answered and self.owners[shard] is owner:
            owner.held.adopt(*self.read())

    @invariant()
    def never_above_the_limit(self) -> None:
        row = self.read()[0]
        amounts = sum(row.amount(shard).accelerators for shard in SHARDS)
        assert amounts <= row.limit.accelerators
        if not row.unconfirmed_by_shard:
            self.ceiling = row.limit.accelerators
        assert sum(self.running.values()) <= self.ceiling


def test_running_tasks_never_exceed_the_limit() -> None:
    """Guards against a team that exceeds its upper limit (invariant 4).

    After a limit was lowered, running tasks may exceed it until every holder has
    confirmed, but never the largest limit since the last full confirmation.
    """
    run_state_machine_as_test(GrantMachine, settings=MACHINE)


class GrantsUsedWhileReturning(HeldGrants):
    """Grants that remain in use while their return is pending."""

    def begin_return(self, team: str, amount: Resources) -> GrantsRow | None:
        row = super().begin_return(team, amount)
        self._grant_by_team[team].returning = ZERO_RESOURCES
        return row


class GrantsUsedWithoutClaim(HeldGrants):
    """Grants that an owner uses before its claim is in the row."""

    def _is_claimed(self, grant: object) -> bool:
        return True


class UsedWhileReturningMachine(GrantMachine):
    grants_type = GrantsUsedWhileReturning


class UsedWithoutClaimMachine(GrantMachine):
    grants_type = GrantsUsedWithoutClaim


class UnconfirmedMachine(GrantMachine):
    """A lowered limit that takes effect without confirmations."""

    @staticmethod
    def lower(row: GrantsRow, limit: Resources) -> GrantsRow:
        lowered = grants.with_limit(row, limit)
        return attrs.evolve(lowered, unconfirmed_by_shard={})


def use_while_returning(machine: GrantMachine) -> None:
    machine.observe("x")
    machine.give_back("x", 1, is_at_once=False)
    machine.start("x", 1)
    machine.arrive(pick=0, is_answered=False)
    fill_other_shards(machine)


def return_after_a_takeover(machine: GrantMachine) -> None:
    machine.observe("x")
    machine.give_back("x", 1, is_at_once=False)
    machine.take_over("x")
    machine.start("x", 1)
    machine.arrive(pick=0, is_answered=False)
    fill_other_shards(machine)


def raise_a_lowered_limit(machine: GrantMachine) -> None:
    machine.observe("x")
    machine.take("x", 3, is_at_once=True)
    machine.change_limit(3)
    machine.change_limit(6)
    machine.start("x", 4)
    fill_other_shards(machine)


def fill_other_shards(machine: GrantMachine) -> None:
    for shard in ("y", "z"):
        machine.fill(shard)
        machine.never_above_the_limit()
    assert sum(machine.running.values()) >= 3


@pytest.mark.parametrize(
    ("play", "broken"),
    [
        (use_while_returning, UsedWhileReturningMachine),
        (return_after_a_takeover, UsedWithoutClaimMachine),
        (raise_a_lowered_limit, UnconfirmedMachine),
    ],
)
def test_the_machine_finds_a_missing_mechanism(play, broken) -> None:
    """Guards against a state machine that does not detect an exceeded limit."""
    play(GrantMachine())
    with pytest.raises(AssertionError):
        play(broken())
