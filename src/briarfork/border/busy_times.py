"""Measures for how long the event loop is busy with each kind of work."""

from __future__ import annotations

import time
from contextlib import contextmanager
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class Work(Enum):
    """Kinds of work whose duration grows with the fleet or with the load."""

    PERMITS = "permits"
    CHANGES = "changes"


class BusyTimes:
    """Total time for which each kind of work has kept the event loop busy.

    Attributes:
        totals_s: Seconds by kind of work.
    """

    def __init__(self) -> None:
        self.totals_s = dict.fromkeys(Work, 0.0)

    @contextmanager
    def measure(self, work: Work) -> Iterator[None]:
        """Adds the duration of the block, which must not wait, to a kind of work."""
        started = time.perf_counter()
        try:
            yield
        finally:
            self.totals_s[work] += time.perf_counter() - started
