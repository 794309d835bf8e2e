"""What the caller of a request is told that a stopping process does not finish."""

from __future__ import annotations

import enum

from marjoramgrade.errors import (
    MarjoramgradeError,
    OutcomeUnknownError,
    ShuttingDownError,
)


class WorkKind(enum.Enum):
    """What a request does, as far as its answer depends on it."""

    # It changes nothing.
    READ = "read"
    # It may have been passed on, and then takes effect without its answer.
    CHANGE = "change"
    # A change of which an earlier attempt may have come through another instance. A
    # refusal would promise that no attempt has been or will be accepted.
    SUBMISSION = "submission"


def refuse(kind: WorkKind) -> MarjoramgradeError:
    """Return the answer to a request that has not begun."""
    if kind is WorkKind.SUBMISSION:
        return OutcomeUnknownError(
            "this attempt has not run, as the instance is stopping; "
            "an earlier one may have been accepted"
        )
    return ShuttingDownError("the instance is stopping")


def end_wait(kind: WorkKind) -> MarjoramgradeError:
    """Return the answer to a request that still waits when all waits end."""
    if kind is WorkKind.READ:
        return ShuttingDownError("the instance stops before the answer has come")
    return OutcomeUnknownError("the instance stops before the outcome is known")
