"""Processes, addresses and ports of a cell, for `standins.cell`."""

from __future__ import annotations

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"


# Below the ephemeral port range of the kernel: an outgoing connection of another
# process could otherwise take the port before it is listened on, or while its process
# is down.
FIRST_PORT, LAST_PORT = 12_000, 32_000


def free_port(host: str = HOST) -> int:
    """Return a TCP port that was free when probed; the port is not reserved."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


@attrs.define
class PortPicker:
    """Picks free ports, none of them twice.

    Attributes:
        host: IP address on which the ports are free.
    """

    host: str = HOST
    _picked: set[int] = attrs.field(factory=set)

    def pick(self) -> int:
        """Return a free port."""
        while (port := free_port(self.host)) in self._picked:
            continue
        self._picked.add(port)
        return port


@attrs.define
class Process:
    """A process that a cell started.

    Attributes:
        name: Name of the process and of its log file.
        popen: Handle of the process.
        log: File that receives standard output and error output.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path

    @classmethod
    def spawn(
        cls, name: str, folder: pathlib.Path, module: str, *arguments: str
    ) -> Process:
        """Run a module of this repository and write its output to a log file."""
        log = folder / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        return cls(name, popen, log)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    @property
    def peak_mb(self) -> float:
        """Largest memory that the running process has used, in MB.

        Raises:
            OSError: If it has ended.
        """
        path = pathlib.Path(f"/proc/{self.popen.pid}/status")
        for line in path.read_text(encoding="utf-8").splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1_024
        raise ProcessLookupError(f"the process {self.name} has ended")

    def end(self) -> None:
        """Kill the process, even if a signal has stopped it, and wait for its end."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()


@attrs.frozen
class EntryPlan:
    """Id, zone, address and ports of an entry instance."""

    instance_id: str
    zone: str
    host: str
    http_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Base URL for clients."""
        return f"http://{self.host}:{self.http_port}"


def iter_workers(
    zone: str, count: int, capacity: dict[str, int], ports: PortPicker
) -> Iterator[dict[str, Any]]:
    """Yield the items of the platform's list for a zone's workers."""
    for number in range(count):
        plan = _plan_instance(zone, "worker", number, capacity, ports)
        yield {**plan, "rack": f"{zone}-rack-{number // 8 + 1}"}


def iter_backends(
    zone: str, count: int, service: str, ports: PortPicker
) -> Iterator[dict[str, Any]]:
    """Yield the items of the platform's list for a zone's backend servers."""
    for number in range(count):
        plan = _plan_instance(zone, "backend", number, {"slots": 8}, ports)
        yield {**plan, "service": service}


def iter_relay_routes(
    instances: list[dict[str, Any]], ports: PortPicker
) -> Iterator[dict[str, Any]]:
    """Yield a relay route, which listens on a free port, to each instance."""
    for instance in instances:
        yield {
            "target": instance["instance_id"],
            "listen_host": ports.host,
            "listen_port": ports.pick(),
            "host": instance["host"],
            "port": instance["port"],
        }


def _plan_instance(
    zone: str, kind: str, number: int, capacity: dict[str, int], ports: PortPicker
) -> dict[str, Any]:
    return {
        "instance_id": f"{zone}-{kind}-{number + 1}",
        "kind": kind,
        "zone": zone,
        "host": ports.host,
        "port": ports.pick(),
        "capacity": capacity,
    }
