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
settings_app = typer.Typer(help="Check and make settings.", no_args_is_help=True)
app.add_typer(settings_app, name="settings")

FileArgument = Annotated[pathlib.Path, typer.Argument(help="A JSON file.")]


def _entry() -> types.ModuleType:
    # The daemon's modules are slow to load, and most commands do not need them.
    from marjoramgrade import entry

    return entry


@app.command()
def run(
    context: typer.Context,
    settings: Annotated[pathlib.Path, typer.Option(help="Settings of the instance.")],
) -> None:
    """Run an entry instance until SIGTERM."""
    entry = _entry()
    with session_of(context).exit_on_error():
        checked = settingsfile.read_entry_settings(settings, entry.KNOWN_NAMES)
    entry.run(checked)


@settings_app.command()
def check(context: typer.Context, file: FileArgument) -> None:
    """Check the settings of one entry instance and show them whole."""
    with session_of(context).exit_on_error():
        checked = settingsfile.read_entry_settings(file, _entry().KNOWN_NAMES)
    _echo(settingsfile.serialize_entry_settings(checked))


@settings_app.command()
def render(
    context: typer.Context,
    file: FileArgument,
    instance: Annotated[str, typer.Option(help="Id of the entry instance.")],
) -> None:
    """Show the settings of one entry instance of a deployment."""
    with session_of(context).exit_on_error():
        cell = deployment.read_deployment(file)
        rendered = deployment.render_settings(cell, instance, _entry().KNOWN_NAMES)
    _echo(settingsfile.serialize_entry_settings(rendered))


@settings_app.command()
def seed(context: typer.Context, file: FileArgument) -> None:
    """Show the first teams, zones and services of a deployment, for `apply`."""
    with session_of(context).exit_on_error():
        cell = deployment.read_deployment(file)
    _echo(deployment.serialize_seed(cell))


@settings_app.command("operator-key")
def operator_key() -> None:
    """Make an operators' key: its secret, and the hash for the settings."""
    secret = generate_secret()
    _echo({"secret": secret, "operator_key_sha256": hash_secret(secret)})


def _echo(document: Any) -> None:
    typer.echo(jsontext.serialize_pretty(document))
