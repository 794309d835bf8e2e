"""Accepted jobs: submission, cancellation and the change feed of their rows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.decisions.admission.feasibility import check_job
from marjoramgrade.decisions.retention import EndedJobs
from marjoramgrade.decisions.workers import WorkerNode
from marjoramgrade.errors import (
    CheckFailedError,
    ConflictError,
    MarjoramgradeError,
    NotFoundError,
    OutcomeUnknownError,
    TableRequiredError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.configuration import ConfigConfirmed
from marjoramgrade.messages.instances import InstancesChanged
from marjoramgrade.messages.jobs import (
    CancelJob,
    GetJob,
    GetTasks,
    JobAssigned,
    JobsChanged,
    ListJobs,
    StoredJob,
    SubmitJob,
    TaskStatus,
    WriteJob,
)
from marjoramgrade.messages.peers import TellPeers
from marjoramgrade.messages.routing import ChooseShard
from marjoramgrade.metrics import Metrics
from marjoramgrade.model import (
    Config,
    Instance,
    InstanceKind,
    Job,
    JobSpec,
    JobState,
)
from marjoramgrade.store import Store
from marjoramgrade.table import ABSENT

READ_INTERVAL_MS = 500
MAX_CANCEL_ATTEMPTS = 5
EVICTION_INTERVAL_MS = 10_000


class JobsController(Actor):
    """Owns this instance's cache of the job rows.

    Args:
        store: Typed access to the table.
        record_writer: Writes job rows.
        shard_of: Returns the shard that a worker belongs to.
        routes: Chooses the home shard of a new job and forwards `GetTasks`.
        peers: Sends messages to the other entry instances.
        metrics: Counters.
        own_shards: The shards of this instance's zone.
        clock: Monotonic time.
        retention_ms: Time after which the row of an ended job is deleted.
        subscribers: Actors that are told `JobsChanged`.
    """

    def __init__(
        self,
        store: Store,
        record_writer: Actor,
        shard_of: Callable[[Instance], str],
        routes: Actor,
        peers: Actor,
        metrics: Metrics,
        own_shards: Iterable[str],
        clock: Clock,
        retention_ms: int,
        subscribers: Sequence[Actor],
    ) -> None:
        super().__init__()
        self._store = store
        self._record_writer = record_writer
        self._shard_of = shard_of
        self._config = Config()
        self._workers_by_shard: dict[str, list[WorkerNode]] = {}
        self._routes = routes
        self._peers = peers
        self._metrics = metrics
        self._own_shards = frozenset(own_shards)
        self._clock = clock
        self._ended = EndedJobs(retention_ms)
        self._subscribers = tuple(subscribers)
        self._job_by_id: dict[str, StoredJob] = {}
        self._read_version = 0

    async def on_start(self) -> None:
        """Start to follow the change feed and to evict ended jobs."""
        self.spawn_critical(self._follow_change_feed())
        self.spawn_critical(self._evict_forever())

    @handles(ConfigConfirmed)
    async def _config_confirmed(self, message: ConfigConfirmed) -> None:
        self._config = message.config

    @handles(InstancesChanged)
    async def _instances_changed(self, message: InstancesChanged) -> None:
        workers: dict[str, list[WorkerNode]] = {}
        for instance in message.instances:
            if instance.kind is InstanceKind.WORKER and not instance.leaving:
                node = WorkerNode(
                    instance.instance_id, instance.rack, instance.capacity
                )
                workers.setdefault(self._shard_of(instance), []).append(node)
        self._workers_by_shard = workers

    @handles(SubmitJob)
    async def _submit(self, message: SubmitJob) -> Any:
        return self.spawn(self._accept(message))

    @handles(CancelJob)
    async def _cancel(self, message: CancelJob) -> Any:
        return self.spawn(self._mark_cancelled(message.job_id))

    @handles(GetJob)
    async def _get(self, message: GetJob) -> Any:
        return self.spawn(self._read_newest(message.job_id))

    @handles(ListJobs)
    async def _list(self, message: ListJobs) -> tuple[StoredJob, ...]:
        return tuple(
            stored
            for stored in self._job_by_id.values()
            if message.team in ("", stored.job.spec.team)
        )

    @handles(GetTasks)
    async def _get_tasks(self, message: GetTasks) -> Any:
        return self.spawn(self._find_tasks(message.job_id))

    @handles(JobAssigned)
    async def _assigned(self, message: JobAssigned) -> None:
        # Other zones learn of the job from the change feed without a read per job.
        is_own_shard = message.shard in self._own_shards
        if is_own_shard and message.job_id not in self._job_by_id:
            self.spawn(self._try_read(message.job_id))

    @handles(JobsChanged)
    async def _changed(self, message: JobsChanged) -> None:
        self._apply(message.jobs)

    async def _accept(self, message: SubmitJob) -> StoredJob:
        known = self._job_by_id.get(message.job_id)
        if known is not None:
            return _resolve_resubmission(known, message)
        self._check(message.spec)
        shard = await self._routes.ask(ChooseShard(message.spec))
        job = Job.from_spec(message.job_id, message.spec, shard)
        try:
            stored = await self._record_writer.ask(WriteJob(job, ABSENT))
        except CheckFailedError:
            return _resolve_resubmission(await self._read(message.job_id), message)
        except TableUnavailableError as error:
            raise TableRequiredError(error.message) from error
        except WriteOutcomeUnknownError as error:
            raise OutcomeUnknownError(error.message) from error
        self._apply((stored,))
        self._peers.tell(TellPeers(JobAssigned(message.job_id, shard)))
        return stored

    def _check(self, spec: JobSpec) -> None:
        """Refuse a job that could never run."""
        team = self._config.teams_by_name.get(spec.team)
        if team is None:
            raise NotFoundError(f"there is no team {spec.team}")
        check_job(spec, team, self._workers_by_shard)

    async def _mark_cancelled(self, job_id: str) -> StoredJob:
        for _ in range(MAX_CANCEL_ATTEMPTS):
            stored = await self._read(job_id)
            if stored.job.cancelled or stored.job.state is not JobState.OPEN:
                return stored
            job = attrs.evolve(stored.job, cancelled=True, reason="cancel requested")
            try:
                written = await self._record_writer.ask(WriteJob(job, stored.version))
            except CheckFailedError:
                self._metrics.retried("cancel_conflict")
                continue
            except TableUnavailableError as error:
                raise TableRequiredError(error.message) from error
            self._apply((written,))
            return written
        raise ConflictError(
            f"job {job_id} was changed concurrently at each attempt to cancel it",
            expected_version=stored.version,
            current_version=stored.version,
        )

    async def _find_tasks(self, job_id: str) -> tuple[TaskStatus, ...]:
        known = self._job_by_id.get(job_id)
        stored = known if known is not None else await self._read(job_id)
        if stored.job.state is not JobState.OPEN:
            # The owner of the shard holds only open jobs.
            return TaskStatus.from_ended(stored.job)
        return await self._routes.ask(GetTasks(stored.job.shard, job_id))

    async def _read(self, job_id: str) -> StoredJob:
        try:
            stored = await self._store.read_job(job_id)
        except TableUnavailableError as error:
            raise TableRequiredError(error.message) from error
        if stored is None:
            raise NotFoundError(f"there is no job {job_id}")
        self._apply((stored,))
        return stored

    async def _read_newest(self, job_id: str) -> StoredJob:
        """Read the row, so that no client sees an older state than another did.

        While the table is unreachable, the cached row of this instance is returned.
        """
        try:
            return await self._read(job_id)
        except TableRequiredError:
            known = self._job_by_id.get(job_id)
            if known is None:
                raise
            return known

    async def _try_read(self, job_id: str) -> None:
        try:
            await self._read(job_id)
        except MarjoramgradeError:
            self._metrics.retried("job_read_failed")

    async def _follow_change_feed(self) -> None:
        while True:
            try:
                page = await self._store.read_changed_jobs(self._read_version)
            except MarjoramgradeError:
                self._metrics.retried("jobs_table_error")
            else:
                self._read_version = page.version
                self._apply(page.jobs, page.version)
            await asyncio.sleep(READ_INTERVAL_MS / 1000)

    def _apply(self, jobs: Sequence[StoredJob], read_version: int = 0) -> None:
        """Store newer versions of jobs and tell the subscribers.

        Args:
            jobs: Jobs that were read or written.
            read_version: Commit number up to which the change feed has been read.
                Subscribers are told this number even without newer jobs. Zero if
                the jobs are not a page of the feed.
        """
        newer = tuple(stored for stored in jobs if self._is_newer(stored))
        if not newer and not read_version:
            return
        now_ms = self._clock.now_ms()
        for stored in newer:
            self._job_by_id[stored.job.job_id] = stored
            if stored.job.state is not JobState.OPEN:
                is_own_shard = stored.job.shard in self._own_shards
                self._ended.record(stored.job, stored.version, is_own_shard, now_ms)
        for subscriber in self._subscribers:
            subscriber.tell(JobsChanged(newer, read_version))

    async def _evict_forever(self) -> None:
        """Evict ended jobs from memory and delete rows after the retention time."""
        while True:
            await asyncio.sleep(EVICTION_INTERVAL_MS / 1000)
            now_ms = self._clock.now_ms()
            for job_id in self._ended.pop_evictable(now_ms):
                self._job_by_id.pop(job_id, None)
            expired = self._ended.pop_expired(now_ms)
            if not expired:
                continue
            try:
                await self._store.delete_jobs(expired)
            except MarjoramgradeError:
                # Another instance of the zone may have deleted them.
                self._metrics.retried("retention_table_error")

    def _is_newer(self, stored: StoredJob) -> bool:
        if self._ended.is_evicted(stored.job, stored.version):
            return False
        known = self._job_by_id.get(stored.job.job_id)
        return known is None or known.version < stored.version


def _resolve_resubmission(stored: StoredJob, message: SubmitJob) -> StoredJob:
    """Return the accepted job if the submission repeats it.

    Raises:
        ConflictError: If the id belongs to a job with another specification.
    """
    if stored.job.spec == message.spec:
        return stored
    raise ConflictError(
        f"job {message.job_id} exists with another specification",
        expected_version=ABSENT,
        current_version=stored.version,
    )
