"""Tracks the objects that a backend server has handled recently and may still have cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator
    from collections.abc import Mapping

# Objects beyond this number are assumed to have been evicted from the caches of the server.
MAX_OBJECTS: Final = 96


class RecentObjects:
    """The most recently used object keys, in least-recently-used order.

    Example:
        >>> recent = RecentObjects(capacity=2)
        >>> [recent.add(key) for key in ("a", "b", "a", "c")]
        [None, None, None, 'b']
        >>> list(recent)
        ['a', 'c']
    """

    __slots__ = ("_capacity", "_keys")

    def __init__(self, capacity: int = MAX_OBJECTS) -> None:
        self._capacity = capacity
        self._keys: OrderedDict[str, None] = OrderedDict()

    def __iter__(self) -> Iterator[str]:
        return iter(self._keys)

    def add(self, key: str) -> str | None:
        """Records that the server handles an object; returns the object that it evicts, if any."""
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) <= self._capacity:
            return None
        evicted, _ = self._keys.popitem(last=False)
        return evicted


class ObjectIndex:
    """Finds the servers that have recently handled an object.

    Example:
        >>> index = ObjectIndex()
        >>> index.add("a", "s-1"); index.add("a", "s-2"); index.remove_server("s-1")
        >>> list(index.list_servers("a")), list(index.list_servers("b"))
        (['s-2'], [])
    """

    def __init__(self) -> None:
        self._recent: dict[str, RecentObjects] = {}
        self._servers: dict[str, set[str]] = {}

    def add(self, key: str, server: str) -> None:
        """Records that a server handles an object."""
        evicted = self._recent.setdefault(server, RecentObjects()).add(key)
        self._servers.setdefault(key, set()).add(server)
        if evicted is not None:
            self._discard(evicted, server)

    def remove_server(self, server: str) -> None:
        """Forgets a server that was removed or restarted."""
        for key in self._recent.pop(server, ()):
            self._discard(key, server)

    @property
    def servers(self) -> Mapping[str, Collection[str]]:
        """Names of the servers that have recently handled an object, by object."""
        return self._servers

    def list_servers(self, key: str) -> Collection[str]:
        """Returns the names of the servers that have recently handled an object."""
        return self._servers.get(key, ())

    def _discard(self, key: str, server: str) -> None:
        servers = self._servers[key]
        servers.discard(server)
        if not servers:
            del self._servers[key]
