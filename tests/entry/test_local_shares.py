"""Shares of slots that VMs use while the owner of the slots does not respond."""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from briarfork.configuration import RequestClass
from briarfork.configuration import SiteCapacity
from briarfork.entry import local
from briarfork.entry.local import LocalShares
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress
from briarfork.pools import ServerReport
from briarfork.pools import SlotRequest

KEY = ("s", "a")
VMS = 12
LIMIT_PER_S = 0.5
WINDOW_S = 4.0
STEP_S = 0.1
DURATION_S = 12.0
# Half of the limit, so that a server with a low limit is still used.
MIN_REQUESTS = 0.5 * LIMIT_PER_S * DURATION_S
# The platform allows 1.5 times the limit and 5 requests more in a window.
MAX_REQUESTS = 1.5 * LIMIT_PER_S * WINDOW_S + 5


class Zone:
    """A zone of VMs that know the limit of its only server."""

    limit_per_s = LIMIT_PER_S

    def __init__(self, vms: int) -> None:
        self.vms = [f"vm-{number}" for number in range(vms)]

    def build_shares(self, vm: str) -> LocalShares:
        view: Any = SimpleNamespace(
            settings=SimpleNamespace(vm=vm, zone="a"),
            find_zone=lambda site: site,
            find_capacity=lambda key: (SiteCapacity(VMS, 100), False),
            list_servers=lambda service, site: [ServerAddress("i", "127.0.0.1", 80)],
            list_zone_entries=lambda zone: [SimpleNamespace(vm=name) for name in self.vms],
            find_limit=lambda server: self.limit_per_s,
        )
        return LocalShares(view)


class TestLimits:
    @pytest.mark.parametrize("vms", [2, VMS])
    async def test_shares_together_keep_the_limit_of_a_server(
        self, vms: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a limit that ends with the first response, and against added bursts."""
        zone, clock = Zone(vms), SimpleNamespace(now=100.0)
        monkeypatch.setattr(local, "time", SimpleNamespace(monotonic=lambda: clock.now))
        shares = [zone.build_shares(vm) for vm in zone.vms]
        sent: list[float] = []
        for step in range(round(DURATION_S / STEP_S)):
            clock.now = 100.0 + step * STEP_S
            for number, share in enumerate(shares):
                permit = f"{number}-{step}"
                request = SlotRequest(permit, Requester("vm"), RequestClass.SHORT, clock.now + 1.0)
                if await share.acquire(KEY, request, Counter(), 0.0) is not None:
                    sent.append(clock.now)
                    share.release(KEY, permit, "i", Release.DONE, 0.01)
        busiest = max(sum(start <= at < start + WINDOW_S for at in sent) for start in sent)
        assert busiest <= MAX_REQUESTS
        assert len(sent) >= MIN_REQUESTS

    async def test_share_that_was_not_used_adds_no_burst(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests saved up by all VMs between two outages of the owner."""
        zone, clock = Zone(VMS), SimpleNamespace(now=100.0)
        monkeypatch.setattr(local, "time", SimpleNamespace(monotonic=lambda: clock.now))
        shares = [zone.build_shares(vm) for vm in zone.vms]
        sent = 0
        for started in (100.0, 1000.0):
            sent = 0
            for step in range(round(WINDOW_S / STEP_S)):
                clock.now = started + step * STEP_S
                for number, share in enumerate(shares):
                    permit = f"{number}-{clock.now}"
                    request = SlotRequest(
                        permit, Requester("vm"), RequestClass.SHORT, clock.now + 1.0
                    )
                    if await share.acquire(KEY, request, Counter(), 0.0) is not None:
                        sent += 1
                        share.release(KEY, permit, "i", Release.DONE, 0.01)
        assert 1 <= sent <= MAX_REQUESTS

    async def test_report_reaches_the_share_without_its_limit(self) -> None:
        """Guards against slow servers that a share selects as if they were fast."""
        zone = Zone(2)
        zone.limit_per_s = 100.0
        shares = zone.build_shares("vm-1")
        request = SlotRequest("p", Requester("vm"), RequestClass.SHORT, math.inf)
        task = asyncio.create_task(shares.acquire(KEY, request, Counter(), 1.0))
        await asyncio.sleep(0.05)
        other = SlotRequest("q", Requester("vm"), RequestClass.SHORT, math.inf)
        await shares.acquire(KEY, other, Counter(), 0.0)
        assert await task is not None
        shares.release(KEY, "p", "i", Release.DONE, 0.01, ServerReport(0.0, 0, 3.0, 100.0))
        server = shares._queues[KEY]._servers["i"]
        assert (server.get_slowness(time.monotonic()), server.limit_per_s) == (3.0, 50.0)

    async def test_limit_ends_when_the_server_no_longer_names_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a share that stays limited for ever."""
        zone = Zone(1)
        shares = zone.build_shares("vm-0")
        granted = 0
        zone.limit_per_s = math.inf
        for number in range(5):
            request = SlotRequest(f"{number}", Requester("vm"), RequestClass.SHORT, math.inf)
            granted += await shares.acquire(KEY, request, Counter(), 0.0) is not None
            shares.release(KEY, f"{number}", "i", Release.DONE, 0.01)
        assert granted == 5
