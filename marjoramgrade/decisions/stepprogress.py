"""Progress of a step job: its tasks, runs, failures and checkpoints."""

from __future__ import annotations

import enum
import statistics
from collections import Counter
from collections.abc import Iterator, Mapping

import attrs

from marjoramgrade.decisions.steprun import Run
from marjoramgrade.decisions.tickets import TicketCache
from marjoramgrade.errors import InvalidInputError
from marjoramgrade.stepconfig import Queue
from marjoramgrade.stepjobs import Step, StepJob, StepJobState, TaskRef

# Known durations that a step needs before its usual duration is computed.
MIN_DURATION_SAMPLES = 3
# Bounds of the occurrences of one job that are open at a time; one always is.
MAX_OPEN_STEPS = 512
MAX_OPEN_TASKS = 4_000
# A run that takes this many times the usual duration is taken to be on a slow worker;
# durations within a step differ by a third.
SLOW_FACTOR = 3.2


class TaskPhase(enum.IntEnum):
    """The state of one task."""

    WAITING = 0
    PLACED = 1
    DONE = 2


@attrs.define(eq=False)
class StepProgress:
    """One step of one occurrence of a job.

    Attributes:
        job: The job.
        occurrence: Number of the occurrence.
        index: Index of the step in the job.
        step: The step as submitted.
        phases: Phase of each task.
        runs_by_index: Present runs by task.
        failed_runs_by_index: Numbers of the failed runs by task; those of a gang are
            stored under its first task.
        checkpoint_by_index: Newest checkpoint by task; that of a gang is stored under
            its first task.
        avoided_workers_by_index: Workers on which a run of the task failed or was
            found unhealthy, by task.
        last_run_by_index: Highest run number by task.
        run_count_by_worker: Number of present runs by worker id.
        tickets: Advice on which workers may run the step.
        ready_ms: When the step was first found ready to run, or None.
        done_count: Number of tasks that are done.
        done_durations: Durations of completed runs near their data, in milliseconds.
        run_durations: Workers and durations of the completed runs whose speeds are
            compared once the step is done; see `workerspeeds`.
        rack_in_use: Rack of the runs if they should share a rack, or empty.
        wait_reason: Why the last plan left tasks waiting, or empty.
        wait_since_ms: When `wait_reason` was last recorded.
        rack_wait_since_ms: Since when tasks wait for capacity near their data or each
            other although there is capacity elsewhere, or 0.
    """

    job: JobProgress
    occurrence: int
    index: int
    step: Step
    phases: list[TaskPhase]
    runs_by_index: dict[int, list[Run]] = attrs.field(factory=dict)
    failed_runs_by_index: dict[int, set[int]] = attrs.field(factory=dict)
    checkpoint_by_index: dict[int, str] = attrs.field(factory=dict)
    avoided_workers_by_index: dict[int, set[str]] = attrs.field(factory=dict)
    last_run_by_index: dict[int, int] = attrs.field(factory=dict)
    run_count_by_worker: Counter[str] = attrs.field(factory=Counter)
    tickets: TicketCache = attrs.field(factory=TicketCache)
    ready_ms: int | None = None
    done_count: int = 0
    rack_in_use: str = ""
    wait_reason: str = ""
    wait_since_ms: int = 0
    rack_wait_since_ms: int = 0
    done_durations: list[int] = attrs.field(factory=list)
    run_durations: list[tuple[str, float]] = attrs.field(factory=list)

    @classmethod
    def from_step(
        cls, job: JobProgress, occurrence: int, index: int, step: Step
    ) -> StepProgress:
        """Return the progress of a step that has not run."""
        return cls(job, occurrence, index, step, [TaskPhase.WAITING] * step.count)

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done; a long-running step never is."""
        return self.done_count == self.step.count

    @property
    def key(self) -> tuple[str, int, int]:
        """Job id, occurrence and index of the step."""
        return (self.job.job.job_id, self.occurrence, self.index)

    def task(self, index: int) -> TaskRef:
        """Return the reference to a task of the step."""
        return TaskRef(self.job.job.job_id, self.occurrence, self.index, index)

    def iter_waiting(self) -> Iterator[int]:
        """Yield the indexes of the tasks that wait for a worker."""
        for index, phase in enumerate(self.phases):
            if phase is TaskPhase.WAITING:
                yield index

    @property
    def has_waiting(self) -> bool:
        """Whether a task waits for a worker."""
        return TaskPhase.WAITING in self.phases

    def iter_runs(self) -> Iterator[Run]:
        """Yield the present runs."""
        for runs in self.runs_by_index.values():
            yield from runs

    def usual_duration_ms(self) -> float | None:
        """Return the median of the known and predicted task durations of the step.

        Durations differ widely from job to job and little within a step. Those of runs
        away from their data are converted to durations near it.

        Returns:
            Milliseconds, or None if too few durations are known.
        """
        totals: list[float] = list(self.done_durations)
        for run in self.iter_runs():
            total_ms = run.predicted_total_ms()
            if total_ms is not None:
                totals.append(total_ms / run.place_factor)
        return (
            statistics.median_low(totals)
            if len(totals) >= MIN_DURATION_SAMPLES
            else None
        )

    def count_runs_on(self, worker_id: str) -> int:
        """Return the number of runs of the step on a worker."""
        return self.run_count_by_worker.get(worker_id, 0)

    def shared_index(self, index: int) -> int:
        """Return the task index under which failures and checkpoints are stored."""
        return 0 if self.step.gang else index

    def checkpoint_of(self, index: int) -> str:
        """Return the newest checkpoint that a run of the task may resume from."""
        return self.checkpoint_by_index.get(self.shared_index(index), "")

    def record_checkpoint(self, index: int, checkpoint: str) -> None:
        """Store a checkpoint unless it is empty or the step uses none."""
        if checkpoint and self.step.checkpoints:
            self.checkpoint_by_index[self.shared_index(index)] = checkpoint

    def failures_of(self, index: int) -> int:
        """Return how many runs of a task, or of its gang, have failed."""
        return len(self.failed_runs_by_index.get(self.shared_index(index), ()))

    def record_failure(self, index: int, run: int) -> None:
        """Count a failed run once, however often it is reported."""
        self.failed_runs_by_index.setdefault(self.shared_index(index), set()).add(run)

    def record_wait(self, reason: str, now_ms: int) -> None:
        """Record why tasks wait, or an empty reason once none does."""
        if self.wait_reason:
            self.job.waited_ms_by_reason[self.wait_reason] += (
                now_ms - self.wait_since_ms
            )
        self.wait_reason, self.wait_since_ms = reason, now_ms

    def mark_done(self, index: int) -> None:
        """Mark a task, or its whole gang, done."""
        indexes = range(self.step.count) if self.step.gang else (index,)
        for done in indexes:
            if self.phases[done] is not TaskPhase.DONE:
                self.phases[done] = TaskPhase.DONE
                self.done_count += 1

    def add_run(self, run: Run) -> None:
        """Add a run; its task is placed."""
        index = run.task.index
        self.runs_by_index.setdefault(index, []).append(run)
        self.run_count_by_worker[run.worker_id] += 1
        self.last_run_by_index[index] = max(
            run.number, self.last_run_by_index.get(index, 0)
        )
        if self.phases[index] is TaskPhase.WAITING:
            self.phases[index] = TaskPhase.PLACED

    def remove_run(self, run: Run) -> None:
        """Remove a run; its task waits again unless done or running elsewhere."""
        index = run.task.index
        runs = self.runs_by_index.get(index, [])
        if run in runs:
            runs.remove(run)
            self.run_count_by_worker[run.worker_id] -= 1
            if not self.run_count_by_worker[run.worker_id]:
                del self.run_count_by_worker[run.worker_id]
        if not runs:
            self.runs_by_index.pop(index, None)
            if self.phases[index] is TaskPhase.PLACED:
                self.phases[index] = TaskPhase.WAITING


@attrs.frozen
class PlacedRun:
    """A run that a worker has or may have.

    Attributes:
        index: Index of the task in its step.
        run: Number of the run.
        worker_id: The worker.
    """

    index: int
    run: int
    worker_id: str


@attrs.frozen
class StepRecord:
    """The persistent part of a step's progress.

    Attributes:
        done: One character per task, `1` if it is done and `0` if not.
        failed_runs: Numbers of failed runs by task.
        checkpoints: Newest checkpoint by task.
        placed: Runs that workers have or may have.
    """

    done: str
    failed_runs: Mapping[str, list[int]] = attrs.field(factory=dict)
    checkpoints: Mapping[str, str] = attrs.field(factory=dict)
    placed: tuple[PlacedRun, ...] = ()


@attrs.frozen
class JobRecord:
    """The persistent part of a job's progress.

    Attributes:
        state: State as last stored; `queued` and `running` are equivalent here.
        ended_unix_ms: When the job reached a final state, or 0.
        step_by_name: Records of the steps with done tasks, failed runs or present
            runs, by `occurrence.index`.
        occurrences_done: All occurrences below this number are done.
    """

    state: StepJobState = StepJobState.QUEUED
    ended_unix_ms: int = 0
    step_by_name: Mapping[str, StepRecord] = attrs.field(factory=dict)
    occurrences_done: int = 0


@attrs.define(eq=False)
class JobProgress:
    """A job and its progress.

    Attributes:
        job: The job as submitted.
        queue: The queue of the job.
        accepted_ms: When the job was accepted, on this instance's clock.
        stored: Whether the job is in the store; clients see only stored jobs.
        state: The current state.
        steps_by_occurrence: Steps of the occurrences that have become due.
        started: Whether any task of the job has ever started.
        beyond_weight: Whether the team had used up its weight when the job arrived.
        occurrences_done: All occurrences below this number are done.
        ended_unix_ms: When the job reached a final state, or 0.
        visible_state: The state that clients see; a final state only once it is stored.
        waited_ms_by_reason: Time that steps waited for a worker, by the reason.
        chain_by_step: Length in steps of the longest dependency chain that begins with
            each step.
    """

    job: StepJob
    queue: Queue
    accepted_ms: int
    stored: bool = False
    state: StepJobState = StepJobState.QUEUED
    steps_by_occurrence: dict[int, list[StepProgress]] = attrs.field(factory=dict)
    started: bool = False
    beyond_weight: bool = False
    occurrences_done: int = 0
    ended_unix_ms: int = 0
    visible_state: StepJobState = StepJobState.QUEUED
    waited_ms_by_reason: Counter[str] = attrs.field(factory=Counter)
    chain_by_step: tuple[int, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.chain_by_step = self.job.chain_lengths()

    @property
    def longest_chain(self) -> int:
        """Length in steps of the longest dependency chain of the job."""
        return max(self.chain_by_step)

    def open_occurrence(self, occurrence: int) -> list[StepProgress]:
        """Return the steps of an occurrence, created on first use."""
        steps = self.steps_by_occurrence.get(occurrence)
        if steps is None:
            steps = [
                StepProgress.from_step(self, occurrence, index, step)
                for index, step in enumerate(self.job.steps)
            ]
            self.steps_by_occurrence[occurrence] = steps
        return steps

    def step_of(self, task: TaskRef) -> StepProgress | None:
        """Return the step of a task; None if unknown or its occurrence is done."""
        if not 0 <= task.occurrence < self.job.occurrences:
            return None
        if task.occurrence < self.occurrences_done:
            return None
        if not 0 <= task.step < len(self.job.steps):
            return None
        is_open = task.occurrence in self.steps_by_occurrence
        if not is_open and task.occurrence >= self.open_until:
            return None
        step = self.open_occurrence(task.occurrence)[task.step]
        return step if 0 <= task.index < step.step.count else None

    def iter_steps(self) -> Iterator[StepProgress]:
        """Yield the steps of all occurrences that are open."""
        for steps in self.steps_by_occurrence.values():
            yield from steps

    def iter_due_steps(self, now_ms: int, unix_ms: int) -> Iterator[StepProgress]:
        """Yield the steps that are ready to run and not done."""
        if self.state.is_final:
            return
        self._open_due(unix_ms)
        for occurrence, steps in self.steps_by_occurrence.items():
            if unix_ms < self.due_unix_ms(occurrence):
                continue
            for step in steps:
                if step.is_done:
                    continue
                if all(steps[earlier].is_done for earlier in step.step.after):
                    if step.ready_ms is None:
                        step.ready_ms = now_ms
                    yield step

    def due_unix_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, or 0 if immediately."""
        schedule = self.job.schedule
        return schedule.due_unix_ms(occurrence) if schedule.times else 0

    def _open_due(self, unix_ms: int) -> None:
        for occurrence in range(self.occurrences_done, self.open_until):
            if unix_ms < self.due_unix_ms(occurrence):
                return
            self.open_occurrence(occurrence)

    @property
    def open_until(self) -> int:
        """All occurrences from this number on wait for earlier ones to be done.

        Occurrences may overlap, but what is open at a time is bounded: a schedule can
        have any number of occurrences that are due.
        """
        tasks = sum(step.count for step in self.job.steps)
        open_count = min(MAX_OPEN_STEPS // len(self.job.steps), MAX_OPEN_TASKS // tasks)
        return min(self.occurrences_done + max(open_count, 1), self.job.occurrences)

    def close_done_occurrences(self) -> None:
        """Discard the steps of the earliest occurrences once done and without runs."""
        while self.occurrences_done < self.job.occurrences:
            steps = self.steps_by_occurrence.get(self.occurrences_done)
            if steps is None or not all(step.is_done for step in steps):
                return
            if any(step.runs_by_index for step in steps):
                return
            if self.job.occurrences > 1:
                del self.steps_by_occurrence[self.occurrences_done]
            self.occurrences_done += 1

    @property
    def all_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        for occurrence in range(self.occurrences_done, self.job.occurrences):
            steps = self.steps_by_occurrence.get(occurrence)
            if steps is None or not all(step.is_done for step in steps):
                return False
        return True

    def record(self, *, with_checkpoints: bool = True) -> JobRecord:
        """Return the persistent part of the progress.

        Args:
            with_checkpoints: Whether the checkpoints of tasks that are not done are
                included.
        """
        record_by_name = {}
        for step in self.iter_steps():
            if not (step.done_count or step.failed_runs_by_index or step.runs_by_index):
                continue
            record_by_name[f"{step.occurrence}.{step.index}"] = StepRecord(
                "".join("1" if p is TaskPhase.DONE else "0" for p in step.phases),
                {str(i): sorted(r) for i, r in step.failed_runs_by_index.items()},
                {
                    str(index): text
                    for index, text in step.checkpoint_by_index.items()
                    if with_checkpoints and step.phases[index] is not TaskPhase.DONE
                },
                tuple(
                    PlacedRun(run.task.index, run.number, run.worker_id)
                    for run in step.iter_runs()
                ),
            )
        return JobRecord(
            self.state, self.ended_unix_ms, record_by_name, self.occurrences_done
        )

    def restore(self, record: JobRecord) -> list[tuple[StepProgress, PlacedRun]]:
        """Apply the record that an earlier leader stored.

        Returns:
            The runs that workers have or may have.

        Raises:
            InvalidInputError: If the record names a step or task that the job lacks.
        """
        try:
            return self._apply_record(record)
        except (LookupError, ValueError) as error:
            raise InvalidInputError(
                f"the record does not belong to the job: {error!r}"
            ) from None

    def _apply_record(self, record: JobRecord) -> list[tuple[StepProgress, PlacedRun]]:
        self.stored = True
        self.state = self.visible_state = record.state
        self.ended_unix_ms = record.ended_unix_ms
        self.occurrences_done = record.occurrences_done
        self.started = bool(record.step_by_name or record.occurrences_done)
        placed: list[tuple[StepProgress, PlacedRun]] = []
        for name, stored in record.step_by_name.items():
            occurrence, index = (int(part) for part in name.split("."))
            if not 0 <= occurrence < self.job.occurrences:
                raise LookupError(f"occurrence {occurrence}")
            step = self.open_occurrence(occurrence)[index]
            if len(stored.done) != step.step.count:
                raise ValueError(f"{len(stored.done)} tasks in step {name}")
            if any(not 0 <= run.index < step.step.count for run in stored.placed):
                raise LookupError(f"a placed task of step {name}")
            for task_index, mark in enumerate(stored.done):
                if mark == "1":
                    step.mark_done(task_index)
            for task_text, runs in stored.failed_runs.items():
                step.failed_runs_by_index[int(task_text)] = set(runs)
            for task_text, checkpoint in stored.checkpoints.items():
                step.checkpoint_by_index[int(task_text)] = checkpoint
            placed.extend((step, run) for run in stored.placed)
        return placed
