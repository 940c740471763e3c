"""Unit tests of the router's choice of a site after the loss of a site."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from briarfork.border.messages import Load
from briarfork.entry.routing import Router
from briarfork.errors import SiteUnreachable
from briarfork.requests import Deadline
from briarfork.timeline import Timeline
from tests.steering.plans import CLIENTS
from tests.steering.plans import SERVICE
from tests.steering.plans import build_base
from tests.steering.plans import build_service
from tests.steering.plans import build_sites
from tests.steering.plans import render
from tests.steering.plans import schedule

if TYPE_CHECKING:
    import pytest

    from briarfork.steering import Steering

NAME = f"services/{SERVICE}"


class StubPermitClient:
    """Grants permits at all sites but one, and records the requested sites."""

    def __init__(self, unreachable: str) -> None:
        self.requested_sites: list[str] = []
        self._unreachable = unreachable

    def count_held(self, service: str, site: str) -> int:
        return 0

    async def acquire(self, service: str, site: str, *_: Any) -> Any:
        self.requested_sites.append(site)
        if site == self._unreachable:
            raise SiteUnreachable("silent")
        return SimpleNamespace(site=site)


def build_router(
    steering: Steering, permits: StubPermitClient, servers: dict[str, list[str]]
) -> Router:
    view = SimpleNamespace(
        settings=SimpleNamespace(vm="vm", zone="a"),
        require_steering=lambda: steering,
        list_servers=lambda service, site: servers.get(site, []),
        find_owner=lambda *_: "owner",
    )
    metrics = SimpleNamespace(count=lambda *_: None)
    return Router(cast("Any", view), cast("Any", permits), cast("Any", metrics))


class TestMovedRequest:
    async def test_falls_back_without_trying_a_lost_receiver_each_time(self) -> None:
        """Guards against requests that each wait for a lost receiving site of a shift."""
        timeline = Timeline()
        edits = {"base": build_base(["a", "b"], 1), NAME: build_service({"a": 1}, 9e5, 6000)}
        schedule(timeline, 0, {**edits, **build_sites("a", "b")})
        schedule(timeline, 10, {NAME: build_service({"b": 1}, 9e5, 6000)})
        steering = render(timeline, 30, time.monotonic() - 10)
        permits = StubPermitClient("b")
        router = build_router(steering, permits, {"a": ["server"], "b": ["server"]})
        call = SimpleNamespace(
            request=SimpleNamespace(remote="10.0.0.1"),
            path="/x",
            deadline=Deadline(time.monotonic() + 60),
        )
        service = steering.plan.services[SERVICE]
        sites = [
            (await router.acquire(cast("Any", call), service, frozenset())).site for _ in range(200)
        ]
        assert set(sites) == {"a"}
        # 2% of the requests try a lost site, as did the first one, which detected the loss.
        assert permits.requested_sites.count("b") <= 5


class TestLookup:
    def test_returns_clients_to_a_recovered_site_gradually(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a region that gets all of its clients back within one time-to-live."""
        now = 100.0
        monkeypatch.setattr("briarfork.entry.routing.time.monotonic", lambda: now)
        timeline = Timeline()
        edits = {"base": build_base(["a", "b"], 1), NAME: build_service({"a": 1, "b": 1e-9}, 9, 9)}
        schedule(timeline, 0, {**edits, **build_sites("a", "b")})
        servers = {"b": ["server"] * 3}
        steering = render(timeline, 1, 0)
        router = build_router(steering, StubPermitClient(""), servers)

        def measure_share() -> float:
            # The lost site and the other one are in different regions.
            router.accept_load([Load(SERVICE, f"region:{steering.plan.find_region('b')}", 0, 9, 0)])
            sites = [router.find_lookup_site(SERVICE, client) for client in CLIENTS[:500]]
            return sites.count("a") / 500

        assert measure_share() == 0.0
        servers["a"] = ["server"]
        shares = []
        for _ in range(80):
            now += 0.5
            shares.append(measure_share())
        assert shares == sorted(shares)
        # All clients return in 30 s; a tenth more allows for the spread of the groups.
        assert shares[14] <= 0.25 + 0.1
        assert shares[-1] == 1.0
