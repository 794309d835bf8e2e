"""Messages about step jobs, their workers and the leader.

The link of a worker is the actor that sends the leader's calls to this worker.
"""

from __future__ import annotations

import enum

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.messages.workkinds import reads
from marjoramgrade.stepconfig import StepConfig
from marjoramgrade.stepjobs import (
    StartOrder,
    StepJob,
    StepJobState,
    StepWorker,
    TaskRef,
    WorkerListing,
    is_epoch,
)


@attrs.frozen
class StepJobAccepted:
    """The job is stored; `created` tells whether this submission created it."""

    created: bool


@attrs.frozen
class SubmitStepJob(Message[StepJobAccepted]):
    """Submits a job; submitting the same id again refers to the same job.

    Attributes:
        job: The job.
        config_version: Version of the configuration under which it was admitted.
        expires_clock_ms: Time on the leader's clock from which on the client no longer
            waits, so that the job must not be accepted; 0 if the sender has not heard
            the leader's clock.
    """

    job: StepJob
    config_version: int = 0
    expires_clock_ms: int = 0


@attrs.define
class ClientPresence:
    """Whether the client of a request still waits for the response.

    Attributes:
        has_left: Whether the client has closed its connection.
    """

    has_left: bool = False

    def mark_left(self) -> None:
        """Record that the client has closed its connection."""
        self.has_left = True


@attrs.frozen
class StepJobShown:
    """The state of a job.

    Attributes:
        state: The state as clients see it.
        team: Team that the job belongs to; empty on a public queue.
    """

    state: StepJobState
    team: str = ""


@reads
@attrs.frozen
class GetStepJob(Message[StepJobShown]):
    """Asks for the state of a job."""

    job_id: str


@attrs.frozen
class CancelStepJob(Message[StepJobShown]):
    """Asks to end a job as cancelled, unless it has ended.

    Attributes:
        job_id: The job.
        team: Team whose key the client sent, which must be that of the job; empty on a
            public queue.
    """

    job_id: str
    team: str = ""


@attrs.frozen
class PendingCount:
    """Number of jobs that have been accepted and have not started."""

    count: int


@reads
@attrs.frozen
class CountPending(Message[PendingCount]):
    """Asks how many accepted jobs of a queue have not started.

    Attributes:
        queue: Name of the queue.
        config_version: Version of the configuration in which the queue was found.
    """

    queue: str
    config_version: int = 0


@attrs.frozen
class LeaderBeat(Message[None]):
    """Heartbeat that tells every instance which instance leads.

    Attributes:
        epoch: Number of the leadership.
        leader_id: The instance that leads.
        clock_ms: The leader's clock; its renewals in the store contain it too.
        confirmed_age_ms: How long ago the leader sent the newest write that the store
            has confirmed.
    """

    epoch: int = attrs.field(validator=is_epoch)
    leader_id: str
    clock_ms: int = 0
    confirmed_age_ms: int = 0


@attrs.frozen
class LeaderLeft(Message[None]):
    """Tells every instance that the leader has released its leadership."""

    epoch: int = attrs.field(validator=is_epoch)


@attrs.frozen
class LeaderAge:
    """How long ago an instance received a heartbeat of the leader of an epoch."""

    epoch: int = attrs.field(validator=is_epoch)
    age_ms: int


@reads
@attrs.frozen
class AskLeaderAge(Message[LeaderAge]):
    """Asks how long ago an instance last received a heartbeat of the leader."""


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


@reads
@attrs.frozen
class RequestAdvice(Message[StepAdvice]):
    """Asks the placement advisor which workers may run a step.

    Attributes:
        job_id: The job.
        occurrence: Index of the occurrence.
        step: Index of the step.
        worker_ids: The workers to choose from.
    """

    job_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]


@attrs.frozen
class StepConfigChanged(Message[None]):
    """The configuration or the set of evacuated zones has changed."""

    config: StepConfig
    evacuated_zones: frozenset[str]


@attrs.frozen
class AwaitStepConfig(Message[StepConfig]):
    """Asks for the configuration, waiting until it has at least a given version."""

    version: int
    timeout_ms: int


@attrs.frozen
class KnownConfig:
    """The newest configuration that an instance knows.

    Attributes:
        config: The configuration.
        confirmed_ms: Monotonic time at which the store certainly had no newer one; 0 if
            it has not responded yet.
    """

    config: StepConfig
    confirmed_ms: int = 0


@attrs.frozen
class AwaitConfirmedConfig(Message[KnownConfig]):
    """Asks for the configuration once the store has confirmed that it is the newest.

    Attributes:
        since_ms: Monotonic time since which the store must have confirmed it.
        timeout_ms: Longest time to wait.
    """

    since_ms: int
    timeout_ms: int


@attrs.frozen
class GetStepConfig(Message[KnownConfig]):
    """Asks for the newest configuration that this instance knows."""


class QueueVerb(enum.Enum):
    """Operations that a client can request of a queue."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    COUNT = "count"


@attrs.frozen
class QueueRequest(Message[object]):
    """A client's request whose queue has not been looked up yet.

    Attributes:
        verb: The requested operation.
        host: Host name that the client used.
        path: Path that the client used; it ends in the id of the job, if any.
        job: The submitted job, without its id, queue and team.
    """

    verb: QueueVerb
    host: str
    path: str
    job: StepJob | None = None


@attrs.frozen
class WorkersChanged(Message[None]):
    """The workers on the platform's list, as last read."""

    workers: tuple[StepWorker, ...]


@attrs.frozen
class WatchWorkers(Message[None]):
    """Starts or stops watching the list of workers."""

    enabled: bool


@attrs.frozen
class LeadershipAcquired(Message[None]):
    """This instance has become the leader.

    Attributes:
        epoch: Number of the leadership.
        row_version: Version of the row that records the leadership.
        asked_ms: When the call was sent to which the store responded with that row.
    """

    epoch: int
    row_version: int
    asked_ms: int


@attrs.frozen
class ReleaseLeadership(Message[None]):
    """Asks to release the leadership and not to acquire it again.

    The reply comes once the write of the release has succeeded or failed.
    """


@attrs.frozen
class RenewLeadership(Message[None]):
    """Asks the leader to write a renewal of its leadership."""

    epoch: int


@attrs.frozen
class LeadershipEnded(Message[None]):
    """This instance is no longer the leader.

    Attributes:
        epoch: The leadership that has ended.
        reason: Why it has ended.
    """

    epoch: int
    reason: str


@attrs.frozen
class LeadershipConfirmed(Message[None]):
    """The store has confirmed the leadership.

    Attributes:
        epoch: Number of the leadership.
        asked_ms: When the confirmed request was sent, on this instance's clock.
    """

    epoch: int
    asked_ms: int


@attrs.frozen
class StorePathStatus(Message[None]):
    """Which path to the store works.

    Attributes:
        direct: Whether this instance reaches the store directly.
        relayed: Whether another instance has just relayed a request to the store.
    """

    direct: bool
    relayed: bool


@attrs.frozen
class StoreReachability(Message[None]):
    """Whether the leader's writes reach the store."""

    reachable: bool


@attrs.frozen
class LeaderChanged(Message[None]):
    """Which instance leads; the id is empty if no leader is known."""

    leader_id: str
    epoch: int


class StartOutcome(enum.Enum):
    """The outcome of an order to start a run."""

    STARTED = "started"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class WorkerMessage(Message[None]):
    """Base class of the messages that tell the leader about one worker.

    Attributes:
        worker_id: The worker.
    """

    worker_id: str

    @property
    def subject(self) -> str:
        """The worker."""
        return self.worker_id


@attrs.frozen
class RunStartResult(WorkerMessage):
    """The outcome of an order to start one run.

    Attributes:
        task: The task.
        run: Number of the run.
        outcome: Whether the run was started, if that is known.
        reason: Why the order was refused, or empty.
    """

    task: TaskRef
    run: int
    outcome: StartOutcome
    reason: str = ""


@attrs.frozen
class WorkerListingReceived(WorkerMessage):
    """A worker's listing of its runs.

    Attributes:
        listing: The listing.
        fence: Fencing token of the call that returned it.
        asked_ms: When the call was sent, on this instance's clock.
    """

    listing: WorkerListing
    fence: int
    asked_ms: int


@attrs.frozen
class WorkerCallUnanswered(WorkerMessage):
    """A call that requested a worker's listing has failed."""


@attrs.frozen
class ShortenListingWaits(Message[None]):
    """Asks a link to shorten the waits of its listings, since a call has failed.

    Attributes:
        until_ms: When the shortening ends, on this instance's clock. A time that has
            passed asks for one listing without a wait.
    """

    until_ms: int


@attrs.frozen
class WorkerFenceRefused(WorkerMessage):
    """A worker refused a listing because it has seen a higher fencing token.

    Attributes:
        fence: The token of the refused listing.
    """

    fence: int


@attrs.frozen
class WorkerUnresponsive(WorkerMessage):
    """Several successive calls to a worker have failed.

    Attributes:
        expired: Whether all of its runs have certainly ended.
    """

    expired: bool


@attrs.frozen
class SendRunStart(Message[None]):
    """Asks the link to send the worker an order to start a run."""

    order: StartOrder
    fence: int


@attrs.frozen
class SendRunStop(Message[None]):
    """Asks the link to send the worker an order to stop a run."""

    task: TaskRef
    run: int
    fence: int


@attrs.frozen
class SendRunPace(Message[None]):
    """Asks the link to send the worker an order to change the speed of a run.

    Attributes:
        task: The task.
        run: Number of the run.
        percent: The new speed, in percent of full speed.
        fence: Fencing token of the order.
    """

    task: TaskRef
    run: int
    percent: int
    fence: int


@attrs.frozen
class RaiseFence(Message[None]):
    """Raises the fencing token and requests a listing from the worker at once."""

    fence: int


@attrs.frozen
class AcknowledgeRunEnds(Message[None]):
    """Lets an incarnation of the worker discard run ends up to a number.

    Attributes:
        born_unix_ms: Start of the incarnation; each one numbers its ends anew.
        number: The highest number that is persisted in the store.
    """

    born_unix_ms: int
    number: int


@attrs.frozen
class AllowLeaseRenewal(Message[None]):
    """Lets the link renew the worker's lease until a time on this instance's clock."""

    until_ms: int
