"""Slow start of servers that join a site."""

from __future__ import annotations

import heapq
import random

from briarfork.configuration import RequestClass
from briarfork.configuration import SiteCapacity
from briarfork.pools import Grant
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress
from briarfork.pools import SlotRequest
from briarfork.pools.slow_start import IDLE_LIMIT_S
from briarfork.pools.slow_start import MAX_WARM_UP_S
from briarfork.pools.slow_start import MIN_WARM_UP_S
from briarfork.pools.slow_start import SlowStart

MEAN_RUN_TIME_S = 0.01
# Maximum ratio of the 99th percentile of the latency to that of a site without a cold server.
MAX_P99_RATIO = 1.3
WARM_UP_RESPONSES = 300
ADDRESSES = [ServerAddress(f"s{number}", "127.0.0.1", 80) for number in range(4)]


class SimulatedSite:
    """Simulates requests to a site whose last server is cold.

    A cold server slows down in proportion to its concurrent requests. Slow start applies to that
    server only if it is missing from the first list of servers.
    """

    def __init__(self, slow_start: bool) -> None:
        self.latencies_s: list[float] = []
        self._queue = PermitQueue(SiteCapacity(8, 100), False, random.Random(1))
        self._queue.set_servers(ADDRESSES[:3] if slow_start else ADDRESSES)
        self._queue.set_servers(ADDRESSES)
        self._random = random.Random(7)
        self._cold_server_responses = 0
        self._running = dict.fromkeys((address.name for address in ADDRESSES), 0)
        self._ends: list[tuple[float, str, str, float, float]] = []

    def run(self, rps: float, duration_s: float) -> None:
        now, number = 0.0, 0
        while now < duration_s:
            now += self._random.expovariate(rps)
            while self._ends and self._ends[0][0] <= now:
                self._finish()
            number += 1
            request = SlotRequest(f"{number}", Requester("vm"), RequestClass.SHORT, now + 5.0)
            self._start(self._queue.submit(request, now), now)

    def _finish(self) -> None:
        end, permit, vm, started, arrived = heapq.heappop(self._ends)
        self._running[vm] -= 1
        self._cold_server_responses += vm == ADDRESSES[3].name
        self.latencies_s.append(end - arrived)
        self._queue.release(permit, Release.DONE, end - started, end)
        self._start(self._queue.poll(end), end)

    def _start(self, decisions: list[Grant | Refusal], now: float) -> None:
        for decision in decisions:
            assert isinstance(decision, Grant)
            vm = decision.server.name
            self._running[vm] += 1
            run_s = self._random.expovariate(1 / MEAN_RUN_TIME_S)
            if vm == ADDRESSES[3].name and self._cold_server_responses < WARM_UP_RESPONSES:
                run_s *= 1 + 2 * self._running[vm]
            arrived = decision.request.expires_at - 5.0
            end = (now + run_s, decision.request.permit, vm, now, arrived)
            heapq.heappush(self._ends, end)

    def compute_p99(self) -> float:
        return sorted(self.latencies_s)[int(0.99 * len(self.latencies_s))]


class TestSlowStart:
    def test_limits_p99_while_a_cold_server_joins(self) -> None:
        """Guards against a cold server that gets as many requests as the warm ones."""
        gradual, immediate = SimulatedSite(slow_start=True), SimulatedSite(slow_start=False)
        for site in (gradual, immediate):
            site.run(rps=1500, duration_s=1.0)
        warm = SimulatedSite(slow_start=False)
        warm._cold_server_responses = WARM_UP_RESPONSES
        warm.run(rps=1500, duration_s=1.0)
        assert gradual.compute_p99() <= MAX_P99_RATIO * warm.compute_p99() < immediate.compute_p99()

    def test_requires_both_time_and_responses(self) -> None:
        """Guards against a server that gets all of its load before its caches are filled."""
        start = SlowStart(cold=True)
        assert start.limit(4, 0.0) == 1
        assert start.limit(4, MIN_WARM_UP_S) == 1
        for _ in range(40):
            start.record_response(MIN_WARM_UP_S)
        assert start.limit(4, MIN_WARM_UP_S) == 4

    def test_ends_after_the_maximum_time(self) -> None:
        """Guards against a server of long requests that never gets all of its slots."""
        start = SlowStart(cold=True)
        assert start.limit(4, 0.0) == 1
        assert start.limit(4, MAX_WARM_UP_S) == 4

    def test_restarts_after_idle_time(self) -> None:
        """Guards against a burst at a server whose caches were evicted while it was idle."""
        start = SlowStart(cold=False)
        assert start.limit(4, 0.0) == 4
        start.record_response(1.0)
        assert start.limit(4, IDLE_LIMIT_S) == 4
        assert start.limit(4, IDLE_LIMIT_S + 1.0) == 1
        assert start.limit(4, IDLE_LIMIT_S + 1.5) == 1


class TestSharesOfSlots:
    def test_new_server_without_a_slot_in_the_share_gets_no_request(self) -> None:
        """Guards against an internal error, or a slot of another VM, where slots are shared out."""
        queue = PermitQueue(SiteCapacity(8, 100), False, random.Random(1))
        queue.set_servers(ADDRESSES[:1])
        queue.set_servers(ADDRESSES[:2])
        queue.set_shares({ADDRESSES[0].name: 1, ADDRESSES[1].name: 0})
        for number in range(2):
            request = SlotRequest(f"{number}", Requester("vm"), RequestClass.SHORT, 9.0)
            granted = [item for item in queue.submit(request, 0.0) if isinstance(item, Grant)]
            assert [item.server for item in granted] == ADDRESSES[: 1 - number]
