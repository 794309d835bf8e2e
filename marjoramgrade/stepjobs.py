"""Step jobs, and what workers report about their runs.

A step job is submitted to a queue. Its steps form an acyclic graph, each step has
a number of identical tasks, and a schedule can repeat all steps.
"""

from __future__ import annotations

import enum
import sys

import attrs
from attrs import validators

from marjoramgrade.errors import InvalidInputError
from marjoramgrade.resources import ZERO_RESOURCES, Resources

# A job of this size fits into one row of the store, with space for its progress.
MAX_STEPS = 64
# Memory of a step without its texts, and of a reference to an earlier step.
STEP_BYTES = 1_024
REFERENCE_BYTES = 8
MAX_TASKS_PER_STEP = 2_000
# Largest number of a leadership. Fencing tokens and run numbers are multiples of it, of
# up to 10,000 times as much, and have to be exact in JSON.
MAX_EPOCH = 10**11


is_epoch = validators.and_(validators.ge(0), validators.le(MAX_EPOCH))


class StepJobState(enum.Enum):
    """The state of a job as clients see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job never changes again."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
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
    """A number of identical tasks.

    Attributes:
        count: Number of tasks.
        resources: Resources that each task needs.
        estimate_ms: The client's rough estimate of a task's duration.
        after: Indexes of the steps whose tasks must all be done first.
        gang: Whether the tasks make progress only while all of them run.
        same_rack: Whether the tasks are slower on more than one rack.
        required_label: Label that a worker must have, or empty.
        data_rack: Rack that holds the data, or empty.
        max_per_worker: Tasks of the step that one worker may run; 0 for any number.
        speculative: Whether speculative copies of a task may run.
        long_running: Whether the tasks run until the job is cancelled.
        checkpoints: Whether the tasks save their progress.
        image: Image that the tasks run; tasks of one image behave alike.
        latency_target_ms: Upper bound of the tail latency that the users of a
            long-running task see; 0 for none.
        uses_spare: Whether the tasks are best-effort work, which uses only processor
            time that other tasks leave unused.
        max_unavailable: Most tasks that the scheduler's own actions may make
            unavailable at the same time; 0 for no bound.
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
    """A job as submitted.

    Attributes:
        job_id: Id that the client chose.
        queue: Name of the queue.
        team: Team whose key the client sent; empty on a public queue.
        payload: Opaque text for the tasks.
        steps: The steps.
        schedule: When the steps run.
        accepted_unix_ms: When it was accepted, in milliseconds since 1970.
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

    @property
    def text_bytes(self) -> int:
        """Memory that the texts of the job take, in bytes."""
        size = sys.getsizeof(self.payload)
        for step in self.steps:
            for text in (step.required_label, step.data_rack, step.image):
                # All empty texts are one object.
                size += sys.getsizeof(text) if text else 0
        return size

    @property
    def size_bytes(self) -> int:
        """About how much memory the job takes, in bytes."""
        references = sum(len(step.after) for step in self.steps)
        steps_bytes = STEP_BYTES * len(self.steps) + REFERENCE_BYTES * references
        return steps_bytes + self.text_bytes

    def chain_lengths(self) -> tuple[int, ...]:
        """Return the length of the longest dependency chain that begins with each step.

        Visits each dependency once: the number of chains can be exponential.

        Returns:
            Lengths in steps, by index of the step; a step that no other depends on has
            length 1.
        """
        lengths = [1] * len(self.steps)
        for index in range(len(self.steps) - 1, -1, -1):
            for predecessor in self.steps[index].after:
                lengths[predecessor] = max(lengths[predecessor], 1 + lengths[index])
        return tuple(lengths)

    def check(self) -> None:
        """Check the constraints on a job that is handed in.

        Raises:
            InvalidInputError: If the shape is invalid, or a step names a predecessor
                twice.
        """
        self.check_shape()
        for index, step in enumerate(self.steps):
            if len(set(step.after)) != len(step.after):
                raise InvalidInputError(f"step {index} names a predecessor twice")

    def check_shape(self) -> None:
        """Check the constraints that the types do not express, also of a stored job.

        Raises:
            InvalidInputError: If the number of steps or of tasks in a step is out of
                range, or a step does not come after its predecessors.
        """
        if not 0 < len(self.steps) <= MAX_STEPS:
            raise InvalidInputError(f"a job must have 1 to {MAX_STEPS} steps")
        for index, step in enumerate(self.steps):
            if not 0 < step.count <= MAX_TASKS_PER_STEP:
                raise InvalidInputError(
                    f"a step must have 1 to {MAX_TASKS_PER_STEP} tasks"
                )
            if any(not 0 <= predecessor < index for predecessor in step.after):
                raise InvalidInputError(
                    f"step {index} may depend only on earlier steps"
                )


@attrs.frozen(cache_hash=True)
class TaskRef:
    """One task of one occurrence of a step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


@attrs.frozen
class RunReport:
    """A worker's report about a run that it has.

    Attributes:
        task: The task.
        run: Number of the run.
        checkpoint: The newest checkpoint, or empty.
        percent: Progress, 0 to 100.
        measurement: Tail latency in milliseconds if the task has a latency target,
            otherwise processor use in thousandths of a core.
    """

    task: TaskRef
    run: int
    checkpoint: str
    percent: int
    measurement: int


@attrs.frozen
class RunEnd:
    """A worker's report about a run that has ended.

    Attributes:
        number: Sequence number of the end within one incarnation of the worker.
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
    """A worker's response to a lease renewal.

    Attributes:
        born_unix_ms: Start of this incarnation of the worker, in milliseconds since
            1970.
        clock_ms: The worker's own monotonic clock.
        running: The runs that the worker has.
        ended: The run ends that have not been acknowledged, from the lowest number.
        has_all_ends: Whether `ended` holds all of them. If not, a run that is listed
            nowhere may have ended.
    """

    born_unix_ms: int
    clock_ms: int
    running: tuple[RunReport, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    has_all_ends: bool = True


@attrs.frozen
class StepWorker:
    """A worker that runs tasks of step jobs, as it registered itself.

    Attributes:
        worker_id: Its id.
        pool: The pool that it belongs to.
        address: IP address and port.
        zone: Its availability zone.
        capacity: Resources that it offers.
        labels: Its kind and its rack.
        draining: Whether it is about to leave.
        born_unix_ms: Start of this incarnation of the worker, in milliseconds since
            1970.
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
        checkpoint: Checkpoint to resume from, or empty.
        ticket: Ticket of the placement advisor that permits the start, or empty.
    """

    task: TaskRef
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""
