"""The last filter: sends each message to the controller that handles its type."""

from __future__ import annotations

from typing import Any

from marjoramgrade.actor import Actor, Message
from marjoramgrade.controllers.instances import GetInstances
from marjoramgrade.controllers.watch import Subscribe
from marjoramgrade.errors import ProtocolError
from marjoramgrade.filters.chain import FILTERS, Filter, FilterEnvironment, Proceed
from marjoramgrade.filters.context import RequestContext
from marjoramgrade.messages.configuration import ChangeConfig, GetConfig, GrantKey
from marjoramgrade.messages.jobs import CancelJob, GetJob, GetTasks, ListJobs, SubmitJob
from marjoramgrade.messages.requests import RunRequest
from marjoramgrade.messages.routing import GetSummaries


@FILTERS.register("route")
class RouteFilter(Filter):
    """Asks the controller that is registered for the type of the message.

    Args:
        controller_by_type: The controller that handles each message type.
    """

    def __init__(self, controller_by_type: dict[type[Message[Any]], Actor]) -> None:
        self._controller_by_type = controller_by_type

    @classmethod
    def from_config(cls, environment: FilterEnvironment) -> RouteFilter:
        """Build the filter from its environment."""
        return cls(
            {
                RunRequest: environment.routes,
                GetTasks: environment.jobs,
                GetSummaries: environment.routes,
                SubmitJob: environment.jobs,
                GetJob: environment.jobs,
                ListJobs: environment.jobs,
                CancelJob: environment.jobs,
                GetConfig: environment.config,
                ChangeConfig: environment.config,
                GrantKey: environment.config,
                GetInstances: environment.instances,
                Subscribe: environment.watch,
            }
        )

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        """Return the controller's reply."""
        controller = self._controller_by_type.get(type(context.message))
        if controller is None:
            raise ProtocolError(
                f"no controller handles {type(context.message).__name__}"
            )
        context.progress.waits_for = type(context.message).__name__
        return await controller.ask(context.message)
