"""Budgets for retries and hedged attempts."""

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

# One tick is 10 ms: the server can serve 1000 requests per second, 800 arrive, and each has a
# deadline of 1 s.
CAPACITY_PER_TICK = 10
ARRIVALS_PER_TICK = 8
DEADLINE_TICKS = 100
MAX_ATTEMPTS = 3


@dataclass
class SentRequest:
    attempt: int
    tick: int
    waiting: bool = True


@dataclass
class SimulatedServer:
    """A server that handles requests in order, including those that have expired."""

    budget: RetryBudget | None
    tick: int = 0
    queue: deque[SentRequest] = field(default_factory=deque)
    sent_by_tick: dict[int, list[SentRequest]] = field(default_factory=dict)

    def run(self, ticks: int, capacity: int) -> float:
        """Returns the share of new requests that were finished within their deadline."""
        finished_in_time = 0
        for _ in range(ticks):
            self.tick += 1
            self._retry_expired()
            for _ in range(ARRIVALS_PER_TICK):
                if self.budget is not None:
                    self.budget.earn()
                self._send(1)
            for _ in range(min(capacity, len(self.queue))):
                finished = self.queue.popleft()
                finished.waiting = False
                finished_in_time += self.tick - finished.tick < DEADLINE_TICKS
        return finished_in_time / (ticks * ARRIVALS_PER_TICK)

    def _send(self, attempt: int) -> None:
        request = SentRequest(attempt, self.tick)
        self.queue.append(request)
        self.sent_by_tick.setdefault(self.tick, []).append(request)

    def _retry_expired(self) -> None:
        for request in self.sent_by_tick.pop(self.tick - DEADLINE_TICKS, ()):
            allowed = request.waiting and request.attempt < MAX_ATTEMPTS
            if allowed and (self.budget is None or self.budget.spend()):
                self._send(request.attempt + 1)


def simulate_outage(budget: RetryBudget | None) -> tuple[float, float]:
    """Returns the share of requests finished in time before an outage, and 60 s after its end."""
    server = SimulatedServer(budget)
    before = server.run(1000, CAPACITY_PER_TICK)
    server.run(300, 0)
    server.run(6000, CAPACITY_PER_TICK)
    return before, server.run(1000, CAPACITY_PER_TICK)


class TestRetryBudget:
    def test_overload_persists_without_a_budget(self) -> None:
        """Guards against testing the budget with an overload that would end without it."""
        before, after = simulate_outage(None)
        assert before > 0.99
        assert after < 0.1

    def test_service_recovers_with_the_budget(self) -> None:
        """Guards against retries that keep a server overloaded after a short outage."""
        before, after = simulate_outage(RetryBudget(RETRY_RATIO))
        assert before > 0.99
        assert after > 0.99


class TestHedgeBudget:
    @given(st.lists(st.sampled_from(["earn", "spend", "spend and return"]), max_size=400))
    def test_hedged_attempts_stay_within_the_ratio(self, steps: list[str]) -> None:
        """Guards against hedged attempts that add to an overload, also right after the start."""
        budget = HedgeBudget()
        first = hedged = 0
        for step in steps:
            if step == "earn":
                budget.earn()
                first += 1
            elif budget.spend():
                if step == "spend":
                    hedged += 1
                else:
                    budget.return_unused()
            assert hedged <= HEDGE_RATIO * first
