"""Messages about the ownership of shards."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message


@attrs.frozen
class OwnershipChanged(Message[None]):
    """This instance owns a shard until a time, or no longer.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch under which it is owned.
        until_ms: End of the authority on this instance's clock; zero if lost.
        fence_version: Version of the shard's epoch row at the takeover.
    """

    shard: str
    epoch: int
    until_ms: int
    fence_version: int = 0


@attrs.frozen
class DrainRequests(Message[None]):
    """Ends the requests of a shard before it is given up.

    The reply comes when the requests that were sent have ended; those that wait
    for a slot are refused and did not run.
    """


@attrs.frozen
class ReleaseShards(Message[None]):
    """Gives up every owned shard so that another instance can take it at once."""
