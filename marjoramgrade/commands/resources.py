"""Commands that read, change and watch resources."""

from __future__ import annotations

import contextlib
import pathlib
from collections.abc import Awaitable, Callable, Mapping
from typing import Annotated, Any

import attrs
import typer

from marjoramgrade import documents, jsontext
from marjoramgrade.api import Client
from marjoramgrade.commands.output import View, job_row
from marjoramgrade.commands.session import Session, read_document, session_of
from marjoramgrade.documents import Document
from marjoramgrade.errors import InvalidInputError, NotFoundError
from marjoramgrade.registry import Registry
from marjoramgrade.resourcekinds import (
    KEYS,
    RESOURCE_KINDS,
    SERVICES,
    TEAMS,
    ZONES,
    ResourceKind,
)
from marjoramgrade.watchclient import WatchEvent, WatchResetError

app = typer.Typer()
# Teams come first, because services and keys refer to them.
APPLY_ORDER = (TEAMS, ZONES, SERVICES)

Reader = Callable[[Client, str], Awaitable[View]]
READERS: Registry[Reader] = Registry("resource kind")


async def _read_configured(kind: ResourceKind[Any], client: Client, name: str) -> View:
    if name:
        found = await client.get(kind, name)
        document = kind.serialize(found.value)
        return View({**document, "version": found.version}, kind.plural, [document])
    listing = await client.list(kind)
    rows = [kind.serialize(item) for item in listing.items]
    return View({"version": listing.version, "items": rows}, kind.plural, rows)


def _register_configured(kind: ResourceKind[Any]) -> None:
    @READERS.register(kind.plural)
    async def read(client: Client, name: str) -> View:
        return await _read_configured(kind, client, name)


for _name in RESOURCE_KINDS.iter_names():
    _register_configured(RESOURCE_KINDS.get(_name))


@READERS.register("jobs")
async def _read_jobs(client: Client, name: str) -> View:
    if name:
        document = documents.serialize_job(await client.get_job(name))
        return View(document, "jobs", [job_row(document)])
    listing = await client.list_jobs()
    rows = [documents.serialize_job(job) for job in listing.items]
    shown = [job_row(row) for row in rows]
    return View({"version": listing.version, "items": rows}, "jobs", shown)


@READERS.register("tasks")
async def _read_tasks(client: Client, name: str) -> View:
    if not name:
        raise InvalidInputError("tasks can be listed only for a named job")
    return _make_view("tasks", await client.list_tasks(name))


@READERS.register("workers")
async def _read_workers(client: Client, name: str) -> View:
    return _select("workers", name, await client.list_workers())


@READERS.register("backends")
async def _read_backends(client: Client, name: str) -> View:
    return _select("backends", name, await client.list_backends())


def _select(kind: str, name: str, rows: tuple[Document, ...]) -> View:
    found = tuple(row for row in rows if not name or row.get("instance_id") == name)
    if name and not found:
        raise NotFoundError(f"no entry of {kind} has the id {name!r}")
    return _make_view(kind, found)


def _make_view(kind: str, rows: tuple[Document, ...]) -> View:
    return View({"items": list(rows)}, kind, rows)


@app.command()
def get(
    context: typer.Context,
    kind: Annotated[str, typer.Argument(help=", ".join(READERS.iter_names()))],
    name: Annotated[
        str, typer.Argument(help="Name of one resource; all if omitted.")
    ] = "",
) -> None:
    """Show resources."""
    session = session_of(context)
    with session.exit_on_error():
        read = READERS.get(kind)
    session.show(session.run(lambda client: read(client, name)))


@app.command()
def delete(
    context: typer.Context,
    kind: Annotated[str, typer.Argument(help=", ".join(RESOURCE_KINDS.iter_names()))],
    name: str,
    if_version: Annotated[
        int | None, typer.Option(min=1, help="Delete only if it has this version.")
    ] = None,
) -> None:
    """Delete a resource."""
    session = session_of(context)
    with session.exit_on_error():
        resource_kind = RESOURCE_KINDS.get(kind)
    version = session.run(lambda client: client.delete(resource_kind, name, if_version))
    row = {"kind": kind, "name": name, "result": "deleted", "version": version}
    session.show_rows("applied", [row])


@attrs.frozen
class Plan:
    """The validated resources of a file, in the order in which to apply them."""

    resources: tuple[tuple[ResourceKind[Any], Any], ...]


def parse_plan(document: object) -> Plan:
    """Return the resources of a file; one invalid resource rejects the file.

    Raises:
        InvalidInputError: With the path and the reason of the first error.
    """
    if type(document) is not dict:
        raise InvalidInputError("a resource file must be an object")
    known = [kind.plural for kind in APPLY_ORDER]
    for unknown in sorted(document.keys() - set(known)):
        hint = "; use grant-key" if unknown == KEYS.plural else ""
        raise InvalidInputError(f"{unknown} is not one of {', '.join(known)}{hint}")
    return Plan(tuple(pair for kind in APPLY_ORDER for pair in _parse(kind, document)))


def _parse(
    kind: ResourceKind[Any], document: Mapping[str, Any]
) -> list[tuple[ResourceKind[Any], Any]]:
    entries = document.get(kind.plural, [])
    if type(entries) is not list:
        raise InvalidInputError(f"{kind.plural} must be a list")
    resources = []
    for index, entry in enumerate(entries):
        try:
            resources.append((kind, kind.parse(entry)))
        except InvalidInputError as error:
            path = f"{kind.plural}[{index}]"
            raise InvalidInputError(f"{path}: {error.message}") from None
    return resources


async def apply_resource(
    client: Client, kind: ResourceKind[Any], desired: Any
) -> dict[str, Any]:
    """Create or change one resource as needed and return a row with the result.

    Raises:
        ConflictError: If the resource is changed concurrently.
    """
    row = {"kind": kind.plural, "name": desired.name}
    try:
        current = await client.get(kind, desired.name)
    except NotFoundError:
        version = await client.put(kind, desired, 0)
        return {**row, "result": "created", "version": version}
    if current.value == desired:
        return {**row, "result": "unchanged", "version": current.version}
    version = await client.put(kind, desired, current.version)
    return {**row, "result": "changed", "version": version}


@app.command()
def apply(
    context: typer.Context,
    file: Annotated[pathlib.Path, typer.Argument(help="A JSON file, or - for stdin.")],
) -> None:
    """Create or change the teams, zones and services in a file."""
    session = session_of(context)
    with session.exit_on_error():
        plan = parse_plan(read_document(file))
    rows: list[dict[str, Any]] = []

    async def apply_plan(client: Client) -> None:
        for kind, desired in plan.resources:
            rows.append(await apply_resource(client, kind, desired))

    try:
        session.run(apply_plan)
    finally:
        # After a failure the rows show which changes were made before it.
        session.show_rows("applied", rows)


@app.command()
def watch(
    context: typer.Context,
    after: Annotated[
        int | None, typer.Option(min=0, help="Show changes after this version.")
    ] = None,
    count: Annotated[
        int, typer.Option(min=0, help="End after this many changes; 0: never.")
    ] = 0,
) -> None:
    """Show changes as they happen."""
    session = session_of(context)
    session.run(lambda client: _watch(session, client, after, count))


async def _watch(
    session: Session, client: Client, after: int | None, count: int
) -> None:
    shown = 0
    while True:
        try:
            async with contextlib.aclosing(client.watch(after)) as events:  # type: ignore[type-var]
                async for event in events:
                    show_event(session, event)
                    shown += 1
                    if shown == count:
                        return
        except WatchResetError as error:
            session.report(error)
            after = error.version


def show_event(session: Session, event: WatchEvent) -> None:
    """Print a change as one line."""
    if session.output == "json":
        typer.echo(jsontext.serialize_text(attrs.asdict(event, recurse=False)))
        return
    document = event.document
    summary = "deleted" if document is None else document.get("state", "changed")
    reason = "" if document is None else document.get("reason", "")
    typer.echo(f"{event.version}  {event.kind}  {event.name}  {summary}  {reason}")


@app.command()
def status(context: typer.Context) -> None:
    """Show the load of every shard."""
    session = session_of(context)
    document = session.run(lambda client: client.status())
    shards = document.get("shards", [])
    session.show(View(document, "shards", shards if isinstance(shards, list) else []))
