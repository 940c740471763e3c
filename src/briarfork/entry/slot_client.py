"""Permits as any request path asks for them, from this process or from owners elsewhere."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from briarfork.border.events import Event
from briarfork.border.messages import PermitGrant
from briarfork.border.messages import PermitHeld
from briarfork.border.messages import PermitRefusal
from briarfork.border.messages import PermitRelease
from briarfork.border.messages import PermitRequest
from briarfork.entry.local import LocalShares
from briarfork.entry.local import ShareView
from briarfork.entry.overflow import LOCAL_SHARE
from briarfork.entry.overflow import Permit
from briarfork.entry.owner_link import OwnerLink
from briarfork.entry.owner_link import OwnerUnreachable
from briarfork.entry.slots import SlotView
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.pools import Grant
from briarfork.pools import Refusal
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress
from briarfork.pools import SlotRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarfork.configuration import RequestClass
    from briarfork.entry.slots import SlotDesk
    from briarfork.entry.slots import SlotKey
    from briarfork.membership import Member
    from briarfork.requests import Deadline

# Pause before the new owner of moved slots is asked; views of the roster differ for a moment.
MOVED_PAUSE_S = 0.05
# Weight of the newest run time in the moving mean of a service.
RUN_TIME_WEIGHT = 0.1


class SlotRefused(NotRun):
    """A permit that was refused.

    Attributes:
        wait_s: Expected time until there is room, 0 if unknown.
    """

    def __init__(self, kind: ErrorKind, detail: str, wait_s: float = 0.0) -> None:
        super().__init__(kind, detail)
        self.wait_s = wait_s


class ClientView(SlotView, ShareView, Protocol):
    """What a requester must know beside what an owner of slots knows."""

    @property
    def members(self) -> Mapping[str, Member]:
        """All entry VMs by name."""


class SlotClient:
    """Asks the owners of slots for permits and returns them.

    While an owner cannot be reached, a share of the slots of this VM's own zone takes its place.
    """

    def __init__(self, view: ClientView, desk: SlotDesk) -> None:
        self._view = view
        self._desk = desk
        self._links: dict[str, OwnerLink] = {}
        self._wanted = asyncio.Event()
        self._held: dict[str, Permit] = {}
        self._numbers = itertools.count(1)
        self._self = Requester(view.settings.vm)
        self._prefix = f"{view.settings.vm}-{time.time_ns():x}"
        self._shares = LocalShares(view)
        self.run_times: dict[str, float] = {}

    def count_held(self, service: str, site: str) -> int:
        """Returns how many permits of a service at a site this process holds."""
        return sum(permit.key == (service, site) for permit in self._held.values())

    def release(
        self, permit: Permit, how: Release, elapsed_s: float, slowness: float = 0.0
    ) -> None:
        """Returns a permit.

        Args:
            permit: The permit.
            how: How the request ended at the server.
            elapsed_s: Time from the permit to the end of the response.
            slowness: What the server said about its machine, 0 if nothing.
        """
        if how is Release.DONE:
            known = self.run_times.get(permit.service, elapsed_s)
            self.run_times[permit.service] = known + RUN_TIME_WEIGHT * (elapsed_s - known)
        # The owner may have changed since the permit was granted.
        permit = self._held.pop(permit.name, permit)
        if permit.owner == LOCAL_SHARE:
            self._shares.release(permit.key, permit.name, how, elapsed_s)
        elif permit.owner == self._self.vm:
            self._desk.release(permit.key, permit.name, how, elapsed_s, slowness)
        elif permit.owner in self._links:
            message = PermitRelease(permit.name, *permit.key, how, elapsed_s * 1000.0, slowness)
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

    async def ask_site(
        self, key: SlotKey, demand: SlotRequest, deadline: Deadline
    ) -> Permit | NotRun:
        """Asks the owners of one site's slots until one decides; a refusal is returned.

        Args:
            key: The service and the site.
            demand: The request.
            deadline: When the wait for a decision ends.
        """
        while True:
            owner = self._view.find_owner(*key)
            if owner is None:
                return SlotRefused(ErrorKind.NO_SERVER, f"no entry VM serves site {key[1]!r}")
            try:
                answer = await self._ask(owner, key, demand, deadline)
                if isinstance(answer, ServerAddress):
                    return Permit(demand.permit, *key, demand.request_class, answer, owner.vm)
                if not answer.moved:
                    return SlotRefused(ErrorKind.OVERLOADED, answer.reason, answer.wait_s)
                async with asyncio.timeout(deadline.remaining_s(time.monotonic())):
                    await asyncio.sleep(MOVED_PAUSE_S)
            except OwnerUnreachable as error:
                if demand.hedge:
                    return SlotRefused(error.kind, error.detail)
                self._desk.events.record(
                    Event.OWNER_UNREACHABLE, owner=owner.vm, reason=error.detail
                )
                share = await self._take_share(key, demand, deadline)
                if share is not None:
                    return share
                if not deadline.remaining_s(time.monotonic()):
                    return SlotRefused(ErrorKind.OVERLOADED, "no slot became free in time")
            except TimeoutError:
                return SlotRefused(ErrorKind.OVERLOADED, "no slot became free in time")

    async def _ask(
        self, owner: Member, key: SlotKey, demand: SlotRequest, deadline: Deadline
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
            priority=demand.priority,
            object_key=demand.object_key,
        )
        answer = await self._find_link(owner).ask(message, wait_s)
        if isinstance(answer, PermitGrant):
            return ServerAddress(answer.vm, answer.address, answer.port)
        assert isinstance(answer, PermitRefusal)
        return Refusal(demand, answer.reason, answer.moved, answer.wait_s)

    async def _ask_desk(
        self, key: SlotKey, demand: SlotRequest, wait_s: float
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
        self, key: SlotKey, demand: SlotRequest, deadline: Deadline
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
            # Its type tells whether the whole site is out of reach.
            return refusal
        if server is None:
            return None
        return Permit(demand.permit, *key, demand.request_class, server, LOCAL_SHARE)

    def keep(self, permit: Permit) -> Permit:
        """Records a permit that is in use, so that a new owner of its slots hears of it."""
        self._held[permit.name] = permit
        return permit

    def take(self, key: SlotKey, demand: SlotRequest, server: ServerAddress) -> Permit | None:
        """Uses a slot without asking and declares it to the owner of the slots.

        Saves the round trip to an owner far away; the owner counts the slot as soon as it hears
        of it. Returns None if no owner is known.
        """
        owner = self._view.find_owner(*key)
        if owner is None:
            return None
        permit = Permit(demand.permit, *key, demand.request_class, server, owner.vm)
        declared = _describe(permit, demand.object_key)
        if owner.vm == self._self.vm:
            self._desk.adopt(self._self, declared)
        else:
            self._find_link(owner).send_if_open(declared)
        return self.keep(permit)

    def build_demand(
        self,
        request_class: RequestClass,
        deadline: Deadline,
        avoid: frozenset[str],
        priority: int = 0,
        object_key: str = "",
    ) -> SlotRequest:
        """Returns a demand with a new name."""
        name = f"{self._prefix}-{next(self._numbers)}"
        return SlotRequest(
            permit=name,
            requester=self._self,
            request_class=request_class,
            expires_at=deadline.expires_at,
            avoid=avoid,
            priority=priority,
            object_key=object_key,
            asked_at=time.monotonic(),
        )

    def _find_link(self, owner: Member) -> OwnerLink:
        link = self._links.get(owner.vm)
        if link is None:
            link = OwnerLink(owner, self._view.settings)
            self._links[owner.vm] = link
            self._wanted.set()
        return link

    def _list_held(self, owner: str) -> list[PermitHeld]:
        return [_describe(permit) for permit in self._held.values() if permit.owner == owner]


def _describe(permit: Permit, object_key: str = "") -> PermitHeld:
    return PermitHeld(
        permit.name,
        permit.service,
        permit.site,
        permit.server.vm,
        permit.request_class,
        object_key,
    )
