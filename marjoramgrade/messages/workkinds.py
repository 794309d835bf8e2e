"""What the handling of a message does, for instances that stop before it ends."""

from __future__ import annotations

from typing import TypeVar

from marjoramgrade.decisions.stopping.answers import WorkKind

T = TypeVar("T", bound=type)

_READS: set[type] = set()


def reads(message_type: T) -> T:
    """Register a message type whose handling changes nothing; a class decorator."""
    _READS.add(message_type)
    return message_type


def work_kind_of(message: object) -> WorkKind:
    """Return what the handling of a message does.

    A message that is not registered counts as a change: if its answer is lost, its
    outcome is unknown.
    """
    return WorkKind.READ if type(message) in _READS else WorkKind.CHANGE
