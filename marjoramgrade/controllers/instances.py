"""The platform's list of instances, read at intervals."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.errors import MarjoramgradeError
from marjoramgrade.messages.instances import InstancesChanged
from marjoramgrade.metrics import Metrics
from marjoramgrade.model import Instance

READ_INTERVAL_MS = 1_000


class InstanceSource(Protocol):
    """Source of the platform's list of instances."""

    async def read(self) -> tuple[Instance, ...]:
        """Return the current list."""
        ...


class GetInstances(Message[tuple[Instance, ...]]):
    """Asks for the list as last read."""


class InstancesController(Actor):
    """Owns the list of instances as last read.

    Args:
        source: Reads the list.
        metrics: Counters.
        subscribers: Actors that are told `InstancesChanged`.
    """

    def __init__(
        self, source: InstanceSource, metrics: Metrics, subscribers: Sequence[Actor]
    ) -> None:
        super().__init__()
        self._source = source
        self._metrics = metrics
        self._subscribers = tuple(subscribers)
        self._instances: tuple[Instance, ...] = ()

    async def on_start(self) -> None:
        """Start reading the list at intervals."""
        self.spawn_critical(self._read_forever())

    @handles(GetInstances)
    async def _get(self, message: GetInstances) -> tuple[Instance, ...]:
        return self._instances

    async def _read_forever(self) -> None:
        while True:
            try:
                instances = await self._source.read()
            except MarjoramgradeError:
                self._metrics.retried("instances_unavailable")
            else:
                self._publish(instances)
            await asyncio.sleep(READ_INTERVAL_MS / 1000)

    def _publish(self, instances: tuple[Instance, ...]) -> None:
        if instances == self._instances:
            return
        self._instances = instances
        for subscriber in self._subscribers:
            subscriber.tell(InstancesChanged(instances))
