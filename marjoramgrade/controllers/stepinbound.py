"""Dispatches messages of other instances to the controllers that handle them."""

from __future__ import annotations

from typing import Any

from marjoramgrade.actor import Actor, handles
from marjoramgrade.errors import ProtocolError
from marjoramgrade.messages.peers import InboundMessage
from marjoramgrade.messages.rows import CommitRows, FetchPart, ReadRows, WatchRows
from marjoramgrade.messages.steps import (
    AskLeaderAge,
    CancelStepJob,
    CountPending,
    GetStepJob,
    LeaderBeat,
    LeaderLeft,
    RequestAdvice,
    SubmitStepJob,
)


class StepInboundController(Actor):
    """Dispatches each message to a controller by the message's type.

    Args:
        leadership: Tracks which instance leads.
        scheduler: Handles job requests while this instance leads.
        advisor: Queries the placement advisor.
        store: The direct connection to the store, so that a relayed request is not
            relayed again.
    """

    def __init__(
        self, leadership: Actor, scheduler: Actor, advisor: Actor, store: Actor
    ) -> None:
        super().__init__()
        self._controller_by_type: dict[type[Any], Actor] = {
            LeaderBeat: leadership,
            LeaderLeft: leadership,
            AskLeaderAge: leadership,
            SubmitStepJob: scheduler,
            GetStepJob: scheduler,
            CancelStepJob: scheduler,
            CountPending: scheduler,
            RequestAdvice: advisor,
            CommitRows: store,
            ReadRows: store,
            WatchRows: store,
            FetchPart: store,
        }

    @handles(InboundMessage)
    async def _inbound(self, message: InboundMessage) -> Any:
        controller = self._controller_by_type.get(type(message.message))
        if controller is None:
            raise ProtocolError(
                f"no controller handles {type(message.message).__name__}"
            )
        return self.spawn(controller.ask(message.message))
