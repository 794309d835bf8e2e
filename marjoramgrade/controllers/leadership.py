"""Who leads: follows the leader, replaces one that is gone, renews its own lead.

Fences make a takeover safe at any time: the old leader's writes fail on the row
that says who leads, and its orders are refused by the workers. What is weighed
here is only how soon a leader counts as gone.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.leaderprobe import LeaderProbe
from marjoramgrade.decisions.leadermonitor import (
    LastHeartbeat,
    LeaderMonitor,
    LeaderRow,
)
from marjoramgrade.errors import (
    InvalidInputError,
    MarjoramgradeError,
    TableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.peers import (
    Member,
    MembersChanged,
    PeerDisconnected,
    TellPeers,
)
from marjoramgrade.messages.rows import (
    ABSENT,
    CommitRows,
    ReadRows,
    RowCheck,
    RowsPage,
    RowWrite,
    StoredRow,
)
from marjoramgrade.messages.steps import (
    AskLeaderAge,
    LeaderAge,
    LeaderBeat,
    LeaderChanged,
    LeaderLeft,
    LeadershipAcquired,
    LeadershipConfirmed,
    LeadershipEnded,
    ReleaseLeadership,
    RenewLeadership,
    StorePathStatus,
)
from marjoramgrade.steprows import (
    EPOCH_ROW,
    LEADER_PART,
    LEADERSHIP_TABLE,
    RENEWAL_ROW,
    parse_row,
    serialize_row,
)

# Shortest time between two looks at what is due.
MIN_WAIT_MS = 50
# The leader tells everybody that it leads at this interval.
HEARTBEAT_INTERVAL_MS = 150
# It writes to the store at least this often, so that others can tell a leader
# that is gone from one that they cannot hear.
RENEWAL_INTERVAL_MS = 300
# After this silence the store is asked whether the leader still writes; two beats
# may be lost or late.
HEARTBEAT_TIMEOUT_MS = 400
# A leader that most instances have not heard for this long is replaced even if it
# still writes: it cannot serve them.
MAJORITY_HEARTBEAT_TIMEOUT_MS = 2_500
# A leader that only others have reached the store for all this time gives the lead to
# one of them. After an outage of the whole store a relay may answer before the direct
# way is tried again, which takes up to 400 ms.
RELAY_HANDOVER_DELAY_MS = 700
# After that it is no candidate for this long.
INELIGIBLE_MS = 3_000
# Candidates wait a little in turn, the strongest first and of these the newest, so
# that the first one usually is the only one; beyond the last rank all wait alike.
RANK_DELAY_MS = 30
MAX_RANK = 10
# An instance that has just started waits this long for the list of members.
MEMBER_LIST_WAIT_MS = 900
# A leader that is this much weaker than another instance gives it the lead.
MIN_STRENGTH_RATIO = 0.6
STRENGTH_CHECK_DELAY_MS = 1_500


class LeadershipController(Actor):
    """Decides when this instance takes the lead.

    Args:
        own: This instance.
        store: Reads and writes rows.
        peers: Reaches the other instances.
        scheduler: Leads when this instance does.
        clock: Monotonic time.
        subscribers: Told which instance leads.
    """

    def __init__(
        self,
        own: Member,
        store: Actor,
        peers: Actor,
        scheduler: Actor,
        clock: Clock,
        subscribers: tuple[Actor, ...],
    ) -> None:
        super().__init__()
        self._own = own
        self._instance_id = own.instance_id
        self._store = store
        self._peers = peers
        self._scheduler = scheduler
        self._clock = clock
        self._probe = LeaderProbe(peers, clock)
        self._subscribers = subscribers
        self._members: tuple[Member, ...] = ()
        self._watch = LeaderMonitor()
        self._leader = LeaderRow(0, "")
        # An instance that has just started has heard nobody.
        self._heard_ms = 0
        self._heard_clock_ms = 0
        self._own_epoch = 0
        self._attempted_epoch = 0
        self._ended_epoch = 0
        self._led_from_ms = 0
        self._confirmed_ms = 0
        self._looked_for_stronger = False
        self._started_ms = clock.now_ms()
        self._renewed_ms = 0
        self._beat_ms = 0
        self._leaving = False
        self._wake = asyncio.Event()
        self._lost_direct_ms = 0
        self._relayed_since_ms = 0

    async def on_start(self) -> None:
        """Start to follow or to lead."""
        self.spawn_critical(self._run())

    # What others tell

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        self._members = message.members

    @handles(LeaderBeat)
    async def _beat(self, message: LeaderBeat) -> None:
        if message.epoch < self._leader.epoch:
            return
        if message.leader_id != self._leader.leader_id or not self._heard_ms:
            logs.log_event(
                "leader_heard", leader=message.leader_id, epoch=message.epoch
            )
        self._heard_ms = self._clock.now_ms()
        self._heard_clock_ms = message.clock_ms
        self._follow(LeaderRow(message.epoch, message.leader_id))
        self._tell(message)

    @handles(LeaderLeft)
    async def _leader_left(self, message: LeaderLeft) -> None:
        if message.epoch >= self._leader.epoch:
            self._heard_ms = 0
            self._wake.set()

    @handles(PeerDisconnected)
    async def _peer_lost(self, message: PeerDisconnected) -> None:
        # An instance that is not in the list could not be called back.
        known = {member.instance_id for member in self._members}
        is_leader = message.instance_id == self._leader.leader_id
        if is_leader and message.instance_id in known and not self._own_epoch:
            self.spawn(self._check_process(self._leader))

    async def _check_process(self, leader: LeaderRow) -> None:
        """Wait for nothing more if the process of the leader has ended."""
        if (
            await self._probe.has_process_ended(leader.leader_id)
            and leader == self._leader
        ):
            logs.log_event("leader_ended", leader=leader.leader_id, epoch=leader.epoch)
            self._ended_epoch = leader.epoch
            self._heard_ms = 0
            self._wake.set()

    @handles(AskLeaderAge)
    async def _leader_age(self, message: AskLeaderAge) -> LeaderAge:
        return LeaderAge(self._leader.epoch, self._clock.now_ms() - self._heard_ms)

    @handles(StorePathStatus)
    async def _store_contact(self, message: StorePathStatus) -> None:
        if message.direct:
            self._lost_direct_ms = self._relayed_since_ms = 0
            return
        now_ms = self._clock.now_ms()
        self._lost_direct_ms = self._lost_direct_ms or now_ms
        if message.relayed:
            self._relayed_since_ms = self._relayed_since_ms or now_ms

    @handles(LeadershipConfirmed)
    async def _confirmed(self, message: LeadershipConfirmed) -> None:
        if message.epoch == self._own_epoch:
            self._confirmed_ms = max(self._confirmed_ms, message.asked_ms)

    @handles(LeadershipEnded)
    async def _step_down(self, message: LeadershipEnded) -> None:
        if message.epoch == self._own_epoch:
            self._lose(message.reason)

    @handles(ReleaseLeadership)
    async def _leave(self, message: ReleaseLeadership) -> Any:
        self._leaving = True
        return self.spawn(self._release("the instance stops"))

    async def _release(self, reason: str) -> None:
        """Give the lead up, so that another instance takes it at once."""
        epoch = self._own_epoch
        if not epoch:
            return
        self._lose(reason)
        self._scheduler.tell(LeadershipEnded(epoch, reason))
        row = serialize_row(LeaderRow(epoch, ""))
        try:
            await self._store.ask(
                CommitRows(
                    (RowCheck(EPOCH_ROW, self._watch.row_version),),
                    (RowWrite(EPOCH_ROW, row),),
                )
            )
        except MarjoramgradeError as error:
            # The successor notices the silence instead.
            logs.log_event("lead_release_failed", code=error.code)
        self._peers.tell(TellPeers(LeaderLeft(epoch)))

    # Following and leading

    async def _run(self) -> None:
        while True:
            await self._pause()
            if self._leaving:
                continue
            if self._own_epoch and self._is_served_by_others():
                await self._release("only other instances reach the store")
            elif self._own_epoch:
                await self._lead()
                led_ms = self._clock.now_ms() - self._led_from_ms
                if led_ms >= STRENGTH_CHECK_DELAY_MS and not self._looked_for_stronger:
                    await self._yield_to_stronger()
            elif self._clock.now_ms() - self._heard_ms >= HEARTBEAT_TIMEOUT_MS:
                await self._consider()

    async def _pause(self) -> None:
        """Wait until something is due, or until the leader says that it leaves."""
        if self._own_epoch:
            due_ms = min(
                self._beat_ms + HEARTBEAT_INTERVAL_MS,
                self._renewed_ms + RENEWAL_INTERVAL_MS,
            )
        else:
            due_ms = self._heard_ms + HEARTBEAT_TIMEOUT_MS
        pause_ms = max(MIN_WAIT_MS, due_ms - self._clock.now_ms())
        self._wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_ms / 1000):
                await self._wake.wait()

    def _is_served_by_others(self) -> bool:
        since_ms = self._relayed_since_ms
        return (
            bool(since_ms)
            and self._clock.now_ms() - since_ms >= RELAY_HANDOVER_DELAY_MS
        )

    async def _lead(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._beat_ms >= HEARTBEAT_INTERVAL_MS:
            self._beat_ms = now_ms
            beat = LeaderBeat(
                self._own_epoch, self._instance_id, now_ms, now_ms - self._confirmed_ms
            )
            self._peers.tell(TellPeers(beat))
            self._tell(beat)
        if now_ms - self._renewed_ms >= RENEWAL_INTERVAL_MS:
            self._renewed_ms = now_ms
            # The leader's writes leave one after the other, so that a slow store
            # is not flooded with renewals.
            self._scheduler.tell(RenewLeadership(self._own_epoch))

    async def _consider(self) -> None:
        """Take the lead if the leader is gone."""
        is_alone = len(self._members) < 2
        if is_alone and self._clock.now_ms() - self._started_ms < MEMBER_LIST_WAIT_MS:
            return
        lost_ms = self._clock.now_ms() - self._lost_direct_ms
        if self._lost_direct_ms and lost_ms < INELIGIBLE_MS:
            return
        if not await self._observe():
            return
        now_ms = self._clock.now_ms()
        row = self._watch.row
        if row.epoch > self._leader.epoch or row.leader_id != self._leader.leader_id:
            self._follow(row)
        is_own = row.leader_id == self._instance_id
        if is_own and row.epoch == self._attempted_epoch:
            # The answer to the takeover was lost, but it took effect.
            await self._begin(row.epoch, self._watch.row_version)
            return
        if row.leader_id and not is_own:
            is_leader_down = (
                row.epoch == self._ended_epoch
                or self._watch.is_leader_down(self._heard(), now_ms)
            )
            if not is_leader_down and not await self._is_unheard():
                return
        await asyncio.sleep(self._rank() * RANK_DELAY_MS / 1000)
        if self._clock.now_ms() - self._heard_ms >= HEARTBEAT_TIMEOUT_MS:
            await self._take()

    async def _observe(self) -> bool:
        """Read the rows of the leadership; returns whether the store answered."""
        asked_ms = self._clock.now_ms()
        try:
            page: RowsPage = await self._store.ask(
                ReadRows(LEADERSHIP_TABLE, LEADER_PART)
            )
        except TableError:
            self._watch.record_read_failure(self._clock.now_ms())
            return False
        now_ms = self._clock.now_ms()
        self._watch.read_duration_ms = now_ms - asked_ms
        found = {row.row: row for row in page.rows}
        self._note_epoch(found.get(EPOCH_ROW), now_ms)
        renewal = found.get(RENEWAL_ROW)
        if renewal is None:
            self._watch.record_renewal(ABSENT, None, self._heard(), now_ms)
        else:
            renewed_ms = int(renewal.value) if renewal.value.isdigit() else None
            self._watch.record_renewal(
                renewal.version, renewed_ms, self._heard(), now_ms
            )
        return True

    def _heard(self) -> LastHeartbeat:
        return LastHeartbeat(self._leader, self._heard_ms, self._heard_clock_ms)

    def _note_epoch(self, row: StoredRow | None, now_ms: int) -> None:
        if row is None:
            return
        try:
            leader = parse_row(row.value, LeaderRow)
        except InvalidInputError as error:
            logs.log_event("row_unreadable", row="epoch", reason=error.message)
            leader = self._watch.row
        self._watch.record_row(leader, row.version, now_ms)

    async def _is_unheard(self) -> bool:
        """Whether most instances have not heard the leader for long."""
        if self._clock.now_ms() - self._heard_ms < MAJORITY_HEARTBEAT_TIMEOUT_MS:
            return False
        others = [
            member.instance_id
            for member in self._members
            if member.instance_id not in (self._instance_id, self._leader.leader_id)
        ]
        unheard = await self._probe.count_without_heartbeat(
            others, self._leader, MAJORITY_HEARTBEAT_TIMEOUT_MS
        )
        return 2 * (1 + unheard) > len(self._members)

    def _rank(self) -> int:
        """Return how many instances try before this one."""

        def score(member: Member) -> tuple[int, int, str]:
            # While instances are stopped and started in turn, the newest one is the
            # last to be stopped again.
            return -member.strength, -member.row_version, member.instance_id

        own = score(
            next(
                (m for m in self._members if m.instance_id == self._instance_id),
                self._own,
            )
        )
        rank = sum(
            1
            for member in self._members
            if member.instance_id != self._leader.leader_id and score(member) < own
        )
        return min(rank, MAX_RANK)

    async def _yield_to_stronger(self) -> None:
        """Give the lead to a much stronger instance that answers."""
        self._looked_for_stronger = True
        best = max((self._own, *self._members), key=lambda member: member.strength)
        if self._own.strength >= MIN_STRENGTH_RATIO * best.strength:
            return
        if await self._probe.ask_leader_age(best.instance_id) is not None:
            await self._release("a stronger instance answers")

    async def _take(self) -> None:
        epoch = self._watch.row.epoch + 1
        self._attempted_epoch = epoch
        row = serialize_row(LeaderRow(epoch, self._instance_id))
        transaction = CommitRows(
            (RowCheck(EPOCH_ROW, self._watch.row_version),),
            (RowWrite(EPOCH_ROW, row),),
        )
        try:
            answer = await self._store.ask(transaction)
        except WriteOutcomeUnknownError:
            # The next look at the rows tells whether it took effect.
            return
        except TableError as error:
            logs.log_event("lead_not_taken", epoch=epoch, code=error.code)
            return
        await self._begin(epoch, answer.version)

    async def _begin(self, epoch: int, row_version: int) -> None:
        self._watch.row = LeaderRow(epoch, self._instance_id)
        self._watch.row_version = row_version
        self._attempted_epoch = 0
        self._own_epoch = epoch
        self._led_from_ms = self._confirmed_ms = self._clock.now_ms()
        self._looked_for_stronger = False
        self._renewed_ms = self._clock.now_ms()
        self._beat_ms = 0
        self._follow(self._watch.row)
        await self._lead()
        await self._scheduler.ask(LeadershipAcquired(epoch, row_version))

    def _follow(self, row: LeaderRow) -> None:
        if row == self._leader:
            return
        if self._own_epoch and row.epoch > self._own_epoch:
            epoch = self._own_epoch
            self._lose("another instance leads")
            self._scheduler.tell(LeadershipEnded(epoch, "another instance leads"))
        self._leader = row
        self._tell(LeaderChanged(row.leader_id, row.epoch))

    def _lose(self, reason: str) -> None:
        logs.log_event("lead_lost", epoch=self._own_epoch, reason=reason)
        epoch, self._own_epoch = self._own_epoch, 0
        self._heard_ms = self._clock.now_ms()
        if self._leader.leader_id == self._instance_id:
            self._leader = LeaderRow(epoch, "")
            self._tell(LeaderChanged("", epoch))

    def _tell(self, message: Message[None]) -> None:
        for subscriber in self._subscribers:
            subscriber.tell(message)
