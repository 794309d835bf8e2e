"""Actions that the step scheduler requests."""

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
    """Stop a run; a later listing of the worker contains its end."""

    worker_id: str
    fence: int
    task: TaskRef
    run: int
    reason: str


@attrs.frozen
class PaceRun:
    """Limit a run to a share of its full speed, 0 to 100 percent."""

    worker_id: str
    fence: int
    task: TaskRef
    run: int
    percent: int


@attrs.frozen
class SyncWorker:
    """List a worker under a higher fencing token, so that it rejects earlier orders."""

    worker_id: str
    fence: int


@attrs.frozen
class AskAdvice:
    """Ask the placement advisor which of the given workers may run a step.

    Attributes:
        job_id: The job.
        occurrence: Number of the occurrence.
        step: Index of the step.
        worker_ids: The candidate workers.
        instance_id: The instance that makes the call.
        decide_ms: Expected duration of the call.
    """

    job_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]
    instance_id: str
    decide_ms: int


@attrs.frozen
class EndLead:
    """Give up the lead; the next epoch has new fencing tokens and run numbers."""

    reason: str


StepAction = StartRun | StopRun | PaceRun | SyncWorker | AskAdvice | EndLead
