"""An HTTP client that keeps its connections."""

from __future__ import annotations

import asyncio
import socket

import pytest
from tornado.iostream import IOStream, StreamClosedError

from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    set_tcp_options,
)


async def serve(behave):
    """Return a server that answers each request with `behave`, and its address."""
    connections = []

    async def handle(reader, writer):
        connections.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await behave(head.decode(), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}", connections


async def answer(head, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
    await writer.drain()


def test_connection_is_kept():
    # Guards against a new connection for each call, which is priced.
    async def run():
        server, address, connections = await serve(answer)
        pool = HttpPool(address)
        for _ in range(5):
            got = await pool.request("GET", "/", timeout_ms=1_000)
            assert (got.status, got.body) == (200, b"hi")
        assert len(connections) == 1
        pool.close()
        server.close()

    asyncio.run(run())


def test_refused_connection_sent_nothing():
    # Guards against a call that counts as unknown though it never left.
    async def run():
        server, address, _ = await serve(answer)
        server.close()
        await server.wait_closed()
        with pytest.raises(HttpNotSentError):
            await HttpPool(address).request("GET", "/", timeout_ms=500)

    asyncio.run(run())


def test_silent_or_broken_answer_is_unknown():
    # Guards against a hang, and against taking half an answer for a whole one.
    async def silent(head, writer):
        return None

    async def half(head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
        await writer.drain()
        writer.close()

    async def run():
        for behave in (silent, half):
            server, address, _ = await serve(behave)
            pool = HttpPool(address)
            with pytest.raises(HttpNoResponseError):
                await pool.request("POST", "/", body=b"x", timeout_ms=200)
            pool.close()
            server.close()

    asyncio.run(run())


def test_connection_that_is_closed_at_once_is_a_typed_error():
    # Guards against a process that ends because a peer closes what it has just
    # accepted (soak seed 20).
    async def run():
        stream = IOStream(socket.socket())
        stream.close()
        with pytest.raises(StreamClosedError):
            set_tcp_options(stream, 1_000)

    asyncio.run(run())


def test_idle_connection_that_its_peer_closed_is_not_used():
    # Guards against an unknown outcome because a server closed an idle connection
    # before the request.
    async def run():
        server, address, connections = await serve(answer)
        pool = HttpPool(address)
        await pool.request("GET", "/", timeout_ms=1_000)
        connections[0].close()
        await asyncio.sleep(0.05)
        assert pool.is_empty
        got = await pool.request("POST", "/", body=b"x", timeout_ms=1_000)
        assert got.status == 200
        pool.close()
        server.close()

    asyncio.run(run())


def test_request_without_time_left_is_not_sent():
    # Guards against a request that runs although its caller has given up.
    async def run():
        server, address, connections = await serve(answer)
        pool = HttpPool(address)
        with pytest.raises(HttpNotSentError):
            await pool.request("POST", "/", body=b"x", timeout_ms=0)
        assert not connections
        pool.close()
        server.close()

    asyncio.run(run())


def test_calls_beyond_the_bound_wait_for_a_connection():
    # Guards against as many connections as calls.
    async def slow(head, writer):
        await asyncio.sleep(0.02)
        await answer(head, writer)

    async def run():
        server, address, connections = await serve(slow)
        pool = HttpPool(address, max_connections=2)
        calls = (pool.request("GET", "/", timeout_ms=2_000) for _ in range(8))
        await asyncio.gather(*calls)
        assert len(connections) == 2
        pool.close()
        server.close()

    asyncio.run(run())
