"""The request that passes through the filter chain, and its sender."""

from __future__ import annotations

from typing import Any

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.messages.steps import ClientPresence
from marjoramgrade.stepconfig import Queue
from marjoramgrade.stopping import RequestProgress


@attrs.frozen
class Principal:
    """The sender of a request.

    Attributes:
        key_name: Name of the key, empty for operators.
        team: Team of the key, empty for operators.
        is_operator: Whether the request was sent with the operators' key.
    """

    key_name: str = ""
    team: str = ""
    is_operator: bool = False


ANONYMOUS = Principal()


@attrs.define
class RequestContext:
    """One request and what the filters have determined about it.

    Attributes:
        message: The client's request; filters may replace it.
        secret: Secret of the key sent with the request, or empty.
        request_id: Id of the request; in requests to queues the id of the job, or
            empty.
        deadline_ms: The client's deadline in ms on this instance's clock.
        principal: The sender; set by the `authenticate` filter.
        queue: The queue addressed; set by the `find_queue` filter.
        config_version: Version of the configuration that the filters used.
        config_age_ms: Time since the store confirmed that configuration as the newest.
        presence: Whether the client still waits.
        progress: What the request waits for.
    """

    message: Message[Any]
    secret: str
    request_id: str
    deadline_ms: int
    principal: Principal = ANONYMOUS
    queue: Queue | None = None
    config_version: int = 0
    config_age_ms: int = 0
    presence: ClientPresence = attrs.field(factory=ClientPresence)
    progress: RequestProgress = attrs.field(factory=RequestProgress)
