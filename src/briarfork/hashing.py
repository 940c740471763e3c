"""The hash behind every consistent choice; all VMs must agree on it."""

from __future__ import annotations

from typing import Final

import xxhash

# One above the largest 64-bit hash.
HASH_RANGE: Final = 2**64 + 1


def hash_text(text: str) -> int:
    """Returns a 64-bit hash of a text, the same on every VM.

    Example:
        >>> hash_text("north-a") == hash_text("north-a")
        True
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_bytes(key: bytes) -> int:
    """Returns the 64-bit hash of a text that is encoded already."""
    return xxhash.xxh3_64_intdigest(key)


def hash_to_part(text: str) -> float:
    """Returns a number above 0 and below 1 for a text, the same on every VM.

    Example:
        >>> 0.0 < hash_to_part("") < 1.0
        True
    """
    return (hash_text(text) + 1) / HASH_RANGE
