"""The lifecycle of an entry instance: start, service, drain and stop."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

from marjoramgrade import logs, metrics
from marjoramgrade.actor import Actor, ActorGroup
from marjoramgrade.adapters.backend import BackendClient
from marjoramgrade.adapters.httpfront import HttpServerState, make_server
from marjoramgrade.adapters.intake import Intake
from marjoramgrade.adapters.peerlink import PeerServer
from marjoramgrade.adapters.platformclient import PlatformClient
from marjoramgrade.clock import SystemClock
from marjoramgrade.composition import ControllerBuilder, ControllerSet
from marjoramgrade.controllers.routes import SEND_INTERVAL_MS
from marjoramgrade.decisions.placement import PLACEMENTS
from marjoramgrade.decisions.preemption import PREEMPTIONS
from marjoramgrade.decisions.queues import QUEUE_ORDERS
from marjoramgrade.decisions.retries import RETRY_POLICIES
from marjoramgrade.filters import access, requests, route  # noqa: F401  registers
from marjoramgrade.filters.chain import FILTERS, FilterChain, FilterEnvironment
from marjoramgrade.messages.ownership import DrainRequests, ReleaseShards
from marjoramgrade.messages.routing import GetSummaries
from marjoramgrade.settings import EntrySettings
from marjoramgrade.settingsfile import KnownNames, read_entry_settings

KNOWN_NAMES = KnownNames.from_registries(
    FILTERS,
    queue_order=QUEUE_ORDERS,
    placement=PLACEMENTS,
    preemption=PREEMPTIONS,
    retry=RETRY_POLICIES,
)
FLUSH_INTERVAL_MS = 1_000
SHUTDOWN_POLL_MS = 20


class EntryInstance:
    """An entry instance: a context manager for its actors, servers and clients.

    Args:
        settings: Settings of the instance.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._stack = ActorGroup()
        self._clock = SystemClock()
        self._metrics = metrics.from_config(settings.statsd_host, settings.statsd_port)
        self._state: HttpServerState | None = None
        self._controllers: ControllerSet | None = None

    @classmethod
    def from_config(cls, settings: EntrySettings) -> EntryInstance:
        """Return an instance that is not yet started."""
        return cls(settings)

    async def __aenter__(self) -> EntryInstance:
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._stack.aclose()

    async def wait_for_stop(self, stop: asyncio.Event) -> bool:
        """Wait until `stop` is set or one of the actors fails.

        Returns:
            Whether no actor has failed.
        """
        waits = [
            asyncio.ensure_future(event.wait()) for event in (stop, self._stack.failed)
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return not self._stack.failed.is_set()

    async def drain(self) -> None:
        """Refuse new requests, wait for running requests and release the shards."""
        assert self._state is not None and self._controllers is not None
        logs.log_event("shutting_down")
        self._state.is_ready = False
        until_ms = self._clock.now_ms() + self._settings.shutdown_ms
        while self._state.in_flight and self._clock.now_ms() < until_ms:
            await asyncio.sleep(SHUTDOWN_POLL_MS / 1000)
        dispatchers = self._controllers.dispatcher_by_shard.values()
        await asyncio.gather(*(d.ask(DrainRequests()) for d in dispatchers))
        await self._controllers.ownership.ask(ReleaseShards())
        await self._wait_for_new_owners(self._controllers.routes)

    async def _wait_for_new_owners(self, routes: Actor) -> None:
        """Serve peers until no summary names this instance as the owner of a shard.

        A request that arrives on a connection while it closes has an unknown
        outcome. As long as the connections stay open, requests are refused and
        reported as not run.
        """
        own_id = self._settings.instance_id
        while own_id in (await routes.ask(GetSummaries())).owners():
            await asyncio.sleep(SHUTDOWN_POLL_MS / 1000)
        # The other peers learn of the new owner from its next summary.
        await asyncio.sleep(SEND_INTERVAL_MS / 1000)

    async def _start(self) -> None:
        settings, clock, instance_metrics = self._settings, self._clock, self._metrics
        self._stack.callback(instance_metrics.close)
        platform = PlatformClient(settings.platform_url, settings.instance_id)
        self._stack.callback(platform.close)
        backends = BackendClient(settings.max_body_bytes)
        self._stack.callback(backends.close)
        controllers = ControllerBuilder(
            settings, clock, instance_metrics, platform, backends
        ).build_controllers()
        self._controllers = controllers
        for actor in controllers.iter_before_join():
            await self._stack.add(actor)
        intake = Intake.from_config(clock=self._clock, metrics=self._metrics)
        peer_server = PeerServer(controllers.inbound, intake=intake)
        peer_server.listen(settings.peer_port, address=settings.host)
        self._stack.push_async_callback(peer_server.close)
        # From here on, peers can find this instance and it takes over shards.
        await self._stack.add(controllers.members)
        await self._stack.add(controllers.ownership)
        self._listen(controllers, intake)
        flusher = asyncio.create_task(self._flush_forever())
        self._stack.callback(flusher.cancel)
        logs.log_event("started", zone=settings.zone)

    def _listen(self, controllers: ControllerSet, intake: Intake) -> None:
        """Accept HTTP requests from clients and operators."""
        settings = self._settings
        environment = FilterEnvironment(
            settings,
            self._clock,
            self._metrics,
            controllers.config,
            controllers.routes,
            controllers.jobs,
            controllers.instances,
            controllers.watch,
        )
        self._state = HttpServerState(
            FilterChain.from_config(environment),
            controllers.watch,
            self._clock,
            self._metrics,
            settings.max_body_bytes,
        )
        server = make_server(self._state, settings.max_body_bytes, intake)
        server.listen(settings.http_port, address=settings.host)
        self._stack.push_async_callback(server.close_all_connections)
        self._stack.push_async_callback(server.finish)

    async def _flush_forever(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_MS / 1000)
            self._metrics.flush()


async def serve(settings: EntrySettings) -> None:
    """Run an entry instance until SIGTERM or SIGINT."""
    logs.configure(sys.stderr, instance=settings.instance_id)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with EntryInstance.from_config(settings) as instance:
        is_working = await instance.wait_for_stop(stop)
        if is_working:
            await instance.drain()
    logs.log_event("stopped", failed=not is_working)
    if not is_working:
        raise SystemExit(1)


def run(settings: EntrySettings) -> None:
    """Run an entry instance; the entry point of the daemon."""
    asyncio.run(serve(settings))


def run_file(path: pathlib.Path) -> None:
    """Run an entry instance with the settings in a file."""
    run(read_entry_settings(path, KNOWN_NAMES))
