"""Simulates requests to the permit queue of one zone, without processes or a real clock.

Simulated servers cache the objects that they handled last; a run without a cached object takes
longer.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random

from briarfork.configuration import RequestClass
from briarfork.configuration import SiteCapacity
from briarfork.pools import Grant
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress
from briarfork.pools import SlotRequest

# Share of requests that run much longer than usual, and the factor on their run time.
SLOW_RUN_SHARE = 0.03
SLOW_RUN_FACTOR = 7.0
# Number of servers that may refuse the same request before it fails.
MAX_REFUSALS = 2


@dataclass(frozen=True, slots=True)
class Workload:
    """A constant load on one service in one zone.

    Attributes:
        servers: Number of servers.
        slots: Slots of each server.
        cached_objects: Number of objects that a server can cache.
        objects: Number of different objects that are requested.
        rate: Requests per second.
        run_s: Run time of a request whose object is not cached, in seconds.
        wait_s: How long a request may wait for a slot, in seconds.
        cached_run_ratio: Ratio of the run time with a cached object to `run_s`.
        refusal_share: Share of requests that servers refuse although they have free slots.
        duration_s: Time during which requests arrive, in seconds.
        warm_up_s: Requests that arrive before this time are not counted, because the caches are
            empty at first.
    """

    servers: int
    slots: int
    cached_objects: int
    objects: int
    rate: float
    run_s: float
    wait_s: float
    cached_run_ratio: float = 0.3
    refusal_share: float = 0.0
    duration_s: float = 30.0
    warm_up_s: float = 5.0


@dataclass
class SimulationResult:
    """Results of all counted requests.

    Attributes:
        latencies_s: Latencies of successful requests, in seconds.
        cache_hits: Number of requests that ran on a server with their object in its cache.
        refused: Number of refused requests.
    """

    latencies_s: list[float] = field(default_factory=list)
    cache_hits: int = 0
    refused: int = 0

    @property
    def total(self) -> int:
        return len(self.latencies_s) + self.refused

    def compute_share_within(self, limit_s: float) -> float:
        return sum(1 for item in self.latencies_s if item <= limit_s) / self.total


@dataclass(order=True, slots=True)
class RunningRequest:
    """A request in progress at a server."""

    ends_at: float
    permit: str
    run_s: float
    asked_at: float


class Simulation:
    """One simulation; the seed determines arrivals, objects and run times."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self._workload = workload
        self._random = Random(seed)
        self._queue = PermitQueue(SiteCapacity(workload.slots, 100), False, self._random, False)
        names = [f"s-{number}" for number in range(workload.servers)]
        self._queue.set_servers(
            ServerAddress(name, "127.0.0.1", 1, workload.slots) for name in names
        )
        self._caches: dict[str, OrderedDict[str, None]] = {name: OrderedDict() for name in names}
        self._running: list[RunningRequest] = []
        self._refusing_server: dict[str, str] = {}
        self.result = SimulationResult()

    def run(self) -> SimulationResult:
        """Simulates all arrivals and completions in order of time."""
        arrival = 0.0
        number = 0
        while arrival < self._workload.duration_s or self._running:
            if self._running and (
                arrival >= self._workload.duration_s or self._running[0].ends_at < arrival
            ):
                now = self._finish(heapq.heappop(self._running))
            else:
                now = arrival
                number += 1
                self._arrive(number, now)
                arrival += self._random.expovariate(self._workload.rate)
            self._apply(self._queue.poll(now), now)
        return self.result

    def _retry(self, refused: SlotRequest, now: float) -> None:
        """Requests another server after a refusal, as a requester does, at most twice."""
        if len(refused.avoid) == MAX_REFUSALS:
            self.result.refused += refused.asked_at >= self._workload.warm_up_s
            return
        vm = self._refusing_server.pop(refused.permit)
        request = replace(refused, permit=f"{refused.permit}+", avoid=refused.avoid | {vm})
        self._apply(self._queue.submit(request, now), now)

    def _arrive(self, number: int, now: float) -> None:
        request = SlotRequest(
            permit=f"p-{number}",
            requester=Requester("vm"),
            request_class=RequestClass.SHORT,
            expires_at=now + self._workload.wait_s,
            avoid=frozenset(),
            object_key=str(self._random.randrange(self._workload.objects)),
            asked_at=now,
        )
        self._apply(self._queue.submit(request, now), now)

    def _apply(self, decisions: list[Grant | Refusal], now: float) -> None:
        for decision in decisions:
            request = decision.request
            counted = request.asked_at >= self._workload.warm_up_s
            if isinstance(decision, Refusal):
                self.result.refused += counted
                continue
            if self._random.random() < self._workload.refusal_share:
                self._refusing_server[request.permit] = decision.server.name
                self._queue.release(request.permit, Release.NOT_RUN, 0.0, now)
                self._retry(request, now)
                continue
            cache = self._caches[decision.server.name]
            cached = request.object_key in cache
            self.result.cache_hits += cached and counted
            cache[request.object_key] = None
            cache.move_to_end(request.object_key)
            if len(cache) > self._workload.cached_objects:
                cache.popitem(last=False)
            run_s = self._workload.run_s * (self._workload.cached_run_ratio if cached else 1.0)
            run_s *= SLOW_RUN_FACTOR if self._random.random() < SLOW_RUN_SHARE else 1.0
            running = RunningRequest(now + run_s, request.permit, run_s, request.asked_at)
            heapq.heappush(self._running, running)

    def _finish(self, running: RunningRequest) -> float:
        now = running.ends_at
        self._queue.release(running.permit, Release.DONE, running.run_s, now)
        if running.asked_at >= self._workload.warm_up_s:
            self.result.latencies_s.append(now - running.asked_at)
        return now
