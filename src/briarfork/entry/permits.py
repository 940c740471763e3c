"""Permits for backend server slots, as the request path asks for them."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import Hello
from briarfork.border.messages import PermitCancel
from briarfork.border.messages import PermitGrant
from briarfork.border.messages import PermitHeld
from briarfork.border.messages import PermitRefusal
from briarfork.border.messages import PermitRelease
from briarfork.border.messages import PermitRequest
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import dial
from briarfork.configuration import SiteCapacity
from briarfork.entry.slots import send_heartbeats
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.errors import SiteUnreachable
from briarfork.pools import Grant
from briarfork.pools import PermitDemand
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal
from briarfork.pools import Release
from briarfork.pools import ServerAddress

if TYPE_CHECKING:
    from briarfork.border.messages import Message
    from briarfork.border.streams import MessageStream
    from briarfork.configuration import RequestClass
    from briarfork.entry.slots import SlotDesk
    from briarfork.entry.view import EntryView
    from briarfork.membership import Member
    from briarfork.requests import Deadline

Decision = Grant | Refusal
# Weight of the newest run time in the moving mean of a service.
RUN_TIME_WEIGHT = 0.1
HeldPermits = Callable[[str], "list[PermitHeld]"]


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to send one request to one server.

    Attributes:
        owner: Entry VM that granted it; empty for a permit from the local share.
    """

    name: str
    service: str
    site: str
    request_class: RequestClass
    server: ServerAddress
    owner: str


class OwnerUnreachable(BriarforkError):
    """The owner of the slots did not decide; it is not known to have refused."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.OVERLOADED, detail)


class OwnerLink:
    """The stream to one owner; one task keeps it."""

    def __init__(self, owner: Member, view: EntryView) -> None:
        self.owner = owner
        self._view = view
        self._stream: MessageStream | None = None
        self._opened = asyncio.Event()
        self._pending: dict[str, asyncio.Future[Message]] = {}

    async def run(self, list_held: HeldPermits) -> None:
        """Dials the owner, declares held permits and takes decisions, again after every loss."""
        settings = self._view.settings
        timeouts = settings.timeouts
        while True:
            try:
                stream = await dial(
                    self.owner.address, self.owner.ports["permits"], timeouts.connect_s
                )
                await self._converse(stream, list_held)
            except StreamClosed:
                pass
            self._close()
            await asyncio.sleep(timeouts.reconnect_s)

    async def ask(self, message: PermitRequest, wait_s: float) -> Message:
        """Sends a request for a permit and returns the decision.

        Raises:
            OwnerUnreachable: If the stream is not open or ends before the decision.
        """
        try:
            async with asyncio.timeout(min(wait_s, self._view.settings.timeouts.connect_s)):
                await self._opened.wait()
        except TimeoutError as error:
            raise OwnerUnreachable(f"no stream to {self.owner.vm}") from error
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[message.permit] = future
        try:
            self.send(message)
            async with asyncio.timeout(wait_s):
                return await future
        except StreamClosed as error:
            raise OwnerUnreachable(error.detail) from error
        except (TimeoutError, asyncio.CancelledError):
            self.send_if_open(PermitCancel(message.permit, message.service, message.site))
            raise
        finally:
            self._pending.pop(message.permit, None)

    def send(self, message: Message) -> None:
        """Sends a message.

        Raises:
            StreamClosed: If the stream is not open.
        """
        if self._stream is None:
            raise StreamClosed(f"no stream to {self.owner.vm}")
        self._stream.send(message)

    def send_if_open(self, message: Message) -> None:
        """Sends a message if the stream is open."""
        try:
            self.send(message)
        except StreamClosed:
            return

    async def _converse(self, stream: MessageStream, list_held: HeldPermits) -> None:
        settings = self._view.settings
        stream.send(Hello(settings.vm, settings.zone))
        for held in list_held(self.owner.vm):
            stream.send(held)
        try:
            async with asyncio.TaskGroup() as group:
                beats = group.create_task(send_heartbeats(stream, settings.timeouts.heartbeat_s))
                try:
                    # A stopped or cut-off VM still accepts connections; only a message shows
                    # that the owner is there.
                    self._decide(await stream.receive(settings.timeouts.silence_s))
                    self._stream = stream
                    self._opened.set()
                    while True:
                        self._decide(await stream.receive(settings.timeouts.silence_s))
                finally:
                    beats.cancel()
        except* BriarforkError:
            pass
        finally:
            stream.abort()

    def _decide(self, message: Message) -> None:
        if not isinstance(message, PermitGrant | PermitRefusal):
            return
        future = self._pending.get(message.permit)
        if future is not None and not future.done():
            future.set_result(message)

    def _close(self) -> None:
        self._stream = None
        self._opened.clear()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(OwnerUnreachable(f"the stream to {self.owner.vm} ended"))


class PermitClient:
    """Acquires and releases permits, from this process or from owners elsewhere."""

    def __init__(self, view: EntryView, desk: SlotDesk) -> None:
        self._view = view
        self._desk = desk
        self._links: dict[str, OwnerLink] = {}
        self._wanted = asyncio.Event()
        self._held: dict[str, Permit] = {}
        self._numbers = itertools.count(1)
        self._prefix = f"{view.settings.vm}-{time.time_ns():x}"
        self._shares: dict[tuple[str, str], PermitQueue] = {}
        self.run_times: dict[str, float] = {}

    def count_held(self, service: str, site: str) -> int:
        """Returns how many permits of a service at a site this process holds."""
        return sum((held.service, held.site) == (service, site) for held in self._held.values())

    async def acquire(
        self,
        service: str,
        site: str,
        request_class: RequestClass,
        deadline: Deadline,
        avoid: frozenset[str],
    ) -> Permit:
        """Waits for a permit until the deadline.

        Raises:
            NotRun: If there is none in time.
        """
        name = f"{self._prefix}-{next(self._numbers)}"
        wait_s = deadline.remaining_s(time.monotonic())
        demand = PermitDemand(
            name, self._view.settings.vm, request_class, time.monotonic() + wait_s, avoid
        )
        owner = self._view.find_owner(service, site)
        if owner is None:
            raise NotRun(ErrorKind.NO_SERVER, f"no entry VM serves site {site!r}")
        try:
            if owner.vm == self._view.settings.vm:
                permit = await self._ask_desk(service, site, demand, wait_s)
            else:
                permit = await self._ask_owner(owner, service, site, demand, wait_s)
        except OwnerUnreachable as error:
            self._desk.events.record(Event.OWNER_UNREACHABLE, owner=owner.vm, reason=error.detail)
            permit = self._take_share(service, site, demand)
        except TimeoutError as error:
            raise NotRun(ErrorKind.OVERLOADED, "no slot became free in time") from error
        self._held[name] = permit
        return permit

    def release(self, permit: Permit, how: Release, elapsed_s: float) -> None:
        """Returns a permit."""
        self._held.pop(permit.name, None)
        key = (permit.service, permit.site)
        if how is Release.DONE:
            known = self.run_times.get(permit.service, elapsed_s)
            self.run_times[permit.service] = known + RUN_TIME_WEIGHT * (elapsed_s - known)
        if not permit.owner:
            self._shares[key].release(permit.name, how, elapsed_s, time.monotonic())
            return
        owner = self._view.find_owner(*key)
        if owner is None or owner.vm == self._view.settings.vm:
            self._desk.release(key, permit.name, how, elapsed_s)
            return
        link = self._find_link(owner)
        link.send_if_open(PermitRelease(permit.name, *key, how, elapsed_s * 1000.0))

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

    def _find_link(self, owner: Member) -> OwnerLink:
        link = self._links.get(owner.vm)
        if link is None:
            link = OwnerLink(owner, self._view)
            self._links[owner.vm] = link
            self._wanted.set()
        return link

    def _list_held(self, owner: str) -> list[PermitHeld]:
        return [
            PermitHeld(
                permit.name, permit.service, permit.site, permit.server.vm, permit.request_class
            )
            for permit in self._held.values()
            if self._is_owned(permit, owner)
        ]

    def _is_owned(self, permit: Permit, vm: str) -> bool:
        owner = self._view.find_owner(permit.service, permit.site)
        return owner is not None and owner.vm == vm

    async def _ask_desk(
        self, service: str, site: str, demand: PermitDemand, wait_s: float
    ) -> Permit:
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()

        def deliver(decision: Decision) -> None:
            if not future.done():
                future.set_result(decision)

        self._desk.demand((service, site), demand, deliver)
        try:
            async with asyncio.timeout(wait_s):
                decision = await future
        except (TimeoutError, asyncio.CancelledError):
            self._desk.cancel((service, site), demand.permit)
            raise
        if isinstance(decision, Refusal):
            raise NotRun(ErrorKind.OVERLOADED, decision.reason)
        return self._build(service, site, demand, decision.server, self._view.settings.vm)

    async def _ask_owner(
        self, owner: Member, service: str, site: str, demand: PermitDemand, wait_s: float
    ) -> Permit:
        message = PermitRequest(
            permit=demand.permit,
            service=service,
            site=site,
            request_class=demand.request_class,
            wait_ms=int(wait_s * 1000),
            avoid=sorted(demand.avoid),
        )
        answer = await self._find_link(owner).ask(message, wait_s)
        if isinstance(answer, PermitGrant):
            server = ServerAddress(answer.vm, answer.address, answer.port)
            return self._build(service, site, demand, server, owner.vm)
        reason = answer.reason if isinstance(answer, PermitRefusal) else "no decision"
        raise NotRun(ErrorKind.OVERLOADED, reason)

    def _take_share(self, service: str, site: str, demand: PermitDemand) -> Permit:
        """Grants a permit from this VM's share of the slots of its own zone.

        Raises:
            NotRun: If the site is in another zone or the share is taken.
        """
        plan = self._view.require_steering().plan
        own_zone = self._view.settings.zone
        if plan.sites[site].zone != own_zone:
            raise SiteUnreachable(f"the owner of the slots of {site!r} is unreachable")
        capacity = plan.services[service].capacity[site]
        sharers = max(1, len(self._view.list_zone_entries(own_zone)))
        share = SiteCapacity(max(1, capacity.slots // sharers), capacity.connections)
        queue = self._shares.get((service, site))
        if queue is None:
            queue = PermitQueue(share, plan.services[service].is_mixed, random.Random())
            self._shares[service, site] = queue
        queue.set_capacity(share, plan.services[service].is_mixed)
        queue.set_servers(self._view.list_servers(service, site))
        now = time.monotonic()
        for decision in queue.demand(demand, now):
            if isinstance(decision, Grant) and decision.demand is demand:
                return self._build(service, site, demand, decision.server, "")
        queue.cancel(demand.permit, now)
        raise NotRun(ErrorKind.OVERLOADED, "the local share of the slots is taken")

    def _build(
        self, service: str, site: str, demand: PermitDemand, server: ServerAddress, owner: str
    ) -> Permit:
        return Permit(demand.permit, service, site, demand.request_class, server, owner)
