"""Jobs that consist of steps of tasks, and what workers report of their runs.

A job of this kind is handed in to a queue. Its steps form an acyclic graph;
each step has a number of like tasks, and a schedule can repeat all steps.
"""

from __future__ import annotations

import enum

import attrs

from marjoramgrade.errors import InvalidInputError
from marjoramgrade.resources import ZERO_RESOURCES, Resources

# A job of this size fits into one row of the store with room for its progress.
MAX_STEPS = 64
MAX_TASKS_PER_STEP = 2_000


class StepJobState(enum.Enum):
    """The state of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job never changes again."""
        return self in _FINAL


_FINAL = frozenset(
    (StepJobState.COMPLETED, StepJobState.FAILED, StepJobState.CANCELLED)
)


class RunEndStatus(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


@attrs.frozen
class Step:
    """A number of like tasks.

    Attributes:
        count: Number of tasks.
        resources: What each task needs.
        estimate_ms: The caller's rough estimate of a task's duration.
        after: Indexes of the steps whose tasks must all be done before.
        gang: Whether the tasks work only while all of them run.
        same_rack: Whether the tasks are slower on more than one rack.
        required_label: Label that a worker must have, or empty.
        data_rack: Rack that holds the data, or empty.
        max_per_worker: Tasks of the step that one worker may run; 0 for any number.
        speculative: Whether copies of a task may run at the same time.
        long_running: Whether the tasks run until the job is cancelled.
        checkpoints: Whether the tasks save their progress.
        image: What the tasks run; tasks of one image behave alike.
        latency_target_ms: Bound of the tail latency that a long-running task's own
            users see; 0 for none.
        uses_spare: Whether the tasks take only processor time that others leave.
        max_unavailable: Tasks that the scheduler's own acts may make unavailable at
            a time; 0 for no bound.
    """

    count: int
    resources: Resources = ZERO_RESOURCES
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpoints: bool = False
    image: str = ""
    latency_target_ms: int = 0
    uses_spare: bool = False
    max_unavailable: int = 0


@attrs.frozen
class Schedule:
    """When the steps of a job run.

    Attributes:
        times: Number of occurrences; 0 for a job that runs once, at once.
        first_unix_ms: When the first occurrence is due, in milliseconds since 1970.
        interval_ms: Time between occurrences.
    """

    times: int = 0
    first_unix_ms: int = 0
    interval_ms: int = 0

    def due_unix_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since 1970."""
        return self.first_unix_ms + occurrence * self.interval_ms


@attrs.frozen
class StepJob:
    """A job as handed in.

    Attributes:
        job_id: Id that the caller chose.
        queue: Name of the queue.
        team: Team whose key came with it; empty on a public queue.
        payload: Opaque text for the tasks.
        steps: The steps.
        schedule: When they run.
        accepted_unix_ms: When it was taken, in milliseconds since 1970.
    """

    job_id: str
    queue: str
    team: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()
    accepted_unix_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return self.schedule.times or 1

    def check(self) -> None:
        """Check what the types alone do not.

        Raises:
            InvalidInputError: If a step is empty or its predecessors are wrong.
        """
        if not 0 < len(self.steps) <= MAX_STEPS:
            raise InvalidInputError(f"a job has 1 to {MAX_STEPS} steps")
        for index, step in enumerate(self.steps):
            if not 0 < step.count <= MAX_TASKS_PER_STEP:
                raise InvalidInputError(f"a step has 1 to {MAX_TASKS_PER_STEP} tasks")
            if any(not 0 <= earlier < index for earlier in step.after):
                raise InvalidInputError(f"step {index} must come after earlier steps")


@attrs.frozen(cache_hash=True)
class TaskRef:
    """One task of one occurrence of a step."""

    job_id: str
    occurrence: int
    step: int
    index: int


@attrs.frozen
class RunReport:
    """What a worker says of a run that is present.

    Attributes:
        task: The task.
        run: Number of the run.
        checkpoint: The newest checkpoint, or empty.
        percent: Progress, 0 to 100.
        measurement: Tail latency in milliseconds of a task with a latency target,
            processor use in thousandths of a core of any other.
    """

    task: TaskRef
    run: int
    checkpoint: str
    percent: int
    measurement: int


@attrs.frozen
class RunEnd:
    """What a worker says of a run that has ended.

    Attributes:
        number: Rises with each end in one life of the worker.
        task: The task.
        run: Number of the run.
        ending: How it ended.
        checkpoint: The newest checkpoint, or empty.
    """

    number: int
    task: TaskRef
    run: int
    ending: RunEndStatus
    checkpoint: str


@attrs.frozen
class WorkerListing:
    """What a worker says of itself in answer to a lease renewal.

    Attributes:
        born_unix_ms: When this life of the worker began.
        clock_ms: The worker's own steady clock.
        running: The runs that are present.
        ended: The ends that have not been acknowledged.
    """

    born_unix_ms: int
    clock_ms: int
    running: tuple[RunReport, ...] = ()
    ended: tuple[RunEnd, ...] = ()


@attrs.frozen
class StepWorker:
    """A worker that runs tasks of steps, as it registered itself.

    Attributes:
        worker_id: Its id.
        pool: The pool that it belongs to.
        address: IP number and port.
        zone: Its availability zone.
        capacity: What it offers.
        labels: Its kind and its rack.
        draining: Whether it is about to leave.
        born_unix_ms: When this life of the worker began.
    """

    worker_id: str
    pool: str
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    born_unix_ms: int = 0

    @property
    def rack(self) -> str:
        """Its rack, which is its last label, or empty."""
        return self.labels[-1] if self.labels else ""


@attrs.frozen
class StartOrder:
    """Asks a worker to start a run.

    Attributes:
        task: The task.
        run: Number of the run.
        payload: Opaque text for the task.
        checkpoint: Where to resume, or empty.
        ticket: Permission of the placement advisor, or empty.
    """

    task: TaskRef
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""
