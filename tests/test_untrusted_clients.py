"""Clients that do not keep to the limits, against an instance in a process of its own.

Only what does not depend on the machine's speed is checked: the process lives, its
memory and descriptors stay bounded, and an ordinary request is answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import pathlib
import socket
import tempfile

import attrs
import pytest

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade.adapters.peercodec import Hello, PeerFrame, serialize_frame
from marjoramgrade.messages.steps import LeaderBeat
from soak.cell import send_request
from standins.processes import HOST, PortPicker, Process

MEMORY_MB = 96
# 300 unfinished bodies of the largest legal size are 79 MB, the instance itself 45 MB.
CLIENTS = 300
MAX_BODY_BYTES = 262_144
# An ordinary client gives up after this time; also the bound of a hanging test.
ANSWER_TIMEOUT_MS = 10_000
PEER_CLIENTS = 40
FRAME_BYTES = 4 * 1_048_576
FRAMES = 50_000
REQUESTS = 200
MAX_FDS = 600
MAX_OPEN_DESCRIPTORS = 250
SEND_TIMEOUT_S = 4.0
PIECE_BYTES = 16_384
LENGTH_HEAD = (
    "POST /q/{:016x} HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: {}\r\n\r\n"
)
CHUNKED_HEAD = (
    "POST /q/{:016x} HTTP/1.1\r\nHost: jobs.example\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)
ORDINARY_JOB = {"spec": "100:50", "steps": [{"count": 1, "cpu": 100, "estMs": 50}]}


@pytest.fixture(autouse=True)
def alone():
    """Let one test of this kind run at a time, also in concurrent test runs."""
    path = pathlib.Path(tempfile.gettempdir()) / "marjoramgrade-untrusted.lock"
    with path.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@attrs.define
class Instance:
    """One instance with a stand-in fleet."""

    process: Process
    address_by_port: dict[str, str]

    def _status_kb(self, name):
        path = pathlib.Path(f"/proc/{self.process.popen.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith(name):
                return int(line.split()[1])
        raise KeyError(name)

    @property
    def peak_mb(self):
        return self._status_kb("VmHWM") / 1_024

    @property
    def open_descriptors(self):
        folder = pathlib.Path(f"/proc/{self.process.popen.pid}/fd")
        return len(list(folder.iterdir()))

    async def submit(self, number=1):
        return await send_request(
            self.address_by_port["front"],
            "POST",
            f"/q/{number:016x}",
            ORDINARY_JOB,
            {"Host": "jobs.example"},
            ANSWER_TIMEOUT_MS,
        )

    async def assert_serves(self, number=2):
        assert await self.submit(number) is not None
        print(f"peak {self.peak_mb:.1f} MB, {self.open_descriptors} descriptors")
        assert self.process.popen.poll() is None
        assert self.peak_mb < MEMORY_MB


@contextlib.asynccontextmanager
async def running_instance(folder, **limits):
    ports = PortPicker()
    store, worker, peer, metrics = (ports.pick() for _ in range(4))
    entry = {"id": "w0", "addr": f"{HOST}:{worker}", "port": worker, "cpu": 4_000}
    route = {"name": "q", "host": "jobs.example", "pathPrefix": "/q/"}
    route |= {"service": "pool", "attempts": 3, "sloMs": 500, "public": True}
    plan = {
        "store": store,
        "control": ports.pick(),
        "workers": [entry],
        "config": {"version": 1, "routes": [route], "services": [{"name": "pool"}]},
    }
    address_by_port = {
        "front": f"{HOST}:{ports.pick()}",
        "ready": f"{HOST}:{ports.pick()}",
        "peer": f"{HOST}:{peer}",
        "metrics": f"{HOST}:{metrics}",
    }
    settings = {
        "instance_id": "a",
        "zone": "north",
        "host": HOST,
        "front": address_by_port["front"],
        "ready": address_by_port["ready"],
        "peer_port": peer,
        "metrics_port": metrics,
        "store": f"{HOST}:{store}",
        "cpu_share": 1.0,
        "cores": 1.0,
        "link_mbps": 1_000.0,
        "longest_lease_ms": 6_000,
        "status_s": 120,
        "shutdown_s": 2,
        "memory_mb": MEMORY_MB,
        **limits,
    }
    for name, document in (("plan", plan), ("settings", settings)):
        (folder / name).write_text(json.dumps(document))
    fleet = Process.spawn("fleet", folder, "standins.fleet", str(folder / "plan"))
    process = Process.spawn("a", folder, "soak.instance", str(folder / "settings"))
    try:
        instance = Instance(process, address_by_port)
        async with asyncio.timeout(10):
            while (answer := await instance.submit()) is None or answer.status != 200:
                await asyncio.sleep(0.1)
        yield instance
    finally:
        process.end()
        fleet.end()


async def send(client, data):
    """Send what the instance takes; it may close the connection at any time."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await asyncio.get_running_loop().sock_sendall(client, data)


async def send_all(clients, data_of):
    await asyncio.gather(*(send(c, data_of(n)) for n, c in enumerate(clients)))


def whole_but_one_byte(number):
    head = LENGTH_HEAD.format(number + 16, MAX_BODY_BYTES).encode()
    return head + b"x" * (MAX_BODY_BYTES - 1)


def one_large_chunk(number):
    head = CHUNKED_HEAD.format(number + 16).encode()
    return head + f"{MAX_BODY_BYTES:x}\r\n".encode() + b"x" * (MAX_BODY_BYTES - 1)


def run_with(folder, play, **limits):
    async def run():
        async with running_instance(folder, **limits) as instance:
            with contextlib.ExitStack() as stack:
                await play(instance, stack)

    asyncio.run(run())


async def connect_all(stack, address, count):
    host, _, port = address.rpartition(":")
    clients = [stack.enter_context(socket.socket()) for _ in range(count)]
    loop = asyncio.get_running_loop()
    for client in clients:
        client.setblocking(False)
        with contextlib.suppress(OSError):
            await loop.sock_connect(client, (host, int(port)))
    return clients


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


def frame_bytes(message, correlation=0):
    data = serialize_frame(PeerFrame(correlation, message))
    return len(data).to_bytes(4, "big") + data


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
