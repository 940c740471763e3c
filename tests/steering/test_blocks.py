"""Tests of the client block table."""

from __future__ import annotations

from ipaddress import IPv4Network
from ipaddress import IPv6Network
from ipaddress import ip_address
from ipaddress import ip_network

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarfork.steering import BlockTable

Block = tuple[str, str]
REGIONS = st.sampled_from(["north", "south", "west"])


@st.composite
def draw_block(draw: st.DrawFn, version: int) -> Block:
    bits, longest = (32, 32) if version == 4 else (128, 64)
    length = draw(st.integers(0, longest))
    # Few distinct bits, so that blocks nest, touch and lie at both ends of the range.
    head = draw(st.sampled_from([0, (1 << bits) - 1, 0b1010 << bits - 4, 0b1010_11 << bits - 6]))
    tail = draw(st.integers(0, (1 << 12) - 1)) << (bits - 12 if draw(st.booleans()) else 0)
    number = (head ^ tail) >> (bits - length) << (bits - length)
    network = IPv4Network((number, length)) if version == 4 else IPv6Network((number, length))
    return str(network), draw(REGIONS)


def match_naively(blocks: list[Block], address: str) -> str | None:
    parsed = ip_address(address)
    best: tuple[int, str] | None = None
    for prefix, region in blocks:
        network = ip_network(prefix)
        if parsed in network and (best is None or network.prefixlen > best[0]):
            best = (network.prefixlen, region)
    return best[1] if best else None


def list_edge_addresses(blocks: list[Block], extra: list[str]) -> list[str]:
    """Returns the addresses at and next to the ends of all blocks."""
    edges = list(extra)
    for prefix, _ in blocks:
        network = ip_network(prefix)
        for end in (network.network_address, network.broadcast_address):
            for number in (int(end) - 1, int(end), int(end) + 1):
                if 0 <= number < 1 << network.max_prefixlen:
                    edges.append(str(type(end)(number)))
    return edges


def keep_distinct(blocks: list[Block]) -> list[Block]:
    return list({block[0]: block for block in blocks}.values())


class TestBlockTable:
    @given(st.lists(draw_block(4), max_size=20), st.lists(st.ip_addresses(v=4).map(str)))
    def test_matches_naive_lookup_for_ipv4(self, blocks: list[Block], extra: list[str]) -> None:
        """Guards against clients of nested or adjacent blocks in the wrong region."""
        blocks = keep_distinct(blocks)
        table = BlockTable(blocks)
        for address in list_edge_addresses(blocks, extra):
            assert table.find_region(address) == match_naively(blocks, address)

    @given(st.lists(draw_block(6), max_size=20), st.lists(st.ip_addresses(v=6).map(str)))
    def test_matches_naive_lookup_for_ipv6(self, blocks: list[Block], extra: list[str]) -> None:
        """Guards against clients of nested or adjacent blocks in the wrong region."""
        blocks = keep_distinct(blocks)
        table = BlockTable(blocks)
        for address in list_edge_addresses(blocks, extra):
            assert table.find_region(address) == match_naively(blocks, address)

    @pytest.mark.parametrize("text", ["", "north", "1.2.3", "1.2.3.4.5", "::g", "1.2.3.4\0"])
    def test_rejects_invalid_addresses(self, text: str) -> None:
        """Guards against an invalid address that is reported as an internal error."""
        with pytest.raises(ValueError, match="address"):
            BlockTable([]).find_region(text)
