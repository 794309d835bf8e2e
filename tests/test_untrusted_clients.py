"""Clients that do not keep to the limits, against an instance in a process of its own.

Only what does not depend on the machine's speed is checked: the process lives, its
memory and descriptors stay bounded, and an ordinary request is answered.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from marjoramgrade.adapters.peercodec import Hello
from marjoramgrade.messages.steps import LeaderBeat
from tests.untrusted import (
    ANSWER_TIMEOUT_MS,
    CHUNKED_HEAD,
    CLIENTS,
    FRAME_BYTES,
    LENGTH_HEAD,
    MAX_BODY_BYTES,
    ORDINARY_JOB,
    alone,  # noqa: F401 (a fixture for all tests)
    connect_all,
    frame_bytes,
    one_large_chunk,
    run_with,
    send_all,
    whole_but_one_byte,
)

PEER_CLIENTS = 40
FRAMES = 50_000
REQUESTS = 200
MAX_FDS = 600
MAX_OPEN_DESCRIPTORS = 250
PIECE_BYTES = 16_384


@pytest.mark.parametrize("port", ["front", "ready", "metrics"])
@pytest.mark.parametrize("data_of", [whole_but_one_byte, one_large_chunk])
def test_unfinished_bodies_do_not_fill_the_memory(tmp_path, port, data_of):
    # Guards against memory that grows with the number of clients which stop just short
    # of the end of a body and stay.
    async def play(instance, stack):
        clients = await connect_all(stack, instance.address_by_port[port], CLIENTS)
        await send_all(clients, data_of)
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_bodies_in_pieces_do_not_fill_the_memory(tmp_path):
    # Guards against a bound that holds only for bodies that arrive at once: all clients
    # make progress at the same time here.
    async def play(instance, stack):
        clients = await connect_all(stack, instance.address_by_port["front"], CLIENTS)
        for start in range(0, MAX_BODY_BYTES, PIECE_BYTES):
            end = start + PIECE_BYTES

            def piece(number, start=start, end=end):
                body = b"x" * (min(end, MAX_BODY_BYTES - 1) - start)
                head = LENGTH_HEAD.format(number + 16, MAX_BODY_BYTES).encode()
                return body if start else head + body

            await send_all(clients, piece)
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_very_small_chunks_do_not_occupy_the_event_loop(tmp_path):
    # Guards against an event loop that only parses chunks of one byte while ordinary
    # requests wait.
    async def play(instance, stack):
        clients = await connect_all(stack, instance.address_by_port["front"], CLIENTS)
        head = CHUNKED_HEAD.format(16).encode()
        chunks = b"1\r\nx\r\n" * (MAX_BODY_BYTES - 1)
        sending = asyncio.ensure_future(send_all(clients, lambda _: head + chunks))
        await asyncio.sleep(0.5)
        await instance.assert_serves()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    run_with(tmp_path, play)


def test_unfinished_frames_do_not_fill_the_memory(tmp_path):
    # Guards against memory that grows with frames whose last byte never arrives.
    async def play(instance, stack):
        clients = await connect_all(
            stack, instance.address_by_port["peer"], PEER_CLIENTS
        )
        frame = FRAME_BYTES.to_bytes(4, "big") + b"x" * (FRAME_BYTES - 1)
        await send_all(clients, lambda _: frame)
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_unfinished_frames_after_a_hello_do_not_fill_the_memory(tmp_path):
    # Guards against a bound that holds only until the other side has named itself.
    async def play(instance, stack):
        clients = await connect_all(
            stack, instance.address_by_port["peer"], PEER_CLIENTS
        )
        frame = FRAME_BYTES.to_bytes(4, "big") + b"x" * (FRAME_BYTES - 1)
        await send_all(clients, lambda _: frame_bytes(Hello("z")) + frame)
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_very_many_frames_do_not_occupy_the_event_loop(tmp_path):
    # Guards against an event loop that serves one connection as long as frames arrive.
    async def play(instance, stack):
        clients = await connect_all(
            stack, instance.address_by_port["peer"], PEER_CLIENTS
        )
        beats = frame_bytes(LeaderBeat(0, "z"), 1) * FRAMES
        sending = asyncio.ensure_future(
            send_all(clients, lambda _: frame_bytes(Hello("z")) + beats)
        )
        await asyncio.sleep(0.5)
        await instance.assert_serves()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    run_with(tmp_path, play)


@pytest.mark.parametrize("port", ["front", "metrics"])
def test_unread_responses_do_not_occupy_the_instance(tmp_path, port):
    # Guards against clients that send many requests at once and read no response.
    async def play(instance, stack):
        clients = await connect_all(stack, instance.address_by_port[port], CLIENTS)
        request = b"GET /metrics HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
        await send_all(clients, lambda _: request * REQUESTS)
        await instance.assert_serves()

    run_with(tmp_path, play)


@pytest.mark.parametrize("port", ["front", "ready", "metrics", "peer"])
def test_idle_connections_do_not_use_up_the_descriptors(tmp_path, port):
    # Guards against an instance that can no longer connect to others or accept clients.
    async def play(instance, stack):
        await connect_all(stack, instance.address_by_port[port], CLIENTS)
        await asyncio.sleep(0.5)
        await instance.assert_serves()
        assert instance.open_descriptors < MAX_OPEN_DESCRIPTORS

    run_with(tmp_path, play, max_fds=MAX_FDS)


def test_single_body_in_very_small_chunks_is_served(tmp_path):
    # Guards against a limit that refuses what is legal on an instance that is not busy.
    async def play(instance, stack):
        [client] = await connect_all(stack, instance.address_by_port["front"], 1)
        body = json.dumps({**ORDINARY_JOB, "pad": "x" * 20_000}).encode()
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        data = CHUNKED_HEAD.format(16).encode() + chunks + b"0\r\n\r\n"
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1_000):
            await loop.sock_sendall(client, data)
            assert (await loop.sock_recv(client, 64)).startswith(b"HTTP/1.1 200")
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_body_above_the_limit_is_answered(tmp_path):
    # Guards against clients that repeat a request which can never be accepted.
    async def play(instance, stack):
        over = MAX_BODY_BYTES + 1
        chunked = CHUNKED_HEAD.format(17) + f"{over:x}\r\n" + "x" * over
        loop = asyncio.get_running_loop()
        for data in (LENGTH_HEAD.format(16, over), chunked):
            [client] = await connect_all(stack, instance.address_by_port["front"], 1)
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1_000):
                await loop.sock_sendall(client, data.encode())
                assert (await loop.sock_recv(client, 64)).startswith(b"HTTP/1.1 413")
        await instance.assert_serves()

    run_with(tmp_path, play)
