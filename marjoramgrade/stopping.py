"""Bounds the waits of requests while their process stops, and logs their ends."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable, Iterator, Mapping

import attrs

from marjoramgrade import logs
from marjoramgrade.clock import Clock, SystemClock
from marjoramgrade.decisions.stopping.answers import WorkKind, end_wait, refuse
from marjoramgrade.decisions.stopping.schedule import StopSchedule
from marjoramgrade.decisions.stopping.servicetimes import ServiceTimes
from marjoramgrade.metrics import MemoryMetrics, Metrics

# How a request ended that got no complete answer from this process.
CUT = "cut"
# How a request ended whose client had closed the connection before.
LEFT = "left"
# Interval at which the lateness of the event loop is measured.
TURN_MS = 20


@attrs.define(eq=False)
class RequestProgress:
    """What became of one request, for the log of a process that stops.

    Attributes:
        request_id: Id that the client gave it, or empty.
        kind: What was asked for, such as the HTTP method or the type of a message.
        taken_ms: Time at which it had been read completely.
        waits_for: What it waits for now or waited for last, such as `leader:b`; empty
            until it waits for the first time.
        ended: How it ended: the HTTP status, `LEFT`, or `CUT` until it is answered.
    """

    request_id: str = ""
    kind: str = ""
    taken_ms: int = 0
    waits_for: str = ""
    ended: str = CUT


@attrs.define(eq=False)
class Stopping:
    """The requests of one process, on all its ports, and the schedule of its stop.

    Attributes:
        clock: Monotonic time.
        metrics: Counts the requests that end after the stop has begun.
        schedule: The times of the stop, or None as long as the process does not stop.
        longest_turn_ms: Longest time by which the event loop was late since then.
    """

    clock: Clock = attrs.field(factory=SystemClock)
    metrics: Metrics = attrs.field(factory=MemoryMetrics)
    schedule: StopSchedule | None = None
    longest_turn_ms: int = 0
    _times_by_work: dict[tuple[str, WorkKind], ServiceTimes] = attrs.field(
        factory=lambda: defaultdict(ServiceTimes)
    )
    _waits: set[asyncio.Timeout] = attrs.field(factory=set)
    _in_flight: dict[RequestProgress, None] = attrs.field(factory=dict)
    _parts: list[tuple[str, Callable[[], Mapping[str, int]]]] = attrs.field(
        factory=list
    )

    def add_part(self, name: str, count_held: Callable[[], Mapping[str, int]]) -> None:
        """Add a part of the process that tells what it holds.

        Args:
            name: Name of the part in the log.
            count_held: Returns the number of things that it holds, by kind.
        """
        self._parts.append((name, count_held))

    def begin(self, grace_ms: int) -> None:
        """Stop within a time; without effect if the process stops already.

        Args:
            grace_ms: Time from now until the process is killed.
        """
        if self.schedule is None:
            now_ms = self.clock.now_ms()
            self._follow(StopSchedule.from_config(now_ms, grace_ms))

    def begin_drain(self, drain_ms: int) -> None:
        """Stop and hand shards over; without effect if the process stops already.

        Args:
            drain_ms: Longest time from now until every wait has ended.
        """
        if self.schedule is None:
            now_ms = self.clock.now_ms()
            self._follow(StopSchedule.from_drain(now_ms, drain_ms))

    def end_now(self) -> None:
        """End all waits, since the process can no longer serve any."""
        schedule = StopSchedule.at_once(self.clock.now_ms())
        self._follow(schedule.no_later_than(self.schedule))

    def _follow(self, schedule: StopSchedule) -> None:
        self.schedule = schedule
        for wait in self._waits:
            if not wait.expired():
                wait.reschedule(self._loop_time_s(schedule.answer_ms))

    def _loop_time_s(self, at_ms: int) -> float:
        left_ms = at_ms - self.clock.now_ms()
        return asyncio.get_running_loop().time() + left_ms / 1_000

    def check_may_begin(self, kind: WorkKind, port: str) -> None:
        """Return if a request may begin.

        Args:
            kind: What the request does.
            port: Name of the port on which it came.

        Raises:
            ShuttingDownError: If it could not be answered in time.
            OutcomeUnknownError: The same, for a submission.
        """
        if self.schedule is None:
            return
        now_ms = self.clock.now_ms()
        expected_ms = self._times_by_work[port, kind].expected_ms(now_ms)
        if not self.schedule.may_begin(now_ms, expected_ms):
            raise refuse(kind)

    @contextlib.asynccontextmanager
    async def bound(self, kind: WorkKind, port: str) -> AsyncIterator[None]:
        """Run the handling of one request, and end it when all waits end.

        Args:
            kind: What the request does.
            port: Name of the port on which it came.

        Raises:
            ShuttingDownError: If it may not begin or, if it changes nothing, if it has
                not ended in time.
            OutcomeUnknownError: If it may have taken effect.
        """
        self.check_may_begin(kind, port)
        began_ms = self.clock.now_ms()
        wait = asyncio.timeout(None)
        if self.schedule is not None:
            wait = asyncio.timeout_at(self._loop_time_s(self.schedule.answer_ms))
        try:
            async with wait:
                self._waits.add(wait)
                try:
                    yield
                finally:
                    self._waits.discard(wait)
        except TimeoutError:
            if not wait.expired():
                raise
            raise end_wait(kind) from None
        now_ms = self.clock.now_ms()
        self._times_by_work[port, kind].add(now_ms, now_ms - began_ms)

    @property
    def since_ms(self) -> int:
        """Time since the stop began, 0 before."""
        schedule = self.schedule
        return 0 if schedule is None else self.clock.now_ms() - schedule.began_ms

    @property
    def is_closing(self) -> bool:
        """Whether connections are closed that still await an answer."""
        schedule = self.schedule
        return schedule is not None and self.clock.now_ms() >= schedule.close_ms

    def end_of_wait_ms(self, deadline_ms: int) -> int:
        """Return when a wait ends that begins now and has a deadline of its own."""
        if self.schedule is None:
            return deadline_ms
        return min(deadline_ms, self.schedule.answer_ms)

    async def watch_turns(self) -> None:
        """Measure by how much timers of the event loop are late, without end."""
        while True:
            due_ms = self.clock.now_ms() + TURN_MS
            await asyncio.sleep(TURN_MS / 1_000)
            late_ms = self.clock.now_ms() - due_ms
            self.longest_turn_ms = max(self.longest_turn_ms, late_ms)

    @property
    def left_ms(self) -> int | None:
        """Time until the process has to have ended, None before its stop begins."""
        schedule = self.schedule
        return None if schedule is None else schedule.exit_ms - self.clock.now_ms()

    @contextlib.contextmanager
    def track(self, progress: RequestProgress) -> Iterator[None]:
        """Count a request as in flight, and log its end if the process stops then."""
        self._in_flight[progress] = None
        try:
            yield
        finally:
            del self._in_flight[progress]
            if self.schedule is not None:
                self._record_end(progress, self.schedule.began_ms)

    def _record_end(self, progress: RequestProgress, began_ms: int) -> None:
        is_answered = progress.ended not in (CUT, LEFT)
        member = "answered" if is_answered else progress.ended
        self.metrics.count(f"ended_while_stopping.{member}")
        fields = (
            progress.request_id,
            progress.kind,
            str(progress.taken_ms - began_ms),
            str(self.clock.now_ms() - progress.taken_ms),
            progress.waits_for,
            progress.ended,
        )
        logs.log_batched("ended_while_stopping", "/".join(fields))

    def log_held(self, event: str, **fields: object) -> None:
        """Write a line with all that the process holds at this moment.

        Args:
            event: Name of the event.
            fields: Further fields of the line.
        """
        now_ms = self.clock.now_ms()
        oldest_ms = max((now_ms - each.taken_ms for each in self._in_flight), default=0)
        waiting = Counter(each.waits_for or "started" for each in self._in_flight)
        held = {name: _format_counts(count()) for name, count in self._parts}
        logs.log_event(
            event,
            since_ms=self.since_ms,
            in_flight=len(self._in_flight),
            oldest_ms=oldest_ms,
            waiting=_format_counts(waiting),
            longest_turn_ms=self.longest_turn_ms,
            **held,
            **fields,
        )


def _format_counts(counts: Mapping[str, int]) -> str:
    return ",".join(f"{name}={count}" for name, count in sorted(counts.items()))
