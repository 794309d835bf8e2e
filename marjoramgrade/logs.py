"""Log lines: one JSON object for each change of state, and nothing else.

Counters tell how often something happens; a line tells that an instance, a
shard, a zone or the configuration is in another state than before.
"""

from __future__ import annotations

import logging
from typing import Any, TextIO

import structlog

from marjoramgrade import jsontext


def configure(stream: TextIO, **bound: str) -> None:
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
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**bound)
    _route_library_errors()


def state_change(event: str, **fields: object) -> None:
    """Write one line about a change of state.

    Args:
        event: What changed, as a name in lower case such as `shard_taken`.
        fields: The facts of the change; text, numbers, or flags.
    """
    structlog.get_logger().info(event, **fields)


def _serialize(value: Any, **_: Any) -> str:
    return jsontext.serialize_text({key: _plain(part) for key, part in value.items()})


def _plain(value: object) -> object:
    return value if isinstance(value, str | int | float | None) else str(value)


class _LibraryErrors(logging.Handler):
    """Turns errors that libraries log, such as a lost exception, into lines."""

    def emit(self, record: logging.LogRecord) -> None:
        cause = record.exc_info[1] if record.exc_info else None
        state_change(
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
