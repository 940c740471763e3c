"""Tests of the gateway's view of configuration, zones and servers."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from briarfork.configuration import RequestClass
from briarfork.configuration import SiteCapacity
from briarfork.gateway.spillover import estimate_remote_share
from briarfork.gateway.zones import list_zones
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.pools import Grant
from briarfork.pools import Inventory
from briarfork.pools import PermitQueue
from briarfork.requests import Deadline
from briarfork.routing import RequestKind
from tests.gateway.harness import ROUTE
from tests.gateway.harness import build_gateway
from tests.gateway.harness import build_instance
from tests.gateway.harness import build_table

ENTRY_TTL_S = 4.5
SERVERS = [build_instance("i-a", "a"), build_instance("i-b", "b"), build_instance("i-c", "c")]


def build_member(vm: str, zone: str) -> Member:
    ports = {"entry": 1, "permits": 2}
    return Member(vm, "127.0.0.1", zone, 1, 1, MemberState.LIVE, ports, serving=True)


class TestConfiguration:
    def test_older_version_is_not_applied(self) -> None:
        """Guards against a late read that reverts the routes of a running VM."""
        gateway = build_gateway()
        gateway.apply_route_table(build_table(ROUTE, version=5))
        gateway.apply_route_table(build_table(version=4))
        assert gateway.view.require_route_table().find("h", "/a/x") == ROUTE

    def test_longest_prefix_wins(self) -> None:
        """Guards against running a request at the service of a shorter prefix."""
        longer = replace(ROUTE, name="longer", prefix="/a/b/")
        table = build_table(ROUTE, longer)
        assert table.find("h", "/a/b/c") == longer
        assert table.find("h", "/a/bc") == ROUTE
        assert table.find("h", "/a") is None
        assert table.find("other", "/a/x") is None


class TestZones:
    def test_route_uses_only_its_allowed_regions(self) -> None:
        """Guards against running a request outside the allowed regions of its route."""
        route = replace(ROUTE, regions=frozenset({"south"}))
        gateway = build_gateway(route, SERVERS)
        assert list_zones(gateway.view, route, "s", "o") == ([], ["c"])

    def test_download_uses_only_the_nearest_zone(self) -> None:
        """Guards against sending large responses over links between zones, which are charged."""
        route = replace(ROUTE, kind=RequestKind.DOWNLOAD)
        gateway = build_gateway(route, SERVERS)
        assert list_zones(gateway.view, route, "s", "o") == (["a"], [])

    def test_evacuated_zone_gets_no_requests_and_returns_cold(self) -> None:
        """Guards against sending full load to a zone at once when its evacuation ends."""
        gateway = build_gateway(ROUTE, SERVERS)
        gateway.evacuate({"a"})
        assert gateway.view.list_servers("s", "a") == []
        assert list_zones(gateway.view, ROUTE, "s", "o")[0] == ["b"]
        gateway.evacuate(set())
        assert gateway.view.list_servers("s", "a") != []
        assert gateway.view.rank_servers("s", "a", "o", now=0.0) == []


class TestObjectAffinity:
    def test_owner_and_requesters_prefer_the_same_server(self) -> None:
        """Guards against local and remote requests for an object filling different caches."""
        servers = [build_instance(f"i-{number}") for number in range(5)]
        gateway = build_gateway(ROUTE, servers)
        for number in range(20):
            key = f"o-{number}"
            queue = PermitQueue(SiteCapacity(2, 100), False, Random(1), slow_start=False)
            queue.set_servers(gateway.view.list_servers("s", "a"))
            slot_request = gateway.permits.build_slot_request(
                RequestClass.SHORT, Deadline(9.0), frozenset(), object_key=key
            )
            (grant,) = queue.submit(slot_request, 0.0)
            assert isinstance(grant, Grant)
            assert grant.server == gateway.view.rank_servers("s", "a", key, 0.0)[0]


class TestLookups:
    def test_callers_get_vms_of_their_zone_then_of_their_region(self) -> None:
        """Guards against sending callers over links between zones, which are charged."""
        gateway = build_gateway()
        members = [build_member("a-1", "a"), build_member("b-1", "b"), build_member("c-1", "c")]
        gateway.replace_members({item.vm: item for item in members})
        order = gateway.view.order_entries
        assert [item.vm for item in order("a", "north")] == ["a-1"]
        assert [item.vm for item in order("z", "north")] == ["a-1", "b-1"]
        assert [item.vm for item in order("z", "west")] == ["a-1", "b-1", "c-1"]


class TestInventory:
    def test_missing_entry_removes_a_server_while_the_store_is_healthy(self) -> None:
        """Guards against requests to a server that has left."""
        inventory = Inventory()
        inventory.put(SERVERS[0], 0.0)
        inventory.remove("i-a", store_healthy=True, now=0.0, recovered_at=0.0)
        assert inventory.list_usable("s", "a") == []

    def test_expired_entry_is_kept_for_the_grace_period(self) -> None:
        """Guards against a fleet that looks empty right after an outage of the store."""
        inventory = Inventory()
        inventory.put(SERVERS[0], 0.0)
        inventory.remove("i-a", store_healthy=False, now=10.0, recovered_at=10.0)
        assert not inventory.expire(12.0, ENTRY_TTL_S)
        assert len(inventory.list_usable("s", "a")) == 1
        assert inventory.expire(12.5, ENTRY_TTL_S)
        assert inventory.list_usable("s", "a") == []

    def test_entry_registered_again_is_not_expired(self) -> None:
        """Guards against removing a server that registered again."""
        inventory = Inventory()
        inventory.put(SERVERS[0], 0.0)
        inventory.remove("i-a", store_healthy=False, now=10.0, recovered_at=10.0)
        inventory.put(SERVERS[0], 0.0)
        assert not inventory.expire(20.0, ENTRY_TTL_S)


class TestInitialRemoteShare:
    def test_region_with_its_share_of_servers_keeps_its_traffic(self) -> None:
        """Guards against moving traffic that its own region can serve."""
        assert estimate_remote_share(10, 20, 4, 12) == 0.0
        assert estimate_remote_share(0, 0, 4, 12) == 0.0
        assert estimate_remote_share(1, 20, 4, 0) == 0.0
