"""The table from client addresses to regions, packed into sorted arrays."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from ipaddress import IPv4Address
from ipaddress import ip_address
from ipaddress import ip_network
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.configuration import ClientBlock

NO_REGION = 255
IPV6_HOST_BITS = 64


class BlockTable:
    """Longest-prefix match over client blocks.

    Nested blocks are flattened into disjoint ranges, so a look-up is one binary search. A range
    takes 4 bytes for its start and 1 for its region with IPv4, and 8 and 1 with IPv6, where
    prefixes longer than 64 bits are not kept.

    Example:
        >>> from briarfork.configuration import ClientBlock
        >>> blocks = [ClientBlock("10.0.0.0/8", "north"), ClientBlock("10.1.0.0/16", "west")]
        >>> table = BlockTable(blocks)
        >>> [table.find_region(address) for address in ("10.1.2.3", "10.2.0.1", "11.0.0.1")]
        ['west', 'north', None]
    """

    def __init__(self, blocks: Iterable[ClientBlock]) -> None:
        self._regions: list[str] = []
        indexes: dict[str, int] = {}
        ranges: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
        for block in blocks:
            if block.region not in indexes:
                indexes[block.region] = len(self._regions)
                self._regions.append(block.region)
            network = ip_network(block.prefix)
            shift = IPV6_HOST_BITS if network.version == 6 else 0
            first = int(network.network_address) >> shift
            last = int(network.broadcast_address) >> shift
            ranges[network.version].append((first, last, indexes[block.region]))
        self._starts4, self._owners4 = _flatten(ranges[4], "I")
        self._starts6, self._owners6 = _flatten(ranges[6], "Q")

    def __len__(self) -> int:
        return len(self._starts4) + len(self._starts6)

    def find_region(self, address: str) -> str | None:
        """Returns the region of a client address, or None if no block holds it.

        Raises:
            ValueError: If the text is not an address.
        """
        parsed = ip_address(address)
        if isinstance(parsed, IPv4Address):
            index = bisect_right(self._starts4, int(parsed)) - 1
            owner = self._owners4[index] if index >= 0 else NO_REGION
        else:
            index = bisect_right(self._starts6, int(parsed) >> IPV6_HOST_BITS) - 1
            owner = self._owners6[index] if index >= 0 else NO_REGION
        return None if owner == NO_REGION else self._regions[owner]

    def count_bytes(self) -> int:
        """Returns the size of the arrays in bytes."""
        arrays = (self._starts4, self._owners4, self._starts6, self._owners6)
        return sum(len(items) * items.itemsize for items in arrays)


def _flatten(ranges: list[tuple[int, int, int]], typecode: str) -> tuple[array[int], array[int]]:
    """Turns nested ranges into the starts of disjoint ones and the owner of each."""
    starts = array(typecode)
    owners = array("B")

    def begin(start: int, owner: int) -> None:
        if starts and starts[-1] == start:
            owners[-1] = owner
        elif not owners or owners[-1] != owner:
            starts.append(start)
            owners.append(owner)

    limit = 2 ** (8 * starts.itemsize)
    open_ranges: list[tuple[int, int]] = []

    def close_until(position: int) -> None:
        while open_ranges and open_ranges[-1][0] < position:
            last, _ = open_ranges.pop()
            outer = open_ranges[-1][1] if open_ranges else NO_REGION
            if last + 1 < limit:
                begin(last + 1, outer)

    for first, last, owner in sorted(ranges, key=lambda item: (item[0], -item[1])):
        close_until(first)
        begin(first, owner)
        open_ranges.append((last, owner))
    close_until(limit)
    return starts, owners
