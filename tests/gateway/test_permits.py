"""Tests of acquiring slots from an owner whose view differs from this VM's."""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from briarfork.border.events import EventLog
from briarfork.border.messages import PermitRelease
from briarfork.border.settings import Ports
from briarfork.border.settings import Settings
from briarfork.entry.owner_link import OwnerLink
from briarfork.entry.slot_client import SlotRefused
from briarfork.gateway.permits import SlotRequirements
from briarfork.gateway.process import Gateway
from briarfork.gateway.view import GatewayView
from briarfork.gateway.zones import LARGE_BODY_BYTES
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.pools import Release
from briarfork.pools import ServerReport
from briarfork.pools.inventory import LIMIT_NEWS_S
from briarfork.requests import Deadline
from tests.gateway.harness import LOCATION
from tests.gateway.harness import RETRY_LIMITS
from tests.gateway.harness import ROUTE
from tests.gateway.harness import build_gateway
from tests.gateway.harness import build_instance
from tests.gateway.harness import build_table

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briarfork.border.messages import Message
    from briarfork.entry.overflow import Permit
    from briarfork.pools import Instance

ADDRESS = "127.62.9.3"
# From this number on, one request in a window may spill over to another region.
REQUESTS = 30
PERMIT_PORTS = {"owner": 7620, "requester": 7621}
OWNER = Member(
    "owner", ADDRESS, "a", 1, 1, MemberState.LIVE, {"entry": 1, "permits": 7620}, serving=True
)
# A request waits for a new owner, which grants nothing at first, for half of the objective.
PATIENT_ROUTE = replace(ROUTE, objective_s=2.0)
LEAVING = ServerReport(is_leaving=True)
PAUSED = ServerReport(pause_s=0.6)
UNLIMITED = ServerReport(limit_per_s=math.inf)
LIMITED = ServerReport(limit_per_s=2.0)
SERVERS = [build_instance("i-1"), build_instance("i-2")]


def build_peer(vm: str, servers: list[Instance]) -> Gateway:
    """Returns a gateway that knows the owner of the slots and has its own list of servers."""
    url = "http://127.0.0.1:1"
    settings = Settings(vm, "a", ADDRESS, url, url, ports=Ports(permits=PERMIT_PORTS[vm]))
    view = GatewayView(settings, LOCATION, RETRY_LIMITS, EventLog("test"))
    gateway = Gateway(view, EventLog("test"))
    for server in servers:
        view.inventory.put(server, 0.0)
    gateway.replace_members({OWNER.vm: OWNER})
    gateway.apply_route_table(build_table(PATIENT_ROUTE))
    return gateway


@asynccontextmanager
async def run_gateways(*gateways: Gateway) -> AsyncIterator[None]:
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(gateway.run()) for gateway in gateways]
        yield
        for task in tasks:
            task.cancel()


def build_requirements(body_bytes: int = 0) -> SlotRequirements:
    deadline = Deadline(time.monotonic() + 4.0)
    return SlotRequirements(PATIENT_ROUTE, "s", "", deadline, frozenset(), body_bytes)


async def acquire(gateway: Gateway, body_bytes: int = 0) -> Permit:
    return await gateway.permits.acquire(build_requirements(body_bytes))


class TestExtraBytes:
    async def test_server_that_sends_them_is_paused(self) -> None:
        """Guards against a fault on an idle connection that costs the server nothing."""
        servers = [replace(server, port=port) for port, server in enumerate(SERVERS, start=1)]
        owner = build_peer("owner", servers)
        async with run_gateways(owner):
            permit = await acquire(owner)
            owner.permits.record_extra_bytes(permit.server.address, permit.server.port)
            owner.permits.release(permit, Release.DONE, 0.1)
            others = [await acquire(owner) for _ in range(SERVERS[0].slots)]
        assert permit.server.name not in {other.server.name for other in others}


class TestOwnerBehindTheStore:
    async def test_server_that_drains_gets_no_request(self) -> None:
        """Guards against requests to a draining server whose owner is cut off from the store."""
        owner = build_peer("owner", SERVERS)
        requester = build_peer("requester", [replace(SERVERS[0], draining=True), SERVERS[1]])
        async with run_gateways(owner, requester):
            permits = [await acquire(requester) for _ in range(SERVERS[1].slots)]
        assert [permit.server.name for permit in permits] == ["i-2", "i-2"]

    async def test_removed_server_gets_no_request(self) -> None:
        """Guards against requests to a server whose entry is gone."""
        owner = build_peer("owner", SERVERS)
        requester = build_peer("requester", SERVERS)
        requester.view.inventory.remove(
            "i-1", store_healthy=True, now=time.monotonic(), recovered_at=time.monotonic()
        )
        async with run_gateways(owner, requester):
            permits = [await acquire(requester) for _ in range(SERVERS[1].slots)]
        assert [permit.server.name for permit in permits] == ["i-2", "i-2"]

    async def test_server_at_another_address_gets_no_request(self) -> None:
        """Guards against requests to an address that belongs to another server now."""
        owner = build_peer("owner", [SERVERS[0]])
        requester = build_peer("requester", [replace(SERVERS[0], port=2)])
        async with run_gateways(owner, requester):
            with pytest.raises(SlotRefused):
                await acquire(requester)

    async def test_server_that_only_the_owner_knows_is_used(self) -> None:
        """Guards against refusing new servers on a VM that is behind the owner."""
        owner = build_peer("owner", [SERVERS[1]])
        requester = build_peer("requester", [SERVERS[0]])
        async with run_gateways(owner, requester):
            assert (await acquire(requester)).server.name == "i-2"


class TestLeavingServer:
    async def test_answer_of_a_leaving_server_stops_its_owner(self) -> None:
        """Guards against requests to a leaving server until its entry in the store says so."""
        owner = build_peer("owner", SERVERS)
        requester = build_peer("requester", SERVERS)
        async with run_gateways(owner, requester):
            first = await acquire(requester)
            requester.permits.release(first, Release.DONE, 0.1, LEAVING)
            # The second request of this VM reaches the owner after the release.
            permits = [await acquire(requester), await acquire(owner)]
        assert first.server not in [permit.server for permit in permits]

    async def test_permit_for_a_server_that_said_that_it_leaves_is_returned(self) -> None:
        """Guards against an owner that has not heard yet that a server leaves."""
        owner = build_peer("owner", SERVERS)
        requester = build_peer("requester", SERVERS)
        requester.view.inventory.record_report("i-1", LEAVING, time.monotonic())
        async with run_gateways(owner, requester):
            permits = [await acquire(requester) for _ in range(SERVERS[1].slots)]
        assert [permit.server.name for permit in permits] == ["i-2", "i-2"]


class TestPausedServer:
    async def test_server_gets_no_request_until_its_pause_is_over(self) -> None:
        """Guards against requests to a server that has asked this VM for a pause."""
        owner = build_peer("owner", SERVERS)
        requester = build_peer("requester", SERVERS)
        async with run_gateways(owner, requester):
            first = await acquire(requester)
            requester.permits.release(first, Release.NOT_RUN, 0.0, PAUSED)
            permits = [await acquire(requester) for _ in range(SERVERS[0].slots)]
            assert first.server not in [permit.server for permit in permits]
            with pytest.raises(SlotRefused):
                await acquire(requester)
            await asyncio.sleep(PAUSED.pause_s)
            assert (await acquire(requester)).server == first.server

    async def test_large_body_leaves_its_region_only_if_that_is_full(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against uploads that cross regions although a server nearby has a free slot."""
        gateway = build_peer("owner", [build_instance("near"), build_instance("far", "c")])
        monkeypatch.setattr(gateway.view, "estimate_remote_share", lambda _: 0.9)
        async with run_gateways(gateway):
            small = []
            for _ in range(REQUESTS):
                small.append(await acquire(gateway))
                gateway.permits.release(small[-1], Release.DONE, 0.01)
            large = [await acquire(gateway, LARGE_BODY_BYTES) for _ in range(3)]
        assert "c" in {permit.site for permit in small}
        assert [permit.site for permit in large] == ["a", "a", "c"]

    def test_upload_is_refused_before_its_body_while_all_zones_are_full(self) -> None:
        """Guards against reading a body although its zones have just refused a request."""
        gateway = build_gateway(servers=[build_instance("a")])
        request = build_requirements(LARGE_BODY_BYTES)
        gateway.permits.check_room(request)
        gateway.permits.record_refusal(("s", "a"), PATIENT_ROUTE.priority, wait_s=1.0)
        with pytest.raises(SlotRefused) as caught:
            gateway.permits.check_room(request)
        assert caught.value.wait_s > 0.0

    def test_server_of_another_region_is_paused_as_well(self) -> None:
        """Guards against a pause that only the owner of the slots observes."""
        gateway = build_peer("requester", [build_instance("i-3", "c")])
        assert gateway.permits.take_remote_slot(["c"], build_requirements()) is not None
        gateway.view.inventory.record_report("i-3", PAUSED, time.monotonic())
        assert gateway.permits.take_remote_slot(["c"], build_requirements()) is None


class TestLimitOfAServer:
    async def test_new_owner_learns_the_limit_before_a_permit_is_used(self) -> None:
        """Guards against a change of owner that forgets what servers have said."""
        owner = build_peer("owner", SERVERS[:1])
        requester = build_peer("requester", SERVERS[:1])
        requester.view.inventory.record_report("i-1", LIMITED, time.monotonic())
        async with run_gateways(owner, requester):
            permit = await acquire(requester)
        assert permit.limit_per_s == LIMITED.limit_per_s

    async def test_limit_that_has_ended_does_not_come_back(self) -> None:
        """Guards against a VM that heard of a limit long ago and tells its owner again."""
        owner = build_peer("owner", SERVERS[:1])
        requester = build_peer("requester", SERVERS[:1])
        requester.view.inventory.record_report("i-1", LIMITED, time.monotonic() - 10.0)
        async with run_gateways(owner, requester):
            assert (await acquire(requester)).limit_per_s == math.inf

    async def test_telling_an_owner_does_not_renew_the_limit(self) -> None:
        """Guards against a VM that keeps a limit alive which the server no longer names."""
        owner = build_peer("owner", SERVERS[:1])
        requester = build_peer("requester", SERVERS[:1])
        named_at = time.monotonic() - LIMIT_NEWS_S + 2.0
        inventory = requester.view.inventory
        inventory.record_report("i-1", LIMITED, named_at)
        async with run_gateways(owner, requester):
            assert (await acquire(requester)).limit_per_s == LIMITED.limit_per_s
        assert inventory.find_recent_limit("i-1", named_at + LIMIT_NEWS_S + 0.1) == math.inf

    async def test_release_names_a_limit_only_if_one_is_or_was_known(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a field that owners of an earlier version reject in every message."""
        sent: list[Message] = []
        monkeypatch.setattr(OwnerLink, "send_if_open", lambda _, message: sent.append(message))
        owner = build_peer("owner", SERVERS[:1])
        requester = build_peer("requester", SERVERS[:1])
        async with run_gateways(owner, requester):
            permit = await acquire(requester)
        for report in (UNLIMITED, LIMITED, UNLIMITED, UNLIMITED):
            requester.permits.release(permit, Release.DONE, 0.1, report)
        limits = [item.limit_per_s for item in sent if isinstance(item, PermitRelease)]
        assert limits == [None, LIMITED.limit_per_s, math.inf, None]

    async def test_release_tells_the_owner_the_limit(self) -> None:
        """Guards against an owner that learns of a limit only from its own requests."""
        owner = build_peer("owner", SERVERS[:1])
        requester = build_peer("requester", SERVERS[:1])
        async with run_gateways(owner, requester):
            held = await acquire(requester)
            requester.permits.release(held, Release.DONE, 0.1, LIMITED)
            assert (await acquire(requester)).limit_per_s == LIMITED.limit_per_s

    def test_server_of_another_region_is_not_used_without_its_owner(self) -> None:
        """Guards against requests that the owner of a limited server cannot count."""
        gateway = build_peer("requester", [build_instance("i-3", "c")])
        assert gateway.view.rank_servers("s", "c", "o", now=1.0)
        gateway.view.inventory.record_report("i-3", LIMITED, time.monotonic())
        assert not gateway.view.rank_servers("s", "c", "o", now=1.0)
        gateway.view.inventory.record_report(
            "i-3", ServerReport(limit_per_s=math.inf), time.monotonic()
        )
        assert gateway.view.rank_servers("s", "c", "o", now=1.0)
