"""Budgets for extra requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from hypothesis import given
from hypothesis import strategies as st

from briarfork.requests import HEDGE_RATIO
from briarfork.requests import RETRY_RATIO
from briarfork.requests import HedgeBudget
from briarfork.requests import RetryBudget

# In ticks of 10 ms: 1000 requests a second can be served, 800 arrive, and each waits 1 s.
CAPACITY = 10
ARRIVALS = 8
DEADLINE_TICKS = 100
MAX_ATTEMPTS = 3


@dataclass
class Sent:
    number: int
    tick: int
    waiting: bool = True


@dataclass
class Queue:
    """A server that works off requests in order and does not know that callers have given up."""

    budget: RetryBudget | None
    tick: int = 0
    line: deque[Sent] = field(default_factory=deque)
    by_tick: dict[int, list[Sent]] = field(default_factory=dict)

    def run(self, ticks: int, capacity: int) -> float:
        """Returns the share of new requests that were answered in time."""
        answered = 0
        for _ in range(ticks):
            self.tick += 1
            self._repeat_expired()
            for _ in range(ARRIVALS):
                if self.budget is not None:
                    self.budget.earn()
                self._send(1)
            for _ in range(min(capacity, len(self.line))):
                done = self.line.popleft()
                done.waiting = False
                answered += self.tick - done.tick < DEADLINE_TICKS
        return answered / (ticks * ARRIVALS)

    def _send(self, number: int) -> None:
        sent = Sent(number, self.tick)
        self.line.append(sent)
        self.by_tick.setdefault(self.tick, []).append(sent)

    def _repeat_expired(self) -> None:
        for sent in self.by_tick.pop(self.tick - DEADLINE_TICKS, ()):
            allowed = sent.waiting and sent.number < MAX_ATTEMPTS
            if allowed and (self.budget is None or self.budget.spend()):
                self._send(sent.number + 1)


def run_through_outage(budget: RetryBudget | None) -> tuple[float, float]:
    """Returns the share answered before an outage, and 60 s after its end."""
    queue = Queue(budget)
    before = queue.run(1000, CAPACITY)
    queue.run(300, 0)
    queue.run(6000, CAPACITY)
    return before, queue.run(1000, CAPACITY)


class TestRetryBudget:
    def test_without_a_budget_the_overload_outlives_its_cause(self) -> None:
        """Guards against a proof of the budget on a state that would end by itself."""
        before, after = run_through_outage(None)
        assert before > 0.99
        assert after < 0.1

    def test_with_the_budget_the_service_recovers(self) -> None:
        """Guards against retries that keep a server overloaded after a short outage."""
        before, after = run_through_outage(RetryBudget(RETRY_RATIO))
        assert before > 0.99
        assert after > 0.99


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
