"""What one connection from outside uses, and when it has taken too long.

Handles connections that stop within a body, a frame or a response and stay open.
"""

from __future__ import annotations

import enum

import attrs

from marjoramgrade.decisions.intake.bounds import SMALL_BODY_BYTES, IntakeBounds

UNKNOWN_LENGTH = -1


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    SERVED = "served"


class CloseReason(enum.Enum):
    """Why a connection is closed; also the member of the counter `closed.*`."""

    BUDGET = "budget"
    CONNECTIONS = "connections"
    LEFT = "left"
    SILENT = "silent"
    SLOW = "slow"
    STOPPING = "stopping"
    UNREAD = "unread"


@attrs.define(eq=False)
class ConnectionUse:
    """What one connection uses.

    The bytes of a connection are counted until they are free, which can be after its
    socket was closed.

    Attributes:
        opened_ms: Time of its opening.
        progress_ms: Time of its last byte, in either direction.
        is_identified: Whether the other side has introduced itself, on a port where it
            has to.
        is_peer: Whether it is that of another instance, which has introduced itself.
        name: Port and address of the other side, for the log.
        request_id: Id that the client gave its last request, or empty.
        phase: What it is doing.
        phase_since_ms: Time at which the phase began.
        is_waiting: Whether it waits for its turn; it then makes no progress, which is
            not its own fault.
        has_left: Whether the other side has closed the connection, which shows before
            its last bytes have been read.
        is_unused: Whether nothing has been received yet.
        has_read: Whether bytes were received since the last message ended.
        has_unread: Whether bytes have arrived that this process had not yet read when
            it last looked for them.
        turns: Number of turns used since it last waited for bytes of a new message.
        messages_in_row: Number of messages read, the present one included, without a
            wait for the other side and without a turn.
        expected_bytes: Declared length of the body that is arriving.
        received_bytes: Bytes held of the message that is arriving.
        serving_bytes: Bytes held of complete messages that are being handled.
        unsent_bytes: Bytes of responses that the other side has not read.
    """

    opened_ms: int
    progress_ms: int
    is_identified: bool = True
    is_peer: bool = False
    name: str = ""
    request_id: str = ""
    phase: Phase = Phase.IDLE
    phase_since_ms: int = 0
    is_waiting: bool = False
    has_left: bool = False
    is_unused: bool = True
    has_read: bool = False
    has_unread: bool = False
    turns: int = 0
    messages_in_row: int = 0
    expected_bytes: int = UNKNOWN_LENGTH
    received_bytes: int = 0
    serving_bytes: int = 0
    unsent_bytes: int = 0

    @classmethod
    def opened(
        cls, now_ms: int, *, is_identified: bool = True, name: str = ""
    ) -> ConnectionUse:
        """Return a connection that has just been opened."""
        return cls(now_ms, now_ms, is_identified, name=name, phase_since_ms=now_ms)

    def identify_peer(self) -> None:
        """Record that the other side has introduced itself as an instance."""
        self.is_identified = self.is_peer = True

    @property
    def held_bytes(self) -> int:
        """Bytes that the process holds for this connection."""
        return self.received_bytes + self.serving_bytes + self.unsent_bytes

    @property
    def freed_by_closing(self) -> int:
        """Bytes that are free once the connection is closed."""
        return self.received_bytes + self.unsent_bytes

    @property
    def awaits_bytes(self) -> bool:
        """Whether its progress is that further bytes arrive and are read at once."""
        is_reading = self.phase is not Phase.SERVED and not self.is_waiting
        return is_reading and not self.unsent_bytes

    @property
    def is_small(self) -> bool:
        """Whether its message, as far as known, is at most `SMALL_BODY_BYTES` long.

        A chunked body that is arriving can be of any length.
        """
        is_unknown = self.expected_bytes == UNKNOWN_LENGTH
        if is_unknown and self.phase is Phase.RECEIVING:
            return False
        return max(self.held_bytes, self.expected_bytes) <= SMALL_BODY_BYTES

    @property
    def may_close(self) -> bool:
        """Whether no request would be left without an answer.

        A request that was read completely is answered as long as its client waits. A
        response that is not read has been given.
        """
        is_awaited = self.phase is Phase.SERVED and not self.has_left
        return not is_awaited or self.unsent_bytes > 0

    def enter(self, phase: Phase, now_ms: int) -> None:
        """Begin a phase."""
        self.phase = phase
        self.phase_since_ms = self.progress_ms = now_ms

    def record_unread(self, now_ms: int) -> None:
        """Record that bytes have arrived; that they were not read is no idleness."""
        self.has_unread = True
        self.progress_ms = now_ms

    def idle_ms(self, now_ms: int) -> int:
        """Return the time without progress that is the fault of the other side."""
        return 0 if self.is_waiting else max(now_ms - self.progress_ms, 0)

    def overdue(self, now_ms: int, bounds: IntakeBounds) -> CloseReason | None:
        """Return why the connection has taken too long, or None."""
        if not self.is_identified and now_ms - self.opened_ms > bounds.hello_ms:
            return CloseReason.SILENT
        idle_ms = self.idle_ms(now_ms)
        if self.unsent_bytes and idle_ms > bounds.silence_ms:
            return CloseReason.UNREAD
        if self.phase is not Phase.RECEIVING:
            return None
        if idle_ms > bounds.silence_ms:
            return CloseReason.SILENT
        if now_ms - self.phase_since_ms > bounds.body_ms:
            return CloseReason.SLOW
        return None
