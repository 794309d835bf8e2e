"""Structured log: one line of JSON for each decision and each state change.

A line reports a decision about a request or a job, or a state change of an
instance, a worker, a zone or the configuration. The rate of lines is limited for
each event, and writing never blocks on a slow reader.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from typing import Any, Protocol

import attrs
import structlog

from marjoramgrade import jsontext

# Limit for the lines of each event. Without it, logging a fault that affects every job
# or worker would cost more than the work itself.
MAX_LINES_PER_S = 40
# Characters of the entries in one line of a batch, and the longest time that they wait
# for it. With its other fields the line stays shorter than `MAX_LINE_BYTES`.
MAX_BATCH_LENGTH = 3_200
BATCH_FLUSH_MS = 200
# Characters of an entry of a batch; a longer one is cut.
MAX_ENTRY_LENGTH = 200
# A write of up to this size to a pipe is atomic: all or nothing.
MAX_LINE_BYTES = 4_000


class Stream(Protocol):
    """A text stream that log lines are written to."""

    def write(self, text: str, /) -> object:
        """Write a text, which the stream may buffer."""

    def flush(self) -> object:
        """Write out the buffer."""


class DroppingStream:
    """Writes lines to a file descriptor and drops those that would block.

    Lines longer than `MAX_LINE_BYTES` are dropped too.

    Args:
        descriptor: The file descriptor, which is made non-blocking.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or drop it if it is too long or cannot be written at once."""
        # A text of another program may hold surrogates, which UTF-8 cannot encode.
        data = text.encode(errors="backslashreplace")
        if len(data) > MAX_LINE_BYTES:
            self.dropped += 1
            return
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader is slow or gone; neither may end the process.
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing, since lines are not buffered."""


@attrs.define
class _LineBudget:
    """Limits the rate of lines for each event.

    Attributes:
        second: The current second of the monotonic clock.
        count_by_event: Lines in the current second, including suppressed ones.
    """

    second: int = 0
    count_by_event: dict[str, int] = attrs.field(factory=dict)

    def spend(self, event: str) -> dict[str, int] | None:
        """Count a line against the budget of its event.

        Returns:
            None if the budget is used up and the line is to be suppressed. Otherwise
            the numbers of suppressed lines to report, by event: those since the last
            report for the first line of a new second, else none.
        """
        second = int(time.monotonic())
        suppressed = {}
        if second != self.second:
            suppressed = {
                name: count - MAX_LINES_PER_S
                for name, count in self.count_by_event.items()
                if count > MAX_LINES_PER_S
            }
            self.second = second
            self.count_by_event.clear()
        count = self.count_by_event.get(event, 0) + 1
        self.count_by_event[event] = count
        return suppressed if count <= MAX_LINES_PER_S else None


_budget = _LineBudget()


def configure(stream: Stream, **bound: str) -> None:
    """Send log lines to a stream.

    Args:
        stream: Destination of the lines.
        bound: Fields of every line, such as the instance id.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(serializer=_serialize),
        ],
        logger_factory=structlog.PrintLoggerFactory(stream),  # type: ignore[arg-type]
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**bound)
    _route_library_errors()


def log_event(event: str, **fields: object) -> bool:
    """Write a line about a decision or state change, within the limit of its event.

    Args:
        event: Name of the decision or change in lower case, such as `shard_taken`.
        fields: Details as texts, numbers or booleans.

    Returns:
        Whether the event was within its limit.
    """
    suppressed = _budget.spend(event)
    if suppressed is None:
        return False
    logger = structlog.get_logger()
    if suppressed:
        text = ",".join(f"{name}={count}" for name, count in suppressed.items())
        logger.info("lines_left_out", counts=text)
    logger.info(event, **fields)
    return True


@attrs.define
class _Batches:
    """Short entries of frequent events, to be written many to a line.

    Attributes:
        text_by_event: Entries that wait for the line of their event, with spaces
            between them.
        scheduled_loop: Event loop on which a flush is due, if any.
    """

    text_by_event: dict[str, str] = attrs.field(factory=dict)
    scheduled_loop: asyncio.AbstractEventLoop | None = None

    def add(self, event: str, entry: str) -> None:
        """Add an entry, and write the line of its event before it would be too long."""
        entry, text = entry[:MAX_ENTRY_LENGTH], self.text_by_event.get(event, "")
        if len(text) + len(entry) >= MAX_BATCH_LENGTH:
            self._write(event, text)
            text = ""
        self.text_by_event[event] = f"{text} {entry}" if text else entry
        self._schedule()

    def _schedule(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if loop is self.scheduled_loop:
            return
        # A loop that has ended no longer makes its due calls.
        self.scheduled_loop = loop
        loop.call_later(BATCH_FLUSH_MS / 1000, self.flush)

    def flush(self) -> None:
        """Write what has been added."""
        self.scheduled_loop = None
        text_by_event, self.text_by_event = self.text_by_event, {}
        for event, text in text_by_event.items():
            self._write(event, text)

    @staticmethod
    def _write(event: str, text: str) -> None:
        structlog.get_logger().info(event, entries=text)


_batches = _Batches()


def log_batched(event: str, entry: str) -> None:
    """Log a short entry in a line that it shares with others of the same event.

    For events that happen too often for lines of their own, such as answers. The line
    is written within `BATCH_FLUSH_MS` and has its entries in the field `entries`.

    Args:
        event: Name of the event, as for `log_event`.
        entry: The entry, without spaces; cut beyond `MAX_ENTRY_LENGTH`.
    """
    _batches.add(event, entry)


def log_job_event(event: str, job: str, **fields: object) -> None:
    """Write a line about a job, from which the job can be found by its id.

    Beyond the limit of the event, batches named `<event>_more` hold only the ids, each
    followed by a colon and the field `code` if there is one.

    Args:
        event: Name of the event, as for `log_event`.
        job: Id of the job.
        fields: Details as texts, numbers or booleans.
    """
    if not log_event(event, job=job, **fields):
        code = fields.get("code")
        log_batched(f"{event}_more", f"{job}:{code}" if code else job)


def flush_batches() -> None:
    """Write the entries that wait for their line; called before the process ends."""
    _batches.flush()


def _serialize(value: Any, **_: Any) -> str:
    return jsontext.serialize_text(
        {key: _to_json_value(part) for key, part in value.items()}
    )


def _to_json_value(value: object) -> object:
    return value if isinstance(value, str | int | float | None) else str(value)


class _LibraryErrorHandler(logging.Handler):
    """Logs the errors of libraries, such as unhandled exceptions, as events."""

    def emit(self, record: logging.LogRecord) -> None:
        cause = record.exc_info[1] if record.exc_info else None
        log_event(
            "library_error",
            library=record.name,
            message=record.getMessage(),
            error=repr(cause) if cause is not None else "",
        )


def _route_library_errors() -> None:
    # Tornado logs each refused request; the counters report those already.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)
    logging.basicConfig(
        level=logging.ERROR, handlers=[_LibraryErrorHandler()], force=True
    )
