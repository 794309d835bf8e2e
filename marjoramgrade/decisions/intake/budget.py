"""The bytes that all connections of a process hold, and what does not fit.

Handles many concurrent large bodies of legal size, most of which stop just short of
their end or wait for a store that does not answer: their sum is bounded, and bodies of
ordinary size keep a part of it.
"""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.intake.bounds import SMALL_BODY_BYTES, IntakeBounds
from marjoramgrade.decisions.intake.connections import ConnectionUse
from marjoramgrade.decisions.intake.precedence import choose_to_close

# A heartbeat of the leader, or a request without a body.
TINY_MESSAGE_BYTES = 1_024


@attrs.define
class BodyBudget:
    """The bytes that the connections of a process hold.

    Attributes:
        limit_bytes: Limit for all connections.
        small_bytes: Part of it that only connections with at most `SMALL_BODY_BYTES`
            may use.
        uses: The open connections, in the order in which they were opened.
        held_bytes: Bytes that all connections hold, except `ending_bytes`.
        ending_bytes: Bytes of unfinished messages whose connections are closed. They
            are about to be freed, so no further connection is closed for them.
        large_bytes: Bytes held by connections that hold more than `SMALL_BODY_BYTES`.
        serving_bytes: Bytes of complete messages that are being handled.
        serving_large_bytes: Those of connections with more than `SMALL_BODY_BYTES` of
            them.
    """

    limit_bytes: int
    small_bytes: int
    uses: dict[ConnectionUse, None] = attrs.field(factory=dict)
    held_bytes: int = 0
    ending_bytes: int = 0
    large_bytes: int = 0
    serving_bytes: int = 0
    serving_large_bytes: int = 0
    _ending: set[ConnectionUse] = attrs.field(factory=set)

    @classmethod
    def from_config(cls, bounds: IntakeBounds) -> BodyBudget:
        """Return the empty budget of a process."""
        return cls(bounds.body_bytes, bounds.small_bytes)

    def open(self, use: ConnectionUse) -> None:
        """Take a connection in."""
        self.uses[use] = None

    def disconnect(self, use: ConnectionUse) -> None:
        """Record that a connection is closed; without effect for a closed one.

        Its messages stay counted until whoever holds them frees them.
        """
        if use not in self.uses:
            return
        self.change(use, unsent=-use.unsent_bytes)
        self._count(use, -1)
        del self.uses[use]
        if use.held_bytes:
            self._ending.add(use)
        self._count(use, 1)

    def close(self, use: ConnectionUse) -> None:
        """Release a connection with all that it holds."""
        self.disconnect(use)
        self.change(use, received=-use.received_bytes, serving=-use.serving_bytes)

    def change(
        self,
        use: ConnectionUse,
        *,
        received: int = 0,
        serving: int = 0,
        unsent: int = 0,
    ) -> None:
        """Add to the bytes that a connection holds; a closed one can only free them."""
        if use not in self.uses and use not in self._ending:
            return
        self._count(use, -1)
        use.received_bytes += received
        use.serving_bytes += serving
        use.unsent_bytes += unsent
        self._count(use, 1)
        if not use.held_bytes:
            self._ending.discard(use)

    def may_serve(self, use: ConnectionUse, size: int) -> bool:
        """Return whether a complete message can be held until it is answered.

        Large ones leave a part to the small ones, as unfinished ones do, and half of
        the rest to messages that are arriving and to tiny ones.

        Args:
            use: Its connection.
            size: Its size in bytes.
        """
        large_limit_bytes = (self.limit_bytes - self.small_bytes) // 2
        limit_bytes = large_limit_bytes + self.small_bytes
        if size <= TINY_MESSAGE_BYTES:
            limit_bytes = self.limit_bytes
        if self.serving_bytes + size > limit_bytes:
            return False
        own_bytes = use.serving_bytes + size
        if own_bytes <= SMALL_BODY_BYTES:
            return True
        # The bytes that the connection has are counted as large already if they are.
        added_bytes = size if use.serving_bytes > SMALL_BODY_BYTES else own_bytes
        return self.serving_large_bytes + added_bytes <= large_limit_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes are held than the budget allows."""
        return self.has_excess_of_large or self.held_bytes > self.limit_bytes

    @property
    def has_excess_of_large(self) -> bool:
        """Whether large connections hold bytes of the part of the small ones."""
        return self.large_bytes > self.limit_bytes - self.small_bytes

    def choose_excess(self, now_ms: int) -> ConnectionUse | None:
        """Return the connection to close because the budget is exceeded, or None.

        Also None if all that hold bytes are being served; what they hold is released
        as they are answered.
        """
        if self.has_excess_of_large:
            large = (use for use in self.uses if _is_large(use))
            chosen = choose_to_close(large, now_ms)
            if chosen is not None:
                return chosen
        if self.held_bytes > self.limit_bytes:
            return choose_to_close(self.uses, now_ms)
        return None

    def _count(self, use: ConnectionUse, sign: int) -> None:
        held_bytes = use.held_bytes
        if use not in self.uses:
            held_bytes -= use.received_bytes
            self.ending_bytes += sign * use.received_bytes
        self.held_bytes += sign * held_bytes
        self.serving_bytes += sign * use.serving_bytes
        if held_bytes > SMALL_BODY_BYTES:
            self.large_bytes += sign * held_bytes
        if use.serving_bytes > SMALL_BODY_BYTES:
            self.serving_large_bytes += sign * use.serving_bytes


def _is_large(use: ConnectionUse) -> bool:
    return use.held_bytes > SMALL_BODY_BYTES
