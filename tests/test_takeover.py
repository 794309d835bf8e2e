from collections import defaultdict, deque

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

from marjoramgrade.decisions.fencing import (
    WORKER_LEASE_MS,
    EpochFence,
    HeartbeatLease,
)
from marjoramgrade.decisions.ownership import (
    DRIFT_MARGIN_MS,
    OWNERSHIP_LEASE_MS,
    HeldLease,
    ObservedLease,
    ShardRow,
)
from marjoramgrade.decisions.takeover import Reconciliation, is_lapsed

MACHINE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=250,
    stateful_step_count=30,
    phases=[Phase.generate],
)
WORKERS = ("w0", "w1")
WORKER = st.sampled_from(WORKERS)
MOSTLY_TRUE = st.sampled_from([True, True, True, False])


def test_unresponsive_workers_delay_starts_until_their_leases_end() -> None:
    """Guards against a second start of a task that its first worker still runs."""
    reconciliation = Reconciliation(WORKERS, 100, WORKER_LEASE_MS, DRIFT_MARGIN_MS)
    lease_lapse_ms = 100 + WORKER_LEASE_MS + DRIFT_MARGIN_MS
    reconciliation.confirm("w0")
    assert reconciliation.unknown(lease_lapse_ms - 1) == {"w1"}
    assert not reconciliation.is_complete(lease_lapse_ms - 1)
    assert reconciliation.lapsed(lease_lapse_ms) == {"w1"}
    assert reconciliation.is_complete(lease_lapse_ms)


def test_confirmed_workers_and_empty_shards_delay_no_starts() -> None:
    """Guards against a takeover that waits although no worker is unconfirmed."""
    reconciliation = Reconciliation(WORKERS, 0)
    for worker_id in WORKERS:
        reconciliation.confirm(worker_id)
    assert reconciliation.is_complete(1)
    assert Reconciliation((), 0).is_complete(0)


@attrs.define
class Owner:
    name: str
    lease: HeldLease = attrs.field(factory=lambda: HeldLease(0))
    watch: ObservedLease = attrs.field(factory=ObservedLease)
    reconciliation: Reconciliation = attrs.field(factory=lambda: Reconciliation((), 0))
    task_worker: str | None = None
    session_by_worker: dict[str, int] = attrs.field(factory=dict)
    confirmed_workers: set[str] = attrs.field(factory=set)
    granted_ms: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Worker:
    fence: EpochFence
    lease: HeartbeatLease = attrs.field(factory=HeartbeatLease)
    session_by_epoch: dict[int, int] = attrs.field(factory=dict)
    is_running: bool = False


class TakeoverMachine(RuleBasedStateMachine):
    """Two owners that start the same task on two workers.

    The messages of one connection arrive in order, but they may arrive long after
    the owner paused, lost the shard or opened a new connection.
    """

    fence_type = EpochFence
    reconciliation_type = Reconciliation
    checks_sessions = True

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 1
        self.version = 1
        self.sessions = 0
        self.row = ShardRow("gampaha.0")
        self.owners = {name: Owner(name) for name in ("a", "b")}
        self.workers = {name: Worker(self.fence_type()) for name in WORKERS}
        self.channels: dict[tuple[str, str, int], deque] = defaultdict(deque)
        self.take_over(is_current=True)
        for worker in WORKERS:
            self.dial(is_current=True, worker=worker, is_delivered=True)

    def find_owner(self, is_current: bool) -> Owner:
        current = self.row.owner or "a"
        return self.owners[current if is_current else "ba"["ab".index(current)]]

    @rule(by_ms=st.sampled_from([1_000, 5_000, OWNERSHIP_LEASE_MS, 10_500]))
    def advance(self, by_ms: int) -> None:
        self.now_ms += by_ms

    @rule()
    def outlast_worker_leases(self) -> None:
        for _ in range(3):
            self.now_ms += 4_000
            self.renew(is_answered=True)

    @rule()
    def fail_over(self) -> None:
        self.take_over(is_current=False)
        self.now_ms += OWNERSHIP_LEASE_MS + DRIFT_MARGIN_MS
        self.take_over(is_current=False)

    @rule(is_answered=MOSTLY_TRUE)
    def renew(self, is_answered: bool) -> None:
        owner = self.find_owner(is_current=True)
        is_owner = self.row.owner == owner.name
        if is_owner and owner.lease.holds(self.now_ms):
            self.row = self.row.renewed(())
            self.version += 1
            if is_answered:
                owner.lease.confirm(self.now_ms)

    @rule(is_current=MOSTLY_TRUE)
    def take_over(self, is_current: bool) -> None:
        owner = self.find_owner(is_current)
        owner.watch.observe(self.row, self.version, self.now_ms)
        if self.row.owner != owner.name and owner.watch.may_take_over(self.now_ms):
            self.row = self.row.taken_over_by(owner.name, ())
            self.version += 1
            owner.lease = HeldLease(self.row.epoch)
            owner.lease.confirm(self.now_ms)
            owner.reconciliation = self.reconciliation_type(WORKERS, self.now_ms)
            owner.task_worker = None
            owner.confirmed_workers.clear()

    @rule()
    def hand_over(self) -> None:
        owner = self.find_owner(is_current=True)
        if self.row.owner == owner.name and owner.lease.holds(self.now_ms):
            owner.lease.revoke()
            self.row = self.row.released()
            self.version += 1

    @rule(is_current=MOSTLY_TRUE, worker=WORKER, is_delivered=MOSTLY_TRUE)
    def dial(self, is_current: bool, worker: str, is_delivered: bool) -> None:
        owner = self.find_owner(is_current)
        self.sessions += 1
        owner.session_by_worker[worker] = self.sessions
        owner.confirmed_workers.discard(worker)
        self.send(owner, worker, "hello")
        if is_delivered:
            self.deliver(owner, worker)
            self.heartbeat(is_current, worker, is_delivered=True)
            self.start_task(is_current, worker, is_delivered=True)

    @rule(is_current=MOSTLY_TRUE, worker=WORKER, is_delivered=MOSTLY_TRUE)
    def heartbeat(self, is_current: bool, worker: str, is_delivered: bool) -> None:
        owner = self.find_owner(is_current)
        self.stop_if_lapsed(worker)
        session = self.workers[worker].session_by_epoch.get(owner.lease.epoch)
        if session != owner.session_by_worker.get(worker):
            return
        seq = self.workers[worker].lease.heartbeat(self.now_ms)
        if owner.lease.holds(self.now_ms):
            owner.granted_ms[worker] = self.now_ms
            self.send(owner, worker, "grant", seq)
            if is_delivered:
                self.deliver(owner, worker)

    @rule(is_current=MOSTLY_TRUE, worker=WORKER, is_delivered=MOSTLY_TRUE)
    def start_task(self, is_current: bool, worker: str, is_delivered: bool) -> None:
        owner = self.find_owner(is_current)
        self.abandon_lapsed_task(owner)
        is_allowed = (
            owner.lease.holds(self.now_ms) and worker in owner.confirmed_workers
        )
        if not is_allowed or not owner.reconciliation.is_complete(self.now_ms):
            return
        if owner.task_worker is None:
            owner.task_worker = worker
            self.send(owner, worker, "start")
            if is_delivered:
                self.deliver(owner, worker)

    @rule()
    def finish_task(self) -> None:
        owner = self.find_owner(is_current=True)
        if owner.task_worker and self.workers[owner.task_worker].is_running:
            self.workers[owner.task_worker].is_running = False
            owner.task_worker = None

    def abandon_lapsed_task(self, owner: Owner) -> None:
        worker = owner.task_worker
        if worker and is_lapsed(owner.granted_ms.get(worker, 0), self.now_ms):
            owner.task_worker = None
            owner.confirmed_workers.discard(worker)
            owner.session_by_worker.pop(worker, None)

    def send(self, owner: Owner, worker: str, kind: str, seq: int = 0) -> None:
        session = owner.session_by_worker.get(worker)
        if session is not None:
            channel = self.channels[owner.name, worker, session]
            channel.append((owner.lease.epoch, session, kind, seq))

    def deliver(self, owner: Owner, worker: str) -> None:
        session = owner.session_by_worker.get(worker, 0)
        self.deliver_all(owner.name, worker, session)

    @rule(pick=st.integers(0, 99))
    def deliver_from_any_connection(self, pick: int) -> None:
        waiting = [key for key, channel in self.channels.items() if channel]
        if waiting:
            self.deliver_all(*waiting[pick % len(waiting)])

    def deliver_all(self, name: str, worker: str, session: int) -> None:
        channel = self.channels[name, worker, session]
        while channel:
            self.receive(self.owners[name], worker, *channel.popleft())

    def stop_if_lapsed(self, worker: str) -> None:
        if not self.workers[worker].lease.holds(self.now_ms):
            self.workers[worker].is_running = False

    def receive(
        self, owner: Owner, name: str, epoch: int, session: int, kind: str, seq: int
    ) -> None:
        self.stop_if_lapsed(name)
        worker = self.workers[name]
        if not worker.fence.admit(epoch):
            return
        if kind == "hello":
            last = worker.session_by_epoch.get(epoch, 0)
            worker.session_by_epoch[epoch] = max(last, session)
            self.receive_inventory(owner, name, epoch, session)
        elif self.checks_sessions and session != worker.session_by_epoch.get(epoch):
            return
        elif kind == "grant":
            worker.lease.record_grant(seq, WORKER_LEASE_MS)
        elif worker.lease.holds(self.now_ms):
            worker.is_running = True

    def receive_inventory(
        self, owner: Owner, worker: str, epoch: int, session: int
    ) -> None:
        is_current = session == owner.session_by_worker.get(worker)
        if epoch != owner.lease.epoch or not is_current:
            return
        owner.reconciliation.confirm(worker)
        owner.confirmed_workers.add(worker)
        owner.granted_ms[worker] = self.now_ms
        if self.workers[worker].is_running:
            owner.task_worker = worker
        elif owner.task_worker == worker:
            owner.task_worker = None

    @invariant()
    def never_in_two_places(self) -> None:
        running_on = [
            name
            for name, worker in self.workers.items()
            if worker.is_running and worker.lease.holds(self.now_ms)
        ]
        assert len(running_on) <= 1


class AdmitsEveryEpoch(EpochFence):
    def admit(self, epoch: int) -> bool:
        return True


class AlwaysComplete(Reconciliation):
    def is_complete(self, now_ms: int) -> bool:
        return True


class WithoutFence(TakeoverMachine):
    fence_type = AdmitsEveryEpoch


class WithoutReconciliation(TakeoverMachine):
    reconciliation_type = AlwaysComplete


class WithoutSessions(TakeoverMachine):
    checks_sessions = False


def test_a_task_never_runs_in_two_places() -> None:
    """Guards against two owners that both start the same task (invariant 2)."""
    run_state_machine_as_test(TakeoverMachine, settings=MACHINE)


def take_over_with_one_worker_connected(machine: TakeoverMachine) -> None:
    running = machine.find_owner(is_current=True).task_worker
    machine.fail_over()
    for worker in WORKERS:
        if worker != running:
            machine.dial(is_current=True, worker=worker, is_delivered=True)
    machine.never_in_two_places()


def test_the_machine_finds_a_takeover_that_does_not_wait() -> None:
    """Guards against a state machine that does not detect a task run twice."""
    take_over_with_one_worker_connected(TakeoverMachine())
    with pytest.raises(AssertionError):
        take_over_with_one_worker_connected(WithoutReconciliation())


def deliver_start_after_pause(machine: TakeoverMachine, pause: str) -> None:
    machine.finish_task()
    machine.start_task(is_current=True, worker="w0", is_delivered=False)
    if pause == "of the owner":
        machine.fail_over()
        order = ("w0", "w1")
    else:
        machine.outlast_worker_leases()
        order = ("w1", "w0")
    for worker in order:
        machine.dial(is_current=True, worker=worker, is_delivered=True)
    machine.deliver_from_any_connection(pick=0)
    machine.never_in_two_places()
    assert any(worker.is_running for worker in machine.workers.values())


@pytest.mark.parametrize(
    ("broken", "pause"),
    [(WithoutFence, "of the owner"), (WithoutSessions, "of the worker")],
)
def test_a_start_that_arrives_late_is_refused(
    broken: type[TakeoverMachine], pause: str
) -> None:
    """Guards against a start sent by a previous owner or on a previous connection."""
    deliver_start_after_pause(TakeoverMachine(), pause)
    with pytest.raises(AssertionError):
        deliver_start_after_pause(broken(), pause)
