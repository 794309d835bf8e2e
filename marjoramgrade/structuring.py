"""Strict conversion between attrs classes and JSON-compatible documents.

`cattrs` coerces numbers and text by default. The converter made here does not:
it reports a value of another JSON type, an unknown name and a value outside its
bound as a `Problem` with a path.
"""

from __future__ import annotations

import enum
import ipaddress
import itertools
import re
import urllib.parse
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

import attrs
from cattrs import Converter
from cattrs.errors import (
    AttributeValidationNote,
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn, override

from marjoramgrade.addresses import check_host
from marjoramgrade.errors import InvalidInputError

T = TypeVar("T")
StructHook = Callable[[Any, Any], Any]

MAX_NAME_LENGTH = 64
MAX_PROBLEMS = 20
MAX_ECHO_LENGTH = 80  # an error must not repeat a long untrusted value in full
# JSON numbers above 2**53 lose digits in parsers that use floating point.
MAX_NUMBER = 2**53

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


@attrs.frozen
class Problem:
    """A fault in a document.

    Attributes:
        path: Path of the faulty value, such as `teams[1].name`.
        reason: What is wrong with it, as the end of a sentence about the path.
    """

    path: str
    reason: str


SHA256_LENGTH = 64
_HEXADECIMAL = set("0123456789abcdef")


class InvalidValueError(ValueError):
    """A value has the wrong type or is out of bounds; reported as a `Problem`."""


CONVERSION_ERRORS = (
    ClassValidationError,
    IterableValidationError,
    ForbiddenExtraKeysError,
    InvalidValueError,
)


def whole_number(low: int, high: int = MAX_NUMBER) -> StructHook:
    """Return a hook for whole numbers within bounds, both included."""

    def check(value: Any, _: Any = None) -> int:
        if type(value) is not int:
            raise InvalidValueError("must be a whole number")
        if not low <= value <= high:
            raise InvalidValueError(f"must be between {low} and {high}")
        return value

    return check


def text(max_bytes: int) -> StructHook:
    """Return a hook for text of at most this many bytes in UTF-8."""

    def check(value: Any, _: Any = None) -> str:
        if type(value) is not str:
            raise InvalidValueError("must be text")
        # A character has at least one byte, so overlong text need not be encoded.
        if len(value) > max_bytes or len(_encode(value)) > max_bytes:
            raise InvalidValueError(f"must be at most {max_bytes} bytes long")
        return value

    return check


def _encode(value: str) -> bytes:
    try:
        return value.encode()
    except UnicodeEncodeError:
        raise InvalidValueError("must not contain a lone surrogate") from None


def name(*, optional: bool = False, max_length: int = MAX_NAME_LENGTH) -> StructHook:
    """Return a hook for names, which are used in URLs and in table keys."""
    limit = text(max_length)

    def check(value: Any, _: Any = None) -> str:
        checked: str = limit(value, str)
        if checked == "" and optional:
            return checked
        if not _NAME.fullmatch(checked):
            raise InvalidValueError(
                "must start with a letter or digit and contain only letters, digits, "
                "'.', '_' and '-'"
            )
        return checked

    return check


def ip_address(*, optional: bool = False) -> StructHook:
    """Return a hook for IP addresses; host names are not resolved."""
    limit = text(MAX_NAME_LENGTH)

    def check(value: Any, _: Any = None) -> str:
        checked: str = limit(value, str)
        if checked == "" and optional:
            return checked
        try:
            return check_host(checked, "it")
        except InvalidInputError:
            raise InvalidValueError("must be an IP address without a scope") from None

    return check


def sha256(*, optional: bool = False) -> StructHook:
    """Return a hook for SHA-256 digests in hexadecimal."""
    limit = text(SHA256_LENGTH)

    def check(value: Any, _: Any = None) -> str:
        checked: str = limit(value, str)
        if checked == "" and optional:
            return checked
        if len(checked) != SHA256_LENGTH or not set(checked) <= _HEXADECIMAL:
            raise InvalidValueError("must be 64 lower-case hexadecimal digits")
        return checked

    return check


def http_url(value: Any, _: Any = None) -> str:
    """Check that a value is `http://IP:PORT` without a path and return it."""
    checked: str = text(MAX_NAME_LENGTH)(value, str)
    try:
        parts = urllib.parse.urlsplit(checked)
        host, port = parts.hostname or "", parts.port
        ipaddress.ip_address(host)
    except ValueError:
        raise InvalidValueError("must be http://IP:PORT with an IP address") from None
    if checked != f"http://{parts.netloc}" or not port or "@" in parts.netloc:
        raise InvalidValueError("must be http://IP:PORT without a path")
    return checked


def flag(value: Any, _: Any = None) -> bool:
    """Check that a value is a Boolean and return it."""
    if type(value) is not bool:
        raise InvalidValueError("must be true or false")
    return value


def choice(kind: type[enum.Enum]) -> StructHook:
    """Return a hook for an enum whose members appear in documents by value."""
    member_by_value = {member.value: member for member in kind}
    known = ", ".join(str(value) for value in member_by_value)

    def check(value: Any, _: Any = None) -> enum.Enum:
        if type(value) is not str or value not in member_by_value:
            raise InvalidValueError(f"must be one of {known}")
        return member_by_value[value]

    return check


def items(entry_type: type, max_items: int) -> Callable[[Converter], StructHook]:
    """Return a factory of hooks for lists of at most this many entries."""

    def bind(converter: Converter) -> StructHook:
        def check(value: Any, _: Any = None) -> tuple[Any, ...]:
            if type(value) is not list:
                raise InvalidValueError("must be a list")
            if len(value) > max_items:
                raise InvalidValueError(f"must hold at most {max_items} entries")
            return converter.structure(value, tuple[entry_type, ...])  # type: ignore[valid-type]

        return check

    return bind


def make_converter() -> Converter:
    """Return a converter that neither coerces values nor ignores unknown names."""
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(int, whole_number(-MAX_NUMBER))
    converter.register_structure_hook(str, text(MAX_NUMBER))
    converter.register_structure_hook(bool, flag)
    return converter


def register_class(
    converter: Converter, kind: type, hook_by_field: Mapping[str, StructHook]
) -> None:
    """Register a strict structure hook for an attrs class.

    Args:
        converter: The converter to extend.
        kind: The attrs class.
        hook_by_field: The hook of each field that has a bound of its own.
    """
    overrides: dict[str, Any] = {
        field: override(struct_hook=hook) for field, hook in hook_by_field.items()
    }
    structure_object: Callable[..., Any] = make_dict_structure_fn(
        kind, converter, _cattrs_forbid_extra_keys=True, **overrides
    )

    def structure(value: Any, _: Any = None) -> Any:
        if type(value) is not dict:
            raise InvalidValueError("must be an object")
        return structure_object(value, kind)

    converter.register_structure_hook(kind, structure)


def find_problems(
    error: Exception, path: str = "", limit: int = MAX_PROBLEMS
) -> list[Problem]:
    """Return the first problems that an exception of a converter reports.

    Args:
        error: The exception.
        path: Path of the document inside a larger one, or empty.
        limit: Maximum number of problems to return.
    """
    return list(itertools.islice(_iter_problems(error, path), limit))


def _iter_problems(error: BaseException, path: str) -> Iterator[Problem]:
    if isinstance(error, ClassValidationError | IterableValidationError):
        errors_with_notes, errors_without_notes = error.group_exceptions()
        for inner, note in errors_with_notes:
            yield from _iter_problems(inner, _join_path(path, note))
        for inner in errors_without_notes:
            yield from _iter_problems(inner, path)
    elif isinstance(error, ForbiddenExtraKeysError):
        for extra in sorted(shorten(extra) for extra in error.extra_fields):
            yield Problem(f"{path}.{extra}" if path else extra, "is an unknown name")
    elif isinstance(error, KeyError):
        yield Problem(path, "is required")
    else:
        yield Problem(path or "document", str(error))


def _join_path(
    path: str, note: AttributeValidationNote | IterableValidationNote
) -> str:
    if isinstance(note, IterableValidationNote):
        return f"{path}[{shorten(note.index)}]"
    return f"{path}.{note.name}" if path else note.name


def shorten(value: object) -> str:
    """Return printable text for an untrusted value, cut to `MAX_ECHO_LENGTH`."""
    shown = str(value)[:MAX_ECHO_LENGTH]
    plain = shown.isprintable() and shown.strip() != ""
    return shown if plain else ascii(shown)[:MAX_ECHO_LENGTH]
