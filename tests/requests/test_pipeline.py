"""Tests of the decision which requests of a connection run ahead of their turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from briarfork.requests.pipeline import AHEAD_FRACTION
from briarfork.requests.pipeline import MAX_BUFFERED_BYTES
from briarfork.requests.pipeline import MAX_CONCURRENT_REQUESTS
from briarfork.requests.pipeline import MAX_HELD_BYTES
from briarfork.requests.pipeline import REQUEST_BYTES
from briarfork.requests.pipeline import UNKNOWN_RESPONSE_BYTES
from briarfork.requests.pipeline import AheadBudget
from briarfork.requests.pipeline import PipelineWindow
from briarfork.requests.pipeline import Turn
from briarfork.requests.response_memory import HeldResponse
from briarfork.requests.response_memory import ResponseMemory

if TYPE_CHECKING:
    from collections.abc import Callable

AMPLE_BYTES = 10**9


def build_window(size: int, capacity_bytes: int = AMPLE_BYTES) -> PipelineWindow:
    window = PipelineWindow(AheadBudget(capacity_bytes, lambda: 0), lambda: None)
    for _ in range(size):
        window.add()
    return window


def allow(number: int) -> bool:
    return True


class TestPipelineWindow:
    def test_single_request_is_not_asked_about(self) -> None:
        """Guards against work for callers that do not pipeline."""

        def fail(number: int) -> bool:
            raise AssertionError(number)

        assert build_window(1).choose(fail) == []

    def test_nothing_passes_a_request_that_must_wait(self) -> None:
        """Guards against requests that run before one whose response may close the connection."""
        window = build_window(5)
        assert window.choose(lambda number: number != 2) == [1]
        window.remove_first()
        window.remove_first()
        assert window.choose(allow) == []
        window.remove_first()
        assert window.choose(allow) == [4]

    def test_number_and_expected_bytes_are_bounded(self) -> None:
        """Guards against one connection that holds many requests or large responses."""
        window = build_window(40)
        assert len(window.choose(allow)) == MAX_CONCURRENT_REQUESTS - 1
        assert window.hold(1, MAX_HELD_BYTES // 2)
        window.remove_first()
        assert window.choose(allow) == []
        assert not window.hold(2, MAX_HELD_BYTES)

    def test_dropped_request_is_not_started_again(self) -> None:
        """Guards against a request that runs ahead and is dropped again and again."""
        window = build_window(3)
        assert window.choose(allow) == [1, 2]
        window.drop(1)
        assert window.choose(allow) == []

    def test_closed_window_starts_nothing(self) -> None:
        """Guards against requests that run behind the last response of a connection."""
        window = build_window(3)
        window.choose(allow)
        window.take_first()
        assert window.close() == [1, 2]
        window.add()
        assert window.choose(allow) == []

    def test_budget_limits_all_connections(self) -> None:
        """Guards against many connections that together fill the memory of a small VM."""
        each = REQUEST_BYTES + UNKNOWN_RESPONSE_BYTES
        budget = AheadBudget(int(6 * each / AHEAD_FRACTION), lambda: 0)
        started, woken = 0, list[int]()
        for _ in range(3):
            window = PipelineWindow(budget, lambda: woken.append(1))
            for _ in range(5):
                window.add()
            started += len(window.choose(allow))
        assert started == budget.requests == 6
        assert woken == []
        window.close()
        budget.give_back(each)
        assert woken == [1]

    def test_nothing_runs_ahead_while_memory_is_short(self) -> None:
        """Guards against requests ahead that take the memory of those whose turn it is."""
        held = [int(AMPLE_BYTES * AHEAD_FRACTION)]
        budget = AheadBudget(AMPLE_BYTES, lambda: held[0])
        assert not budget.take()
        held[0] = 0
        assert budget.take()

    def test_few_requests_run_ahead_after_large_responses(self) -> None:
        """Guards against a burst of large responses, and against a bound that stays after it."""
        counts = []
        for sizes in ([], [MAX_BUFFERED_BYTES], [MAX_BUFFERED_BYTES] + [100] * 40):
            budget = AheadBudget(int(10**7 / AHEAD_FRACTION), lambda: 0)
            for size in sizes:
                budget.learn(size)
            counts.append(sum(bool(budget.take()) for _ in range(1000)))
        assert counts == [43, 34, 351]

    @given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 200_000)), max_size=60))
    def test_budget_is_whole_after_any_order_of_events(self, steps: list[tuple[int, int]]) -> None:
        """Guards against a count that drifts, which would end running ahead on the whole VM."""
        budget = AheadBudget(AMPLE_BYTES, lambda: 0)
        window = PipelineWindow(budget, lambda: None)
        queue: list[int] = []
        running: set[int] = set()
        actions: dict[int, Callable[[int], None]] = {
            1: lambda size: running.update(window.choose(allow)),
            2: lambda size: window.take_first(),
            3: lambda size: window.remove_first(),
            4: lambda size: window.drop(running.pop()),
            5: lambda size: running.clear() if window.close() else None,
        }
        for step, size in steps:
            if step in (0, 6):
                queue.append(window.add())
            elif step == 4 and running:
                if size % 2 and window.hold(number := max(running), size):
                    running.discard(number)
                else:
                    actions[4](size)
            elif step in (2, 3) and queue:
                actions[step](size)
                running.discard(queue[0])
                if step == 3:
                    queue.pop(0)
            elif step in (1, 5):
                actions[step](size)
            assert 0 <= budget.requests < MAX_CONCURRENT_REQUESTS
        window.close()
        assert budget.requests == 0


class TestResponseMemoryOfRequestsAhead:
    def build(self) -> tuple[ResponseMemory, list[str]]:
        return ResponseMemory(100_000), []

    def open(self, memory: ResponseMemory, dropped: list[str], name: str = "") -> HeldResponse:
        """Returns a response, which is ahead of its turn if it has a name."""
        turn = Turn(0.0)
        if name:
            turn.begin_ahead(lambda: dropped.append(name))
        return memory.open("s", "i-1", turn)

    def test_response_in_its_turn_gets_the_memory_of_those_ahead(self) -> None:
        """Guards against a connection whose later responses hold up the first one for ever."""
        memory, dropped = self.build()
        old = self.open(memory, dropped, "old")
        new = self.open(memory, dropped, "new")
        memory.request(old, 10_000)
        memory.request(new, 35_000)
        first = self.open(memory, dropped)
        changed = memory.request(first, 20_000)
        assert changed == [new]
        assert new.is_given_up
        assert memory.release(new) == [first]
        assert first.held_bytes == 20_000
        assert old.held_bytes == 10_000
        assert memory.used_bytes == 30_000

    def test_response_ahead_never_waits(self) -> None:
        """Guards against responses ahead that wait in front of those whose turn it is."""
        memory, dropped = self.build()
        held = self.open(memory, dropped)
        memory.request(held, 40_000)
        ahead = self.open(memory, dropped, "ahead")
        assert memory.request(ahead, 40_000) == [ahead]
        assert ahead.is_given_up
        assert memory.waiting == 0

    def test_response_whose_turn_has_come_is_kept(self) -> None:
        """Guards against dropping the response that is being written."""
        memory, dropped = self.build()
        held = self.open(memory, dropped, "held")
        memory.request(held, 40_000)
        assert held.turn is not None
        held.turn.end_ahead()
        assert memory.request(self.open(memory, dropped), 40_000) == []
        assert not held.is_given_up
