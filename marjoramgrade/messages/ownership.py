"""Messages about the ownership of shards."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message


@attrs.frozen
class OwnershipChanged(Message[None]):
    """Reports until when this instance owns a shard, or that it lost the shard.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch of the ownership.
        until_ms: End of the ownership on this instance's clock; zero if it was lost.
        fence_version: Version of the shard's epoch row at the takeover.
    """

    shard: str
    epoch: int
    until_ms: int
    fence_version: int = 0


@attrs.frozen
class DrainRequests(Message[None]):
    """Drains the requests of a shard before this instance releases the shard.

    The reply comes when the dispatched requests have ended. Requests that wait for
    a slot are refused and have not run.

    Attributes:
        remaining_ms: Time after which dispatched requests are answered with an unknown
            outcome.
    """

    remaining_ms: int


@attrs.frozen
class ReleaseShards(Message[None]):
    """Releases every owned shard so that other instances can take over at once."""
