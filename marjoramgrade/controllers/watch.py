"""Watches: changes of jobs and of the configuration in order of version.

The two sources are read by loops of their own. A change is shown once both have
been read up to its version, so that no change with a lower version comes later
and a watch that resumes after the last version it saw misses nothing.
"""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from itertools import count

import attrs

from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.errors import ShuttingDownError
from marjoramgrade.messages.configuration import ConfigConfirmed
from marjoramgrade.messages.jobs import JobsChanged
from marjoramgrade.messages.watches import WatchEvent

# A watch that was interrupted can resume within this many changes.
MAX_RETAINED_EVENTS = 10_000
# A watcher that falls behind further than this starts again from a reset.
MAX_UNREAD_EVENTS = 1_000


class Subscription:
    """One watcher's unread events.

    Args:
        team: Show only jobs of this team; empty for all changes.
        after: Show only changes after this version, which another instance that
            is ahead of this one may have shown already.
    """

    def __init__(self, team: str = "", after: int = 0) -> None:
        self._team = team
        self._after = after
        self._unread: deque[WatchEvent] = deque()
        self._changed = asyncio.Event()
        self._is_closed = False

    def put(self, event: WatchEvent) -> None:
        """Add an event; a watcher that does not read gets a reset instead."""
        if not self._is_shown(event):
            return
        self._unread.append(event)
        if len(self._unread) > MAX_UNREAD_EVENTS:
            self._unread.clear()
            self._unread.append(WatchEvent(event.version, "reset"))
        self._changed.set()

    def _is_shown(self, event: WatchEvent) -> bool:
        if event.kind == "reset":
            return True
        if event.version <= self._after:
            return False
        if not self._team:
            return True
        return event.job is not None and event.job.spec.team == self._team

    def close(self) -> None:
        """End the watch once the unread events are read."""
        self._is_closed = True
        self._changed.set()

    async def next_events(self) -> list[WatchEvent]:
        """Wait for events and return all that are unread.

        Raises:
            ShuttingDownError: If the watch has ended.
        """
        if not self._unread and not self._is_closed:
            await self._changed.wait()
        self._changed.clear()
        events = list(self._unread)
        self._unread.clear()
        if not events:
            raise ShuttingDownError("the watch has ended")
        return events


@attrs.frozen
class Subscribe(Message[Subscription]):
    """Asks for the changes after a version, or from now on if it is None."""

    after: int | None
    team: str = ""


@attrs.frozen
class Unsubscribe(Message[None]):
    """Ends a subscription."""

    subscription: Subscription


class WatchController(Actor):
    """Owns the latest changes and the subscriptions."""

    def __init__(self) -> None:
        super().__init__()
        self._events: deque[WatchEvent] = deque(maxlen=MAX_RETAINED_EVENTS)
        self._subscriptions: set[Subscription] = set()
        self._config_version = 0
        self._jobs_read_version = 0
        self._config_read_version = 0
        # Changes up to this version have been shown.
        self._shown_version = 0
        # Changes that are known and not shown yet; the number breaks ties.
        self._held: list[tuple[int, int, WatchEvent]] = []
        self._number = count()
        # Changes up to this version are no longer, or were never, kept here.
        self._forgotten_version = 0

    async def on_stop(self) -> None:
        """End every watch."""
        for subscription in self._subscriptions:
            subscription.close()

    @handles(JobsChanged)
    async def _jobs_changed(self, message: JobsChanged) -> None:
        ordered = sorted(message.jobs, key=lambda stored: stored.version)
        if not self._jobs_read_version and message.read_version and ordered:
            # The first page shows the latest state, not the changes before it.
            self._forgotten_version = max(self._forgotten_version, ordered[-1].version)
        for stored in ordered:
            job = stored.job
            self._hold(WatchEvent(stored.version, "job", job.job_id, job))
        self._jobs_read_version = max(self._jobs_read_version, message.read_version)
        self._show_held()

    @handles(ConfigConfirmed)
    async def _config_confirmed(self, message: ConfigConfirmed) -> None:
        version, row_version = message.config.version, message.row_version
        if version != self._config_version:
            self._config_version = version
            self._hold(
                WatchEvent(row_version, "config", "config", config_version=version)
            )
        read_version = max(self._config_read_version, message.read_version)
        self._config_read_version = read_version
        self._show_held()

    @handles(Subscribe)
    async def _subscribe(self, message: Subscribe) -> Subscription:
        if message.after is None or message.after < self._forgotten_version:
            subscription = Subscription(message.team, self._shown_version)
            subscription.put(WatchEvent(self._shown_version, "reset"))
        else:
            subscription = Subscription(message.team, message.after)
            for event in self._events:
                subscription.put(event)
        self._subscriptions.add(subscription)
        return subscription

    @handles(Unsubscribe)
    async def _unsubscribe(self, message: Unsubscribe) -> None:
        self._subscriptions.discard(message.subscription)

    def _hold(self, event: WatchEvent) -> None:
        heapq.heappush(self._held, (event.version, next(self._number), event))

    def _show_held(self) -> None:
        """Show the changes up to the version that both sources have reached."""
        read_version = min(self._jobs_read_version, self._config_read_version)
        while self._held and self._held[0][0] <= read_version:
            event = heapq.heappop(self._held)[2]
            self._shown_version = max(self._shown_version, event.version)
            self._publish(event)

    def _publish(self, event: WatchEvent) -> None:
        if len(self._events) == MAX_RETAINED_EVENTS:
            forgotten = self._events[0].version
            self._forgotten_version = max(self._forgotten_version, forgotten)
        self._events.append(event)
        for subscription in self._subscriptions:
            subscription.put(event)
