"""Chooses the instance that makes the next call to the placement advisor.

The advisor serves one call of each instance at a time, so each instance is a separate
channel. Calls of urgent queues are short and must not wait behind long ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

# Longer calls leave one channel free for shorter ones.
LONG_CALL_MS = 150
# Limit on the total expected duration of the calls pending on one channel. Further
# calls are deferred and later made for the steps that need them most by then.
MAX_CHANNEL_BACKLOG_MS = 300
# Back-off after a call through an instance failed; doubles with each failure. It
# starts short, since right after a restart the next attempt is likely to succeed.
INITIAL_BACKOFF_MS = 250
MAX_BACKOFF_MS = 4_000
# A call that took this long to fail went to an unresponsive instance, and each further
# attempt would delay a step as long; a refused or broken connection fails sooner.
UNRESPONSIVE_CALL_MS = 500


@attrs.define
class AdvisorChannels:
    """Pending advisor calls by the instance that makes them.

    Attributes:
        own_id: Id of this instance, whose channel is reserved for short calls.
        version_by_id: Registration versions of the other instances by id.
    """

    own_id: str
    version_by_id: Mapping[str, int] = attrs.field(factory=dict)
    _pending_ms_by_id: dict[str, int] = attrs.field(factory=dict)
    _backoff_until_ms_by_id: dict[str, int] = attrs.field(factory=dict)
    _backoff_ms_by_id: dict[str, int] = attrs.field(factory=dict)

    def choose(self, decide_ms: int, now_ms: int) -> str | None:
        """Return the instance to make a call, or None if all channels are full.

        Args:
            decide_ms: Expected duration of the call.
            now_ms: Current time.
        """
        usable = list(self._iter_usable(decide_ms, now_ms))
        if not usable:
            return None
        chosen = min(usable, key=self.pending_ms)
        backlog_ms = self.pending_ms(chosen)
        if backlog_ms and backlog_ms + decide_ms > MAX_CHANNEL_BACKLOG_MS:
            return None
        return chosen

    def pending_ms(self, instance_id: str) -> int:
        """Return the total expected duration of an instance's pending calls."""
        return self._pending_ms_by_id.get(instance_id, 0)

    @property
    def total_pending_ms(self) -> int:
        """Total expected duration of all pending calls."""
        return sum(self._pending_ms_by_id.values())

    def record_call(self, instance_id: str, decide_ms: int) -> None:
        """Record that a call was started."""
        self._pending_ms_by_id[instance_id] = self.pending_ms(instance_id) + decide_ms

    def record_call_end(self, instance_id: str, decide_ms: int) -> None:
        """Record that a call returned, failed or was abandoned."""
        self._pending_ms_by_id[instance_id] -= decide_ms

    def record_response(self, instance_id: str) -> None:
        """Reset the back-off of an instance that returned advice."""
        self._backoff_ms_by_id.pop(instance_id, None)

    def avoid(self, instance_id: str, took_ms: int, now_ms: int) -> None:
        """Start the back-off of an instance, during which it gets no calls.

        Args:
            instance_id: Instance whose call failed.
            took_ms: Time that the call took to fail.
            now_ms: Current time.
        """
        backoff_ms = self._backoff_ms_by_id.get(instance_id, INITIAL_BACKOFF_MS)
        if took_ms >= UNRESPONSIVE_CALL_MS:
            backoff_ms = MAX_BACKOFF_MS
        self._backoff_until_ms_by_id[instance_id] = now_ms + backoff_ms
        self._backoff_ms_by_id[instance_id] = min(2 * backoff_ms, MAX_BACKOFF_MS)

    def set_instances(self, version_by_id: Mapping[str, int]) -> None:
        """Replace the other instances and reset the back-off of new processes.

        Args:
            version_by_id: Registration versions by instance id; a changed version
                belongs to a new process, which may respond.
        """
        for instance_id, version in version_by_id.items():
            if self.version_by_id.get(instance_id) != version:
                self._backoff_until_ms_by_id.pop(instance_id, None)
                self._backoff_ms_by_id.pop(instance_id, None)
        self.version_by_id = version_by_id

    def _iter_usable(self, decide_ms: int, now_ms: int) -> Iterable[str]:
        others = [
            instance_id
            for instance_id in self.version_by_id
            if now_ms >= self._backoff_until_ms_by_id.get(instance_id, 0)
        ]
        yield from others
        if decide_ms <= LONG_CALL_MS or not others:
            yield self.own_id
