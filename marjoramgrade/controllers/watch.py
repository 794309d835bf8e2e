"""Watches: changes of jobs and of the configuration in order of version."""

from __future__ import annotations

import asyncio
from collections import deque

import attrs

from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.errors import ShuttingDownError
from marjoramgrade.messages import ConfigConfirmed, JobsChanged, WatchEvent

# A watch that was interrupted can resume within this many changes.
KEPT_EVENTS = 10_000
# A watcher that falls behind further than this starts again from a reset.
MAX_UNREAD_EVENTS = 1_000


class Subscription:
    """One watcher's unread events.

    Args:
        team: Show only jobs of this team; empty for all changes.
    """

    def __init__(self, team: str = "") -> None:
        self._team = team
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
        if not self._team or event.kind == "reset":
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
        self._events: deque[WatchEvent] = deque(maxlen=KEPT_EVENTS)
        self._subscriptions: set[Subscription] = set()
        self._config_version = 0
        # Changes up to this version are no longer, or were never, kept here.
        self._forgotten_version = 0
        self._is_first_page = True

    async def on_stop(self) -> None:
        """End every watch."""
        for subscription in self._subscriptions:
            subscription.close()

    @handles(JobsChanged)
    async def _jobs_changed(self, message: JobsChanged) -> None:
        ordered = sorted(message.jobs, key=lambda stored: stored.version)
        if self._is_first_page and ordered:
            # The first page shows the latest state, not the changes before it.
            self._is_first_page = False
            self._forgotten_version = max(self._forgotten_version, ordered[-1].version)
        for stored in ordered:
            job = stored.job
            self._publish(WatchEvent(stored.version, "job", job.job_id, job))

    @handles(ConfigConfirmed)
    async def _config_confirmed(self, message: ConfigConfirmed) -> None:
        version = message.config.version
        if version == self._config_version:
            return
        self._config_version = version
        self._publish(
            WatchEvent(message.row_version, "config", "config", config_version=version)
        )

    @handles(Subscribe)
    async def _subscribe(self, message: Subscribe) -> Subscription:
        subscription = Subscription(message.team)
        self._subscriptions.add(subscription)
        latest = max((event.version for event in self._events), default=0)
        if message.after is None or message.after < self._forgotten_version:
            subscription.put(WatchEvent(latest, "reset"))
            return subscription
        for event in self._events:
            if event.version > message.after:
                subscription.put(event)
        return subscription

    @handles(Unsubscribe)
    async def _unsubscribe(self, message: Unsubscribe) -> None:
        self._subscriptions.discard(message.subscription)

    def _publish(self, event: WatchEvent) -> None:
        if len(self._events) == KEPT_EVENTS:
            forgotten = self._events[0].version
            self._forgotten_version = max(self._forgotten_version, forgotten)
        self._events.append(event)
        for subscription in self._subscriptions:
            subscription.put(event)
