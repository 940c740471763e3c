"""Quotas of workspaces over all VMs: grants credit to requests and runs this VM's owners."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import CreditAnswer
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.gateway.quota_links import CreditLinks
from briarfork.gateway.quota_owners import DECISION_S
from briarfork.gateway.quota_owners import RENEW_S
from briarfork.gateway.quota_owners import FleetCreditOwner
from briarfork.gateway.quota_owners import ZoneCreditOwner
from briarfork.gateway.quota_requester import UNDECIDED
from briarfork.gateway.quota_requester import CreditRequester
from briarfork.hashing import hash_text
from briarfork.workspaces import FleetSize

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from briarfork.border.events import EventLog
    from briarfork.border.messages import CreditAsk
    from briarfork.border.messages import Message
    from briarfork.gateway.permits import GatewayPermits
    from briarfork.gateway.quota_owners import Reply
    from briarfork.gateway.quota_requester import Decision
    from briarfork.gateway.view import GatewayView
    from briarfork.workspaces import QuotaBounds
    from briarfork.workspaces import Workspace

# Workspaces are spread over as many owners, so that the loss of one concerns a part of them.
QUOTA_SHARDS = 4
# Retry-After of a request that is refused because no owner decided in time.
UNDECIDED_WAIT_S = 0.2
MS_PER_S = 1000.0


class QuotaRefused(NotRun):
    """A request that its workspace's quota does not admit now.

    Attributes:
        wait_s: Time after which to try again.
    """

    def __init__(self, kind: ErrorKind, detail: str, wait_s: float) -> None:
        super().__init__(kind, detail)
        self.wait_s = wait_s


@dataclass(slots=True)
class QuotaCredit:
    """Credit for one request."""

    quotas: Quotas
    workspace: str
    granted_at: float
    source: int
    is_given_back: bool = False

    def give_back(self) -> None:
        """Returns the credit of a request that no server has run; further calls do nothing."""
        if not self.is_given_back:
            self.is_given_back = True
            self.quotas.give_back(self)


class _Shard:
    """The roles of this VM for the workspaces of one shard."""

    def __init__(self, number: int, quotas: Quotas) -> None:
        links, events = quotas.links, quotas.events
        self.requester = CreditRequester(
            number, links, events, quotas.read_clock, quotas.bounds.max_return_age_s
        )
        self.zone = ZoneCreditOwner(number, quotas.bounds, links, events)
        self.fleet = FleetCreditOwner(number, quotas.bounds)


def read_clock() -> float:
    """Returns the time since the machine started, also while it was suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def find_shard(workspace: str) -> int:
    """Returns the shard of a workspace.

    Example:
        >>> 0 <= find_shard("acme") < QUOTA_SHARDS
        True
    """
    return hash_text(workspace) % QUOTA_SHARDS


class Quotas:
    """Implements `QuotaGate` and answers other VMs that ask this one for credit.

    Attributes:
        observe_decision: Called with the name of a workspace and the decision on a request.
    """

    def __init__(
        self,
        view: GatewayView,
        permits: GatewayPermits,
        events: EventLog,
        bounds: QuotaBounds,
        read_clock: Callable[[], float] = read_clock,
    ) -> None:
        self.bounds = bounds
        self.events = events
        self.read_clock = read_clock
        self.links = CreditLinks(view, permits, self._handle_own_ask)
        self.observe_decision: Callable[[str, str], None] = lambda workspace, decision: None
        self._view = view
        self._fleet_size = FleetSize()
        self._limits: Mapping[str, Workspace] = {}
        self._has_limits = asyncio.Event()
        self._shards = [_Shard(number, self) for number in range(QUOTA_SHARDS)]

    async def acquire(self, workspace: Workspace) -> QuotaCredit:
        """Returns credit for one request.

        Raises:
            NotRun: If the quota is used up, or nothing is known of it in time.
        """
        decision = await self._request_decision(workspace.name)
        if decision.granted:
            self.observe_decision(workspace.name, "granted")
            return QuotaCredit(self, workspace.name, self.read_clock(), decision.source)
        if decision.wait_s > 0.0:
            self.observe_decision(workspace.name, "refused")
            detail = f"quota of {workspace.name!r}: {workspace.rate_per_s:g} per second is used up"
            error = QuotaRefused(ErrorKind.TOO_MANY_REQUESTS, detail, decision.wait_s)
        else:
            self.observe_decision(workspace.name, "undecided")
            detail = f"quota of {workspace.name!r}: no owner decided in time"
            error = QuotaRefused(ErrorKind.OVERLOADED, detail, UNDECIDED_WAIT_S)
        self.events.record(
            Event.QUOTA_REFUSED,
            workspace=workspace.name,
            outcome=error.kind.value,
            wait_ms=round(MS_PER_S * error.wait_s),
        )
        raise error

    async def _request_decision(self, workspace: str) -> Decision:
        asked_at = self.read_clock()
        future = self._shards[find_shard(workspace)].requester.request(workspace)
        try:
            async with asyncio.timeout(DECISION_S):
                return await future
        except (TimeoutError, asyncio.CancelledError) as error:
            # The decision can come in the iteration of the event loop in which the wait ends.
            if future.done() and not future.cancelled() and future.result().granted:
                QuotaCredit(self, workspace, asked_at, future.result().source).give_back()
            if isinstance(error, TimeoutError):
                return UNDECIDED
            raise

    def give_back(self, credit: QuotaCredit) -> None:
        """Returns credit if it is recent enough."""
        if self.read_clock() - credit.granted_at <= self.bounds.max_return_age_s:
            shard = self._shards[find_shard(credit.workspace)]
            shard.requester.give_back(credit.workspace, credit.source)

    def refresh(self) -> None:
        """Applies the limits of a new configuration."""
        limits = self._view.list_limits()
        if limits is self._limits:
            # Called after each change of servers as well, which changes no limit.
            return
        self._limits = limits
        parts: list[dict[str, Workspace]] = [{} for _ in self._shards]
        for name, workspace in limits.items():
            parts[find_shard(name)][name] = workspace
        for shard, part in zip(self._shards, parts, strict=True):
            shard.zone.set_limits(part)
            shard.fleet.pool.set_limits(part)
        if limits:
            self._has_limits.set()
        else:
            self._has_limits.clear()

    async def run(self) -> None:
        """Keeps this VM attached to the owners, while a workspace has a quota."""
        while True:
            await self._has_limits.wait()
            for shard in self._shards:
                now = self.read_clock()
                # The owner's part comes first, so that this VM's own message finds it attached.
                shard.fleet.pool.update(self._count_vms(now), now)
                shard.zone.maintain(now)
                shard.requester.maintain(now)
                await asyncio.sleep(RENEW_S / len(self._shards))

    def handle_ask(self, peer: str, message: CreditAsk, reply: Reply) -> None:
        """Answers another VM, now or later."""
        if message.shard >= len(self._shards):
            return
        now = self.read_clock()
        shard = self._shards[message.shard]
        owner = shard.fleet if message.fleet else shard.zone
        owner.handle_ask(peer, message, reply, self._count_vms(now), now)

    def handle_answer(self, owner: str, message: Message) -> None:
        """Receives the answer of an owner."""
        if not isinstance(message, CreditAnswer) or message.shard >= len(self._shards):
            return
        shard = self._shards[message.shard]
        receiver = shard.zone if message.fleet else shard.requester
        receiver.handle_answer(owner, message, self.read_clock())

    def _handle_own_ask(self, message: CreditAsk) -> None:
        def reply(answer: CreditAnswer) -> None:
            self.handle_answer(self.links.vm, answer)

        self.handle_ask(self.links.vm, message, reply)

    def _count_vms(self, now: float) -> int:
        return self._fleet_size.update(self._view.count_serving(), now)
