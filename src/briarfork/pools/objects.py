"""The objects that a backend server has handled lately and may still have in its caches."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

# Objects beyond this number are taken as evicted from the caches of the server.
MAX_OBJECTS: Final = 96


class RecentObjects:
    """Least recently used map of object keys.

    Example:
        >>> recent = RecentObjects(capacity=2)
        >>> recent.add("a"); recent.add("b"); recent.add("a"); recent.add("c")
        >>> recent.find_age("c"), recent.find_age("a"), recent.find_age("b")
        (0, 1, None)
    """

    __slots__ = ("_capacity", "_count", "_keys")

    def __init__(self, capacity: int = MAX_OBJECTS) -> None:
        self._capacity = capacity
        self._count = 0
        self._keys: OrderedDict[str, int] = OrderedDict()

    def add(self, key: str) -> None:
        """Records that the server handles an object now."""
        self._count += 1
        self._keys[key] = self._count
        self._keys.move_to_end(key)
        if len(self._keys) > self._capacity:
            self._keys.popitem(last=False)

    def find_age(self, key: str) -> int | None:
        """Returns how many requests the server has got since, None if the object is unknown."""
        at = self._keys.get(key)
        return None if at is None else self._count - at
