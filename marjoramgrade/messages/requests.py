"""Messages about requests to backend servers."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message


@attrs.frozen
class RunReply:
    """The complete response of a backend server."""

    status: int
    body: bytes
    backend_id: str


@attrs.frozen
class RunRequest(Message[RunReply]):
    """A request for a backend server.

    Attributes:
        request_id: Id chosen by the client.
        service: The service that handles it.
        team: The team whose key the client sent.
        key_name: Name of the key, which is checked again just before the dispatch.
        body: Opaque content.
        remaining_ms: Time left until the deadline when the message is sent.
        idempotent: Whether it may run more than once.
        shard: The shard to which it is routed; empty before routing.
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
    """The response of a backend server to a new epoch.

    Attributes:
        in_use: Number of its slots that are in use.
        slots: Number of its slots.
    """

    in_use: int
    slots: int
