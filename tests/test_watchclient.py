import asyncio
import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade import watchclient
from marjoramgrade.errors import MarjoramgradeError, ProtocolError, UnauthenticatedError
from marjoramgrade.transport import Transport
from marjoramgrade.watchclient import WatchResetError
from tests.scriptedserver import ScriptedServer, fails, hangs_up, run, says, streams


def line(version: int, name: str, kind: str = "job") -> str:
    change = {"version": version, "kind": kind, "name": name, "document": {}}
    return json.dumps(change)


async def collect_events(
    server: ScriptedServer,
    count: int,
    after: int | None = 0,
    connection_lifetime_ms: int = 5_000,
) -> list[tuple[int, str]]:
    transport = Transport(server.url)
    seen: list[tuple[int, str]] = []
    events = watchclient.iter_events(
        transport, after, connection_lifetime_ms=connection_lifetime_ms
    )
    async with contextlib.aclosing(events) as closing:  # type: ignore[type-var]
        async for event in closing:
            seen.append((event.version, event.name))
            if len(seen) == count:
                break
    transport.close()
    return seen


def test_a_watch_resumes_without_loss_or_repetition() -> None:
    """Guards against changes lost between two lines of one version."""

    async def work(server: ScriptedServer) -> None:
        seen = await collect_events(server, 4, after=4)
        assert seen == [(5, "a"), (6, "b"), (6, "c"), (7, "d")]

    server = run(
        work,
        streams(line(5, "a"), line(6, "b")),
        hangs_up,
        says("busy", status=503),
        streams(line(6, "b"), "", line(6, "c"), line(7, "d")),
    )
    uris = [request.uri for request in server.requests]
    assert uris == ["/v1/watch?after=4"] + ["/v1/watch?after=5"] * 3


def test_an_unresponsive_connection_is_replaced() -> None:
    """Guards against a watch that waits forever on a dead connection."""

    async def work(server: ScriptedServer) -> None:
        assert await collect_events(server, 1, connection_lifetime_ms=200) == [(1, "a")]

    async def send_nothing(handler: object) -> None:
        await asyncio.sleep(0.5)

    assert len(run(work, send_nothing, streams(line(1, "a"))).requests) == 2


def test_a_watch_that_cannot_resume_raises_a_typed_error() -> None:
    """Guards against missed changes that are not reported to the caller."""

    async def work(server: ScriptedServer) -> None:
        with pytest.raises(WatchResetError) as caught:
            await collect_events(server, 1, after=3)
        assert caught.value.version == 90

    run(work, streams('{"reset": true, "version": 90}'))


def test_a_refusal_ends_the_watch_with_its_type() -> None:
    """Guards against a watch that repeats a request that is always refused."""

    async def work(server: ScriptedServer) -> None:
        with pytest.raises(UnauthenticatedError):
            await collect_events(server, 1)

    run(work, fails("unauthenticated", 401))


def test_a_watch_from_now_on_starts_at_the_server_s_version() -> None:
    """Guards against a new watch that reports its start version as missed changes."""

    async def work(server: ScriptedServer) -> None:
        assert await collect_events(server, 2, after=None) == [(91, "a"), (92, "b")]

    server = run(
        work,
        streams('{"reset": true, "version": 90}'),
        streams(line(91, "a"), line(92, "b")),
    )
    assert [r.uri for r in server.requests] == ["/v1/watch", "/v1/watch?after=90"]


@pytest.mark.parametrize("second", [line(4, "b"), line(2, "c", "config")])
def test_changes_out_of_order_are_an_error(second: str) -> None:
    """Guards against a resume point that skips changes."""

    async def work(server: ScriptedServer) -> None:
        with pytest.raises(ProtocolError):
            await collect_events(server, 3, after=2)

    run(work, streams(line(5, "a"), second))


def test_kinds_may_interleave() -> None:
    """Guards against a watch that fails because versions of two kinds interleave."""

    async def work(server: ScriptedServer) -> None:
        assert await collect_events(server, 2, after=2) == [(5, "a"), (4, "c")]

    run(work, streams(line(5, "a"), line(4, "c", "config")))


@given(st.binary(max_size=100) | st.text().map(lambda t: json.dumps(t).encode()))
def test_hostile_lines_raise_only_typed_errors(data: bytes) -> None:
    """Guards against a line that raises an untyped error in the client."""
    with contextlib.suppress(MarjoramgradeError):
        watchclient.parse_line(data)
