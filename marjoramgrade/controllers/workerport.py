"""Interface of the connection to a worker, as the step scheduler uses it."""

from __future__ import annotations

import abc

from marjoramgrade.stepjobs import StartOrder, TaskRef, WorkerListing


class WorkerPort(abc.ABC):
    """Base class of the clients of one worker.

    Every order carries a fencing token; a worker refuses orders whose token is below
    the highest that it has seen. Every call can raise `WorkerUnreachableError` (nothing
    was sent), `WorkerUnresponsiveError` (the order may be carried out later),
    `WorkerReplacedError` and `WorkerRefusedError` (nothing was done).
    """

    @abc.abstractmethod
    async def start(self, order: StartOrder, fence: int, expires_clock_ms: int) -> int:
        """Start a run and renew the lease.

        Args:
            order: The run to start.
            fence: The fencing token.
            expires_clock_ms: When the lease ends, on the worker's clock.

        Returns:
            The worker's clock in milliseconds.
        """

    @abc.abstractmethod
    async def stop(self, task: TaskRef, run: int, fence: int) -> int:
        """Stop a run; return the worker's clock in milliseconds."""

    @abc.abstractmethod
    async def pace(self, task: TaskRef, run: int, percent: int, fence: int) -> int:
        """Set the pace of a run in percent of its full speed.

        Returns:
            The worker's clock in milliseconds.
        """

    @abc.abstractmethod
    async def renew(
        self, fence: int, expires_clock_ms: int, acknowledged: int, wait_ms: int
    ) -> WorkerListing:
        """Renew the lease and list the runs.

        Args:
            fence: The fencing token.
            expires_clock_ms: When the lease ends, on the worker's clock; 0 to leave
                it unchanged.
            acknowledged: The worker discards run ends up to this number.
            wait_ms: Longest time that the worker waits for a run to end before it
                responds.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""
