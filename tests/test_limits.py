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
OFTEN = st.sampled_from([True, True, True, False])


def units(amount: int) -> Resources:
    return Resources(accelerators=amount)


def book_of(limit: int, amount: int) -> HeldGrants:
    book = HeldGrants("x", 1)
    row = GrantsRow("t", units(limit), {"x": units(amount)})
    book.observe(grants.claim(row, "x", 1), 1)
    return book


def test_reservations_stay_within_the_grant() -> None:
    """Guards against a team above its upper limit (invariant 4)."""
    book = book_of(10, 3)
    assert not book.reserve("other", units(1)), "its row was never read"
    assert book.reserve("t", Resources(cpu_millis=900, accelerators=2))
    assert not book.reserve("t", units(2))
    assert book.headroom("t").accelerators == 1
    assert book.headroom("t").cpu_millis == UNLIMITED - 900
    assert book.wanted("t", units(4)) == units(3)
    book.release("t", units(2))
    with pytest.raises(ValueError):
        book.release("t", units(1))


def test_an_owner_uses_no_grant_before_its_claim_is_in_the_row() -> None:
    """Guards against a delayed transaction of the earlier owner."""
    book = HeldGrants("x", 2)
    row = grants.claim(GrantsRow("t", units(9), {"x": units(5)}), "x", 1)
    book.reserve_running("t", units(4))
    book.observe(row, 1)
    assert not book.reserve("t", units(1))
    claimed = book.begin_claim("t")
    assert claimed is not None
    book.observe(claimed, 2)
    assert book.headroom("t") == attrs.evolve(book.headroom("t"), accelerators=1)


def test_returned_grant_stays_unused_until_a_later_row_is_read() -> None:
    """Guards against a part that is used here and taken elsewhere."""
    book = book_of(10, 5)
    returning = book.begin_return("t", units(3))
    assert returning is not None and returning.amount("x") == units(2)
    assert book.headroom("t").accelerators == 2
    assert book.begin_allocate("t", units(1)) is None, "a write is pending"
    book.observe(grants.claim(GrantsRow("t", units(10)), "x", 1), 1)
    assert book.headroom("t").accelerators == 2, "the write may still take effect"
    book.observe(returning, 2)
    assert book.headroom("t").accelerators == 2
    assert book.begin_return("t", units(1)) is not None
    book.cancel("t")
    assert book.headroom("t").accelerators == 2


def test_a_lowered_grant_is_confirmed_once_running_tasks_fit() -> None:
    """Guards against a part that others take while tasks still use it."""
    book = book_of(10, 8)
    assert book.reserve("t", units(6))
    lowered = grants.with_limit(
        grants.claim(GrantsRow("t", units(10), {"x": units(8)}), "x", 1), units(4)
    )
    book.observe(lowered, 2)
    assert book.excess("t") == units(2)
    assert book.begin_confirm("t") is None
    book.release("t", units(2))
    confirmed = book.begin_confirm("t")
    assert confirmed is not None and confirmed.unconfirmed_by_shard == {}


def test_the_shard_that_can_spare_most_is_asked() -> None:
    """Guards against requests to shards that have nothing to give back."""
    unused = {"x": units(1), "y": units(9), "z": Resources(cpu_millis=99)}
    assert choose_donor(units(4), unused) == "y"
    assert choose_donor(units(4), {"z": unused["z"]}) is None
    assert choose_donor(units(4), {}) is None


@attrs.define
class Owner:
    book: HeldGrants
    sent: Transaction | None = None


class GrantMachine(RuleBasedStateMachine):
    """Three shards that share one limit; transactions arrive late or unanswered.

    Tasks outlive the owner of their shard; operators change the limit.
    """

    book_type = HeldGrants
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
            epoch = max(epoch, self.owners[shard].book.epoch)
        owner = self.owners[shard] = Owner(self.book_type(shard, epoch + 1))
        owner.book.reserve_running("t", units(self.running[shard]))
        self.observe(shard)
        self.send(shard, owner.book.begin_claim("t"), is_at_once=True)

    @rule(shard=SHARD)
    def observe(self, shard: str) -> None:
        self.old_rows = [*self.old_rows, self.read()][-8:]
        self.owners[shard].book.observe(*self.read())

    @rule(shard=SHARD, pick=st.integers(0, 9))
    def observe_late(self, shard: str, pick: int) -> None:
        self.owners[shard].book.observe(*self.old_rows[pick % len(self.old_rows)])

    @rule(shard=SHARD, amount=st.integers(1, 4))
    def start(self, shard: str, amount: int) -> None:
        if self.owners[shard].book.reserve("t", units(amount)):
            self.running[shard] += amount

    @rule(shard=SHARD, amount=st.integers(1, 4))
    def end(self, shard: str, amount: int) -> None:
        ended = min(amount, self.running[shard])
        self.owners[shard].book.release("t", units(ended))
        self.running[shard] -= ended

    @rule(shard=SHARD)
    def fill(self, shard: str) -> None:
        self.send_again(shard)
        self.arrive(pick=-1, is_answered=True)
        self.observe(shard)
        self.take(shard, 6, is_at_once=True)
        for _ in range(6):
            self.start(shard, 1)

    @rule(shard=SHARD, amount=st.integers(1, 6), is_at_once=OFTEN)
    def take(self, shard: str, amount: int, is_at_once: bool) -> None:
        row = self.owners[shard].book.begin_allocate("t", units(amount))
        self.send(shard, row, is_at_once)

    @rule(shard=SHARD, amount=st.integers(1, 6), is_at_once=OFTEN)
    def give_back(self, shard: str, amount: int, is_at_once: bool) -> None:
        row = self.owners[shard].book.begin_return("t", units(amount))
        self.send(shard, row, is_at_once)

    @rule(shard=SHARD, is_at_once=OFTEN)
    def confirm(self, shard: str, is_at_once: bool) -> None:
        self.observe(shard)
        excess = self.owners[shard].book.excess("t").accelerators
        self.end(shard, excess)
        self.send(shard, self.owners[shard].book.begin_confirm("t"), is_at_once)

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
        checks = {"grants/t": owner.book.version("t")}
        owner.sent = Transaction(checks, {"grants/t": {"row": row}})
        self.in_transit.append((shard, owner, owner.sent))
        if is_at_once:
            self.arrive(pick=-1, is_answered=True)

    @rule(pick=st.integers(0, 9), is_answered=OFTEN)
    def arrive(self, pick: int, is_answered: bool) -> None:
        if not self.in_transit:
            return
        shard, owner, sent = self.in_transit.pop(pick % len(self.in_transit))
        try:
            self.table.apply(sent)
        except CheckFailedError:
            return
        if is_answered and self.owners[shard] is owner:
            owner.book.observe(*self.read())

    @invariant()
    def never_above_the_limit(self) -> None:
        row = self.read()[0]
        amounts = sum(row.amount(shard).accelerators for shard in SHARDS)
        assert amounts <= row.limit.accelerators
        if not row.unconfirmed_by_shard:
            self.ceiling = row.limit.accelerators
        assert sum(self.running.values()) <= self.ceiling


def test_running_tasks_never_exceed_the_limit() -> None:
    """Guards against a team above its upper limit (invariant 4).

    After a limit was lowered, running tasks may be above it until every holder
    has confirmed, but never above the largest limit since then.
    """
    run_state_machine_as_test(GrantMachine, settings=MACHINE)


class Optimist(HeldGrants):
    def begin_return(self, team: str, amount: Resources) -> GrantsRow | None:
        row = super().begin_return(team, amount)
        self._grant_by_team[team].returning = ZERO_RESOURCES
        return row


class Claimless(HeldGrants):
    def _is_claimed(self, grant: object) -> bool:
        return True


class OptimistMachine(GrantMachine):
    book_type = Optimist


class ClaimlessMachine(GrantMachine):
    book_type = Claimless


class UnconfirmedMachine(GrantMachine):
    @staticmethod
    def lower(row: GrantsRow, limit: Resources) -> GrantsRow:
        lowered = grants.with_limit(row, limit)
        return attrs.evolve(lowered, unconfirmed_by_shard={})


def use_while_giving_back(machine: GrantMachine) -> None:
    machine.observe("x")
    machine.give_back("x", 1, is_at_once=False)
    machine.start("x", 1)
    machine.arrive(pick=0, is_answered=False)
    use_up(machine)


def give_back_after_a_takeover(machine: GrantMachine) -> None:
    machine.observe("x")
    machine.give_back("x", 1, is_at_once=False)
    machine.take_over("x")
    machine.start("x", 1)
    machine.arrive(pick=0, is_answered=False)
    use_up(machine)


def raise_a_lowered_limit(machine: GrantMachine) -> None:
    machine.observe("x")
    machine.take("x", 3, is_at_once=True)
    machine.change_limit(3)
    machine.change_limit(6)
    machine.start("x", 4)
    use_up(machine)


def use_up(machine: GrantMachine) -> None:
    for shard in ("y", "z"):
        machine.fill(shard)
        machine.never_above_the_limit()
    assert sum(machine.running.values()) >= 3


@pytest.mark.parametrize(
    ("play", "broken"),
    [
        (use_while_giving_back, OptimistMachine),
        (give_back_after_a_takeover, ClaimlessMachine),
        (raise_a_lowered_limit, UnconfirmedMachine),
    ],
)
def test_the_machine_finds_a_missing_mechanism(play, broken) -> None:
    """Guards against a machine that would not notice a team above its limit."""
    play(GrantMachine())
    with pytest.raises(AssertionError):
        play(broken())
