"""How a region's surplus leaves it."""

from __future__ import annotations

import itertools

from briarfork.gateway.spillover import MAX_REMOTE_SHARE
from briarfork.gateway.spillover import RemoteShareController
from briarfork.gateway.spillover import SpilloverLimit

# The users' limit on the share of a region's requests that changes region between windows.
MAX_SHIFT = 0.15
WINDOW_S = 2.0
RATE = 50
OBJECTS = 24


def replay(pressed_until: float, end: float) -> list[float]:
    """Returns the remote part in each window, with a region that is full and then empty."""
    controller = RemoteShareController(initial=0.0, now=0.0)
    limit = SpilloverLimit()
    counts: dict[int, list[int]] = {}
    for step in range(int(end * RATE)):
        now = step / RATE
        region_full = now < pressed_until
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
    def test_full_region_sheds_its_surplus_gradually(self) -> None:
        """Replays half of a zone's callers moving at once: no window changes by over 0.15."""
        parts = replay(pressed_until=40.0, end=90.0)
        changes = [abs(after - before) for before, after in itertools.pairwise(parts)]
        assert max(changes) < MAX_SHIFT
        assert max(parts) > 0.5
        assert parts[-1] < 0.3

    def test_busy_regions_do_not_exchange_requests(self) -> None:
        """Guards against full regions that send each other what each could run itself."""
        controller = RemoteShareController(initial=0.2, now=0.0)
        for period in range(1, 20):
            for number in range(20):
                controller.record_local(region_full=number < 4)
                controller.record_remote(overloaded=False, utilization=0.95)
            controller.compute(period * 0.5)
        assert controller.compute(10.0) < 0.05

    def test_region_that_is_worse_off_goes_on(self) -> None:
        """Guards against a region with few servers that refuses most while others refuse some."""
        controller = RemoteShareController(initial=0.2, now=0.0)
        for period in range(1, 20):
            for number in range(20):
                controller.record_local(region_full=number < 12)
                controller.record_remote(overloaded=False, utilization=0.95)
            controller.compute(period * 0.5)
        assert controller.compute(10.0) > 0.4

    def test_the_same_objects_leave(self) -> None:
        """Guards against objects that every region has to keep in its caches."""
        controller = RemoteShareController(initial=0.5, now=0.0)
        left: dict[str, list[bool]] = {}
        for number in range(2400):
            key = f"o-{number % OBJECTS}"
            left.setdefault(key, []).append(controller.sends_remote(key, 0.0))
        parts = [sum(item) / len(item) for item in left.values()]
        assert sum(1 for part in parts if 0.2 < part < 0.8) <= OBJECTS / 4
        assert 0.45 < sum(parts) / len(parts) < 0.55

    def test_share_holds_for_one_object(self) -> None:
        """Guards against a region that moves at once because all callers want one object."""
        controller = RemoteShareController(initial=0.1, now=0.0)
        taken = sum(controller.sends_remote("popular", 0.0) for _ in range(1000))
        assert 90 <= taken <= 110

    def test_share_is_bounded(self) -> None:
        """Guards against a region that never learns that it has room again."""
        assert max(replay(pressed_until=200.0, end=200.0)) <= MAX_REMOTE_SHARE + 0.04 + 1 / RATE

    def test_full_servers_elsewhere_lower_the_share(self) -> None:
        """Guards against a surplus that overloads the region that it is sent to."""
        controller = RemoteShareController(initial=0.4, now=0.0)
        for _ in range(20):
            controller.record_local(region_full=True)
            controller.record_remote(overloaded=True, utilization=1.0)
        assert controller.compute(0.5) < 0.4
