"""Detection of workers whose tasks keep failing; they get no work for a time."""

from __future__ import annotations

from collections import OrderedDict

import attrs

# Counted failures after which a worker is suspected. Below the ten failures that the
# target allows, and above what a flaky job causes on a healthy worker by chance.
SUSPECT_AFTER_FAILURES = 5
BACKOFF_BASE_MS = 10_000
BACKOFF_MAX_MS = 1_800_000
# A job that failed on this many workers and succeeded on none is faulty itself.
FAULTY_JOB_WORKERS = 3
MAX_TRACKED_JOBS = 4_096


@attrs.define
class _WorkerState:
    """Failures of one worker since its last success.

    Attributes:
        failures: Ids of the jobs whose tasks failed, oldest first.
        backoff_ms: Length of the current back-off; 0 if the worker is not suspected.
        retry_at_ms: Time when the back-off ends and a probe may start.
        is_probing: Whether a task runs as the probe.
    """

    failures: list[str] = attrs.field(factory=list)
    backoff_ms: int = 0
    retry_at_ms: int = 0
    is_probing: bool = False


@attrs.define
class _JobState:
    """Results of the tasks of one job.

    Attributes:
        failed_on: Ids of the workers where a task failed.
        has_succeeded: Whether a task succeeded on any worker.
    """

    failed_on: set[str] = attrs.field(factory=set)
    has_succeeded: bool = False

    @property
    def is_faulty(self) -> bool:
        return not self.has_succeeded and len(self.failed_on) >= FAULTY_JOB_WORKERS


class WorkerHealth:
    """Backs off from workers whose failures are not explained by the jobs.

    Each failure of a job that has succeeded on some worker counts. Failures of a job
    that has not succeeded yet count once together, and not at all if the job failed
    on `FAULTY_JOB_WORKERS` or more workers.
    """

    def __init__(self) -> None:
        self._state_by_worker: dict[str, _WorkerState] = {}
        self._state_by_job: OrderedDict[str, _JobState] = OrderedDict()
        self._suspects: set[str] = set()
        self._avoided: frozenset[str] = frozenset()
        self._next_retry_ms = 0

    def avoided(self, now_ms: int) -> frozenset[str]:
        """Return the ids of the workers that must get no work now."""
        if self._suspects and now_ms >= self._next_retry_ms:
            self._refresh(now_ms)
        return self._avoided

    def record_start(self, worker_id: str, now_ms: int) -> None:
        """Record a start; on a suspected worker the task is the probe."""
        if worker_id in self._suspects:
            self._state_by_worker[worker_id].is_probing = True
            self._refresh(now_ms)

    def record_success(self, worker_id: str, job_id: str, now_ms: int) -> None:
        """Record a task that succeeded; the worker is no longer suspected."""
        self._job(job_id).has_succeeded = True
        self._state_by_worker.pop(worker_id, None)
        if worker_id in self._suspects:
            self._suspects.discard(worker_id)
            self._refresh(now_ms)

    def record_failure(self, worker_id: str, job_id: str, now_ms: int) -> None:
        """Record a task that failed or could not start."""
        self._job(job_id).failed_on.add(worker_id)
        state = self._state_by_worker.setdefault(worker_id, _WorkerState())
        if worker_id in self._suspects:
            if state.is_probing:
                self._back_off(state, now_ms)
                self._refresh(now_ms)
            return
        state.failures.append(job_id)
        if self._weight_of(state) >= SUSPECT_AFTER_FAILURES:
            self._suspects.add(worker_id)
            self._back_off(state, now_ms)
            self._refresh(now_ms)

    def record_inconclusive_end(self, worker_id: str, now_ms: int) -> None:
        """Record an end without a result, such as that of a cancelled probe."""
        if worker_id in self._suspects:
            self._state_by_worker[worker_id].is_probing = False
            self._refresh(now_ms)

    def remove_worker(self, worker_id: str) -> None:
        """Discard the state of a worker that was removed."""
        self._state_by_worker.pop(worker_id, None)
        self._suspects.discard(worker_id)
        self._avoided -= {worker_id}

    def _job(self, job_id: str) -> _JobState:
        state = self._state_by_job.setdefault(job_id, _JobState())
        self._state_by_job.move_to_end(job_id)
        if len(self._state_by_job) > MAX_TRACKED_JOBS:
            self._state_by_job.popitem(last=False)
        return state

    def _weight_of(self, state: _WorkerState) -> int:
        """Return the number of failures that count against the worker."""
        weight = 0
        counted: set[str] = set()
        for job_id in state.failures[-4 * SUSPECT_AFTER_FAILURES :]:
            job = self._state_by_job.get(job_id, _JobState())
            if job.has_succeeded:
                weight += 1
            elif not job.is_faulty and job_id not in counted:
                counted.add(job_id)
                weight += 1
        del state.failures[: -4 * SUSPECT_AFTER_FAILURES]
        return weight

    def _back_off(self, state: _WorkerState, now_ms: int) -> None:
        state.backoff_ms = min(BACKOFF_MAX_MS, state.backoff_ms * 2 or BACKOFF_BASE_MS)
        state.retry_at_ms = now_ms + state.backoff_ms
        state.is_probing = False

    def _refresh(self, now_ms: int) -> None:
        """Recompute the avoided workers and when the next back-off ends."""
        states = {name: self._state_by_worker[name] for name in self._suspects}
        self._avoided = frozenset(
            name
            for name, state in states.items()
            if state.is_probing or now_ms < state.retry_at_ms
        )
        waiting = [s.retry_at_ms for s in states.values() if now_ms < s.retry_at_ms]
        self._next_retry_ms = min(waiting, default=1 << 62)
