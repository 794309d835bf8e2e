"""Commands that change zones and keys and wait until the change is in force."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Annotated

import attrs
import typer

from marjoramgrade.api import Client
from marjoramgrade.clock import SystemClock
from marjoramgrade.commands.session import ExitCode, Session, session_of
from marjoramgrade.model import ZoneState
from marjoramgrade.resourcekinds import KEYS, ZONES
from marjoramgrade.transport import ServerUnreachableError

app = typer.Typer()
# According to the design page, a configuration is in force in every zone within
# this time.
DEFAULT_WAIT_MS = 8_000
MAX_WAIT_MS = 600_000
POLL_INTERVAL_MS = 200

WaitOption = Annotated[
    int,
    typer.Option(
        "--wait-ms", min=0, max=MAX_WAIT_MS, help="How long to wait for all zones."
    ),
]


async def read_confirmed_versions(client: Client) -> Mapping[str, int]:
    """Return the configuration version that each zone confirmed last."""
    status = await client.status()
    config = status.get("config")
    by_zone = config.get("version_by_zone") if isinstance(config, dict) else None
    if not isinstance(by_zone, dict):
        return {}
    return {zone: version for zone, version in by_zone.items() if type(version) is int}


async def wait_in_force(
    session: Session, client: Client, version: int, wait_ms: int
) -> bool:
    """Wait until every zone has confirmed a version; print each confirmation.

    Returns:
        Whether every zone confirmed the version in time.
    """
    clock = SystemClock()
    until_ms = clock.now_ms() + wait_ms
    listing = await client.list(ZONES)
    waiting = {zone.name for zone in listing.items}
    while waiting:
        try:
            versions = await read_confirmed_versions(client)
        except ServerUnreachableError:
            versions = {}
        done = {zone for zone in waiting if versions.get(zone, 0) >= version}
        for zone in sorted(done):
            session.print_message(f"version {version} is in force in {zone}")
        waiting -= done
        if not waiting or clock.now_ms() >= until_ms:
            break
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)
    for zone in sorted(waiting):
        session.print_message(f"version {version} is not confirmed by {zone}")
    return not waiting


def _show_result(session: Session, row: Mapping[str, object], in_force: bool) -> None:
    session.show_rows("applied", [{**row, "in_force": in_force}])
    if not in_force:
        raise typer.Exit(ExitCode.UNKNOWN)


def _set_zone_state(
    session: Session, name: str, state: ZoneState, wait_ms: int
) -> None:
    async def set_state(client: Client) -> tuple[int, bool]:
        # An unconditional change of a misspelt name would create a zone.
        current = await client.get(ZONES, name)
        version = current.version
        if current.value.state is not state:
            zone = attrs.evolve(current.value, state=state)
            version = await client.put(ZONES, zone, current.version)
        session.print_message(f"version {version} sets zone {name} to {state.value}")
        return version, await wait_in_force(session, client, version, wait_ms)

    version, in_force = session.run(set_state)
    row = {"kind": "zones", "name": name, "result": state.value, "version": version}
    _show_result(session, row, in_force)


@app.command("zone-out")
def zone_out(
    context: typer.Context, name: str, wait_ms: WaitOption = DEFAULT_WAIT_MS
) -> None:
    """Take a zone out of service: nothing new starts in it."""
    _set_zone_state(session_of(context), name, ZoneState.OUT, wait_ms)


@app.command("zone-in")
def zone_in(
    context: typer.Context, name: str, wait_ms: WaitOption = DEFAULT_WAIT_MS
) -> None:
    """Return a zone to service."""
    _set_zone_state(session_of(context), name, ZoneState.IN, wait_ms)


@app.command("grant-key")
def grant_key(context: typer.Context, name: str, team: str) -> None:
    """Create a key for a team and show its secret, which is not stored."""
    session = session_of(context)
    secret = session.run(lambda client: client.grant_key(name, team))
    if session.output == "json":
        session.show_rows("keys", [{"name": name, "team": team, "secret": secret}])
    else:
        typer.echo(secret)


@app.command("withdraw-key")
def withdraw_key(
    context: typer.Context, name: str, wait_ms: WaitOption = DEFAULT_WAIT_MS
) -> None:
    """Delete a key and wait until no zone accepts it."""
    session = session_of(context)

    async def delete_key(client: Client) -> tuple[int, bool]:
        version = await client.delete(KEYS, name)
        return version, await wait_in_force(session, client, version, wait_ms)

    version, in_force = session.run(delete_key)
    row = {"kind": "keys", "name": name, "result": "withdrawn", "version": version}
    _show_result(session, row, in_force)
