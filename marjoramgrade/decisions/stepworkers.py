"""The workers that run tasks of steps: their room, runs and health."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.steprun import Run
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.stepjobs import RunReport, StepWorker, TaskRef

# Failures on different jobs in a row after which a worker is suspect: one task in
# twenty fails by itself, so three in a row on a good worker are rare.
FAILURES_TO_SUSPECT = 3
# The same for runs that stand still or are slow.
STRAGGLERS_TO_SUSPECT = 2
# Suspicion lasts this long at first and doubles with each probe that fails.
SUSPICION_MS = 1_500
MAX_SUSPICION_MS = 12_000


@attrs.define
class WorkerSuspicion:
    """Whether a worker that answers can be trusted with work.

    Attributes:
        failed_jobs: Jobs of which a run failed since the last success.
        straggling_jobs: Jobs of which a run stood still or was slow since then.
        suspect_until_ms: No work before this time, or 0.
        suspicion_ms: How long the next suspicion lasts.
        probing: Whether a single task tries the worker out.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    straggling_jobs: set[str] = attrs.field(factory=set)
    suspect_until_ms: int = 0
    suspicion_ms: int = SUSPICION_MS
    probing: bool = False

    def record_success(self) -> None:
        """Note a run that was done."""
        self.failed_jobs.clear()
        self.straggling_jobs.clear()
        self.suspect_until_ms = 0
        self.suspicion_ms = SUSPICION_MS
        self.probing = False

    def failed(self, job_id: str, now_ms: int) -> bool:
        """Note a run that failed; returns whether the worker became suspect."""
        self.failed_jobs.add(job_id)
        if self.probing or len(self.failed_jobs) >= FAILURES_TO_SUSPECT:
            self.mark_suspect(now_ms)
            return True
        return False

    def record_straggler(self, job_id: str, now_ms: int) -> None:
        """Note a run that stood still or was slow."""
        self.straggling_jobs.add(job_id)
        if self.probing or len(self.straggling_jobs) >= STRAGGLERS_TO_SUSPECT:
            self.mark_suspect(now_ms)

    def mark_suspect(self, now_ms: int) -> None:
        """Give the worker no work for a while, twice as long each time."""
        if now_ms < self.suspect_until_ms:
            return
        self.suspect_until_ms = now_ms + self.suspicion_ms
        self.suspicion_ms = min(2 * self.suspicion_ms, MAX_SUSPICION_MS)
        self.probing = True
        self.failed_jobs.clear()
        self.straggling_jobs.clear()

    def allows(self, now_ms: int, present_runs: int) -> bool:
        """Whether another task may start; one at a time while the worker is tried."""
        if now_ms < self.suspect_until_ms:
            return False
        return not self.probing or present_runs == 0


@attrs.define(eq=False)
class WorkerState:
    """A worker as the scheduler sees it.

    Attributes:
        worker: The worker as registered.
        listed: Whether the platform still lists it.
        synced: Whether its runs are known and it answers.
        fence: Fence of the orders to it.
        suspicion: Whether it can be trusted.
        run_by_task: The runs that it has or may have.
        used: What tasks take that count against the capacity.
        spare_used: What tasks take that use only spare processor time.
        orphan_by_task: Runs that are present and belong to no task that waits for
            them; they are being stopped.
        has_unanswered_call: Whether it left the last listing without an answer.
        last_end_number: Highest number of an end that was taken over.
        unresponsive_since_ms: Since when it gives no answer, or 0.
    """

    worker: StepWorker
    listed: bool = True
    synced: bool = False
    fence: int = 0
    suspicion: WorkerSuspicion = attrs.field(factory=WorkerSuspicion)
    run_by_task: dict[tuple[TaskRef, int], Run] = attrs.field(factory=dict)
    orphan_by_task: dict[tuple[TaskRef, int], RunReport] = attrs.field(factory=dict)
    has_unanswered_call: bool = False
    used: Resources = ZERO_RESOURCES
    spare_used: Resources = ZERO_RESOURCES
    last_end_number: int = 0
    unresponsive_since_ms: int = 0

    def accepts_work(self, now_ms: int) -> bool:
        """Whether a start may be sent at all."""
        return (
            self.listed
            and self.synced
            and not self.has_unanswered_call
            and not self.orphan_by_task
            and not self.worker.draining
            and self.suspicion.allows(now_ms, len(self.run_by_task))
        )

    @property
    def free_cpu_millis(self) -> int:
        """Thousandths of a processor that no task has been given."""
        capacity = self.worker.capacity.cpu_millis
        return capacity - self.used.cpu_millis - self.spare_used.cpu_millis

    def has_capacity(self, need: Resources, *, uses_spare: bool) -> bool:
        """Whether a task fits beside what the worker has.

        Tasks that use spare processor time count against memory and accelerators,
        and among themselves against the processors that are left.
        """
        capacity = self.worker.capacity
        used, spare = self.used, self.spare_used
        memory = used.memory_mib + spare.memory_mib + need.memory_mib
        accelerators = used.accelerators + spare.accelerators + need.accelerators
        if memory > capacity.memory_mib or accelerators > capacity.accelerators:
            return False
        if uses_spare:
            return need.cpu_millis <= self.free_cpu_millis
        return used.cpu_millis + need.cpu_millis <= capacity.cpu_millis

    def add(self, run: Run) -> None:
        """Take room for a run."""
        self.run_by_task[(run.task, run.number)] = run
        self._change(run, 1)

    def remove(self, run: Run) -> None:
        """Give the room of a run back."""
        if self.run_by_task.pop((run.task, run.number), None) is not None:
            self._change(run, -1)

    def _change(self, run: Run, sign: int) -> None:
        step = run.step.step
        amount = step.resources if sign > 0 else ZERO_RESOURCES - step.resources
        if step.uses_spare:
            self.spare_used = self.spare_used + amount
        else:
            self.used = self.used + amount
