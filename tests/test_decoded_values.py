"""Tests that whatever a decoder accepts can be used by what comes after it.

Guards against the gap between what is checked when input is read and what a library
requires where the value is used.
"""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st

from marjoramgrade.errors import InvalidInputError, WorkerError
from marjoramgrade.platform.workers import RunnerClient, parse_worker
from tests.test_platform_folder import WORKER_ENTRY

# No connection leaves the loopback interface.
HOSTS = st.sampled_from(["127.0.0.1", "::1", "::ffff:127.0.0.1"])
SCOPES = st.text(max_size=70)


@contextlib.asynccontextmanager
async def serving(body=b"{}"):
    """Yield the port of a server that answers each request with a body."""

    async def respond(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").lower().split("\r\n")
                sizes = [ln[15:] for ln in lines if ln.startswith("content-length:")]
                await reader.readexactly(int(sizes[0]) if sizes else 0)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                )
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


@given(st.text(max_size=20), HOSTS, st.none() | SCOPES)
@example("наряд-7", "127.0.0.1", None)
@example("w\r\nX: 1", "127.0.0.1", None)
@example("w", "::1", "..")
@settings(max_examples=150, deadline=None)
def test_worker_that_is_read_can_be_called(worker_id, host, scope):
    async def run():
        async with serving() as port:
            address = f"{host}:{port}" if scope is None else f"{host}%{scope}:{port}"
            entry = msgspec.json.encode({**WORKER_ENTRY, "addr": address})
            try:
                client = RunnerClient(parse_worker(worker_id, entry))
            except InvalidInputError:
                return
            # The answer has no clock, so it is no listing.
            with contextlib.suppress(WorkerError, InvalidInputError):
                await client.renew(1, 0, 0, 0)
            client.close()

    asyncio.run(run())
