"""Gangs that have started: if one member is lost, all start again."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.tasks import QueuedTask, RunningTask
from marjoramgrade.model import TaskId


@attrs.define
class GangRun:
    """The members of one started gang.

    Attributes:
        running: Number of members that have not ended.
        members_to_restart: Members that ended without a result and must start again.
        has_failed: Whether a member failed by itself, which counts an attempt.
    """

    running: int = 0
    members_to_restart: set[int] = attrs.field(factory=set)
    has_failed: bool = False


@attrs.frozen
class MemberEnd:
    """What follows from the end of one member.

    Attributes:
        must_stop_others: Whether the other members must be stopped now.
        entry: Once the last member has ended, those that must start again.
        has_failed: Whether a member failed by itself.
    """

    must_stop_others: bool = False
    entry: QueuedTask | None = None
    has_failed: bool = False


class GangRuns:
    """The started gangs of one shard, by job."""

    def __init__(self) -> None:
        self._run_by_job: dict[str, GangRun] = {}

    def record_start(self, running: RunningTask) -> None:
        """Count a member that starts."""
        run = self._run_by_job.setdefault(running.task.job_id, GangRun())
        run.running += 1

    def record_adoption(self, running: RunningTask, queued: tuple[int, ...]) -> None:
        """Take note of a counted member that was found running.

        Args:
            running: The member.
            queued: Members of the gang that were queued until now.
        """
        run = self._run_by_job[running.task.job_id]
        run.members_to_restart.update(queued)
        run.members_to_restart.discard(running.task.index)

    def is_awaiting_restart(self, task: TaskId) -> bool:
        """Return whether a task starts again once its gang has ended."""
        run = self._run_by_job.get(task.job_id)
        return run is not None and task.index in run.members_to_restart

    def cancel(self, task: TaskId) -> None:
        """Let a member that waits for the end of its gang not start again."""
        run = self._run_by_job.get(task.job_id)
        if run is not None:
            run.members_to_restart.discard(task.index)

    def cancel_job(self, job_id: str) -> int:
        """Let no member of a gang start again; returns how many waited."""
        run = self._run_by_job.get(job_id)
        if run is None:
            return 0
        waiting = len(run.members_to_restart)
        run.members_to_restart.clear()
        return waiting

    def record_end(
        self, running: RunningTask, must_restart: bool, has_failed: bool
    ) -> MemberEnd:
        """Count a member that has ended.

        Args:
            running: The member.
            must_restart: Whether it must start again.
            has_failed: Whether it failed by itself.
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
