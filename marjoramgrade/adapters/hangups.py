"""Notices connections whose other side has closed while they are not read.

A stream that is read in turns sees the end of a connection only after all bytes before
it, so that connections which nobody waits for would be kept.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections.abc import Callable

import attrs

_HANGUP = select.EPOLLRDHUP | select.EPOLLONESHOT


@attrs.define(eq=False)
class HangupWatcher:
    """Reports each watched descriptor once when its other side has closed.

    It waits for events only while something is watched.

    Attributes:
        on_hangup: Called with the descriptor, on the event loop that watches it.
    """

    on_hangup: Callable[[int], None]
    _epoll: select.epoll | None = None
    _loop: asyncio.AbstractEventLoop | None = None
    _watched: set[int] = attrs.field(factory=set)

    def watch(self, descriptor: int) -> None:
        """Watch the descriptor of a connected socket, unless it is being watched."""
        if descriptor in self._watched:
            return
        if self._epoll is None:
            self._epoll = select.epoll()
            self._loop = asyncio.get_running_loop()
            self._loop.add_reader(self._epoll.fileno(), self._report)
        self._epoll.register(descriptor, _HANGUP)
        self._watched.add(descriptor)

    def forget(self, descriptor: int) -> None:
        """Stop watching a descriptor, before it is closed."""
        if descriptor not in self._watched or self._epoll is None:
            # Most connections never wait for a turn and are not watched.
            return
        self._watched.discard(descriptor)
        with contextlib.suppress(OSError):
            self._epoll.unregister(descriptor)
        if not self._watched:
            if self._loop is not None and not self._loop.is_closed():
                self._loop.remove_reader(self._epoll.fileno())
            self._epoll.close()
            self._epoll = None

    def _report(self) -> None:
        if self._epoll is None:
            return
        for descriptor, _ in self._epoll.poll(0):
            # An earlier report of this round may have closed it.
            if descriptor in self._watched:
                self.on_hangup(descriptor)
