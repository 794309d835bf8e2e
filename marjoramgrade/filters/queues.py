"""Filters for the requests of clients to queues."""

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
    MarjoramgradeError,
    OutcomeUnknownError,
    ProtocolError,
    QueueNotFoundError,
    RefusedError,
    StaleAuthorityError,
    UnauthenticatedError,
)
from marjoramgrade.filters.chain import Filter, Proceed
from marjoramgrade.filters.context import Principal, RequestContext
from marjoramgrade.messages.steps import (
    AwaitConfirmedConfig,
    AwaitStepConfig,
    CancelStepJob,
    CountPending,
    GetStepConfig,
    GetStepJob,
    KnownConfig,
    QueueRequest,
    QueueVerb,
    SubmitStepJob,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.registry import Registry
from marjoramgrade.stepconfig import Queue, StepConfig, TeamPolicy

DEFAULT_QUEUE_FILTERS = (
    "check_refusal",
    "find_queue",
    "check_key",
    "check_job",
    "hand_over",
)

# Longest wait for the first configuration. An instance that has just started reads it
# within some 50 ms, whereas a client that is refused retries only a second later.
FIRST_CONFIG_TIMEOUT_MS = 400

# Longest wait for the store's confirmation before a request can't be answered. Clients
# wait some three seconds; a relayed watch responds within half a second.
CONFIRMATION_TIMEOUT_MS = 500

_JOB_ID = re.compile(r"[0-9a-f]{16}")


@attrs.frozen
class QueueFilterEnvironment:
    """Services and actors that queue filters are built from.

    Attributes:
        clock: Gives the time at which a job is accepted.
        metrics: Counters.
        directory: Actor that holds the configuration.
        forwarder: Actor that forwards requests to the leader.
        config_apply_ms: Time within which a new configuration must be in force, in
            milliseconds.
    """

    clock: Clock
    metrics: Metrics
    directory: Actor
    forwarder: Actor
    config_apply_ms: int


QUEUE_FILTERS: Registry[type[Filter]] = Registry("queue filter")


class QueueFilter(Filter):
    """Base class of queue filters.

    Args:
        environment: Services and actors that the filter uses.
    """

    def __init__(self, environment: QueueFilterEnvironment) -> None:
        self._environment = environment

    @classmethod
    def from_config(cls, environment: Any) -> QueueFilter:
        """Build the filter from its environment."""
        return cls(environment)

    async def _get_config(self, context: RequestContext) -> StepConfig:
        """Return the configuration in force, and record its version and age.

        Raises:
            StaleAuthorityError: If this instance has no configuration yet.
            OutcomeUnknownError: The same, if the request hands a job in.
        """
        directory = self._environment.directory
        context.progress.waits_for = "config"
        known: KnownConfig = await directory.ask(GetStepConfig())
        if not known.config.version:
            try:
                await directory.ask(AwaitStepConfig(1, FIRST_CONFIG_TIMEOUT_MS))
            except StaleAuthorityError as error:
                raise _make_undecided_error(context, error) from None
            known = await directory.ask(GetStepConfig())
        return self._record_config(context, known)

    async def _get_confirmed_config(self, context: RequestContext) -> StepConfig:
        """Return the configuration, confirmed recently enough to refuse a request.

        A newer configuration, which this instance does not know, may allow the request
        if the store has not confirmed the known one for `config_apply_ms`.

        Raises:
            StaleAuthorityError: If the store does not confirm it soon.
            OutcomeUnknownError: The same, if the request hands a job in.
        """
        now_ms = self._environment.clock.now_ms()
        since_ms = now_ms - self._environment.config_apply_ms
        context.progress.waits_for = "confirmation"
        try:
            known = await self._environment.directory.ask(
                AwaitConfirmedConfig(since_ms, CONFIRMATION_TIMEOUT_MS)
            )
        except StaleAuthorityError as error:
            raise _make_undecided_error(context, error) from None
        return self._record_config(context, known)

    def _record_config(self, context: RequestContext, known: KnownConfig) -> StepConfig:
        context.config_version = known.config.version
        context.config_age_ms = self._environment.clock.now_ms() - known.confirmed_ms
        return known.config


@QUEUE_FILTERS.register("check_refusal")
class CheckRefusalFilter(QueueFilter):
    """Refuses a job only where no earlier attempt can have been accepted.

    Only the leader knows the attempts through other instances, and one that has been
    replaced without its knowledge doesn't know those that its successor has accepted.
    """

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Pass the request on.

        Raises:
            OutcomeUnknownError: If a job is refused without the confirmation of the
                leader that refuses it.
        """
        verb = _request_of(context).verb
        try:
            return await proceed(context)
        except (UnauthenticatedError, ForbiddenError):
            raise
        except RefusedError as error:
            if verb is not QueueVerb.SUBMIT or error.confirmed_epoch:
                raise
            raise OutcomeUnknownError(
                f"refused without a confirmed leader, {error.code}: {error.message}"
            ) from error


@QUEUE_FILTERS.register("find_queue")
class FindQueueFilter(QueueFilter):
    """Finds the queue by the host and path of the request."""

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Set the queue of the request and pass the request on."""
        request = _request_of(context)
        config = await self._get_config(context)
        try:
            queue = _find_queue(config, context)
        except QueueNotFoundError:
            config = await self._get_confirmed_config(context)
            queue = _find_queue(config, context)
        context.queue = queue
        context.request_id = request.path.removeprefix(queue.path_prefix)
        return await proceed(context)


@QUEUE_FILTERS.register("check_key")
class CheckKeyFilter(QueueFilter):
    """Finds the team by the key; only public queues accept requests without a key."""

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Set the team of the request and pass the request on."""
        config = await self._get_config(context)
        team = _find_team(config, context)
        if team is None and not _queue_of(context).public:
            config = await self._get_confirmed_config(context)
            team = _find_team(config, context)
            context.queue = _find_queue(config, context)
        if team is not None:
            context.principal = Principal(team=team.name)
        elif not _queue_of(context).public:
            raise UnauthenticatedError("the key is missing or unknown")
        return await proceed(context)


@QUEUE_FILTERS.register("check_job")
class CheckJobFilter(QueueFilter):
    """Converts the request into a message to the leader."""

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Replace the request by a message about one job or one queue."""
        request, queue = _request_of(context), _queue_of(context)
        job_id = context.request_id
        if request.verb is QueueVerb.COUNT:
            context.message = CountPending(queue.name, context.config_version)
            return await proceed(context)
        if not _JOB_ID.fullmatch(job_id):
            if request.verb is QueueVerb.SUBMIT:
                raise InvalidInputError("a job id must have 16 hexadecimal digits")
            raise JobNotFoundError(f"no job has the id {job_id[:40]!r}")
        if request.verb is QueueVerb.STATE:
            context.message = GetStepJob(job_id)
        elif request.verb is QueueVerb.CANCEL:
            context.message = CancelStepJob(job_id, context.principal.team)
        else:
            context.message = self._make_submission(context, request, queue)
        return await proceed(context)

    def _make_submission(
        self, context: RequestContext, request: QueueRequest, queue: Queue
    ) -> SubmitStepJob:
        if request.job is None:
            raise InvalidInputError("the request contains no job")
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
    """The last filter: forwards the message to the leader."""

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Return the leader's reply.

        Raises:
            ForbiddenError: If the job belongs to another team.
        """
        message: Any = context.message
        answer = await self._environment.forwarder.ask(
            ForwardRequest(
                message, context.deadline_ms, context.presence, context.progress
            )
        )
        team = getattr(answer, "team", "")
        if team and context.principal.team and team != context.principal.team:
            config = await self._get_confirmed_config(context)
            key_team = _find_team(config, context)
            if key_team is not None and key_team.name == team:
                return answer
            raise ForbiddenError("the job belongs to another team")
        return answer


def _make_undecided_error(
    context: RequestContext, error: StaleAuthorityError
) -> MarjoramgradeError:
    """Return the error for a request that can't be decided without the configuration.

    A job can't be refused, since an earlier attempt to hand it in through another
    instance may have been accepted.
    """
    message = context.message
    is_submission = isinstance(message, SubmitStepJob) or (
        isinstance(message, QueueRequest) and message.verb is QueueVerb.SUBMIT
    )
    return OutcomeUnknownError(error.message) if is_submission else error


def _find_queue(config: StepConfig, context: RequestContext) -> Queue:
    request = _request_of(context)
    queue = config.find_queue(request.host, request.path)
    if queue is None:
        raise QueueNotFoundError(f"no queue at {request.host}{request.path}")
    return queue


def _find_team(config: StepConfig, context: RequestContext) -> TeamPolicy | None:
    return config.find_team(context.secret) if context.secret else None


def _request_of(context: RequestContext) -> QueueRequest:
    if not isinstance(context.message, QueueRequest):
        raise ProtocolError(
            "a queue filter received a message that is no queue request"
        )
    return context.message


def _queue_of(context: RequestContext) -> Queue:
    if context.queue is None:
        raise ProtocolError("the filter find_queue has not run yet")
    return context.queue
