"""Entries of another writer, which come and go while a soak run plays."""

from __future__ import annotations

import asyncio
import base64
import copy
import itertools
import json
import random
from typing import Any

from soak.cell import Soak

# Pause between two entries, and how long each is there, in seconds.
GAP_S = (0.1, 0.6)
PRESENT_S = (0.5, 4.0)
ENTRY = {
    "service": "pool",
    "addr": "127.0.0.1:9",
    "zone": "north",
    "state": "ready",
    "capacity": {"cpu": 4_000, "memMb": 1_000},
    "labels": ["a", "r9"],
}
MEMBER = {"zone": "north", "host": "127.0.0.1", "peer_port": 9}
ODD_IDS = ("наряд-7", "odd\r\nX-Odd: 1", " odd", "odd\x00", "日本", "odd" * 60)
ODD_VALUES: dict[str, tuple[Any, ...]] = {
    "addr": ("fe80::1%..:80", "127.0.0.1:99999", "nowhere:80", 7, "::1:9"),
    "capacity": ({"cpu": 10**400}, {"cpu": -1}, [], None),
    "labels": ([7], "r1", [""]),
    "service": (5, "", "billing"),
    "born": (10**30, "5", -1),
    "state": ("gone", ["ready"]),
}
ODD_BYTES = (b"", b"\xff\xfe", b"[" * 20_000 + b"]" * 20_000, b"9" * 5_000)
ODD_MEMBERS: tuple[dict[str, Any], ...] = (
    {"host": "fe80::1%.."},
    {"peer_port": 0},
    {"strength": 10**400},
    {"instance_id": "a"},
)


def make_row(rng: random.Random, key: str) -> tuple[str, str, bytes]:
    """Return table, key and content of an odd entry.

    Args:
        rng: Chooses what is odd about it.
        key: Its key, unless the key is what is odd.
    """
    kind = rng.choice(("id", "value", "value", "bytes", "member"))
    if kind == "member":
        value = {**MEMBER, "instance_id": key, **rng.choice(ODD_MEMBERS)}
        return "members", key, json.dumps(value).encode()
    if kind == "bytes":
        return "servers", key, rng.choice(ODD_BYTES)
    if kind == "id":
        return "servers", rng.choice(ODD_IDS), json.dumps(ENTRY).encode()
    name = rng.choice(sorted(ODD_VALUES))
    value = {**ENTRY, name: rng.choice(ODD_VALUES[name])}
    return "servers", key, json.dumps(value).encode()


async def write_odd_entries(soak: Soak) -> None:
    """Write odd entries and remove them again, until cancelled.

    Begins once the instances serve. The choices come from a generator of their own, so
    that each seed keeps its faults.
    """
    rng = copy.copy(soak.rng)
    while not soak.pool_by_name:
        await asyncio.sleep(0.1)
    async with asyncio.TaskGroup() as writers:
        for number in itertools.count():
            await asyncio.sleep(rng.uniform(*GAP_S))
            table, key, content = make_row(rng, f"odd-{number}")
            seconds = rng.uniform(*PRESENT_S)
            writers.create_task(_write_for(soak, table, key, content, seconds))


async def _write_for(
    soak: Soak, table: str, key: str, content: bytes, seconds: float
) -> None:
    soak.record_event(f"odd entry {key!r:.30} in {table}")
    value = base64.b64encode(content).decode()
    await soak.control_fleet(rows=[[table, "", key, value]])
    await asyncio.sleep(seconds)
    await soak.control_fleet(rows=[[table, "", key, None]])
