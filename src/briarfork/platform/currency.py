"""Shows at which time this VM had everything that the store held."""

from __future__ import annotations

import math


class CurrencyCheck:
    """Compares linearizable reads of the store's revision with what has been applied.

    Servers renew their entries all the time, so the store is usually ahead when it is read. A read
    therefore shows that the VM was current at the time of the read once its revision is applied,
    however many changes follow.

    Attributes:
        shown_at: Last time at which nothing was missing, in seconds; minus infinity if unknown.

    Example:
        >>> check = CurrencyCheck()
        >>> check.record_listing(5, 1.0)
        >>> check.begin_read(2.0)
        >>> check.record_read(7)
        >>> check.shown_at, check.record_applied(9), check.shown_at
        (1.0, None, 2.0)
    """

    def __init__(self) -> None:
        self.shown_at = -math.inf
        self._applied = 0
        self._asked_at = -math.inf
        self._applied_when_asked = 0
        self._awaited: int | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether a revision that was read has not been applied yet."""
        return self._awaited is not None

    def record_listing(self, revision: int, asked_at: float) -> None:
        """Records that all keys have been read anew; the store may have come back older."""
        self._awaited = None
        self._applied = revision
        self.shown_at = asked_at

    def begin_read(self, now: float) -> None:
        """Records the time before the store's revision is read."""
        self._asked_at = now
        self._applied_when_asked = self._applied

    def record_read(self, revision: int) -> None:
        """Records a revision; one that is older than what was applied shows nothing."""
        if revision >= self._applied_when_asked:
            self._awaited = revision
            self._update()

    def record_applied(self, revision: int) -> None:
        """Records that all changes up to a revision have been applied."""
        self._applied = revision
        self._update()

    def _update(self) -> None:
        if self._awaited is not None and self._applied >= self._awaited:
            self.shown_at = self._asked_at
            self._awaited = None
