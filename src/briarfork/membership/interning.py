"""Interning of equal values in records; at 6,200 members, copies would use most of the memory."""

from __future__ import annotations

import sys
from functools import lru_cache
from typing import Protocol

# Fleets use only a few sets of port numbers. The limit bounds the memory that records received
# from other VMs can use.
MAX_PORT_SETS = 256


class LocatedRecord(Protocol):
    """A record with the name and location of a VM."""

    @property
    def vm(self) -> str:
        """Name of the VM."""

    @property
    def address(self) -> str:
        """IP address."""

    @property
    def zone(self) -> str:
        """Availability zone."""

    @property
    def ports(self) -> dict[str, int]:
        """Port numbers by name."""


def intern_values(record: LocatedRecord) -> None:
    """Replaces the strings and the ports of a new frozen record with shared objects."""
    for field in ("vm", "address", "zone"):
        object.__setattr__(record, field, sys.intern(getattr(record, field)))
    object.__setattr__(record, "ports", _intern_ports(tuple(sorted(record.ports.items()))))


@lru_cache(MAX_PORT_SETS)
def _intern_ports(items: tuple[tuple[str, int], ...]) -> dict[str, int]:
    return dict(items)
