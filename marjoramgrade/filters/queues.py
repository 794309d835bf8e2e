"""Filters for the calls of callers to queues."""

from __future__ import annotations

import re
from typing import Any

import attrs

from marjoramgrade.actor import Actor
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.forwarding import ForwardRequest
from marjoramgrade.errors import (
    ForbiddenError,
    InvalidInputError,
    JobNotFoundError,
    ProtocolError,
    QueueNotFoundError,
    UnauthenticatedError,
)
from marjoramgrade.filters.chain import Filter, Proceed
from marjoramgrade.filters.context import Principal, RequestContext
from marjoramgrade.messages.steps import (
    AwaitStepConfig,
    CancelStepJob,
    CountPending,
    GetStepConfig,
    GetStepJob,
    QueueRequest,
    QueueVerb,
    SubmitStepJob,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.registry import Registry
from marjoramgrade.stepconfig import Queue, StepConfig

DEFAULT_QUEUE_FILTERS = ("find_queue", "check_key", "check_job", "hand_over")

# An instance that has just started reads the configuration within some 50 ms; a caller
# that is refused meanwhile comes back a second later.
FIRST_CONFIG_TIMEOUT_MS = 400

_JOB_ID = re.compile(r"[0-9a-f]{16}")


@attrs.frozen
class QueueFilterEnvironment:
    """What the filters of queues are built from.

    Attributes:
        clock: Time.
        metrics: Counters.
        directory: Has the configuration.
        forwarder: Hands requests to the leader.
    """

    clock: Clock
    metrics: Metrics
    directory: Actor
    forwarder: Actor


QUEUE_FILTERS: Registry[type[Filter]] = Registry("queue filter")


class QueueFilter(Filter):
    """Base class of the filters of queues.

    Args:
        environment: What it is built from.
    """

    def __init__(self, environment: QueueFilterEnvironment) -> None:
        self._environment = environment

    @classmethod
    def from_config(cls, environment: Any) -> QueueFilter:
        """Return a filter for this instance."""
        return cls(environment)

    async def _config(self) -> StepConfig:
        directory = self._environment.directory
        config = await directory.ask(GetStepConfig())
        if not config.version:
            config = await directory.ask(AwaitStepConfig(1, FIRST_CONFIG_TIMEOUT_MS))
        return config


@QUEUE_FILTERS.register("find_queue")
class FindQueueFilter(QueueFilter):
    """Finds the queue by host and path."""

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Let the request proceed with its queue."""
        request = _request(context)
        config = await self._config()
        queue = config.find_queue(request.host, request.path)
        if queue is None:
            raise QueueNotFoundError(f"no queue at {request.host}{request.path}")
        context.queue = queue
        context.config_version = config.version
        context.request_id = request.path.removeprefix(queue.path_prefix)
        return await proceed(context)


@QUEUE_FILTERS.register("check_key")
class CheckKeyFilter(QueueFilter):
    """Finds the team by the key, which only public queues do without."""

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Let the request proceed with its team."""
        config = await self._config()
        team = config.find_team(context.secret) if context.secret else None
        if team is not None:
            context.principal = Principal(team=team.name)
        elif not _queue(context).public:
            raise UnauthenticatedError("the key is missing or unknown")
        return await proceed(context)


@QUEUE_FILTERS.register("check_job")
class CheckJobFilter(QueueFilter):
    """Turns the call into the message that the leader answers."""

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Let the request proceed as a message about one job or one queue."""
        request, queue = _request(context), _queue(context)
        job_id = context.request_id
        if request.verb is QueueVerb.COUNT:
            context.message = CountPending(queue.name, context.config_version)
            return await proceed(context)
        if not _JOB_ID.fullmatch(job_id):
            if request.verb is QueueVerb.SUBMIT:
                raise InvalidInputError("the id of a job has 16 hexadecimal digits")
            raise JobNotFoundError(f"no job has the id {job_id[:40]!r}")
        if request.verb is QueueVerb.STATE:
            context.message = GetStepJob(job_id)
        elif request.verb is QueueVerb.CANCEL:
            context.message = CancelStepJob(job_id)
        else:
            context.message = self._submission(context, request, queue)
        return await proceed(context)

    def _submission(
        self, context: RequestContext, request: QueueRequest, queue: Queue
    ) -> SubmitStepJob:
        if request.job is None:
            raise InvalidInputError("a job is missing")
        job = attrs.evolve(
            request.job,
            job_id=context.request_id,
            queue=queue.name,
            team=context.principal.team,
            accepted_unix_ms=self._environment.clock.unix_ms(),
        )
        job.check()
        return SubmitStepJob(job, context.config_version)


@QUEUE_FILTERS.register("hand_over")
class ForwardFilter(QueueFilter):
    """The last filter: hands the message to the leader."""

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Return the leader's answer.

        Raises:
            ForbiddenError: If the job belongs to another team.
        """
        message: Any = context.message
        answer = await self._environment.forwarder.ask(
            ForwardRequest(message, context.deadline_ms)
        )
        team = getattr(answer, "team", "")
        if team and context.principal.team and team != context.principal.team:
            raise ForbiddenError("the job belongs to another team")
        return answer


def _request(context: RequestContext) -> QueueRequest:
    if not isinstance(context.message, QueueRequest):
        raise ProtocolError("a queue filter got another message")
    return context.message


def _queue(context: RequestContext) -> Queue:
    if context.queue is None:
        raise ProtocolError("the queue has not been found yet")
    return context.queue
