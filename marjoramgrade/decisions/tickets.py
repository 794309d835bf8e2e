"""Advice on which workers may run a step, and the tickets that permit it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

# A ticket is used only if it stays valid for this long, the time to reach the worker.
TICKET_MARGIN_MS = 150
# Delay before the next call after a failed one; the advisor serves one call at a
# time.
ADVICE_RETRY_MS = 300


@attrs.frozen
class Ticket:
    """Time-limited permission to run a step on one incarnation of a worker.

    Attributes:
        text: The ticket as issued by the advisor.
        born_unix_ms: Start of the worker's incarnation, in Unix time.
        valid_until_ms: Expiry, on this instance's clock.
    """

    text: str
    born_unix_ms: int
    valid_until_ms: int


@attrs.define
class TicketCache:
    """The advisor's responses for one step.

    Attributes:
        ticket_by_worker: The newest ticket of each worker that may run the step.
        asked_workers: Ids of workers that the advisor has accepted or rejected.
        is_pending: Whether a call is in progress.
        next_call_ms: Earliest time of the next call.
    """

    ticket_by_worker: dict[str, Ticket] = attrs.field(factory=dict)
    asked_workers: set[str] = attrs.field(factory=set)
    is_pending: bool = False
    next_call_ms: int = 0

    def ticket_for(
        self, worker_id: str, born_unix_ms: int, now_ms: int
    ) -> Ticket | None:
        """Return a ticket that is still valid, or None."""
        ticket = self.ticket_by_worker.get(worker_id)
        if ticket is None or ticket.born_unix_ms != born_unix_ms:
            return None
        return ticket if now_ms + TICKET_MARGIN_MS < ticket.valid_until_ms else None

    def has_valid(self, now_ms: int) -> bool:
        """Whether any ticket is still valid."""
        return any(
            now_ms + TICKET_MARGIN_MS < ticket.valid_until_ms
            for ticket in self.ticket_by_worker.values()
        )

    def workers_to_ask(self, worker_ids: Iterable[str]) -> list[str]:
        """Return the workers to name in the next call.

        Rejected workers are not named again, since the advisor's decision on a worker
        does not change.
        """
        return [
            worker_id
            for worker_id in worker_ids
            if worker_id not in self.asked_workers or worker_id in self.ticket_by_worker
        ]

    def record(
        self, asked: Iterable[str], ticket_by_worker: Mapping[str, Ticket]
    ) -> None:
        """Apply the response to a call."""
        self.is_pending = False
        self.asked_workers.update(asked)
        for worker_id in asked:
            self.ticket_by_worker.pop(worker_id, None)
        self.ticket_by_worker.update(ticket_by_worker)

    def record_failure(self, now_ms: int) -> None:
        """Record a failed call; the next one is delayed."""
        self.is_pending = False
        self.next_call_ms = now_ms + ADVICE_RETRY_MS

    def discard_ticket(self, worker_id: str) -> None:
        """Discard a ticket that its worker rejected, so that a new one is requested."""
        self.ticket_by_worker.pop(worker_id, None)
        self.asked_workers.discard(worker_id)

    def record_not_reached(self) -> None:
        """Record a call that did not reach the advisor; another may follow at once."""
        self.is_pending = False
