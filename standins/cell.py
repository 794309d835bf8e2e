"""Starts a small cell as separate processes, for tests and the demo.

The cell consists of the stand-in platform, workers and backend servers and of
entry instances. Every entry instance has its own loopback address.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
OPERATOR_SECRET = "operator-secret-of-the-stand-in-cell"
START_TIMEOUT_S = 30.0
POLL_S = 0.05


def free_port(host: str = HOST) -> int:
    """Return a TCP port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


@attrs.define
class Process:
    """A process that this cell started."""

    name: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()


@attrs.frozen
class EntryPlan:
    """Where one entry instance listens."""

    instance_id: str
    zone: str
    host: str
    http_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.host}:{self.http_port}"


@attrs.define
class Cell:
    """A running cell.

    Attributes:
        folder: Where settings and logs are kept.
        zones: Names of the zones.
        workers_per_zone: Number of workers in each zone.
        backends_per_zone: Number of backend servers in each zone.
        entries_per_zone: Number of entry instances in each zone.
        worker_cpu_millis: Processors of each worker in thousandths.
        worker_memory_mib: Memory of each worker.
        service: Name of the request service.
        instance_host: IP number of the workers and backend servers. A large cell
            needs one of its own, because outgoing connections of other processes
            take ports of the common one.
    """

    folder: pathlib.Path
    zones: tuple[str, ...] = ("leeds", "manchester")
    workers_per_zone: int = 4
    backends_per_zone: int = 2
    entries_per_zone: int = 1
    worker_cpu_millis: int = 16_000
    worker_memory_mib: int = 65_536
    service: str = "charity-accounts"
    instance_host: str = HOST
    extra_settings: dict[str, Any] = attrs.field(factory=dict)
    process_by_name: dict[str, Process] = attrs.field(factory=dict)
    entry_by_id: dict[str, EntryPlan] = attrs.field(factory=dict)
    instances: list[dict[str, Any]] = attrs.field(factory=list)
    platform_port: int = 0
    _instance_ports: set[int] = attrs.field(factory=set)
    _client: AsyncHTTPClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._client = AsyncHTTPClient(force_instance=True, max_clients=2_000)

    async def __aenter__(self) -> Cell:
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            await self._start()
        except BaseException:
            self.stop()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        self.stop()

    @property
    def platform_url(self) -> str:
        """Base URL of the stand-in platform."""
        return f"http://{HOST}:{self.platform_port}"

    def stop(self) -> None:
        """End every process that the cell started."""
        for process in self.process_by_name.values():
            process.end()

    def start_entry(self, plan: EntryPlan) -> None:
        """Start an entry instance."""
        settings = {
            "instance_id": plan.instance_id,
            "zone": plan.zone,
            "host": plan.host,
            "http_port": plan.http_port,
            "peer_port": plan.peer_port,
            "platform_url": self.platform_url,
            "operator_key_sha256": hashlib.sha256(OPERATOR_SECRET.encode()).hexdigest(),
            **self.extra_settings,
        }
        path = self.folder / f"{plan.instance_id}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self.entry_by_id[plan.instance_id] = plan
        self._spawn(plan.instance_id, "marjoramgrade", "run", "--settings", str(path))

    def plan_entry(self, zone: str, name: str) -> EntryPlan:
        """Return a free place for an entry instance."""
        number = len(self.entry_by_id) + 1
        host = f"127.0.{self.zones.index(zone) + 1}.{number}"
        return EntryPlan(name, zone, host, free_port(host), free_port(host))

    async def control_platform(self, **faults: Any) -> dict[str, Any]:
        """Change the behaviour of the platform and return its counters."""
        url = f"{self.platform_url}/control"
        await self.fetch(url, "POST", body=faults)
        return await self.fetch_json(url)

    async def control(self, instance_id: str, **faults: Any) -> dict[str, Any]:
        """Change a worker or backend server and return its counters."""
        found = next(i for i in self.instances if i["instance_id"] == instance_id)
        url = f"http://{found['host']}:{found['port']}/control"
        if faults:
            await self.fetch(url, "POST", body=faults)
        return await self.fetch_json(url)

    async def counters(self, kind: str) -> dict[str, dict[str, Any]]:
        """Return the counters of all workers or backend servers by id."""
        ids = [i["instance_id"] for i in self.instances if i["kind"] == kind]
        return {instance_id: await self.control(instance_id) for instance_id in ids}

    async def fetch(
        self,
        url: str,
        method: str = "GET",
        *,
        body: Any = None,
        secret: str = OPERATOR_SECRET,
        headers: dict[str, str] | None = None,
        timeout_s: float = 20.0,
    ) -> HTTPResponse:
        """Send a request and return the answer, whatever its status."""
        data = None if body is None else json.dumps(body).encode()
        return await self._client.fetch(
            url,
            method=method,
            body=data,
            headers={"Authorization": f"Bearer {secret}", **(headers or {})},
            raise_error=False,
            allow_nonstandard_methods=True,
            request_timeout=timeout_s,
            connect_timeout=timeout_s,
        )

    async def fetch_json(self, url: str, **options: Any) -> dict[str, Any]:
        """Send a GET request and return the JSON document of the answer."""
        document: dict[str, Any] = json.loads((await self.fetch(url, **options)).body)
        return document

    async def seed(self, teams: dict[str, dict[str, Any]]) -> dict[str, str]:
        """Declare zones, teams, the service and one key a team; return secrets."""
        url = next(iter(self.entry_by_id.values())).url
        for zone in self.zones:
            await self._put(f"{url}/v1/zones/{zone}", {"state": "in"})
        await self._put(f"{url}/v1/services/{self.service}", {})
        secrets = {}
        for name, team in teams.items():
            await self._put(f"{url}/v1/teams/{name}", team)
            granted = await self._put(f"{url}/v1/keys/{name}-key", {"team": name})
            secrets[name] = granted["secret"]
        await self.wait_for_config()
        return secrets

    async def wait_for_config(self) -> None:
        """Wait until every running entry instance has the newest configuration."""

        async def is_equal() -> bool:
            versions = set()
            for plan in self.running_entries():
                answer = await self.fetch_json(f"{plan.url}/v1/teams")
                versions.add(answer["version"])
            return len(versions) == 1

        await self.wait_until(is_equal)

    async def wait_for_shards(self) -> None:
        """Wait until every entry instance sees free resources in every zone."""

        async def is_served() -> bool:
            for plan in self.running_entries():
                answer = await self.fetch_json(f"{plan.url}/v1/status")
                ready = [
                    shard
                    for shard in answer.get("shards", [])
                    if shard.get("free") and sum(shard.get("free_slots", {}).values())
                ]
                if len(ready) < len(self.zones):
                    return False
            return True

        await self.wait_until(is_served)

    async def wait_until(
        self, is_done: Any, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Poll a coroutine function until it returns true.

        Raises:
            TimeoutError: If it did not in time.
        """
        until = time.monotonic() + timeout_s
        while not await is_done():
            if time.monotonic() > until:
                raise TimeoutError(f"{is_done.__qualname__} was not reached")
            await asyncio.sleep(POLL_S)

    async def owner_of(self, shard: str) -> EntryPlan:
        """Return the entry instance that owns a shard, once one is known."""
        owners: list[str] = []

        async def is_owned() -> bool:
            for plan in self.running_entries():
                answer = await self.fetch_json(f"{plan.url}/v1/status")
                owners.extend(
                    found["owner"]
                    for found in answer.get("shards", [])
                    if found["shard"] == shard
                )
            return bool(owners)

        await self.wait_until(is_owned)
        return self.entry_by_id[owners[-1]]

    def running_entries(self) -> list[EntryPlan]:
        """Return the entry instances whose process runs."""
        return [
            plan
            for plan in self.entry_by_id.values()
            if self.process_by_name[plan.instance_id].popen.poll() is None
        ]

    async def wait_ready(self, plan: EntryPlan) -> None:
        """Wait until an entry instance answers."""
        process = self.process_by_name[plan.instance_id]

        async def is_ready() -> bool:
            if process.popen.poll() is not None:
                raise RuntimeError(f"{plan.instance_id} ended: see {process.log}")
            try:
                return (await self.fetch(f"{plan.url}/ready")).code == 200
            except OSError:
                return False

        await self.wait_until(is_ready)

    async def _put(self, url: str, document: dict[str, Any]) -> dict[str, Any]:
        response = await self.fetch(url, "PUT", body=document)
        if response.code != 200:
            raise RuntimeError(f"PUT {url}: {response.code} {response.body!r}")
        answer: dict[str, Any] = json.loads(response.body)
        return answer

    async def _start(self) -> None:
        self.platform_port = free_port()
        self._spawn("platform", "standins.platform", HOST, str(self.platform_port))
        self.instances = list(self._plan_instances())
        self._spawn_standin("workers", "worker")
        self._spawn_standin("backends", "backend")

        async def is_up() -> bool:
            try:
                await self.control_platform(instances=self.instances)
            except OSError:
                return False
            return True

        await self.wait_until(is_up)
        for zone in self.zones:
            for number in range(self.entries_per_zone):
                self.start_entry(self.plan_entry(zone, f"{zone}-entry-{number + 1}"))
        for plan in self.entry_by_id.values():
            await self.wait_ready(plan)

    def _plan_instances(self) -> list[dict[str, Any]]:
        plans = []
        for zone in self.zones:
            for number in range(self.workers_per_zone):
                capacity = {
                    "cpu_millis": self.worker_cpu_millis,
                    "memory_mib": self.worker_memory_mib,
                }
                plan = self._plan_instance(zone, "worker", number, capacity)
                plans.append({**plan, "rack": f"{zone}-rack-{number // 8 + 1}"})
            for number in range(self.backends_per_zone):
                plan = self._plan_instance(zone, "backend", number, {"slots": 8})
                plans.append({**plan, "service": self.service})
        return plans

    def _plan_instance(
        self, zone: str, kind: str, number: int, capacity: dict[str, int]
    ) -> dict[str, Any]:
        return {
            "instance_id": f"{zone}-{kind}-{number + 1}",
            "kind": kind,
            "zone": zone,
            "host": self.instance_host,
            "port": self._plan_instance_port(),
            "capacity": capacity,
        }

    def _plan_instance_port(self) -> int:
        """Return a free port that no other instance of the cell was given."""
        while (port := free_port(self.instance_host)) in self._instance_ports:
            continue
        self._instance_ports.add(port)
        return port

    def _spawn_standin(self, name: str, kind: str) -> None:
        path = self.folder / f"{name}.json"
        documents = [i for i in self.instances if i["kind"] == kind]
        path.write_text(json.dumps(documents), encoding="utf-8")
        self._spawn(name, f"standins.{name}", str(path))

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        self.process_by_name[name] = Process(name, popen, log)
