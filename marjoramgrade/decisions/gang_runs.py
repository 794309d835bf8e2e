"""Running gangs: if a member must restart, the running members restart with it."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.tasks import QueuedTask, RunningTask
from marjoramgrade.model import TaskId


@attrs.define
class GangRun:
    """The state of one gang that was started.

    Attributes:
        running: Number of members that have not ended.
        members_to_restart: Indices of members that ended without a result and
            must restart.
        has_failed: Whether a member failed on its own, which counts as an attempt.
    """

    running: int = 0
    members_to_restart: set[int] = attrs.field(factory=set)
    has_failed: bool = False


@attrs.frozen
class MemberEnd:
    """The consequences of the end of one member.

    Attributes:
        must_stop_others: Whether the other members must be stopped now.
        entry: Queue entry of the members that must restart, or None before the last
            member has ended and if none must restart.
        has_failed: Whether `entry` is set and a member failed on its own.
    """

    must_stop_others: bool = False
    entry: QueuedTask | None = None
    has_failed: bool = False


class GangRuns:
    """The running gangs of one shard by job."""

    def __init__(self) -> None:
        self._run_by_job: dict[str, GangRun] = {}

    def record_start(self, running: RunningTask) -> None:
        """Count a member as running."""
        run = self._run_by_job.setdefault(running.task.job_id, GangRun())
        run.running += 1

    def record_adoption(self, running: RunningTask, queued: tuple[int, ...]) -> None:
        """Record that a member that was already counted is still running.

        Args:
            running: The member.
            queued: Indices of the members that were queued until now.
        """
        run = self._run_by_job[running.task.job_id]
        run.members_to_restart.update(queued)
        run.members_to_restart.discard(running.task.index)

    def is_awaiting_restart(self, task: TaskId) -> bool:
        """Return whether a task restarts when its whole gang has ended."""
        run = self._run_by_job.get(task.job_id)
        return run is not None and task.index in run.members_to_restart

    def cancel(self, task: TaskId) -> None:
        """Cancel the restart of a member."""
        run = self._run_by_job.get(task.job_id)
        if run is not None:
            run.members_to_restart.discard(task.index)

    def cancel_job(self, job_id: str) -> int:
        """Cancel the restarts of all members and return their number."""
        run = self._run_by_job.get(job_id)
        if run is None:
            return 0
        waiting = len(run.members_to_restart)
        run.members_to_restart.clear()
        return waiting

    def record_end(
        self, running: RunningTask, must_restart: bool, has_failed: bool
    ) -> MemberEnd:
        """Count a member as ended.

        Args:
            running: The member.
            must_restart: Whether the member must restart.
            has_failed: Whether the member failed on its own.
        """
        run = self._run_by_job[running.task.job_id]
        if must_restart:
            run.members_to_restart.add(running.task.index)
        run.has_failed = run.has_failed or has_failed
        run.running -= 1
        if run.running:
            return MemberEnd(must_stop_others=must_restart)
        del self._run_by_job[running.task.job_id]
        if not run.members_to_restart:
            return MemberEnd()
        entry = running.to_queued(tuple(sorted(run.members_to_restart)))
        return MemberEnd(entry=entry, has_failed=run.has_failed)
