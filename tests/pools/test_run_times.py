"""Statistics of run times."""

from __future__ import annotations

import math

from briarfork.pools import RunTimes


class TestRunTimes:
    def test_mean_starts_with_the_first_run_time(self) -> None:
        """Guards against an initial value that distorts the average for many requests."""
        times = RunTimes()
        times.record(4.0)
        assert times.mean_s == 4.0

    def test_nothing_is_overdue_with_too_few_samples(self) -> None:
        """Guards against hedged attempts and avoided servers based on the first few requests."""
        times = RunTimes()
        for _ in range(20):
            times.record(0.01)
        assert times.overdue_s == math.inf
