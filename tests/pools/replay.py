"""Replays requests against the queue of a zone's slots, without processes or a clock.

The servers keep the objects that they handled last; a run without the object takes longer.
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

# Part of the requests that run much longer than usual, and how much longer.
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
# Servers that may refuse one request.
MAX_SHED = 2


@dataclass(frozen=True, slots=True)
class Load:
    """A constant load on one service in one zone.

    Attributes:
        kept: Objects that a server has in its caches.
        run_s: Run time without the object in the caches.
        known_part: Part of the run time with it.
        shed_share: Part of the requests that servers refuse although they have room.
        wait_s: How long a request may wait for its slot.
        counted_from_s: Requests before are not counted; the caches are empty at first.
    """

    servers: int
    slots: int
    kept: int
    objects: int
    rate: float
    run_s: float
    wait_s: float
    known_part: float = 0.3
    shed_share: float = 0.0
    duration_s: float = 30.0
    counted_from_s: float = 5.0


@dataclass
class Result:
    """What became of the requests that were counted; `times_s` are those of the answered ones."""

    times_s: list[float] = field(default_factory=list)
    known: int = 0
    refused: int = 0

    @property
    def total(self) -> int:
        return len(self.times_s) + self.refused

    def find_part_within(self, limit_s: float) -> float:
        return sum(1 for item in self.times_s if item <= limit_s) / self.total


@dataclass(order=True, slots=True)
class Running:
    """A request at a server."""

    ends_at: float
    permit: str
    run_s: float
    asked_at: float


class Replay:
    """One replay; the seed draws arrivals, objects and run times."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._queue = PermitQueue(SiteCapacity(load.slots, 100), False, self._random, False)
        names = [f"s-{number}" for number in range(load.servers)]
        self._queue.set_servers(ServerAddress(name, "127.0.0.1", 1, load.slots) for name in names)
        self._caches: dict[str, OrderedDict[str, None]] = {name: OrderedDict() for name in names}
        self._running: list[Running] = []
        self._shed: dict[str, str] = {}
        self.result = Result()

    def run(self) -> Result:
        """Plays all arrivals and ends in order of time."""
        arrival = 0.0
        number = 0
        while arrival < self._load.duration_s or self._running:
            if self._running and (
                arrival >= self._load.duration_s or self._running[0].ends_at < arrival
            ):
                now = self._end(heapq.heappop(self._running))
            else:
                now = arrival
                number += 1
                self._arrive(number, now)
                arrival += self._random.expovariate(self._load.rate)
            self._apply(self._queue.poll(now), now)
        return self.result

    def _ask_again(self, refused: SlotRequest, now: float) -> None:
        """Asks for another server, as a requester does after a refusal, at most twice."""
        if len(refused.avoid) == MAX_SHED:
            self.result.refused += refused.asked_at >= self._load.counted_from_s
            return
        vm = self._shed.pop(refused.permit)
        demand = replace(refused, permit=f"{refused.permit}+", avoid=refused.avoid | {vm})
        self._apply(self._queue.submit(demand, now), now)

    def _arrive(self, number: int, now: float) -> None:
        demand = SlotRequest(
            permit=f"p-{number}",
            requester=Requester("vm"),
            request_class=RequestClass.SHORT,
            expires_at=now + self._load.wait_s,
            avoid=frozenset(),
            object_key=str(self._random.randrange(self._load.objects)),
            asked_at=now,
        )
        self._apply(self._queue.submit(demand, now), now)

    def _apply(self, decisions: list[Grant | Refusal], now: float) -> None:
        for decision in decisions:
            demand = decision.request
            counted = demand.asked_at >= self._load.counted_from_s
            if isinstance(decision, Refusal):
                self.result.refused += counted
                continue
            if self._random.random() < self._load.shed_share:
                self._shed[demand.permit] = decision.server.vm
                self._queue.release(demand.permit, Release.NOT_RUN, 0.0, now)
                self._ask_again(demand, now)
                continue
            cache = self._caches[decision.server.vm]
            known = demand.object_key in cache
            self.result.known += known and counted
            cache[demand.object_key] = None
            cache.move_to_end(demand.object_key)
            if len(cache) > self._load.kept:
                cache.popitem(last=False)
            run_s = self._load.run_s * (self._load.known_part if known else 1.0)
            run_s *= TAIL_FACTOR if self._random.random() < TAIL_SHARE else 1.0
            running = Running(now + run_s, demand.permit, run_s, demand.asked_at)
            heapq.heappush(self._running, running)

    def _end(self, running: Running) -> float:
        now = running.ends_at
        self._queue.release(running.permit, Release.DONE, running.run_s, now)
        if running.asked_at >= self._load.counted_from_s:
            self.result.times_s.append(now - running.asked_at)
        return now
