"""Watches: changes of jobs and of the configuration in order of version.

Each of the two sources is read by its own loop. A change is published once both
have been read up to its version, so that no change with a lower version follows
and a watch that resumes after the last version it received misses nothing.
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

# An interrupted watch can resume if it missed at most this many changes.
MAX_RETAINED_EVENTS = 10_000
# More unread events than this are replaced by a reset, after which the watcher has to
# read the current state again.
MAX_UNREAD_EVENTS = 1_000


class Subscription:
    """Queue of one watcher's unread events.

    Args:
        team: Deliver only jobs of this team; empty for all changes.
        after: Deliver only changes after this version. Changes up to this version
            may have been delivered by an instance that is ahead of this one.
    """

    def __init__(self, team: str = "", after: int = 0) -> None:
        self._team = team
        self._after = after
        self._unread: deque[WatchEvent] = deque()
        self._changed = asyncio.Event()
        self._is_closed = False

    def put(self, event: WatchEvent) -> None:
        """Add an event; too many unread events are replaced by a reset."""
        if not self._is_selected(event):
            return
        self._unread.append(event)
        if len(self._unread) > MAX_UNREAD_EVENTS:
            self._unread.clear()
            self._unread.append(WatchEvent(event.version, "reset"))
        self._changed.set()

    def _is_selected(self, event: WatchEvent) -> bool:
        if event.kind == "reset":
            return True
        if event.version <= self._after:
            return False
        if not self._team:
            return True
        return event.job is not None and event.job.spec.team == self._team

    def close(self) -> None:
        """End the watch once the unread events have been read."""
        self._is_closed = True
        self._changed.set()

    async def next_events(self) -> list[WatchEvent]:
        """Wait for events and return all unread events.

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
    """Asks for the changes after version `after`, or from now on if it is None."""

    after: int | None
    team: str = ""


@attrs.frozen
class Unsubscribe(Message[None]):
    """Ends a subscription."""

    subscription: Subscription


@attrs.frozen
class EndWatches(Message[None]):
    """Ends every watch and refuses new ones, since the instance is stopping."""


class WatchController(Actor):
    """Owns the latest changes and the subscriptions."""

    def __init__(self) -> None:
        super().__init__()
        self._events: deque[WatchEvent] = deque(maxlen=MAX_RETAINED_EVENTS)
        self._subscriptions: set[Subscription] = set()
        self._is_ending = False
        self._config_version = 0
        self._jobs_read_version = 0
        self._config_read_version = 0
        # Changes up to this version have been published.
        self._published_version = 0
        # Heap of changes not published yet: version, sequence number that breaks
        # ties, event.
        self._unpublished: list[tuple[int, int, WatchEvent]] = []
        self._sequence = count()
        # Changes up to this version are no longer, or were never, retained here.
        self._discarded_version = 0

    async def on_stop(self) -> None:
        """End every watch."""
        self._close_subscriptions()

    @handles(EndWatches)
    async def _end_watches(self, message: EndWatches) -> None:
        self._is_ending = True
        self._close_subscriptions()

    def _close_subscriptions(self) -> None:
        for subscription in self._subscriptions:
            subscription.close()

    @handles(JobsChanged)
    async def _jobs_changed(self, message: JobsChanged) -> None:
        ordered = sorted(message.jobs, key=lambda stored: stored.version)
        if not self._jobs_read_version and message.read_version and ordered:
            # The first page has only the latest state, not the changes before it.
            self._discarded_version = max(self._discarded_version, ordered[-1].version)
        for stored in ordered:
            job = stored.job
            self._enqueue(WatchEvent(stored.version, "job", job.job_id, job))
        self._jobs_read_version = max(self._jobs_read_version, message.read_version)
        self._publish_ready()

    @handles(ConfigConfirmed)
    async def _config_confirmed(self, message: ConfigConfirmed) -> None:
        version, row_version = message.config.version, message.row_version
        if version != self._config_version:
            self._config_version = version
            self._enqueue(
                WatchEvent(row_version, "config", "config", config_version=version)
            )
        read_version = max(self._config_read_version, message.read_version)
        self._config_read_version = read_version
        self._publish_ready()

    @handles(Subscribe)
    async def _subscribe(self, message: Subscribe) -> Subscription:
        if self._is_ending:
            raise ShuttingDownError("this instance is shutting down")
        if message.after is None or message.after < self._discarded_version:
            subscription = Subscription(message.team, self._published_version)
            subscription.put(WatchEvent(self._published_version, "reset"))
        else:
            subscription = Subscription(message.team, message.after)
            for event in self._events:
                subscription.put(event)
        self._subscriptions.add(subscription)
        return subscription

    @handles(Unsubscribe)
    async def _unsubscribe(self, message: Unsubscribe) -> None:
        self._subscriptions.discard(message.subscription)

    def _enqueue(self, event: WatchEvent) -> None:
        heapq.heappush(self._unpublished, (event.version, next(self._sequence), event))

    def _publish_ready(self) -> None:
        """Publish the changes up to the version that both sources have reached."""
        read_version = min(self._jobs_read_version, self._config_read_version)
        while self._unpublished and self._unpublished[0][0] <= read_version:
            event = heapq.heappop(self._unpublished)[2]
            self._published_version = max(self._published_version, event.version)
            self._publish(event)

    def _publish(self, event: WatchEvent) -> None:
        if len(self._events) == MAX_RETAINED_EVENTS:
            discarded = self._events[0].version
            self._discarded_version = max(self._discarded_version, discarded)
        self._events.append(event)
        for subscription in self._subscriptions:
            subscription.put(event)
