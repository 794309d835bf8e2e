"""Messages about jobs of steps, their workers and the instance that leads."""

from __future__ import annotations

import enum

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.stepconfig import StepConfig
from marjoramgrade.stepjobs import (
    StartOrder,
    StepJob,
    StepJobState,
    StepWorker,
    TaskRef,
    WorkerListing,
)


@attrs.frozen
class StepJobAccepted:
    """A job is stored; `created` tells whether this call brought it."""

    created: bool


@attrs.frozen
class SubmitStepJob(Message[StepJobAccepted]):
    """Hands in a job; the same id again is the same job.

    Attributes:
        job: The job.
        config_version: Configuration by which it was let through.
    """

    job: StepJob
    config_version: int = 0


@attrs.frozen
class StepJobShown:
    """The state of a job."""

    state: StepJobState
    team: str = ""


@attrs.frozen
class GetStepJob(Message[StepJobShown]):
    """Asks for the state of a job."""

    job_id: str


@attrs.frozen
class CancelStepJob(Message[StepJobShown]):
    """Asks that a job ends as cancelled, if it has not ended."""

    job_id: str


@attrs.frozen
class PendingCount:
    """Number of jobs that were taken and have not started."""

    count: int


@attrs.frozen
class CountPending(Message[PendingCount]):
    """Asks how many jobs of a queue wait."""

    queue: str
    config_version: int = 0


@attrs.frozen
class LeaderBeat(Message[None]):
    """Tells every instance who leads.

    Attributes:
        epoch: Number of the leadership.
        leader_id: The instance that leads.
        clock_ms: The leader's clock, which its renewals in the store carry too.
        confirmed_age_ms: How long ago the leader sent the newest write that the store
            has confirmed.
    """

    epoch: int
    leader_id: str
    clock_ms: int = 0
    confirmed_age_ms: int = 0


@attrs.frozen
class LeaderLeft(Message[None]):
    """Tells every instance that the leader has given its leadership up."""

    epoch: int


@attrs.frozen
class LeaderAge:
    """How long ago an instance heard the leader of an epoch."""

    epoch: int
    age_ms: int


@attrs.frozen
class AskLeaderAge(Message[LeaderAge]):
    """Asks when an instance last heard the leader."""


@attrs.frozen
class AdvisedWorker:
    """A worker that may run a step, and its ticket."""

    worker_id: str
    ticket: str


@attrs.frozen
class StepAdvice:
    """Where a step may run.

    Attributes:
        workers: The workers that may run it.
        valid_ms: How long the tickets are valid.
    """

    workers: tuple[AdvisedWorker, ...]
    valid_ms: int


@attrs.frozen
class RequestAdvice(Message[StepAdvice]):
    """Asks the placement advisor about a step."""

    job_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]


@attrs.frozen
class StepConfigChanged(Message[None]):
    """A newer configuration, or another set of evacuated zones."""

    config: StepConfig
    evacuated_zones: frozenset[str]


@attrs.frozen
class AwaitStepConfig(Message[StepConfig]):
    """Asks for the configuration once it has at least a version."""

    version: int
    timeout_ms: int


@attrs.frozen
class GetStepConfig(Message[StepConfig]):
    """Asks for the newest configuration that this instance knows."""


class QueueVerb(enum.Enum):
    """What a caller asks of a queue."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    COUNT = "count"


@attrs.frozen
class QueueRequest(Message[object]):
    """A call of a caller, before its queue is found.

    Attributes:
        verb: What is asked.
        host: Host name that the caller used.
        path: Path that the caller used; it ends in the id of the job, if any.
        job: The job that is handed in, without its id, queue and team.
    """

    verb: QueueVerb
    host: str
    path: str
    job: StepJob | None = None


@attrs.frozen
class WorkersChanged(Message[None]):
    """The workers that the platform lists."""

    workers: tuple[StepWorker, ...]


@attrs.frozen
class WatchWorkers(Message[None]):
    """Starts or stops the watch of the list of workers."""

    enabled: bool


@attrs.frozen
class LeadershipAcquired(Message[None]):
    """This instance leads from now on.

    Attributes:
        epoch: Number of the leadership.
        row_version: Version of the row that says so.
    """

    epoch: int
    row_version: int


@attrs.frozen
class ReleaseLeadership(Message[None]):
    """Asks to give the lead up for good; answered once the store has it or failed."""


@attrs.frozen
class RenewLeadership(Message[None]):
    """Asks that the leader write that it still leads."""

    epoch: int


@attrs.frozen
class LeadershipEnded(Message[None]):
    """This instance leads no longer.

    Attributes:
        epoch: The leadership that has ended.
        reason: Why.
    """

    epoch: int
    reason: str


@attrs.frozen
class LeadershipConfirmed(Message[None]):
    """The store has confirmed the leadership at a time on our clock."""

    epoch: int
    asked_ms: int


@attrs.frozen
class StorePathStatus(Message[None]):
    """Which way to the store works.

    Attributes:
        direct: Whether this instance reaches the store itself.
        relayed: Whether another instance has just reached it for this one.
    """

    direct: bool
    relayed: bool


@attrs.frozen
class StoreReachability(Message[None]):
    """Whether the leader's writes reach the store."""

    reachable: bool


@attrs.frozen
class LeaderChanged(Message[None]):
    """Which instance leads; empty if none is known to."""

    leader_id: str
    epoch: int


class StartOutcome(enum.Enum):
    """What became of the order to start a run."""

    STARTED = "started"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class RunStartResult(Message[None]):
    """What became of the order to start a run.

    Attributes:
        worker_id: The worker.
        task: The task.
        run: Number of the run.
        outcome: What became of it.
        reason: Why it was refused, or empty.
    """

    worker_id: str
    task: TaskRef
    run: int
    outcome: StartOutcome
    reason: str = ""


@attrs.frozen
class WorkerListingReceived(Message[None]):
    """What a worker says of its runs.

    Attributes:
        worker_id: The worker.
        listing: Its runs.
        fence: Fence of the call that it answers.
        asked_ms: When the call was sent.
    """

    worker_id: str
    listing: WorkerListing
    fence: int
    asked_ms: int


@attrs.frozen
class WorkerCallUnanswered(Message[None]):
    """A worker left one call without an answer."""

    worker_id: str


@attrs.frozen
class ShortenListingWaits(Message[None]):
    """Calls go unanswered, so listings must not wait long until a time."""

    until_ms: int


@attrs.frozen
class WorkerUnresponsive(Message[None]):
    """A worker gives no answer.

    Attributes:
        worker_id: The worker.
        expired: Whether whatever it ran has surely ended.
    """

    worker_id: str
    expired: bool


@attrs.frozen
class SendRunStart(Message[None]):
    """Sends the start of a run."""

    order: StartOrder
    fence: int


@attrs.frozen
class SendRunStop(Message[None]):
    """Sends the stop of a run."""

    task: TaskRef
    run: int
    fence: int


@attrs.frozen
class SendRunPace(Message[None]):
    """Sends a change of speed of a run."""

    task: TaskRef
    run: int
    percent: int
    fence: int


@attrs.frozen
class RaiseFence(Message[None]):
    """Lists the worker at once under a higher fence."""

    fence: int


@attrs.frozen
class AcknowledgeRunEnds(Message[None]):
    """Lets a life of the worker forget ends up to a number.

    Attributes:
        born_unix_ms: The life of the worker; each counts its ends anew.
        number: The highest number that the store has.
    """

    born_unix_ms: int
    number: int


@attrs.frozen
class AllowLeaseRenewal(Message[None]):
    """Lets the link renew the worker's lease until a time on our clock."""

    until_ms: int
