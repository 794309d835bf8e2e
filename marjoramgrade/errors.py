"""Exception hierarchy: every failure has a type and a stable code."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Self, TypeVar

import attrs

E = TypeVar("E", bound=BaseException)

# Name of the detail that a confirmed refusal has, also between instances.
_CONFIRMED_EPOCH = "confirmed_epoch"
# Name of the detail that tells when an overloaded queue may take the work.
_RETRY_AFTER_MS = "retry_after_ms"


class Ran(enum.Enum):
    """Whether the work that a failure refers to has run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class MarjoramgradeError(Exception):
    """Base class of every failure that this project raises.

    Args:
        message: Description of the failure, in one sentence.
        details: Machine-readable facts about the failure, each a string.
    """

    code = "internal_error"
    ran = Ran.NO

    def __init__(self, message: str, **details: str) -> None:
        super().__init__(message)
        self.message = message
        self.details = details

    @classmethod
    def from_report(cls, message: str, details: Mapping[str, str]) -> Self:
        """Rebuild an error of this type that another process reported.

        Args:
            message: The message of the error.
            details: Machine-readable facts; any names are allowed.
        """
        error = cls(message)
        error.details = dict(details)
        return error


def drop_frames(error: E) -> E:
    """Remove the tracebacks of an error and its causes, and return it.

    The frames of a traceback refer to the message that failed, and through its reply to
    the error. In such a cycle a large message stays in memory until the next garbage
    collection, which its size does not bring nearer.
    """
    link: BaseException | None = error
    while link is not None and link.__traceback__ is not None:
        link.__traceback__ = None
        link = link.__cause__ or link.__context__
    return error


class InvalidInputError(MarjoramgradeError):
    """Input from outside the process has the wrong form."""

    code = "invalid_input"


class OversizedInputError(InvalidInputError):
    """Input from outside the process is larger than its bound."""

    code = "oversized_input"


class ProtocolError(MarjoramgradeError):
    """A process at the other end of a connection broke the protocol."""

    code = "protocol_error"


class NotFoundError(MarjoramgradeError):
    """The named resource does not exist."""

    code = "not_found"


class ConflictError(MarjoramgradeError):
    """A change was based on a version that is no longer current.

    Args:
        message: What was wrong.
        expected_version: The version that the change was based on.
        current_version: The current version.
    """

    code = "conflict"

    def __init__(
        self, message: str, *, expected_version: int, current_version: int
    ) -> None:
        super().__init__(
            message,
            expected_version=str(expected_version),
            current_version=str(current_version),
        )
        self.expected_version = expected_version
        self.current_version = current_version

    @classmethod
    def from_report(cls, message: str, details: Mapping[str, str]) -> ConflictError:
        """Rebuild a conflict; a version that is not a number becomes zero."""
        error = cls(
            message,
            expected_version=_parse_version(details.get("expected_version", "")),
            current_version=_parse_version(details.get("current_version", "")),
        )
        error.details = dict(details)
        return error


def _parse_version(text: str) -> int:
    # Table versions have fewer than 20 digits; converting very long text is slow.
    return int(text) if text.isascii() and text.isdigit() and len(text) < 20 else 0


@attrs.frozen
class SettingsProblem:
    """A fault in a settings document.

    Attributes:
        path: Path of the faulty setting within the document.
        reason: What is wrong with it.
    """

    path: str
    reason: str


class SettingsError(InvalidInputError):
    """A settings document is invalid; lists every fault."""

    code = "invalid_settings"

    def __init__(self, problems: list[SettingsProblem]) -> None:
        text = "; ".join(f"{p.path}: {p.reason}" for p in problems)
        super().__init__(text)
        self.problems = problems

    @classmethod
    def from_report(cls, message: str, details: Mapping[str, str]) -> SettingsError:
        """Rebuild the error with its message as the only problem."""
        error = cls([SettingsProblem("settings", message)])
        error.details = dict(details)
        return error


class RefusedError(MarjoramgradeError):
    """Work was refused and has not run.

    The refusal concerns one attempt. It holds for all attempts to hand a job in only if
    a leader gave it that the store has confirmed since this attempt came.
    """

    code = "refused"

    @property
    def confirmed_epoch(self) -> int:
        """Number of the confirmed leadership that refused, 0 without confirmation."""
        return _parse_version(self.details.get(_CONFIRMED_EPOCH, ""))

    def confirmed_by(self, epoch: int) -> RefusedError:
        """Return this refusal, given by a leadership that the store has confirmed."""
        details = {**self.details, _CONFIRMED_EPOCH: str(epoch)}
        return type(self).from_report(self.message, details)


class UnauthenticatedError(RefusedError):
    """The key is missing, unknown or withdrawn."""

    code = "unauthenticated"


class ForbiddenError(RefusedError):
    """The key's team may not use this resource."""

    code = "forbidden"


class DeadlineExceededError(RefusedError):
    """The deadline passed before the work was dispatched."""

    code = "deadline_exceeded"


class StaleAuthorityError(RefusedError):
    """The configuration cannot be confirmed as current."""

    code = "stale_authority"


class TableRequiredError(RefusedError):
    """The table is unreachable and the operation needs a write."""

    code = "table_unavailable"


class LedgerUnavailableError(RefusedError):
    """A non-idempotent request cannot be recorded before it runs."""

    code = "ledger_unavailable"


class OverloadedError(RefusedError):
    """A queue has reached its bound.

    Args:
        message: What is overloaded.
        retry_after_ms: Time after which the work may be taken, in milliseconds; 0 if
            it is not known.
        details: Machine-readable facts about the failure, each a string.
    """

    code = "overloaded"

    def __init__(
        self, message: str, *, retry_after_ms: int = 0, **details: str
    ) -> None:
        if retry_after_ms:
            details[_RETRY_AFTER_MS] = str(retry_after_ms)
        super().__init__(message, **details)

    @property
    def retry_after_ms(self) -> int:
        """Milliseconds after which the work may be taken, 0 if it is not known."""
        return _parse_version(self.details.get(_RETRY_AFTER_MS, ""))


class OverLimitError(RefusedError):
    """The team is at its upper limit."""

    code = "over_limit"


class UnsatisfiableError(RefusedError):
    """The work could never fit into the cell or within its team's bounds."""

    code = "unsatisfiable"


class NoBackendError(RefusedError):
    """No backend server can accept the request."""

    code = "no_backend"


class NotOwnerError(RefusedError):
    """This instance does not own the shard."""

    code = "not_owner"


class OwnerUnreachableError(RefusedError):
    """The shard's owner cannot be reached; nothing was sent."""

    code = "owner_unreachable"


class ShuttingDownError(RefusedError):
    """The instance is shutting down and accepts no new work; nothing has begun."""

    code = "shutting_down"


class DuplicateRequestError(RefusedError):
    """A request with this id was accepted before; this duplicate did not run."""

    code = "duplicate_request"
    ran = Ran.UNKNOWN


class OutcomeUnknownError(MarjoramgradeError):
    """The work may or may not have run."""

    code = "outcome_unknown"
    ran = Ran.UNKNOWN


class WorkCancelledError(OutcomeUnknownError):
    """Work was cancelled after it had begun, as its actor stopped.

    What it had sent to others may still take effect, unlike work that
    `ShuttingDownError` kept from beginning.
    """


class AnswerTimeoutError(OutcomeUnknownError):
    """No response arrived before the deadline; the connection did not break."""


class BackendFailedError(MarjoramgradeError):
    """The backend server ran the request and reported a failure."""

    code = "backend_failed"
    ran = Ran.YES


class TableError(MarjoramgradeError):
    """Base class of failures of the platform's table service."""

    code = "table_error"


class TableUnavailableError(TableError):
    """The table cannot be reached; the write was not sent."""

    code = "table_unavailable"


class TableRateLimitedError(TableUnavailableError):
    """The table refused a call for its rate; the path to it works."""

    code = "table_rate_limited"


class WriteOutcomeUnknownError(TableError):
    """A write was sent and its response was lost."""

    code = "write_outcome_unknown"
    ran = Ran.UNKNOWN


class CheckFailedError(TableError):
    """A version check of a transaction failed; nothing was written.

    Args:
        message: What was wrong.
        current_version_by_key: The current versions in the table.
    """

    code = "check_failed"

    def __init__(self, message: str, current_version_by_key: dict[str, int]) -> None:
        super().__init__(message)
        self.current_version_by_key = current_version_by_key

    @classmethod
    def from_report(cls, message: str, details: Mapping[str, str]) -> CheckFailedError:
        """Rebuild the error without the versions, which reports do not include."""
        error = cls(message, {})
        error.details = dict(details)
        return error


class RowCheckFailedError(TableError):
    """A version check of a transaction over rows failed; nothing was written.

    Args:
        message: What was wrong.
        rows: The current state of the checked rows.
    """

    code = "row_check_failed"

    def __init__(self, message: str, rows: tuple[object, ...] = ()) -> None:
        super().__init__(message)
        self.rows = rows


class RowsRejectedError(TableError):
    """The store refused a transaction as invalid; nothing was written."""

    code = "rows_rejected"


class StoredRowError(MarjoramgradeError):
    """The stored state of a job cannot be decoded."""

    code = "stored_row_unreadable"
    ran = Ran.UNKNOWN


class StaleReadError(TableError):
    """The store responded to a read with an older state than one already known."""

    code = "stale_read"


class TableProtocolError(TableError):
    """The store responded to a read with something that is no answer to it."""

    code = "table_protocol_error"


class HistoryLostError(TableError):
    """The store no longer has the changes after a version; a full read is needed."""

    code = "history_lost"


class QueueNotFoundError(NotFoundError):
    """No queue has this host and path."""

    code = "queue_not_found"


class JobNotFoundError(NotFoundError):
    """No job has this id, or it was deleted after its retention time."""

    code = "job_not_found"


class NoLeaderError(RefusedError):
    """No instance currently schedules jobs; nothing was accepted."""

    code = "no_leader"


class WorkerError(MarjoramgradeError):
    """Base class of failures of an order to a worker."""

    code = "worker_error"


class WorkerUnresponsiveError(WorkerError):
    """A worker did not respond; the order may still be carried out."""

    code = "worker_silent"
    ran = Ran.UNKNOWN


class WorkerUnreachableError(WorkerError):
    """No connection to a worker could be made; nothing was sent."""

    code = "worker_unreachable"


class WorkerRefusedError(WorkerError):
    """A worker refused an order and did nothing.

    Args:
        message: What was wrong.
        reason: The worker's reason code, such as `fence`, `room` or `ticket`.
    """

    code = "worker_refused"

    def __init__(self, message: str, reason: str = "") -> None:
        super().__init__(message, reason=reason)
        self.reason = reason


class WorkerReplacedError(WorkerError):
    """Another incarnation of the worker responds at its address."""

    code = "worker_replaced"


class AdvisorError(MarjoramgradeError):
    """The placement advisor returned no usable advice."""

    code = "advisor_error"


def iter_error_types(
    base: type[MarjoramgradeError] = MarjoramgradeError,
) -> list[type[MarjoramgradeError]]:
    """Return a type and all its subclasses, the base first."""
    found = [base]
    for child in base.__subclasses__():
        found.extend(iter_error_types(child))
    return found


def from_code(
    code: str, message: str, details: Mapping[str, str]
) -> MarjoramgradeError:
    """Rebuild an error that another process reported.

    Args:
        code: The stable code of the error.
        message: The message of the error.
        details: Machine-readable facts about the failure.

    Returns:
        An error of the type with this code, or the base type for an unknown code.
    """
    for kind in iter_error_types():
        if kind.code == code:
            return kind.from_report(message, details)
    error = MarjoramgradeError.from_report(message, details)
    error.code = code
    return error
