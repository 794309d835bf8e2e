"""Decoding of documents that other programs wrote, with bounds on every value.

Absent fields and null stand for the default of their type, as the platform leaves out
fields that are 0, false or empty.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterator
from typing import Any

import msgspec

from marjoramgrade.errors import InvalidInputError, OversizedInputError
from marjoramgrade.jsontext import check_nesting
from marjoramgrade.resources import Resources

# Largest document: a configuration of some thousand queues.
MAX_DOCUMENT_BYTES = 4 * 1_048_576
MAX_TEXT_LENGTH = 65_536
# The largest integer that every JSON implementation reads exactly.
MAX_INTEGER = 2**53 - 1
# Amounts of one worker or task. A worker with an absurd amount would attract all work.
MAX_CPU_MILLIS = 10_000_000
MAX_MEMORY_MIB = 1_000_000_000
MAX_ACCELERATORS = 10_000
MAX_REASON_LENGTH = 200

_DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    msgspec.MsgspecError,
)


@contextlib.contextmanager
def reports_invalid(subject: str) -> Iterator[None]:
    """Turn every failure to decode a document into an `InvalidInputError`.

    Args:
        subject: What the document is, for the message.
    """
    try:
        yield
    except InvalidInputError as error:
        reason = error.message
    except _DECODE_ERRORS as error:
        reason = repr(error)
    else:
        return
    raise InvalidInputError(
        f"{subject} cannot be decoded: {reason[:MAX_REASON_LENGTH]}"
    )


def decode_object(data: bytes) -> dict[str, Any]:
    """Decode a JSON object of bounded size and nesting.

    Raises:
        OversizedInputError: If it is too long or nested too deeply.
        InvalidInputError: If it is not a JSON object.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise OversizedInputError(f"larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        document = msgspec.json.decode(data)
    except RecursionError:
        raise OversizedInputError("nested too deeply") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise InvalidInputError(f"not JSON: {error}") from None
    if not isinstance(document, dict):
        raise InvalidInputError("not a JSON object")
    check_nesting(document, "document")
    return document


def get_integer(
    document: dict[str, Any],
    name: str,
    maximum: int = MAX_INTEGER,
    *,
    minimum: int = 0,
    default: int = 0,
) -> int:
    """Return an integer field; a fraction is rounded down.

    Raises:
        InvalidInputError: If the value is not a number or out of range.
    """
    return to_integer(document.get(name), name, maximum, minimum, default)


def to_integer(
    value: Any,
    name: str,
    maximum: int = MAX_INTEGER,
    minimum: int = 0,
    default: int = 0,
) -> int:
    """Return a value as an integer; see `get_integer`."""
    if value is None:
        return default
    if type(value) is float and math.isfinite(value):
        value = math.floor(value)
    if type(value) is not int:
        raise InvalidInputError(f"{name} is not a number")
    if not minimum <= value <= maximum:
        raise InvalidInputError(f"{name} is not within {minimum} to {maximum}")
    return value


def get_number(document: dict[str, Any], name: str, default: float = 0.0) -> float:
    """Return a field that is a number from 0 to `MAX_INTEGER`.

    Raises:
        InvalidInputError: If the value is not a number or out of range.
    """
    value = document.get(name)
    if value is None:
        return default
    if type(value) not in (int, float) or not 0 <= value <= MAX_INTEGER:
        raise InvalidInputError(f"{name} is not a number in range")
    return float(value)


def get_text(document: dict[str, Any], name: str, *, required: bool = False) -> str:
    """Return a text field; an absent one is empty.

    Raises:
        InvalidInputError: If the value is not a text or too long, or if it is required
            and empty.
    """
    return to_text(document.get(name), name, required=required)


def to_text(value: Any, name: str, *, required: bool = False) -> str:
    """Return a value as a text; see `get_text`."""
    text = "" if value is None else value
    if not isinstance(text, str) or len(text) > MAX_TEXT_LENGTH:
        raise InvalidInputError(f"{name} is not a text of usual length")
    if required and not text:
        raise InvalidInputError(f"{name} is missing")
    return text


def get_flag(document: dict[str, Any], name: str) -> bool:
    """Return a field that is true or false; an absent one is false.

    Raises:
        InvalidInputError: If the value is neither.
    """
    value = document.get(name)
    if value is not None and not isinstance(value, bool):
        raise InvalidInputError(f"{name} is neither true nor false")
    return bool(value)


def get_list(document: dict[str, Any], name: str) -> list[Any]:
    """Return a list field; an absent one is empty.

    Raises:
        InvalidInputError: If the value is not a list.
    """
    value = document.get(name)
    if value is not None and not isinstance(value, list):
        raise InvalidInputError(f"{name} is not a list")
    return value or []


def get_object(document: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a field that is an object; an absent one is empty.

    Raises:
        InvalidInputError: If the value is not an object.
    """
    return to_object(document.get(name) or {}, name)


def to_object(value: Any, name: str) -> dict[str, Any]:
    """Return a value that must be an object.

    Raises:
        InvalidInputError: If it is not an object.
    """
    if not isinstance(value, dict):
        raise InvalidInputError(f"{name} is not an object")
    return value


def get_resources(document: dict[str, Any]) -> Resources:
    """Return the amounts of resources of a worker or a task; absent ones are 0.

    Raises:
        InvalidInputError: If an amount is not a number or out of range.
    """
    return Resources(
        cpu_millis=get_integer(document, "cpu", MAX_CPU_MILLIS),
        memory_mib=get_integer(document, "memMb", MAX_MEMORY_MIB),
        accelerators=get_integer(document, "gpu", MAX_ACCELERATORS),
    )


def get_total_resources(document: dict[str, Any]) -> Resources:
    """Return amounts that many workers may have together; see `get_resources`."""
    return Resources(
        cpu_millis=get_integer(document, "cpu"),
        memory_mib=get_integer(document, "memMb"),
        accelerators=get_integer(document, "gpu"),
    )
