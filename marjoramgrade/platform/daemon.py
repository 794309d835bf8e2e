"""Start, operation and shutdown of an entry instance on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import resource
import signal
import sys
from collections.abc import Coroutine
from typing import Any, NoReturn

from tornado.httpserver import HTTPServer

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade import logs
from marjoramgrade.actor import Actor, ActorGroup
from marjoramgrade.adapters.httpserver import DrainingHttpServer
from marjoramgrade.adapters.intake import Intake
from marjoramgrade.adapters.peerlink import PeerLink, PeerServer, serialize_notice
from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers.advising import AdvisingController
from marjoramgrade.controllers.commits import max_batch_bytes
from marjoramgrade.controllers.directory import DirectoryController, DirectoryFormat
from marjoramgrade.controllers.forwarding import ForwardingController
from marjoramgrade.controllers.leaderpolicies import LeaderPolicies
from marjoramgrade.controllers.leadership import LeadershipController
from marjoramgrade.controllers.peers import PeersController
from marjoramgrade.controllers.readiness import ReadinessController
from marjoramgrade.controllers.stepinbound import StepInboundController
from marjoramgrade.controllers.stepscheduling import (
    LeaderBounds,
    StepSchedulerController,
)
from marjoramgrade.controllers.storerouter import StoreRouter
from marjoramgrade.decisions.intake.bounds import DEFAULT_MAX_FDS, IntakeBounds
from marjoramgrade.errors import SettingsError
from marjoramgrade.exposition import PrometheusMetrics
from marjoramgrade.filters.chain import FilterChain
from marjoramgrade.filters.queues import (
    DEFAULT_QUEUE_FILTERS,
    QUEUE_FILTERS,
    QueueFilterEnvironment,
)
from marjoramgrade.messages.peers import Member
from marjoramgrade.messages.steps import ReleaseLeadership
from marjoramgrade.platform import configuration
from marjoramgrade.platform.advice import connect_advisor
from marjoramgrade.platform.draining import wait_until_drained
from marjoramgrade.platform.frontend import ClientFrontend, ReadinessEndpoint
from marjoramgrade.platform.settings import InstanceSettings, read_settings
from marjoramgrade.platform.store import StoreClient
from marjoramgrade.platform.workers import RunnerClient, parse_worker
from marjoramgrade.stopping import Stopping

SETTINGS_VARIABLE = "MARJORAMGRADE_NODE_FILE"
# Upper bound of the worker leases that a leader grants: short leases free the tasks of
# a dead worker soon, long ones outlast a takeover.
MAX_WORKER_LEASE_MS = 3_200
# The least time for sending answers that are ready, when the process is late.
LATE_FLUSH_MS = 100


class EntryDaemon:
    """One entry instance; an asynchronous context manager that owns its actors.

    Args:
        settings: Settings of the instance.

    Attributes:
        stopping: The requests in flight, and since when the process stops.
    """

    def __init__(self, settings: InstanceSettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._metrics = PrometheusMetrics()
        self.stopping = Stopping(self._clock, self._metrics)
        self._stack = ActorGroup(lambda: self.stopping.left_ms)
        self._intake_bounds = IntakeBounds.from_config(
            settings.memory_mb, _max_descriptors(settings)
        )
        self._intake = Intake.from_config(
            self._intake_bounds, self._clock, self._metrics
        )
        self._readiness_endpoint = ReadinessEndpoint(self._intake)
        self._frontend: ClientFrontend | None = None
        self._leadership: LeadershipController | None = None
        self._front_server: DrainingHttpServer | None = None
        self._servers: list[HTTPServer] = []
        self._watchers = contextlib.ExitStack()

    @classmethod
    def from_config(cls, settings: InstanceSettings) -> EntryDaemon:
        """Return an instance that has not been started."""
        return cls(settings)

    async def __aenter__(self) -> EntryDaemon:
        try:
            await self._start()
        except BaseException:
            self.stopping.end_now()
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._stack.aclose()

    @property
    def failed(self) -> asyncio.Event:
        """Set when a background loop of one of the actors has failed."""
        return self._stack.failed

    async def _start(self) -> None:
        # Closed last.
        self._stack.enter_context(self._watchers)
        self._watch(self._end_on_failure())
        settings, clock = self._settings, self._clock
        own_member = Member(
            settings.instance_id,
            settings.zone,
            settings.host,
            settings.peer_port,
            strength=settings.strength,
        )
        store_client = StoreClient(settings.store)
        # Calls relayed for other instances use separate connections, so that they don't
        # occupy this instance's own connections when the store is unresponsive.
        relay_store_client = StoreClient(settings.store)
        advisor = AdvisingController(connect_advisor(settings.advice))
        peers = PeersController(
            own_member,
            store_client,
            lambda member: PeerLink(own_member.instance_id, own_member.host, member),
            serialize_notice,
            self._metrics,
        )
        router = StoreRouter(own_member.instance_id, store_client, peers, self._metrics)
        bounds = LeaderBounds(
            min(MAX_WORKER_LEASE_MS, settings.longest_lease_ms),
            settings.longest_lease_ms,
            settings.status_s * 1_000,
            settings.row_bytes,
            max_batch_bytes(settings.link_mbps),
            self._intake_bounds.job_text_bytes,
        )
        scheduler = StepSchedulerController(
            own_member.instance_id,
            router,
            peers,
            advisor,
            RunnerClient,
            bounds,
            clock,
            self._metrics,
            LeaderPolicies.from_config(
                settings.listing,
                placement=settings.placement,
                preemption=settings.preemption,
                far_factor=settings.far_factor,
                admission=settings.admission,
            ),
        )
        forwarder = ForwardingController(
            own_member.instance_id, scheduler, peers, router, clock
        )
        readiness = ReadinessController(self._readiness_endpoint, clock)
        leadership = LeadershipController(
            own_member, router, peers, scheduler, clock, (forwarder, readiness)
        )
        directory = DirectoryController(
            router,
            DirectoryFormat(
                configuration.OPERATOR_TABLE,
                configuration.WORKER_TABLE,
                configuration.CONFIG_KEY,
                configuration.EVACUATION_PREFIX,
                configuration.parse_config,
                parse_worker,
            ),
            clock,
            self._metrics,
            (scheduler, readiness),
            scheduler,
        )
        scheduler.connect(directory, leadership)
        router.connect((leadership,))
        peers.connect((router, leadership, scheduler))
        self._leadership = leadership
        inbound = StepInboundController(
            leadership, scheduler, advisor, relay_store_client
        )
        actors: tuple[Actor, ...] = (
            store_client,
            relay_store_client,
            advisor,
            router,
            forwarder,
            readiness,
            scheduler,
            leadership,
            inbound,
            directory,
            peers,
        )
        for actor in actors:
            await self._stack.add(actor)
        server = PeerServer(inbound, leadership, self._intake, self.stopping)
        server.listen(settings.peer_port, settings.host)
        self._stack.push_part("PeerServer", server.close)
        self.stopping.add_part("calls", server.count_calls)
        self.stopping.add_part("connections", self._intake.count_open)
        self._listen(directory, forwarder)

    def _listen(self, directory: Actor, forwarder: Actor) -> None:
        environment = QueueFilterEnvironment(
            self._clock,
            self._metrics,
            directory,
            forwarder,
            self._settings.config_apply_ms,
        )
        filters = [
            QUEUE_FILTERS.get(name).from_config(environment)  # type: ignore[arg-type]
            for name in DEFAULT_QUEUE_FILTERS
        ]
        self._frontend = ClientFrontend(
            FilterChain(filters, self._metrics),
            self._clock,
            self._metrics,
            self._intake,
            self.stopping,
        )
        front = self._front_server = self._frontend.make_server()
        for server, address in (
            (front, self._settings.front),
            (self._readiness_endpoint.make_server(), self._settings.ready),
            (
                self._metrics.make_server(self._intake),
                f"{self._settings.host}:{self._settings.metrics_port}",
            ),
        ):
            host, _, port = address.rpartition(":")
            server.listen(int(port), host)
            self._servers.append(server)
            self._stack.push_async_callback(server.close_all_connections)
            self._stack.callback(server.stop)
        # These run before the servers stop, the last one first.
        self._stack.callback(self.stopping.log_held, "clients_closing")
        self._stack.push_part("front", self._finish_front)

    async def drain(self) -> None:
        """Release the leadership and serve requests until clients have disconnected.

        Returns when the waits of all requests end, at the latest. If a part of the
        process has failed, or fails meanwhile, they end at once.
        """
        self._readiness_endpoint.mark_draining()
        front, leadership = self._frontend, self._leadership
        if front is None or leadership is None:
            return
        front.is_draining = True
        if self.failed.is_set():
            self.stopping.end_now()
        self._watch(self.stopping.watch_turns())
        self._watch(self._log_overdue())
        release = leadership.ask(ReleaseLeadership())
        endpoint = self._readiness_endpoint
        await wait_until_drained(
            front, release, self.stopping, lambda: endpoint.is_noticed
        )
        self.stopping.log_held("drained")

    async def _log_overdue(self) -> None:
        """Log what the process holds once half of the time for its end is over."""
        schedule = self.stopping.schedule
        assert schedule is not None
        due_ms = (schedule.close_ms + schedule.exit_ms) // 2
        await asyncio.sleep((due_ms - self._clock.now_ms()) / 1_000)
        self.stopping.log_held("stop_overdue", closing=self._stack.closing)

    def _watch(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task until all parts of the process are closed."""
        self._watchers.callback(asyncio.ensure_future(work).cancel)

    async def _end_on_failure(self) -> None:
        await self.failed.wait()
        self.stopping.end_now()

    async def _finish_front(self) -> None:
        """Answer what is in flight, and serve the connections that wait."""
        schedule, now_ms = self.stopping.schedule, self._clock.now_ms()
        if self._front_server is None or schedule is None:
            return
        left_ms = max(schedule.close_ms - now_ms, LATE_FLUSH_MS)
        await self._front_server.finish(min(left_ms, max(schedule.exit_ms - now_ms, 0)))


def _max_descriptors(settings: InstanceSettings) -> int:
    """Return the number of descriptors that the system lets the process open."""
    wanted = settings.max_fds or DEFAULT_MAX_FDS
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    # It is a negative number.
    return wanted if allowed == resource.RLIM_INFINITY else min(wanted, allowed)


def _exit(status: int) -> NoReturn:
    """End the process, all parts of which are closed.

    With a large state the interpreter takes hundreds of milliseconds for its own end,
    in which it waits for threads, a SIGHUP ends it with that signal, and SIGKILL can
    come first.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


async def _serve(settings: InstanceSettings, path: pathlib.Path) -> NoReturn:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    daemon = EntryDaemon.from_config(settings)

    def request_stop() -> None:
        daemon.stopping.begin(int(settings.shutdown_s * 1_000))
        stop.set()

    loop.add_signal_handler(signal.SIGTERM, request_stop)
    loop.add_signal_handler(signal.SIGINT, request_stop)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, settings)
    async with daemon:
        logs.log_event("started", zone=settings.zone)
        waiters = [
            asyncio.ensure_future(event.wait()) for event in (stop, daemon.failed)
        ]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()
        daemon.stopping.log_held("stopping", failed=str(daemon.failed.is_set()))
        await daemon.drain()
    daemon.stopping.log_held("stopped")
    logs.flush_batches()
    _exit(1 if daemon.failed.is_set() else 0)


def _reload(path: pathlib.Path, current: InstanceSettings) -> None:
    """Log whether the settings have changed; changes apply at the next start."""
    try:
        changed = read_settings(path) != current
    except SettingsError as error:
        logs.log_event("settings_unreadable", reason=error.message)
        return
    logs.log_event("settings_reloaded", changed=str(changed))


def main() -> int:
    """Run the entry instance that the settings file describes.

    Returns:
        The exit status: 0 after an orderly shutdown, 1 if an actor failed, 2 if the
        settings cannot be read.
    """
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = read_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"{error.message}\n")
        return 2
    stream = logs.DroppingStream(sys.stdout.fileno())
    logs.configure(stream, instance=settings.instance_id)
    with contextlib.suppress(KeyboardInterrupt):
        return asyncio.run(_serve(settings, path))
    return 0
