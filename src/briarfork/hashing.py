"""The hash behind every consistent choice; all VMs must agree on it."""

from __future__ import annotations

import xxhash


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
