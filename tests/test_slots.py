import random

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from marjoramgrade.decisions.fencing import EpochFence
from marjoramgrade.decisions.slots import (
    FAILED_RESPONSES_ALLOWED,
    FIRST_BACKOFF_MS,
    LATE_ARRIVAL_MS,
    MAX_BACKOFF_MS,
    RECOUNT_AFTER_PROBES,
    BackendSlots,
    SlotPool,
)

MACHINE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    stateful_step_count=40,
    phases=[Phase.generate],
)
PICK = st.integers(0, 99)
OFTEN = st.sampled_from([True, True, False])


def counted_pool(*backend_ids: str, slots: int = 2) -> SlotPool:
    pool = SlotPool(random.Random(1))
    for backend_id in backend_ids:
        pool.add(backend_id, "quick", slots, 64)
        pool.record_count(backend_id, 0, asked_ms=0)
    return pool


def test_a_server_is_unused_until_its_count_is_known() -> None:
    """Guards against a new owner that overcommits a server after a takeover."""
    pool = SlotPool(random.Random(1))
    pool.add("b1", "quick", 8, 64)
    assert pool.acquire("quick") is None
    pool.record_count("b1", 7, asked_ms=0)
    assert [pool.acquire("quick") for _ in range(2)] == ["b1", None]


def test_connections_bound_requests_as_slots_do() -> None:
    """Guards against more connections than the server accepts."""
    pool = SlotPool(random.Random(1))
    pool.add("b1", "quick", 8, 1)
    pool.record_count("b1", 0, asked_ms=0)
    assert [pool.acquire("quick") for _ in range(2)] == ["b1", None]


def test_leaving_failed_and_removed_servers_get_no_requests() -> None:
    """Guards against new work on a leaving server (invariant 9)."""
    for stop in (
        lambda pool: pool.mark_leaving("b1"),
        lambda pool: pool.mark_failed("b1", 10),
        lambda pool: pool.remove("b1"),
    ):
        pool = counted_pool("b1")
        assert pool.acquire("quick") == "b1"
        stop(pool)
        assert pool.acquire("quick") is None
        pool.release("b1")


def test_a_failed_server_is_probed_after_a_growing_back_off() -> None:
    """Guards against connecting to a failed server without back-off."""
    pool = counted_pool("b1")
    backoffs_ms = []
    for now_ms in range(0, 200_000, 20_000):
        pool.mark_failed("b1", now_ms)
        due = (t for t in range(20_000) if pool.due_probes(now_ms + t))
        backoffs_ms.append(next(due))
    assert backoffs_ms == sorted(backoffs_ms)
    assert backoffs_ms[0] < backoffs_ms[-1] == MAX_BACKOFF_MS
    pool.record_count("b1", 0, asked_ms=180_000)
    assert pool.acquire("quick") is None, "the count is older than the failure"
    pool.record_count("b1", 0, asked_ms=190_000)
    assert pool.acquire("quick") == "b1"


def test_two_choices_spread_the_load() -> None:
    """Guards against one server that is fully loaded while others idle."""
    pool = counted_pool(*(f"b{n}" for n in range(24)), slots=8)
    for _ in range(96):
        pool.acquire("quick")
    loads = [pool.get(f"b{n}").in_flight for n in range(24)]
    assert max(loads) <= 6 and min(loads) >= 2


def test_a_busy_server_gets_no_requests_until_its_count_is_exact() -> None:
    """Guards against slots of an earlier owner that stay counted indefinitely."""
    pool = SlotPool(random.Random(1))
    pool.add("b1", "quick", 4, 64)
    pool.record_count("b1", 2, asked_ms=0)
    pool.acquire("quick")
    pool.acquire("quick")
    for asked_ms in range(1, RECOUNT_AFTER_PROBES + 1):
        pool.record_count("b1", 2, asked_ms)  # both are now this owner's
    pool.release("b1")
    assert pool.acquire("quick") is None
    pool.release("b1")
    pool.record_count("b1", 0, asked_ms=20)
    assert pool.free_slots("quick") == 4


def test_an_abandoned_request_stays_counted_until_it_must_have_arrived() -> None:
    """Guards against a count that lacks a request still in transit."""
    pool = counted_pool("b1", slots=1)
    pool.acquire("quick")
    pool.abandon("b1", now_ms=100)
    pool.record_count("b1", 0, asked_ms=100 + LATE_ARRIVAL_MS - 1)
    assert pool.acquire("quick") is None
    pool.record_count("b1", 0, asked_ms=100 + LATE_ARRIVAL_MS)
    assert pool.acquire("quick") == "b1"


def test_an_answer_that_was_under_way_does_not_undo_a_failure() -> None:
    """Guards against using a restarted server that lost its fencing token."""
    pool = counted_pool("b1")
    pool.acquire("quick")
    pool.mark_failed("b1", now_ms=100)
    pool.release("b1")
    pool.record_count("b1", 0, asked_ms=100)
    assert pool.acquire("quick") is None


@attrs.define
class Request:
    epoch: int
    abandoned_ms: int | None = None


class SlotMachine(RuleBasedStateMachine):
    """Owners that take over one real server from each other."""

    pool_type = SlotPool
    slots = 1

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.epoch = 0
        self.fence = EpochFence()
        self.sent: list[Request] = []
        self.running: list[Request] = []
        self.responses: list[Request] = []
        self.counts: list[tuple[int, int, int]] = []
        self.take_over()
        self.probe(is_answered_at_once=True)

    @rule()
    def take_over(self) -> None:
        self.epoch += 1
        self.pool = self.pool_type(random.Random(self.epoch))
        self.pool.add("b1", "quick", self.slots, 64)

    @rule(by_ms=st.sampled_from([1, 400, LATE_ARRIVAL_MS, 9_000]))
    def advance(self, by_ms: int) -> None:
        self.now_ms += by_ms
        old_ms = self.now_ms - LATE_ARRIVAL_MS
        self.sent = [
            request
            for request in self.sent
            if request.abandoned_ms is None or request.abandoned_ms > old_ms
        ]

    @rule(is_delivered=OFTEN)
    def send_request(self, is_delivered: bool) -> None:
        if self.pool.acquire("quick"):
            self.sent.append(Request(self.epoch))
            if is_delivered:
                self.deliver_request(pick=-1)

    @precondition(lambda self: self.sent)
    @rule(pick=PICK)
    def deliver_request(self, pick: int) -> None:
        request = self.sent.pop(pick % len(self.sent))
        if self.fence.admit(request.epoch):
            self.running.append(request)

    @precondition(lambda self: self.running)
    @rule(pick=PICK)
    def finish_request(self, pick: int) -> None:
        self.responses.append(self.running.pop(pick % len(self.running)))

    @precondition(lambda self: self.responses)
    @rule(pick=PICK)
    def deliver_answer(self, pick: int) -> None:
        request = self.responses.pop(pick % len(self.responses))
        if request.epoch == self.epoch and request.abandoned_ms is None:
            self.pool.release("b1")

    @rule(pick=PICK)
    def break_connection(self, pick: int) -> None:
        requests = self.sent + self.running + self.responses
        own = [r for r in requests if r.epoch == self.epoch and r.abandoned_ms is None]
        if own:
            own[pick % len(own)].abandoned_ms = self.now_ms
            self.pool.abandon("b1", self.now_ms)

    @rule(is_answered_at_once=OFTEN)
    def probe(self, is_answered_at_once: bool) -> None:
        self.now_ms += 1
        self.fence.admit(self.epoch)
        count = (self.epoch, self.now_ms, len(self.running))
        if is_answered_at_once:
            self.pool.record_count("b1", count[2], count[1])
        else:
            self.counts.append(count)

    @precondition(lambda self: self.counts)
    @rule(pick=PICK)
    def deliver_count(self, pick: int) -> None:
        epoch, asked_ms, in_use = self.counts.pop(pick % len(self.counts))
        if epoch == self.epoch:
            self.pool.record_count("b1", in_use, asked_ms)

    @rule(is_flapping=st.booleans())
    def lose_server(self, is_flapping: bool) -> None:
        if is_flapping:
            self.pool.remove("b1")
            self.pool.due_probes(self.now_ms)
            self.pool.add("b1", "quick", self.slots, 64)
        else:
            self.pool.mark_failed("b1", self.now_ms)

    @invariant()
    def never_overcommitted(self) -> None:
        assert len(self.running) <= self.slots


class CountIgnoringSlots(BackendSlots):
    """Slots that treat every reported count as zero."""

    def apply_count(self, in_use: int, asked_ms: int) -> None:
        super().apply_count(0, asked_ms)


def machine_with(backend_type: type[BackendSlots]) -> type[SlotMachine]:
    class Pool(SlotPool):
        def add(
            self, backend_id: str, service: str, slots: int, connections: int
        ) -> None:
            if backend_id not in self._backend_by_id:
                backend = backend_type(backend_id, service, min(slots, connections))
                self._backend_by_id[backend_id] = backend
            super().add(backend_id, service, slots, connections)

    class Machine(SlotMachine):
        pool_type = Pool

    return Machine


def test_servers_are_never_overcommitted() -> None:
    """Guards against overcommitted servers (invariant 1)."""
    run_state_machine_as_test(SlotMachine, settings=MACHINE)


def take_over_from_a_busy_owner(machine: SlotMachine) -> None:
    machine.send_request(is_delivered=True)
    machine.take_over()
    machine.probe(is_answered_at_once=True)
    machine.send_request(is_delivered=True)
    machine.never_overcommitted()


def test_the_machine_finds_a_pool_that_ignores_earlier_requests() -> None:
    """Guards against a machine that does not detect overcommitted servers."""
    take_over_from_a_busy_owner(SlotMachine())
    with pytest.raises(AssertionError):
        take_over_from_a_busy_owner(machine_with(CountIgnoringSlots)())


def test_a_server_that_fails_every_request_is_backed_off_from() -> None:
    """Guards against a broken server that attracts requests as it is always free."""
    pool = SlotPool(random.Random(1))
    pool.add("broken", "checks", 8, 64)
    pool.record_count("broken", 0, asked_ms=1)
    for now_ms in range(2, 2 + FAILED_RESPONSES_ALLOWED):
        assert pool.acquire("checks") == "broken"
        pool.release_failed("broken", now_ms)
    assert pool.acquire("checks") is None
    assert pool.due_probes(now_ms + FIRST_BACKOFF_MS) == ("broken",)
