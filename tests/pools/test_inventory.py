"""Cost of finding the servers of a zone, and what servers say about themselves."""

from __future__ import annotations

import math
import timeit

from briarfork.pools import Instance
from briarfork.pools import Inventory
from briarfork.pools import ServerReport

ZONES = 100
SERVERS_PER_ZONE = 10
# Each measurement is the fastest of several, because other processes delay some of them.
REPEATS = 9
CALLS = 50
# A look-up that goes over all servers takes about as many times as long as there are zones.
MAX_COST_RATIO = 10.0
ENTRY_TTL_S = 4.5


def build_inventory(zones: int) -> Inventory:
    inventory = Inventory()
    for zone in range(zones):
        for number in range(SERVERS_PER_ZONE):
            inventory.put(Instance(f"i-{zone}-{number}", "s", f"z-{zone}", "127.0.0.1", 1, 2), 0.0)
    return inventory


def build_server(started_at_ms: int = 0) -> Instance:
    return Instance("i-0-0", "s", "z-0", "127.0.0.1", 1, 2, started_at_ms=started_at_ms)


def measure_listing_s(inventory: Inventory) -> float:
    timer = timeit.Timer(lambda: inventory.list_usable("s", "z-0"))
    return min(timer.repeat(REPEATS, CALLS))


class TestCostOfListing:
    def test_listing_of_a_zone_does_not_grow_with_the_fleet(self) -> None:
        """Guards against requests and changes that go over all servers of a large fleet."""
        small, large = build_inventory(1), build_inventory(ZONES)
        assert len(large.list_usable("s", "z-0")) == SERVERS_PER_ZONE
        assert measure_listing_s(large) <= MAX_COST_RATIO * measure_listing_s(small)


class TestChangesOfAServer:
    def test_listing_follows_each_change(self) -> None:
        """Guards against a listing that is kept although a server has changed."""
        inventory = build_inventory(1)
        inventory.put(Instance("i-0-0", "s", "z-0", "127.0.0.1", 1, 2, draining=True), 0.0)
        assert len(inventory.list_usable("s", "z-0")) == SERVERS_PER_ZONE - 1
        inventory.put(Instance("i-0-0", "t", "z-1", "127.0.0.1", 1, 2), 0.0)
        assert [item.name for item in inventory.list_usable("t", "z-1")] == ["i-0-0"]
        inventory.remove("i-0-1", store_healthy=True, now=0.0, recovered_at=0.0)
        assert len(inventory.list_usable("s", "z-0")) == SERVERS_PER_ZONE - 2
        inventory.evacuate({"z-0"}, cold_s=3.0, now=0.0)
        assert inventory.list_zones("s") == set()
        inventory.evacuate(set(), cold_s=3.0, now=1.0)
        assert inventory.list_zones("s") == {"z-0"}


class TestLeavingServers:
    def test_server_that_says_that_it_leaves_is_not_used(self) -> None:
        """Guards against requests to a server whose entry does not say yet that it drains."""
        inventory = build_inventory(1)
        inventory.record_report("i-0-0", ServerReport(is_leaving=True), 0.0)
        assert "i-0-0" not in [item.name for item in inventory.list_usable("s", "z-0")]
        assert inventory.has_left(build_server().to_server_address())

    def test_later_entry_of_the_same_process_does_not_bring_it_back(self) -> None:
        """Guards against a heartbeat that was sent before the server began to leave."""
        inventory = build_inventory(1)
        inventory.record_report("i-0-0", ServerReport(is_leaving=True), 0.0)
        inventory.put(build_server(), 0.0)
        assert inventory.has_left(build_server().to_server_address())

    def test_report_before_the_first_entry_counts(self) -> None:
        """Guards against a VM that learns of a server from another VM and of its leaving first."""
        inventory = Inventory()
        inventory.record_report("i-0-0", ServerReport(is_leaving=True), 0.0)
        inventory.put(build_server(), 0.0)
        assert inventory.list_usable("s", "z-0") == []

    def test_report_is_kept_until_the_first_entry(self) -> None:
        """Guards against a report that is forgotten before the entry of its server arrives."""
        inventory = Inventory()
        inventory.record_report("i-0-0", ServerReport(is_leaving=True), 0.0)
        inventory.expire(1.0, ENTRY_TTL_S)
        inventory.put(build_server(), 0.0)
        assert inventory.list_usable("s", "z-0") == []

    def test_old_limit_is_not_news_for_owners(self) -> None:
        """Guards against a VM that tells the owner of a limit that has ended since."""
        inventory = build_inventory(1)
        inventory.record_report("i-0-0", ServerReport(limit_per_s=2.0), 0.0)
        assert inventory.find_recent_limit("i-0-0", 1.0) == inventory.find_limit("i-0-0", 1.0)
        assert inventory.find_recent_limit("i-0-0", 10.0) == math.inf
        assert inventory.find_limit("i-0-0", 10.0) == 2.0
        assert inventory.find_limit("i-0-0", 100.0) == math.inf

    def test_server_that_was_started_again_has_no_limit(self) -> None:
        """Guards against a limit of an earlier process of the server."""
        inventory = build_inventory(1)
        inventory.record_report("i-0-0", ServerReport(limit_per_s=2.0, pause_s=9.0), 0.0)
        inventory.put(build_server(), 0.0)
        assert inventory.find_limit("i-0-0", 1.0) == 2.0
        inventory.put(build_server(started_at_ms=7), 0.0)
        assert inventory.find_limit("i-0-0", 1.0) == math.inf
        assert not inventory.list_paused(1.0)

    def test_server_that_was_started_again_is_used(self) -> None:
        """Guards against a server that is left out for good after a restart under its name."""
        inventory = build_inventory(1)
        inventory.record_report("i-0-0", ServerReport(is_leaving=True), 0.0)
        inventory.put(build_server(started_at_ms=7), 0.0)
        assert len(inventory.list_usable("s", "z-0")) == SERVERS_PER_ZONE
