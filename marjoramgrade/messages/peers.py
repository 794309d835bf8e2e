"""Messages about the members, and messages between entry instances."""

from __future__ import annotations

from typing import Any

import attrs

from marjoramgrade.actor import Actor, ActorFailure, Message


@attrs.frozen
class Member:
    """An entry instance as registered in the table.

    Attributes:
        instance_id: Its id.
        zone: Its availability zone.
        host: IP address.
        peer_port: TCP port for other entry instances.
        row_version: Version of its row; members with a lower version registered
            earlier.
        strength: Its capacity for the work of a leader, in thousandths of a core.
    """

    instance_id: str
    zone: str
    host: str
    peer_port: int
    row_version: int = 0
    strength: int = 0


@attrs.frozen
class MembersChanged(Message[None]):
    """The registered entry instances, this one included."""

    members: tuple[Member, ...]


@attrs.frozen
class CallPeer(Message[Any]):
    """Sends a message to another entry instance and waits for its reply."""

    instance_id: str
    message: Message[Any]
    timeout_ms: int


@attrs.frozen
class TellPeers(Message[None]):
    """Sends a message to every other entry instance."""

    message: Message[Any]


@attrs.frozen
class CallOverLink(Message[Any]):
    """Asks the link to one peer to send a message and to wait for the reply."""

    message: Message[Any]
    timeout_ms: int


@attrs.frozen
class FinishCalls(Message[None]):
    """Waits until the calls on a link have their replies, at most for `timeout_ms`."""

    timeout_ms: int


@attrs.frozen
class TellOverLink(Message[None]):
    """Asks the link to one peer to send a message, or to drop it if sending fails.

    Attributes:
        message: The message.
        frame: The same as it is sent, if it was serialized for several links.
    """

    message: Message[Any]
    frame: bytes = b""


@attrs.frozen
class PeerDisconnected(Message[None]):
    """A connection that another entry instance had opened has ended."""

    instance_id: str


@attrs.frozen
class LinkFailed(Message[None]):
    """The link to another entry instance or to a worker has failed unexpectedly.

    Attributes:
        instance_id: The instance or worker.
        link: The link.
        failure: What failed.
    """

    instance_id: str
    link: Actor
    failure: ActorFailure

    @property
    def subject(self) -> str:
        """The instance or worker."""
        return self.instance_id


@attrs.frozen
class InboundMessage(Message[Any]):
    """A message that arrived from another entry instance."""

    instance_id: str
    message: Message[Any]
