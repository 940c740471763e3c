"""Permits for backend server slots, as the request path asks for them."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import PermitGrant
from briarfork.border.messages import PermitHeld
from briarfork.border.messages import PermitRefusal
from briarfork.border.messages import PermitRelease
from briarfork.border.messages import PermitRequest
from briarfork.entry.local import LocalChoice
from briarfork.entry.local import LocalShares
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
    from collections.abc import Iterable

    from briarfork.configuration import RequestClass
    from briarfork.entry.slots import SlotDesk
    from briarfork.entry.slots import SlotKey
    from briarfork.entry.view import EntryView
    from briarfork.membership import Member
    from briarfork.requests import Deadline

# Names of VMs begin with a letter or a digit, so these cannot be owners.
LOCAL_SHARE = "-share"
LOCAL_CHOICE = "-choice"
# A request that gets no slot in its own site within the round-trip time to another zone of the
# region also waits there.
OVERFLOW_AFTER_S = 0.004
# Pause before the new owner of moved slots is asked; views of the roster differ for a moment.
MOVED_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to send one request to one server.

    Attributes:
        owner: Entry VM that granted it, or the kind of a permit that needs no owner.
    """

    name: str
    service: str
    site: str
    request_class: RequestClass
    server: ServerAddress
    owner: str

    @property
    def key(self) -> SlotKey:
        """The slots that it belongs to."""
        return self.service, self.site

    @property
    def is_local(self) -> bool:
        """Whether this VM granted it without the owner of the slots."""
        return self.owner in (LOCAL_SHARE, LOCAL_CHOICE)


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
        tasks: list[asyncio.Task[Permit | NotRun]] = []
        try:
            async with asyncio.TaskGroup() as group:
                for key, demand in demands.items():
                    tasks.append(group.create_task(self._try(key, demand, deadline)))
                    patience_s = OVERFLOW_AFTER_S if len(tasks) < len(demands) else None
                    await _wait_for_permit(tasks, patience_s)
                    if _list_permits(tasks):
                        break
                for task in tasks:
                    task.cancel()
        except BaseException:
            for permit in _list_permits(tasks):
                self.release(permit, Release.UNUSED, 0.0)
            raise
        permits = _list_permits(tasks)
        if not permits:
            raise next(result for result in _list_results(tasks) if isinstance(result, NotRun))
        for permit in permits[1:]:
            self.release(permit, Release.UNUSED, 0.0)
        return self._keep(permits[0])

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
                return self._take_share(key, demand)
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

    def _take_share(self, key: SlotKey, demand: PermitDemand) -> Permit | NotRun:
        held = Counter(
            permit.server.vm
            for permit in self._held.values()
            if permit.key == key and not permit.is_local
        )
        try:
            server = self._shares.take(key, demand, held)
        except NotRun as refusal:
            return refusal
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


def _list_results(tasks: Iterable[asyncio.Task[Permit | NotRun]]) -> list[Permit | NotRun]:
    ended = [task for task in tasks if task.done() and not task.cancelled()]
    return [task.result() for task in ended if task.exception() is None]


def _list_permits(tasks: Iterable[asyncio.Task[Permit | NotRun]]) -> list[Permit]:
    return [result for result in _list_results(tasks) if isinstance(result, Permit)]


async def _wait_for_permit(
    tasks: list[asyncio.Task[Permit | NotRun]], patience_s: float | None
) -> None:
    """Waits until a task has a permit, all tasks are refused, or the patience ends."""
    try:
        async with asyncio.timeout(patience_s):
            pending = set(tasks)
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                if _list_permits(done):
                    return
    except TimeoutError:
        return
