"""Digest of a set of records, by which two VMs detect where their records differ."""

from __future__ import annotations

from briarfork.hashing import hash_text

# A difference in one bucket transfers 1/64 of the records, about 100 at 6,200 members.
BUCKETS = 64


def find_bucket(name: str) -> int:
    """Returns the bucket for the name of a record."""
    return hash_text(name) % BUCKETS


class Digest:
    """XOR of the hashes of the records in each bucket, independent of their order.

    Attributes:
        buckets: One 64-bit value for each bucket.

    Example:
        >>> one, other = Digest(), Digest()
        >>> one.toggle("a", "1"); one.toggle("b", "2")
        >>> other.toggle("b", "2"); other.toggle("a", "1")
        >>> one.total == other.total
        True
    """

    __slots__ = ("_total", "buckets")

    def __init__(self) -> None:
        self.buckets = [0] * BUCKETS
        self._total = 0

    @property
    def total(self) -> int:
        """XOR of the hashes of all records."""
        return self._total

    def toggle(self, name: str, content: str) -> None:
        """Adds a record that is absent, or removes one that is present."""
        value = hash_text(f"{name}|{content}")
        self.buckets[find_bucket(name)] ^= value
        self._total ^= value

    def find_differences(self, buckets: list[int]) -> set[int]:
        """Returns the indices of the buckets in which another digest differs.

        All buckets differ if the other digest has another number of them.
        """
        if len(buckets) != BUCKETS:
            return set(range(BUCKETS))
        return {index for index in range(BUCKETS) if self.buckets[index] != buckets[index]}
