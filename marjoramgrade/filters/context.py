"""What travels through the filter chain."""

from __future__ import annotations

from typing import Any

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.stepconfig import Queue


@attrs.frozen
class Principal:
    """Who sent a request.

    Attributes:
        key_name: Name of the key, empty for operators.
        team: Team of the key, empty for operators.
        is_operator: Whether the operators' key came with the request.
    """

    key_name: str = ""
    team: str = ""
    is_operator: bool = False


ANONYMOUS = Principal()


@attrs.define
class RequestContext:
    """One request on its way through the chain.

    Attributes:
        message: What the caller asks for; filters may replace it.
        secret: Secret of the key that came with it, or empty.
        request_id: Id that the caller chose, or empty.
        deadline_ms: The caller's deadline on this instance's clock.
        principal: Who sent it; set by the `authenticate` filter.
        queue: The queue that it is for; set by the `find_queue` filter.
        config_version: Configuration that the filters have gone by.
    """

    message: Message[Any]
    secret: str
    request_id: str
    deadline_ms: int
    principal: Principal = ANONYMOUS
    queue: Queue | None = None
    config_version: int = 0
