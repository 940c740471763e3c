"""Load generator of a soak test: callers that look up VMs, send requests and record responses."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import aiohttp

from briarfork.platform import names
from tests.soak.backend import build_request_body
from tests.soak.backend import build_response_body
from tests.soak.environment import HOST
from tests.soak.environment import ZONES
from tests.soak.ledger import Call
from tests.standins.gateway import FRONT_PORT
from tests.standins.gateway import LOOKUP_PORT

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from random import Random

    from tests.soak.environment import SoakEnvironment

LOOKUP_TIMEOUT_S = 1.0
LOOKUP_ATTEMPTS = 3
ABANDON_AFTER_S = 0.05
ABANDON_PROBABILITY = 0.05
# Some callers cache lookups for three times their time-to-live.
MAX_TTL_FACTOR = 3.0
# Some callers send their body in chunks with pauses.
SLOW_PROBABILITY = 0.2
CHUNK_BYTES = 40_000
CHUNK_PAUSE_S = (0.0, 0.1)


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """A kind of request.

    Attributes:
        route: Name of the route and first segment of the path.
        method: HTTP method.
        idempotent: Whether the request may run more than once.
        run_ms: Minimum and maximum run time in milliseconds.
        deadline_s: Time limit of the caller in seconds.
        body_bytes: Minimum and maximum length of the body.
    """

    route: str
    method: str
    idempotent: bool
    run_ms: tuple[int, int]
    deadline_s: float
    body_bytes: tuple[int, int] = (0, 0)


REQUEST_PROFILES = (
    RequestProfile("lookup", "GET", True, (20, 120), 2.5),
    RequestProfile("order", "POST", False, (30, 150), 3.0, (100, 1000)),
    RequestProfile("load", "GET", True, (20, 100), 2.0),
    RequestProfile("move", "GET", True, (20, 80), 2.0),
    RequestProfile("upload", "POST", False, (30, 150), 3.0, (10_000, 400_000)),
)


@dataclass
class Caller:
    """A caller; its requests can overlap.

    Attributes:
        environment: Environment of the soak.
        session: HTTP session.
        zone: Zone of the caller.
        ttl_factor: Factor by which lookups are cached longer than their time-to-live.
        random: Source of random numbers.
        request_numbers: Numbers of the requests of all callers.
        vms: VMs returned by the latest lookup.
        lookup_expires_at: Monotonic time at which the lookup is repeated.
        connected_vms: VMs that have responded to a request.
    """

    environment: SoakEnvironment
    session: aiohttp.ClientSession
    zone: str
    ttl_factor: float
    random: Random
    request_numbers: itertools.count[int]
    vms: list[str] = field(default_factory=list)
    lookup_expires_at: float = 0.0
    connected_vms: set[str] = field(default_factory=set)

    async def send(self, profile: RequestProfile) -> Call | None:
        """Sends one request and records its outcome; returns None if no VM is known."""
        await self.refresh_lookup()
        if not self.vms:
            return None
        vm = self.random.choice(self.vms)
        name = f"c{next(self.request_numbers)}"
        path = f"/{profile.route}/{self.random.randint(*profile.run_ms)}"
        call = Call(
            name, vm, profile.route, profile.idempotent, time.monotonic(), profile.deadline_s
        )
        self.environment.ledger.calls[name] = call
        call.reused = vm in self.connected_vms
        timeout_s = profile.deadline_s
        if self.random.random() < ABANDON_PROBABILITY:
            call.abandoned = True
            timeout_s = ABANDON_AFTER_S
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(call, profile, path)
            self.connected_vms.add(vm)
            call.abandoned = False
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.connected_vms.discard(vm)
            if not call.abandoned and vm in self.vms:
                self.vms.remove(vm)
        call.ended_at = time.monotonic()
        return call

    async def _exchange(self, call: Call, profile: RequestProfile, path: str) -> None:
        url = f"http://{self.environment.vms[call.vm].address}:{FRONT_PORT}{path}"
        headers = {
            "Host": HOST,
            names.ATTEMPT_ID: call.name,
            names.DEADLINE_MS: str(int(profile.deadline_s * 1000)),
            names.AFFINITY_KEY: str(self.random.randint(0, 20)),
        }
        data = self._draw_body(call, profile)
        async with self.session.request(
            profile.method, url, headers=headers, data=data
        ) as response:
            body = await response.read()
        call.status = response.status
        seal = response.headers.get(names.RESPONSE_SEAL, "")
        if response.status < 300:
            echoed = response.headers.get(names.ATTEMPT_ID)
            call.error = describe_wrong_response(call, path, echoed, seal, body)

    def _draw_body(
        self, call: Call, profile: RequestProfile
    ) -> bytes | AsyncIterator[bytes] | None:
        size = self.random.randint(*profile.body_bytes)
        if not size:
            return None
        body = build_request_body(call.name, size)
        return self._send_slowly(body) if self.random.random() < SLOW_PROBABILITY else body

    async def _send_slowly(self, body: bytes) -> AsyncIterator[bytes]:
        for start in range(0, len(body), CHUNK_BYTES):
            yield body[start : start + CHUNK_BYTES]
            await asyncio.sleep(self.random.uniform(*CHUNK_PAUSE_S))

    async def refresh_lookup(self) -> None:
        """Looks up the VMs anew once the latest lookup has expired."""
        now = time.monotonic()
        if self.vms and now < self.lookup_expires_at:
            return
        nearest_vms = sorted(
            self.environment.vms.values(),
            key=lambda vm: (vm.zone != self.zone, self.random.random()),
        )
        for vm in nearest_vms[:LOOKUP_ATTEMPTS]:
            query = {"name": HOST, "region": ZONES[self.zone], "zone": self.zone}
            url = f"http://{vm.address}:{LOOKUP_PORT}{names.LOOKUP_PATH}"
            try:
                async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                    async with self.session.get(url, params=query) as response:
                        if response.status != 200:
                            continue
                        lookup = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            addresses = {vm.address: name for name, vm in self.environment.vms.items()}
            self.vms = [addresses[item.partition(":")[0]] for item in lookup["addresses"]]
            self.lookup_expires_at = (
                now + self.ttl_factor * float(lookup["ttl"].rstrip("ms")) / 1000.0
            )
            return


def describe_wrong_response(
    call: Call, path: str, echoed: str | None, seal: str, body: bytes
) -> str:
    """Returns how a successful response differs from the server's, empty if it does not."""
    if echoed != call.name or not seal.endswith(call.name):
        return f"response of {echoed}, seal {seal!r}"
    if body != build_response_body(call.name, path):
        return f"{len(body)} bytes that differ from the server's response"
    return ""


class LoadGenerator:
    """Callers in all zones that send requests at a constant rate."""

    def __init__(
        self, environment: SoakEnvironment, random: Random, rate: float, size: int
    ) -> None:
        self._environment = environment
        self._random = random
        self._rate = rate
        self._size = size

    async def run(self, stop_event: asyncio.Event) -> None:
        """Sends requests until `stop_event` is set, then waits for the remaining responses."""
        request_numbers = itertools.count(1)
        zones = itertools.cycle(ZONES)
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            callers = [
                Caller(
                    self._environment,
                    session,
                    next(zones),
                    self._random.choice((1.0, MAX_TTL_FACTOR)),
                    self._random,
                    request_numbers,
                )
                for _ in range(self._size)
            ]
            started_at = time.monotonic()
            for number in itertools.count():
                await asyncio.sleep(max(0.0, started_at + number / self._rate - time.monotonic()))
                if stop_event.is_set():
                    return
                profile = self._random.choice(REQUEST_PROFILES)
                group.create_task(self._random.choice(callers).send(profile))
