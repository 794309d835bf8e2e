"""What the scheduler of steps asks others to do."""

from __future__ import annotations

import attrs

from marjoramgrade.stepjobs import StartOrder, TaskRef


@attrs.frozen
class StartRun:
    """Start a run on a worker."""

    worker_id: str
    fence: int
    order: StartOrder


@attrs.frozen
class StopRun:
    """Stop a run; its end is listed later."""

    worker_id: str
    fence: int
    task: TaskRef
    run: int
    reason: str


@attrs.frozen
class PaceRun:
    """Let a run work at a share of its speed, 0 to 100 percent."""

    worker_id: str
    fence: int
    task: TaskRef
    run: int
    percent: int


@attrs.frozen
class SyncWorker:
    """List a worker under a higher fence, so that no earlier order takes effect."""

    worker_id: str
    fence: int


@attrs.frozen
class AskAdvice:
    """Ask the placement advisor on which of some workers a step may run.

    Attributes:
        job_id: The job.
        occurrence: The occurrence.
        step: Index of the step.
        worker_ids: The workers to judge.
        instance_id: The instance that makes the call.
        decide_ms: How long the call is expected to take.
    """

    job_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]
    instance_id: str
    decide_ms: int


StepAction = StartRun | StopRun | PaceRun | SyncWorker | AskAdvice
