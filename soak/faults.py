"""The faults that a soak injects; each one ends by itself."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from typing import Any

from marjoramgrade.registry import Registry
from soak.cell import GRACE_S, INSTANCES, WORKERS, Soak

Fault = Callable[[Soak], Any]
FAULTS: Registry[Fault] = Registry("fault")


@FAULTS.register("kill")
async def kill(soak: Soak) -> None:
    """Kill an instance and start it again."""
    name = soak.rng.choice(INSTANCES)
    soak.note(f"kill {name}")
    soak.process_by_name[name].end()
    await asyncio.sleep(soak.rng.uniform(0.1, 2.0))
    soak.start_instance(name)


@FAULTS.register("kill_all")
async def kill_all(soak: Soak) -> None:
    """Kill all instances at once."""
    soak.note("kill all")
    for name in INSTANCES:
        soak.process_by_name[name].end()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.5))
    for name in INSTANCES:
        soak.start_instance(name)


@FAULTS.register("freeze")
async def freeze(soak: Soak) -> None:
    """Freeze an instance and let it go on."""
    name = soak.rng.choice(INSTANCES)
    process = soak.process_by_name[name]
    soak.note(f"freeze {name}")
    process.send(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    process.send(signal.SIGCONT)


@FAULTS.register("terminate")
async def terminate(soak: Soak) -> None:
    """Stop an instance gracefully and start it again."""
    name = soak.rng.choice(INSTANCES)
    process = soak.process_by_name[name]
    soak.note(f"terminate {name}")
    process.send(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    process.end()
    soak.start_instance(name)


@FAULTS.register("reload")
async def reload(soak: Soak) -> None:
    """Send SIGHUP."""
    name = soak.rng.choice(INSTANCES)
    soak.note(f"reload {name}")
    soak.process_by_name[name].send(signal.SIGHUP)


@FAULTS.register("store")
async def store(soak: Soak) -> None:
    """Let the store be busy, slow or lose answers."""
    mode = soak.rng.choice(("busy", "slow", "lost"))
    soak.note(f"store {mode}")
    await soak.command(mode=mode)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    await soak.command(mode="ok")


@FAULTS.register("cut_store")
async def cut_store(soak: Soak) -> None:
    """Cut one instance off from the store."""
    target = f"store-{soak.rng.choice(INSTANCES)}"
    mode = soak.rng.choice(("drop", "stall"))
    soak.note(f"{mode} {target}")
    await soak.cut(target, mode, soak.rng.uniform(0.5, 4.0))


@FAULTS.register("cut_worker")
async def cut_worker(soak: Soak) -> None:
    """Cut one worker off from all instances."""
    target = f"w{soak.rng.randrange(WORKERS)}"
    mode = soak.rng.choice(("drop", "stall"))
    soak.note(f"{mode} {target}")
    await soak.cut(target, mode, soak.rng.uniform(0.5, 6.0))


@FAULTS.register("crash_worker")
async def crash_worker(soak: Soak) -> None:
    """Let a worker start again."""
    number = soak.rng.randrange(WORKERS)
    soak.note(f"crash w{number}")
    await soak.command(crash=number)


@FAULTS.register("late")
async def late(soak: Soak) -> None:
    """Let orders to workers go unanswered and be carried out late."""
    soak.note("late orders")
    await soak.command(late=0.1)
    await asyncio.sleep(soak.rng.uniform(1.0, 3.0))
    await soak.command(late=0.0)
