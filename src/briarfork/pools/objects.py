"""Tracks the objects that a backend server has handled recently and may still have cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

# Objects beyond this number are assumed to have been evicted from the caches of the server.
MAX_OBJECTS: Final = 96


class RecentObjects:
    """The most recently used object keys, in least-recently-used order.

    Example:
        >>> recent = RecentObjects(capacity=2)
        >>> recent.add("a"); recent.add("b"); recent.add("a"); recent.add("c")
        >>> "a" in recent, "b" in recent, "c" in recent
        (True, False, True)
    """

    __slots__ = ("_capacity", "_keys")

    def __init__(self, capacity: int = MAX_OBJECTS) -> None:
        self._capacity = capacity
        self._keys: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, key: str) -> bool:
        return key in self._keys

    def add(self, key: str) -> None:
        """Records that the server handles an object."""
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > self._capacity:
            self._keys.popitem(last=False)
