"""Messages about jobs and their tasks."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.model import Job, JobSpec, Outcome, TaskId


@attrs.frozen
class StoredJob:
    """A job and the version of its row."""

    job: Job
    version: int


@attrs.frozen
class SubmitJob(Message[StoredJob]):
    """Asks to store a job; resubmitting the same id and spec has no effect."""

    job_id: str
    spec: JobSpec


@attrs.frozen
class GetJob(Message[StoredJob]):
    """Asks for one job."""

    job_id: str


@attrs.frozen
class ListJobs(Message[tuple[StoredJob, ...]]):
    """Asks for the jobs that this instance knows, of one team or of all teams."""

    team: str = ""


@attrs.frozen
class CancelJob(Message[StoredJob]):
    """Asks to end the open tasks of a job as cancelled."""

    job_id: str


@attrs.frozen
class JobsChanged(Message[None]):
    """Jobs whose rows changed, in order of version.

    Attributes:
        jobs: The jobs.
        read_version: Every change up to this commit number has been reported.
    """

    jobs: tuple[StoredJob, ...]
    read_version: int = 0


@attrs.frozen
class JobAssigned(Message[None]):
    """Tells the owner of a shard that a job row was written for it."""

    job_id: str
    shard: str


@attrs.frozen
class ShardFence:
    """Fencing token; a write with it is rejected after the shard's next takeover.

    Attributes:
        shard: Name of the shard.
        version: Version of the shard's epoch row at the writer's takeover.
    """

    shard: str
    version: int


@attrs.frozen
class WriteJob(Message[StoredJob]):
    """Asks the record writer to write a job row.

    Attributes:
        job: The new content of the row.
        expected_version: Version that the row must have; zero for a new row.
        fence: Token of the shard that the writer must still own; None if the writer
            does not act as the owner of a shard.
    """

    job: Job
    expected_version: int
    fence: ShardFence | None = None


@attrs.frozen
class RecordRequestId(Message[None]):
    """Asks the record writer to record the id of a non-idempotent request."""

    team: str
    request_id: str


@attrs.frozen
class TaskStatus:
    """The state of one task, as shown to operators.

    Attributes:
        task: The task.
        state: Name of the state.
        reason: Why the task is in this state.
        worker_id: The worker that runs the task, or empty.
    """

    task: TaskId
    state: str
    reason: str
    worker_id: str = ""

    @classmethod
    def from_outcome(cls, task: TaskId, outcome: Outcome, reason: str) -> TaskStatus:
        """Return the state of a task that has ended."""
        return cls(task, outcome.name.lower(), reason)

    @classmethod
    def from_ended(cls, job: Job) -> tuple[TaskStatus, ...]:
        """Return the states of all tasks of a job that has ended."""
        return tuple(
            cls.from_outcome(TaskId(job.job_id, index), Outcome(outcome), "ended")
            for index, outcome in enumerate(job.outcomes)
        )


@attrs.frozen
class GetTasks(Message[tuple[TaskStatus, ...]]):
    """Asks the owner of a shard for the tasks of a job.

    Attributes:
        shard: The home shard of the job; empty if it must be looked up.
        job_id: The job.
    """

    shard: str
    job_id: str
