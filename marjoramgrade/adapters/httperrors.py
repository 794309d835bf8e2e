"""Representation of errors in HTTP responses."""

from __future__ import annotations

from typing import Any

from marjoramgrade import errors

STATUS_BY_TYPE: dict[type[errors.MarjoramgradeError], int] = {
    errors.InvalidInputError: 400,
    errors.UnauthenticatedError: 401,
    errors.ForbiddenError: 403,
    errors.NotFoundError: 404,
    errors.ConflictError: 409,
    errors.DuplicateRequestError: 409,
    errors.OversizedInputError: 413,
    errors.UnsatisfiableError: 422,
    errors.OverloadedError: 429,
    errors.OverLimitError: 429,
    errors.MarjoramgradeError: 500,
    errors.OutcomeUnknownError: 502,
    errors.BackendFailedError: 502,
    errors.RefusedError: 503,
    errors.TableError: 503,
    errors.DeadlineExceededError: 504,
}


def status_of(error: errors.MarjoramgradeError) -> int:
    """Return the status of the closest base class listed in `STATUS_BY_TYPE`."""
    for kind in type(error).__mro__:
        if kind in STATUS_BY_TYPE:
            return STATUS_BY_TYPE[kind]
    return STATUS_BY_TYPE[errors.MarjoramgradeError]


def error_document(error: errors.MarjoramgradeError) -> dict[str, Any]:
    """Return the JSON document that represents an error in a response."""
    return {
        "error": {
            "code": error.code,
            "message": error.message,
            "ran": error.ran.value,
            "details": error.details,
        }
    }
