"""Leader election: follows the leader, replaces a failed leader, renews its own lead.

Fencing tokens make a takeover safe at any time: the old leader's writes fail the check
of the row that names the leader, and workers refuse its orders. This module decides
only how soon a leader counts as failed.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.leaderprobe import LeaderProbe
from marjoramgrade.decisions.elections.candidacy import (
    MEMBER_LIST_WAIT_MS,
    MIN_READ_INTERVAL_MS,
    MIN_STRENGTH_SHARE,
    Candidacy,
    has_member_list,
)
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
from marjoramgrade.stepjobs import MAX_EPOCH
from marjoramgrade.steprows import (
    EPOCH_ROW,
    LEADER_PART,
    LEADERSHIP_TABLE,
    RENEWAL_ROW,
    parse_row,
    serialize_row,
)

# Shortest wait between two checks for work that is due.
MIN_WAIT_MS = MIN_READ_INTERVAL_MS
# Interval at which the leader sends heartbeats to all instances.
HEARTBEAT_INTERVAL_MS = 150
# The leader renews its row in the store at this interval, so that other instances can
# distinguish a failed leader from a leader whose heartbeats do not reach them.
RENEWAL_INTERVAL_MS = 300
# After this time without a heartbeat, an instance reads from the store whether the
# leader still writes; two heartbeats may be lost or late.
HEARTBEAT_TIMEOUT_MS = 400
# A leader that most instances have not heard for this long is replaced even if it
# still writes: it cannot serve them.
MAJORITY_HEARTBEAT_TIMEOUT_MS = 2_500
# The heartbeats of a leader whose last confirmed write is older than this do not count,
# so that an instance that reaches the store replaces it. It may grant no leases then.
UNCONFIRMED_LIMIT_MS = 3_500
# Interval at which an instance reads the rows of a leader that is heard without
# confirmed writes: while the whole store is away, all instances do.
UNCONFIRMED_CHECK_MS = 500
# A leader that has reached the store only through other instances for this long
# releases the lead to one of them. After an outage of the whole store a relay may
# respond before the direct path is tried again, which takes up to 400 ms.
RELAY_HANDOVER_DELAY_MS = 700
# An instance that lost its direct path to the store is no candidate for this long.
INELIGIBLE_MS = 3_000
# A leader releases the lead if its strength is below `MIN_STRENGTH_SHARE` of the
# strongest instance's. It checks once, this long after it began to lead.
STRENGTH_CHECK_DELAY_MS = 1_500
# Digits of a clock in milliseconds. The conversion of a text of thousands fails.
MAX_CLOCK_DIGITS = 15


class LeadershipController(Actor):
    """Decides when this instance takes over, renews and releases the lead.

    Args:
        own: This instance.
        store: Reads and writes rows.
        peers: Sends messages to the other instances.
        scheduler: Schedules step jobs while this instance leads.
        clock: Monotonic time.
        subscribers: Receive changes of the leader and its heartbeats.
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
        self._members_changed_ms = clock.now_ms()
        self._monitor = LeaderMonitor()
        self._leader = LeaderRow(0, "")
        # 0 if no heartbeat has arrived, or if the leader has left or its process ended.
        self._last_heartbeat_ms = 0
        self._last_heartbeat_clock_ms = 0
        # The leader that sent that heartbeat; its successor may not be heard yet.
        self._heard_leader = LeaderRow(0, "")
        # Since when the current leader is known, heard or not.
        self._leader_since_ms = clock.now_ms()
        # Epoch of the last leader that has said that it leaves.
        self._left_epoch = 0
        self._majority_checked_ms = 0
        # Of heartbeats that count and of those without confirmed writes.
        self._last_contact_ms = 0
        self._checked_ms = 0
        # 0 unless this instance leads.
        self._own_epoch = 0
        # Epoch of this instance's last takeover attempt, 0 once it leads.
        self._attempted_epoch = 0
        # Epoch of the last leader whose process is known to have ended.
        self._ended_epoch = 0
        self._leading_since_ms = 0
        self._confirmed_ms = 0
        self._has_checked_strength = False
        self._started_ms = clock.now_ms()
        self._renewal_sent_ms = 0
        self._heartbeat_sent_ms = 0
        self._leaving = False
        self._wake = asyncio.Event()
        self._direct_path_lost_ms = 0
        self._relayed_since_ms = 0

    async def on_start(self) -> None:
        """Start to monitor the leader, and to lead if there is none."""
        self.spawn_critical(self._run())

    # Reports of other actors and instances

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        if message.members != self._members:
            self._members_changed_ms = self._clock.now_ms()
        self._members = message.members

    @handles(LeaderBeat)
    async def _heartbeat_received(self, message: LeaderBeat) -> None:
        if message.epoch < self._leader.epoch:
            return
        if message.leader_id != self._leader.leader_id or not self._last_heartbeat_ms:
            logs.log_event(
                "leader_heard", leader=message.leader_id, epoch=message.epoch
            )
        self._last_contact_ms = self._clock.now_ms()
        # A leader without confirmed writes serves nobody, however well it is heard.
        if message.confirmed_age_ms < UNCONFIRMED_LIMIT_MS:
            self._last_heartbeat_ms = self._clock.now_ms()
            self._last_heartbeat_clock_ms = message.clock_ms
            self._heard_leader = LeaderRow(message.epoch, message.leader_id)
        self._follow(LeaderRow(message.epoch, message.leader_id))
        self._tell_subscribers(message)

    @handles(LeaderLeft)
    async def _leader_left(self, message: LeaderLeft) -> None:
        if message.epoch >= self._leader.epoch:
            self._last_heartbeat_ms = 0
            self._left_epoch = message.epoch
            self._wake.set()

    @handles(PeerDisconnected)
    async def _peer_disconnected(self, message: PeerDisconnected) -> None:
        # An instance that is missing in the list of members cannot be called.
        known = {member.instance_id for member in self._members}
        is_leader = message.instance_id == self._leader.leader_id
        if is_leader and message.instance_id in known and not self._own_epoch:
            self.spawn(self._check_process(self._leader))

    async def _check_process(self, leader: LeaderRow) -> None:
        """Skip the heartbeat timeout if the process of the leader has ended."""
        if (
            await self._probe.has_process_ended(leader.leader_id)
            and leader == self._leader
        ):
            logs.log_event("leader_ended", leader=leader.leader_id, epoch=leader.epoch)
            self._ended_epoch = leader.epoch
            self._last_heartbeat_ms = 0
            self._wake.set()

    @handles(AskLeaderAge)
    async def _leader_age(self, message: AskLeaderAge) -> LeaderAge:
        return LeaderAge(self._leader.epoch, self._unheard_ms())

    def _unheard_ms(self) -> int:
        """Return for how long the leader could have been heard and was not."""
        since_ms = self._last_heartbeat_ms
        if self._left_epoch < self._leader.epoch:
            since_ms = max(since_ms, self._leader_since_ms)
        return self._clock.now_ms() - since_ms

    @handles(StorePathStatus)
    async def _store_path_changed(self, message: StorePathStatus) -> None:
        if message.direct:
            self._direct_path_lost_ms = self._relayed_since_ms = 0
            return
        now_ms = self._clock.now_ms()
        self._direct_path_lost_ms = self._direct_path_lost_ms or now_ms
        if message.relayed:
            self._relayed_since_ms = self._relayed_since_ms or now_ms

    @handles(LeadershipConfirmed)
    async def _leadership_confirmed(self, message: LeadershipConfirmed) -> None:
        if message.epoch == self._own_epoch:
            self._confirmed_ms = max(self._confirmed_ms, message.asked_ms)

    @handles(LeadershipEnded)
    async def _leadership_ended(self, message: LeadershipEnded) -> None:
        if message.epoch == self._own_epoch:
            self._mark_lead_lost(message.reason)

    @handles(ReleaseLeadership)
    async def _release_on_stop(self, message: ReleaseLeadership) -> Any:
        self._leaving = True
        return self.spawn(self._release("the instance is stopping"))

    async def _release(self, reason: str) -> None:
        """Release the lead, so that another instance takes over at once."""
        epoch = self._own_epoch
        if not epoch:
            return
        self._mark_lead_lost(reason)
        self._scheduler.tell(LeadershipEnded(epoch, reason))
        row = serialize_row(LeaderRow(epoch, ""))
        try:
            await self._store.ask(
                CommitRows(
                    (RowCheck(EPOCH_ROW, self._monitor.row_version),),
                    (RowWrite(EPOCH_ROW, row),),
                )
            )
        except MarjoramgradeError as error:
            # The successor takes over after the heartbeat timeout instead.
            logs.log_event("lead_release_failed", code=error.code)
        self._peers.tell(TellPeers(LeaderLeft(epoch)))

    # Following and leading

    async def _run(self) -> None:
        while True:
            await self._wait()
            if self._leaving:
                continue
            if self._own_epoch and self._has_only_relayed_path():
                await self._release(
                    "the store is reachable only through other instances"
                )
            elif self._own_epoch:
                await self._maintain_lead()
                leading_ms = self._clock.now_ms() - self._leading_since_ms
                if (
                    leading_ms >= STRENGTH_CHECK_DELAY_MS
                    and not self._has_checked_strength
                ):
                    await self._yield_to_stronger()
            elif self._clock.now_ms() - self._last_heartbeat_ms >= HEARTBEAT_TIMEOUT_MS:
                self._checked_ms = self._clock.now_ms()
                await self._take_over_if_needed()

    async def _wait(self) -> None:
        """Wait for a deadline, or until the leader leaves or its process ends."""
        if self._own_epoch:
            due_ms = min(
                self._heartbeat_sent_ms + HEARTBEAT_INTERVAL_MS,
                self._renewal_sent_ms + RENEWAL_INTERVAL_MS,
            )
        else:
            due_ms = self._last_heartbeat_ms + HEARTBEAT_TIMEOUT_MS
            if self._clock.now_ms() - self._last_contact_ms < HEARTBEAT_TIMEOUT_MS:
                due_ms = max(due_ms, self._checked_ms + UNCONFIRMED_CHECK_MS)
            interval_ms = self._candidacy().read_interval_ms(self._has_lost_leader())
            due_ms = max(due_ms, self._checked_ms + interval_ms)
        pause_ms = max(MIN_WAIT_MS, due_ms - self._clock.now_ms())
        self._wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_ms / 1000):
                await self._wake.wait()

    def _has_lost_leader(self) -> bool:
        """Whether this instance looks for a successor or for the first leader."""
        if not self._monitor.read_ms or self._last_heartbeat_ms:
            return True
        if not self._monitor.row.epoch:
            return self._has_member_list()
        epoch = self._monitor.row.epoch
        has_ended = epoch in (self._ended_epoch, self._left_epoch)
        return has_ended or not self._monitor.row.leader_id

    def _has_only_relayed_path(self) -> bool:
        since_ms = self._relayed_since_ms
        return (
            bool(since_ms)
            and self._clock.now_ms() - since_ms >= RELAY_HANDOVER_DELAY_MS
        )

    async def _maintain_lead(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._heartbeat_sent_ms >= HEARTBEAT_INTERVAL_MS:
            self._heartbeat_sent_ms = now_ms
            heartbeat = LeaderBeat(
                self._own_epoch, self._instance_id, now_ms, now_ms - self._confirmed_ms
            )
            self._peers.tell(TellPeers(heartbeat))
            self._tell_subscribers(heartbeat)
        if now_ms - self._renewal_sent_ms >= RENEWAL_INTERVAL_MS:
            self._renewal_sent_ms = now_ms
            # The scheduler sends the leader's writes one after the other, so that
            # renewals do not flood a slow store.
            self._scheduler.tell(RenewLeadership(self._own_epoch))

    async def _take_over_if_needed(self) -> None:
        """Take over the lead if the leader has failed or left."""
        is_alone = len(self._members) < 2
        if is_alone and self._clock.now_ms() - self._started_ms < MEMBER_LIST_WAIT_MS:
            return
        without_path_ms = self._clock.now_ms() - self._direct_path_lost_ms
        if self._direct_path_lost_ms and without_path_ms < INELIGIBLE_MS:
            return
        if not await self._read_leadership():
            return
        now_ms = self._clock.now_ms()
        row = self._monitor.row
        if row.epoch > self._leader.epoch or row.leader_id != self._leader.leader_id:
            self._follow(row)
        is_own = row.leader_id == self._instance_id
        if is_own and row.epoch == self._attempted_epoch:
            # The takeover took effect although its response was lost.
            await self._begin_lead(
                row.epoch, self._monitor.row_version, self._checked_ms
            )
            return
        if not row.epoch and not self._has_member_list():
            return
        is_unheard = False
        if row.leader_id and not is_own:
            is_leader_down = (
                row.epoch == self._ended_epoch
                or self._monitor.is_leader_down(
                    self._last_heartbeat(), now_ms, len(self._members)
                )
            )
            if not is_leader_down:
                is_unheard = await self._is_unheard_by_majority()
                if not is_unheard:
                    return
        if await self._is_still_needed(self._candidacy(), may_renew=is_unheard):
            await self._take_over()

    def _has_member_list(self) -> bool:
        return has_member_list(
            self._own,
            self._members,
            self._started_ms,
            self._members_changed_ms,
            self._clock.now_ms(),
        )

    async def _is_still_needed(self, candidacy: Candidacy, *, may_renew: bool) -> bool:
        """Wait for earlier candidates and return whether none of them leads.

        Args:
            candidacy: The place of this instance among the candidates.
            may_renew: Whether the leader is replaced even if it still renews its row.
        """
        row_version = self._monitor.row_version
        renewal_version = self._monitor.renewal_version
        await asyncio.sleep(candidacy.takeover_delay_ms / 1000)
        if self._clock.now_ms() - self._last_heartbeat_ms < HEARTBEAT_TIMEOUT_MS:
            return False
        if not candidacy.must_read_again:
            return True
        if not await self._read_leadership():
            return False
        is_renewed = self._monitor.renewal_version != renewal_version
        return row_version == self._monitor.row_version and (
            may_renew or not is_renewed
        )

    async def _read_leadership(self) -> bool:
        """Read the rows of the leadership and return whether the store responded."""
        asked_ms = self._clock.now_ms()
        try:
            page: RowsPage = await self._store.ask(
                ReadRows(LEADERSHIP_TABLE, LEADER_PART)
            )
        except TableError:
            self._monitor.record_read_failure(self._clock.now_ms())
            return False
        now_ms = self._clock.now_ms()
        row_by_id = {row.row: row for row in page.rows}
        self._record_epoch(row_by_id.get(EPOCH_ROW), now_ms)
        self._monitor.record_read(asked_ms, now_ms)
        renewal = row_by_id.get(RENEWAL_ROW)
        if renewal is None:
            self._monitor.record_renewal(ABSENT, None, self._last_heartbeat(), now_ms)
        else:
            self._monitor.record_renewal(
                renewal.version,
                _parse_renewal(renewal.value),
                self._last_heartbeat(),
                now_ms,
            )
        return True

    def _last_heartbeat(self) -> LastHeartbeat:
        return LastHeartbeat(
            self._heard_leader,
            self._last_heartbeat_ms,
            self._last_heartbeat_clock_ms,
            has_left=self._left_epoch >= max(1, self._leader.epoch),
        )

    def _record_epoch(self, row: StoredRow | None, now_ms: int) -> None:
        if row is None:
            return
        try:
            leader = _parse_leadership(row.value)
        except InvalidInputError as error:
            logs.log_event("row_unreadable", row="epoch", reason=error.message)
            leader = self._monitor.row
        self._monitor.record_row(leader, row.version, now_ms)

    async def _is_unheard_by_majority(self) -> bool:
        """Whether most instances have not received a heartbeat for too long."""
        if self._unheard_ms() < MAJORITY_HEARTBEAT_TIMEOUT_MS:
            return False
        interval_ms = self._candidacy().majority_check_interval_ms
        if self._clock.now_ms() - self._majority_checked_ms < interval_ms:
            return False
        self._majority_checked_ms = self._clock.now_ms()
        others = [
            member.instance_id
            for member in self._members
            if member.instance_id not in (self._instance_id, self._leader.leader_id)
        ]
        unheard = await self._probe.count_without_heartbeat(
            others, self._leader, MAJORITY_HEARTBEAT_TIMEOUT_MS
        )
        return 2 * (1 + unheard) > len(self._members)

    def _candidacy(self) -> Candidacy:
        return Candidacy.from_members(self._own, self._members, self._leader.leader_id)

    async def _yield_to_stronger(self) -> None:
        """Release the lead if a much stronger instance replies."""
        self._has_checked_strength = True
        best = max((self._own, *self._members), key=lambda member: member.strength)
        if self._own.strength >= MIN_STRENGTH_SHARE * best.strength:
            return
        if await self._probe.ask_leader_age(best.instance_id) is not None:
            await self._release("a stronger instance is available")

    async def _take_over(self) -> None:
        epoch, asked_ms = self._monitor.row.epoch + 1, self._clock.now_ms()
        self._attempted_epoch = epoch
        row = serialize_row(LeaderRow(epoch, self._instance_id))
        transaction = CommitRows(
            (RowCheck(EPOCH_ROW, self._monitor.row_version),),
            (RowWrite(EPOCH_ROW, row),),
        )
        try:
            answer = await self._store.ask(transaction)
        except WriteOutcomeUnknownError:
            # The next read of the rows shows whether the takeover took effect.
            return
        except TableError as error:
            logs.log_event("lead_not_taken", epoch=epoch, code=error.code)
            return
        await self._begin_lead(epoch, answer.version, asked_ms)

    async def _begin_lead(self, epoch: int, row_version: int, asked_ms: int) -> None:
        self._monitor.row = LeaderRow(epoch, self._instance_id)
        self._monitor.row_version = row_version
        self._attempted_epoch = 0
        self._own_epoch = epoch
        self._leading_since_ms = self._clock.now_ms()
        self._confirmed_ms = asked_ms
        self._has_checked_strength = False
        self._renewal_sent_ms = self._clock.now_ms()
        self._heartbeat_sent_ms = 0
        self._follow(self._monitor.row)
        # The scheduler recovers the stored state while heartbeats and renewals go on.
        self._scheduler.tell(LeadershipAcquired(epoch, row_version, asked_ms))
        await self._maintain_lead()

    def _follow(self, row: LeaderRow) -> None:
        if row == self._leader:
            return
        if self._own_epoch and row.epoch > self._own_epoch:
            epoch = self._own_epoch
            self._mark_lead_lost("another instance leads")
            self._scheduler.tell(LeadershipEnded(epoch, "another instance leads"))
        self._leader = row
        self._leader_since_ms = self._clock.now_ms()
        self._tell_subscribers(LeaderChanged(row.leader_id, row.epoch))

    def _mark_lead_lost(self, reason: str) -> None:
        logs.log_event("lead_lost", epoch=self._own_epoch, reason=reason)
        epoch, self._own_epoch = self._own_epoch, 0
        self._last_heartbeat_ms = self._clock.now_ms()
        if self._leader.leader_id == self._instance_id:
            self._leader = LeaderRow(epoch, "")
            self._tell_subscribers(LeaderChanged("", epoch))

    def _tell_subscribers(self, message: Message[None]) -> None:
        for subscriber in self._subscribers:
            subscriber.tell(message)


def _parse_leadership(value: bytes) -> LeaderRow:
    """Decode the row that names the leader.

    Raises:
        InvalidInputError: If it is invalid, or no leadership could follow it.
    """
    leader = parse_row(value, LeaderRow)
    if leader.epoch >= MAX_EPOCH:
        raise InvalidInputError("no number is left for the next leadership")
    return leader


def _parse_renewal(value: bytes) -> int | None:
    """Return the leader's clock in the row of its renewals, None if it has none."""
    is_clock = value.isdigit() and len(value) <= MAX_CLOCK_DIGITS
    return int(value) if is_clock else None
