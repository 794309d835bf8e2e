"""Routes store requests: directly, or relayed by an instance that reaches the store.

The store may refuse some instances, or be cut off from them, while it serves the
others.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.controllers.hedging import Attempt, ask_hedged
from marjoramgrade.decisions.relayorder import RelayOrder
from marjoramgrade.decisions.storeaccess.raterefusals import (
    MIN_SERVED,
    RateBackoff,
    RefusedAlone,
)
from marjoramgrade.errors import (
    MarjoramgradeError,
    OutcomeUnknownError,
    RefusedError,
    TableError,
    TableRateLimitedError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.peers import CallPeer, Member, MembersChanged
from marjoramgrade.messages.rows import (
    CommitRows,
    FetchPart,
    PagePart,
    PageTransfer,
    ReadRows,
    RowsPage,
    WatchRows,
)
from marjoramgrade.messages.steps import StorePathStatus
from marjoramgrade.metrics import MemoryMetrics, Metrics
from marjoramgrade.pageparts import join_parts
from marjoramgrade.steprows import MEMBERS_TABLE

# While the direct path fails, a probe read is sent at this interval without waiting
# for earlier ones: requests sent while the store was unresponsive never get a response.
PROBE_MS = 200
# The interval while a write waits. Clients retry up to five times within their three
# seconds, so with each tenth of a second some have their last retry refused.
URGENT_PROBE_MS = 80
# A slow store responds to a read within 400 ms. Requests sent while it was unresponsive
# never get a response and must not hold their connections.
PROBE_TIMEOUT_MS = 500
# A slow store may respond late to a single read; the direct path is lost only if it
# does not respond for this long. Relays are asked first meanwhile.
DOUBT_TIMEOUT_MS = 1_200
# Maximum number of concurrent probe reads; the link has 12 connections.
MAX_PROBES = 7
# A write without a response for this long may have been lost. The time doubles with
# each abandoned write, so that a store that needs longer is not sent the same write
# again and again.
INITIAL_OVERDUE_MS = 400
MAX_OVERDUE_MS = 3_200
# A slow store takes about three times as long for a write as for a read.
SLOW_WRITE_FACTOR = 3
# A working relay replies within the time that the store takes; a request to a relay
# that is cut off is abandoned after this time.
RELAY_TIMEOUT_MS = 800
# The direct path counts as lost if it does not respond for this long after a relay's
# path has.
RELAY_LEAD_MS = 150
# Maximum number of instances that are asked to relay one request.
MAX_RELAYS = 3
# A response that is later than a slow store's makes the direct path doubtful; the
# request is then sent on other paths, too.
WATCH_OVERDUE_MS = 400
READ_OVERDUE_MS = 500
# A response that has begun to arrive is in doubt after this time without a byte.
# Several large responses that share the slowest link arrive by turns.
TRANSFER_SILENCE_MS = 700
# Interval at which a response that is still arriving is asked for.
PART_WAIT_MS = 100
# Interval at which a request in doubt is sent on further paths.
HEDGE_INTERVAL_MS = 100
# Waiting time of a watch in doubt. Its response tells soon whether the path works.
DOUBTFUL_WATCH_WAIT_MS = 150
# A relay that works responds to a read, or after the wait of a watch, within this time.
RELAY_OVERDUE_MS = 150
# Time for a response after a request was sent on the last path. A slow store may take
# longer for a read of many rows than for a watch.
LAST_WATCH_LEAD_MS = 300
LAST_READ_LEAD_MS = 800
# Longest time that a read or watch waits for the direct path to work again, if it has
# failed on all others.
REGAIN_TIMEOUT_MS = 300
# Longer than a relay waits for the store, because a connection to a peer that does not
# reply in time is closed together with the calls of others on it.
HEDGED_RELAY_TIMEOUT_MS = 1_500
# A call that is refused for its rate is repeated for this long. Callers have their own
# limits and repeat writes.
RATE_RETRY_MS = 1_000


class StoreRouter(Actor):
    """Sends store requests by whichever path works.

    Args:
        instance_id: Id of this instance.
        link: The direct connection to the store.
        peers: Sends messages to the other instances.
        metrics: Counts refused calls.
    """

    def __init__(
        self,
        instance_id: str,
        link: Actor,
        peers: Actor,
        metrics: Metrics | None = None,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._link = link
        self._peers = peers
        self._metrics = metrics or MemoryMetrics()
        self._members: list[Member] = []
        self._relay_order = RelayOrder()
        self._is_direct = True
        # Set while the direct path counts as working.
        self._direct_works = asyncio.Event()
        self._direct_works.set()
        # Whether a relay responded and the direct path, which counts as working, did
        # not.
        self._is_direct_doubtful = False
        self._overdue_ms = INITIAL_OVERDUE_MS
        self._subscribers: tuple[Actor, ...] = ()
        self._read_backoff = RateBackoff()
        self._write_backoff = RateBackoff()
        self._refused_alone = RefusedAlone()
        self._comparison: asyncio.Task[None] | None = None
        # Whether the direct path is lost because the store refuses this instance alone.
        self._is_refused_alone = False

    def connect(self, subscribers: tuple[Actor, ...]) -> None:
        """Set the controllers that are told which path works."""
        self._subscribers = subscribers

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        self._members = [
            member
            for member in message.members
            if member.instance_id != self._instance_id
        ]
        self._relay_order.set_members(
            {member.instance_id: member.zone for member in self._members}
        )

    @handles(CommitRows)
    async def _commit(self, message: CommitRows) -> Any:
        send = functools.partial(self._send_write, message)
        return self.spawn(self._send_at_rate(send, self._write_backoff))

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> Any:
        send = functools.partial(self._send_read, message)
        return self.spawn_for_sender(self._send_at_rate(send, self._read_backoff))

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> Any:
        send = functools.partial(self._send_watch, message)
        return self.spawn_for_sender(self._send_at_rate(send, self._read_backoff))

    # A call that the store refuses for its rate is repeated on the same path. The path
    # is given up only if the store refuses all calls of this instance and serves
    # others.

    async def _send_at_rate(
        self, send: Callable[[], Awaitable[Any]], backoff: RateBackoff
    ) -> Any:
        """Send a request again after a pause while it is refused for its rate.

        Raises:
            TableRateLimitedError: If it is refused for `RATE_RETRY_MS`.
        """
        end_ms = _now_ms() + RATE_RETRY_MS
        while True:
            if pause_ms := backoff.pause_ms(_now_ms()):
                await asyncio.sleep(pause_ms / 1000)
            try:
                return await send()
            except TableRateLimitedError:
                if _now_ms() >= end_ms:
                    raise

    async def _ask_link(self, message: Message[Any]) -> Any:
        """Send a request directly and record whether it was refused for its rate."""
        sent_ms = _now_ms()
        try:
            answer = await self._link.ask(message)
        except TableRateLimitedError:
            self._record_refused(message, sent_ms)
            raise
        except (TableUnavailableError, WriteOutcomeUnknownError):
            raise
        except TableError:
            # A failed check or lost history is a response of the store.
            self._record_served(message)
            raise
        self._record_served(message)
        return answer

    def _backoff_of(self, message: Message[Any]) -> RateBackoff:
        is_write = isinstance(message, CommitRows)
        return self._write_backoff if is_write else self._read_backoff

    def _record_served(self, message: Message[Any]) -> None:
        self._backoff_of(message).record_served()
        self._refused_alone.record_served()

    def _record_refused(self, message: Message[Any], sent_ms: int) -> None:
        kind = "write" if isinstance(message, CommitRows) else "read"
        self._metrics.count(f"store_refused.{kind}")
        if not self._backoff_of(message).record_refused(sent_ms, _now_ms()):
            return
        self._refused_alone.record_refused()
        if self._is_direct and (self._comparison is None or self._comparison.done()):
            self._comparison = self.spawn_critical(self._compare_with_others())

    async def _compare_with_others(self) -> None:
        """Give the direct path up if others are served while this instance is not."""
        while self._refused_alone.is_refused and self._is_direct:
            instances = len(self._members) + 1
            pause_ms = self._refused_alone.next_comparison_ms(instances)
            await asyncio.sleep(pause_ms / 1000)
            if not self._refused_alone.should_compare or not await self._is_alone():
                continue
            self._metrics.count("store_refused.alone")
            self._is_refused_alone = True
            self._mark_direct_lost("the store refuses this instance and serves others")
            # Relays serve this instance; its own pauses do not apply to them.
            self._read_backoff.record_served()
            self._write_backoff.record_served()
            self._tell_subscribers(StorePathStatus(False, True))

    async def _is_alone(self) -> bool:
        """Ask a few others one by one to read, and read directly after each of them."""
        served = failed = 0
        relays = self._relay_order.first(MAX_RELAYS)
        needed = min(MIN_SERVED, len(relays))
        probe = ReadRows(MEMBERS_TABLE, "", limit=1, timeout_ms=PROBE_TIMEOUT_MS)
        for relay in relays:
            if served == needed or len(relays) - failed < needed:
                break
            try:
                await self._peers.ask(CallPeer(relay, probe, PROBE_TIMEOUT_MS))
            except MarjoramgradeError as error:
                self._record_relay_failure(probe, relay, error)
                failed += 1
                continue
            served += 1
            with contextlib.suppress(MarjoramgradeError):
                await self._ask_link(probe)
            if not self._refused_alone.is_refused:
                return False
        return served == needed > 0

    async def _send_write(self, message: CommitRows) -> Any:
        """Write, but abandon a lost write once the store responds to reads.

        Raises:
            WriteOutcomeUnknownError: If the write may have taken effect.
        """
        write = asyncio.ensure_future(self._send_once(message))
        overdue = asyncio.ensure_future(self._await_write_overdue())
        try:
            await asyncio.wait((write, overdue), return_when=asyncio.FIRST_COMPLETED)
            if not write.done():
                self._overdue_ms = min(2 * self._overdue_ms, MAX_OVERDUE_MS)
                if overdue.result():
                    self._mark_direct_regained()
                    reason = "the store responds to reads, but not to this write"
                else:
                    reason = "other instances reach the store, this one does not"
                    self._mark_direct_lost(reason)
                raise WriteOutcomeUnknownError(reason)
            self._overdue_ms = INITIAL_OVERDUE_MS
            return write.result()
        finally:
            write.cancel()
            overdue.cancel()

    async def _await_write_overdue(self) -> bool:
        """Return once a write that was just sent must be considered lost.

        Returns:
            Whether the store responds on the direct path; if not, it responds to
            another instance.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await asyncio.sleep(self._overdue_ms / 1000)
        took_s = await self._probe_both_paths_s()
        if took_s is None:
            return False
        lost_s = self._overdue_ms / 1000 + SLOW_WRITE_FACTOR * took_s
        await asyncio.sleep(max(0.0, began_s + lost_s - loop.time()))
        return True

    async def _probe_both_paths_s(self) -> float | None:
        """Probe the direct path until it responds, or only a relay's path does.

        Returns:
            How long the direct probe took, or None if only a relay responded. While
            the direct path is known to be lost, relays are not probed.
        """
        direct = asyncio.ensure_future(self._probe_until_response_s(URGENT_PROBE_MS))
        relayed = asyncio.ensure_future(self._await_relay())
        try:
            await asyncio.wait((direct, relayed), return_when=asyncio.FIRST_COMPLETED)
            # A slow store responds on both paths at about the same time.
            await asyncio.wait((direct,), timeout=RELAY_LEAD_MS / 1000)
            return direct.result() if direct.done() else None
        finally:
            direct.cancel()
            relayed.cancel()

    async def _await_relay(self) -> None:
        """Return once a relay responds while the direct path counts as working."""
        index = 0
        while True:
            await asyncio.sleep(URGENT_PROBE_MS / 1000)
            if not self._is_direct or not self._members:
                continue
            member = self._members[index % len(self._members)]
            index += 1
            probe = ReadRows(MEMBERS_TABLE, "", limit=1, timeout_ms=PROBE_TIMEOUT_MS)
            try:
                await self._peers.ask(
                    CallPeer(member.instance_id, probe, PROBE_TIMEOUT_MS)
                )
            except MarjoramgradeError:
                # This relay does not reach the store either.
                continue
            if self._is_direct:
                return

    async def _probe_until_response_s(
        self, interval_ms: int, *, counts_refusal: bool = False
    ) -> float:
        """Probe the store until it responds; return how long that probe took."""
        loop = asyncio.get_running_loop()
        probe_s = functools.partial(self._probe_s, counts_refusal=counts_refusal)
        probes: set[asyncio.Task[float | None]] = set()
        try:
            while True:
                next_s = loop.time() + interval_ms / 1000
                if len(probes) < MAX_PROBES:
                    probes.add(asyncio.ensure_future(probe_s()))
                done, probes = await asyncio.wait(
                    probes,
                    timeout=interval_ms / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for probe in done:
                    took_s = probe.result()
                    if took_s is not None:
                        return took_s
                await asyncio.sleep(max(0.0, next_s - loop.time()))
        finally:
            for probe in probes:
                probe.cancel()

    async def _probe_s(
        self, timeout_ms: int = PROBE_TIMEOUT_MS, *, counts_refusal: bool = False
    ) -> float | None:
        """Read a row directly; return how long it took, None if the read failed.

        Args:
            timeout_ms: Time for the response.
            counts_refusal: Whether a refusal for the rate is a response.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            await self._link.ask(
                ReadRows(MEMBERS_TABLE, "", limit=1, timeout_ms=timeout_ms)
            )
        except MarjoramgradeError as error:
            if not (counts_refusal and isinstance(error, TableRateLimitedError)):
                # Whatever the error, the direct path does not work yet.
                return None
        return loop.time() - began_s

    # Writes are sent on one path at a time.

    async def _send_once(self, message: CommitRows) -> Any:
        if self._is_direct:
            try:
                return await self._ask_link(message)
            except TableRateLimitedError:
                raise
            except WriteOutcomeUnknownError as error:
                self._mark_direct_lost(error.message)
                raise
            except TableUnavailableError as error:
                self._mark_direct_lost(error.message)
        return await self._send_relayed(message)

    async def _send_relayed(self, message: CommitRows) -> Any:
        failure: MarjoramgradeError = TableUnavailableError(
            "no path to the store works"
        )
        for relay in self._relay_order.first(MAX_RELAYS):
            try:
                answer = await self._peers.ask(
                    CallPeer(relay, message, RELAY_TIMEOUT_MS)
                )
            except TableRateLimitedError as error:
                # Further relays would add to the rate; the next attempt uses another.
                self._record_relay_failure(message, relay, error)
                raise
            except (TableUnavailableError, RefusedError) as error:
                failure = TableUnavailableError(error.message)
                self._record_relay_failure(message, relay, error)
            except (WriteOutcomeUnknownError, OutcomeUnknownError) as error:
                self._record_relay_failure(message, relay, error)
                raise WriteOutcomeUnknownError(error.message) from None
            except TableError:
                # A failed row check is a response of the store.
                self._relay_order.move_to_front(relay)
                self._tell_subscribers(StorePathStatus(self._is_direct, True))
                raise
            except MarjoramgradeError as error:
                # An error that this version does not know tells nothing of the write.
                self._record_relay_failure(message, relay, error)
                raise WriteOutcomeUnknownError(error.message) from None
            else:
                self._relay_order.move_to_front(relay)
                self._write_backoff.record_served()
                self._tell_subscribers(StorePathStatus(self._is_direct, True))
                return answer
        raise failure

    # Reads and watches change nothing, so they may be sent on several paths at once.

    async def _send_read(self, message: ReadRows) -> Any:
        message = attrs.evolve(message, accepts_transfer=True)
        return await self._send_hedged(
            message,
            message,
            READ_OVERDUE_MS,
            RELAY_OVERDUE_MS,
            LAST_READ_LEAD_MS,
        )

    async def _send_watch(self, message: WatchRows) -> Any:
        message = attrs.evolve(message, accepts_transfer=True)
        wait_ms = min(message.wait_ms, DOUBTFUL_WATCH_WAIT_MS)
        return await self._send_hedged(
            message,
            attrs.evolve(message, wait_ms=wait_ms),
            message.wait_ms + WATCH_OVERDUE_MS,
            wait_ms + RELAY_OVERDUE_MS,
            LAST_WATCH_LEAD_MS,
        )

    async def _send_hedged(
        self,
        message: Message[Any],
        in_doubt: Message[Any],
        direct_lead_ms: int,
        relay_lead_ms: int,
        last_lead_ms: int,
    ) -> Any:
        """Send a request on the path that worked last, then on others side by side.

        Args:
            message: The request.
            in_doubt: The same as it is sent once the first path is in doubt.
            direct_lead_ms: Time after which the direct path is in doubt.
            relay_lead_ms: Time after which a relay is in doubt.
            last_lead_ms: Time for a response after the request was sent on the last
                path.
        """
        relays = [
            Attempt(
                functools.partial(self._ask_relay, relay, in_doubt, relay_lead_ms),
                HEDGE_INTERVAL_MS,
            )
            for relay in self._relay_order.first(MAX_RELAYS)
        ]
        # Sent on another connection than an earlier attempt that is unanswered.
        again = Attempt(
            functools.partial(self._ask_directly_once_it_works, in_doubt),
            HEDGE_INTERVAL_MS,
        )
        if self._is_direct and not self._is_direct_doubtful:
            first = Attempt(
                functools.partial(self._ask_directly, message), direct_lead_ms
            )
            attempts = [first, again, *relays]
        else:
            relays[:1] = [attrs.evolve(r, lead_ms=relay_lead_ms) for r in relays[:1]]
            attempts = [*relays[:1], again, *relays[1:]]
        attempts[-1] = attrs.evolve(
            attempts[-1], lead_ms=max(last_lead_ms, attempts[-1].lead_ms)
        )
        try:
            return await ask_hedged(attempts, TRANSFER_SILENCE_MS)
        except TableRateLimitedError:
            raise
        except TableUnavailableError:
            # The link itself may wait longer before it reports the path as lost.
            self._doubt_direct_path()
            raise

    async def _ask_directly_once_it_works(
        self, message: Message[Any], on_arrival: Callable[[], None]
    ) -> Any:
        try:
            async with asyncio.timeout(REGAIN_TIMEOUT_MS / 1000):
                await self._direct_works.wait()
        except TimeoutError:
            raise TableUnavailableError("the direct path does not work") from None
        return await self._ask_directly(message, on_arrival)

    async def _ask_directly(
        self, message: Message[Any], on_arrival: Callable[[], None]
    ) -> Any:
        try:
            answer = await self._ask_link(message)
            if isinstance(answer, PageTransfer):
                answer = await _fetch_page(answer, self._link.ask, on_arrival)
        except TableRateLimitedError:
            self._is_direct_doubtful = False
            raise
        except TableUnavailableError as error:
            self._mark_direct_lost(error.message)
            raise
        except TableError:
            # Lost history is a response of the store.
            self._is_direct_doubtful = False
            raise
        self._is_direct_doubtful = False
        return answer

    async def _ask_relay(
        self,
        relay: str,
        message: Message[Any],
        overdue_ms: int,
        on_arrival: Callable[[], None],
    ) -> Any:
        loop = asyncio.get_running_loop()
        overdue_s = loop.time() + overdue_ms / 1000
        try:
            answer = await self._call_relay(relay, message)
            if isinstance(answer, PageTransfer):
                overdue_s = math.inf
                call = functools.partial(self._call_relay, relay)
                answer = await _fetch_page(answer, call, on_arrival)
        except TableRateLimitedError as error:
            self._record_relay_failure(message, relay, error)
            raise
        except (TableUnavailableError, RefusedError, OutcomeUnknownError) as error:
            self._record_relay_failure(message, relay, error)
            raise TableUnavailableError(error.message) from None
        except TableError:
            # Lost history is a response of the store.
            self._record_relay_response(relay)
            raise
        except MarjoramgradeError as error:
            # An error that this version does not know, or of the relay itself.
            self._record_relay_failure(message, relay, error)
            raise TableUnavailableError(error.message) from None
        except asyncio.CancelledError:
            # Another path was faster.
            if loop.time() >= overdue_s:
                self._relay_order.move_to_end(relay)
            raise
        self._record_relay_response(relay)
        return answer

    async def _call_relay(self, relay: str, message: Message[Any]) -> Any:
        return await self._peers.ask(CallPeer(relay, message, HEDGED_RELAY_TIMEOUT_MS))

    def _record_relay_response(self, relay: str) -> None:
        self._relay_order.move_to_front(relay)
        if not self._is_direct:
            self._read_backoff.record_served()
            self._tell_subscribers(StorePathStatus(False, True))
        self._doubt_direct_path()

    def _doubt_direct_path(self) -> None:
        """Use other paths first until the direct path is known to work."""
        if self._is_direct and not self._is_direct_doubtful:
            self._is_direct_doubtful = True
            self.spawn_critical(self._check_direct_path())

    async def _check_direct_path(self) -> None:
        """Find out whether the direct path is lost, which a relay is faster than."""
        if await self._probe_s(DOUBT_TIMEOUT_MS, counts_refusal=True) is None:
            self._mark_direct_lost("other instances reach the store, this one does not")
        self._is_direct_doubtful = False

    def _record_relay_failure(
        self, message: Message[Any], relay: str, error: MarjoramgradeError
    ) -> None:
        self._relay_order.move_to_end(relay)
        if isinstance(error, TableRateLimitedError):
            self._metrics.count("store_refused.relayed")
            sent_ms = _now_ms()
            self._backoff_of(message).record_refused(sent_ms, sent_ms)
        logs.log_event(
            "relay_failed",
            request=type(message).__name__,
            relay=relay,
            code=error.code,
        )

    def _mark_direct_lost(self, reason: str) -> None:
        if not self._is_direct:
            return
        self._is_direct = False
        self._direct_works.clear()
        logs.log_event("store_lost", reason=reason)
        self._tell_subscribers(StorePathStatus(False, False))
        self.spawn_critical(self._await_direct_path())

    async def _await_direct_path(self) -> None:
        while not self._is_direct:
            # A refusal shows that the path works, unless it was lost for refusals.
            await self._probe_until_response_s(
                PROBE_MS, counts_refusal=not self._is_refused_alone
            )
            self._mark_direct_regained()

    def _mark_direct_regained(self) -> None:
        if self._is_direct:
            return
        self._is_direct = True
        self._is_refused_alone = False
        self._refused_alone.record_served()
        self._direct_works.set()
        logs.log_event("store_regained")
        self._tell_subscribers(StorePathStatus(True, False))

    def _tell_subscribers(self, message: Message[None]) -> None:
        for subscriber in self._subscribers:
            subscriber.tell(message)


def _now_ms() -> int:
    return round(asyncio.get_running_loop().time() * 1000)


async def _fetch_page(
    transfer: PageTransfer,
    ask: Callable[[Message[PagePart]], Awaitable[PagePart]],
    on_arrival: Callable[[], None],
) -> RowsPage:
    """Return the page of a response that has begun to arrive.

    Args:
        transfer: Names the response.
        ask: Sends a message to whoever receives the response.
        on_arrival: Called each time that more of the response has arrived.

    Raises:
        TableUnavailableError: If the response did not arrive.
    """
    on_arrival()
    parts: list[RowsPage] = []
    arrivals = 0
    while True:
        part = await ask(FetchPart(transfer.transfer_id, len(parts), PART_WAIT_MS))
        if part.count:
            parts.append(part.page)
            on_arrival()
            if len(parts) == part.count:
                return join_parts(parts)
        elif part.arrivals != arrivals:
            arrivals = part.arrivals
            on_arrival()
