"""Registries of named entries that are filled by decorators."""

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

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Returns a decorator that registers an entry under a name.

        Raises:
            ValueError: If the name is already registered.
        """

        def add(entry: Entry) -> Entry:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> Entry:
        """Returns the entry of a name.

        Raises:
            BriarforkError: If the name is unknown; the message lists the known names.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise BriarforkError(
                ErrorKind.BAD_REQUEST, f"unknown {self._kind} {name!r}, expected one of: {known}"
            )
        return self._entries[name]

    def names(self) -> list[str]:
        """Returns the names in order of registration."""
        return list(self._entries)

    def __iter__(self) -> Iterator[tuple[str, Entry]]:
        return iter(self._entries.items())
