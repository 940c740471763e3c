"""Lookup table from client addresses to regions, stored in sorted arrays."""

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
# Longest IPv6 prefix that is kept.
IPV6_BITS: Final = 64
REGION_BITS: Final = 8
LENGTH_BITS: Final = 8


class BlockTable:
    """Longest-prefix match over client blocks.

    Nested blocks are flattened into disjoint ranges, so a lookup is one binary search. A range
    takes 4 bytes (IPv4) or 8 bytes (IPv6) for its start and 1 byte for its region. IPv6 prefixes
    longer than 64 bits are not kept.

    Example:
        >>> table = BlockTable([("10.0.0.0/8", "north"), ("10.1.0.0/16", "west")])
        >>> [table.find_region(address) for address in ("10.1.2.3", "10.2.0.1", "11.0.0.1")]
        ['west', 'north', None]
    """

    __slots__ = ("_range_regions4", "_range_regions6", "_region_names", "_starts4", "_starts6")

    def __init__(self, blocks: Iterable[tuple[str, str]]) -> None:
        self._region_names: list[str] = []
        indexes: dict[str, int] = {}
        packed4 = array("Q")
        packed6: list[int] = []
        for prefix, region in blocks:
            region_index = indexes.get(region)
            if region_index is None:
                region_index = indexes[region] = len(self._region_names)
                self._region_names.append(region)
            address, _, length = prefix.partition("/")
            if ":" in address:
                start = int.from_bytes(socket.inet_pton(socket.AF_INET6, address)[:8], "big")
                packed6.append(_pack(start, int(length or 2 * IPV6_BITS), IPV6_BITS, region_index))
            else:
                start = int.from_bytes(socket.inet_pton(socket.AF_INET, address), "big")
                packed4.append(_pack(start, int(length or IPV4_BITS), IPV4_BITS, region_index))
        self._starts4, self._range_regions4 = _flatten(packed4, "I", IPV4_BITS)
        self._starts6, self._range_regions6 = _flatten(packed6, "Q", IPV6_BITS)

    def __len__(self) -> int:
        return len(self._starts4) + len(self._starts6)

    def find_region(self, address: str) -> str | None:
        """Returns the region of a client address, or None if no block contains it.

        Raises:
            ValueError: If `address` is not an IP address.
        """
        try:
            if ":" in address:
                start = int.from_bytes(socket.inet_pton(socket.AF_INET6, address)[:8], "big")
                starts, regions = self._starts6, self._range_regions6
            else:
                start = int.from_bytes(socket.inet_pton(socket.AF_INET, address), "big")
                starts, regions = self._starts4, self._range_regions4
        except (OSError, ValueError) as error:
            # Parses addresses that inet_pton rejects, such as scoped ones, or raises ValueError.
            ip = ip_address(address)
            if ip.version != 6:
                raise ValueError(f"{address!r} is not an address") from error
            start, starts, regions = int(ip) >> IPV6_BITS, self._starts6, self._range_regions6
        index = bisect_right(starts, start) - 1
        region_index = regions[index] if index >= 0 else NO_REGION
        return None if region_index == NO_REGION else self._region_names[region_index]

    def count_bytes(self) -> int:
        """Returns the memory use of the arrays in bytes."""
        arrays = (self._starts4, self._range_regions4, self._starts6, self._range_regions6)
        return sum(len(items) * items.itemsize for items in arrays)


def _pack(start: int, length: int, bits: int, region_index: int) -> int:
    """Packs a block into a number that sorts enclosing blocks before the blocks inside them."""
    return ((start << LENGTH_BITS | min(length, bits + 1)) << REGION_BITS) | region_index


def _flatten(
    blocks: array[int] | list[int], typecode: str, bits: int
) -> tuple[array[int], array[int]]:
    """Returns the starts of disjoint ranges and the region index of each range."""
    starts = array(typecode)
    regions = array("B")
    limit = 1 << bits
    # Ends and region indexes of the blocks around the current position, innermost last.
    enclosing_ends = [limit]
    enclosing_regions = [NO_REGION]

    def start_range(start: int, region_index: int) -> None:
        if starts and starts[-1] == start:
            starts.pop()
            regions.pop()
        if not regions or regions[-1] != region_index:
            starts.append(start)
            regions.append(region_index)

    for block in chain(sorted(blocks), (limit << (LENGTH_BITS + REGION_BITS),)):
        start = block >> (LENGTH_BITS + REGION_BITS)
        while enclosing_ends[-1] <= start and len(enclosing_ends) > 1:
            end = enclosing_ends.pop()
            enclosing_regions.pop()
            if end < limit:
                start_range(end, enclosing_regions[-1])
        length = block >> REGION_BITS & 255
        if start >= limit or length > bits:
            continue
        region_index = block & 255
        start_range(start, region_index)
        enclosing_ends.append(start + (1 << (bits - length)))
        enclosing_regions.append(region_index)
    return starts, regions
