"""The rows that hold jobs of steps and the leadership."""

from __future__ import annotations

from typing import TypeVar

import attrs
import msgspec

from marjoramgrade.errors import InvalidInputError
from marjoramgrade.messages.rows import RowId
from marjoramgrade.stepconfig import Queue
from marjoramgrade.stepjobs import StepJob, StepWorker

T = TypeVar("T")

# All rows of one leader lie in one part, so that each write can check that the
# leader still leads.
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
    """Where an instance can be reached by others, and how strong it is."""

    instance_id: str
    zone: str
    host: str
    peer_port: int
    strength: int = 0


@attrs.frozen
class JobRow:
    """A job as handed in, and its queue as it was then.

    A job outlives its queue, which a later configuration may drop.
    """

    job: StepJob
    queue: Queue


@attrs.frozen
class RosterRow:
    """The workers that a leader may have given work."""

    workers: tuple[StepWorker, ...] = ()


def job_row_id(job_id: str) -> RowId:
    """Return where a job as handed in lies."""
    return RowId(JOBS_TABLE, LEADER_PART, job_id)


def progress_row_id(job_id: str) -> RowId:
    """Return where the progress of a job lies."""
    return RowId(PROGRESS_TABLE, LEADER_PART, job_id)


def serialize_row(value: object) -> bytes:
    """Return the content of a row."""
    return msgspec.json.encode(value)


def parse_row(data: bytes, kind: type[T]) -> T:
    """Return what the content of a row holds.

    Raises:
        InvalidInputError: If it is not of this kind.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise InvalidInputError(f"a row of {kind.__name__}: {error}") from None
