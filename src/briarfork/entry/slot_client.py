"""Client side of the permit protocol: requests to slot owners in this process or on other VMs."""

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
from briarfork.hashing import shorten_text
from briarfork.pools import NO_REPORT
from briarfork.pools import Grant
from briarfork.pools import Refusal
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress
from briarfork.pools import SlotRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarfork.border.messages import Message
    from briarfork.configuration import RequestClass
    from briarfork.entry.owner_link import OwnerMessageCallback
    from briarfork.entry.slots import SlotKey
    from briarfork.entry.slots import SlotManager
    from briarfork.membership import Member
    from briarfork.pools import ServerReport
    from briarfork.requests import Deadline

# Delay before the next request after a change of owner, because VMs see the change at slightly
# different times.
OWNER_CHANGE_DELAY_S = 0.05
# Weight of the newest value in the moving average of a service's run times.
RUN_TIME_WEIGHT = 0.1
MS_PER_S = 1000.0


class SlotRefused(NotRun):
    """A request for a permit was refused.

    Attributes:
        wait_s: Expected time until a slot becomes free, 0 if unknown.
    """

    def __init__(self, kind: ErrorKind, detail: str, wait_s: float = 0.0) -> None:
        super().__init__(kind, detail)
        self.wait_s = wait_s


class SlotClientView(SlotView, ShareView, Protocol):
    """The configuration, servers and members that a requester of permits needs."""

    @property
    def members(self) -> Mapping[str, Member]:
        """All entry VMs by name."""

    def find_recent_limit(self, vm: str) -> float:
        """Returns a server's limit that may be news for the owner of its slots, else infinity."""


class SlotClient:
    """Requests permits from the owners of slots and releases them.

    While the owner of slots in this VM's zone is unreachable, permits come from this VM's share of
    these slots instead.
    """

    def __init__(self, view: SlotClientView, slot_manager: SlotManager) -> None:
        self._view = view
        self._slot_manager = slot_manager
        self._links: dict[str, OwnerLink] = {}
        self._link_added = asyncio.Event()
        self._held: dict[str, Permit] = {}
        self._permit_numbers = itertools.count(1)
        self._requester = Requester(view.settings.vm)
        self._permit_prefix = f"{view.settings.vm}-{time.time_ns():x}"
        self._local_shares = LocalShares(view)
        self.mean_run_times_s: dict[str, float] = {}
        self._faulty_addresses: set[tuple[str, int]] = set()
        self.on_owner_message: OwnerMessageCallback | None = None

    def count_held(self, service: str, site: str) -> int:
        """Returns the number of permits of a service at a site that this process holds."""
        return sum(permit.key == (service, site) for permit in self._held.values())

    def record_extra_bytes(self, address: str, port: int) -> None:
        """Makes the next success of a server a failure, because it sent bytes beside its responses.

        Its owner learns of the fault with a permit, and there is none for an idle connection.
        """
        self._faulty_addresses.add((address, port))

    def release(
        self, permit: Permit, outcome: Release, elapsed_s: float, report: ServerReport = NO_REPORT
    ) -> None:
        """Releases a permit and updates the mean run time of its service.

        Args:
            permit: The permit.
            outcome: How the request ended at the server.
            elapsed_s: Time from the grant of the permit to the end of the response, in seconds.
            report: What the server said with its response.
        """
        if outcome is Release.DONE and self._faulty_addresses:
            outcome = self._charge_fault(permit.server)
        if outcome is Release.DONE:
            mean_s = self.mean_run_times_s.get(permit.service, elapsed_s)
            self.mean_run_times_s[permit.service] = mean_s + RUN_TIME_WEIGHT * (elapsed_s - mean_s)
        # The owner may have changed since the permit was granted.
        permit = self._held.pop(permit.name, permit)
        if permit.owner == LOCAL_SHARE:
            self._local_shares.release(
                permit.key, permit.name, permit.server.name, outcome, elapsed_s, report
            )
        elif permit.owner == self._requester.vm:
            self._slot_manager.release(permit.key, permit.name, outcome, elapsed_s, report)
        elif permit.owner in self._links:
            message = PermitRelease(
                permit.name,
                *permit.key,
                outcome,
                elapsed_s * MS_PER_S,
                report.slowness,
                report.limit_per_s,
            )
            self._links[permit.owner].send_if_open(message)

    def _charge_fault(self, server: ServerAddress) -> Release:
        """Returns the outcome of a successful request at a server."""
        address = (server.address, server.port)
        if address not in self._faulty_addresses:
            return Release.DONE
        self._faulty_addresses.remove(address)
        return Release.FAILED

    def refresh(self) -> None:
        """Declares held permits to the new owners of their slots after a change of owner."""
        for permit in list(self._held.values()):
            owner = self._view.find_owner(*permit.key)
            if permit.is_local or owner is None or owner.vm == permit.owner:
                continue
            self._held[permit.name] = replace(permit, owner=owner.vm)
            if owner.vm == self._requester.vm:
                self._slot_manager.adopt(self._requester, self._build_declaration(permit))
            else:
                self._ensure_link(owner).send_if_open(self._build_declaration(permit))

    async def maintain_links(self) -> None:
        """Runs one task for each owner with a link, until the owner is no longer a member."""
        tasks: dict[str, asyncio.Task[None]] = {}
        async with asyncio.TaskGroup() as group:
            while True:
                self._link_added.clear()
                for vm in [vm for vm in tasks if vm not in self._view.members]:
                    tasks.pop(vm).cancel()
                    self._links.pop(vm, None)
                for vm, link in self._links.items():
                    if vm not in tasks:
                        tasks[vm] = group.create_task(link.run(self._list_held))
                try:
                    async with asyncio.timeout(self._view.settings.timeouts.heartbeat_s):
                        await self._link_added.wait()
                except TimeoutError:
                    continue

    async def request_permit(
        self, key: SlotKey, slot_request: SlotRequest, deadline: Deadline
    ) -> Permit | NotRun:
        """Requests a permit of one site, also from a new owner if the slots change hands.

        Args:
            key: The service and the site.
            slot_request: The request for a permit.
            deadline: Latest time of a decision.

        Returns:
            The permit, or the refusal as an error that is not raised.
        """
        while True:
            owner = self._view.find_owner(*key)
            if owner is None:
                return SlotRefused(
                    ErrorKind.NO_SERVER, f"no entry VM owns the slots of site {key[1]!r}"
                )
            try:
                decision = await self._request_from_owner(owner, key, slot_request, deadline)
                if isinstance(decision, Grant):
                    return Permit(
                        slot_request.permit,
                        *key,
                        slot_request.request_class,
                        decision.server,
                        owner.vm,
                        decision.limit_per_s,
                    )
                if not decision.moved:
                    return SlotRefused(ErrorKind.OVERLOADED, decision.reason, decision.wait_s)
                async with asyncio.timeout(deadline.remaining_s(time.monotonic())):
                    await asyncio.sleep(OWNER_CHANGE_DELAY_S)
            except OwnerUnreachable as error:
                if slot_request.hedge:
                    return SlotRefused(error.kind, error.detail)
                self._slot_manager.events.record(
                    Event.OWNER_UNREACHABLE, owner=owner.vm, reason=error.detail
                )
                permit = await self._acquire_from_share(key, slot_request, deadline)
                if permit is not None:
                    return permit
                if not deadline.remaining_s(time.monotonic()):
                    return SlotRefused(ErrorKind.OVERLOADED, "no slot became free in time")
            except TimeoutError:
                return SlotRefused(ErrorKind.OVERLOADED, "no slot became free in time")

    async def _request_from_owner(
        self, owner: Member, key: SlotKey, slot_request: SlotRequest, deadline: Deadline
    ) -> Grant | Refusal:
        wait_s = deadline.remaining_s(time.monotonic())
        if owner.vm == self._requester.vm:
            return await self._request_in_process(key, slot_request, wait_s)
        message = PermitRequest(
            permit=slot_request.permit,
            service=key[0],
            site=key[1],
            request_class=slot_request.request_class,
            wait_ms=int(wait_s * MS_PER_S),
            avoid=sorted(slot_request.avoid),
            hedge=slot_request.hedge,
            priority=slot_request.priority,
            object_key=slot_request.object_key,
            workspace=slot_request.workspace,
            weight=slot_request.weight,
        )
        decision = await self._ensure_link(owner).request_permit(message, wait_s)
        if isinstance(decision, PermitGrant):
            server = ServerAddress(decision.vm, decision.address, decision.port)
            return Grant(slot_request, server, decision.limit_per_s)
        assert isinstance(decision, PermitRefusal)
        return Refusal(slot_request, decision.reason, decision.moved, decision.wait_s)

    async def _request_in_process(
        self, key: SlotKey, slot_request: SlotRequest, wait_s: float
    ) -> Grant | Refusal:
        future: asyncio.Future[Grant | Refusal] = asyncio.get_running_loop().create_future()

        def resolve(decision: Grant | Refusal) -> None:
            if not future.done():
                future.set_result(decision)

        self._slot_manager.request_permit(key, slot_request, resolve)
        try:
            async with asyncio.timeout(wait_s):
                decision = await future
        except (TimeoutError, asyncio.CancelledError):
            self._slot_manager.cancel(key, slot_request.permit)
            raise
        return decision

    async def _acquire_from_share(
        self, key: SlotKey, slot_request: SlotRequest, deadline: Deadline
    ) -> Permit | NotRun | None:
        """Waits for a permit of the local share, up to the time for another try at the owner."""
        held = Counter(
            permit.server.name
            for permit in self._held.values()
            if permit.key == key and not permit.is_local
        )
        silence_s = self._view.settings.timeouts.permit_silence_s
        wait_s = min(silence_s, deadline.remaining_s(time.monotonic()))
        try:
            server = await self._local_shares.acquire(key, slot_request, held, wait_s)
        except NotRun as refusal:
            # The type distinguishes an unreachable site from one without free slots.
            return refusal
        if server is None:
            return None
        return Permit(slot_request.permit, *key, slot_request.request_class, server, LOCAL_SHARE)

    def track(self, permit: Permit) -> Permit:
        """Records a permit that is in use, to be declared to a new owner of its slots."""
        self._held[permit.name] = permit
        return permit

    def acquire_optimistically(
        self, key: SlotKey, slot_request: SlotRequest, server: ServerAddress
    ) -> Permit | None:
        """Uses a slot without a grant and declares the permit to the owner of the slots.

        Saves the round trip to an owner in another region, which counts the slot as used from the
        arrival of the declaration. Returns None if no owner is known.
        """
        owner = self._view.find_owner(*key)
        if owner is None:
            return None
        permit = Permit(slot_request.permit, *key, slot_request.request_class, server, owner.vm)
        declaration = self._build_declaration(permit, slot_request.object_key)
        if owner.vm == self._requester.vm:
            self._slot_manager.adopt(self._requester, declaration)
        else:
            self._ensure_link(owner).send_if_open(declaration)
        return self.track(permit)

    def build_slot_request(
        self,
        request_class: RequestClass,
        deadline: Deadline,
        avoid: frozenset[str],
        priority: int = 0,
        object_key: str = "",
        workspace: str = "",
        weight: float = 1.0,
    ) -> SlotRequest:
        """Returns a slot request under a new permit name."""
        return SlotRequest(
            permit=self.build_permit_name(),
            requester=self._requester,
            request_class=request_class,
            expires_at=deadline.expires_at,
            avoid=avoid,
            priority=priority,
            object_key=object_key,
            asked_at=time.monotonic(),
            workspace=shorten_text(workspace),
            weight=weight,
        )

    def build_permit_name(self) -> str:
        """Returns a unique name for a permit."""
        return f"{self._permit_prefix}-{next(self._permit_numbers)}"

    def open_link(self, owner: Member) -> OwnerLink:
        """Returns the stream to another VM, which is opened if there is none yet."""
        return self._ensure_link(owner)

    def _ensure_link(self, owner: Member) -> OwnerLink:
        link = self._links.get(owner.vm)
        if link is None:
            link = OwnerLink(owner, self._view.settings, self._pass_message)
            self._links[owner.vm] = link
            self._link_added.set()
        return link

    def _pass_message(self, owner: str, message: Message) -> None:
        if self.on_owner_message is not None:
            self.on_owner_message(owner, message)

    def _list_held(self, owner: str) -> list[PermitHeld]:
        return [
            self._build_declaration(permit)
            for permit in self._held.values()
            if permit.owner == owner
        ]

    def _build_declaration(self, permit: Permit, object_key: str = "") -> PermitHeld:
        return PermitHeld(
            permit.name,
            permit.service,
            permit.site,
            permit.server.name,
            permit.request_class,
            object_key,
            self._view.find_recent_limit(permit.server.name),
        )
