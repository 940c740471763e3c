"""Fair order between workspaces, and the wait that it lets a request expect."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarfork.configuration import RequestClass
from briarfork.configuration import SiteCapacity
from briarfork.pools import Grant
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress
from briarfork.pools import SlotRequest
from briarfork.pools.backlog import Ahead
from briarfork.pools.flow import Flow
from briarfork.pools.forecast import WaitForecast
from briarfork.pools.wait_queue import WaitQueue


def build_request(
    name: str,
    workspace: str = "",
    weight: float = 1.0,
    expires_at: float = 100.0,
    priority: int = 0,
    asked_at: float = 0.0,
) -> SlotRequest:
    return SlotRequest(
        name,
        Requester("vm"),
        RequestClass.SHORT,
        expires_at,
        priority=priority,
        asked_at=asked_at,
        workspace=workspace,
        weight=weight,
    )


def fill(queue: WaitQueue, count: int, workspace: str, weight: float = 1.0) -> None:
    for number in range(count):
        queue.add(build_request(f"{workspace}-{number}", workspace, weight))


def serve(queue: WaitQueue, count: int) -> list[str]:
    served = []
    for _ in range(count):
        request = next(queue.iterate_in_order())
        queue.serve(request.permit, 0.0)
        served.append(request.workspace)
    return served


class TestFairOrder:
    def test_workspaces_share_by_weight(self) -> None:
        """Guards against a burst that goes before the requests of other workspaces."""
        queue = WaitQueue()
        fill(queue, 60, "burst", 1.0)
        fill(queue, 30, "small", 1.0)
        fill(queue, 60, "large", 4.0)
        assert Counter(serve(queue, 60)) == {"burst": 10, "small": 10, "large": 40}

    def test_idle_workspace_saves_no_share(self) -> None:
        """Guards against a workspace that was idle and then takes all slots for a time."""
        queue = WaitQueue()
        fill(queue, 50, "steady")
        serve(queue, 30)
        fill(queue, 20, "returning")
        assert Counter(serve(queue, 10)) == {"steady": 5, "returning": 5}

    def test_cancelled_requests_cost_no_share(self) -> None:
        """Guards against a workspace that pays for requests which got no slot."""
        queue = WaitQueue()
        fill(queue, 20, "cancelling")
        fill(queue, 20, "other")
        for number in range(10):
            queue.remove(f"cancelling-{number}")
        assert Counter(serve(queue, 20)) == {"cancelling": 10, "other": 10}

    def test_faulty_weights_do_not_stop_the_order(self) -> None:
        """Guards against a peer's weight that makes tags infinite or never advance."""
        queue = WaitQueue()
        fill(queue, 3, "tiny", 1e-300)
        fill(queue, 3, "huge", float("inf"))
        assert len(serve(queue, 6)) == 6

    @pytest.mark.parametrize(("workspace", "object_key"), [("b", "x"), ("a", "y")])
    def test_permit_requested_again_is_served_once(self, workspace: str, object_key: str) -> None:
        """Guards against a peer whose reuse of a permit's name stops the owner's grants."""
        queue = WaitQueue()
        queue.add(replace(build_request("p", "a"), object_key="x"))
        queue.add(replace(build_request("p", workspace), object_key=object_key))
        queue.add(build_request("q", "a"))
        for request in queue.iterate_cached({"s": None}, {"x": {"s"}, "y": {"s"}}):
            queue.serve(request.permit, 0.0)
        assert serve(queue, 1) == ["a"]
        assert not queue
        assert not list(queue)

    @settings(max_examples=50, deadline=None, derandomize=True)
    @given(
        events=st.lists(
            st.tuples(st.sampled_from(["add", "serve", "remove"]), st.integers(0, 5)), max_size=60
        )
    )
    def test_requests_without_workspace_keep_their_order(
        self, events: list[tuple[str, int]]
    ) -> None:
        """Guards against another order than that of arrival where there are no workspaces."""
        queue = WaitQueue()
        expected: list[str] = []
        for number, (event, index) in enumerate(events):
            if event == "add":
                queue.add(build_request(str(number)))
                expected.append(str(number))
            elif index < len(expected):
                permit = expected.pop(index)
                queue.serve(permit, 0.0) if event == "serve" else queue.remove(permit)
            assert [item.permit for item in queue.iterate_in_order()] == expected
            assert queue.count_ahead("", 1.0) == len(expected)

    @settings(max_examples=50, deadline=None, derandomize=True)
    @given(
        waiting=st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=40),
        workspace=st.sampled_from("abc"),
    )
    def test_counts_what_is_served_before(
        self, waiting: list[tuple[str, bool]], workspace: str
    ) -> None:
        """Guards against a forecast that differs from the order of service."""
        weights = {"a": 1.0, "b": 2.0, "c": 4.0}
        queue = WaitQueue()
        for number, (name, served) in enumerate(waiting):
            queue.add(build_request(str(number), name, weights[name]))
            if served:
                serve(queue, 1)
        ahead = queue.count_ahead(workspace, weights[workspace])
        queue.add(build_request("new", workspace, weights[workspace]))
        order = [request.permit for request, _ in queue.list_in_order(0.0)]
        assert order.index("new") == ahead
        for position in range(ahead):
            assert next(queue.iterate_in_order()).permit == order[position]
            serve(queue, 1)


class TestIntervalOfSlots:
    def test_pause_of_the_servers_is_soon_forgotten(self) -> None:
        """Guards against refusals for a second after servers that were all paused serve again."""
        flow = Flow()
        for number in range(100):
            flow.add(number, build_request(str(number)), 0.0)
        now = 0.0
        for number in range(20):
            now += 0.005
            flow.charge(now)
            flow.remove(str(number))
        now += 2.0
        for number in range(20, 30):
            now += 0.005
            flow.charge(now)
            flow.remove(str(number))
        # 0.5 s and 10 slots at intervals of 0.005 s.
        assert flow.compute_interval_s(now) < 0.06


class TestWaitForecast:
    def test_waiting_request_keeps_a_margin(self) -> None:
        """Guards against a refusal after a wait because run times vary."""
        forecast = WaitForecast(slots=10.0)
        assert not forecast.refuses_waiting(Ahead(4, 40.0), left_s=0.1)
        assert not forecast.refuses_waiting(Ahead(40, 10.0), left_s=0.6)
        assert forecast.refuses_waiting(Ahead(40, 10.0), left_s=0.4)


def build_queue() -> PermitQueue:
    """Returns a queue with one slot, which is in use, and a mean run time of 0.1 s."""
    queue = PermitQueue(SiteCapacity(1, 400), False, Random(1))
    queue.set_servers([ServerAddress("s-0", "127.0.0.1", 1)])
    queue.submit(build_request("first"), 0.0)
    queue.release("first", Release.DONE, 0.1, 0.1)
    queue.submit(build_request("running"), 0.1)
    return queue


class TestExpectedWait:
    def test_counts_only_what_is_ahead(self) -> None:
        """Guards against refusing a workspace because of the burst of another one."""
        queue = build_queue()
        for number in range(20):
            assert queue.submit(build_request(f"b-{number}", "burst"), 0.1) == []
        assert queue.submit(build_request("other", "small", expires_at=0.9), 0.1) == []
        (refusal,) = queue.submit(build_request("late", "burst", expires_at=0.9), 0.1)
        assert isinstance(refusal, Refusal)
        assert refusal.wait_s > 2.0

    def test_refuses_a_request_that_was_overtaken(self) -> None:
        """Guards against a refusal only when the time of an overtaken request is over."""
        queue = build_queue()
        assert queue.submit(build_request("waits", priority=1, expires_at=1.1), 0.1) == []
        decided: list[Grant | Refusal] = []
        for number in range(40):
            decided += queue.submit(build_request(f"u-{number}"), 0.1 + number / 1000)
        decided += queue.poll(0.2)
        assert [item.request.permit for item in decided] == ["waits"]
        assert isinstance(decided[0], Refusal)
        assert decided[0].wait_s > 1.0

    def test_less_urgent_callers_come_back_later(self) -> None:
        """Guards against callers of all priorities that come back at the same time."""
        queue = build_queue()
        for number in range(20):
            queue.submit(build_request(f"b-{number}"), 0.1)
        waits = []
        for priority in (0, 1):
            queue.submit(build_request(f"long-{priority}", priority=priority), 0.1)
            refusal = queue.submit(build_request("x", expires_at=0.2, priority=priority), 0.1)[-1]
            assert isinstance(refusal, Refusal)
            waits.append(refusal.wait_s)
        assert waits[1] >= 1.5 * waits[0]

    def test_former_urgent_callers_do_not_delay_others(self) -> None:
        """Guards against a longer Retry-After because of urgent requests of an hour ago."""
        queue = build_queue()
        queue.submit(build_request("urgent", expires_at=0.15), 0.1)
        queue.poll(0.2)
        now = 3600.0
        for number in range(20):
            queue.submit(build_request(f"b-{number}", priority=1, expires_at=3700.0), now)
        (refusal,) = queue.submit(build_request("x", priority=1, expires_at=now + 0.1), now)
        assert isinstance(refusal, Refusal)
        ahead = queue._backlog.measure_ahead(build_request("x", priority=1), now)
        assert refusal.wait_s == queue._build_forecast().compute_wait_s(ahead)
