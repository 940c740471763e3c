"""Tests of the control of traffic to other regions."""

from __future__ import annotations

import itertools

from briarfork.gateway.spillover import MAX_REMOTE_SHARE
from briarfork.gateway.spillover import RemoteShareController
from briarfork.gateway.spillover import SpilloverLimit

# Limit on the share of a region's requests that changes region between two windows.
MAX_SHARE_CHANGE = 0.15
WINDOW_S = 2.0
REQUESTS_PER_S = 50
OBJECTS = 24


def simulate(full_until: float, end: float) -> list[float]:
    """Returns the remote share in each window for a region that is full and then has free slots."""
    controller = RemoteShareController(initial=0.0, now=0.0)
    limit = SpilloverLimit()
    counts: dict[int, list[int]] = {}
    for step in range(int(end * REQUESTS_PER_S)):
        now = step / REQUESTS_PER_S
        region_full = now < full_until
        limit.record_request(now)
        remote = controller.sends_remote(f"{step % OBJECTS}", now)
        if not remote:
            controller.record_local(region_full)
            if region_full and limit.allows_spillover(now):
                limit.record_spillover(now)
                remote = True
        counts.setdefault(int(now / WINDOW_S), []).append(remote)
    return [sum(window) / len(window) for window in counts.values()]


class TestRemoteShare:
    def test_full_region_sends_its_surplus_gradually(self) -> None:
        """Guards against abrupt shifts of traffic when half of a zone's callers move at once."""
        shares = simulate(full_until=40.0, end=90.0)
        changes = [abs(after - before) for before, after in itertools.pairwise(shares)]
        assert max(changes) < MAX_SHARE_CHANGE
        assert max(shares) > 0.5
        assert shares[-1] < 0.3

    def test_busy_regions_do_not_exchange_requests(self) -> None:
        """Guards against full regions that send each other requests each could run itself."""
        controller = RemoteShareController(initial=0.2, now=0.0)
        for period in range(1, 20):
            for number in range(20):
                controller.record_local(region_full=number < 4)
                controller.record_remote(overloaded=False, utilization=0.95)
            controller.compute(period * 0.5)
        assert controller.compute(10.0) < 0.05

    def test_fuller_region_raises_its_share_while_others_are_busy(self) -> None:
        """Guards against a region with few servers that refuses most while others refuse some."""
        controller = RemoteShareController(initial=0.2, now=0.0)
        for period in range(1, 20):
            for number in range(20):
                controller.record_local(region_full=number < 12)
                controller.record_remote(overloaded=False, utilization=0.95)
            controller.compute(period * 0.5)
        assert controller.compute(10.0) > 0.4

    def test_remote_requests_concern_the_same_objects(self) -> None:
        """Guards against every region having to cache all objects."""
        controller = RemoteShareController(initial=0.5, now=0.0)
        decisions: dict[str, list[bool]] = {}
        for number in range(2400):
            key = f"o-{number % OBJECTS}"
            decisions.setdefault(key, []).append(controller.sends_remote(key, 0.0))
        shares = [sum(item) / len(item) for item in decisions.values()]
        assert sum(1 for share in shares if 0.2 < share < 0.8) <= OBJECTS / 4
        assert 0.45 < sum(shares) / len(shares) < 0.55

    def test_share_applies_to_a_single_object(self) -> None:
        """Guards against sending all requests elsewhere at once if all concern one object."""
        controller = RemoteShareController(initial=0.1, now=0.0)
        remote_requests = sum(controller.sends_remote("popular", 0.0) for _ in range(1000))
        assert 90 <= remote_requests <= 110

    def test_share_is_bounded(self) -> None:
        """Guards against a region that sends everything away and never sees its free slots."""
        assert (
            max(simulate(full_until=200.0, end=200.0))
            <= MAX_REMOTE_SHARE + 0.04 + 1 / REQUESTS_PER_S
        )

    def test_overloaded_remote_servers_lower_the_share(self) -> None:
        """Guards against a surplus that overloads the region that receives it."""
        controller = RemoteShareController(initial=0.4, now=0.0)
        for _ in range(20):
            controller.record_local(region_full=True)
            controller.record_remote(overloaded=True, utilization=1.0)
        assert controller.compute(0.5) < 0.4
