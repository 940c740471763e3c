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

RUN_S = 0.01
# Goal for the tail latency under backend server selection, relative to an ideal.
P99_RATIO = 1.3
COLD_ANSWERS = 300
ADDRESSES = [ServerAddress(f"s{number}", "127.0.0.1", 80) for number in range(4)]


class Site:
    """Runs requests; a cold server is slow in proportion to what it runs at the same time."""

    def __init__(self, listed_late: bool) -> None:
        self.waits: list[float] = []
        self._queue = PermitQueue(SiteCapacity(8, 100), False, random.Random(1))
        self._queue.set_servers(ADDRESSES[:3] if listed_late else ADDRESSES)
        self._queue.set_servers(ADDRESSES)
        self._random = random.Random(7)
        self._answered = 0
        self._running = dict.fromkeys((address.vm for address in ADDRESSES), 0)
        self._ends: list[tuple[float, str, str, float, float]] = []

    def run(self, rps: float, duration_s: float) -> None:
        now, number = 0.0, 0
        while now < duration_s:
            now += self._random.expovariate(rps)
            while self._ends and self._ends[0][0] <= now:
                self._finish()
            number += 1
            demand = SlotRequest(f"{number}", Requester("vm"), RequestClass.SHORT, now + 5.0)
            self._start(self._queue.submit(demand, now), now)

    def _finish(self) -> None:
        end, permit, vm, started, arrived = heapq.heappop(self._ends)
        self._running[vm] -= 1
        self._answered += vm == ADDRESSES[3].vm
        self.waits.append(end - arrived)
        self._queue.release(permit, Release.DONE, end - started, end)
        self._start(self._queue.poll(end), end)

    def _start(self, decisions: list[Grant | Refusal], now: float) -> None:
        for decision in decisions:
            assert isinstance(decision, Grant)
            vm = decision.server.vm
            self._running[vm] += 1
            run_s = self._random.expovariate(1 / RUN_S)
            if vm == ADDRESSES[3].vm and self._answered < COLD_ANSWERS:
                run_s *= 1 + 2 * self._running[vm]
            arrived = decision.request.expires_at - 5.0
            end = (now + run_s, decision.request.permit, vm, now, arrived)
            heapq.heappush(self._ends, end)

    def find_p99(self) -> float:
        return sorted(self.waits)[int(0.99 * len(self.waits))]


class TestSlowStart:
    def test_keeps_p99_level_while_a_cold_server_joins(self) -> None:
        """Guards against a cold server that gets as much as the warm ones."""
        slow, full = Site(listed_late=True), Site(listed_late=False)
        for site in (slow, full):
            site.run(rps=1500, duration_s=1.0)
        warm = Site(listed_late=False)
        warm._answered = COLD_ANSWERS
        warm.run(rps=1500, duration_s=1.0)
        assert slow.find_p99() <= P99_RATIO * warm.find_p99() < full.find_p99()

    def test_needs_both_time_and_answers(self) -> None:
        """Guards against a server that is full of requests before its caches are."""
        start = SlowStart(cold=True)
        assert start.limit(4, 0.0) == 1
        assert start.limit(4, MIN_WARM_UP_S) == 1
        for _ in range(40):
            start.record_response(MIN_WARM_UP_S)
        assert start.limit(4, MIN_WARM_UP_S) == 4

    def test_ends_by_time_alone_for_long_requests(self) -> None:
        """Guards against a server of downloads that never gets its slots."""
        start = SlowStart(cold=True)
        assert start.limit(4, 0.0) == 1
        assert start.limit(4, MAX_WARM_UP_S) == 4

    def test_begins_again_after_an_idle_time(self) -> None:
        """Guards against a burst at a site whose caches have been evicted."""
        start = SlowStart(cold=False)
        assert start.limit(4, 0.0) == 4
        start.record_response(1.0)
        assert start.limit(4, IDLE_LIMIT_S) == 4
        assert start.limit(4, IDLE_LIMIT_S + 1.0) == 1
        assert start.limit(4, IDLE_LIMIT_S + 1.5) == 1
