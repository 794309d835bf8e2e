"""The faults that a soak run injects; each function also ends its fault."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Callable
from typing import Any

from marjoramgrade.registry import Registry
from soak.cell import INSTANCES, SHUTDOWN_S, WORKERS, Soak

# Clients that stop within a body, and the bytes that each of them sends.
UNFINISHED_CLIENTS = 100
UNFINISHED_BYTES = 262_143

Fault = Callable[[Soak], Any]
FAULTS: Registry[Fault] = Registry("fault")


@FAULTS.register("kill")
async def kill(soak: Soak) -> None:
    """Kill an instance and start it again."""
    name = soak.rng.choice(INSTANCES)
    soak.record_event(f"kill {name}")
    soak.process_by_name[name].end()
    await asyncio.sleep(soak.rng.uniform(0.1, 2.0))
    soak.start_instance(name)


@FAULTS.register("kill_all")
async def kill_all(soak: Soak) -> None:
    """Kill all instances at once."""
    soak.record_event("kill all")
    for name in INSTANCES:
        soak.process_by_name[name].end()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.5))
    for name in INSTANCES:
        soak.start_instance(name)


@FAULTS.register("freeze")
async def freeze(soak: Soak) -> None:
    """Freeze an instance and resume it later."""
    name = soak.rng.choice(INSTANCES)
    process = soak.process_by_name[name]
    soak.record_event(f"freeze {name}")
    process.send(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    process.send(signal.SIGCONT)


@FAULTS.register("terminate")
async def terminate(soak: Soak) -> None:
    """Stop an instance gracefully and start it again."""
    name = soak.rng.choice(INSTANCES)
    process = soak.process_by_name[name]
    soak.record_event(f"terminate {name}")
    process.send(signal.SIGTERM)
    await asyncio.sleep(SHUTDOWN_S)
    process.end()
    soak.start_instance(name)


@FAULTS.register("reload")
async def reload(soak: Soak) -> None:
    """Make an instance reload its settings with SIGHUP."""
    name = soak.rng.choice(INSTANCES)
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
    target = f"store-{soak.rng.choice(INSTANCES)}"
    mode = soak.rng.choice(("drop", "stall"))
    soak.record_event(f"{mode} {target}")
    await soak.disturb_connections(target, mode, soak.rng.uniform(0.5, 4.0))


@FAULTS.register("isolate")
async def isolate(soak: Soak) -> None:
    """Cut an instance off from the store and all others; clients still reach it."""
    name = soak.rng.choice(INSTANCES)
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
    name = soak.rng.choice(INSTANCES)
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
    clients = [_send_and_stay(soak, name, data) for _ in range(UNFINISHED_CLIENTS)]
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(asyncio.gather(*clients), seconds)


async def _send_and_stay(soak: Soak, name: str, data: bytes) -> None:
    host, _, port = soak.front_by_name[name].rpartition(":")
    loop = asyncio.get_running_loop()
    with socket.socket() as client, contextlib.suppress(OSError):
        client.setblocking(False)
        await loop.sock_connect(client, (host, int(port)))
        await loop.sock_sendall(client, data)
        # Returns once the instance has closed the connection.
        await loop.sock_recv(client, 1)
