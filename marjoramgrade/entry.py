"""Composition of an entry instance: the only module that knows every part."""

from __future__ import annotations

import asyncio
import hashlib
import pathlib
import signal
import sys
from collections.abc import Callable

from marjoramgrade import logs, metrics
from marjoramgrade.actor import Actor, ActorGroup
from marjoramgrade.adapters.backend import BackendClient
from marjoramgrade.adapters.httpfront import FrontState, make_server
from marjoramgrade.adapters.peerlink import PeerLink, PeerServer
from marjoramgrade.adapters.platform import HttpTable, InstanceList, PlatformClient
from marjoramgrade.adapters.workerlink import WorkerLink
from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers.authority import AuthorityController
from marjoramgrade.controllers.config import ConfigController
from marjoramgrade.controllers.dispatch import DispatchController
from marjoramgrade.controllers.inbound import InboundController
from marjoramgrade.controllers.instances import InstancesController
from marjoramgrade.controllers.jobs import JobsController
from marjoramgrade.controllers.journal import JournalController
from marjoramgrade.controllers.members import MembersController
from marjoramgrade.controllers.ownership import OwnershipController
from marjoramgrade.controllers.routes import SEND_INTERVAL_MS, RoutesController
from marjoramgrade.controllers.shard import ShardController
from marjoramgrade.controllers.watch import WatchController
from marjoramgrade.decisions.placement import PLACEMENTS
from marjoramgrade.decisions.preemption import PREEMPTIONS
from marjoramgrade.decisions.queues import QUEUE_ORDERS
from marjoramgrade.decisions.retries import RETRIES
from marjoramgrade.filters import access, requests, route  # noqa: F401  registers
from marjoramgrade.filters.chain import FILTERS, Chain, Environment
from marjoramgrade.messages import DrainRequests, GetSummaries, Member, ReleaseShards
from marjoramgrade.model import Instance
from marjoramgrade.settings import EntrySettings
from marjoramgrade.settingsfile import KnownNames, read_entry_settings
from marjoramgrade.store import Store

KNOWN_NAMES = KnownNames.from_registries(
    FILTERS,
    queue_order=QUEUE_ORDERS,
    placement=PLACEMENTS,
    preemption=PREEMPTIONS,
    retry=RETRIES,
)
FLUSH_INTERVAL_MS = 1_000
SHUTDOWN_POLL_MS = 20


def shard_of(instance: Instance, shards_per_zone: int) -> str:
    """Return the shard that a worker or backend server belongs to.

    Instances of one rack share a shard, so that gangs can be placed together;
    without a rack the id decides.
    """
    key = instance.rack or instance.instance_id
    digest = hashlib.sha256(key.encode()).digest()
    number = int.from_bytes(digest[:4], "big") % shards_per_zone
    return f"{instance.zone}.{number}"


class EntryInstance:
    """One entry instance; an asynchronous context manager that owns its parts.

    Args:
        settings: Everything it learns at its start.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._stack = ActorGroup()
        self._clock = SystemClock()
        self._metrics = metrics.from_config(settings.statsd_host, settings.statsd_port)
        self._state: FrontState | None = None
        self._ownership: OwnershipController | None = None
        self._routes: RoutesController | None = None
        self._dispatchers: tuple[Actor, ...] = ()

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

    async def wait_until(self, stop: asyncio.Event) -> None:
        """Wait for the request to stop, or for a failure of one of the parts."""
        waits = [
            asyncio.ensure_future(event.wait()) for event in (stop, self._stack.failed)
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    async def drain(self) -> None:
        """Refuse new requests, let running ones end and hand the shards over."""
        assert self._state is not None and self._ownership is not None
        logs.state_change("shutting_down")
        self._state.is_ready = False
        until_ms = self._clock.now_ms() + self._settings.shutdown_ms
        while self._state.in_flight and self._clock.now_ms() < until_ms:
            await asyncio.sleep(SHUTDOWN_POLL_MS / 1000)
        await asyncio.gather(*(d.ask(DrainRequests()) for d in self._dispatchers))
        await self._ownership.ask(ReleaseShards())
        await self._wait_for_new_owners()

    async def _wait_for_new_owners(self) -> None:
        """Answer peers until they know that this instance owns nothing.

        A request that arrives on a connection as it closes would have an unknown
        outcome; until then it is refused as not run.
        """
        assert self._routes is not None
        own_id = self._settings.instance_id
        while own_id in (await self._routes.ask(GetSummaries())).owners():
            await asyncio.sleep(SHUTDOWN_POLL_MS / 1000)
        # Other peers hear of the new owner with its next summary.
        await asyncio.sleep(SEND_INTERVAL_MS / 1000)

    async def _start(self) -> None:
        settings, clock, counters = self._settings, self._clock, self._metrics
        self._stack.callback(counters.close)
        platform = PlatformClient(settings.platform_url, settings.instance_id)
        self._stack.callback(platform.close)
        backends = BackendClient(settings.max_body_bytes)
        self._stack.callback(backends.close)
        store = Store(HttpTable(platform))
        own = Member(
            settings.instance_id, settings.zone, settings.host, settings.peer_port
        )

        authority = AuthorityController(own, clock, counters)
        journal = JournalController(store)
        watch = WatchController()
        routes = RoutesController(settings.instance_id, settings.zone, clock, counters)
        jobs_holder: list[Actor] = []
        shards = [f"{settings.zone}.{n}" for n in range(settings.shards_per_zone)]
        dispatchers: dict[str, Actor] = {}
        schedulers: dict[str, Actor] = {}
        for shard in shards:
            is_member = self._membership_of(shard)
            dispatchers[shard] = DispatchController(
                shard,
                settings.instance_id,
                is_member,
                backends,
                journal,
                store,
                clock,
                counters,
                settings.max_queued_requests,
                (routes,),
            )
            schedulers[shard] = ShardController(
                shard,
                settings.instance_id,
                is_member,
                settings.policies_by_kind,
                store,
                journal,
                WorkerLink,
                clock,
                counters,
                routes,
                lambda: jobs_holder[0],
            )
        self._routes = routes
        self._dispatchers = tuple(dispatchers.values())
        by_shard = (*dispatchers.values(), *schedulers.values())
        self._ownership = OwnershipController(
            settings.instance_id,
            settings.zone,
            shards,
            store,
            authority,
            clock,
            counters,
            by_shard,
        )
        members = MembersController(
            own,
            store,
            authority,
            clock,
            lambda member: PeerLink(settings.instance_id, settings.host, member),
            counters,
            (self._ownership, routes, authority),
        )
        jobs = JobsController(
            store,
            journal,
            lambda instance: shard_of(instance, settings.shards_per_zone),
            routes,
            members,
            counters,
            shards,
            clock,
            settings.ended_job_retention_ms,
            (watch, *schedulers.values()),
        )
        jobs_holder.append(jobs)
        routes.connect(members, dispatchers, schedulers)
        config = ConfigController(
            store,
            members,
            authority,
            clock,
            counters,
            (watch, routes, jobs, authority, *by_shard),
        )
        instances = InstancesController(
            InstanceList(platform), counters, (jobs, members, *by_shard)
        )
        inbound = InboundController(
            authority, config, jobs, routes, dispatchers, schedulers
        )
        authority.connect(peers=members, config=config, ownership=self._ownership)

        for actor in (
            authority,
            journal,
            watch,
            routes,
            *dispatchers.values(),
            *schedulers.values(),
            jobs,
            config,
            instances,
            inbound,
        ):
            await self._stack.add(actor)
        peer_server = PeerServer(inbound)
        peer_server.listen(settings.peer_port, address=settings.host)
        self._stack.push_async_callback(peer_server.close)
        await self._stack.add(members)
        await self._stack.add(self._ownership)

        environment = Environment(
            settings, clock, counters, config, routes, jobs, instances, watch
        )
        self._state = FrontState(
            Chain.from_config(environment),
            watch,
            clock,
            counters,
            settings.max_body_bytes,
        )
        server = make_server(self._state, settings.max_body_bytes)
        server.listen(settings.http_port, address=settings.host)
        self._stack.push_async_callback(server.close_all_connections)
        self._stack.callback(server.stop)
        flusher = asyncio.create_task(self._flush_forever())
        self._stack.callback(flusher.cancel)
        logs.state_change("started", zone=settings.zone)

    def _membership_of(self, shard: str) -> Callable[[Instance], bool]:
        count = self._settings.shards_per_zone
        return lambda instance: shard_of(instance, count) == shard

    async def _flush_forever(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_MS / 1000)
            self._metrics.flush()


async def serve(settings: EntrySettings) -> None:
    """Run an entry instance until SIGTERM or SIGINT."""
    logs.configure(sys.stderr, instance=settings.instance_id)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with EntryInstance.from_config(settings) as instance:
        await instance.wait_until(stop)
        await instance.drain()
    logs.state_change("stopped")


def run(settings: EntrySettings) -> None:
    """Run an entry instance; the entry point of the daemon."""
    asyncio.run(serve(settings))


def run_file(path: pathlib.Path) -> None:
    """Run an entry instance with the settings in a file."""
    run(read_entry_settings(path, KNOWN_NAMES))
