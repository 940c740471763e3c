"""Hash functions for rendezvous hashing, digests and sampling; all VMs must use the same ones."""

from __future__ import annotations

import hashlib
from typing import Final

import xxhash

# Keeps the fraction of the largest hash below 1.
HASH_RANGE: Final = 2**64 + 1
# Longer texts of others are kept as digests.
MAX_KEPT_CHARS: Final = 128
DIGEST_BYTES: Final = 32


def hash_text(text: str) -> int:
    """Returns the 64-bit hash of a text, which is the same on every VM.

    Example:
        >>> hash_text("north-a") == hash_text("north-a")
        True
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_bytes(key: bytes) -> int:
    """Returns the 64-bit hash of a text that is already encoded as UTF-8."""
    return xxhash.xxh3_64_intdigest(key)


def hash_to_fraction(text: str) -> float:
    """Maps a text to a number above 0 and below 1, which is the same on every VM.

    Example:
        >>> 0.0 < hash_to_fraction("") < 1.0
        True
    """
    return (hash_text(text) + 1) / HASH_RANGE


def shorten_text(text: str) -> str:
    """Returns a text itself, or a digest in its place if it is long; the same on every VM.

    What others name (objects, workspaces) is kept in tables whose number of entries is bounded.

    Example:
        >>> shorten_text("object-1"), len(shorten_text("x" * 16_000))
        ('object-1', 64)
    """
    if len(text) <= MAX_KEPT_CHARS:
        return text
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
