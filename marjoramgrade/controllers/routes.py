"""Which shard takes a request or a job, from the summaries of all owners."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import attrs

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.decisions.retries import RetryBudget, may_retry
from marjoramgrade.errors import (
    MarjoramgradeError,
    NoBackendError,
    NotFoundError,
    OwnerUnreachableError,
    Ran,
    UnsatisfiableError,
)
from marjoramgrade.messages import (
    CallPeer,
    ChooseShard,
    ConfigConfirmed,
    DispatchSummary,
    FindOwner,
    GetTasks,
    RunReply,
    RunRequest,
    TaskSummary,
    TellPeers,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.model import Config, JobSpec

# A summary that is older than this no longer attracts work.
SUMMARY_LIFETIME_MS = 3_000
SEND_INTERVAL_MS = 500
MAX_ATTEMPTS = 4
# Time kept back from the deadline for the reply's way to the caller.
REPLY_RESERVE_MS = 5


@attrs.define
class _Seen:
    """A summary and when it arrived."""

    summary: Any
    seen_ms: int


class RoutesController(Actor):
    """Owns the table of shards, their owners and their load.

    Args:
        instance_id: This instance.
        zone: Its zone, whose shards are preferred.
        dispatcher_by_shard: Controllers of the shards of the own zone.
        scheduler_by_shard: Controllers of the tasks of these shards.
        clock: Monotonic time.
        metrics: Counters.
    """

    def __init__(
        self,
        instance_id: str,
        zone: str,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._peers: Actor | None = None
        self._dispatcher_by_shard: dict[str, Actor] = {}
        self._scheduler_by_shard: dict[str, Actor] = {}
        self._dispatch_by_shard: dict[str, _Seen] = {}
        self._tasks_by_shard: dict[str, _Seen] = {}
        self._config = Config()
        self._budget = RetryBudget()
        self._random = random.Random(instance_id)
