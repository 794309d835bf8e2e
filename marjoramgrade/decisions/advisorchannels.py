"""Which instance asks the placement advisor next.

The advisor serves one call of each instance at a time, so each instance is a line
of its own. Calls of urgent queues are short and must not wait behind long ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

# Longer calls keep one line free for shorter ones.
LONG_CALL_MS = 150
# Time that the calls of one line may take together, so that a call can still be
# given to whichever step needs it most.
MAX_CHANNEL_BACKLOG_MS = 300
# An instance that brought no advice is not asked again for this long, twice as long
# each time. Right after a restart the next attempt is likely to succeed.
INITIAL_BACKOFF_MS = 250
MAX_BACKOFF_MS = 4_000
# A call that took this long to fail has met silence, which costs a step its time
# each time that it is tried; a refused or broken connection fails sooner.
UNRESPONSIVE_CALL_MS = 500


@attrs.define
class AdvisorChannels:
    """The calls on their way, by the instance that makes them.

    Attributes:
        own_id: This instance, whose line is kept for short calls.
        version_by_id: The other instances, with the version of their registration.
    """

    own_id: str
    version_by_id: Mapping[str, int] = attrs.field(factory=dict)
    _pending_by_id: dict[str, int] = attrs.field(factory=dict)
    _avoided_until_by_id: dict[str, int] = attrs.field(factory=dict)
    _pause_by_id: dict[str, int] = attrs.field(factory=dict)

    def choose(self, decide_ms: int, now_ms: int) -> str | None:
        """Return the instance to make a call, or None if all have enough to do.

        Args:
            decide_ms: How long the call is expected to take.
            now_ms: The time.
        """
        usable = list(self._iter_usable(decide_ms, now_ms))
        if not usable:
            return None
        chosen = min(usable, key=self.pending_ms)
        waiting_ms = self.pending_ms(chosen)
        if waiting_ms and waiting_ms + decide_ms > MAX_CHANNEL_BACKLOG_MS:
            return None
        return chosen

    def pending_ms(self, instance_id: str) -> int:
        """Return how long the calls of an instance take together."""
        return self._pending_by_id.get(instance_id, 0)

    @property
    def total_pending_ms(self) -> int:
        """How long all calls take together."""
        return sum(self._pending_by_id.values())

    def record_call(self, instance_id: str, decide_ms: int) -> None:
        """Note a call."""
        self._pending_by_id[instance_id] = self.pending_ms(instance_id) + decide_ms

    def ended(self, instance_id: str, decide_ms: int) -> None:
        """Note that a call was answered or given up."""
        self._pending_by_id[instance_id] -= decide_ms

    def record_answer(self, instance_id: str) -> None:
        """Note that an instance brought advice."""
        self._pause_by_id.pop(instance_id, None)

    def avoid(self, instance_id: str, took_ms: int, now_ms: int) -> None:
        """Make no calls through an instance for a while.

        Args:
            instance_id: The instance that brought no advice.
            took_ms: How long its call took to fail.
            now_ms: The time.
        """
        pause_ms = self._pause_by_id.get(instance_id, INITIAL_BACKOFF_MS)
        if took_ms >= UNRESPONSIVE_CALL_MS:
            pause_ms = MAX_BACKOFF_MS
        self._avoided_until_by_id[instance_id] = now_ms + pause_ms
        self._pause_by_id[instance_id] = min(2 * pause_ms, MAX_BACKOFF_MS)

    def set_instances(self, version_by_id: Mapping[str, int]) -> None:
        """Take over the other instances.

        Args:
            version_by_id: Version of the registration by instance; one that has
                changed belongs to a new process, which may answer.
        """
        for instance_id, version in version_by_id.items():
            if self.version_by_id.get(instance_id) != version:
                self._avoided_until_by_id.pop(instance_id, None)
                self._pause_by_id.pop(instance_id, None)
        self.version_by_id = version_by_id

    def _iter_usable(self, decide_ms: int, now_ms: int) -> Iterable[str]:
        others = [
            instance_id
            for instance_id in self.version_by_id
            if now_ms >= self._avoided_until_by_id.get(instance_id, 0)
        ]
        yield from others
        if decide_ms <= LONG_CALL_MS or not others:
            yield self.own_id
