"""Messages about authority while the table is unreachable."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.decisions.ownership import ShardRow
from marjoramgrade.decisions.promises import PromiseReply, PromiseRequest


@attrs.frozen
class TableReachability(Message[None]):
    """Whether the last read of the table was answered."""

    is_reachable: bool


@attrs.frozen
class Attest(Message[PromiseReply]):
    """Asks a peer to promise that it changes nothing for a while."""

    request: PromiseRequest


@attrs.frozen
class Acknowledged:
    """Whether a member agrees that a newcomer may change things."""

    is_acknowledged: bool


@attrs.frozen
class AcknowledgeNewcomer(Message[Acknowledged]):
    """Asks a member to agree that a newcomer may change things."""

    instance_id: str
    zone: str


@attrs.frozen
class BeginWrite(Message[None]):
    """Asks for leave to write something that promises cover."""

    write_id: str


@attrs.frozen
class EndWrite(Message[None]):
    """Tells that a write took effect or certainly never will."""

    write_id: str


@attrs.frozen
class MayTakeOverShard(Message[bool]):
    """Asks whether the newcomer rule allows a takeover."""

    row: ShardRow


@attrs.frozen
class PreviousIncarnationFound(Message[None]):
    """An earlier life of this instance was registered under the same id."""


@attrs.frozen
class ShardStandbysSet(Message[None]):
    """Tells whose promises can extend the ownership of a shard.

    Attributes:
        shard: Name of the shard.
        guardians: Instances on its row.
        is_proposed: Whether the row is about to be written.
    """

    shard: str
    guardians: tuple[str, ...]
    is_proposed: bool


@attrs.frozen
class ShardOwnershipEnded(Message[None]):
    """Tells that a shard is no longer owned."""

    shard: str


@attrs.frozen
class ConfigAttested(Message[None]):
    """A configuration was current at a time, by the promises of all members."""

    version: int
    asked_ms: int


@attrs.frozen
class OwnershipAttested(Message[None]):
    """Nobody takes over a shard before a time, by promises."""

    shard: str
    until_ms: int
