"""The table from client addresses to regions, packed into sorted arrays."""

from __future__ import annotations

import socket
from array import array
from bisect import bisect_right
from ipaddress import ip_address
from itertools import chain
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Iterable

NO_REGION: Final = 255
IPV4_BITS: Final = 32
# Prefixes of IPv6 longer than this are not kept.
IPV6_BITS: Final = 64
OWNER_BITS: Final = 8
LENGTH_BITS: Final = 8


class BlockTable:
    """Longest-prefix match over client blocks.

    Nested blocks are flattened into disjoint ranges, so a lookup is one binary search. A range
    takes 4 bytes for its start and 1 for its region with IPv4, and 8 and 1 with IPv6, where
    prefixes longer than 64 bits are not kept.

    Example:
        >>> table = BlockTable([("10.0.0.0/8", "north"), ("10.1.0.0/16", "west")])
        >>> [table.find_region(address) for address in ("10.1.2.3", "10.2.0.1", "11.0.0.1")]
        ['west', 'north', None]
    """

    __slots__ = ("_owners4", "_owners6", "_regions", "_starts4", "_starts6")

    def __init__(self, blocks: Iterable[tuple[str, str]]) -> None:
        self._regions: list[str] = []
        indexes: dict[str, int] = {}
        packed4 = array("Q")
        packed6: list[int] = []
        for prefix, region in blocks:
            owner = indexes.get(region)
            if owner is None:
                owner = indexes[region] = len(self._regions)
                self._regions.append(region)
            address, _, length = prefix.partition("/")
            if ":" in address:
                first = int.from_bytes(socket.inet_pton(socket.AF_INET6, address)[:8], "big")
                packed6.append(_pack(first, int(length or 2 * IPV6_BITS), IPV6_BITS, owner))
            else:
                first = int.from_bytes(socket.inet_pton(socket.AF_INET, address), "big")
                packed4.append(_pack(first, int(length or IPV4_BITS), IPV4_BITS, owner))
        self._starts4, self._owners4 = _flatten(packed4, "I", IPV4_BITS)
        self._starts6, self._owners6 = _flatten(packed6, "Q", IPV6_BITS)

    def __len__(self) -> int:
        return len(self._starts4) + len(self._starts6)

    def find_region(self, address: str) -> str | None:
        """Returns the region of a client address, or None if no block holds it.

        Raises:
            ValueError: If the text is not an address.
        """
        try:
            if ":" in address:
                first = int.from_bytes(socket.inet_pton(socket.AF_INET6, address)[:8], "big")
                starts, owners = self._starts6, self._owners6
            else:
                first = int.from_bytes(socket.inet_pton(socket.AF_INET, address), "big")
                starts, owners = self._starts4, self._owners4
        except (OSError, ValueError) as error:
            # Accepts what inet_pton leaves out, such as scoped addresses, or names the fault.
            parsed = ip_address(address)
            if parsed.version != 6:
                raise ValueError(f"{address!r} is not an address") from error
            first, starts, owners = int(parsed) >> IPV6_BITS, self._starts6, self._owners6
        index = bisect_right(starts, first) - 1
        owner = owners[index] if index >= 0 else NO_REGION
        return None if owner == NO_REGION else self._regions[owner]

    def count_bytes(self) -> int:
        """Returns the size of the arrays in bytes."""
        arrays = (self._starts4, self._owners4, self._starts6, self._owners6)
        return sum(len(items) * items.itemsize for items in arrays)


def _pack(first: int, length: int, bits: int, owner: int) -> int:
    """Packs a block into a number whose order puts outer blocks before those inside them."""
    return ((first << LENGTH_BITS | min(length, bits + 1)) << OWNER_BITS) | owner


def _flatten(
    packed: array[int] | list[int], typecode: str, bits: int
) -> tuple[array[int], array[int]]:
    """Turns nested blocks into the starts of disjoint ranges and the owner of each."""
    starts = array(typecode)
    owners = array("B")
    limit = 1 << bits
    # Ends and owners of the blocks around the current position, the innermost last.
    ends = [limit]
    outer = [NO_REGION]

    def begin(start: int, owner: int) -> None:
        if starts and starts[-1] == start:
            starts.pop()
            owners.pop()
        if not owners or owners[-1] != owner:
            starts.append(start)
            owners.append(owner)

    for number in chain(sorted(packed), (limit << (LENGTH_BITS + OWNER_BITS),)):
        first = number >> (LENGTH_BITS + OWNER_BITS)
        while ends[-1] <= first and len(ends) > 1:
            end = ends.pop()
            outer.pop()
            if end < limit:
                begin(end, outer[-1])
        length = number >> OWNER_BITS & 255
        if first >= limit or length > bits:
            continue
        owner = number & 255
        begin(first, owner)
        ends.append(first + (1 << (bits - length)))
        outer.append(owner)
    return starts, owners
