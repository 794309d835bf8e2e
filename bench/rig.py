"""A cell for capacity measurements, whose size and load change while it runs."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from bench.probes import Connection, bytes_by_kind, connections, memory, processor_ms
from bench.relay import Relay
from standins.cell import Cell
from standins.processes import HOST

SETTLE_S = 2.0
WINDOW_S = 4.0
# Enough concurrent submissions to fill the record writer's transactions.
SUBMITTERS = 50
TEAM = "team-0"
LIMITED_TEAM = "team-1"
TASK_MILLIS = 100
LONG_RUN_MS = 3_600_000

Send = Callable[[], Coroutine[Any, Any, None]]


@attrs.frozen
class Reading:
    """The resource use of one entry instance during one window.

    Attributes:
        series: Name of the series, which says what was varied.
        amount: Value of the varied amount.
        figures: Measured values by name; rates are per second.
    """

    series: str
    amount: float
    figures: dict[str, float]


@attrs.frozen
class _Sample:
    at_s: float
    processor_ms: float
    connections: dict[int, Connection]
    platform_bytes: Counter[tuple[str, str]]
    platform_requests: Counter[tuple[str, str]]
    control: dict[str, Any]


@attrs.define
class Rig:
    """A cell, the relay in front of its platform, and its load.

    Attributes:
        cell: The cell; the series start its entry instances.
        relay: Counts the bytes between entry instances and the platform.
        listed: Instances that the platform lists currently.
        secret_by_team: Secret of the key of each team.
        jobs: Number of jobs and requests sent so far.
        idle_reading: The latest reading without load.
    """

    cell: Cell
    relay: Relay
    listed: list[dict[str, Any]] = attrs.field(factory=list)
    secret_by_team: dict[str, str] = attrs.field(factory=dict)
    jobs: int = 0
    idle_reading: Reading | None = None

    @classmethod
    async def start(cls, folder: pathlib.Path, **shape: Any) -> Rig:
        """Start a cell without entry instances."""
        host = f"127.100.{os.getpid() % 250}.1"
        cell = Cell(folder, entries_per_zone=0, instance_host=host, **shape)
        await cell.__aenter__()
        relay = Relay(HOST, cell.platform_port)
        await relay.start()
        cell.extra_settings["platform_url"] = f"http://{HOST}:{relay.port}"
        return cls(cell, relay, list(cell.instances))

    def stop(self) -> None:
        """End the processes of the cell."""
        self.relay.close()
        self.cell.stop()

    async def start_entry(self, zone: str) -> None:
        """Start another entry instance and wait until it responds."""
        number = len(self.cell.entry_by_id) + 1
        plan = self.cell.plan_entry(zone, f"{zone}-entry-{number}")
        self.cell.start_entry(plan)
        await self.cell.wait_ready(plan)

    async def list_instances(self, instances: list[dict[str, Any]]) -> None:
        """Set the list of instances that the platform publishes."""
        self.listed = instances
        await self.cell.control_platform(instances=instances)

    async def declare_teams(self, first: int, after: int) -> None:
        """Declare teams `first` to `after` - 1; all get keys, all but team 0 limits."""
        url = self._url()
        limit = {"cpu_millis": 1_000_000, "memory_mib": 1_000_000}
        for number in range(first, after):
            name = f"team-{number}"
            team = {"share": 1} if name == TEAM else {"share": 1, "limit": limit}
            await self.cell.put(f"{url}/v1/teams/{name}", team)
            key = await self.cell.put(f"{url}/v1/keys/{name}-key", {"team": name})
            self.secret_by_team[name] = key["secret"]

    async def declare_zones(self) -> None:
        """Declare every zone and the request service."""
        url = self._url()
        for zone in self.cell.zones:
            await self.cell.put(f"{url}/v1/zones/{zone}", {"state": "in"})
        await self.cell.put(f"{url}/v1/services/{self.cell.service}", {})

    async def submit(
        self, count: int, tasks: int, run_ms: int, team: str = TEAM
    ) -> None:
        """Submit jobs as fast as the entry instance accepts them."""
        waiting = iter(range(count))

        async def submit_remaining() -> None:
            for _ in waiting:
                await self.submit_job(tasks, run_ms, team)

        await asyncio.gather(*(submit_remaining() for _ in range(SUBMITTERS)))

    async def submit_job(self, tasks: int, run_ms: int, team: str = TEAM) -> None:
        """Submit one job."""
        self.jobs += 1
        spec = {
            "team": team,
            "kind": "batch",
            "tasks": tasks,
            "run_ms": run_ms,
            "resources": {"cpu_millis": TASK_MILLIS, "memory_mib": 16},
        }
        body = {"job_id": f"job-{self.jobs}", "spec": spec}
        answer = await self.cell.fetch(
            f"{self._url()}/v1/jobs",
            "POST",
            body=body,
            secret=self.secret_by_team[team],
        )
        if answer.code not in (200, 201):
            raise RuntimeError(f"job submission failed: {answer.code} {answer.body!r}")

    async def send_request(self) -> None:
        """Send one idempotent request that takes 5 ms at its backend server."""
        self.jobs += 1
        answer = await self.cell.fetch(
            f"{self._url()}/v1/run/{self.cell.service}",
            "POST",
            body={"work_ms": 5},
            secret=self.secret_by_team[TEAM],
            headers={
                "Request-Id": f"r-{self.jobs}",
                "Deadline-Ms": "2500",
                "Idempotent": "true",
            },
        )
        if answer.code != 200:
            raise RuntimeError(f"request failed: {answer.code} {answer.body!r}")

    async def wait_for_running(self, count: int) -> None:
        """Wait until the workers run exactly this number of tasks."""

        async def is_running() -> bool:
            return await self.count_running() == count

        await self.cell.wait_until(is_running)

    async def count_running(self) -> int:
        """Return the number of tasks that the workers run."""
        counters = await self.cell.counters("worker")
        return sum(len(worker["running"]) for worker in counters.values())

    async def measure(
        self,
        series: str,
        amount: float,
        send: Send | None = None,
        per_second: float = 0,
        settle_s: float = SETTLE_S,
    ) -> Reading:
        """Measure the first entry instance for one window.

        Args:
            series: Name of the series.
            amount: Value of the varied amount.
            send: Sends one item of load, which is a job or a request.
            per_second: Number of items to send per second.
            settle_s: Time between the change and the window, in seconds.
        """
        load = asyncio.create_task(_send_steadily(send, per_second))
        try:
            await asyncio.sleep(settle_s)
            before = await self._sample()
            await asyncio.sleep(WINDOW_S)
            after = await self._sample()
        finally:
            load.cancel()
            outcome = (await asyncio.gather(load, return_exceptions=True))[0]
        if isinstance(outcome, Exception):
            raise outcome
        for process in self.cell.process_by_name.values():
            if process.popen.poll() is not None:
                raise RuntimeError(f"{process.name} ended: see {process.log}")
        reading = Reading(series, amount, self._figures(before, after))
        if send is None:
            self.idle_reading = reading
        return reading

    def repeat_idle_reading(self, series: str) -> Reading:
        """Return the latest reading without load as amount 0 of a series."""
        assert self.idle_reading is not None
        return Reading(series, 0, self.idle_reading.figures)

    def _url(self) -> str:
        return next(iter(self.cell.entry_by_id.values())).url

    def _first_entry(self) -> tuple[str, int]:
        name = next(iter(self.cell.entry_by_id))
        return name, self.cell.process_by_name[name].popen.pid

    async def _sample(self) -> _Sample:
        _, pid = self._first_entry()
        control = await self.cell.fetch_json(f"{self.cell.platform_url}/control")
        return _Sample(
            time.monotonic(),
            processor_ms(pid),
            connections(pid),
            self.relay.bytes_by_kind.copy(),
            self.relay.requests_by_kind.copy(),
            control,
        )

    def _kind_of(self, connection: Connection) -> str:
        plans = self.cell.entry_by_id.values()
        peer_ports = {plan.peer_port for plan in plans}
        worker_ports = {i["port"] for i in self.listed if i["kind"] == "worker"}
        if {connection.local_port, connection.remote_port} & peer_ports:
            return "peer"
        return "worker" if connection.remote_port in worker_ports else "other"

    def _figures(self, before: _Sample, after: _Sample) -> dict[str, float]:
        name, pid = self._first_entry()
        seconds = after.at_s - before.at_s
        cpu_ms = after.processor_ms - before.processor_ms
        figures = {"cpu_percent": cpu_ms / seconds / 10}
        for kind, value in attrs.asdict(memory(pid)).items():
            figures[f"memory_{kind}_mib"] = value / 1024
        flows = bytes_by_kind(before.connections, after.connections, self._kind_of)
        for kind in ("worker", "peer"):
            figures[f"{kind}_bytes_s"] = flows[kind] / seconds
        platform_bytes = after.platform_bytes - before.platform_bytes
        requests = after.platform_requests - before.platform_requests
        own_bytes = {
            k: v for (instance, k), v in platform_bytes.items() if instance == name
        }
        own_requests = {
            k: v for (instance, k), v in requests.items() if instance == name
        }
        figures["platform_bytes_s"] = sum(own_bytes.values()) / seconds
        figures["platform_requests_s"] = sum(own_requests.values()) / seconds
        for kind, value in sorted(own_bytes.items()):
            figures[f"platform_{kind}_bytes_s"] = value / seconds
        for kind, value in sorted(own_requests.items()):
            figures[f"platform_{kind}_requests_s"] = value / seconds
            # A window contains only three or four of the reads that occur once a
            # second, so the bytes of each read are more exact than the rate.
            figures[f"platform_{kind}_bytes_each"] = own_bytes[kind] / value
        for key in ("transactions", "rows_written", "reads"):
            figures[f"table_{key}_s"] = (
                after.control[key] - before.control[key]
            ) / seconds
        return figures


async def _send_steadily(send: Send | None, per_second: float) -> None:
    """Send items at a constant rate; the first failure ends the load."""
    if send is None:
        return
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        number = 0
        while True:
            due = started + number / per_second
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            group.create_task(send())
            number += 1
