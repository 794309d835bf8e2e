"""What the scheduler of steps needs of the connection to a worker."""

from __future__ import annotations

import abc

from marjoramgrade.stepjobs import StartOrder, TaskRef, WorkerListing


class WorkerPort(abc.ABC):
    """Base class of the clients of one worker.

    Every order carries a fence; a worker does nothing for one below the highest
    that it has seen. Every call can raise `WorkerUnreachableError` (nothing was
    sent), `WorkerUnresponsiveError` (it may be carried out later),
    `WorkerReplacedError` and `WorkerRefusedError` (nothing was done).
    """

    @abc.abstractmethod
    async def start(self, order: StartOrder, fence: int, expires_clock_ms: int) -> int:
        """Start a run and renew the lease.

        Args:
            order: The run.
            fence: The fence.
            expires_clock_ms: When the lease ends, on the worker's clock.

        Returns:
            The worker's clock in milliseconds.
        """

    @abc.abstractmethod
    async def stop(self, task: TaskRef, run: int, fence: int) -> int:
        """Stop a run; returns the worker's clock in milliseconds."""

    @abc.abstractmethod
    async def pace(self, task: TaskRef, run: int, percent: int, fence: int) -> int:
        """Let a run work at a share of its speed; returns the worker's clock."""

    @abc.abstractmethod
    async def renew(
        self, fence: int, expires_clock_ms: int, acknowledged: int, wait_ms: int
    ) -> WorkerListing:
        """Renew the lease and list the runs.

        Args:
            fence: The fence.
            expires_clock_ms: When the lease ends, on the worker's clock; 0 to leave
                it as it is.
            acknowledged: Ends up to this number are forgotten.
            wait_ms: Longest time to wait for an end.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""
