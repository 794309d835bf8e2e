"""Connection, output and exit codes that all commands share."""

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
    """Exit statuses of the command line; `docs/cli.md` lists them."""

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
    """Return the exit code of an error.

    It is `UNKNOWN` if it is not known whether the work ran; otherwise the nearest
    listed base class of the error decides.
    """
    if error.ran is errors.Ran.UNKNOWN:
        return ExitCode.UNKNOWN
    nearest = next(kind for kind in type(error).__mro__ if kind in _EXIT_CODE_BY_TYPE)
    return _EXIT_CODE_BY_TYPE[nearest]


@attrs.frozen
class Session:
    """The options that all commands share, given before the command.

    Attributes:
        url: URL of the entry instance or the load balancer.
        secret: Secret of the client's key, or empty.
        output: Name of the output format.
    """

    url: str
    secret: str
    output: str

    def run(self, operation: Callable[[Client], Awaitable[R]]) -> R:
        """Run an operation with a client; exit with the code of an error."""

        async def connect_and_run() -> R:
            async with Client.from_url(self.url, self.secret) as client:
                return await operation(client)

        with self.exit_on_error():
            try:
                return asyncio.run(connect_and_run())
            except KeyboardInterrupt:
                raise typer.Exit(ExitCode.OK) from None

    def show(self, view: View) -> None:
        """Write a result to the standard output."""
        typer.echo(OUTPUT_FORMATS.get(self.output)(view))

    def show_rows(self, kind: str, rows: list[dict[str, Any]]) -> None:
        """Write documents, each of which is also a row of the table."""
        self.show(View(rows, kind, rows))

    def print_message(self, text: str) -> None:
        """Write a message for people to the standard error."""
        typer.echo(sanitize_text(text, MAX_MESSAGE_LENGTH), err=True)

    @contextmanager
    def exit_on_error(self) -> Iterator[None]:
        """Report a typed error and exit with its code."""
        try:
            yield
        except errors.MarjoramgradeError as error:
            self.report(error)
            raise typer.Exit(exit_code_of(error)) from None

    def report(self, error: errors.MarjoramgradeError) -> None:
        """Write an error to the standard error."""
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
    """Return the session that the main callback created."""
    session = context.obj
    assert isinstance(session, Session)
    return session


def read_input(path: pathlib.Path) -> bytes:
    """Return the content of a file, or of the standard input for `-`.

    Raises:
        InvalidInputError: If the input cannot be read or is too large.
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
        raise errors.OversizedInputError(
            f"{path} is larger than {MAX_INPUT_BYTES} bytes"
        )
    return data


def read_document(path: pathlib.Path) -> Any:
    """Return the JSON value in a file or on the standard input."""
    return jsontext.parse_text(read_input(path), path=str(path))
