"""Starts a small cell as separate processes, for tests and the demo.

The cell consists of the stand-in platform, workers and backend servers and
of entry instances. Every entry instance has its own loopback address.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import pathlib
import time
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from standins.processes import (
    HOST,
    EntryPlan,
    PortPicker,
    Process,
    iter_backends,
    iter_relay_routes,
    iter_workers,
)

OPERATOR_SECRET = "operator-secret-of-the-stand-in-cell"
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
# Lines printed from the beginning and from the end of each log; about one screen
# per process.
LOG_EXCERPT_LINES = 25


@attrs.define
class Cell:
    """A cell of processes that run while the context is open.

    Attributes:
        folder: Folder for settings and logs.
        zones: Names of the zones.
        workers_per_zone: Number of workers in each zone.
        backends_per_zone: Number of backend servers in each zone.
        entries_per_zone: Number of entry instances in each zone.
        worker_cpu_millis: CPU capacity of each worker in thousandths of a core.
        worker_memory_mib: Memory of each worker in MiB.
        service: Name of the request service.
        is_relayed: Whether connections to workers, backend servers and peers go
            through the relay, so that `cut` can break them.
        own_process: Ids of workers and backend servers that run in a separate
            process, so that a test can kill or freeze them.
        instance_host: IP address of the workers and backend servers. A large cell
            needs a separate address, because outgoing connections of other
            processes use up ports of the shared one.
        extra_settings: Settings that every entry instance gets in addition.
        process_by_name: Processes started so far, by name; an entry instance's
            process has the instance's id as its name.
        entry_by_id: Plans of the entry instances started so far.
        instances: The platform's list of instances, as it is published next.
        ports: Picks the ports on the address of the stand-ins.
        platform_port: Port of the stand-in platform.
        relay_port: Port of the relay's control handler; 0 without a relay.
        relay_port_by_target: Ports on which the relay listens, by instance id.
    """

    folder: pathlib.Path
    zones: tuple[str, ...] = ("leeds", "manchester")
    workers_per_zone: int = 4
    backends_per_zone: int = 2
    entries_per_zone: int = 1
    worker_cpu_millis: int = 16_000
    worker_memory_mib: int = 65_536
    service: str = "charity-accounts"
    is_relayed: bool = False
    own_process: tuple[str, ...] = ()
    instance_host: str = HOST
    extra_settings: dict[str, Any] = attrs.field(factory=dict)
    process_by_name: dict[str, Process] = attrs.field(factory=dict)
    entry_by_id: dict[str, EntryPlan] = attrs.field(factory=dict)
    instances: list[dict[str, Any]] = attrs.field(factory=list)
    ports: PortPicker = attrs.field(factory=PortPicker)
    platform_port: int = 0
    relay_port: int = 0
    relay_port_by_target: dict[str, int] = attrs.field(factory=dict)
    _client: AsyncHTTPClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._client = AsyncHTTPClient(force_instance=True, max_clients=2_000)

    async def __aenter__(self) -> Cell:
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            await self._start()
        except BaseException:
            self.stop()
            self._print_logs()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        self.stop()
        if details[0] is not None:
            self._print_logs()

    @property
    def platform_url(self) -> str:
        """Base URL of the stand-in platform."""
        return f"http://{HOST}:{self.platform_port}"

    def stop(self) -> None:
        """Kill every process that the cell started."""
        for process in self.process_by_name.values():
            process.end()

    def _print_logs(self) -> None:
        """Print the beginning and the end of each process's log."""
        for process in self.process_by_name.values():
            lines = process.log.read_text(errors="replace").splitlines()
            if len(lines) > 2 * LOG_EXCERPT_LINES:
                lines = [*lines[:LOG_EXCERPT_LINES], "...", *lines[-LOG_EXCERPT_LINES:]]
            print(f"--- {process.name}", *lines, sep="\n")

    def start_entry(self, plan: EntryPlan) -> None:
        """Start an entry instance and add it to the list of instances."""
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
        self.instances.append(
            {
                "instance_id": plan.instance_id,
                "kind": "entry",
                "zone": plan.zone,
                "host": plan.host,
                "port": plan.http_port,
            }
        )

    async def replace_entry(self, instance_id: str, name: str) -> EntryPlan:
        """Kill an entry instance, start another in its zone and publish the change."""
        zone = self.entry_by_id[instance_id].zone
        self.process_by_name[instance_id].end()
        plan = self.plan_entry(zone, name)
        self.start_entry(plan)
        await self.remove_instances(instance_id)
        return plan

    async def remove_instances(self, *removed: str) -> None:
        """Remove instances by id from the platform's list and publish the list."""
        self.instances = [i for i in self.instances if i["instance_id"] not in removed]
        await self.publish_instances()

    def plan_entry(self, zone: str, name: str) -> EntryPlan:
        """Plan an entry instance of a zone with a free address and free ports."""
        number = len(self.entry_by_id) + 1
        host = f"127.0.{self.zones.index(zone) + 1}.{number}"
        ports = PortPicker(host)
        return EntryPlan(name, zone, host, ports.pick(), ports.pick())

    async def control_platform(self, **faults: Any) -> dict[str, Any]:
        """Set faults of the platform and return its counters."""
        url = f"{self.platform_url}/control"
        await self.fetch(url, "POST", body=faults)
        return await self.fetch_json(url)

    async def control(self, instance_id: str, **faults: Any) -> dict[str, Any]:
        """Set faults of a worker or backend server and return its counters."""
        instance = next(i for i in self.instances if i["instance_id"] == instance_id)
        url = f"http://{instance['host']}:{instance['port']}/control"
        if faults:
            await self.fetch(url, "POST", body=faults)
        return await self.fetch_json(url)

    async def cut(self, *rules: tuple[str, str, str]) -> None:
        """Replace the relay's rules.

        Args:
            rules: Source host, target and mode of each rule; see `standins.relay`.
        """
        url = f"http://{HOST}:{self.relay_port}/control"
        await self.fetch(url, "POST", body={"rules": rules})

    async def publish_instances(self, **changes: Any) -> None:
        """Publish the platform's list of instances.

        Args:
            changes: Fields to replace in the published list, by instance id.
        """
        listed = [
            {
                **instance,
                "port": self.relay_port_by_target.get(
                    instance["instance_id"], instance["port"]
                ),
                **changes.get(instance["instance_id"], {}),
            }
            for instance in self.instances
        ]
        await self.control_platform(instances=listed)

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
        """Send a request and return the response, whatever its status."""
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
        """Send a request, by default GET, and return the JSON document received."""
        document: dict[str, Any] = json.loads((await self.fetch(url, **options)).body)
        return document

    async def submit(self, job_id: str, spec: dict[str, Any], secret: str) -> None:
        """Submit a job.

        Raises:
            RuntimeError: If the job was not accepted.
        """
        url = f"{self.running_entries()[0].url}/v1/jobs"
        document = {"job_id": job_id, "spec": spec}
        answer = await self.fetch(url, "POST", body=document, secret=secret)
        if answer.code != 201:
            raise RuntimeError(f"POST {url}: {answer.code} {answer.body!r}")

    async def seed(self, teams: dict[str, dict[str, Any]]) -> dict[str, str]:
        """Declare the zones, teams, the service and a key for each team.

        Returns:
            The secret of each team's key, by team.
        """
        url = next(iter(self.entry_by_id.values())).url
        for zone in self.zones:
            await self.put(f"{url}/v1/zones/{zone}", {"state": "in"})
        await self.put(f"{url}/v1/services/{self.service}", {})
        secrets = {}
        for name, team in teams.items():
            await self.put(f"{url}/v1/teams/{name}", team)
            granted = await self.put(f"{url}/v1/keys/{name}-key", {"team": name})
            secrets[name] = granted["secret"]
        await self.wait_for_config()
        return secrets

    async def wait_for_config(self) -> None:
        """Wait until all running entry instances have the same configuration."""

        async def has_one_version() -> bool:
            versions = set()
            for plan in self.running_entries():
                answer = await self.fetch_json(f"{plan.url}/v1/teams")
                versions.add(answer["version"])
            return len(versions) == 1

        await self.wait_until(has_one_version)

    async def wait_for_shards(self) -> None:
        """Wait until each entry instance reports free capacity in every zone."""

        async def has_free_capacity() -> bool:
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

        await self.wait_until(has_free_capacity)

    async def wait_until(
        self, is_done: Any, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Poll a coroutine function until it returns true.

        Raises:
            TimeoutError: If the function did not return true within `timeout_s`.
        """
        until = time.monotonic() + timeout_s
        while not await is_done():
            if time.monotonic() > until:
                raise TimeoutError(
                    f"{is_done.__qualname__} did not become true in time"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def owner_of(self, shard: str) -> EntryPlan:
        """Wait until a shard has an owner and return the owner's plan."""
        owners: list[str] = []

        async def is_owned() -> bool:
            for plan in self.running_entries():
                answer = await self.fetch_json(f"{plan.url}/v1/status")
                owners.extend(
                    listed["owner"]
                    for listed in answer.get("shards", [])
                    if listed["shard"] == shard
                )
            return bool(owners)

        await self.wait_until(is_owned)
        return self.entry_by_id[owners[-1]]

    def running_entries(self) -> list[EntryPlan]:
        """Return the plans of the entry instances whose process runs."""
        return [
            plan
            for plan in self.entry_by_id.values()
            if self.process_by_name[plan.instance_id].popen.poll() is None
        ]

    async def wait_ready(self, plan: EntryPlan) -> None:
        """Wait until an entry instance reports that it is ready."""
        process = self.process_by_name[plan.instance_id]

        async def is_ready() -> bool:
            if process.popen.poll() is not None:
                raise RuntimeError(
                    f"{plan.instance_id} ended before it was ready: see {process.log}"
                )
            try:
                return (await self.fetch(f"{plan.url}/ready")).code == 200
            except OSError:
                return False

        await self.wait_until(is_ready)

    async def put(self, url: str, document: dict[str, Any]) -> dict[str, Any]:
        """Declare a resource and return the document of the response.

        Raises:
            RuntimeError: If the resource was not accepted in time.
        """
        response = await self.fetch(url, "PUT", body=document)
        until = time.monotonic() + START_TIMEOUT_S
        # A new instance responds with 503 until it is admitted as a member.
        while response.code == 503 and time.monotonic() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
            response = await self.fetch(url, "PUT", body=document)
        if response.code != 200:
            raise RuntimeError(f"PUT {url}: {response.code} {response.body!r}")
        answer: dict[str, Any] = json.loads(response.body)
        return answer

    async def _start(self) -> None:
        self.plan()
        self._spawn("platform", "standins.platform", HOST, str(self.platform_port))
        for kind in ("worker", "backend"):
            self._spawn_standins(kind)
        if self.is_relayed:
            self._spawn_relay()

        async def is_up() -> bool:
            try:
                await self.publish_instances()
            except OSError:
                return False
            return True

        await self.wait_until(is_up)
        for zone in self.zones:
            for number in range(self.entries_per_zone):
                self.start_entry(self.plan_entry(zone, f"{zone}-entry-{number + 1}"))
        await self.publish_instances()
        for plan in self.entry_by_id.values():
            await self.wait_ready(plan)

    def plan(self) -> None:
        """Pick the ports of the platform, the workers and the backend servers."""
        self.platform_port = self.ports.pick()
        self.instances = self._plan_instances()

    def _plan_instances(self) -> list[dict[str, Any]]:
        capacity = {
            "cpu_millis": self.worker_cpu_millis,
            "memory_mib": self.worker_memory_mib,
        }
        # A process that has been started may not listen on its port yet.
        is_shared = self.instance_host == HOST
        ports = self.ports if is_shared else PortPicker(self.instance_host)
        return [
            plan
            for zone in self.zones
            for plan in (
                *iter_workers(zone, self.workers_per_zone, capacity, ports),
                *iter_backends(zone, self.backends_per_zone, self.service, ports),
            )
        ]

    def _spawn_standins(self, kind: str) -> None:
        """Start the workers or backend servers in one process, except `own_process`."""
        documents = [i for i in self.instances if i["kind"] == kind]
        separate = [i for i in documents if i["instance_id"] in self.own_process]
        shared = [i for i in documents if i not in separate]
        groups = {f"{kind}s": shared, **{i["instance_id"]: [i] for i in separate}}
        for name, group in groups.items():
            path = self.folder / f"{name}.json"
            path.write_text(json.dumps(group), encoding="utf-8")
            self._spawn(name, f"standins.{kind}s", str(path))

    def _spawn_relay(self) -> None:
        routes = list(iter_relay_routes(self.instances, self.ports))
        self.relay_port_by_target = {r["target"]: r["listen_port"] for r in routes}
        path = self.folder / "relay.json"
        path.write_text(json.dumps(routes), encoding="utf-8")
        self.relay_port = self.ports.pick()
        self._spawn("relay", "standins.relay", str(path), HOST, str(self.relay_port))

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        self.process_by_name[name] = Process.spawn(
            name, self.folder, module, *arguments
        )
