"""Final outcomes of tasks that are not yet durable, collected by job."""

from __future__ import annotations

import attrs

from marjoramgrade.model import Job, Outcome, TaskId


@attrs.define
class JobOutcomes:
    """Outcomes of one job that are to be written.

    Attributes:
        outcome_by_index: Final outcomes by task index.
        worker_by_task: Workers that store the end of a task and may discard it once the
            outcome is written.
    """

    outcome_by_index: dict[int, Outcome] = attrs.field(factory=dict)
    worker_by_task: dict[TaskId, str] = attrs.field(factory=dict)

    def merge_into(self, job: Job) -> Job:
        """Return the job with these outcomes and, once all are final, a new reason."""
        merged = job.with_outcomes(self.outcome_by_index)
        open_tasks = merged.outcomes.count(Outcome.OPEN.value)
        return attrs.evolve(
            merged, reason=merged.state.value if not open_tasks else job.reason
        )


class PendingOutcomes:
    """Final outcomes of a shard's tasks that are to be written to the table."""

    def __init__(self) -> None:
        self._waiting_by_job: dict[str, JobOutcomes] = {}
        self._jobs_being_written: set[str] = set()
        self._final_by_task: dict[TaskId, Outcome] = {}

    def record(self, task: TaskId, outcome: Outcome, worker_id: str = "") -> bool:
        """Record the final outcome of a task.

        Args:
            task: The task.
            outcome: How it ended.
            worker_id: Worker that stores the end until it is acknowledged, or empty.

        Returns:
            Whether this is the first outcome of the task.
        """
        waiting = self._waiting_by_job.setdefault(task.job_id, JobOutcomes())
        if worker_id:
            waiting.worker_by_task[task] = worker_id
        if task in self._final_by_task:
            return False
        self._final_by_task[task] = outcome
        waiting.outcome_by_index[task.index] = outcome
        return True

    def is_final(self, task: TaskId) -> bool:
        """Return whether an outcome of the task is recorded and not discarded."""
        return task in self._final_by_task

    def outcome_of(self, task: TaskId) -> Outcome | None:
        """Return the recorded outcome, or None if there is none or it was discarded."""
        return self._final_by_task.get(task)

    def jobs_to_write(self) -> list[str]:
        """Return the jobs with waiting outcomes and no write in progress."""
        return [
            job for job in self._waiting_by_job if job not in self._jobs_being_written
        ]

    def begin_write(self, job_id: str) -> JobOutcomes:
        """Remove and return the waiting outcomes of a job; one write at a time."""
        self._jobs_being_written.add(job_id)
        return self._waiting_by_job.pop(job_id)

    def end_write(self, job_id: str) -> None:
        """End a write that has succeeded; its outcomes are durable."""
        self._jobs_being_written.discard(job_id)

    def restore(self, job_id: str, outcomes: JobOutcomes) -> None:
        """Put back outcomes whose write failed or has an unknown result."""
        self._jobs_being_written.discard(job_id)
        waiting = self._waiting_by_job.setdefault(job_id, JobOutcomes())
        waiting.outcome_by_index.update(outcomes.outcome_by_index)
        waiting.worker_by_task.update(outcomes.worker_by_task)

    def has_open_writes(self, job_id: str) -> bool:
        """Return whether outcomes of a job are waiting or being written."""
        return job_id in self._jobs_being_written or job_id in self._waiting_by_job

    def discard_job(self, job: Job) -> None:
        """Discard the final outcomes of a job that has ended or moved away."""
        for index in range(job.spec.tasks):
            self._final_by_task.pop(TaskId(job.job_id, index), None)
