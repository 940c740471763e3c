"""Budgets for extra requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from briarfork.requests import HEDGE_RATIO
from briarfork.requests import HedgeBudget


class TestHedgeBudget:
    @given(st.lists(st.sampled_from(["earn", "spend", "spend and return"]), max_size=400))
    def test_second_attempts_stay_within_the_ratio(self, steps: list[str]) -> None:
        """Guards against second attempts that add to an overload, from the first request on."""
        budget = HedgeBudget()
        first = second = 0
        for step in steps:
            if step == "earn":
                budget.earn()
                first += 1
            elif budget.spend():
                if step == "spend":
                    second += 1
                else:
                    budget.return_unused()
            assert second <= HEDGE_RATIO * first
