"""Messages that arrive from other entry instances."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.errors import NotOwnerError, ProtocolError
from marjoramgrade.messages.configuration import ConfigPushed
from marjoramgrade.messages.jobs import GetTasks, JobAssigned
from marjoramgrade.messages.peers import InboundMessage
from marjoramgrade.messages.promises import AcknowledgeNewcomer, Attest
from marjoramgrade.messages.requests import RunRequest
from marjoramgrade.messages.routing import DispatchSummary, InstanceSummary, TaskSummary


class InboundController(Actor):
    """Forwards each inbound message to the controller that handles it.

    Args:
        authority: Controller of the promises.
        config: Controller of the configuration.
        jobs: Controller of the jobs.
        routes: Controller of the routes.
        dispatcher_by_shard: Dispatch controllers of the shards of this zone.
        scheduler_by_shard: Shard controllers of the shards of this zone.
    """

    def __init__(
        self,
        authority: Actor,
        config: Actor,
        jobs: Actor,
        routes: Actor,
        dispatcher_by_shard: Mapping[str, Actor],
        scheduler_by_shard: Mapping[str, Actor],
    ) -> None:
        super().__init__()
        self._controller_by_type: dict[type[Message[Any]], Actor] = {
            AcknowledgeNewcomer: authority,
            Attest: authority,
            ConfigPushed: config,
            JobAssigned: jobs,
            DispatchSummary: routes,
            TaskSummary: routes,
            InstanceSummary: routes,
        }
        self._controller_by_shard_by_type: dict[
            type[Message[Any]], Mapping[str, Actor]
        ] = {
            RunRequest: dispatcher_by_shard,
            GetTasks: scheduler_by_shard,
        }

    @handles(InboundMessage)
    async def _inbound(self, message: InboundMessage) -> Any:
        return self.spawn(self._controller_for(message.message).ask(message.message))

    def _controller_for(self, message: Message[Any]) -> Actor:
        controller = self._controller_by_type.get(type(message))
        if controller is not None:
            return controller
        controller_by_shard = self._controller_by_shard_by_type.get(type(message))
        if controller_by_shard is None:
            raise ProtocolError(f"{type(message).__name__} is not accepted from peers")
        assert isinstance(message, RunRequest | GetTasks)
        if message.shard not in controller_by_shard:
            raise NotOwnerError(f"shard {message.shard} is not in this zone")
        return controller_by_shard[message.shard]
