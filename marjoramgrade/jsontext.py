"""JSON parsing with bounds on size and nesting, and JSON serialization."""

from __future__ import annotations

import json
from typing import Any

from marjoramgrade.errors import InvalidInputError, OversizedInputError

MAX_DOCUMENT_BYTES = 16 * 1_048_576
MAX_NESTING = 16  # the deepest document of this project has six levels


def parse_text(
    data: bytes | str, *, max_bytes: int = MAX_DOCUMENT_BYTES, path: str = "document"
) -> Any:
    """Parse a JSON text from outside the process.

    Args:
        data: The text.
        max_bytes: The largest accepted length of the text.
        path: Name of the text in error messages.

    Raises:
        OversizedInputError: If the text is too long or nested too deeply.
        InvalidInputError: If it is not JSON, or an object contains a name twice.
    """
    if len(data) > max_bytes:
        raise OversizedInputError(f"{path} is larger than {max_bytes} bytes", path=path)
    try:
        value = json.loads(
            data,
            object_pairs_hook=_dict_of_unique_names,
            parse_constant=_reject_constant,
        )
    except RecursionError:
        raise _nesting_error(path) from None
    except ValueError as error:
        reason = str(error)[:200]
        raise InvalidInputError(f"{path}: {reason}", path=path, reason=reason) from None
    check_nesting(value, path)
    _check_encodable(data, value, path)
    return value


def _check_encodable(data: bytes | str, value: Any, path: str) -> None:
    """Check that a parsed document can be encoded again.

    An escape may stand for half of a surrogate pair, which no encoding has.

    Raises:
        InvalidInputError: If it cannot.
    """
    has_escape = b"\\u" in data if isinstance(data, bytes) else "\\u" in data
    if not has_escape:
        return
    try:
        serialize_text(value).encode()
    except UnicodeEncodeError:
        reason = "a text has half of a surrogate pair"
        raise InvalidInputError(f"{path}: {reason}", path=path, reason=reason) from None


def serialize_text(value: Any) -> str:
    """Return a value as compact JSON text on one line."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)


def serialize_pretty(value: Any) -> str:
    """Return a value as indented JSON text."""
    return json.dumps(value, indent=2, ensure_ascii=False)


def _dict_of_unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("an object contains the same name twice")
    return value


def _reject_constant(constant: str) -> Any:
    raise ValueError(f"{constant} is not JSON")


def check_nesting(value: Any, path: str) -> None:
    """Check the nesting of a parsed document.

    Raises:
        OversizedInputError: If it is nested more than `MAX_NESTING` levels deep.
    """
    level = [value]
    for _ in range(MAX_NESTING):
        level = [inner for outer in level for inner in _children(outer)]
        if not level:
            return
    raise _nesting_error(path)


def _children(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []


def _nesting_error(path: str) -> OversizedInputError:
    return OversizedInputError(
        f"{path} is nested more than {MAX_NESTING} levels deep", path=path
    )
