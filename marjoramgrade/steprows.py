"""The rows that store step jobs and the leadership."""

from __future__ import annotations

import zlib
from typing import TypeVar

import attrs
import msgspec
from attrs import validators

from marjoramgrade.addresses import MAX_PORT, check_host
from marjoramgrade.decisions.stepprogress import JobProgress
from marjoramgrade.errors import InvalidInputError
from marjoramgrade.messages.rows import RowId
from marjoramgrade.resources import Resources
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
# The whole roster in one row, as earlier versions wrote it.
LEGACY_ROSTER_ROW = RowId(LEADERSHIP_TABLE, LEADER_PART, "roster")
ROSTER_TABLE = "roster"
# Number of rows over which the roster is spread. A worker takes some 240 bytes, and the
# store accepts 65,536 bytes a row, so the rows hold some 17,000 workers.
ROSTER_ROWS = 64
# Processing capacity of an instance, in thousandths of a core. An instance of absurd
# strength would get the lead from every other one.
MAX_STRENGTH = 10_000_000
# Rows of jobs with many tasks are compressed, since the store bounds the size of a row.
COMPRESSED_FROM_BYTES = 16_384
MAX_ROW_TEXT_BYTES = 4 * 1_048_576
ZLIB_FIRST_BYTE = b"\x78"


def _check_host(_row: object, _field: object, host: str) -> None:
    try:
        check_host(host, "the member")
    except InvalidInputError as error:
        # The decoder reports a ValueError as an invalid row.
        raise ValueError(error.message) from None


@attrs.frozen
class MemberRow:
    """The address of an instance for other instances, and its processing capacity."""

    instance_id: str
    zone: str
    host: str = attrs.field(validator=_check_host)
    peer_port: int = attrs.field(validator=[validators.ge(1), validators.le(MAX_PORT)])
    strength: int = attrs.field(
        default=0, validator=[validators.ge(0), validators.le(MAX_STRENGTH)]
    )


@attrs.frozen
class JobRow:
    """A job as submitted, with its queue and limit as configured at that time.

    These are stored too, since a later configuration may remove the queue or the team
    before the job has ended.

    Attributes:
        job: The job.
        queue: The queue of the job.
        team_limit: Limit of the team; None in rows of earlier versions, or if the team
            was unknown.
    """

    job: StepJob
    queue: Queue
    team_limit: Resources | None = None


@attrs.frozen
class RosterRow:
    """Some of the workers to which a leader may have sent runs."""

    workers: tuple[StepWorker, ...] = ()


def roster_row_number(worker_id: str) -> int:
    """Return the number of the row that lists a worker of the roster."""
    return zlib.crc32(worker_id.encode()) % ROSTER_ROWS


def roster_row_id(number: int) -> RowId:
    """Return the id of one of the `ROSTER_ROWS` rows of the roster."""
    return RowId(ROSTER_TABLE, LEADER_PART, f"{number:03}")


def job_row_id(job_id: str) -> RowId:
    """Return the id of the row that stores a job as submitted."""
    return RowId(JOBS_TABLE, LEADER_PART, job_id)


def progress_row_id(job_id: str) -> RowId:
    """Return the id of the row that stores the progress of a job."""
    return RowId(PROGRESS_TABLE, LEADER_PART, job_id)


def serialize_row(value: object) -> bytes:
    """Return the content of the row that stores a value; a long one is compressed."""
    data = msgspec.json.encode(value)
    return zlib.compress(data) if len(data) > COMPRESSED_FROM_BYTES else data


def serialize_progress(progress: JobProgress, max_bytes: int) -> bytes:
    """Return the content of a job's progress row.

    Checkpoints, which only spare work, are left out of a row that would be longer than
    the store accepts. Without a row the ends of the job could not be acknowledged.
    """
    value = serialize_row(progress.record())
    if len(value) > max_bytes:
        value = serialize_row(progress.record(with_checkpoints=False))
    return value


def parse_row(data: bytes, kind: type[T]) -> T:
    """Return the value that the content of a row stores.

    Raises:
        InvalidInputError: If the content is not a valid value of this type.
    """
    try:
        return msgspec.json.decode(_decompress(data), type=kind)
    except (msgspec.MsgspecError, RecursionError, zlib.error) as error:
        raise InvalidInputError(
            f"row is not a valid {kind.__name__}: {error}"
        ) from None


def _decompress(data: bytes) -> bytes:
    """Return the JSON text of a row.

    Raises:
        zlib.error: If the compressed text is damaged or too long.
    """
    # Every row is a JSON object, so it begins with a brace unless it is compressed.
    if data[:1] != ZLIB_FIRST_BYTE:
        return data
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_ROW_TEXT_BYTES)
    if not decompressor.eof:
        raise zlib.error("the compressed text is incomplete or too long")
    return text
