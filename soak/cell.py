"""The processes of one soak run and the state of its jobs."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import string
import time
from typing import Any

import attrs

from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    HttpResponse,
)
from standins.processes import HOST, PortPicker, Process

INSTANCES = ("a", "b", "c")
# Each instance has an address of its own, by which the relay tells who connects.
HOST_BY_INSTANCE = {
    name: f"127.0.0.{number}"
    for number, name in enumerate(string.ascii_lowercase, start=11)
}
WORKERS = 4
WORKER_CPU = 4_000
SHUTDOWN_S = 4
DEADLINE_MS = 3_000


@attrs.define
class Soak:
    """The soak run of one seed.

    Attributes:
        folder: Folder of settings and logs.
        rng: Seeded random generator for all choices except ports.
        ports: Picks the ports of the processes.
        process_by_name: Latest process of each name.
        front_by_name: Address of the HTTP front end of each instance.
        started: Every process that was started; all are ended at the end of the run.
        events: Descriptions of faults and results, each with its time in seconds
            since the start.
        accepted: Monotonic time of acceptance by id of each accepted job.
        statuses_by_job: HTTP statuses of the submissions of each job; 0 stands for
            no response.
        relay_rules: Source, target and mode of each rule in force in the relay; an
            empty source stands for every source.
        names: Names of the instances.
        limits: Further settings of all instances, such as `memory_mb`.
        pool_by_name: Connections that clients keep to each instance.
        peak_mb: Largest memory that a process of an instance has used, in MB.
        start_s: Monotonic time of the start.
        control_port: Control port of the stand-in fleet.
        relay_port: Control port of the relay.
    """

    folder: pathlib.Path
    rng: random.Random
    ports: PortPicker = attrs.field(factory=PortPicker)
    process_by_name: dict[str, Process] = attrs.field(factory=dict)
    front_by_name: dict[str, str] = attrs.field(factory=dict)
    started: list[Process] = attrs.field(factory=list)
    events: list[str] = attrs.field(factory=list)
    accepted: dict[str, float] = attrs.field(factory=dict)
    statuses_by_job: dict[str, list[int]] = attrs.field(factory=dict)
    relay_rules: list[list[str]] = attrs.field(factory=list)
    names: tuple[str, ...] = INSTANCES
    limits: dict[str, Any] = attrs.field(factory=dict)
    pool_by_name: dict[str, HttpPool] = attrs.field(factory=dict)
    peak_mb: float = 0.0
    start_s: float = attrs.field(factory=time.monotonic)
    control_port: int = 0
    relay_port: int = 0

    def record_event(self, text: str) -> None:
        """Record an event with its time since the start."""
        self.events.append(f"{time.monotonic() - self.start_s:7.2f} {text}")

    async def start(self) -> None:
        """Start the stand-in fleet, the relay and the instances."""
        pick = self.ports.pick
        store, self.control_port, self.relay_port = pick(), pick(), pick()
        routes, workers = [], []
        for number in range(WORKERS):
            real, relayed = pick(), pick()
            addr = f"{HOST}:{relayed}"
            entry = {"id": f"w{number}", "addr": addr, "port": real, "cpu": WORKER_CPU}
            workers.append(entry)
            routes.append(_route(f"w{number}", relayed, real))
        plan = {
            "store": store,
            "control": self.control_port,
            "workers": workers,
            "config": _config(),
        }
        for name in self.names:
            relayed = pick()
            routes.append(_route(f"store-{name}", relayed, store))
            peer_port = pick()
            self._write_settings(name, relayed, peer_port)
            host = HOST_BY_INSTANCE[name]
            route = _route(f"peer-{name}", peer_port, peer_port)
            routes.append({**route, "listen_host": relay_host(host), "host": host})
        self._write("plan.json", plan)
        self._write("routes.json", routes)
        self._spawn("fleet", "standins.fleet", str(self.folder / "plan.json"))
        self._spawn(
            "relay",
            "standins.relay",
            str(self.folder / "routes.json"),
            HOST,
            str(self.relay_port),
        )
        await asyncio.sleep(1.0)
        for name in self.names:
            self.start_instance(name)

    def start_instance(self, name: str) -> None:
        """Start an instance, unless an overlapping fault has already started it."""
        current = self.process_by_name.get(name)
        if current is not None and current.popen.poll() is None:
            return
        module = "soak.instance"
        self._spawn(name, module, str(self.folder / f"{name}.settings"))

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        process = Process.spawn(name, self.folder, module, *arguments)
        self.process_by_name[name] = process
        self.started.append(process)

    def _write(self, name: str, document: Any) -> None:
        (self.folder / name).write_text(json.dumps(document), encoding="utf-8")

    def _write_settings(self, name: str, store: int, peer_port: int) -> None:
        front = f"{HOST}:{self.ports.pick()}"
        self.front_by_name[name] = front
        self._write(
            f"{name}.settings",
            {
                "instance_id": name,
                "zone": "north",
                "host": HOST_BY_INSTANCE[name],
                "front": front,
                "ready": f"{HOST}:{self.ports.pick()}",
                "peer_port": peer_port,
                "metrics_port": self.ports.pick(),
                "store": f"{HOST}:{store}",
                "advice": f"{HOST}:1",
                "cpu_share": 1.0,
                "cores": 1.0,
                "link_mbps": 1_000.0,
                "longest_lease_ms": 6_000,
                "status_s": 120,
                "shutdown_s": SHUTDOWN_S,
                **self.limits,
            },
        )

    async def control_fleet(self, **body: Any) -> dict[str, Any]:
        """Change the behaviour of the stand-in fleet and return its audit."""
        answer = await send_request(
            f"{HOST}:{self.control_port}", "POST", "/control", body
        )
        if answer is None:
            raise RuntimeError("the stand-in fleet does not respond")
        document: dict[str, Any] = json.loads(answer.body)
        return document

    async def disturb_connections(self, target: str, mode: str, seconds: float) -> None:
        """Drop or stall the connections to a target for a number of seconds."""
        await self._apply_rules([["", target, mode]], seconds)

    async def isolate_instance(self, name: str, mode: str, seconds: float) -> None:
        """Cut an instance off from the store and all others, but not from clients."""
        sources = [[HOST_BY_INSTANCE[name], "", mode]]
        targets = [["", f"peer-{name}", mode], ["", f"store-{name}", mode]]
        await self._apply_rules([*sources, *targets], seconds)

    async def _apply_rules(self, rules: list[list[str]], seconds: float) -> None:
        self.relay_rules.extend(rules)
        await self._send_rules()
        await asyncio.sleep(seconds)
        for rule in rules:
            self.relay_rules.remove(rule)
        await self._send_rules()

    async def _send_rules(self) -> None:
        rules = {"rules": self.relay_rules}
        await send_request(f"{HOST}:{self.relay_port}", "POST", "/control", rules)

    def measure_memory(self) -> None:
        """Record the largest memory that the running instances have used so far."""
        for name in self.names:
            process = self.process_by_name[name]
            with contextlib.suppress(OSError):
                self.peak_mb = max(self.peak_mb, process.peak_mb)

    async def stop(self) -> None:
        """End every process that this soak started."""
        for pool in self.pool_by_name.values():
            pool.close()
        for process in self.started:
            process.end()


def relay_host(host: str) -> str:
    """Return the address at which the relay listens for an instance's address."""
    return host.replace("127.0.0.", "127.0.1.")


def _route(target: str, listen: int, port: int) -> dict[str, Any]:
    return {
        "target": target,
        "listen_host": HOST,
        "listen_port": listen,
        "host": HOST,
        "port": port,
    }


def _config() -> dict[str, Any]:
    route = {
        "name": "q",
        "host": "jobs.example",
        "pathPrefix": "/q/",
        "service": "pool",
        "attempts": 3,
        "sloMs": 500,
        "public": True,
    }
    return {"version": 1, "routes": [route], "services": [{"name": "pool"}]}


async def send_request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_ms: int = DEADLINE_MS,
) -> HttpResponse | None:
    """Send a request on a new connection; return None if no full response arrives."""
    pool = HttpPool(address, 1)
    data = b"" if body is None else json.dumps(body).encode()
    try:
        return await pool.request(
            method, path, body=data, headers=headers, timeout_ms=timeout_ms
        )
    except (HttpNotSentError, HttpNoResponseError):
        return None
    finally:
        pool.close()
