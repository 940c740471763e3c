"""Permits that an entry VM grants to itself, without the owner of the slots."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.errors import SiteUnreachable
from briarfork.pools import NO_REPORT
from briarfork.pools import Grant
from briarfork.pools import LocalPool
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable

    from briarfork.border.settings import Settings
    from briarfork.configuration import SiteCapacity
    from briarfork.entry.slots import SlotKey
    from briarfork.entry.view import EntryView
    from briarfork.membership import Member
    from briarfork.pools import Release
    from briarfork.pools import ServerAddress
    from briarfork.pools import ServerReport
    from briarfork.pools import SlotRequest


def divide_slots(servers: list[str], slots: int, sharers: list[str], vm: str) -> dict[str, int]:
    """Returns the number of slots of each server that one VM may use without the owner.

    The slots of all servers are assigned to the VMs round robin, so that the shares of all VMs add
    up to the slots.

    Args:
        servers: Names of the servers.
        slots: Slots of one server.
        sharers: Names of the VMs that share the slots.
        vm: The VM whose share is returned.

    Example:
        >>> [divide_slots(["s", "t"], 3, ["a", "b"], vm) for vm in ("a", "b")]
        [{'s': 2, 't': 1}, {'s': 1, 't': 2}]
    """
    if vm not in sharers:
        return {}
    own = sharers.index(vm)
    share = dict.fromkeys(servers, 0)
    for number, server in enumerate(server for server in servers for _ in range(slots)):
        if number % len(sharers) == own:
            share[server] += 1
    return share


class ShareView(Protocol):
    """The configuration, servers and members that local shares need."""

    @property
    def settings(self) -> Settings:
        """Settings of this VM."""

    def find_zone(self, site: str) -> str:
        """Returns the availability zone of a site."""

    def find_capacity(self, key: SlotKey) -> tuple[SiteCapacity, bool]:
        """Returns the capacity of a server at a site, and whether both classes are served."""

    def list_servers(self, service: str, site: str) -> list[ServerAddress]:
        """Returns the servers that accept new requests."""

    def list_zone_entries(self, zone: str) -> list[Member]:
        """Returns the entry VMs of a zone that can own slots."""

    def find_limit(self, vm: str) -> float:
        """Returns the requests per second that a server accepts, infinite if it names no limit."""


class LocalShares:
    """This VM's share of the slots of its own zone, used while their owner is unreachable."""

    def __init__(self, view: ShareView) -> None:
        self._view = view
        self._queues: dict[SlotKey, PermitQueue] = {}
        self._futures: dict[str, asyncio.Future[Grant | Refusal]] = {}

    async def acquire(
        self, key: SlotKey, slot_request: SlotRequest, held: Counter[str], wait_s: float
    ) -> ServerAddress | None:
        """Waits for a permit from the share; returns None if none is granted in time.

        The requests that waited for the owner all arrive at once when it is found unreachable, so
        they queue for the share.

        Args:
            key: The service and the site.
            slot_request: The request for a permit.
            held: Permits that owners granted to this VM at each server; they count in the share.
            wait_s: How long to wait.

        Raises:
            NotRun: If the site is in another zone or the expected wait is too long.
        """
        queue = self._refresh_queue(key, held)
        future: asyncio.Future[Grant | Refusal] = asyncio.get_running_loop().create_future()
        self._futures[slot_request.permit] = future
        try:
            self._resolve_futures(queue.submit(slot_request, time.monotonic()))
            async with asyncio.timeout(wait_s):
                decision = await future
        except TimeoutError:
            queue.cancel(slot_request.permit, time.monotonic())
            return None
        except asyncio.CancelledError:
            queue.cancel(slot_request.permit, time.monotonic())
            raise
        finally:
            self._futures.pop(slot_request.permit, None)
        if isinstance(decision, Refusal):
            raise NotRun(ErrorKind.OVERLOADED, decision.reason)
        return decision.server

    def release(
        self,
        key: SlotKey,
        permit: str,
        server: str,
        how: Release,
        elapsed_s: float,
        report: ServerReport = NO_REPORT,
    ) -> None:
        """Returns a permit of the share.

        The server's limit stays the share of what this VM knows: the report would set it to the
        limit for all VMs, and a missing one would end it.
        """
        now = time.monotonic()
        queue = self._queues[key]
        sharers = self._list_sharers()
        self._limit_shares(queue, [server], sharers, now)
        limit_per_s = self._compute_limit(server, sharers)
        queue.release(permit, how, elapsed_s, now, replace(report, limit_per_s=limit_per_s))
        self._resolve_futures(queue.poll(now))

    def _refresh_queue(self, key: SlotKey, held: Counter[str]) -> PermitQueue:
        service, site = key
        local_zone = self._view.settings.zone
        if self._view.find_zone(site) != local_zone:
            raise SiteUnreachable(f"the owner of the slots of {site!r} is unreachable")
        capacity, mixed = self._view.find_capacity(key)
        queue = self._queues.get(key)
        if queue is None:
            queue = PermitQueue(capacity, mixed, random.Random())
            self._queues[key] = queue
        queue.set_capacity(capacity, mixed)
        servers = self._view.list_servers(service, site)
        queue.set_servers(servers)
        sharers = self._list_sharers()
        share = divide_slots(
            sorted(server.name for server in servers),
            capacity.slots,
            sharers,
            self._view.settings.vm,
        )
        queue.set_shares({vm: max(0, slots - held[vm]) for vm, slots in share.items()})
        self._limit_shares(queue, share, sharers, time.monotonic())
        return queue

    def _limit_shares(
        self, queue: PermitQueue, servers: Iterable[str], sharers: list[str], now: float
    ) -> None:
        own = self._view.settings.vm
        phase = sharers.index(own) / len(sharers) if own in sharers else 0.0
        for server in servers:
            limit_per_s = self._compute_limit(server, sharers)
            queue.limit_rate(server, limit_per_s, now, share_phase=phase)

    def _compute_limit(self, server: str, sharers: list[str]) -> float:
        """Returns this VM's share of a server's limit in requests per second."""
        return self._view.find_limit(server) / max(1, len(sharers))

    def _list_sharers(self) -> list[str]:
        """Returns the names of the VMs that share the slots of this zone, in order."""
        entries = self._view.list_zone_entries(self._view.settings.zone)
        return sorted({member.vm for member in entries})

    def _resolve_futures(self, decisions: list[Grant | Refusal]) -> None:
        for decision in decisions:
            future = self._futures.get(decision.request.permit)
            if future is not None and not future.done():
                future.set_result(decision)


class LocalSelector:
    """Selects servers for services whose selection policy needs no owner of slots."""

    def __init__(self, view: EntryView) -> None:
        self._view = view
        self._pools: dict[SlotKey, LocalPool] = {}

    def select(self, key: SlotKey, slot_request: SlotRequest, policy: str) -> ServerAddress:
        """Selects a server by the policy.

        Raises:
            NotRun: If the site has no server.
        """
        pool = self._pools.get(key)
        if pool is None:
            pool = LocalPool(random.Random())
            self._pools[key] = pool
        pool.set_servers(self._view.list_servers(*key))
        server = pool.choose(
            policy,
            slot_request.permit,
            slot_request.request_class,
            slot_request.avoid,
            time.monotonic(),
        )
        if server is None:
            raise NotRun(ErrorKind.NO_SERVER, f"site {key[1]!r} has no server")
        return server

    def release(self, key: SlotKey, permit: str) -> None:
        """Records the end of a request; permits of other kinds are ignored."""
        if key in self._pools:
            self._pools[key].release(permit)
