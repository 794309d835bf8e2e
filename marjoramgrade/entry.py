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
from marjoramgrade.adapters.httpserver import FINISH_MS, DrainingHttpServer
from marjoramgrade.adapters.intake import Intake
from marjoramgrade.adapters.peerlink import PeerServer
from marjoramgrade.adapters.platformclient import PlatformClient
from marjoramgrade.clock import SystemClock
from marjoramgrade.composition import ControllerBuilder, ControllerSet
from marjoramgrade.controllers.routes import SEND_INTERVAL_MS
from marjoramgrade.controllers.watch import EndWatches
from marjoramgrade.decisions.placement import PLACEMENTS
from marjoramgrade.decisions.preemption import PREEMPTIONS
from marjoramgrade.decisions.queues import QUEUE_ORDERS
from marjoramgrade.decisions.retries import RETRY_POLICIES
from marjoramgrade.decisions.stopping.schedule import StopSchedule
from marjoramgrade.filters import access, requests, route  # noqa: F401  registers
from marjoramgrade.filters.chain import FILTERS, FilterChain, FilterEnvironment
from marjoramgrade.messages.ownership import DrainRequests, ReleaseShards
from marjoramgrade.messages.routing import GetSummaries
from marjoramgrade.settings import EntrySettings
from marjoramgrade.settingsfile import KnownNames, read_entry_settings
from marjoramgrade.stopping import Stopping

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

    Attributes:
        stopping: The requests in flight, and since when the process stops.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._stack = ActorGroup()
        self._clock = SystemClock()
        self._metrics = metrics.from_config(settings.statsd_host, settings.statsd_port)
        self.stopping = Stopping(self._clock, self._metrics)
        self._state: HttpServerState | None = None
        self._front_server: DrainingHttpServer | None = None
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

    async def drain(self) -> bool:
        """Refuse new requests, end running requests in time and release the shards.

        Returns:
            Whether no actor has failed.
        """
        assert self._state is not None and self._controllers is not None
        self.stopping.begin_drain(self._settings.shutdown_ms)
        schedule = self.stopping.schedule
        assert schedule is not None
        self.stopping.log_held("shutting_down")
        self._state.is_ready = False
        closing_idle = asyncio.create_task(self._close_idle(schedule))
        handing_over = asyncio.create_task(
            self._hand_over(self._state, self._controllers, schedule)
        )
        # A failed actor does not reply.
        failing = asyncio.create_task(self._stack.failed.wait())
        watching = asyncio.create_task(self.stopping.watch_turns())
        await asyncio.wait(
            (handing_over, failing),
            timeout=self._left_ms(schedule.close_ms) / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if handing_over.done():
            handing_over.result()
        else:
            # Other instances take over when the leases have lapsed.
            logs.log_event("handover_abandoned", waited_ms=self.stopping.since_ms)
        for task in (closing_idle, handing_over, failing, watching):
            task.cancel()
        self.stopping.log_held("drained")
        return not self._stack.failed.is_set()

    async def _hand_over(
        self, state: HttpServerState, controllers: ControllerSet, schedule: StopSchedule
    ) -> None:
        while state.in_flight and self._left_ms(schedule.refuse_ms):
            await asyncio.sleep(SHUTDOWN_POLL_MS / 1000)
        drain = DrainRequests(self._left_ms(schedule.answer_ms))
        dispatchers = controllers.dispatcher_by_shard.values()
        await asyncio.gather(*(d.ask(drain) for d in dispatchers))
        await controllers.ownership.ask(ReleaseShards())
        await self._wait_for_new_owners(controllers.routes)

    def _left_ms(self, until_ms: int) -> int:
        return max(until_ms - self._clock.now_ms(), 0)

    async def _close_idle(self, schedule: StopSchedule) -> None:
        """End watches and close idle connections once no new ones should come."""
        await asyncio.sleep(self._left_ms(schedule.idle_ms) / 1000)
        self._end_watches()
        while self._front_server is not None:
            self._front_server.close_idle()
            await asyncio.sleep(SHUTDOWN_POLL_MS / 1000)

    def _end_watches(self) -> None:
        if self._controllers is not None:
            self._controllers.watch.tell_soon(EndWatches())

    async def _finish_front(self) -> None:
        """Answer what is in flight, and serve the connections that wait."""
        assert self._state is not None and self._front_server is not None
        self._state.is_ready = False
        if self.stopping.schedule is None or self._stack.failed.is_set():
            self.stopping.end_now()
        self._end_watches()
        schedule = self.stopping.schedule
        assert schedule is not None
        left_ms = self._left_ms(schedule.close_ms)
        await self._front_server.finish(min(left_ms, FINISH_MS))

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
        self._stack.push_part("PeerServer", peer_server.close)
        self.stopping.add_part("calls", peer_server.count_calls)
        self.stopping.add_part("connections", intake.count_open)
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
            stopping=self.stopping,
        )
        server = make_server(self._state, settings.max_body_bytes, intake)
        server.listen(settings.http_port, address=settings.host)
        self._front_server = server
        # These run when the instance stops, the last one first.
        self._stack.push_async_callback(server.close_all_connections)
        self._stack.callback(self.stopping.log_held, "clients_closing")
        self._stack.push_part("front", self._finish_front)

    async def _flush_forever(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_MS / 1000)
            self._metrics.flush()


async def serve(settings: EntrySettings) -> None:
    """Run an entry instance until SIGTERM or SIGINT."""
    logs.configure(sys.stderr, instance=settings.instance_id)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    instance = EntryInstance.from_config(settings)

    def request_stop() -> None:
        instance.stopping.begin_drain(settings.shutdown_ms)
        stop.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_stop)
    async with instance:
        is_working = await instance.wait_for_stop(stop)
        if is_working:
            is_working = await instance.drain()
    instance.stopping.log_held("stopped", failed=not is_working)
    logs.flush_batches()
    if not is_working:
        raise SystemExit(1)


def run(settings: EntrySettings) -> None:
    """Run an entry instance; the entry point of the daemon."""
    asyncio.run(serve(settings))


def run_file(path: pathlib.Path) -> None:
    """Run an entry instance with the settings in a file."""
    run(read_entry_settings(path, KNOWN_NAMES))
