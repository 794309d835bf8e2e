"""The rows that store step jobs and the leadership."""

from __future__ import annotations

from typing import TypeVar

import attrs
import msgspec

from marjoramgrade.errors import InvalidInputError
from marjoramgrade.messages.rows import RowId
from marjoramgrade.stepconfig import Queue
from marjoramgrade.stepjobs import StepJob, StepWorker

T = TypeVar("T")

# All rows that a leader writes are in one part, so that each write can check in the
# same transaction that the leader still leads.
LEADER_PART = "p0"
LEADERSHIP_TABLE = "leadership"
JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
MEMBERS_TABLE = "members"
EPOCH_ROW = RowId(LEADERSHIP_TABLE, LEADER_PART, "epoch")
RENEWAL_ROW = RowId(LEADERSHIP_TABLE, LEADER_PART, "renewal")
ROSTER_ROW = RowId(LEADERSHIP_TABLE, LEADER_PART, "roster")


@attrs.frozen
class MemberRow:
    """The address of an instance for other instances, and its processing capacity."""

    instance_id: str
    zone: str
    host: str
    peer_port: int
    strength: int = 0


@attrs.frozen
class JobRow:
    """A job as submitted, with its queue as configured at that time.

    The queue is stored too, since a later configuration may remove it before the
    job has ended.
    """

    job: StepJob
    queue: Queue


@attrs.frozen
class RosterRow:
    """The workers to which a leader may have sent runs."""

    workers: tuple[StepWorker, ...] = ()


def job_row_id(job_id: str) -> RowId:
    """Return the id of the row that stores a job as submitted."""
    return RowId(JOBS_TABLE, LEADER_PART, job_id)


def progress_row_id(job_id: str) -> RowId:
    """Return the id of the row that stores the progress of a job."""
    return RowId(PROGRESS_TABLE, LEADER_PART, job_id)


def serialize_row(value: object) -> bytes:
    """Return the content of the row that stores a value."""
    return msgspec.json.encode(value)


def parse_row(data: bytes, kind: type[T]) -> T:
    """Return the value that the content of a row stores.

    Raises:
        InvalidInputError: If the content is not a valid value of this type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise InvalidInputError(
            f"row is not a valid {kind.__name__}: {error}"
        ) from None
