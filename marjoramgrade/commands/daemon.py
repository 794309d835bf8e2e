"""Commands that start an entry instance and prepare its settings."""

from __future__ import annotations

import pathlib
import types
from typing import Annotated, Any

import typer

from marjoramgrade import deployment, jsontext, settingsfile
from marjoramgrade.commands.session import session_of
from marjoramgrade.model import generate_secret, hash_secret

app = typer.Typer()
settings_app = typer.Typer(help="Check and create settings.", no_args_is_help=True)
app.add_typer(settings_app, name="settings")

FileArgument = Annotated[pathlib.Path, typer.Argument(help="A JSON file.")]


def _load_entry() -> types.ModuleType:
    # Imported on use: the modules of the entry instance load slowly, and most commands
    # do not need them.
    from marjoramgrade import entry

    return entry


@app.command()
def run(
    context: typer.Context,
    settings: Annotated[pathlib.Path, typer.Option(help="Settings of the instance.")],
) -> None:
    """Run an entry instance until SIGTERM."""
    entry = _load_entry()
    with session_of(context).exit_on_error():
        checked = settingsfile.read_entry_settings(settings, entry.KNOWN_NAMES)
    entry.run(checked)


@settings_app.command()
def check(context: typer.Context, file: FileArgument) -> None:
    """Check the settings of one entry instance and show them in full."""
    with session_of(context).exit_on_error():
        checked = settingsfile.read_entry_settings(file, _load_entry().KNOWN_NAMES)
    _print_document(settingsfile.serialize_entry_settings(checked))


@settings_app.command()
def render(
    context: typer.Context,
    file: FileArgument,
    instance: Annotated[str, typer.Option(help="Id of the entry instance.")],
) -> None:
    """Show the settings of one entry instance of a deployment."""
    with session_of(context).exit_on_error():
        cell = deployment.read_deployment(file)
        rendered = deployment.render_settings(cell, instance, _load_entry().KNOWN_NAMES)
    _print_document(settingsfile.serialize_entry_settings(rendered))


@settings_app.command()
def seed(context: typer.Context, file: FileArgument) -> None:
    """Show the first teams, zones and services of a deployment, for `apply`."""
    with session_of(context).exit_on_error():
        cell = deployment.read_deployment(file)
    _print_document(deployment.serialize_seed(cell))


@settings_app.command("operator-key")
def operator_key() -> None:
    """Create an operators' key: its secret and the hash for the settings."""
    secret = generate_secret()
    _print_document({"secret": secret, "operator_key_sha256": hash_secret(secret)})


def _print_document(document: Any) -> None:
    typer.echo(jsontext.serialize_pretty(document))
