"""Average task durations by queue, computed from completed tasks."""

from __future__ import annotations

import attrs

# Weight of a new duration in the moving average, which covers about the last thirty
# tasks.
SMOOTHING_FACTOR = 1 / 30


@attrs.define
class QueueDurations:
    """Average durations in milliseconds by queue."""

    _average_by_queue: dict[str, float] = attrs.field(factory=dict)

    def add(self, queue: str, duration_ms: float) -> None:
        """Add the duration of a completed task."""
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
            estimate_ms: The client's rough estimate, used until the first task of the
                queue is done.
        """
        return self._average_by_queue.get(queue, float(estimate_ms))

    def average_ms(self, queue: str) -> float | None:
        """Return the average duration of a queue's tasks, or None if none is done."""
        return self._average_by_queue.get(queue)
