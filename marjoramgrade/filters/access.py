"""Filters that authenticate and authorize requests."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from marjoramgrade.actor import Actor, Message
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.watch import Subscribe
from marjoramgrade.errors import (
    ForbiddenError,
    NotFoundError,
    StaleAuthorityError,
    UnauthenticatedError,
)
from marjoramgrade.filters.chain import FILTERS, Filter, FilterEnvironment, Proceed
from marjoramgrade.filters.context import Principal, RequestContext
from marjoramgrade.messages.configuration import GetConfig
from marjoramgrade.messages.jobs import CancelJob, GetJob, GetTasks, ListJobs, SubmitJob
from marjoramgrade.messages.requests import RunRequest
from marjoramgrade.model import Config, hash_secret

AccessRule = Callable[[Any, Principal, Config, Actor], Awaitable[None]]
_rule_by_type: dict[type, AccessRule] = {}


def access_rule(
    *message_types: type[Message[Any]],
) -> Callable[[AccessRule], AccessRule]:
    """Return a decorator that registers a rule for these message types."""

    def register(rule: AccessRule) -> AccessRule:
        for message_type in message_types:
            _rule_by_type[message_type] = rule
        return rule

    return register


@FILTERS.register("authenticate")
class AuthenticateFilter(Filter):
    """Identifies the sender of a request by its key.

    Args:
        config: Configuration controller.
        clock: Monotonic clock.
        operator_key_sha256: SHA-256 hash of the operators' key; empty if there is
            no such key.
    """

    def __init__(self, config: Actor, clock: Clock, operator_key_sha256: str) -> None:
        self._config = config
        self._clock = clock
        self._operator_key_sha256 = operator_key_sha256

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> AuthenticateFilter:
        """Build the filter from its environment."""
        return cls(
            environment.config,
            environment.clock,
            environment.settings.operator_key_sha256,
        )

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Refuse unknown and withdrawn keys."""
        if self._is_operator(context.secret):
            principal = Principal(is_operator=True)
        else:
            principal = await self._find_team(context)
        return await proceed(attrs.evolve(context, principal=principal))

    def _is_operator(self, secret: str) -> bool:
        return bool(self._operator_key_sha256) and secrets.compare_digest(
            hash_secret(secret), self._operator_key_sha256
        )

    async def _find_team(self, context: RequestContext) -> Principal:
        if not context.secret:
            raise UnauthenticatedError("the request carries no key")
        confirmed = await self._config.ask(GetConfig())
        key = confirmed.config.find_key(context.secret)
        if key is not None:
            return Principal(key.name, key.team)
        if self._clock.now_ms() >= confirmed.fresh_until_ms:
            raise StaleAuthorityError(
                "the key is unknown, but the configuration may be out of date"
            )
        raise UnauthenticatedError("the key is unknown or was withdrawn")


@FILTERS.register("authorize")
class AuthorizeFilter(Filter):
    """Applies the access rule registered for the type of the message.

    Args:
        config: Configuration controller.
        jobs: Job controller, which knows the team of a job.
    """

    def __init__(self, config: Actor, jobs: Actor) -> None:
        self._config = config
        self._jobs = jobs

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> AuthorizeFilter:
        """Build the filter from its environment."""
        return cls(environment.config, environment.jobs)

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Refuse what the principal may not do; without a rule only operators may."""
        confirmed = await self._config.ask(GetConfig())
        rule = _rule_by_type.get(type(context.message), require_operator)
        await rule(context.message, context.principal, confirmed.config, self._jobs)
        message = _restrict_to_team(context.message, context.principal)
        return await proceed(attrs.evolve(context, message=message))


def _restrict_to_team(message: Message[Any], principal: Principal) -> Message[Any]:
    """Return the message restricted to the principal's team."""
    if isinstance(message, RunRequest):
        return attrs.evolve(message, team=principal.team, key_name=principal.key_name)
    if isinstance(message, ListJobs | Subscribe):
        return attrs.evolve(message, team=principal.team)
    return message


async def require_operator(
    message: Any, principal: Principal, config: Config, jobs: Actor
) -> None:
    """Permit operators only."""
    if not principal.is_operator:
        raise ForbiddenError("this operation requires the operators' key")


@access_rule(ListJobs, Subscribe)
async def _permit_everyone(
    message: Any, principal: Principal, config: Config, jobs: Actor
) -> None:
    """Permit everyone; `_restrict_to_team` limits what the principal sees."""


@access_rule(RunRequest)
async def _permit_run(
    message: RunRequest, principal: Principal, config: Config, jobs: Actor
) -> None:
    service = config.services_by_name.get(message.service)
    if service is None:
        raise NotFoundError(f"there is no service {message.service}")
    if principal.is_operator:
        raise ForbiddenError("requests require the key of a team")
    if service.team not in ("", principal.team):
        raise ForbiddenError(f"service {service.name} belongs to another team")


@access_rule(SubmitJob)
async def _permit_submit(
    message: SubmitJob, principal: Principal, config: Config, jobs: Actor
) -> None:
    if message.spec.team not in config.teams_by_name:
        raise NotFoundError(f"there is no team {message.spec.team}")
    if not principal.is_operator and message.spec.team != principal.team:
        raise ForbiddenError(f"the key does not belong to team {message.spec.team}")


@access_rule(GetJob, CancelJob, GetTasks)
async def _permit_own_job(
    message: GetJob | CancelJob | GetTasks,
    principal: Principal,
    config: Config,
    jobs: Actor,
) -> None:
    if principal.is_operator:
        return
    stored = await jobs.ask(GetJob(message.job_id))
    if stored.job.spec.team != principal.team:
        raise ForbiddenError(f"job {message.job_id} belongs to another team")
