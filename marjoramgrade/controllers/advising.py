"""Queries the placement advisor, which serves one call per instance at a time."""

from __future__ import annotations

import abc
from typing import Any

from marjoramgrade.actor import Actor, handles
from marjoramgrade.messages.steps import RequestAdvice, StepAdvice


class AdvisorPort(abc.ABC):
    """Base class of the clients of the placement advisor."""

    @abc.abstractmethod
    async def advise(self, request: RequestAdvice) -> StepAdvice:
        """Return where a step may run.

        Raises:
            AdvisorError: If the advisor gave no advice.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""


class AdvisingController(Actor):
    """Owns the connection to the placement advisor.

    Args:
        port: The client of the placement advisor.
    """

    def __init__(self, port: AdvisorPort) -> None:
        super().__init__()
        self._port = port

    async def on_stop(self) -> None:
        """Close the connections."""
        self._port.close()

    @handles(RequestAdvice)
    async def _request(self, message: RequestAdvice) -> Any:
        return self.spawn(self._port.advise(message))
