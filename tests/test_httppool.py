"""Tests of the pool of persistent HTTP connections."""

from __future__ import annotations

import asyncio
import socket

import pytest
from tornado.iostream import IOStream, StreamClosedError

from marjoramgrade.adapters.httppool import (
    HttpInvalidRequestError,
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    set_tcp_options,
)
from marjoramgrade.errors import InvalidInputError


class ClosingServer:
    """A server that closes its connections too.

    A stream that stays open after its test is closed by the garbage collector during
    a later one, which has failed for it (test_promises_machine).
    """

    def __init__(self, server, connections):
        self._server = server
        self._connections = connections

    def close(self):
        self._server.close()
        for writer in self._connections:
            writer.close()

    async def wait_closed(self):
        await self._server.wait_closed()


async def serve(respond):
    """Start a server that handles each request with `respond`.

    Returns:
        The server, its address and the writers of the accepted connections, which are
        closed with the server.
    """
    connections = []

    async def handle(reader, writer):
        connections.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await respond(head.decode(), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return ClosingServer(server, connections), f"127.0.0.1:{port}", connections


async def answer(head, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
    await writer.drain()


def test_connection_is_reused():
    # Guards against opening a connection for each request; the users count each new
    # connection as cost.
    async def run():
        server, address, connections = await serve(answer)
        pool = HttpPool(address)
        for _ in range(5):
            response = await pool.request("GET", "/", timeout_ms=1_000)
            assert (response.status, response.body) == (200, b"hi")
        assert len(connections) == 1
        pool.close()
        server.close()

    asyncio.run(run())


def test_refused_connection_sent_nothing():
    # Guards against an unknown outcome for a request that was never sent.
    async def run():
        server, address, _ = await serve(answer)
        server.close()
        await server.wait_closed()
        with pytest.raises(HttpNotSentError):
            await HttpPool(address).request("GET", "/", timeout_ms=500)

    asyncio.run(run())


def test_missing_or_truncated_response_is_unknown():
    # Guards against a hang, and against a truncated response accepted as complete.
    async def send_nothing(head, writer):
        return None

    async def send_truncated(head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
        await writer.drain()
        writer.close()

    async def run():
        for respond in (send_nothing, send_truncated):
            server, address, _ = await serve(respond)
            pool = HttpPool(address)
            with pytest.raises(HttpNoResponseError):
                await pool.request("POST", "/", body=b"x", timeout_ms=200)
            pool.close()
            server.close()

    asyncio.run(run())


def test_connection_that_is_closed_at_once_is_a_typed_error():
    # Guards against a crash when a peer closes a connection right after accepting
    # it; seen in the soak test with seed 20.
    async def run():
        stream = IOStream(socket.socket())
        stream.close()
        with pytest.raises(StreamClosedError):
            set_tcp_options(stream, 1_000)

    asyncio.run(run())


def test_idle_connection_that_its_peer_closed_is_not_used():
    # Guards against sending a request on an idle connection that the server has
    # closed; the outcome of the request would be unknown.
    async def run():
        server, address, connections = await serve(answer)
        pool = HttpPool(address)
        await pool.request("GET", "/", timeout_ms=1_000)
        connections[0].close()
        await asyncio.sleep(0.05)
        assert pool.is_empty
        response = await pool.request("POST", "/", body=b"x", timeout_ms=1_000)
        assert response.status == 200
        pool.close()
        server.close()

    asyncio.run(run())


def test_request_without_time_left_is_not_sent():
    # Guards against a request that runs although its client has timed out.
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
    # Guards against opening a connection for each concurrent request.
    async def respond_slowly(head, writer):
        await asyncio.sleep(0.02)
        await answer(head, writer)

    async def run():
        server, address, connections = await serve(respond_slowly)
        pool = HttpPool(address, max_connections=2)
        requests = (pool.request("GET", "/", timeout_ms=2_000) for _ in range(8))
        await asyncio.gather(*requests)
        assert len(connections) == 2
        pool.close()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("value", ["наряд-7", "a\r\nB: 1", "a\n"])
def test_request_that_cannot_be_written_is_a_typed_error(value):
    # Guards against an error of the HTTP library that ends the task of the caller.
    async def run():
        server, address, _ = await serve(answer)
        pool = HttpPool(address)
        headers = {"X-Id": value}
        try:
            with pytest.raises(HttpInvalidRequestError):
                await pool.request("GET", "/", timeout_ms=1_000, headers=headers)
            with pytest.raises(HttpInvalidRequestError):
                await pool.request("GET", f"/{value}\n", timeout_ms=1_000)
            assert (await pool.request("GET", "/", timeout_ms=1_000)).status == 200
        finally:
            pool.close()
            server.close()

    asyncio.run(run())


@pytest.mark.parametrize("address", ["fe80::1%..:80", "nowhere:80", "127.0.0.1:x"])
def test_pool_is_only_made_for_an_address(address):
    # Guards against a host name of another program that the resolver looks up.
    with pytest.raises(InvalidInputError):
        HttpPool(address)
