"""Routes requests and jobs to shards by the load summaries of all owners."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.clock import Clock
from marjoramgrade.decisions.retries import (
    Attempt,
    Backoff,
    RetryBudget,
    RetryDecision,
    RetryVerdict,
    decide_retry,
)
from marjoramgrade.errors import (
    DeadlineExceededError,
    MarjoramgradeError,
    NoBackendError,
    NotOwnerError,
    OutcomeUnknownError,
    OverloadedError,
    OwnerUnreachableError,
    ShuttingDownError,
)
from marjoramgrade.messages.configuration import ConfigConfirmed
from marjoramgrade.messages.jobs import GetTasks
from marjoramgrade.messages.peers import CallPeer, MembersChanged, TellPeers
from marjoramgrade.messages.requests import RunReply, RunRequest
from marjoramgrade.messages.routing import (
    ChooseShard,
    DispatchSummary,
    GetSummaries,
    InstanceSummary,
    Summaries,
    TaskSummary,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.model import Config, JobKind

# Summaries older than this are ignored.
SUMMARY_LIFETIME_MS = 3_000
SEND_INTERVAL_MS = 500
# An unchanged summary is sent again at half its lifetime, so that it does not expire
# if one message is delayed.
REPEAT_INTERVAL_MS = 1_500
READ_TIMEOUT_MS = 2_000
# Errors after which another shard may be tried. The failure of a request that ran
# on a backend server is the final response.
RETRYABLE_ERRORS = (
    NoBackendError,
    NotOwnerError,
    OutcomeUnknownError,
    OverloadedError,
    OwnerUnreachableError,
    ShuttingDownError,
)
# Time reserved before the deadline for sending the response to the client.
REPLY_MARGIN_MS = 5
# An owner refuses a queued request at its first tick (50 ms) after the deadline,
# or later if its event loop lags. The refusal, which states that the request did
# not run, has to arrive before the deadline filter times out.
REFUSAL_GRACE_MS = 1_000


@attrs.define
class _TimedSummary:
    """A summary with the time at which it arrived or was last sent."""

    summary: Any
    time_ms: int


class RoutesController(Actor):
    """Owns the table of shards, their owners and their load.

    Args:
        instance_id: This instance.
        zone: Zone of this instance, whose shards are preferred.
        clock: Monotonic time.
        metrics: Counters.
    """

    def __init__(
        self, instance_id: str, zone: str, clock: Clock, metrics: Metrics
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._peers: Actor | None = None
        self._dispatcher_by_shard: dict[str, Actor] = {}
        self._scheduler_by_shard: dict[str, Actor] = {}
        self._dispatch_by_shard: dict[str, _TimedSummary] = {}
        self._tasks_by_shard: dict[str, _TimedSummary] = {}
        self._summary_by_instance: dict[str, InstanceSummary] = {}
        self._sent_by_subject: dict[tuple[type, str], _TimedSummary] = {}
        self._config = Config()
        self._budget = RetryBudget()
        self._random = random.Random(instance_id)

    def connect(
        self,
        peers: Actor,
        dispatcher_by_shard: Mapping[str, Actor],
        scheduler_by_shard: Mapping[str, Actor],
    ) -> None:
        """Set the actors that messages are routed to; called before the start."""
        self._peers = peers
        self._dispatcher_by_shard = dict(dispatcher_by_shard)
        self._scheduler_by_shard = dict(scheduler_by_shard)

    async def on_start(self) -> None:
        """Start sending the summaries of owned shards to the peers."""
        self.spawn_critical(self._send_summaries())

    @handles(ConfigConfirmed)
    async def _config_confirmed(self, message: ConfigConfirmed) -> None:
        self._config = message.config

    @handles(DispatchSummary)
    async def _dispatch_summary(self, message: DispatchSummary) -> None:
        _store_summary(self._dispatch_by_shard, message, self._clock.now_ms())

    @handles(TaskSummary)
    async def _task_summary(self, message: TaskSummary) -> None:
        _store_summary(self._tasks_by_shard, message, self._clock.now_ms())

    @handles(InstanceSummary)
    async def _instance_summary(self, message: InstanceSummary) -> None:
        self._summary_by_instance[message.instance_id] = message

    @handles(MembersChanged)
    async def _members_changed(self, message: MembersChanged) -> None:
        """Store one summary per member, with version zero until one arrives."""
        # A new member has no summaries yet, so all are sent again.
        self._sent_by_subject.clear()
        self._summary_by_instance = {
            member.instance_id: self._summary_by_instance.get(
                member.instance_id, InstanceSummary(member.instance_id, member.zone, 0)
            )
            for member in message.members
        }

    @handles(GetSummaries)
    async def _get_summaries(self, message: GetSummaries) -> Summaries:
        return Summaries(
            tuple(self._current(self._dispatch_by_shard)),
            tuple(self._current(self._tasks_by_shard)),
            tuple(self._summary_by_instance.values()),
        )

    @handles(RunRequest)
    async def _run(self, message: RunRequest) -> Any:
        return self.spawn(self._run_with_retries(message))

    @handles(GetTasks)
    async def _get_tasks(self, message: GetTasks) -> Any:
        timed = self._tasks_by_shard.get(message.shard)
        if timed is None:
            raise OwnerUnreachableError(f"shard {message.shard} has no known owner")
        if timed.summary.owner == self._instance_id:
            return self.spawn(self._scheduler_by_shard[message.shard].ask(message))
        return self.spawn(self._call(timed.summary.owner, message, READ_TIMEOUT_MS))

    @handles(ChooseShard)
    async def _choose_shard(self, message: ChooseShard) -> str:
        """Choose the less loaded of two random shards with the capacity for the job."""
        spec = message.spec
        count = spec.tasks if spec.kind is JobKind.GANG else 1
        fitting = [
            summary
            for summary in self._current(self._tasks_by_shard)
            if self._is_zone_in(summary.shard)
            and spec.resources.scaled(count, 1).fits(summary.total)
        ]
        if not fitting:
            raise OwnerUnreachableError(
                "no shard with a current owner has the capacity for the job"
            )
        choices = self._random.sample(fitting, min(2, len(fitting)))
        chosen: str = min(choices, key=lambda s: _load_key(s)).shard
        return chosen

    async def _run_with_retries(self, request: RunRequest) -> RunReply:
        """Try shards until one replies or a retry could run the request twice."""
        deadline_ms = self._clock.now_ms() + request.remaining_ms - REPLY_MARGIN_MS
        tried: set[str] = set()
        attempts = 0
        self._budget.record_request()
        while True:
            attempts += 1
            summary = self._choose_backend_shard(request.service, tried)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                raise DeadlineExceededError("the deadline passed before the dispatch")
            routed = attrs.evolve(
                request, shard=summary.shard, remaining_ms=remaining_ms
            )
            try:
                return await self._run_on(summary, routed)
            except MarjoramgradeError as error:
                tried.add(summary.shard)
                decision = self._decide(request, error, attempts, deadline_ms)
                if decision.verdict is not RetryVerdict.RETRY:
                    raise
                self._metrics.retried(error.code)
                await asyncio.sleep(decision.delay_ms / 1000)

    def _decide(
        self,
        request: RunRequest,
        error: MarjoramgradeError,
        attempts: int,
        deadline_ms: int,
    ) -> RetryDecision:
        if not isinstance(error, RETRYABLE_ERRORS):
            return RetryDecision(RetryVerdict.NOT_SAFE)
        attempt = Attempt(request.idempotent, error.ran, True, attempts, deadline_ms)
        return decide_retry(attempt, Backoff(), self._budget, self._clock.now_ms())

    async def _run_on(self, summary: DispatchSummary, request: RunRequest) -> RunReply:
        if summary.owner == self._instance_id:
            reply: RunReply = await self._dispatcher_by_shard[summary.shard].ask(
                request
            )
        else:
            timeout_ms = request.remaining_ms + REFUSAL_GRACE_MS
            reply = await self._call(summary.owner, request, timeout_ms)
        return reply

    async def _call(
        self, instance_id: str, message: Message[Any], timeout_ms: int
    ) -> Any:
        if self._peers is None:
            raise OwnerUnreachableError("no peers are known yet")
        return await self._peers.ask(CallPeer(instance_id, message, timeout_ms))

    def _choose_backend_shard(self, service: str, tried: set[str]) -> DispatchSummary:
        """Choose a shard for a request, preferring free slots and then this zone."""
        known: list[DispatchSummary] = [
            summary
            for summary in self._current(self._dispatch_by_shard)
            if service in summary.free_slots_by_service
            and self._is_zone_in(summary.shard)
        ]
        untried = [summary for summary in known if summary.shard not in tried] or known
        if not untried:
            raise NoBackendError(f"no shard serves {service}")
        free = [s for s in untried if s.free_slots_by_service[service] > s.queued]
        if not free:
            return min(untried, key=lambda summary: summary.queued)
        local = [s for s in free if _zone_of(s.shard) == self._zone]
        choices = local or free
        return self._random.choices(
            choices, [s.free_slots_by_service[service] for s in choices]
        )[0]

    def _is_zone_in(self, shard: str) -> bool:
        return self._config.is_zone_in(_zone_of(shard))

    def _current(self, timed_by_shard: Mapping[str, _TimedSummary]) -> Iterator[Any]:
        """Yield the summaries that are not older than their lifetime."""
        oldest_ms = self._clock.now_ms() - SUMMARY_LIFETIME_MS
        for timed in timed_by_shard.values():
            if timed.time_ms >= oldest_ms:
                yield timed.summary

    async def _send_summaries(self) -> None:
        while True:
            await asyncio.sleep(SEND_INTERVAL_MS / 1000)
            own = InstanceSummary(self._instance_id, self._zone, self._config.version)
            self._summary_by_instance[self._instance_id] = own
            self._send_if_due(self._instance_id, own)
            for timed_by_shard in (self._dispatch_by_shard, self._tasks_by_shard):
                for summary in self._current(timed_by_shard):
                    if summary.owner == self._instance_id:
                        self._send_if_due(summary.shard, summary)

    def _send_if_due(self, subject: str, summary: Message[None]) -> None:
        """Send a summary to all peers if it changed or has to be repeated."""
        now_ms = self._clock.now_ms()
        key = (type(summary), subject)
        sent = self._sent_by_subject.get(key)
        is_known = sent is not None and sent.summary == summary
        if sent and is_known and now_ms < sent.time_ms + REPEAT_INTERVAL_MS:
            return
        self._sent_by_subject[key] = _TimedSummary(summary, now_ms)
        if self._peers is not None:
            self._peers.tell(TellPeers(summary))


def _store_summary(
    timed_by_shard: dict[str, _TimedSummary],
    summary: DispatchSummary | TaskSummary,
    now_ms: int,
) -> None:
    """Store a summary unless a summary of a newer epoch is known."""
    known = timed_by_shard.get(summary.shard)
    if known is None or known.summary.epoch <= summary.epoch:
        timed_by_shard[summary.shard] = _TimedSummary(summary, now_ms)


def _zone_of(shard: str) -> str:
    return shard.rpartition(".")[0]


def _load_key(summary: TaskSummary) -> tuple[float, int]:
    """Return a sort key: queued tasks per CPU capacity, then most free CPU first."""
    total_cpu_millis = max(1, summary.total.cpu_millis)
    return (summary.queued / total_cpu_millis, -summary.free.cpu_millis)
