"""An instance in a process of its own, and clients that do not keep to the limits."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import pathlib
import random
import signal
import socket
import struct
import tempfile

import attrs
import pytest

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade.adapters.peercodec import PeerFrame, serialize_frame
from soak.cell import HOST_BY_INSTANCE, INSTANCES, Soak, send_request
from soak.run import wait_until_ready
from standins.processes import HOST, PortPicker, Process

MEMORY_MB = 96
# 300 unfinished bodies of the largest legal size are 79 MB, the instance itself 45 MB.
CLIENTS = 300
MAX_BODY_BYTES = 262_144
CLOSED = "closed without an answer"
FRAME_BYTES = 4 * 1_048_576
# An ordinary client gives up after this time; also the bound of a hanging test.
ANSWER_TIMEOUT_MS = 10_000
SEND_TIMEOUT_S = 4.0
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
    fleet: Process
    folder: pathlib.Path

    def restart(self):
        """Start the process again, without waiting until it serves."""
        self.process.end()
        self.process = spawn_instance(self.folder)

    @property
    def peak_mb(self):
        return self.process.peak_mb

    @property
    def open_descriptors(self):
        folder = pathlib.Path(f"/proc/{self.process.popen.pid}/fd")
        return len(list(folder.iterdir()))

    def unread_mb(self, port):
        """Return what the kernel holds of the connections that a port has accepted."""
        local_port = int(self.address_by_port[port].rpartition(":")[2])
        unread = 0
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
        for fields in (line.split() for line in lines[1:]):
            if int(fields[1].rpartition(":")[2], 16) == local_port:
                unread += int(fields[4].rpartition(":")[2], 16)
        return unread / 2**20

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
        self.assert_bounded()

    def assert_bounded(self):
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
    instance = Instance(spawn_instance(folder), address_by_port, fleet, folder)
    try:
        async with asyncio.timeout(10):
            while (answer := await instance.submit()) is None or answer.status != 200:
                await asyncio.sleep(0.1)
        yield instance
    finally:
        instance.process.end()
        fleet.end()


def spawn_instance(folder):
    return Process.spawn("a", folder, "soak.instance", str(folder / "settings"))


@contextlib.asynccontextmanager
async def running_cell(folder, **limits):
    """Yield the instances of a cell by name; they share one fleet."""
    soak = Soak(folder, random.Random(1), limits={"memory_mb": MEMORY_MB, **limits})
    try:
        await soak.start()
        await wait_until_ready(soak)
        yield {name: instance_of(soak, name) for name in INSTANCES}
    finally:
        await soak.stop()


def instance_of(soak, name):
    settings = json.loads((soak.folder / f"{name}.settings").read_text())
    host = HOST_BY_INSTANCE[name]
    address_by_port = {
        "front": settings["front"],
        "ready": settings["ready"],
        "peer": f"{host}:{settings['peer_port']}",
        "metrics": f"{host}:{settings['metrics_port']}",
    }
    process = soak.process_by_name[name]
    return Instance(
        process, address_by_port, soak.process_by_name["fleet"], soak.folder
    )


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


def frame_bytes(message, correlation=0):
    data = serialize_frame(PeerFrame(correlation, message))
    return len(data).to_bytes(4, "big") + data


def complete_body(number, document=ORDINARY_JOB):
    """Return a request of the largest legal size whose client waits for 60 s."""
    text = json.dumps(document)
    body = text[:-1] + " " * (MAX_BODY_BYTES - len(text)) + "}"
    head = LENGTH_HEAD.format(number + 16, MAX_BODY_BYTES)
    head = head.replace("\r\n\r\n", "\r\nX-Deadline-Ms: 60000\r\n\r\n")
    return (head + body).encode()


def half_a_body(number):
    return complete_body(number)[: MAX_BODY_BYTES // 2]


async def reconnect(address, data_of, count, seconds, *, resets=False):
    """Let clients send, leave, and connect again after 50 ms, for some seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds

    async def play(number):
        host, _, port = address.rpartition(":")
        while loop.time() < end:
            with socket.socket() as client:
                client.setblocking(False)
                if resets:
                    linger = struct.pack("ii", 1, 0)
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(SEND_TIMEOUT_S):
                        await loop.sock_connect(client, (host, int(port)))
                    await send(client, data_of(number))
            await asyncio.sleep(0.05)

    await asyncio.gather(*(play(number) for number in range(count)))


async def read_status(client):
    """Return the status of the answer, CLOSED, or None if there is none in time."""
    loop = asyncio.get_running_loop()
    data = b""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1_000):
            while len(data) < len(b"HTTP/1.1 200"):
                part = await loop.sock_recv(client, 1_024)
                if not part:
                    return CLOSED
                data += part
    except TimeoutError:
        return None
    except OSError:
        return CLOSED
    return int(data[9:12])


async def insist(address, data_of, count, seconds):
    """Let clients send a request again, 50 ms after it was closed or answered.

    A client whose request is accepted sends no further one.

    Returns:
        The outcomes of all attempts that ended in time, as `read_status` gives them.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    outcomes = []

    async def play(number):
        while loop.time() < end:
            async with contextlib.AsyncExitStack() as stack:
                [client] = await connect_all(stack, address, 1)
                await send(client, data_of(number))
                outcomes.append(await read_status(client))
                if outcomes[-1] == 200:
                    return
            await asyncio.sleep(0.05)

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*(play(number) for number in range(count)))
    print({outcome: outcomes.count(outcome) for outcome in set(outcomes)})
    return outcomes


def ordinary_request(number):
    body = json.dumps(ORDINARY_JOB)
    return (LENGTH_HEAD.format(number + 16, len(body)) + body).encode()


async def call(address, number):
    """Return the outcome of one ordinary request on a connection of its own."""
    async with contextlib.AsyncExitStack() as stack:
        [client] = await connect_all(stack, address, 1)
        await send(client, ordinary_request(number))
        return await read_status(client)


async def call_during(instance, crowd):
    """Return the outcomes of ordinary requests, one by one, until a crowd has ended."""
    playing = asyncio.ensure_future(crowd)
    outcomes = []
    try:
        while not playing.done():
            number = 100_000 + len(outcomes)
            outcomes.append(await call(instance.address_by_port["front"], number))
            await asyncio.sleep(0.05)
        await playing
    finally:
        playing.cancel()
    print({outcome: outcomes.count(outcome) for outcome in set(outcomes)})
    return outcomes


async def throttle(process, share, seconds, period_s=0.1):
    """Let a process run for a share of the time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    try:
        while loop.time() < end:
            process.send(signal.SIGSTOP)
            await asyncio.sleep(period_s * (1 - share))
            process.send(signal.SIGCONT)
            await asyncio.sleep(period_s * share)
    finally:
        process.send(signal.SIGCONT)
