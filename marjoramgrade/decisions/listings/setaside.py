"""Workers that are left alone for a while, since their link failed unexpectedly.

A failed link is made again, since the cause may be gone. The load is a worker whose
data makes each link fail at once: its pause doubles, so that one worker costs next to
nothing and does not fill the log.

The state is about one worker and belongs to the scheduler of a process. It outlives a
leadership, so that a worker whose data ends a leadership does not end the next one too.
It ends with the process, once the worker has left, or if no link has failed for
`FORGET_MS` since the last pause.
"""

from __future__ import annotations

import attrs

# The first pause is shorter than a lease, so that the runs of a worker whose link
# failed once are kept.
FIRST_PAUSE_MS = 500
MAX_PAUSE_MS = 60_000
# Pause of a worker whose message could not be handled, which costs a leadership.
LEAD_PAUSE_MS = 300_000
FORGET_MS = 60_000


@attrs.define
class _Failures:
    """Failures of one worker.

    Attributes:
        until_ms: End of the pause.
        pause_ms: Length of the last pause.
        is_due: Whether the end of the pause has not been reported yet.
    """

    until_ms: int
    pause_ms: int
    is_due: bool = True


@attrs.define
class SetAsideWorkers:
    """Decides for how long a worker is left alone after an unexpected failure."""

    _failures_by_id: dict[str, _Failures] = attrs.field(factory=dict)

    def record_failure(
        self, worker_id: str, now_ms: int, first_pause_ms: int = FIRST_PAUSE_MS
    ) -> int:
        """Set a worker aside.

        Args:
            worker_id: The worker.
            now_ms: Current time.
            first_pause_ms: Shortest pause.

        Returns:
            Length of the pause in milliseconds.
        """
        last = self._failures_by_id.get(worker_id)
        pause_ms = first_pause_ms
        if last is not None and now_ms < last.until_ms + FORGET_MS:
            pause_ms = max(pause_ms, min(2 * last.pause_ms, MAX_PAUSE_MS))
        self._failures_by_id[worker_id] = _Failures(now_ms + pause_ms, pause_ms)
        return pause_ms

    def is_set_aside(self, worker_id: str, now_ms: int) -> bool:
        """Return whether a worker gets no link now."""
        failures = self._failures_by_id.get(worker_id)
        return failures is not None and now_ms < failures.until_ms

    def pop_due(self, now_ms: int) -> list[str]:
        """Return the workers whose pause has ended since the last call."""
        due = []
        for worker_id, failures in list(self._failures_by_id.items()):
            if failures.is_due and now_ms >= failures.until_ms:
                failures.is_due = False
                due.append(worker_id)
            elif now_ms >= failures.until_ms + FORGET_MS:
                del self._failures_by_id[worker_id]
        return due

    def forget(self, worker_id: str) -> None:
        """Forget a worker that has left."""
        self._failures_by_id.pop(worker_id, None)
