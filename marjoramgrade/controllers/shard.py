"""Controller of one shard that runs the shard's tasks on its workers."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Mapping

import attrs

from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.grantmanager import GrantManager
from marjoramgrade.controllers.jobwriter import JobWriter
from marjoramgrade.controllers.linkfailures import report_link
from marjoramgrade.controllers.shardtasks import ShardTasks
from marjoramgrade.controllers.zonedrain import ZoneDrain
from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.listings.setaside import SetAsideWorkers
from marjoramgrade.errors import CheckFailedError, MarjoramgradeError, NotOwnerError
from marjoramgrade.logs import log_event
from marjoramgrade.messages.configuration import ConfigConfirmed
from marjoramgrade.messages.instances import InstancesChanged
from marjoramgrade.messages.jobs import (
    GetTasks,
    JobsChanged,
    ShardFence,
    StoredJob,
    TaskStatus,
)
from marjoramgrade.messages.ownership import OwnershipChanged
from marjoramgrade.messages.peers import LinkFailed
from marjoramgrade.messages.routing import TaskSummary
from marjoramgrade.messages.workers import (
    TasksEnded,
    TasksRefused,
    WorkerBatch,
    WorkerConnected,
    WorkerDisconnected,
    WorkerHeartbeat,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.model import Config, Instance, InstanceKind, JobKind
from marjoramgrade.settings import PolicyNames
from marjoramgrade.store import Store, StoredRoster

TICK_MS = 25
SUMMARY_INTERVAL_MS = 250
ROSTER_INTERVAL_MS = 1_000
LOAD_RETRY_MS = 250

MakeLink = Callable[[str, int, Instance, Actor], Actor]


@attrs.frozen
class ShardLoaded(Message[None]):
    """The rows that a new owner of the shard needs have been read."""

    epoch: int
    roster: StoredRoster
    jobs: tuple[StoredJob, ...]


@attrs.frozen
class RosterWritten(Message[None]):
    """The roster row has this content and version after a write or a read."""

    epoch: int
    roster: StoredRoster


class ShardController(Actor):
    """Owns the tasks of one shard while this instance owns the shard.

    Args:
        shard: Name of the shard.
        instance_id: This instance.
        is_member: Returns whether a listed instance belongs to the shard.
        policies_by_kind: Names of the policies of each kind of work.
        store: Typed access to the table.
        record_writer: Writes job rows.
        make_link: Creates the actor that owns the connection to a worker.
        clock: Monotonic time.
        metrics: Counters.
        routes: Receives the shard's load and chooses the target shard of a move.
        jobs: Returns the actor that is told of job rows written here.
    """

    def __init__(
        self,
        shard: str,
        instance_id: str,
        is_member: Callable[[Instance], bool],
        policies_by_kind: Mapping[JobKind, PolicyNames],
        store: Store,
        record_writer: Actor,
        make_link: MakeLink,
        clock: Clock,
        metrics: Metrics,
        routes: Actor,
        jobs: Callable[[], Actor],
    ) -> None:
        super().__init__()
        self._shard = shard
        self._instance_id = instance_id
        self._is_member = is_member
        self._policies_by_kind = policies_by_kind
        self._store = store
        self._make_link = make_link
        self._clock = clock
        self._metrics = metrics
        self._routes = routes
        self._writer = JobWriter(shard, store, record_writer, routes, jobs, metrics)
        self._epoch = 0
        self._owned_until_ms = 0
        self._fence = ShardFence(shard, 0)
        self._config = Config()
        self._config_fresh_until_ms = 0
        self._worker_by_id: dict[str, Instance] = {}
        self._link_by_id: dict[str, Actor] = {}
        self._set_aside = SetAsideWorkers()
        self._state: ShardTasks | None = None
        self._drain: ZoneDrain | None = None
        self._changed_during_load: list[StoredJob] = []

    async def on_start(self) -> None:
        """Start the scheduling loop."""
        self.spawn_critical(self._tick_forever())

    async def on_stop(self) -> None:
        """Close the connections to the workers."""
        await self._close_links()

    # Ownership, configuration and content of the shard

    @handles(OwnershipChanged)
    async def _ownership_changed(self, message: OwnershipChanged) -> None:
        if message.shard != self._shard:
            return
        self._owned_until_ms = message.until_ms
        if message.until_ms == 0:
            self._state = None
            self.spawn(self._close_links())
        elif message.epoch != self._epoch:
            self._epoch = message.epoch
            self._fence = ShardFence(self._shard, message.fence_version)
            self._state = None
            self._changed_during_load.clear()
            self.spawn(self._load(message.epoch))

    @handles(ConfigConfirmed)
    async def _config_confirmed(self, message: ConfigConfirmed) -> None:
        self._config = message.config
        self._config_fresh_until_ms = message.fresh_until_ms
        if self._state is not None:
            self._state.set_config(message.config)

    @handles(InstancesChanged)
    async def _instances_changed(self, message: InstancesChanged) -> None:
        self._worker_by_id = {
            instance.instance_id: instance
            for instance in message.instances
            if instance.kind is InstanceKind.WORKER and self._is_member(instance)
        }
        if self._state is not None:
            await self._sync_workers(self._state)

    @handles(ShardLoaded)
    async def _loaded(self, message: ShardLoaded) -> None:
        if message.epoch != self._epoch or not self._is_owner():
            return
        self._state = ShardTasks.from_rows(
            self._fence,
            self._policies_by_kind,
            GrantManager(
                self._shard, message.epoch, self._store, self._clock, self._metrics
            ),
            message.roster,
            message.jobs,
            self._clock.now_ms(),
        )
        self._drain = ZoneDrain(self._state)
        self._state.set_config(self._config)
        for stored in self._changed_during_load:
            self._state.apply_job(stored, self._clock.now_ms())
        self._changed_during_load.clear()
        log_event("shard_loaded", shard=self._shard, jobs=len(message.jobs))
        await self._sync_workers(self._state)

    @handles(RosterWritten)
    async def _roster_written(self, message: RosterWritten) -> None:
        if self._state is not None and message.epoch == self._epoch:
            self._state.roster = message.roster

    @handles(JobsChanged)
    async def _jobs_changed(self, message: JobsChanged) -> None:
        if self._state is None:
            # The load may miss rows that change while it is in progress.
            self._changed_during_load.extend(
                s for s in message.jobs if self._is_home_of(s)
            )
            return
        for stored in message.jobs:
            self._state.apply_job(stored, self._clock.now_ms())

    @handles(GetTasks)
    async def _get_tasks(self, message: GetTasks) -> tuple[TaskStatus, ...]:
        if self._state is None:
            raise NotOwnerError(f"{self._instance_id} does not own {self._shard}")
        return self._state.tasks_of(message.job_id)

    # Messages from workers

    @handles(WorkerConnected)
    async def _worker_connected(self, message: WorkerConnected) -> None:
        worker = self._worker_by_id.get(message.worker_id)
        if self._state is None or worker is None or message.epoch != self._epoch:
            return
        self._state.reconcile_worker(message, worker, self._clock.now_ms())
        self._send_batches(self._state)

    @handles(WorkerDisconnected)
    async def _worker_disconnected(self, message: WorkerDisconnected) -> None:
        if self._state is not None:
            self._state.sessions.mark_disconnected(message.worker_id)

    @handles(WorkerHeartbeat)
    async def _worker_heartbeat(self, message: WorkerHeartbeat) -> None:
        """Extend a worker's lease while this instance has authority over the shard."""
        state = self._state
        if state is None or not state.sessions.is_connected(message.worker_id):
            return
        if not self._is_owner():
            self._metrics.retried("heartbeat_without_authority")
            return
        now_ms = self._clock.now_ms()
        state.sessions.record_grant(message.worker_id, now_ms)
        worker = self._worker_by_id.get(message.worker_id)
        if worker is not None:
            state.add_listed_worker(worker, now_ms)
        grant = WorkerBatch(
            self._epoch, granted_seq=message.seq, lease_ms=WORKER_LEASE_MS
        )
        self._send(message.worker_id, grant)

    @handles(TasksEnded)
    async def _tasks_ended(self, message: TasksEnded) -> None:
        if self._state is None:
            return
        for end in message.ends:
            self._state.task_ended(message.worker_id, end, self._clock.now_ms())

    @handles(TasksRefused)
    async def _tasks_refused(self, message: TasksRefused) -> None:
        self._metrics.retried(f"worker_refused_{message.reason}")
        if self._state is not None:
            self._state.requeue_refused_tasks(message, self._clock.now_ms())

    # Scheduling, writes and connections

    def _is_home_of(self, stored: StoredJob) -> bool:
        """Return whether the shard is the job's home and is owned here."""
        return self._owned_until_ms > 0 and stored.job.shard == self._shard

    def _is_owner(self) -> bool:
        return self._clock.now_ms() < self._owned_until_ms

    def _may_start(self) -> bool:
        """Return whether tasks may start.

        This instance must own the shard, and a configuration that is known to be
        current must have the zone in the state `in`.
        """
        is_fresh = self._clock.now_ms() < self._config_fresh_until_ms
        zone = self._shard.rpartition(".")[0]
        return self._is_owner() and is_fresh and self._config.is_zone_in(zone)

    async def _tick_forever(self) -> None:
        next_summary_ms = next_roster_ms = 0
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            state = self._state
            if state is None or not self._is_owner():
                continue
            now_ms = self._clock.now_ms()
            state.expire_workers(now_ms)
            if self._set_aside.pop_due(now_ms):
                await self._sync_workers(state)
            if self._may_start():
                state.start_tasks(now_ms)
            if state.grants.is_due(now_ms):
                state.stop_excess_tasks()
                self.spawn(
                    state.grants.refresh(
                        state.usage_by_team(),
                        is_reconciled=state.reconciliation.is_complete(now_ms),
                    )
                )
            state.forward_stops()
            self._send_batches(state)
            self._write_outcomes(state)
            if now_ms >= next_summary_ms:
                next_summary_ms = now_ms + SUMMARY_INTERVAL_MS
                self._publish(state)
            if now_ms >= next_roster_ms:
                next_roster_ms = now_ms + ROSTER_INTERVAL_MS
                self._update_roster(state)
                self._move_jobs(now_ms)

    def _send_batches(self, state: ShardTasks) -> None:
        """Send pending starts, stops and acknowledgements to connected workers.

        The authority over the shard is checked immediately before.
        """
        if not self._is_owner():
            return
        batches = state.outboxes.pop_batches(self._epoch, state.sessions)
        for worker_id, batch in batches.items():
            self._send(worker_id, batch)

    def _send(self, worker_id: str, batch: WorkerBatch) -> None:
        if worker_id in self._link_by_id:
            self._link_by_id[worker_id].tell(batch)

    def _write_outcomes(self, state: ShardTasks) -> None:
        for job_id in state.outcomes.jobs_to_write():
            stored = state.job_by_id.get(job_id)
            if stored is not None:
                self.spawn(self._writer.write(state, stored))

    def _move_jobs(self, now_ms: int) -> None:
        """Move jobs to shards of other zones while this zone is out."""
        drain = self._drain
        if drain is None:
            return
        zone = self._shard.rpartition(".")[0]
        is_known = zone in self._config.zones_by_name
        if not is_known or self._config.is_zone_in(zone):
            drain.end()
            return
        drain.stop_due_tasks(now_ms)
        for stored in drain.begin_moves(now_ms):
            self.spawn(self._move_job(drain, stored))

    async def _move_job(self, drain: ZoneDrain, stored: StoredJob) -> None:
        try:
            await self._writer.move(drain.tasks, stored)
        finally:
            drain.record_move_end(stored.job.job_id, self._clock.now_ms())

    def _update_roster(self, state: ShardTasks) -> None:
        worker_ids = state.wanted_roster(self._worker_by_id)
        if worker_ids != state.roster.worker_ids:
            self.spawn(self._write_roster(state.roster, worker_ids, self._epoch))

    async def _write_roster(
        self, roster: StoredRoster, worker_ids: frozenset[str], epoch: int
    ) -> None:
        try:
            version = await self._store.write_roster(
                self._shard, worker_ids, roster.version
            )
        except CheckFailedError:
            # A previous owner wrote the roster between the load and this write.
            self._metrics.retried("roster_conflict")
            await self._reload_roster(epoch)
        except MarjoramgradeError:
            self._metrics.retried("roster_table_error")
        else:
            self.tell(RosterWritten(epoch, StoredRoster(worker_ids, version)))

    async def _reload_roster(self, epoch: int) -> None:
        try:
            self.tell(RosterWritten(epoch, await self._store.read_roster(self._shard)))
        except MarjoramgradeError:
            self._metrics.retried("roster_table_error")

    async def _load(self, epoch: int) -> None:
        while epoch == self._epoch and self._is_owner():
            try:
                roster = await self._store.read_roster(self._shard)
                jobs = await self._store.read_changed_jobs(0)
            except MarjoramgradeError:
                self._metrics.retried("shard_load_table_error")
                await asyncio.sleep(LOAD_RETRY_MS / 1000)
                continue
            own_jobs = tuple(s for s in jobs.jobs if s.job.shard == self._shard)
            self.tell(ShardLoaded(epoch, roster, own_jobs))
            return

    async def _sync_workers(self, state: ShardTasks) -> None:
        """Connect to every listed worker; drain workers that leave or are unlisted."""
        now_ms = self._clock.now_ms()
        for worker_id, worker in self._worker_by_id.items():
            if worker.leaving:
                state.drain_worker(worker_id, now_ms)
            is_set_aside = self._set_aside.is_set_aside(worker_id, now_ms)
            if worker_id not in self._link_by_id and not is_set_aside:
                link = self._make_link(self._shard, self._epoch, worker, self)
                link.on_fatal = functools.partial(report_link, self, worker_id, link)
                self._link_by_id[worker_id] = link
                await link.start()
        for unlisted_id in set(self._link_by_id) - set(self._worker_by_id):
            state.drain_worker(unlisted_id, now_ms)

    @handles(LinkFailed)
    async def _link_failed(self, message: LinkFailed) -> None:
        """Stop a link that has failed, and link the worker again after a pause."""
        worker_id = message.instance_id
        if self._link_by_id.get(worker_id) is not message.link:
            return
        message.failure.log("worker_link_failed")
        self._metrics.count("set_aside.worker")
        pause_ms = self._set_aside.record_failure(worker_id, self._clock.now_ms())
        log_event(
            "worker_set_aside",
            worker=worker_id,
            reason=message.failure.reason,
            pause_ms=pause_ms,
        )
        self.spawn(self._link_by_id.pop(worker_id).stop())

    async def _close_links(self) -> None:
        links, self._link_by_id = self._link_by_id, {}
        for link in links.values():
            await link.stop()

    def _publish(self, state: ShardTasks) -> None:
        summary = TaskSummary(
            self._shard,
            self._instance_id,
            self._epoch,
            state.total_resources(),
            state.free_resources(),
            state.queued(),
        )
        self._routes.tell(summary)
