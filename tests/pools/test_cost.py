"""Cost of granting slots, counted in function calls, which do not depend on the machine."""

from __future__ import annotations

import heapq
import sys
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn

import pytest

from briarfork.configuration import RequestClass
from briarfork.configuration import SiteCapacity
from briarfork.pools import Grant
from briarfork.pools import PermitQueue
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress
from briarfork.pools import SlotRequest
from briarfork.pools.queue import MAX_QUEUE_LENGTH
from briarfork.pools.wait_queue import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

# The largest zone of the grown deployments.
SERVERS, SLOTS = 64, 9
OBJECTS = 200
# An owner with 0.43 of a core decides about 480 times a second in such a zone. At 0.1 us for each
# call, 10 calls for each of 64 servers and 100 waiting requests take a sixth of that processor.
MAX_CALLS_PER_ITEM = 10
# Function calls that take less than a millisecond, at 0.25 us with the work between them.
MAX_CALLS_PER_MS = 4000


def build_request(
    number: int, avoid: frozenset[str] = frozenset(), workspaces: int = 0
) -> SlotRequest:
    return SlotRequest(
        f"p-{number}",
        Requester("vm"),
        RequestClass.SHORT,
        expires_at=9.0,
        avoid=avoid,
        object_key=str(number % OBJECTS),
        workspace=f"w-{number % workspaces}" if workspaces else "",
    )


def build_full_queue(waiting: int, avoid: frozenset[str], workspaces: int = 0) -> PermitQueue:
    """Returns a queue whose servers are all full, with a number of waiting requests."""
    queue = PermitQueue(SiteCapacity(SLOTS, 400), False, Random(1), slow_start=False)
    queue.set_servers(ServerAddress(f"s-{number}", "127.0.0.1", 1) for number in range(SERVERS))
    for number in range(SERVERS * SLOTS):
        (grant,) = queue.submit(build_request(number), 0.0)
        assert isinstance(grant, Grant)
    for number in range(SERVERS * SLOTS, SERVERS * SLOTS + waiting):
        queue.enqueue(build_request(number, avoid, workspaces))
    return queue


def count_calls(function: Callable[[], object]) -> int:
    calls = 0

    def count(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls


class TestCostOfGrants:
    @pytest.mark.parametrize("waiting", [20, 100, 400])
    @pytest.mark.parametrize("avoid", [frozenset(), frozenset({"s-2"})], ids=["first", "retry"])
    def test_release_does_not_compare_all_requests_with_all_servers(
        self, waiting: int, avoid: frozenset[str]
    ) -> None:
        """Guards against owners of slots whose event loop is late because they grant slots."""
        queue = build_full_queue(waiting, avoid)

        def grant_freed_slot() -> None:
            queue.release("p-0", Release.DONE, 2.0, 2.0)
            assert len(queue.poll(2.0)) == 1

        assert count_calls(grant_freed_slot) <= MAX_CALLS_PER_ITEM * (SERVERS + waiting)

    @pytest.mark.parametrize("workspaces", [0, 80])
    def test_longest_queue_costs_under_a_millisecond(self, workspaces: int) -> None:
        """Guards against owners that are late when the queue is as long as it may become."""
        queue = build_full_queue(MAX_QUEUE_LENGTH - 1, frozenset(), workspaces)
        rounds = 50

        def exchange() -> None:
            for number in range(rounds):
                now = 2.0 + number / 500
                queue.release(f"p-{number}", Release.DONE, 0.001, now)
                queue.poll(now)
                queue.submit(build_request(10_000 + number, frozenset(), workspaces), now)

        assert count_calls(exchange) <= 2 * rounds * MAX_CALLS_PER_MS

    def test_request_for_full_servers_does_not_order_the_queue(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against owners that sort long queues for each request although no slot is free."""
        queue = build_full_queue(100, frozenset())

        def order(*_: object) -> NoReturn:
            pytest.fail("the queue was ordered")

        monkeypatch.setattr(WaitQueue, "iterate_cached", order)
        monkeypatch.setattr(WaitQueue, "iterate_in_order", order)
        assert queue.submit(build_request(10_000), 0.0) == []

    @pytest.mark.parametrize("workspaces", [0, 80])
    def test_slots_that_become_free_at_once_do_not_reorder_the_queue(self, workspaces: int) -> None:
        """Guards against owners that stop for seconds when many servers are in service again."""
        waiting = 1000
        queue = WaitQueue()
        for number in range(waiting):
            name = f"w-{number % workspaces}" if workspaces else ""
            queue.add(replace(build_request(number), object_key=str(number), workspace=name))
        cached = {str(number): {"s-0"} for number in range(waiting)}

        heap_replace = heapq.heapreplace
        moved = 0

        def count_moved(heap: list[Any], item: Any) -> Any:
            nonlocal moved
            moved += 1
            return heap_replace(heap, item)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("briarfork.pools.wait_queue.heapq.heapreplace", count_moved)
            for request in queue.iterate_cached({"s-0": None}, cached):
                queue.serve(request.permit, 0.0)
        assert not queue
        assert moved <= 2 * waiting


class TestUncontendedQueue:
    def test_forgets_workspaces(self) -> None:
        """Guards against memory for each workspace that ever sent a request."""
        queue = PermitQueue(SiteCapacity(SLOTS, 400), False, Random(1))
        queue.set_servers([ServerAddress("s-0", "127.0.0.1", 1)])
        for number in range(100):
            queue.submit(build_request(number, workspaces=100), 0.0)
            queue.release(f"p-{number}", Release.DONE, 0.001, 0.0)
        (wait_queue,) = queue._backlog._wait_queues.values()
        assert not wait_queue._flows
