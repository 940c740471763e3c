"""Permits for backend server slots, as the request path asks for them."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import PermitGrant
from briarfork.border.messages import PermitHeld
from briarfork.border.messages import PermitRefusal
from briarfork.border.messages import PermitRelease
from briarfork.border.messages import PermitRequest
from briarfork.entry.local import LocalChoice
from briarfork.entry.local import LocalShares
from briarfork.entry.overflow import LOCAL_CHOICE
from briarfork.entry.overflow import LOCAL_SHARE
from briarfork.entry.overflow import Permit
from briarfork.entry.overflow import ask_in_turn
from briarfork.entry.owner_link import OwnerLink
from briarfork.entry.owner_link import OwnerUnreachable
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.pools import PERMITS
from briarfork.pools import Grant
from briarfork.pools import PermitDemand
from briarfork.pools import Refusal
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress

if TYPE_CHECKING:
    from briarfork.configuration import RequestClass
    from briarfork.entry.slots import SlotDesk
    from briarfork.entry.slots import SlotKey
    from briarfork.entry.view import EntryView
    from briarfork.membership import Member
    from briarfork.requests import Deadline

# Pause before the new owner of moved slots is asked; views of the roster differ for a moment.
MOVED_PAUSE_S = 0.05
# Weight of the newest run time in the moving mean of a service.
RUN_TIME_WEIGHT = 0.1


class PermitClient:
    """Acquires and releases permits, from this process or from owners elsewhere."""

    def __init__(self, view: EntryView, desk: SlotDesk) -> None:
        self._view = view
        self._desk = desk
        self._links: dict[str, OwnerLink] = {}
        self._wanted = asyncio.Event()
        self._held: dict[str, Permit] = {}
        self._numbers = itertools.count(1)
        self._self = Requester(view.settings.vm)
        self._prefix = f"{view.settings.vm}-{time.time_ns():x}"
        self._shares = LocalShares(view)
        self._choice = LocalChoice(view)
        self.run_times: dict[str, float] = {}

    def count_held(self, service: str, site: str) -> int:
        """Returns how many permits of a service at a site this process holds."""
        return sum(permit.key == (service, site) for permit in self._held.values())

    async def acquire(
        self,
        service: str,
        site: str,
        request_class: RequestClass,
        deadline: Deadline,
        avoid: frozenset[str],
    ) -> Permit:
        """Waits for a permit until the deadline, at the site first and then in its region, too.

        Raises:
            NotRun: If there is none in time.
        """
        steering = self._view.require_steering()
        policy = steering.plan.services[service].selection
        if policy != PERMITS:
            demand = self._build_demand(request_class, deadline, avoid)
            server = self._choice.take((service, site), demand, policy)
            return self._keep(
                Permit(demand.permit, service, site, request_class, server, LOCAL_CHOICE)
            )
        siblings = steering.find_siblings(service, site, time.time())
        keys = [(service, name) for name in (site, *siblings)]
        demands = {key: self._build_demand(request_class, deadline, avoid) for key in keys}
        return await self._ask_sites(demands, deadline)

    async def acquire_hedge(self, first: Permit, deadline: Deadline) -> Permit:
        """Acquires a permit for a second attempt at another server, without a wait for a slot.

        Raises:
            NotRun: If the load is too high or no other server of the region has a free slot.
        """
        steering = self._view.require_steering()
        siblings = steering.find_siblings(first.service, first.site, time.time())
        if steering.is_receiving(first.service, first.site, time.time()):
            raise NotRun(ErrorKind.OVERLOADED, "a second attempt would count as moved by a shift")
        avoid = frozenset({first.server.vm})
        demands = {
            (first.service, site): replace(
                self._build_demand(first.request_class, deadline, avoid), hedge=True
            )
            for site in (first.site, *siblings)
        }
        return await self._ask_sites(demands, deadline)

    def release(self, permit: Permit, how: Release, elapsed_s: float) -> None:
        """Returns a permit."""
        if how is Release.DONE:
            known = self.run_times.get(permit.service, elapsed_s)
            self.run_times[permit.service] = known + RUN_TIME_WEIGHT * (elapsed_s - known)
        # The owner may have changed since the permit was granted.
        permit = self._held.pop(permit.name, permit)
        if permit.owner == LOCAL_CHOICE:
            self._choice.release(permit.key, permit.name)
        elif permit.owner == LOCAL_SHARE:
            self._shares.release(permit.key, permit.name, how, elapsed_s)
        elif permit.owner == self._self.vm:
            self._desk.release(permit.key, permit.name, how, elapsed_s)
        elif permit.owner in self._links:
            message = PermitRelease(permit.name, *permit.key, how, elapsed_s * 1000.0)
            self._links[permit.owner].send_if_open(message)

    def refresh(self) -> None:
        """Declares held permits to the owners that have taken over their slots."""
        for permit in list(self._held.values()):
            owner = self._view.find_owner(*permit.key)
            if permit.is_local or owner is None or owner.vm == permit.owner:
                continue
            self._held[permit.name] = replace(permit, owner=owner.vm)
            if owner.vm == self._self.vm:
                self._desk.adopt(self._self, _describe(permit))
            else:
                self._find_link(owner).send_if_open(_describe(permit))

    async def keep_links(self) -> None:
        """Runs one task for each owner that this process has asked, until the owner is gone."""
        tasks: dict[str, asyncio.Task[None]] = {}
        async with asyncio.TaskGroup() as group:
            while True:
                self._wanted.clear()
                for vm in [vm for vm in tasks if vm not in self._view.members]:
                    tasks.pop(vm).cancel()
                    self._links.pop(vm, None)
                for vm, link in self._links.items():
                    if vm not in tasks:
                        tasks[vm] = group.create_task(link.run(self._list_held))
                try:
                    async with asyncio.timeout(self._view.settings.timeouts.heartbeat_s):
                        await self._wanted.wait()
                except TimeoutError:
                    continue

    async def _ask_sites(self, demands: dict[SlotKey, PermitDemand], deadline: Deadline) -> Permit:
        """Asks one site after the other and takes the first permit.

        Raises:
            NotRun: If all refuse.
        """
        asks = [partial(self._try, key, demand, deadline) for key, demand in demands.items()]
        permits = await ask_in_turn(asks, self._return_unused)
        for permit in permits[1:]:
            self._return_unused(permit)
        return self._keep(permits[0])

    def _return_unused(self, permit: Permit) -> None:
        self.release(permit, Release.UNUSED, 0.0)

    async def _try(self, key: SlotKey, demand: PermitDemand, deadline: Deadline) -> Permit | NotRun:
        """Asks the owners of one site's slots until one decides; a refusal is returned."""
        while True:
            owner = self._view.find_owner(*key)
            if owner is None:
                return NotRun(ErrorKind.NO_SERVER, f"no entry VM serves site {key[1]!r}")
            try:
                answer = await self._ask(owner, key, demand, deadline)
                if isinstance(answer, ServerAddress):
                    return Permit(demand.permit, *key, demand.request_class, answer, owner.vm)
                if not answer.moved:
                    return NotRun(ErrorKind.OVERLOADED, answer.reason)
                async with asyncio.timeout(deadline.remaining_s(time.monotonic())):
                    await asyncio.sleep(MOVED_PAUSE_S)
            except OwnerUnreachable as error:
                if demand.hedge:
                    return NotRun(error.kind, error.detail)
                self._desk.events.record(
                    Event.OWNER_UNREACHABLE, owner=owner.vm, reason=error.detail
                )
                share = await self._take_share(key, demand, deadline)
                if share is not None:
                    return share
                if not deadline.remaining_s(time.monotonic()):
                    return NotRun(ErrorKind.OVERLOADED, "no slot became free in time")
            except TimeoutError:
                return NotRun(ErrorKind.OVERLOADED, "no slot became free in time")

    async def _ask(
        self, owner: Member, key: SlotKey, demand: PermitDemand, deadline: Deadline
    ) -> ServerAddress | Refusal:
        wait_s = deadline.remaining_s(time.monotonic())
        if owner.vm == self._self.vm:
            return await self._ask_desk(key, demand, wait_s)
        message = PermitRequest(
            permit=demand.permit,
            service=key[0],
            site=key[1],
            request_class=demand.request_class,
            wait_ms=int(wait_s * 1000),
            avoid=sorted(demand.avoid),
            hedge=demand.hedge,
        )
        answer = await self._find_link(owner).ask(message, wait_s)
        if isinstance(answer, PermitGrant):
            return ServerAddress(answer.vm, answer.address, answer.port)
        assert isinstance(answer, PermitRefusal)
        return Refusal(demand, answer.reason, answer.moved)

    async def _ask_desk(
        self, key: SlotKey, demand: PermitDemand, wait_s: float
    ) -> ServerAddress | Refusal:
        future: asyncio.Future[Grant | Refusal] = asyncio.get_running_loop().create_future()

        def deliver(decision: Grant | Refusal) -> None:
            if not future.done():
                future.set_result(decision)

        self._desk.demand(key, demand, deliver)
        try:
            async with asyncio.timeout(wait_s):
                decision = await future
        except (TimeoutError, asyncio.CancelledError):
            self._desk.cancel(key, demand.permit)
            raise
        return decision.server if isinstance(decision, Grant) else decision

    async def _take_share(
        self, key: SlotKey, demand: PermitDemand, deadline: Deadline
    ) -> Permit | NotRun | None:
        """Waits for a permit of the local share until it is time to look for an owner again."""
        held = Counter(
            permit.server.vm
            for permit in self._held.values()
            if permit.key == key and not permit.is_local
        )
        silence_s = self._view.settings.timeouts.permit_silence_s
        wait_s = min(silence_s, deadline.remaining_s(time.monotonic()))
        try:
            server = await self._shares.take(key, demand, held, wait_s)
        except NotRun as refusal:
            return refusal
        if server is None:
            return None
        return Permit(demand.permit, *key, demand.request_class, server, LOCAL_SHARE)

    def _keep(self, permit: Permit) -> Permit:
        self._held[permit.name] = permit
        return permit

    def _build_demand(
        self, request_class: RequestClass, deadline: Deadline, avoid: frozenset[str]
    ) -> PermitDemand:
        name = f"{self._prefix}-{next(self._numbers)}"
        return PermitDemand(name, self._self, request_class, deadline.expires_at, avoid)

    def _find_link(self, owner: Member) -> OwnerLink:
        link = self._links.get(owner.vm)
        if link is None:
            link = OwnerLink(owner, self._view)
            self._links[owner.vm] = link
            self._wanted.set()
        return link

    def _list_held(self, owner: str) -> list[PermitHeld]:
        return [_describe(permit) for permit in self._held.values() if permit.owner == owner]


def _describe(permit: Permit) -> PermitHeld:
    return PermitHeld(
        permit.name, permit.service, permit.site, permit.server.vm, permit.request_class
    )
