"""Registries of interchangeable implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from marjoramgrade.errors import InvalidInputError

T = TypeVar("T")


class UnknownNameError(InvalidInputError):
    """A name is not in its registry."""

    code = "unknown_name"


class Registry(Generic[T]):
    """Named implementations of one behaviour.

    Args:
        subject: What an entry is, such as `filter`, for error messages.
    """

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self._entry_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds its argument under a name.

        Args:
            name: The name that settings use.

        Returns:
            A decorator that returns its argument unchanged.
        """

        def add(entry: T) -> T:
            if name in self._entry_by_name:
                raise ValueError(f"{self.subject} {name!r} is registered twice")
            self._entry_by_name[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry of this name.

        Raises:
            UnknownNameError: If no entry has this name.
        """
        try:
            return self._entry_by_name[name]
        except KeyError:
            known = ", ".join(sorted(self._entry_by_name))
            raise UnknownNameError(
                f"no {self.subject} is named {name!r}", known=known
            ) from None

    def iter_names(self) -> Iterator[str]:
        """Yield the registered names in alphabetical order."""
        yield from sorted(self._entry_by_name)
