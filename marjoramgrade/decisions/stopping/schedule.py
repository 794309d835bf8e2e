"""When each wait of a request ends while its process stops.

Handles requests that arrive until the very end of a process, on connections that were
open before or that a load balancer still sends, and whose waits would outlast it. One
rule serves all of them, on every port:

1. Until `refuse_ms` a request may begin, unless requests have lately taken longer than
   what is left until `answer_ms`. Each response says that its connection ends.
2. A request that may not begin is refused at once. It has not run.
3. At `answer_ms` every wait ends, whatever it waits for, and its caller is answered:
   that it has not run, if it changes nothing, or else that its outcome is unknown.
4. Until `close_ms` answers are sent, and connections that had been accepted are served
   by rule 2. Then all connections are closed.
5. Until `exit_ms` the process gives up what it owns, and ends.

Idle connections are closed from `idle_ms` on, or as soon as the load balancer is known
to send no new ones: their clients then connect to another instance.
"""

from __future__ import annotations

import enum

import attrs

# A load balancer that checks once a second, and takes an instance out after two
# checks, has done so by then.
NOTICE_MS = 2_500
# For closing the actors and their connections, and writing the log.
EXIT_MS = 500
# For sending the answers of all waits that end together, and for the connections that
# the kernel had accepted.
FLUSH_MS = 300
# The least that a request needs: a few round trips between instances and a commit.
SERVICE_MS = 300
# For handing the shards of the `/v1` interface over. Others poll for released shards
# and announce them every 500 ms each; without others, the last summary of this instance
# lapses after 3,000 ms.
HANDOVER_MS = 5_000
# Shares of the time of the whole stop that these may take, where it is short.
NOTICE_SHARE = 0.5
EXIT_SHARE = 0.1
FLUSH_SHARE = 0.1
SERVICE_SHARE = 0.1


class StopPhase(enum.Enum):
    """What a process that stops does with requests."""

    SERVING = "serving"
    REFUSING = "refusing"
    ANSWERING = "answering"
    CLOSING = "closing"


@attrs.frozen
class StopSchedule:
    """The times of one stop, all by the same monotonic clock in milliseconds.

    Attributes:
        began_ms: When the process was told to stop.
        idle_ms: When idle connections are closed at the latest.
        refuse_ms: From when on no request begins.
        answer_ms: When every wait has ended.
        close_ms: When connections are closed at the latest.
        exit_ms: When the process has to have ended.
    """

    began_ms: int
    idle_ms: int
    refuse_ms: int
    answer_ms: int
    close_ms: int
    exit_ms: int

    @classmethod
    def from_config(cls, began_ms: int, grace_ms: int) -> StopSchedule:
        """Return the times of a stop.

        Args:
            began_ms: When the process was told to stop.
            grace_ms: Time from then until it is killed.
        """
        exit_ms = began_ms + grace_ms
        close_ms = exit_ms - min(EXIT_MS, int(grace_ms * EXIT_SHARE))
        answer_ms = close_ms - min(FLUSH_MS, int(grace_ms * FLUSH_SHARE))
        refuse_ms = answer_ms - min(SERVICE_MS, int(grace_ms * SERVICE_SHARE))
        idle_ms = began_ms + min(NOTICE_MS, int(grace_ms * NOTICE_SHARE))
        return cls(began_ms, idle_ms, refuse_ms, answer_ms, close_ms, exit_ms)

    @classmethod
    def from_drain(cls, began_ms: int, drain_ms: int) -> StopSchedule:
        """Return the times of a stop that hands shards over between waits and closing.

        New requests are refused from the beginning on, so `refuse_ms` only ends the
        dispatch of those that still queue.

        Args:
            began_ms: When the process was told to stop.
            drain_ms: Longest time from then until every wait has ended.
        """
        answer_ms = began_ms + drain_ms
        refuse_ms = answer_ms - min(SERVICE_MS, int(drain_ms * SERVICE_SHARE))
        idle_ms = began_ms + min(NOTICE_MS, int(drain_ms * NOTICE_SHARE))
        close_ms = answer_ms + HANDOVER_MS
        exit_ms = close_ms + EXIT_MS
        return cls(began_ms, idle_ms, refuse_ms, answer_ms, close_ms, exit_ms)

    @classmethod
    def at_once(cls, began_ms: int) -> StopSchedule:
        """Return the times of a process that cannot serve any more and ends itself."""
        close_ms = began_ms + FLUSH_MS
        return cls(began_ms, began_ms, began_ms, began_ms, close_ms, close_ms + EXIT_MS)

    def no_later_than(self, other: StopSchedule | None) -> StopSchedule:
        """Return this schedule with no time later than in another one."""
        if other is None:
            return self
        times = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return StopSchedule(*(min(own, theirs) for own, theirs in times))

    def phase(self, now_ms: int) -> StopPhase:
        """Return what the process does at a time."""
        if now_ms >= self.close_ms:
            return StopPhase.CLOSING
        if now_ms >= self.answer_ms:
            return StopPhase.ANSWERING
        return StopPhase.REFUSING if now_ms >= self.refuse_ms else StopPhase.SERVING

    def may_begin(self, now_ms: int, expected_ms: int) -> bool:
        """Return whether a request may begin.

        Args:
            now_ms: The time.
            expected_ms: How long requests have lately taken.
        """
        if self.phase(now_ms) is not StopPhase.SERVING:
            return False
        return now_ms + expected_ms <= self.answer_ms
