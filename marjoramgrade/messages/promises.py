"""Messages about authority while the table is unreachable.

A promise is a time-limited guarantee of a peer that it makes no change that others
rely on: it writes no configuration, takes over no shard and removes no member.
"""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.decisions.ownership import ShardRow
from marjoramgrade.decisions.promises import PromiseReply, PromiseRequest


@attrs.frozen
class TableReachability(Message[None]):
    """Whether the last read of the table got a response."""

    is_reachable: bool


@attrs.frozen
class Attest(Message[PromiseReply]):
    """Asks a peer for a promise."""

    request: PromiseRequest


@attrs.frozen
class Acknowledged:
    """Whether a member agrees that a joining member may make changes."""

    is_acknowledged: bool


@attrs.frozen
class AcknowledgeNewcomer(Message[Acknowledged]):
    """Asks a member to agree that the sender, a joining member, may make changes."""

    instance_id: str
    zone: str


@attrs.frozen
class BeginWrite(Message[None]):
    """Asks for permission to send a write that a promise would rule out."""

    write_id: str


@attrs.frozen
class EndWrite(Message[None]):
    """Reports that a write has taken effect or certainly never will."""

    write_id: str


@attrs.frozen
class MayTakeOverShard(Message[bool]):
    """Asks whether the rule for joining members allows a takeover of a shard."""

    row: ShardRow


@attrs.frozen
class PreviousIncarnationFound(Message[None]):
    """An earlier incarnation of this instance was registered under the same id."""


@attrs.frozen
class ShardStandbysSet(Message[None]):
    """Names the instances whose promises can extend the ownership of a shard.

    Attributes:
        shard: Name of the shard.
        guardians: The standbys on its row.
        is_proposed: Whether the row is still to be written.
    """

    shard: str
    guardians: tuple[str, ...]
    is_proposed: bool


@attrs.frozen
class ShardOwnershipEnded(Message[None]):
    """Reports that this instance no longer owns a shard."""

    shard: str


@attrs.frozen
class ConfigAttested(Message[None]):
    """The promises of all members show that a configuration was current.

    Attributes:
        version: Version of the configuration.
        asked_ms: Time on this instance's clock at which it was current.
    """

    version: int
    asked_ms: int


@attrs.frozen
class OwnershipAttested(Message[None]):
    """Promises guarantee that no instance takes over a shard before a time.

    Attributes:
        shard: Name of the shard.
        until_ms: End of the guarantee on this instance's clock.
    """

    shard: str
    until_ms: int
