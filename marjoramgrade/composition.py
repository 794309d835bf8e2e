"""Builds the controllers of an entry instance and connects them to each other."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator

import attrs

import marjoramgrade.adapters.peermessages  # noqa: F401 (registers encodings)
from marjoramgrade.actor import Actor
from marjoramgrade.adapters.backend import BackendClient
from marjoramgrade.adapters.peerlink import PeerLink
from marjoramgrade.adapters.platformclient import (
    HttpTable,
    InstanceList,
    PlatformClient,
)
from marjoramgrade.adapters.workerlink import WorkerLink
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.authority import AuthorityController
from marjoramgrade.controllers.config import ConfigController
from marjoramgrade.controllers.dispatch import DispatchController
from marjoramgrade.controllers.inbound import InboundController
from marjoramgrade.controllers.instances import InstancesController
from marjoramgrade.controllers.jobs import JobsController
from marjoramgrade.controllers.members import MembersController
from marjoramgrade.controllers.ownership import OwnershipController
from marjoramgrade.controllers.recordwriter import RecordWriterController
from marjoramgrade.controllers.routes import RoutesController
from marjoramgrade.controllers.shard import ShardController
from marjoramgrade.controllers.watch import WatchController
from marjoramgrade.messages.peers import Member
from marjoramgrade.metrics import Metrics
from marjoramgrade.model import Instance
from marjoramgrade.settings import EntrySettings
from marjoramgrade.store import Store


def shard_of(instance: Instance, shards_per_zone: int) -> str:
    """Return the name of the shard that a worker or backend server belongs to.

    Instances of one rack share a shard, so that gangs can be placed together;
    an instance without a rack is assigned by its id.
    """
    key = instance.rack or instance.instance_id
    digest = hashlib.sha256(key.encode()).digest()
    number = int.from_bytes(digest[:4], "big") % shards_per_zone
    return f"{instance.zone}.{number}"


@attrs.frozen
class ControllerSet:
    """The controllers of an entry instance.

    For each shard, a dispatcher sends requests to backend servers and a scheduler
    runs tasks on workers.
    """

    authority: AuthorityController
    record_writer: RecordWriterController
    watch: WatchController
    routes: RoutesController
    dispatcher_by_shard: dict[str, Actor]
    scheduler_by_shard: dict[str, Actor]
    ownership: OwnershipController
    members: MembersController
    jobs: JobsController
    config: ConfigController
    instances: InstancesController
    inbound: InboundController

    def iter_before_join(self) -> Iterator[Actor]:
        """Yield the controllers to start before the instance becomes a member.

        Each controller starts after the controllers that it tells or asks. They
        stop in reverse order, so that no message goes to a stopped controller.
        """
        yield from (self.authority, self.record_writer, self.watch, self.routes)
        yield from self.dispatcher_by_shard.values()
        yield from self.scheduler_by_shard.values()
        yield from (self.jobs, self.config, self.instances, self.inbound)


@attrs.define
class ControllerBuilder:
    """Builds the controllers of one entry instance.

    Attributes:
        settings: Settings of the instance.
        clock: Source of monotonic time.
        metrics: Metrics that the controllers report.
        platform: Client of the platform.
        backends: Client of the backend servers.
    """

    settings: EntrySettings
    clock: Clock
    metrics: Metrics
    platform: PlatformClient
    backends: BackendClient
    # Holds the jobs controller, which is built after the schedulers that use it.
    _jobs: list[Actor] = attrs.field(factory=list)

    @property
    def shards(self) -> list[str]:
        """Names of the shards of the instance's zone."""
        count = self.settings.shards_per_zone
        return [f"{self.settings.zone}.{number}" for number in range(count)]

    def build_controllers(self) -> ControllerSet:
        """Build the controllers and connect them; none of them is started yet."""
        settings, store = self.settings, Store(HttpTable(self.platform))
        own_member = Member(
            settings.instance_id, settings.zone, settings.host, settings.peer_port
        )
        authority = AuthorityController(own_member, self.clock, self.metrics)
        record_writer, watch = RecordWriterController(store), WatchController()
        routes = RoutesController(
            settings.instance_id, settings.zone, self.clock, self.metrics
        )
        dispatchers: dict[str, Actor] = {
            shard: self._make_dispatcher(shard, store, record_writer, routes)
            for shard in self.shards
        }
        schedulers: dict[str, Actor] = {
            shard: self._make_scheduler(shard, store, record_writer, routes)
            for shard in self.shards
        }
        shard_controllers = (*dispatchers.values(), *schedulers.values())
        ownership = self._make_ownership(store, authority, shard_controllers)
        members = self._make_members(own_member, store, authority, (ownership, routes))
        jobs = self._make_jobs(
            store, record_writer, routes, members, (watch, *schedulers.values())
        )
        self._jobs.append(jobs)
        config = ConfigController(
            store,
            members,
            authority,
            self.clock,
            self.metrics,
            (watch, routes, jobs, authority, *shard_controllers),
        )
        instances = InstancesController(
            InstanceList(self.platform),
            self.metrics,
            (jobs, members, *shard_controllers),
        )
        inbound = InboundController(
            authority, config, jobs, routes, dispatchers, schedulers
        )
        routes.connect(members, dispatchers, schedulers)
        authority.connect(peers=members, config=config, ownership=ownership)
        return ControllerSet(
            authority,
            record_writer,
            watch,
            routes,
            dispatchers,
            schedulers,
            ownership,
            members,
            jobs,
            config,
            instances,
            inbound,
        )

    def _make_dispatcher(
        self, shard: str, store: Store, record_writer: Actor, routes: Actor
    ) -> DispatchController:
        return DispatchController(
            shard,
            self.settings.instance_id,
            self._make_shard_predicate(shard),
            self.backends,
            record_writer,
            store,
            self.clock,
            self.metrics,
            self.settings.max_queued_requests,
            (routes,),
        )

    def _make_scheduler(
        self, shard: str, store: Store, record_writer: Actor, routes: Actor
    ) -> ShardController:
        return ShardController(
            shard,
            self.settings.instance_id,
            self._make_shard_predicate(shard),
            self.settings.policies_by_kind,
            store,
            record_writer,
            WorkerLink,
            self.clock,
            self.metrics,
            routes,
            lambda: self._jobs[0],
        )

    def _make_ownership(
        self, store: Store, authority: Actor, subscribers: tuple[Actor, ...]
    ) -> OwnershipController:
        return OwnershipController(
            self.settings.instance_id,
            self.settings.zone,
            self.shards,
            store,
            authority,
            self.clock,
            self.metrics,
            subscribers,
        )

    def _make_members(
        self,
        own_member: Member,
        store: Store,
        authority: Actor,
        subscribers: tuple[Actor, ...],
    ) -> MembersController:
        settings = self.settings
        return MembersController(
            own_member,
            store,
            authority,
            self.clock,
            lambda member: PeerLink(settings.instance_id, settings.host, member),
            self.metrics,
            (*subscribers, authority),
        )

    def _make_jobs(
        self,
        store: Store,
        record_writer: Actor,
        routes: Actor,
        members: Actor,
        subscribers: tuple[Actor, ...],
    ) -> JobsController:
        settings = self.settings
        return JobsController(
            store,
            record_writer,
            lambda instance: shard_of(instance, settings.shards_per_zone),
            routes,
            members,
            self.metrics,
            self.shards,
            self.clock,
            settings.ended_job_retention_ms,
            subscribers,
        )

    def _make_shard_predicate(self, shard: str) -> Callable[[Instance], bool]:
        count = self.settings.shards_per_zone
        return lambda instance: shard_of(instance, count) == shard
