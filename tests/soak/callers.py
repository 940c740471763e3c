"""Callers: they look up VMs, keep connections, and note what they were told."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import aiohttp

from briarfork.platform import names
from tests.soak.backend import build_body
from tests.soak.ledger import Call
from tests.soak.world import FRONT_PORT
from tests.soak.world import HOST
from tests.soak.world import LOOKUP_PORT
from tests.soak.world import VMS
from tests.soak.world import ZONES

if TYPE_CHECKING:
    from random import Random

    from tests.soak.world import World

LOOKUP_S = 1.0
TRIES = 3
# A caller that leaves does so after this time.
PATIENCE_S = 0.05
LEAVING_SHARE = 0.05
# Some callers keep a lookup for three times as long as they may.
LONGEST_KEEP = 3.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; `run_ms` are the shortest and the longest run time."""

    route: str
    method: str
    repeatable: bool
    run_ms: tuple[int, int]
    deadline_s: float


KINDS = (
    Kind("lookup", "GET", True, (20, 120), 2.5),
    Kind("order", "POST", False, (30, 150), 3.0),
    Kind("load", "GET", True, (20, 100), 2.0),
    Kind("move", "GET", True, (20, 80), 2.0),
)


@dataclass
class Caller:
    """One caller with its own connections; its requests follow each other or overlap."""

    world: World
    session: aiohttp.ClientSession
    zone: str
    keep: float
    random: Random
    numbers: itertools.count[int]
    vms: list[str] = field(default_factory=list)
    fresh_until: float = 0.0
    used: set[str] = field(default_factory=set)

    async def send(self, kind: Kind) -> Call | None:
        """Sends one request and records its end; returns None if no VM is known."""
        await self._refresh()
        if not self.vms:
            return None
        vm = self.random.choice(self.vms)
        name = f"c{next(self.numbers)}"
        path = f"/{kind.route}/{self.random.randint(*kind.run_ms)}"
        call = Call(name, vm, kind.route, kind.repeatable, time.monotonic(), kind.deadline_s)
        self.world.ledger.calls[name] = call
        call.reused = vm in self.used
        patience_s = kind.deadline_s
        if self.random.random() < LEAVING_SHARE:
            call.closed_by_caller = True
            patience_s = PATIENCE_S
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange(call, kind, path)
            self.used.add(vm)
            call.closed_by_caller = False
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.used.discard(vm)
            if not call.closed_by_caller and vm in self.vms:
                self.vms.remove(vm)
        call.ended_at = time.monotonic()
        return call

    async def _exchange(self, call: Call, kind: Kind, path: str) -> None:
        url = f"http://{self.world.vms[call.vm].address}:{FRONT_PORT}{path}"
        headers = {
            "Host": HOST,
            names.ATTEMPT_ID: call.name,
            names.DEADLINE_MS: str(int(kind.deadline_s * 1000)),
            names.AFFINITY_KEY: str(self.random.randint(0, 20)),
        }
        data = b"order" if kind.method == "POST" else None
        async with self.session.request(kind.method, url, headers=headers, data=data) as answer:
            body = await answer.read()
        call.status = answer.status
        seal = answer.headers.get(names.RESPONSE_SEAL, "")
        if answer.status < 300:
            if answer.headers.get(names.ATTEMPT_ID) != call.name or not seal.endswith(call.name):
                call.fault = f"answer of {answer.headers.get(names.ATTEMPT_ID)}, seal {seal!r}"
            elif body != build_body(call.name, path):
                call.fault = f"{len(body)} bytes that are not the server's answer"

    async def _refresh(self) -> None:
        now = time.monotonic()
        if self.vms and now < self.fresh_until:
            return
        near = sorted(VMS, key=lambda vm: (VMS[vm] != self.zone, self.random.random()))
        for vm in near[:TRIES]:
            query = {"name": HOST, "region": ZONES[self.zone], "zone": self.zone}
            url = f"http://{self.world.vms[vm].address}:{LOOKUP_PORT}{names.LOOKUP_PATH}"
            try:
                async with asyncio.timeout(LOOKUP_S):
                    async with self.session.get(url, params=query) as answer:
                        if answer.status != 200:
                            continue
                        found = await answer.json()
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            addresses = {vm.address: name for name, vm in self.world.vms.items()}
            self.vms = [addresses[item.partition(":")[0]] for item in found["addresses"]]
            self.fresh_until = now + self.keep * float(found["ttl"].rstrip("ms")) / 1000.0
            return


class Crowd:
    """Callers in all zones that send at a constant rate."""

    def __init__(self, world: World, random: Random, rate: float, size: int) -> None:
        self._world = world
        self._random = random
        self._rate = rate
        self._size = size

    async def run(self, stopping: asyncio.Event) -> None:
        """Sends until told to stop, then waits for the last answers."""
        numbers = itertools.count(1)
        zones = itertools.cycle(ZONES)
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            callers = [
                Caller(
                    self._world,
                    session,
                    next(zones),
                    self._random.choice((1.0, LONGEST_KEEP)),
                    self._random,
                    numbers,
                )
                for _ in range(self._size)
            ]
            started = time.monotonic()
            for number in itertools.count():
                await asyncio.sleep(max(0.0, started + number / self._rate - time.monotonic()))
                if stopping.is_set():
                    return
                kind = self._random.choice(KINDS)
                group.create_task(self._random.choice(callers).send(kind))
