"""The faults that a soak run injects; each function also ends its fault."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import struct
from collections.abc import AsyncIterator, Callable
from typing import Any

from marjoramgrade.registry import Registry
from soak.cell import HOST_BY_INSTANCE, SHUTDOWN_S, WORKERS, Soak

# Clients that stop within a body, and the bytes that each of them sends.
UNFINISHED_CLIENTS = 100
UNFINISHED_BYTES = 262_143
MAX_BYTES = 262_144
FRAME_BYTES = 1_048_576

Fault = Callable[[Soak], Any]
FAULTS: Registry[Fault] = Registry("fault")


@FAULTS.register("kill")
async def kill(soak: Soak) -> None:
    """Kill an instance and start it again."""
    name = soak.rng.choice(soak.names)
    soak.record_event(f"kill {name}")
    soak.process_by_name[name].end()
    await asyncio.sleep(soak.rng.uniform(0.1, 2.0))
    soak.start_instance(name)


@FAULTS.register("kill_all")
async def kill_all(soak: Soak) -> None:
    """Kill all instances at once."""
    soak.record_event("kill all")
    for name in soak.names:
        soak.process_by_name[name].end()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.5))
    for name in soak.names:
        soak.start_instance(name)


@FAULTS.register("freeze")
async def freeze(soak: Soak) -> None:
    """Freeze an instance and resume it later."""
    name = soak.rng.choice(soak.names)
    process = soak.process_by_name[name]
    soak.record_event(f"freeze {name}")
    process.send(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    process.send(signal.SIGCONT)


@FAULTS.register("terminate")
async def terminate(soak: Soak) -> None:
    """Stop an instance gracefully and start it again."""
    name = soak.rng.choice(soak.names)
    process = soak.process_by_name[name]
    soak.record_event(f"terminate {name}")
    process.send(signal.SIGTERM)
    await asyncio.sleep(SHUTDOWN_S)
    process.end()
    soak.start_instance(name)


@FAULTS.register("reload")
async def reload(soak: Soak) -> None:
    """Make an instance reload its settings with SIGHUP."""
    name = soak.rng.choice(soak.names)
    soak.record_event(f"reload {name}")
    soak.process_by_name[name].send(signal.SIGHUP)


@FAULTS.register("store")
async def store(soak: Soak) -> None:
    """Make the store busy, slow or lose responses."""
    mode = soak.rng.choice(("busy", "slow", "lost"))
    soak.record_event(f"store {mode}")
    await soak.control_fleet(mode=mode)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    await soak.control_fleet(mode="ok")


@FAULTS.register("cut_store")
async def cut_store(soak: Soak) -> None:
    """Disconnect one instance from the store."""
    target = f"store-{soak.rng.choice(soak.names)}"
    mode = soak.rng.choice(("drop", "stall"))
    soak.record_event(f"{mode} {target}")
    await soak.disturb_connections(target, mode, soak.rng.uniform(0.5, 4.0))


@FAULTS.register("isolate")
async def isolate(soak: Soak) -> None:
    """Cut an instance off from the store and all others; clients still reach it."""
    name = soak.rng.choice(soak.names)
    mode = soak.rng.choice(("drop", "stall"))
    soak.record_event(f"{mode} all of {name}")
    await soak.isolate_instance(name, mode, soak.rng.uniform(1.5, 4.0))


@FAULTS.register("cut_worker")
async def cut_worker(soak: Soak) -> None:
    """Disconnect one worker from all instances."""
    target = f"w{soak.rng.randrange(WORKERS)}"
    mode = soak.rng.choice(("drop", "stall"))
    soak.record_event(f"{mode} {target}")
    await soak.disturb_connections(target, mode, soak.rng.uniform(0.5, 6.0))


@FAULTS.register("crash_worker")
async def crash_worker(soak: Soak) -> None:
    """Crash and restart a worker."""
    number = soak.rng.randrange(WORKERS)
    soak.record_event(f"crash w{number}")
    await soak.control_fleet(crash=number)


@FAULTS.register("late")
async def late(soak: Soak) -> None:
    """Make workers execute some orders late and send no response to them."""
    soak.record_event("late orders")
    await soak.control_fleet(late=0.1)
    await asyncio.sleep(soak.rng.uniform(1.0, 3.0))
    await soak.control_fleet(late=0.0)


@FAULTS.register("unfinished")
async def unfinished(soak: Soak) -> None:
    """Send an instance many bodies that are never finished, and leave later."""
    name = soak.rng.choice(soak.names)
    is_chunked = soak.rng.random() < 0.5
    seconds = soak.rng.uniform(1.0, 5.0)
    soak.record_event(f"unfinished bodies to {name}, chunked: {is_chunked}")
    head = "POST /q/0 HTTP/1.1\r\nHost: jobs.example\r\n"
    if is_chunked:
        head += "Transfer-Encoding: chunked\r\n\r\n"
        data = head.encode() + b"1\r\nx\r\n" * UNFINISHED_BYTES
    else:
        head += f"Content-Length: {UNFINISHED_BYTES + 1}\r\n\r\n"
        data = head.encode() + b"x" * UNFINISHED_BYTES
    address = _address(soak, name, "front")
    clients = [_send_and_stay(address, data) for _ in range(UNFINISHED_CLIENTS)]
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(asyncio.gather(*clients), seconds)


@FAULTS.register("reconnecting")
async def reconnecting(soak: Soak) -> None:
    """Let clients send a part of a body, leave, and connect again, many times."""
    name = soak.rng.choice(soak.names)
    resets = soak.rng.random() < 0.5
    end = asyncio.get_running_loop().time() + soak.rng.uniform(1.0, 4.0)
    soak.record_event(f"clients reconnect to {name}, with resets: {resets}")
    head = (
        f"POST /q/0 HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: {MAX_BYTES}\r\n"
    )
    data = f"{head}\r\n".encode() + b"x" * (MAX_BYTES // 2)
    address = _address(soak, name, "front")

    async def play() -> None:
        while asyncio.get_running_loop().time() < end:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0), _connected(address) as client:
                    if resets:
                        linger = struct.pack("ii", 1, 0)
                        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    await asyncio.get_running_loop().sock_sendall(client, data)
            await asyncio.sleep(0.05)

    await asyncio.gather(*(play() for _ in range(UNFINISHED_CLIENTS)))


@FAULTS.register("complete")
async def complete(soak: Soak) -> None:
    """Send many complete bodies of the largest size; their clients wait for long."""
    name = soak.rng.choice(soak.names)
    seconds = soak.rng.uniform(1.0, 4.0)
    soak.record_event(f"complete bodies to {name}")
    first = soak.rng.getrandbits(32)
    job = json.dumps({"spec": "1:1", "steps": [{"count": 1, "cpu": 1, "estMs": 1}]})
    body = job[:-1].ljust(MAX_BYTES - 1) + "}"
    head = (
        "POST /q/{:016x} HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 60000\r\n"
        "Content-Length: {}\r\n\r\n"
    )
    address = _address(soak, name, "front")
    clients = [
        _send_and_stay(
            address, (head.format((1 << 40) + first + n, MAX_BYTES) + body).encode()
        )
        for n in range(UNFINISHED_CLIENTS)
    ]
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(asyncio.gather(*clients), seconds)


@FAULTS.register("strangers")
async def strangers(soak: Soak) -> None:
    """Send unfinished frames to the port of the other instances, then leave."""
    name = soak.rng.choice(soak.names)
    seconds = soak.rng.uniform(1.0, 4.0)
    soak.record_event(f"unfinished frames to {name}")
    data = FRAME_BYTES.to_bytes(4, "big") + b"x" * (FRAME_BYTES - 1)
    address = _address(soak, name, "peer")
    clients = [_send_and_stay(address, data) for _ in range(UNFINISHED_CLIENTS)]
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(asyncio.gather(*clients), seconds)


def _address(soak: Soak, name: str, port: str) -> tuple[str, int]:
    """Return where an instance listens for clients or for other instances."""
    if port == "front":
        host, _, number = soak.front_by_name[name].rpartition(":")
        return host, int(number)
    settings = json.loads((soak.folder / f"{name}.settings").read_text("utf-8"))
    return HOST_BY_INSTANCE[name], settings["peer_port"]


@contextlib.asynccontextmanager
async def _connected(address: tuple[str, int]) -> AsyncIterator[socket.socket]:
    with socket.socket() as client:
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, address)
        yield client


async def _send_and_stay(address: tuple[str, int], data: bytes) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        async with _connected(address) as client:
            await loop.sock_sendall(client, data)
            # Returns once the instance has answered or closed the connection.
            await loop.sock_recv(client, 1)
