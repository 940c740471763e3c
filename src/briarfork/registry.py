"""Registries that decorators fill."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

Entry = TypeVar("Entry")


class Registry(Generic[Entry]):
    """Named entries of one kind, such as selection policies or commands.

    Example:
        >>> shapes: Registry[type] = Registry("shape")
        >>> @shapes.register("square")
        ... class Square: ...
        >>> shapes.get("square") is Square
        True
        >>> shapes.get("circle")  # doctest: +ELLIPSIS
        Traceback (most recent call last):
        ...
        briarfork.errors.BriarforkError: bad_request: unknown shape 'circle', expected one of: ...
    """

    def __init__(self, noun: str) -> None:
        self._noun = noun
        self._entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Returns a decorator that adds an entry under a name.

        Raises:
            ValueError: If the name is taken.
        """

        def add(entry: Entry) -> Entry:
            if name in self._entries:
                raise ValueError(f"{self._noun} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> Entry:
        """Returns the entry of a name.

        Raises:
            BriarforkError: If the name is unknown; the known names are listed.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise BriarforkError(
                ErrorKind.BAD_REQUEST, f"unknown {self._noun} {name!r}, expected one of: {known}"
            )
        return self._entries[name]

    def names(self) -> list[str]:
        """Returns the names in order of registration."""
        return list(self._entries)

    def __iter__(self) -> Iterator[tuple[str, Entry]]:
        return iter(self._entries.items())
