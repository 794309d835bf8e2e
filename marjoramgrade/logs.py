"""Log lines: one JSON object for each decision and each change of state.

A line tells what was decided about a request or a job, or that an instance, a
worker, a zone or the configuration is in another state than before. The lines of
each kind are bounded, and writing never waits for a reader.
"""

from __future__ import annotations

import logging
import os
import time
from typing import Any, Protocol

import attrs
import structlog

from marjoramgrade import jsontext

# Lines of one kind that are written in a second; a fault that touches every job or
# worker would otherwise cost more than the work.
MAX_LINES_PER_S = 40
# Up to this size a pipe takes a line whole or not at all.
MAX_LINE_BYTES = 4_000


class Stream(Protocol):
    """What lines are written to."""

    def write(self, text: str, /) -> object:
        """Take a text."""

    def flush(self) -> object:
        """Send what was taken."""


class DroppingStream:
    """Writes lines to a file descriptor and drops those that it does not take.

    Args:
        descriptor: The file descriptor, which becomes non-blocking.

    Attributes:
        dropped: How many lines were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or drop it if the reader is too slow."""
        data = text.encode()
        if len(data) > MAX_LINE_BYTES:
            self.dropped += 1
            return
        try:
            os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing; lines are written at once."""


@attrs.define
class _LineBudget:
    """How many lines of each kind this second has had."""

    second: int = 0
    count_by_event: dict[str, int] = attrs.field(factory=dict)

    def take(self, event: str) -> dict[str, int] | None:
        """Take a line from the budget of its kind.

        Returns:
            None if it is used up, else what was left out in the second before.
        """
        second = int(time.monotonic())
        left_out = {}
        if second != self.second:
            left_out = {
                name: count - MAX_LINES_PER_S
                for name, count in self.count_by_event.items()
                if count > MAX_LINES_PER_S
            }
            self.second = second
            self.count_by_event.clear()
        count = self.count_by_event.get(event, 0) + 1
        self.count_by_event[event] = count
        return left_out if count <= MAX_LINES_PER_S else None


_budget = _LineBudget()


def configure(stream: Stream, **bound: str) -> None:
    """Send log lines to a stream.

    Args:
        stream: Where lines go.
        bound: Fields of every line, such as the id of the instance.
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


def log_event(event: str, **fields: object) -> None:
    """Write one line about a decision or a change of state.

    Args:
        event: What changed, as a name in lower case such as `shard_taken`.
        fields: The facts of the change; text, numbers, or flags.
    """
    left_out = _budget.take(event)
    if left_out is None:
        return
    logger = structlog.get_logger()
    if left_out:
        text = ",".join(f"{name}={count}" for name, count in left_out.items())
        logger.info("lines_left_out", counts=text)
    logger.info(event, **fields)


def _serialize(value: Any, **_: Any) -> str:
    return jsontext.serialize_text({key: _plain(part) for key, part in value.items()})


def _plain(value: object) -> object:
    return value if isinstance(value, str | int | float | None) else str(value)


class _LibraryErrors(logging.Handler):
    """Turns errors that libraries log, such as a lost exception, into lines."""

    def emit(self, record: logging.LogRecord) -> None:
        cause = record.exc_info[1] if record.exc_info else None
        log_event(
            "library_error",
            library=record.name,
            message=record.getMessage(),
            error=repr(cause) if cause is not None else "",
        )


def _route_library_errors() -> None:
    # Tornado logs a line for each refused request; counters report those.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)
    logging.basicConfig(level=logging.ERROR, handlers=[_LibraryErrors()], force=True)
