"""Builds gateways for tests, and a dispatcher with scripted slots and servers."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.border.events import EventLog
from briarfork.border.settings import Settings
from briarfork.configuration import RequestClass
from briarfork.entry.overflow import Permit
from briarfork.entry.slot_client import SlotRefused
from briarfork.errors import ErrorKind
from briarfork.gateway.attempts import AttemptError
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.location import Location
from briarfork.gateway.permits import GatewayPermits
from briarfork.gateway.permits import SlotRequirements
from briarfork.gateway.process import Gateway
from briarfork.gateway.request import Request
from briarfork.gateway.request import Response
from briarfork.gateway.retries import RetryLimits
from briarfork.gateway.view import GatewayView
from briarfork.pools import NO_REPORT
from briarfork.pools import Instance
from briarfork.pools import Release
from briarfork.pools import ServerAddress
from briarfork.pools import ServerReport
from briarfork.requests import AttemptResult
from briarfork.requests import Deadline
from briarfork.routing import CallerLimits
from briarfork.routing import RequestKind
from briarfork.routing import Route
from briarfork.routing import RouteTable
from briarfork.routing import ServicePolicy
from briarfork.routing import TrafficShare

if TYPE_CHECKING:
    from collections.abc import Iterable

SETTINGS = Settings("vm", "a", "127.0.0.1", "http://127.0.0.1:1", "http://127.0.0.1:1")
LOCATION = Location("a", "north", {"a": "north", "b": "north", "c": "south"})
RETRY_LIMITS = RetryLimits(ratio=0.2, slack=7.5)
ROUTE = Route(
    name="r",
    host="h",
    prefix="/a/",
    kind=RequestKind.IDEMPOTENT,
    timeout_s=2.0,
    objective_s=0.4,
    priority=1,
    shares=(TrafficShare("s", 1.0),),
    max_attempts=2,
)
RESPONSE = Response(200, (), (b"whole",))
# Stands for a server that never responds.
UNRESPONSIVE = Response(0, (), ())
UNANSWERED = AttemptError(AttemptResult.SENT_WITHOUT_ANSWER, Release.FAILED, "reset")
REFUSED = AttemptError(AttemptResult.REFUSED, Release.NOT_RUN, "shed")
UNSENT = AttemptError(AttemptResult.NOT_SENT, Release.FAILED, "connection refused")


def build_table(*routes: Route, version: int = 1, limits: CallerLimits | None = None) -> RouteTable:
    services = [ServicePolicy("s", 100, 3.0, 4.0), ServicePolicy("t", 100, 3.0, 4.0)]
    return RouteTable(version, routes, services, limits or CallerLimits())


def build_instance(name: str, zone: str = "a", service: str = "s") -> Instance:
    return Instance(name, service, zone, "127.0.0.1", 1, slots=2)


def build_gateway(
    route: Route = ROUTE, servers: Iterable[Instance] = (), limits: CallerLimits | None = None
) -> Gateway:
    gateway = Gateway(
        GatewayView(SETTINGS, LOCATION, RETRY_LIMITS, EventLog("test")), EventLog("test")
    )
    for server in servers:
        gateway.view.inventory.put(server, 0.0)
    gateway.apply_route_table(build_table(route, limits=limits))
    return gateway


class ScriptedUpstream:
    """Returns or raises the outcomes of attempts in order, and records the servers."""

    held_bytes = 0

    def __init__(self, *outcomes: Response | AttemptError) -> None:
        self.outcomes = list(outcomes)
        self.sent: list[str] = []
        self.bodies: list[bytes] = []
        self.cancelled: list[str] = []

    async def send(
        self,
        request: Request,
        server: ServerAddress,
        deadline: Deadline,
        *,
        service: str,
        idempotent: bool,
        repeated: bool,
    ) -> Response:
        self.sent.append(server.name)
        self.bodies.append(b"".join(request.body))
        outcome = self.outcomes.pop(0)
        if outcome is UNRESPONSIVE:
            try:
                await asyncio.sleep(60.0)
            finally:
                self.cancelled.append(server.name)
        if isinstance(outcome, AttemptError):
            raise outcome
        return outcome


class ScriptedPermits(GatewayPermits):
    """Grants permits for servers in order, then refuses, or waits if the test says so."""

    waits = False

    def __init__(self, gateway: Gateway, *servers: str) -> None:
        super().__init__(gateway.view, gateway.slots)
        self.servers = list(servers)
        self.released: list[Release] = []

    def check_room(self, request: SlotRequirements) -> None:
        if not self.servers:
            raise SlotRefused(ErrorKind.OVERLOADED, "no zone has a free slot", wait_s=0.2)

    async def acquire(self, request: SlotRequirements) -> Permit:
        if not self.servers:
            await asyncio.sleep(60.0 if self.waits else 0.0)
            raise SlotRefused(ErrorKind.OVERLOADED, "no zone has a free slot", wait_s=0.2)
        address = ServerAddress(self.servers.pop(0), "127.0.0.1", 1)
        return Permit("p", request.service, "a", RequestClass.SHORT, address, "vm")

    async def acquire_hedge(self, route: Route, first: Permit) -> Permit | None:
        if not self.servers:
            return None
        return await self.acquire(
            SlotRequirements(route, first.service, "", Deadline(0.0), frozenset())
        )

    def release(
        self, permit: Permit, how: Release, elapsed_s: float, report: ServerReport = NO_REPORT
    ) -> None:
        self.released.append(how)


class DispatchHarness:
    """Sends requests through a dispatcher with scripted permits and servers."""

    def __init__(
        self,
        *outcomes: Response | AttemptError,
        kind: RequestKind = RequestKind.IDEMPOTENT,
        slots: int = 9,
    ) -> None:
        gateway = build_gateway(replace(ROUTE, kind=kind))
        self.view = gateway.view
        self.upstream = ScriptedUpstream(*outcomes)
        self.permits = ScriptedPermits(gateway, *(f"i-{number}" for number in range(slots)))
        self.dispatcher = Dispatcher(gateway.view, self.permits, self.upstream, EventLog("test"))

    async def send(self, target: str = "/a/x", timeout_s: float | None = 3.0) -> Response:
        return await self.dispatcher.handle(
            Request("r1", "h", "GET", target, (), (), "", timeout_s)
        )
