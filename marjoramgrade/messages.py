"""Messages between actors; adapters translate some of them for other processes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.decisions.ownership import ShardRow
from marjoramgrade.decisions.promises import PromiseReply, PromiseRequest
from marjoramgrade.model import Config, Instance, Job, JobSpec, Key, Outcome, TaskId
from marjoramgrade.resources import NOTHING, Resources

# Configuration


@attrs.frozen
class ConfigConfirmed(Message[None]):
    """The configuration in force and until when it is known to be current.

    Attributes:
        config: The configuration.
        fresh_until_ms: End of that knowledge on this instance's clock.
        row_version: Commit number of the table's row.
        read_version: Every change up to this commit number is in `config`.
    """

    config: Config
    fresh_until_ms: int
    row_version: int = 0
    read_version: int = 0


@attrs.frozen
class GetConfig(Message[ConfigConfirmed]):
    """Asks for the configuration in force."""


@attrs.frozen
class ChangeConfig(Message[Config]):
    """Asks for a change of one resource of the configuration.

    Attributes:
        kind: Plural name of the resource type, for example `teams`.
        name: Name of the resource.
        value: The new resource, or None to delete it.
        expected_version: Version of the resource that the change is based on,
            zero if it must not exist, None for an unconditional change.
    """

    kind: str
    name: str
    value: Any
    expected_version: int | None = None


@attrs.frozen
class KeyGranted:
    """A key that was granted; the only time its secret is shown."""

    key: Key
    secret: str
    version: int


@attrs.frozen
class GrantKey(Message[KeyGranted]):
    """Asks for a new key of a team."""

    key: Key
    secret: str
    expected_version: int | None = None


@attrs.frozen
class ConfigPushed(Message[None]):
    """Tells a peer that a newer configuration is in the table."""

    version: int


# Instances and peers


@attrs.frozen
class InstancesChanged(Message[None]):
    """The platform's list of instances as last read."""

    instances: tuple[Instance, ...]


@attrs.frozen
class Member:
    """An entry instance as registered in the table.

    Attributes:
        instance_id: Its id.
        zone: Its availability zone.
        host: IP number.
        peer_port: TCP port for other entry instances.
        row_version: Version of its row; a lower one was registered earlier.
    """

    instance_id: str
    zone: str
    host: str
    peer_port: int
    row_version: int = 0


@attrs.frozen
class MembersChanged(Message[None]):
    """The registered entry instances, this one included."""

    members: tuple[Member, ...]


@attrs.frozen
class CallPeer(Message[Any]):
    """Sends a message to another entry instance and waits for its reply."""

    instance_id: str
    message: Message[Any]
    timeout_ms: int


@attrs.frozen
class TellPeers(Message[None]):
    """Sends a message to every other entry instance."""

    message: Message[Any]


@attrs.frozen
class PeerCall(Message[Any]):
    """Asks the link to one peer to send a message and wait for the reply."""

    message: Message[Any]
    timeout_ms: int


@attrs.frozen
class PeerTell(Message[None]):
    """Asks the link to one peer to send a message, or drop it if it cannot."""

    message: Message[Any]


@attrs.frozen
class Inbound(Message[Any]):
    """A message that arrived from another entry instance."""

    instance_id: str
    message: Message[Any]


# Authority without the table


@attrs.frozen
class TableContact(Message[None]):
    """Whether the last read of the table was answered."""

    is_reached: bool


@attrs.frozen
class Attest(Message[PromiseReply]):
    """Asks a peer to promise that it changes nothing for a while."""

    request: PromiseRequest


@attrs.frozen
class Acknowledged:
    """Whether a member agrees that a newcomer may change things."""

    is_acknowledged: bool


@attrs.frozen
class AcknowledgeNewcomer(Message[Acknowledged]):
    """Asks a member to agree that a newcomer may change things."""

    instance_id: str
    zone: str


@attrs.frozen
class BeginWrite(Message[None]):
    """Asks for leave to write something that promises cover."""

    write_id: str


@attrs.frozen
class EndWrite(Message[None]):
    """Tells that a write took effect or certainly never will."""

    write_id: str


@attrs.frozen
class MayTakeShard(Message[bool]):
    """Asks whether the newcomer rule allows a takeover."""

    row: ShardRow


@attrs.frozen
class MemberReplaced(Message[None]):
    """An earlier life of this instance was registered under the same id."""


@attrs.frozen
class ShardHeld(Message[None]):
    """Tells whose promises can extend the ownership of a shard.

    Attributes:
        shard: Name of the shard.
        guardians: Instances on its row.
        is_proposed: Whether the row is about to be written.
    """

    shard: str
    guardians: tuple[str, ...]
    is_proposed: bool


@attrs.frozen
class ShardDropped(Message[None]):
    """Tells that a shard is no longer owned."""

    shard: str


@attrs.frozen
class ConfigAttested(Message[None]):
    """A configuration was current at a time, by the promises of all members."""

    version: int
    asked_ms: int


@attrs.frozen
class OwnershipAttested(Message[None]):
    """Nobody takes over a shard before a time, by promises."""

    shard: str
    until_ms: int


# Ownership


@attrs.frozen
class OwnershipChanged(Message[None]):
    """This instance owns a shard until a time, or no longer.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch under which it is owned.
        until_ms: End of the authority on this instance's clock; zero if lost.
        fence_version: Version of the shard's epoch row at the takeover.
    """

    shard: str
    epoch: int
    until_ms: int
    fence_version: int = 0


@attrs.frozen
class DrainRequests(Message[None]):
    """Ends the requests of a shard before it is given up.

    The reply comes when the requests that were sent have ended; those that wait
    for a slot are refused and did not run.
    """


@attrs.frozen
class ReleaseShards(Message[None]):
    """Gives up every owned shard so that another instance can take it at once."""


# Jobs


@attrs.frozen
class StoredJob:
    """A job and the version of its row."""

    job: Job
    version: int


@attrs.frozen
class SubmitJob(Message[StoredJob]):
    """Accepts a job durably; the same id with the same spec is accepted once."""

    job_id: str
    spec: JobSpec


@attrs.frozen
class GetJob(Message[StoredJob]):
    """Asks for one job."""

    job_id: str


@attrs.frozen
class ListJobs(Message[tuple[StoredJob, ...]]):
    """Asks for the jobs that this instance knows, of one team or of all."""

    team: str = ""


@attrs.frozen
class CancelJob(Message[StoredJob]):
    """Asks that the open tasks of a job end as cancelled."""

    job_id: str


@attrs.frozen
class JobsChanged(Message[None]):
    """Jobs whose rows changed, in order of version.

    Attributes:
        jobs: The jobs.
        read_version: Every change up to this commit number has been told.
    """

    jobs: tuple[StoredJob, ...]
    read_version: int = 0


@attrs.frozen
class JobAssigned(Message[None]):
    """Tells the owner of a shard that a job row was written for it."""

    job_id: str


@attrs.frozen
class ShardFence:
    """Lets a write take effect only until the next takeover of a shard.

    Attributes:
        shard: Name of the shard.
        version: Version of the shard's epoch row at the writer's takeover.
    """

    shard: str
    version: int


@attrs.frozen
class WriteJob(Message[StoredJob]):
    """Asks the journal to write a job row.

    Attributes:
        job: The new content.
        expected_version: Version that the row must have; zero for a new row.
        fence: The shard that the writer must still own, if it writes as owner.
    """

    job: Job
    expected_version: int
    fence: ShardFence | None = None


@attrs.frozen
class RecordRequest(Message[None]):
    """Asks the journal to record the id of a non-idempotent request."""

    team: str
    request_id: str


@attrs.frozen
class TaskStatus:
    """The state of one task for operators."""

    task: TaskId
    state: str
    reason: str
    worker_id: str = ""

    @classmethod
    def from_outcome(cls, task: TaskId, outcome: Outcome, reason: str) -> TaskStatus:
        """Return the state of a task that has ended."""
        return cls(task, outcome.name.lower(), reason)

    @classmethod
    def from_ended(cls, job: Job) -> tuple[TaskStatus, ...]:
        """Return the states of all tasks of a job that has ended."""
        return tuple(
            cls.from_outcome(TaskId(job.job_id, index), Outcome(outcome), "ended")
            for index, outcome in enumerate(job.outcomes)
        )


@attrs.frozen
class GetTasks(Message[tuple[TaskStatus, ...]]):
    """Asks the owner of a shard for the tasks of a job.

    Attributes:
        shard: The home shard of the job; empty if it is to be looked up.
        job_id: The job.
    """

    shard: str
    job_id: str


# Watches


@attrs.frozen
class WatchEvent:
    """One change.

    Attributes:
        version: Commit number of the table; zero for a reset with no changes yet.
        kind: `job`, `config` or `reset`.
        name: Name of the resource.
        job: The job, for the kind `job`.
        config_version: Version of the configuration, for the kind `config`.
    """

    version: int
    kind: str
    name: str = ""
    job: Job | None = None
    config_version: int = 0


# Workers


@attrs.frozen
class TaskRun:
    """A task with its attempt, as a worker reports it."""

    task: TaskId
    attempt: int


@attrs.frozen
class TaskEnd:
    """The end of a task; `outcome` is `done`, `failed` or `stopped`."""

    task: TaskId
    attempt: int
    outcome: str


@attrs.frozen
class WorkerConnected(Message[None]):
    """A worker accepted the epoch and sent its inventory."""

    shard: str
    worker_id: str
    epoch: int
    running: tuple[TaskRun, ...]
    ends: tuple[TaskEnd, ...]


@attrs.frozen
class WorkerDisconnected(Message[None]):
    """The connection to a worker broke."""

    shard: str
    worker_id: str


@attrs.frozen
class WorkerHeartbeat(Message[None]):
    """A worker asked for a longer lease."""

    shard: str
    worker_id: str
    seq: int


@attrs.frozen
class WorkerEnds(Message[None]):
    """Tasks ended on a worker."""

    shard: str
    worker_id: str
    ends: tuple[TaskEnd, ...]


@attrs.frozen
class WorkerRefused(Message[None]):
    """A worker did not start some tasks; they have not run."""

    shard: str
    worker_id: str
    tasks: tuple[TaskId, ...]
    reason: str


@attrs.frozen
class TaskStart:
    """What a worker needs to run a task."""

    task: TaskId
    attempt: int
    resources: Resources
    run_ms: int
    payload: str


@attrs.frozen
class WorkerBatch(Message[None]):
    """Everything that the owner sends to a worker in one step.

    Attributes:
        epoch: Epoch of the owner.
        starts: Tasks to start.
        stops: Tasks to stop.
        acks: Ends that are durable and may be forgotten.
        granted_seq: Heartbeat that is answered, or zero.
        lease_ms: Length of the granted lease from the heartbeat's sending.
    """

    epoch: int
    starts: tuple[TaskStart, ...] = ()
    stops: tuple[TaskId, ...] = ()
    acks: tuple[TaskId, ...] = ()
    granted_seq: int = 0
    lease_ms: int = 0


# Requests


@attrs.frozen
class RunReply:
    """The whole answer of a backend server."""

    status: int
    body: bytes
    backend_id: str


@attrs.frozen
class RunRequest(Message[RunReply]):
    """A request for a backend server.

    Attributes:
        request_id: Id chosen by the caller.
        service: The service that answers it.
        team: The team whose key came with it.
        key_name: The key; checked again just before the dispatch.
        body: Opaque bytes.
        remaining_ms: Time left until the deadline when the message is sent.
        idempotent: Whether it may run more than once.
        shard: The shard that it is routed to; empty before routing.
    """

    request_id: str
    service: str
    team: str
    key_name: str
    body: bytes
    remaining_ms: int
    idempotent: bool
    shard: str = ""


@attrs.frozen
class FenceBackend:
    """What a backend server answered to a new epoch."""

    in_use: int
    slots: int


# Routing


@attrs.frozen
class DispatchSummary(Message[None]):
    """Load of the backend servers of an owned shard."""

    shard: str
    owner: str
    epoch: int
    free_slots_by_service: Mapping[str, int]
    queued: int


@attrs.frozen
class TaskSummary(Message[None]):
    """Load of the workers of an owned shard.

    Attributes:
        shard: Name of the shard.
        owner: Instance that owns it.
        epoch: Epoch of the owner.
        total: What the workers offer.
        free: What is not reserved.
        queued: Tasks that wait.
    """

    shard: str
    owner: str
    epoch: int
    total: Resources = NOTHING
    free: Resources = NOTHING
    queued: int = 0


@attrs.frozen
class ChooseShard(Message[str]):
    """Asks which shard a new job should be homed in."""

    spec: JobSpec


@attrs.frozen
class InstanceSummary(Message[None]):
    """What an entry instance tells the others about itself."""

    instance_id: str
    zone: str
    config_version: int


@attrs.frozen
class Summaries:
    """What is known of the cell.

    Attributes:
        dispatch: Load of the backend servers of each shard heard of lately.
        tasks: Load of the workers of each shard heard of lately.
        instances: The registered entry instances as last heard of.
    """

    dispatch: tuple[DispatchSummary, ...]
    tasks: tuple[TaskSummary, ...]
    instances: tuple[InstanceSummary, ...]

    def owners(self) -> set[str]:
        """Return the instances that are known to own shards."""
        by_dispatch = {summary.owner for summary in self.dispatch}
        return by_dispatch | {summary.owner for summary in self.tasks}


@attrs.frozen
class GetSummaries(Message[Summaries]):
    """Asks for the load of every shard."""
