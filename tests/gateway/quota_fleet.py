"""A fleet of quota gates with delayed messages between them, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

from briarfork.border.events import EventLog
from briarfork.border.settings import Settings
from briarfork.border.streams import StreamClosed
from briarfork.errors import ErrorKind
from briarfork.gateway.location import Location
from briarfork.gateway.quotas import QuotaRefused
from briarfork.gateway.quotas import Quotas
from briarfork.gateway.view import GatewayView
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.workspaces import QuotaBounds
from briarfork.workspaces import Workspace
from briarfork.workspaces import WorkspaceDirectory
from tests.gateway.harness import RETRY_LIMITS
from tests.gateway.harness import build_table

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from briarfork.border.messages import CreditAnswer
    from briarfork.border.messages import CreditAsk

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
ZONE_LATENCY_S = 0.0039
REGION_LATENCY_S = 0.055
LOCAL_LATENCY_S = 0.0003
# A VM that answers nothing for this time has no open streams; its entry ends with its lease.
SILENCE_S = 0.8
LEASE_S = 4.0
START = 1000.0
BOUNDS = QuotaBounds()


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        select = self._selector.select  # type: ignore[attr-defined]

        def jump(timeout: float | None) -> Any:
            self.now += timeout or 0.0
            return select(0)

        self._selector.select = jump  # type: ignore[attr-defined]

    def time(self) -> float:
        return self.now


def run_virtually(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())


class Link:
    """The stream from one VM to another."""

    def __init__(self, fleet: Fleet, source: str, target: str) -> None:
        self.fleet, self.source, self.target = fleet, source, target

    @property
    def is_open(self) -> bool:
        return self.fleet.is_open(self.source, self.target)

    def send(self, message: CreditAsk) -> None:
        if not self.is_open:
            raise StreamClosed("closed")
        fleet, source, target = self.fleet, self.source, self.target

        def reply(answer: CreditAnswer) -> None:
            fleet.deliver(target, source, lambda node: node.quotas.handle_answer(target, answer))

        fleet.deliver(source, target, lambda node: node.quotas.handle_ask(source, message, reply))


class Links:
    """Stands for the permits of a VM, which hold its streams."""

    def __init__(self, fleet: Fleet, vm: str) -> None:
        self._fleet, self._vm = fleet, vm

    def open_link(self, member: Member) -> Link:
        return Link(self._fleet, self._vm, member.vm)


class Node:
    """One VM."""

    def __init__(self, fleet: Fleet, vm: str, zone: str) -> None:
        settings = Settings(vm, zone, "127.0.0.1", "http://127.0.0.1:1", "http://127.0.0.1:1")
        events = EventLog("test")
        self.zone = zone
        self.view = GatewayView(
            settings, Location(zone, REGIONS[zone], REGIONS), RETRY_LIMITS, events
        )
        self.quotas = Quotas(
            self.view, Links(fleet, vm), events, BOUNDS, fleet.loop.time  # type: ignore[arg-type]
        )
        self.task = fleet.loop.create_task(self.quotas.run())

    def apply(self, version: int, *workspaces: Workspace) -> None:
        table = build_table(version=version)
        table.workspaces = WorkspaceDirectory({f"k-{item.name}": item for item in workspaces})
        self.view.apply_route_table(table)
        self.quotas.refresh()


class Fleet:
    """VMs in six zones of three regions, and what their callers saw."""

    def __init__(self, vms: int, *workspaces: Workspace, seed: int = 1) -> None:
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(seed)
        self.workspaces = workspaces
        self.nodes: dict[str, Node] = {}
        self.cut_since: dict[frozenset[str], float] = {}
        self.frozen_since: dict[str, float] = {}
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.outcomes: dict[str, int] = defaultdict(int)
        self.waits: list[float] = []
        self.messages = 0
        self._members: dict[str, Member] = {}
        zones = list(REGIONS)
        for number in range(vms):
            self.start(f"vm-{number}", zones[number % len(zones)])

    def start(self, vm: str, zone: str) -> None:
        self.nodes[vm] = Node(self, vm, zone)
        self._members[vm] = Member(
            vm, "127.0.0.1", zone, 1, 1, MemberState.LIVE, {"permits": 1}, True, 1.0, 100.0
        )
        self.nodes[vm].apply(1, *self.workspaces)
        self.publish()

    def kill(self, vm: str) -> None:
        self.nodes.pop(vm).task.cancel()

        def expire() -> None:
            if vm not in self.nodes:
                del self._members[vm]
                self.publish()

        self.loop.call_later(LEASE_S, expire)

    def publish(self) -> None:
        """Shows the members to all VMs, to each a little later."""

        def show(node: Node) -> None:
            node.view.replace_members(dict(self._members))

        for node in self.nodes.values():
            self.loop.call_later(self.random.random(), show, node)

    async def freeze(self, vm: str, duration_s: float) -> None:
        node = self.nodes[vm]
        node.task.cancel()
        self.frozen_since[vm] = self.loop.time()
        await asyncio.sleep(duration_s)
        del self.frozen_since[vm]
        node.task = self.loop.create_task(node.quotas.run())

    def cut(self, *groups: set[str]) -> None:
        """Cuts VMs of one group of zones from those of the others."""
        for vm, node in self.nodes.items():
            for other, peer in self.nodes.items():
                if not any(node.zone in group and peer.zone in group for group in groups):
                    self.cut_since[frozenset((vm, other))] = self.loop.time()

    def is_open(self, source: str, target: str) -> bool:
        if target not in self.nodes or source not in self.nodes:
            return False
        now = self.loop.time()
        since = min(
            self.cut_since.get(frozenset((source, target)), now),
            self.frozen_since.get(target, now),
        )
        return now - since <= SILENCE_S

    def deliver(self, source: str, target: str, handle: Callable[[Node], None]) -> None:
        self.messages += 1
        if source not in self.nodes or target not in self.nodes:
            return
        zones = self.nodes[source].zone, self.nodes[target].zone
        delay_s = LOCAL_LATENCY_S
        if zones[0] != zones[1]:
            is_near = REGIONS[zones[0]] == REGIONS[zones[1]]
            delay_s = ZONE_LATENCY_S if is_near else REGION_LATENCY_S

        def arrive() -> None:
            if target not in self.nodes:
                return
            if frozenset((source, target)) in self.cut_since or target in self.frozen_since:
                # The message stays in a buffer, and arrives late or never.
                if self.is_open(source, target):
                    self.loop.call_later(0.05, arrive)
                return
            handle(self.nodes[target])

        self.loop.call_later(delay_s, arrive)

    async def request(self, vm: str, workspace: Workspace) -> str:
        if vm not in self.nodes or vm in self.frozen_since:
            return "no VM"
        started = self.loop.time()
        outcome = "granted"
        try:
            await self.nodes[vm].quotas.acquire(workspace)
            self.admitted[workspace.name].append(self.loop.time())
        except QuotaRefused as error:
            outcome = "refused" if error.kind is ErrorKind.TOO_MANY_REQUESTS else "undecided"
        self.waits.append(self.loop.time() - started)
        self.outcomes[outcome] += 1
        return outcome

    async def offer(
        self, workspace: Workspace, per_s: float, duration_s: float, zones: set[str] | None = None
    ) -> None:
        """Sends requests at random times to random VMs."""
        until = self.loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.random.expovariate(per_s))
                if self.loop.time() >= until:
                    return
                vms = [vm for vm, node in self.nodes.items() if not zones or node.zone in zones]
                group.create_task(self.request(self.random.choice(vms), workspace))

    def find_overshoot(self, workspace: Workspace) -> float:
        """Returns the most requests of any window, relative to those that are allowed."""
        times = sorted(self.admitted[workspace.name])
        most = first = 0
        for last, time in enumerate(times):
            while time - times[first] > BOUNDS.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most / BOUNDS.compute_limit(workspace)

    async def close(self) -> None:
        for node in self.nodes.values():
            node.task.cancel()
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(0.0)
