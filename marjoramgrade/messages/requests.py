"""Messages about requests to backend servers."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message


@attrs.frozen
class RunReply:
    """The whole answer of a backend server."""

    status: int
    body: bytes
    backend_id: str


@attrs.frozen
class RunRequest(Message[RunReply]):
    """A request for a backend server.

    Attributes:
        request_id: Id chosen by the caller.
        service: The service that answers it.
        team: The team whose key came with it.
        key_name: The key; checked again just before the dispatch.
        body: Opaque bytes.
        remaining_ms: Time left until the deadline when the message is sent.
        idempotent: Whether it may run more than once.
        shard: The shard that it is routed to; empty before routing.
    """

    request_id: str
    service: str
    team: str
    key_name: str
    body: bytes
    remaining_ms: int
    idempotent: bool
    shard: str = ""


@attrs.frozen
class BackendFenceReply:
    """What a backend server answered to a new epoch."""

    in_use: int
    slots: int
