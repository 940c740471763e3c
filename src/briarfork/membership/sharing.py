"""Sharing of equal values between records; at 6,200 members copies take most of the memory."""

from __future__ import annotations

import sys
from functools import lru_cache
from typing import Protocol

# Fleets have a few sets of port numbers; the bound keeps foreign records from adding to it.
PORT_SETS = 256


class Record(Protocol):
    """A record that names a VM and where it is."""

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


def share_values(record: Record) -> None:
    """Replaces the texts and the ports of a new frozen record by shared objects."""
    for field in ("vm", "address", "zone"):
        object.__setattr__(record, field, sys.intern(getattr(record, field)))
    object.__setattr__(record, "ports", _share_ports(tuple(sorted(record.ports.items()))))


@lru_cache(PORT_SETS)
def _share_ports(items: tuple[tuple[str, int], ...]) -> dict[str, int]:
    return dict(items)
