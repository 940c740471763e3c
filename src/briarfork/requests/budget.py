"""Budgets that limit retries and hedged attempts to a share of first attempts."""

from __future__ import annotations

from typing import Final

RETRY_RATIO: Final = 0.1
HEDGE_RATIO: Final = 0.04
FIRST_ATTEMPTS_PER_HEDGE: Final = round(1 / HEDGE_RATIO)
# Allows a few retries at low request rates, where the ratio alone would allow none.
BUDGET_RESERVE: Final = 10.0


class RetryBudget:
    """Token bucket that limits retries to a ratio of first attempts.

    Example:
        >>> budget = RetryBudget(ratio=0.5, reserve=1.0)
        >>> budget.spend(), budget.spend()
        (True, False)
        >>> budget.earn(); budget.earn(); budget.spend()
        True
    """

    __slots__ = ("_level", "_ratio", "_reserve")

    def __init__(self, ratio: float, reserve: float = BUDGET_RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._level = reserve

    @property
    def level(self) -> float:
        """Number of retries that may be sent now."""
        return self._level

    def set_reserve(self, reserve: float) -> None:
        """Changes the maximum number of retries that can accumulate."""
        self._reserve = reserve

    def earn(self) -> None:
        """Counts a first attempt."""
        self._level = min(self._reserve, self._level + self._ratio)

    def spend(self) -> bool:
        """Takes one retry from the budget; returns whether it was available."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class HedgeBudget:
    """Limits hedged attempts to 4% of first attempts, counted from the start.

    The overall limit is 5%; the difference covers the hedged attempts that the VMs have
    accumulated.

    Example:
        >>> budget = HedgeBudget()
        >>> budget.spend()
        False
        >>> for _ in range(25):
        ...     budget.earn()
        >>> budget.spend(), budget.spend()
        (True, False)
    """

    __slots__ = ("_available", "_first_attempts")

    # Accumulated attempts of all VMs add to the ratio within a short window. With 10 on each of
    # 12 VMs, hedged attempts reached 5.76% of 1,735 requests.
    MAX_SAVED: Final = 2

    def __init__(self) -> None:
        self._first_attempts = 0
        self._available = 0

    def earn(self) -> None:
        """Counts a first attempt."""
        self._first_attempts += 1
        if self._first_attempts >= FIRST_ATTEMPTS_PER_HEDGE:
            self._first_attempts = 0
            self._available = min(self.MAX_SAVED, self._available + 1)

    def spend(self) -> bool:
        """Takes one hedged attempt from the budget; returns whether it was available."""
        if self._available == 0:
            return False
        self._available -= 1
        return True

    def return_unused(self) -> None:
        """Returns a hedged attempt that was not sent to the budget."""
        self._available = min(self.MAX_SAVED, self._available + 1)
