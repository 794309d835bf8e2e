"""Responses of the store that arrive, until their readers have fetched them."""

from __future__ import annotations

import asyncio
import secrets

from marjoramgrade.errors import TableUnavailableError
from marjoramgrade.messages.rows import FetchPart, PagePart, PageTransfer, RowsPage
from marjoramgrade.pageparts import split_page

# A reader that asks for no part for this long uses another path. Longer than a part
# takes, and than a relay waits for it.
IDLE_MS = 3_000
# Ids must differ from those of earlier incarnations of this instance.
ID_BITS = 62


class Transfer:
    """A response that arrives.

    Attributes:
        arrivals: How often bytes have arrived.
        has_begun: Set once bytes have arrived, or the response has failed.
        parts: The parts of the page, once it is complete.
        expiry: Drops the transfer if no part is asked for.
    """

    def __init__(self) -> None:
        self.arrivals = 0
        self.has_begun = asyncio.Event()
        self.parts: list[RowsPage] = []
        self.expiry: asyncio.TimerHandle | None = None
        self._page: asyncio.Future[RowsPage] | None = None

    def record_arrival(self) -> None:
        """Record that bytes have arrived."""
        self.arrivals += 1
        self.has_begun.set()

    def receive(self, page: asyncio.Future[RowsPage]) -> None:
        """Set the task that receives the page."""
        self._page = page
        page.add_done_callback(self._complete)

    async def wait(self, timeout_ms: int) -> bool:
        """Wait for the page and return whether it is complete.

        Raises:
            TableError: If the response has failed.
        """
        assert self._page is not None
        await asyncio.wait((self._page,), timeout=timeout_ms / 1000)
        if not self._page.done():
            return False
        if self._page.cancelled():
            raise TableUnavailableError("the response is no longer received")
        self._split(await self._page)
        return True

    def cancel(self) -> None:
        """Stop receiving the page."""
        if self._page is not None:
            self._page.cancel()

    def _complete(self, page: asyncio.Future[RowsPage]) -> None:
        if not page.cancelled() and page.exception() is None:
            self._split(page.result())
        self.has_begun.set()

    def _split(self, page: RowsPage) -> None:
        # The page may be complete before its callback has been called.
        if not self.parts:
            self.parts = split_page(page)


class Transfers:
    """The transfers of one connection to the store, by id."""

    def __init__(self) -> None:
        self._transfer_by_id: dict[int, Transfer] = {}

    def add(self, transfer: Transfer) -> PageTransfer:
        """Keep a transfer for its reader and return the reply that names it."""
        transfer_id = secrets.randbits(ID_BITS)
        self._transfer_by_id[transfer_id] = transfer
        self._postpone_expiry(transfer_id, transfer)
        return PageTransfer(transfer_id)

    async def fetch_part(self, message: FetchPart) -> PagePart:
        """Return a part, or an empty one if the response is still arriving.

        Raises:
            TableUnavailableError: If the transfer has failed or expired, or has no
                such part.
        """
        transfer = self._transfer_by_id.get(message.transfer_id)
        if transfer is None:
            raise TableUnavailableError("the response is no longer kept")
        self._postpone_expiry(message.transfer_id, transfer)
        if not await transfer.wait(message.wait_ms):
            return PagePart(RowsPage((), 0), 0, transfer.arrivals)
        count = len(transfer.parts)
        if not 0 <= message.index < count:
            raise TableUnavailableError(f"the response has no part {message.index}")
        if message.index == count - 1:
            self._drop(message.transfer_id)
        return PagePart(transfer.parts[message.index], count, transfer.arrivals)

    def clear(self) -> None:
        """Drop all transfers."""
        for transfer_id in list(self._transfer_by_id):
            self._drop(transfer_id)

    def _postpone_expiry(self, transfer_id: int, transfer: Transfer) -> None:
        if transfer.expiry is not None:
            transfer.expiry.cancel()
        loop = asyncio.get_running_loop()
        transfer.expiry = loop.call_later(IDLE_MS / 1000, self._drop, transfer_id)

    def _drop(self, transfer_id: int) -> None:
        transfer = self._transfer_by_id.pop(transfer_id, None)
        if transfer is None:
            return
        if transfer.expiry is not None:
            transfer.expiry.cancel()
        transfer.cancel()
