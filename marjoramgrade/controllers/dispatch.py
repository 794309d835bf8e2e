"""Controller that dispatches requests to the backend servers of one shard."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import attrs

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.grantmanager import GrantManager
from marjoramgrade.decisions.requestqueue import RequestQueue
from marjoramgrade.decisions.slots import SlotPool
from marjoramgrade.errors import (
    AnswerTimeoutError,
    BackendFailedError,
    DeadlineExceededError,
    LedgerUnavailableError,
    MarjoramgradeError,
    NoBackendError,
    NotOwnerError,
    OutcomeUnknownError,
    OverloadedError,
    StaleAuthorityError,
    TableError,
    UnauthenticatedError,
)
from marjoramgrade.messages.configuration import ConfigConfirmed
from marjoramgrade.messages.instances import InstancesChanged
from marjoramgrade.messages.jobs import RecordRequestId
from marjoramgrade.messages.ownership import DrainRequests, OwnershipChanged
from marjoramgrade.messages.requests import BackendFenceReply, RunReply, RunRequest
from marjoramgrade.messages.routing import DispatchSummary
from marjoramgrade.metrics import Metrics
from marjoramgrade.model import Config, Instance, InstanceKind
from marjoramgrade.resources import Resources
from marjoramgrade.store import Store

TICK_MS = 50
PROBE_INTERVAL_MS = 250
SUMMARY_INTERVAL_MS = 250
CONNECTIONS_PER_BACKEND = 64
ONE_SLOT = Resources(slots=1)


class Backends(Protocol):
    """Connections to the backend servers."""

    async def run(
        self, backend: Instance, epoch: int, request: RunRequest, timeout_ms: int
    ) -> RunReply:
        """Send a request and return the complete response."""
        ...

    async def fence(self, backend: Instance, epoch: int) -> BackendFenceReply:
        """Raise the epoch that the server enforces and return its slots in use."""
        ...


@attrs.define
class _Waiting:
    """A request that waits for a slot."""

    request: RunRequest
    deadline_ms: int
    reply: asyncio.Future[RunReply]


class DispatchController(Actor):
    """Owns the slots of a shard's backend servers and the requests for them.

    Args:
        shard: Name of the shard.
        instance_id: This instance.
        is_member: Returns whether a listed instance belongs to the shard.
        backends: Connections to the backend servers.
        record_writer: Records the ids of non-idempotent requests.
        store: Typed access to the table.
        clock: Monotonic time.
        metrics: Counters.
        max_queued: Number of requests that may wait for each service.
        routes: Actors that receive the shard's load.
    """

    def __init__(
        self,
        shard: str,
        instance_id: str,
        is_member: Callable[[Instance], bool],
        backends: Backends,
        record_writer: Actor,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        max_queued: int,
        routes: Sequence[Actor],
    ) -> None:
        super().__init__()
        self._shard = shard
        self._zone = shard.rpartition(".")[0]
        self._instance_id = instance_id
        self._is_member = is_member
        self._backends = backends
        self._record_writer = record_writer
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._max_queued = max_queued
        self._routes = tuple(routes)
        self._slots = SlotPool()
        self._running_by_team: Counter[str] = Counter()
        self._waiting_by_send: dict[asyncio.Task[None], _Waiting] = {}
        self._is_draining = False
        self._backend_by_id: dict[str, Instance] = {}
        self._queue_by_service: dict[str, RequestQueue[_Waiting]] = {}
        self._epoch = 0
        self._owned_until_ms = 0
        self._config = Config()
        self._grants = self._make_grants(0)
        self._config_fresh_until_ms = 0
        self._probing: set[str] = set()

    async def on_start(self) -> None:
        """Start the loop that dispatches, probes servers and publishes the load."""
        self.spawn_critical(self._tick_forever())

    async def on_stop(self) -> None:
        """Refuse the requests that still wait; they have not run."""
        for queue in self._queue_by_service.values():
            for waiting in queue.iter_items():
                _refuse(waiting, NotOwnerError("the instance has stopped"))

    @handles(OwnershipChanged)
    async def _ownership_changed(self, message: OwnershipChanged) -> None:
        if message.shard != self._shard:
            return
        if message.epoch != self._epoch:
            self._epoch = message.epoch
            self._slots = SlotPool()
            self._grants = self._make_grants(message.epoch)
            self._sync_backends()
        self._owned_until_ms = message.until_ms

    @handles(ConfigConfirmed)
    async def _config_confirmed(self, message: ConfigConfirmed) -> None:
        self._config = message.config
        self._config_fresh_until_ms = message.fresh_until_ms
        self._grants.set_config(message.config)

    @handles(InstancesChanged)
    async def _instances_changed(self, message: InstancesChanged) -> None:
        self._backend_by_id = {
            instance.instance_id: instance
            for instance in message.instances
            if instance.kind is InstanceKind.BACKEND and self._is_member(instance)
        }
        self._sync_backends()

    @handles(RunRequest)
    async def _run(self, message: RunRequest) -> Any:
        if self._is_draining or not self._is_owner():
            raise NotOwnerError(f"{self._instance_id} does not own {self._shard}")
        queue = self._queue_by_service.setdefault(message.service, RequestQueue())
        if len(queue) >= self._max_queued:
            raise OverloadedError(f"the queue of {message.service} is full")
        deadline_ms = self._clock.now_ms() + message.remaining_ms
        reply: asyncio.Future[RunReply] = asyncio.get_running_loop().create_future()
        queue.push(message.team, _Waiting(message, deadline_ms, reply))
        self._dispatch(message.service)
        return reply

    @handles(DrainRequests)
    async def _drain(self, message: DrainRequests) -> Any:
        self._is_draining = True
        for queue in self._queue_by_service.values():
            for waiting in queue.pop_if(lambda item: True):
                _refuse(waiting, NotOwnerError("the shard is being released"))
        return self.spawn(self._finish_sends(message.remaining_ms))

    async def _finish_sends(self, remaining_ms: int) -> None:
        """Wait for the dispatched requests, and answer those that take too long."""
        until_ms = self._clock.now_ms() + remaining_ms
        while self._waiting_by_send:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            await asyncio.wait(self._waiting_by_send, timeout=left_ms / 1000)
        for waiting in self._waiting_by_send.values():
            error = OutcomeUnknownError("the owner stops before the outcome is known")
            _refuse(waiting, error)

    def _make_grants(self, epoch: int) -> GrantManager:
        grants = GrantManager(
            f"{self._shard}:requests", epoch, self._store, self._clock, self._metrics
        )
        grants.set_config(self._config)
        return grants

    def _is_owner(self) -> bool:
        return self._clock.now_ms() < self._owned_until_ms

    def _sync_backends(self) -> None:
        """Update the slot pool to match the platform's list."""
        for backend_id, backend in self._backend_by_id.items():
            slots = backend.capacity.slots
            self._slots.add(backend_id, backend.service, slots, CONNECTIONS_PER_BACKEND)
            if backend.leaving:
                self._slots.mark_leaving(backend_id)
        for backend_id in self._slots.backend_ids() - set(self._backend_by_id):
            self._slots.remove(backend_id)

    def _dispatch(self, service: str) -> None:
        """Send waiting requests while there are free slots."""
        queue = self._queue_by_service.get(service)
        while queue and self._config.is_zone_in(self._zone):
            if not self._slots.free_slots(service):
                return
            waiting = queue.pop(self._may_run, self._weighted_usage_of)
            if waiting is None:
                return
            refusal = self._refusal_of(waiting)
            if refusal is not None:
                _refuse(waiting, refusal)
                continue
            backend_id = self._slots.acquire(service)
            assert backend_id is not None
            self._running_by_team[waiting.request.team] += 1
            send_task = self.spawn(self._send(waiting, backend_id))
            self._waiting_by_send[send_task] = waiting
            send_task.add_done_callback(self._waiting_by_send.pop)

    def _may_run(self, team: str) -> bool:
        return self._grants.may_use(team, ONE_SLOT, self._usage_of(team))

    def _usage_of(self, team: str) -> Resources:
        """Return an upper bound on the slots that a team uses.

        Requests of a previous owner and abandoned requests may belong to any team,
        so they count against every team.
        """
        slots = self._running_by_team[team] + self._slots.untracked_total()
        return Resources(slots=slots)

    def _weighted_usage_of(self, team: str) -> float:
        """Return a team's requests in flight divided by its share."""
        known = self._config.teams_by_name.get(team)
        return self._running_by_team[team] / (known.share if known else 1)

    def _refusal_of(self, waiting: _Waiting) -> MarjoramgradeError | None:
        """Return the error that rules out a dispatch now or later, or None."""
        now_ms = self._clock.now_ms()
        request = waiting.request
        if now_ms >= waiting.deadline_ms:
            return DeadlineExceededError("the deadline passed before the dispatch")
        if not self._is_owner():
            return NotOwnerError(f"{self._instance_id} no longer owns {self._shard}")
        service = self._config.services_by_name.get(request.service)
        is_open_to_all = service is None or service.team == ""
        if is_open_to_all and now_ms >= self._config_fresh_until_ms:
            return StaleAuthorityError("the configuration is not known to be current")
        key = self._config.keys_by_name.get(request.key_name)
        if key is None or key.team != request.team:
            return UnauthenticatedError(f"key {request.key_name} was withdrawn")
        return None

    async def _send(self, waiting: _Waiting, backend_id: str) -> None:
        """Send one request; its slot is released or abandoned in every case."""
        request = waiting.request
        epoch, slots = self._epoch, self._slots
        try:
            if not request.idempotent:
                await self._record(request)
            refusal = self._refusal_of(waiting)
            if refusal is not None or epoch != self._epoch:
                raise refusal or NotOwnerError("the epoch changed before the dispatch")
            timeout_ms = waiting.deadline_ms - self._clock.now_ms()
            backend = self._backend_by_id.get(backend_id)
            if backend is None:
                raise NoBackendError(f"backend server {backend_id} is no longer listed")
            reply = await self._backends.run(backend, epoch, request, timeout_ms)
        except OutcomeUnknownError as error:
            now_ms = self._clock.now_ms()
            slots.abandon(backend_id, now_ms)
            if not isinstance(error, AnswerTimeoutError):
                slots.mark_failed(backend_id, now_ms)
            _refuse(waiting, error)
        except BackendFailedError as error:
            slots.release_failed(backend_id, self._clock.now_ms())
            _refuse(waiting, error)
        except MarjoramgradeError as error:
            slots.release(backend_id)
            if isinstance(error, NoBackendError):
                slots.mark_failed(backend_id, self._clock.now_ms())
            _refuse(waiting, error)
        else:
            slots.release(backend_id)
            if not waiting.reply.done():
                waiting.reply.set_result(reply)
        finally:
            self._running_by_team[request.team] -= 1
        self._dispatch(request.service)

    async def _record(self, request: RunRequest) -> None:
        """Make the id of a non-idempotent request durable before it runs.

        Raises:
            DuplicateRequestError: If the id was recorded before.
            LedgerUnavailableError: If it cannot be recorded now.
        """
        try:
            await self._record_writer.ask(
                RecordRequestId(request.team, request.request_id)
            )
        except TableError as error:
            raise LedgerUnavailableError(error.message) from error

    async def _tick_forever(self) -> None:
        next_probe_ms = next_summary_ms = 0
        while True:
            now_ms = self._clock.now_ms()
            for service, queue in list(self._queue_by_service.items()):
                self._expire(queue)
                self._dispatch(service)
            if self._is_owner() and self._grants.is_due(now_ms):
                self.spawn(self._refresh_grants())
            if self._is_owner() and now_ms >= next_probe_ms:
                next_probe_ms = now_ms + PROBE_INTERVAL_MS
                self._start_due_probes(now_ms)
            if self._is_owner() and now_ms >= next_summary_ms:
                next_summary_ms = now_ms + SUMMARY_INTERVAL_MS
                self._publish()
            await asyncio.sleep(TICK_MS / 1000)

    def _expire(self, queue: RequestQueue[_Waiting]) -> None:
        """Refuse requests whose deadline passed, at any position in the queue."""
        now_ms = self._clock.now_ms()
        for waiting in queue.pop_if(lambda item: now_ms >= item.deadline_ms):
            _refuse(waiting, DeadlineExceededError("the deadline passed in the queue"))

    async def _refresh_grants(self) -> None:
        teams = self._config.teams_by_name
        await self._grants.refresh(
            {team: self._usage_of(team) for team in teams},
            is_reconciled=self._slots.untracked_total() == 0,
        )

    def _start_due_probes(self, now_ms: int) -> None:
        for backend_id in self._slots.due_probes(now_ms):
            if backend_id not in self._probing:
                self._probing.add(backend_id)
                self.spawn(self._probe(backend_id))

    async def _probe(self, backend_id: str) -> None:
        epoch, slots = self._epoch, self._slots
        backend = self._backend_by_id.get(backend_id)
        asked_ms = self._clock.now_ms()
        try:
            if backend is None:
                return
            answer = await self._backends.fence(backend, epoch)
        except NotOwnerError:
            self._owned_until_ms = 0
        except MarjoramgradeError:
            slots.mark_failed(backend_id, self._clock.now_ms())
        else:
            slots.record_count(backend_id, answer.in_use, asked_ms)
            if slots is self._slots:
                self._dispatch(backend.service)
        finally:
            self._probing.discard(backend_id)

    def _publish(self) -> None:
        services = {backend.service for backend in self._backend_by_id.values()}
        is_in = self._config.is_zone_in(self._zone)
        free = {name: self._slots.free_slots(name) if is_in else 0 for name in services}
        queued = sum(len(queue) for queue in self._queue_by_service.values())
        summary = DispatchSummary(
            self._shard, self._instance_id, self._epoch, free, queued
        )
        for routes in self._routes:
            routes.tell(summary)


def _refuse(waiting: _Waiting, error: MarjoramgradeError) -> None:
    if not waiting.reply.done():
        waiting.reply.set_exception(error)
