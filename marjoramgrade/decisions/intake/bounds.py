"""Bounds of one process, derived from its memory and its descriptors.

They handle many concurrent bodies and connections that are never finished: memory and
descriptors would otherwise grow with the number of clients.
"""

from __future__ import annotations

import attrs

from marjoramgrade.errors import InvalidInputError

# The smallest instances that are deployed.
DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_FDS = 4_100
# Descriptors that the platform counts for files, not for connections.
FILE_DESCRIPTORS = 200
# What an instance uses when idle. The bounds are shares of the memory beyond it; the
# copies made while a body is decoded come on top.
IDLE_INSTANCE_MB = 45
BODY_MEMORY_SHARE = 0.16
CONNECTION_MEMORY_SHARE = 0.2
# Room for twice the instances of the largest deployment on the smallest instances.
PEER_MEMORY_SHARE = 0.38
# Texts of the jobs that a leader holds. A text of 4,000 bytes for each of 5,000 open
# jobs is less.
JOB_TEXT_MEMORY_SHARE = 0.15
# Objects of a connection (12 KB) and its read buffer, which holds a header of at most
# 16 KB before the first byte of a body.
CONNECTION_BYTES = 32_768
# What the kernel holds of a connection that is not being read. It counts against the
# memory of an instance. That of a peer is larger, because a relayed commit of 800 KB
# has to arrive within 200 ms.
RECEIVE_BUFFER_BYTES = 24_576
PEER_RECEIVE_BUFFER_BYTES = 65_536
# Part of the budget that only small bodies may use. Ordinary jobs are a few KB.
SMALL_BODY_SHARE = 1 / 4
SMALL_BODY_BYTES = 16_384
# The remaining descriptors are for connections to the store, workers and instances.
CLIENT_DESCRIPTOR_SHARE = 1 / 4
PEER_DESCRIPTOR_SHARE = 1 / 4
# The readiness check and the scraper of the metrics use a few connections each.
SIDE_DESCRIPTOR_SHARE = 1 / 32
# A client completes its body within its deadline, which is at most 60 s.
BODY_DURATION_MS = 60_000
# Longer than the outages of a link that a connection survives.
SILENCE_MS = 30_000
# A peer sends its hello as soon as it has connected.
HELLO_MS = 5_000
MEGABYTE = 1_048_576


@attrs.frozen
class IntakeBounds:
    """What connections from outside may use.

    Attributes:
        body_bytes: Bytes of all unfinished bodies, frames and responses.
        small_bytes: Part of `body_bytes` that only small bodies may use.
        client_connections: Open connections of clients.
        peer_connections: Open connections of other instances.
        side_connections: Open connections to each of the other ports.
        job_text_bytes: Memory of the texts of all jobs that a leader holds.
        silence_ms: Longest time without a byte within a body, a frame or a response.
        body_ms: Longest time from the first byte of a body or frame to the last.
        hello_ms: Longest time until a peer has identified itself.
    """

    body_bytes: int
    small_bytes: int
    client_connections: int
    peer_connections: int
    side_connections: int
    job_text_bytes: int
    silence_ms: int = SILENCE_MS
    body_ms: int = BODY_DURATION_MS
    hello_ms: int = HELLO_MS

    @classmethod
    def from_config(cls, memory_mb: int = 0, max_fds: int = 0) -> IntakeBounds:
        """Return the bounds of an instance.

        Args:
            memory_mb: Memory of the instance, or 0 if it is not known.
            max_fds: Descriptors that it may open, or 0 if it is not known.

        Raises:
            InvalidInputError: If the instance could not serve any client.
        """
        free_mb = (memory_mb or DEFAULT_MEMORY_MB) - IDLE_INSTANCE_MB
        memory_bytes = free_mb * MEGABYTE
        sockets = (max_fds or DEFAULT_MAX_FDS) - FILE_DESCRIPTORS
        body_bytes = int(memory_bytes * BODY_MEMORY_SHARE)
        client_bytes = CONNECTION_BYTES + RECEIVE_BUFFER_BYTES
        by_memory = int(memory_bytes * CONNECTION_MEMORY_SHARE) // client_bytes
        peer_bytes = CONNECTION_BYTES + PEER_RECEIVE_BUFFER_BYTES
        peers_by_memory = int(memory_bytes * PEER_MEMORY_SHARE) // peer_bytes
        bounds = cls(
            body_bytes,
            int(body_bytes * SMALL_BODY_SHARE),
            min(int(sockets * CLIENT_DESCRIPTOR_SHARE), by_memory),
            min(int(sockets * PEER_DESCRIPTOR_SHARE), peers_by_memory),
            int(sockets * SIDE_DESCRIPTOR_SHARE),
            int(memory_bytes * JOB_TEXT_MEMORY_SHARE),
        )
        if bounds.side_connections < 1 or bounds.client_connections < 1:
            raise InvalidInputError(
                f"{memory_mb} MB and {max_fds} descriptors leave no connection"
            )
        return bounds
