"""How long tasks take, learned by queue from those that were done."""

from __future__ import annotations

import attrs

# Weight of a new duration in the average: about the last thirty tasks count.
SMOOTHING_FACTOR = 1 / 30


@attrs.define
class QueueDurations:
    """Average durations in milliseconds by queue."""

    _average_by_queue: dict[str, float] = attrs.field(factory=dict)

    def add(self, queue: str, duration_ms: float) -> None:
        """Take over the duration of a task that was done."""
        average = self._average_by_queue.get(queue)
        if average is None:
            self._average_by_queue[queue] = duration_ms
        else:
            self._average_by_queue[queue] = (
                average + (duration_ms - average) * SMOOTHING_FACTOR
            )

    def expected_ms(self, queue: str, estimate_ms: int) -> float:
        """Return the expected duration of a task.

        Args:
            queue: Name of the queue.
            estimate_ms: The caller's estimate, which is rough; used until the first
                task of the queue was done.
        """
        return self._average_by_queue.get(queue, float(estimate_ms))

    def average_ms(self, queue: str) -> float | None:
        """Return how long tasks of a queue took, None if none was done."""
        return self._average_by_queue.get(queue)
