"""Command-line interface."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from marjoramgrade.commands import daemon, operations, resources, work
from marjoramgrade.commands.output import OUTPUT_FORMATS
from marjoramgrade.commands.session import Session, read_input
from marjoramgrade.errors import InvalidInputError

DEFAULT_URL = "http://127.0.0.1:8080"

app = typer.Typer(
    help="A cluster scheduler for mixed workloads.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
for _group in (daemon.app, resources.app, work.app, operations.app):
    app.add_typer(_group)


@app.callback()
def options(
    context: typer.Context,
    url: Annotated[
        str, typer.Option(envvar="MARJORAMGRADE_URL", help="URL of the entry instance.")
    ] = DEFAULT_URL,
    key_file: Annotated[
        pathlib.Path | None,
        typer.Option(
            envvar="MARJORAMGRADE_KEY_FILE", help="File with the secret of the key."
        ),
    ] = None,
    output: Annotated[
        str, typer.Option(help=f"One of {', '.join(OUTPUT_FORMATS.iter_names())}.")
    ] = "table",
) -> None:
    """Create the session from the options that all commands share."""
    session = Session(
        url, "", output if output in OUTPUT_FORMATS.iter_names() else "table"
    )
    with session.exit_on_error():
        OUTPUT_FORMATS.get(output)
        # The secret is read from a file, because other users of the machine can see
        # the arguments of a process.
        secret = _read_secret(key_file) if key_file is not None else ""
    context.obj = Session(_check_url(session, url), secret, output)


def _read_secret(path: pathlib.Path) -> str:
    try:
        secret = read_input(path).decode("ascii").strip()
    except UnicodeDecodeError:
        secret = ""
    if not secret.isprintable() or not secret:
        raise InvalidInputError(f"{path} must hold a secret in printable ASCII")
    return secret


def _check_url(session: Session, url: str) -> str:
    with session.exit_on_error():
        if not url.startswith(("http://", "https://")) or not url.isprintable():
            raise InvalidInputError("the URL must start with http:// or https://")
    return url


def main() -> None:
    """Run the command line."""
    app()
