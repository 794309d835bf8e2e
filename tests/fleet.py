"""A fleet of leadership controllers that share one store, in one process."""

from __future__ import annotations

import asyncio
import contextlib

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers.leadership import LeadershipController
from marjoramgrade.errors import (
    MarjoramgradeError,
    OwnerUnreachableError,
    TableUnavailableError,
)
from marjoramgrade.messages.peers import CallPeer, Member, MembersChanged, TellPeers
from marjoramgrade.messages.rows import (
    CommitRows,
    ReadRows,
    RowCheck,
    RowsCommitted,
    RowsPage,
    RowWrite,
)
from marjoramgrade.messages.steps import (
    LeaderBeat,
    LeaderChanged,
    LeadershipAcquired,
    LeadershipConfirmed,
    LeadershipEnded,
    RenewLeadership,
)
from marjoramgrade.steprows import EPOCH_ROW, RENEWAL_ROW
from tests.rowstore import MemoryRowStore

# Limits of the platform's store (docs/design/session-10.md, section 0).
READS_PER_S = 6_000
TRANSACTION_MS = 8


class LimitedRowStore(MemoryRowStore):
    """A store with the platform's limits: reads a second, and one write at a time.

    Attributes:
        read_times_s: When each read arrived.
        rejected: Number of reads beyond the limit.
    """

    def __init__(self) -> None:
        super().__init__()
        self.read_times_s: list[float] = []
        self.rejected = 0
        self._partition = asyncio.Lock()

    @handles(CommitRows)
    async def _commit(self, message: CommitRows) -> RowsCommitted:
        return self.spawn(self._commit_in_turn(message))

    async def _commit_in_turn(self, message: CommitRows) -> RowsCommitted:
        async with self._partition:
            await asyncio.sleep(TRANSACTION_MS / 1000)
            self.commits += 1
            return self.apply(message)

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> RowsPage:
        now_s = asyncio.get_running_loop().time()
        self.read_times_s.append(now_s)
        if self.reads_within(now_s, 1.0) > READS_PER_S:
            self.rejected += 1
            raise TableUnavailableError("status 429")
        page = await super()._read(message)
        return self.spawn(asyncio.sleep(0.004, page))

    def reads_within(self, end_s: float, span_s: float) -> int:
        """Return how many reads arrived in a span of time."""
        count = 0
        for time_s in reversed(self.read_times_s):
            if time_s <= end_s - span_s:
                break
            count += time_s <= end_s
        return count

    def busiest_second(self) -> int:
        """Return the largest number of reads within a second."""
        times, first, most = self.read_times_s, 0, 0
        for last, time_s in enumerate(times):
            while times[first] <= time_s - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


class FleetInstance(Actor):
    """The peers and the scheduler of one instance."""

    def __init__(self, fleet: Fleet, member: Member, store: Actor) -> None:
        super().__init__()
        self._fleet, self.member, self._store = fleet, member, store
        self.leadership: LeadershipController | None = None
        self.connected: set[str] = set()
        self.known: dict[str, Member] = {member.instance_id: member}
        self.lead: LeadershipAcquired | None = None
        self.heard_s = 0.0
        self._renewal_version = 0

    async def on_start(self) -> None:
        """Start the election of this instance; its waits count from here on."""
        self.leadership = LeadershipController(
            self.member, self._store, self, self, SystemClock(), (self,)
        )
        await self.leadership.start()

    def learn(self, members: dict[str, Member]) -> None:
        """Replace the list of members."""
        if members != self.known:
            self.known = members
            self.leadership.tell(MembersChanged(tuple(members.values())))

    @handles(TellPeers)
    async def _tell(self, message: TellPeers) -> None:
        # Connections are opened one after the other, as processor time allows.
        delay_s = 0.0
        for other in self.known.keys() - {self.member.instance_id}:
            if other not in self.connected:
                self.connected.add(other)
                delay_s += self._fleet.connect_s
                asyncio.get_running_loop().call_later(
                    delay_s, self._deliver, other, message
                )
            else:
                self._deliver(other, message)

    def _deliver(self, other: str, message: TellPeers) -> None:
        target = self._fleet.by_id[other]
        if not self._fleet.is_down(self) and not self._fleet.is_down(target):
            with contextlib.suppress(MarjoramgradeError):
                target.leadership.tell(message.message)

    @handles(CallPeer)
    async def _call(self, message: CallPeer) -> object:
        self._fleet.calls += 1
        target = self._fleet.by_id.get(message.instance_id)
        if target is None or self._fleet.is_down(target):
            raise OwnerUnreachableError("down")
        return self.spawn(target.leadership.ask(message.message))

    @handles(LeaderBeat)
    async def _heard(self, message: LeaderBeat) -> None:
        self.heard_s = self.heard_s or asyncio.get_running_loop().time()

    @handles(LeaderChanged)
    async def _changed(self, message: LeaderChanged) -> None:
        return None

    @handles(LeadershipAcquired)
    async def _acquired(self, message: LeadershipAcquired) -> None:
        self.lead = message
        self._fleet.leads.append((asyncio.get_running_loop().time(), message.epoch))

    @handles(LeadershipEnded)
    async def _ended(self, message: LeadershipEnded) -> None:
        self.lead = None

    @handles(RenewLeadership)
    async def _renew(self, message: RenewLeadership) -> None:
        if self.lead is not None and not self._fleet.is_down(self):
            self.spawn(self._write_renewal(self.lead))

    async def _write_renewal(self, lead: LeadershipAcquired) -> None:
        clock = SystemClock()
        asked_ms = clock.now_ms()
        # A leader that has just begun is busy, so that its renewal is late.
        await asyncio.sleep(self._fleet.renewal_delay_s)
        write = RowWrite(RENEWAL_ROW, str(clock.now_ms()).encode())
        with contextlib.suppress(MarjoramgradeError):
            await self._store.ask(
                CommitRows((RowCheck(EPOCH_ROW, lead.row_version),), (write,))
            )
            self.leadership.tell(LeadershipConfirmed(lead.epoch, asked_ms))


class Fleet:
    """Instances that start within 0.3 s of each other and learn of each other.

    Args:
        size: Number of instances.
        connect_s: Time that a leader takes for a connection to an instance.
        renewal_delay_s: Time by which renewals are late.
        refresh_s: Interval at which each instance reads the list of members.
    """

    def __init__(
        self,
        size: int,
        connect_s: float = 0.001,
        renewal_delay_s: float = 0.0,
        refresh_s: float = 0.4,
    ) -> None:
        self.connect_s, self.renewal_delay_s = connect_s, renewal_delay_s
        self._refresh_s = refresh_s
        self.store = LimitedRowStore()
        self.leads: list[tuple[float, int]] = []
        self.calls = 0
        self._down: set[str] = set()
        self._registered: dict[str, Member] = {}
        self.by_id = {
            f"i{number:03}": FleetInstance(
                self,
                Member(f"i{number:03}", "z", "127.0.0.1", 1, number + 1, 1_000),
                self.store,
            )
            for number in range(size)
        }
        self.began_s = 0.0

    def is_down(self, instance: FleetInstance) -> bool:
        """Whether an instance neither sends nor receives."""
        return instance.member.instance_id in self._down

    async def stop_instance(self, instance: FleetInstance) -> None:
        """Stop an instance without notice."""
        self._down.add(instance.member.instance_id)
        await instance.leadership.stop()

    def leader(self) -> FleetInstance:
        """Return the instance that leads."""
        return next(i for i in self.by_id.values() if i.lead and not self.is_down(i))

    async def _run_instance(self, number: int, instance: FleetInstance) -> None:
        await asyncio.sleep(0.3 * number / len(self.by_id))
        await instance.start()
        # The registrations share a partition of the store.
        await asyncio.sleep(TRANSACTION_MS / 1000 * number)
        self._registered[instance.member.instance_id] = instance.member
        while True:
            instance.learn(dict(self._registered))
            await asyncio.sleep(self._refresh_s)

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the instances."""
        await self.store.start()
        self.began_s = asyncio.get_running_loop().time()
        tasks = [
            asyncio.ensure_future(self._run_instance(number, instance))
            for number, instance in enumerate(self.by_id.values())
        ]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            for instance in self.by_id.values():
                for actor in (instance.leadership, instance):
                    if actor is not None and actor._runner is not None:
                        await actor.stop()
            await self.store.stop()
