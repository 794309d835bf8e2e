"""The workers that run tasks of steps: their capacity, runs and health."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.steprun import Run
from marjoramgrade.decisions.workerspeeds.learning import WorkerSpeed
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.stepjobs import StepWorker, TaskRef

# Consecutive failures on different jobs after which a worker is suspect. One task in
# twenty fails by itself, so three in a row on a healthy worker are rare.
FAILURES_TO_SUSPECT = 3
# Consecutive stalled or slow runs on different jobs after which a worker is suspect.
STRAGGLERS_TO_SUSPECT = 2
# Duration of the first suspicion; it doubles with each failed probe, up to the maximum.
SUSPICION_MS = 1_500
MAX_SUSPICION_MS = 12_000


@attrs.define
class WorkerSuspicion:
    """Suspicion that a responsive worker is faulty, from the results of its runs.

    Attributes:
        failed_jobs: Jobs with a failed run since the last success.
        straggling_jobs: Jobs with a stalled or slow run since the last success.
        suspected_ms: When the worker last became suspect.
        suspect_until_ms: The worker gets no work before this time, or 0.
        suspicion_ms: Duration of the next suspicion.
        probing: Whether the worker gets only one task at a time, as a probe.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    straggling_jobs: set[str] = attrs.field(factory=set)
    suspected_ms: int = 0
    suspect_until_ms: int = 0
    suspicion_ms: int = SUSPICION_MS
    probing: bool = False

    def record_success(self) -> None:
        """Record a completed run, which ends all suspicion."""
        self.failed_jobs.clear()
        self.straggling_jobs.clear()
        self.suspect_until_ms = 0
        self.suspicion_ms = SUSPICION_MS
        self.probing = False

    def record_failure(self, job_id: str, now_ms: int) -> bool:
        """Record a failed run; return whether the worker became suspect."""
        self.failed_jobs.add(job_id)
        if self.probing or len(self.failed_jobs) >= FAILURES_TO_SUSPECT:
            self.mark_suspect(now_ms)
            return True
        return False

    def record_straggler(self, job_id: str, now_ms: int) -> None:
        """Record a stalled or slow run."""
        self.straggling_jobs.add(job_id)
        if self.probing or len(self.straggling_jobs) >= STRAGGLERS_TO_SUSPECT:
            self.mark_suspect(now_ms)

    def mark_suspect(self, now_ms: int) -> None:
        """Withhold work from the worker, twice as long each time up to the maximum."""
        if now_ms < self.suspect_until_ms:
            return
        self.suspected_ms = now_ms
        self.suspect_until_ms = now_ms + self.suspicion_ms
        self.suspicion_ms = min(2 * self.suspicion_ms, MAX_SUSPICION_MS)
        self.probing = True
        self.failed_jobs.clear()
        self.straggling_jobs.clear()

    def allows(self, now_ms: int, present_probes: int) -> bool:
        """Return whether another task may start; one at a time while probing.

        Args:
            now_ms: Current time.
            present_probes: Number of present runs that were ordered while probing.
        """
        if now_ms < self.suspect_until_ms:
            return False
        return not self.probing or present_probes == 0


@attrs.frozen
class Orphan:
    """A run on a worker that no open task wants; it is being stopped.

    Attributes:
        task: The task.
        run: Number of the run.
        team: Team of the job, or empty if the job is unknown.
        resources: Resources that the run uses; none if the job is unknown.
    """

    task: TaskRef
    run: int
    team: str = ""
    resources: Resources = ZERO_RESOURCES


@attrs.define(eq=False)
class WorkerState:
    """A worker as the scheduler sees it.

    Attributes:
        worker: The worker as registered.
        listed: Whether the platform still lists the worker.
        synced: Whether the worker has returned a listing under `fence`.
        fence: Fencing token of the orders to the worker.
        fence_refusals: Listings since the last sync that the worker refused because of
            their token.
        suspicion: Whether the worker is healthy enough for more work.
        speed: How fast the worker runs tasks, learned from its completed runs.
        run_by_task: Runs that the worker has or may have, by task and run number.
        used: Resources of the runs, except best-effort ones.
        spare_used: Resources of the best-effort runs, which use spare processor time.
        orphan_by_task: Runs on the worker that belong to no open task and are being
            stopped, by task and run number.
        has_unanswered_call: Whether the worker's last listing call got no response.
        latency_bound_runs: Number of runs with a latency target.
        heard_born_unix_ms: Start time of the incarnation that returned the last
            listing, or 0 if there was none.
        heard_ms: When its first listing was received.
        registered_born_unix_ms: Start time in the last registration that was applied.
        last_end_number: Highest `RunEnd.number` that was applied.
        unresponsive_since_ms: Time since which the worker does not respond, or 0.
    """

    worker: StepWorker
    listed: bool = True
    synced: bool = False
    fence: int = 0
    fence_refusals: int = 0
    suspicion: WorkerSuspicion = attrs.field(factory=WorkerSuspicion)
    speed: WorkerSpeed = attrs.field(factory=WorkerSpeed)
    run_by_task: dict[tuple[TaskRef, int], Run] = attrs.field(factory=dict)
    orphan_by_task: dict[tuple[TaskRef, int], Orphan] = attrs.field(factory=dict)
    has_unanswered_call: bool = False
    used: Resources = ZERO_RESOURCES
    spare_used: Resources = ZERO_RESOURCES
    latency_bound_runs: int = 0
    heard_born_unix_ms: int = 0
    heard_ms: int = 0
    registered_born_unix_ms: int = 0
    last_end_number: int = 0
    unresponsive_since_ms: int = 0

    def accepts_work(self, now_ms: int) -> bool:
        """Return whether the worker may get a start, regardless of its capacity."""
        return (
            self.listed
            and self.synced
            and not self.has_unanswered_call
            and not self.orphan_by_task
            and not self.worker.draining
            and self.is_trusted(now_ms)
        )

    def is_trusted(self, now_ms: int) -> bool:
        """Return whether suspicion allows another task.

        Runs from before the suspicion are no probes: a long-running one may never end.
        """
        suspicion = self.suspicion
        probes = 0
        if suspicion.probing:
            probes = sum(
                run.ordered_ms >= suspicion.suspected_ms
                for run in self.run_by_task.values()
            )
        return suspicion.allows(now_ms, probes)

    @property
    def free_cpu_millis(self) -> int:
        """Thousandths of a core that are not allocated to any run."""
        capacity = self.worker.capacity.cpu_millis
        return capacity - self.used.cpu_millis - self.spare_used.cpu_millis

    @property
    def free_resources(self) -> Resources:
        """What tasks that are not best-effort may use beside the present runs."""
        capacity, used, spare = self.worker.capacity, self.used, self.spare_used
        return Resources(
            capacity.cpu_millis - used.cpu_millis,
            capacity.memory_mib - used.memory_mib - spare.memory_mib,
            capacity.accelerators - used.accelerators - spare.accelerators,
        )

    def has_capacity(self, need: Resources, *, uses_spare: bool) -> bool:
        """Return whether a task fits in addition to the present runs.

        Best-effort tasks always count against memory and accelerators, but against the
        processors only among themselves: they share what other tasks leave free.
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
        """Add a run and allocate its resources."""
        self.run_by_task[(run.task, run.number)] = run
        self.latency_bound_runs += bool(run.step.step.latency_target_ms)
        self._adjust_usage(run, 1)

    def remove(self, run: Run) -> None:
        """Remove a run and free its resources."""
        if self.run_by_task.pop((run.task, run.number), None) is not None:
            self.latency_bound_runs -= bool(run.step.step.latency_target_ms)
            self._adjust_usage(run, -1)

    def release(self, run: Run) -> None:
        """Free the resources of a run that stays listed; for trials on a copy."""
        self._adjust_usage(run, -1)

    def _adjust_usage(self, run: Run, sign: int) -> None:
        step = run.step.step
        amount = step.resources if sign > 0 else ZERO_RESOURCES - step.resources
        if step.uses_spare:
            self.spare_used = self.spare_used + amount
        else:
            self.used = self.used + amount
