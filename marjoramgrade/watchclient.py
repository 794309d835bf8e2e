"""Iterates over changes of resources and reconnects when a connection ends."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import attrs

from marjoramgrade import jsontext
from marjoramgrade.errors import (
    InvalidInputError,
    MarjoramgradeError,
    OverloadedError,
    ProtocolError,
    ShuttingDownError,
)
from marjoramgrade.structuring import (
    CONVERSION_ERRORS,
    InvalidValueError,
    find_problems,
    make_converter,
    register_class,
    text,
    whole_number,
)
from marjoramgrade.transport import ServerUnreachableError, Transport

CONNECTION_LIFETIME_MS = 30_000
MAX_CONSECUTIVE_FAILURES = 8
INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 3_000
MAX_NAME_BYTES = 256
MAX_KINDS = 64

_RETRYABLE = (ServerUnreachableError, ShuttingDownError, OverloadedError)


class WatchResetError(MarjoramgradeError):
    """Missed changes are no longer available; list the resources and watch again.

    Attributes:
        version: Version from which changes are available.
    """

    code = "watch_reset"
    version = 0


@attrs.frozen
class WatchEvent:
    """One change of a resource.

    Attributes:
        version: Version of the change; several changes can have the same version.
        kind: Type of the resource.
        name: Name of the resource.
        document: The resource after the change, or None if it was deleted.
    """

    version: int
    kind: str
    name: str
    document: dict[str, Any] | None


@attrs.frozen
class _Reset:
    """A line that reports that changes were missed or where a new watch starts.

    Attributes:
        reset: Marks the line as a reset.
        version: Version from which changes are available.
    """

    reset: bool
    version: int


def _document(value: Any, _: Any = None) -> dict[str, Any] | None:
    if value is not None and type(value) is not dict:
        raise InvalidValueError("must be an object or null")
    return value


_converter = make_converter()
register_class(_converter, _Reset, {"version": whole_number(0)})
register_class(
    _converter,
    WatchEvent,
    {
        "version": whole_number(0),
        "kind": text(MAX_NAME_BYTES),
        "name": text(MAX_NAME_BYTES),
        "document": _document,
    },
)


def parse_line(line: bytes) -> WatchEvent:
    """Parse the change in a line.

    Raises:
        WatchResetError: If the line reports that the watch cannot resume.
        ProtocolError: If the line has another form.
    """
    try:
        value = jsontext.parse_text(line, path="line")
        if type(value) is dict and "reset" in value:
            raise _reset_error(_converter.structure(value, _Reset).version)
        return _converter.structure(value, WatchEvent)
    except CONVERSION_ERRORS as error:
        first = find_problems(error)[0]
        raise ProtocolError(f"{first.path} {first.reason}") from None
    except InvalidInputError as error:
        raise ProtocolError(error.message) from None


def _reset_error(version: int) -> WatchResetError:
    error = WatchResetError(
        "changes were missed and cannot be sent again", version=str(version)
    )
    error.version = version
    return error


@attrs.define
class _LatestVersion:
    """Latest version seen of one kind of resource and the names changed at it."""

    version: int = 0
    names: set[str] = attrs.field(factory=set)


@attrs.define
class WatchCursor:
    """Position of a watch in the sequence of changes.

    One version can contain several changes, and a connection may break between
    them. A watch therefore resumes one version before its latest and discards the
    changes that it has seen. The server sends all changes in order of version.

    Attributes:
        after: Version after which the watch started.
    """

    after: int
    _latest_by_kind: dict[str, _LatestVersion] = attrs.field(factory=dict)

    @property
    def resume_after(self) -> int:
        """The version after which the watch resumes."""
        versions_before = (
            latest.version - 1 for latest in self._latest_by_kind.values()
        )
        return max(versions_before, default=self.after)

    def advance(self, event: WatchEvent) -> bool:
        """Record a change and return whether it is new.

        Raises:
            ProtocolError: If the change is out of order.
        """
        if event.version <= self.after:
            raise ProtocolError("the watch sent a change from before its start")
        if len(self._latest_by_kind) > MAX_KINDS:
            raise ProtocolError("the watch sent too many kinds of resource")
        latest = self._latest_by_kind.setdefault(event.kind, _LatestVersion())
        if event.version < latest.version:
            raise ProtocolError(f"the changes of kind {event.kind} are out of order")
        if event.version > latest.version:
            latest.version = event.version
            latest.names.clear()
        if event.name in latest.names:
            return False
        latest.names.add(event.name)
        return True


async def iter_events(
    transport: Transport,
    after: int | None = None,
    *,
    connection_lifetime_ms: int = CONNECTION_LIFETIME_MS,
) -> AsyncIterator[WatchEvent]:
    """Yield every change after a version; reconnect when a connection breaks.

    Args:
        transport: Sends the requests.
        after: The last version that the caller knows; None to start from now.
        connection_lifetime_ms: Time after which a connection is replaced.

    Raises:
        WatchResetError: If changes were missed.
        ServerUnreachableError: If `MAX_CONSECUTIVE_FAILURES` attempts in a row failed.
        MarjoramgradeError: The error that the server reported.
    """
    cursor = None if after is None else WatchCursor(after)
    failures = 0
    while True:
        try:
            async with contextlib.aclosing(
                transport.iter_lines(_path(cursor), connection_lifetime_ms)
            ) as lines:
                async for line in lines:
                    failures = 0
                    if not line.strip():
                        continue
                    if cursor is None:
                        cursor = WatchCursor(_parse_start(line))
                    elif cursor.advance(event := parse_line(line)):
                        yield event
        except _RETRYABLE:
            failures += 1
            if failures == MAX_CONSECUTIVE_FAILURES:
                raise
        await asyncio.sleep(_delay_ms(failures) / 1000)


def _path(cursor: WatchCursor | None) -> str:
    if cursor is None:
        return "/v1/watch"
    return f"/v1/watch?after={cursor.resume_after}"


def _parse_start(line: bytes) -> int:
    """Return the version from which a watch without a start version begins."""
    try:
        parse_line(line)
    except WatchResetError as error:
        return error.version
    raise ProtocolError("the watch did not report its start version")


def _delay_ms(failures: int) -> int:
    # Also delays after a success, in case a server ends each response at once.
    return min(INITIAL_BACKOFF_MS << failures, MAX_BACKOFF_MS)
