"""A TCP server that accepts connections only while it has room for them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import Any

from tornado.iostream import IOStream
from tornado.netutil import add_accept_handler
from tornado.tcpserver import TCPServer

from marjoramgrade.adapters.intake import Intake, MeasuredStream
from marjoramgrade.decisions.intake.connections import ConnectionUse

# Time after which a server that has paused looks for room.
PAUSE_MS = 20


class BoundedTcpServer(TCPServer):
    """Base class of servers whose connections an intake bounds.

    Without room, connections wait in the queue of the kernel. Accepting them would
    close others whose clients have not had the time to send their request.
    """

    _intake: Intake | None = None

    def bound_connections(
        self, intake: Intake, max_connections: int, receive_buffer_bytes: int, name: str
    ) -> None:
        """Bound the connections; called before sockets are added.

        Args:
            intake: Bounds the connections of the process.
            max_connections: Limit of open connections.
            receive_buffer_bytes: What the kernel holds of each connection, at most,
                before it is read, in bytes.
            name: Name of the port in the log.
        """
        self._intake = intake
        self._max_connections = max_connections
        self._receive_buffer_bytes = receive_buffer_bytes
        self._name = name
        self._uses: set[ConnectionUse] = set()
        self._is_paused = False

    @property
    def intake(self) -> Intake:
        """The intake that bounds the connections."""
        assert self._intake is not None
        return self._intake

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Start accepting connections on listening sockets."""
        listening = list(sockets)
        if self._intake is not None:
            # Connections take the size over when they are accepted. The kernel doubles
            # it for its own data, but large segments leave nearly all for the payload.
            size = self._receive_buffer_bytes // 2
            for each in listening:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        super().add_sockets(listening)

    def open_stream(
        self,
        stream: IOStream,
        address: tuple[Any, ...],
        *,
        is_identified: bool = True,
    ) -> MeasuredStream | None:
        """Take in a connection that was accepted.

        Args:
            stream: The stream that tornado made. It has not been used and does not own
                its socket.
            address: Address of the other side.
            is_identified: Whether the other side need not introduce itself.

        Returns:
            The stream to use instead, or None if there is no room.
        """
        measured = self.intake.open(
            stream.socket,
            self._uses,
            self._max_connections,
            self.max_buffer_size,
            name=f"{self._name}:{address[0]}:{address[1]}",
            is_identified=is_identified,
        )
        if not self.intake.has_room(self._uses, self._max_connections):
            self._pause()
        return measured

    def _pause(self) -> None:
        if self._is_paused:
            return
        self._is_paused = True
        for descriptor, remove in self._handlers.items():
            remove()
            self._handlers[descriptor] = _do_nothing
        self._schedule_resume()

    def _schedule_resume(self) -> None:
        asyncio.get_running_loop().call_later(PAUSE_MS / 1_000, self._resume)

    def _resume(self) -> None:
        if self._stopped:
            return
        if not self.intake.has_room(self._uses, self._max_connections):
            self._schedule_resume()
            return
        self._is_paused = False
        for descriptor, listening in self._sockets.items():
            remove: Callable[[], None] = add_accept_handler(
                listening, self._handle_connection
            )
            self._handlers[descriptor] = remove


def _do_nothing() -> None:
    """Stand for the removal of a handler that has been removed."""
