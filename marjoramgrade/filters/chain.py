"""The chain of filters that every request of a client or operator passes."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Any

import attrs

from marjoramgrade.actor import Actor
from marjoramgrade.clock import Clock
from marjoramgrade.errors import MarjoramgradeError
from marjoramgrade.filters.context import RequestContext
from marjoramgrade.metrics import Metrics
from marjoramgrade.registry import Registry

if TYPE_CHECKING:
    # The queue filters share this module and run without the settings of the
    # `/v1` interface.
    from marjoramgrade.settings import EntrySettings

Proceed = Callable[[RequestContext], Awaitable[Any]]


@attrs.frozen
class FilterEnvironment:
    """Settings, services and actors that filters are built from.

    Attributes:
        settings: Settings of this instance.
        clock: Monotonic clock.
        metrics: Counters.
        config: Configuration controller.
        routes: Controller that routes requests to shards.
        jobs: Job controller.
        instances: Controller of the platform's instance list.
        watch: Controller of the watch subscriptions.
    """

    settings: EntrySettings
    clock: Clock
    metrics: Metrics
    config: Actor
    routes: Actor
    jobs: Actor
    instances: Actor
    watch: Actor


class Filter(abc.ABC):
    """Base class of filters."""

    @classmethod
    @abc.abstractmethod
    def from_config(cls, environment: FilterEnvironment) -> Filter:
        """Return a filter for this instance."""

    @abc.abstractmethod
    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Handle a request, usually by passing it on with `proceed`.

        Args:
            context: The request.
            proceed: Passes the request to the rest of the chain.

        Returns:
            The reply to the client.

        Raises:
            MarjoramgradeError: If the request is refused or fails.
        """


FILTERS: Registry[type[Filter]] = Registry("filter")


class FilterChain:
    """Passes requests through filters in order; the last filter replies.

    Args:
        filters: The filters in the order of their use.
        metrics: Counts each refusal by its code.
    """

    def __init__(self, filters: Sequence[Filter], metrics: Metrics) -> None:
        self._filters = tuple(filters)
        self._metrics = metrics

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> FilterChain:
        """Build the chain of the filters that the settings name.

        Raises:
            UnknownNameError: If a filter is not registered.
        """
        names = environment.settings.filters
        filters = [FILTERS.get(name).from_config(environment) for name in names]
        return cls(filters, environment.metrics)

    async def handle(self, context: RequestContext) -> Any:
        """Pass a request through the chain and return the reply.

        Raises:
            MarjoramgradeError: If the request is refused or fails.
        """
        try:
            return await self._apply(0, context)
        except MarjoramgradeError as error:
            self._metrics.refused(error)
            raise

    async def _apply(self, position: int, context: RequestContext) -> Any:
        async def proceed(next_context: RequestContext) -> Any:
            return await self._apply(position + 1, next_context)

        return await self._filters[position].apply(context, proceed)
