"""Run times that the owner of the slots has measured."""

from __future__ import annotations

import math

from briarfork.pools import RunTimes


class TestRunTimes:
    def test_mean_starts_with_the_first_run_time(self) -> None:
        """Guards against a mean that an assumed start value distorts for many requests."""
        times = RunTimes()
        times.record(4.0)
        assert times.mean_s == 4.0

    def test_nothing_is_overdue_before_enough_is_known(self) -> None:
        """Guards against second attempts and avoided servers after the first few requests."""
        times = RunTimes()
        for _ in range(20):
            times.record(0.01)
        assert times.overdue_s == math.inf
