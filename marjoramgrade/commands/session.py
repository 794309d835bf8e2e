"""What every command shares: the connection, the output and the exit codes."""

from __future__ import annotations

import asyncio
import enum
import pathlib
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import attrs
import typer

from marjoramgrade import errors, jsontext
from marjoramgrade.api import Client
from marjoramgrade.commands.output import OUTPUT_FORMATS, View, sanitize_text
from marjoramgrade.transport import ServerUnreachableError

R = TypeVar("R")
MAX_INPUT_BYTES = 16 * 1_048_576
MAX_MESSAGE_LENGTH = 4_000


class ExitCode(enum.IntEnum):
    """What the exit status says to programs; `docs/cli.md` lists them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    UNKNOWN = 5


_EXIT_CODE_BY_TYPE: dict[type[errors.MarjoramgradeError], ExitCode] = {
    errors.MarjoramgradeError: ExitCode.FAILED,
    errors.InvalidInputError: ExitCode.USAGE,
    errors.ConflictError: ExitCode.CONFLICT,
    ServerUnreachableError: ExitCode.UNREACHABLE,
}


def exit_code_of(error: errors.MarjoramgradeError) -> ExitCode:
    """Return the exit code of an error: unknown first, then its nearest type."""
    if error.ran is errors.Ran.UNKNOWN:
        return ExitCode.UNKNOWN
    nearest = next(kind for kind in type(error).__mro__ if kind in _EXIT_CODE_BY_TYPE)
    return _EXIT_CODE_BY_TYPE[nearest]


@attrs.frozen
class Session:
    """The options that come before the command.

    Attributes:
        url: Where the entry instance or the load balancer listens.
        secret: Secret of the caller's key, or empty.
        output: Name of the output form.
    """

    url: str
    secret: str
    output: str

    def run(self, work: Callable[[Client], Awaitable[R]]) -> R:
        """Run work with a client; a failure ends the process with its code."""

        async def connected() -> R:
            async with Client.from_url(self.url, self.secret) as client:
                return await work(client)

        with self.exit_on_error():
            try:
                return asyncio.run(connected())
            except KeyboardInterrupt:
                raise typer.Exit(ExitCode.OK) from None

    def show(self, view: View) -> None:
        """Write a result to the standard output."""
        typer.echo(OUTPUT_FORMATS.get(self.output)(view))

    def show_rows(self, kind: str, rows: list[dict[str, Any]]) -> None:
        """Write documents that are their own rows."""
        self.show(View(rows, kind, rows))

    def print_message(self, text: str) -> None:
        """Tell a person about progress, on the error stream."""
        typer.echo(sanitize_text(text, MAX_MESSAGE_LENGTH), err=True)

    @contextmanager
    def exit_on_error(self) -> Iterator[None]:
        """Turn typed errors into a message and an exit code."""
        try:
            yield
        except errors.MarjoramgradeError as error:
            self.report(error)
            raise typer.Exit(exit_code_of(error)) from None

    def report(self, error: errors.MarjoramgradeError) -> None:
        """Write an error to the error stream."""
        if self.output == "json":
            report = {
                "code": error.code,
                "message": error.message,
                "ran": error.ran.value,
                "details": error.details,
            }
            typer.echo(jsontext.serialize_pretty({"error": report}), err=True)
            return
        self.print_message(f"{error.code}: {error.message}")
        for name, value in sorted(error.details.items()):
            self.print_message(f"  {name}: {value}")


def session_of(context: typer.Context) -> Session:
    """Return the session that the main callback made."""
    session = context.obj
    assert isinstance(session, Session)
    return session


def read_input(path: pathlib.Path) -> bytes:
    """Return the content of a file, or of the standard input for `-`.

    Raises:
        InvalidInputError: If it cannot be read or is too large.
    """
    try:
        if str(path) == "-":
            data = typer.get_binary_stream("stdin").read(MAX_INPUT_BYTES + 1)
        else:
            with path.open("rb") as file:
                data = file.read(MAX_INPUT_BYTES + 1)
    except OSError as error:
        raise errors.InvalidInputError(f"{path}: {error.strerror}") from None
    if len(data) > MAX_INPUT_BYTES:
        raise errors.OversizedInputError(f"{path} is larger than {MAX_INPUT_BYTES}")
    return data


def read_document(path: pathlib.Path) -> Any:
    """Return the JSON value in a file or on the standard input."""
    return jsontext.parse_text(read_input(path), path=str(path))
