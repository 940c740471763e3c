"""Credit over real permit streams."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from briarfork.border.events import EventLog
from briarfork.border.settings import Ports
from briarfork.border.settings import Settings
from briarfork.errors import NotRun
from briarfork.gateway.process import Gateway
from briarfork.gateway.view import GatewayView
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.workspaces import Workspace
from briarfork.workspaces import WorkspaceDirectory
from tests.gateway.harness import LOCATION
from tests.gateway.harness import RETRY_LIMITS
from tests.gateway.harness import build_table

ACME = Workspace("acme", rate_per_s=50.0, burst=50.0)


def find_port(address: str) -> int:
    with socket.socket() as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


def build_gateway(vm: str, address: str) -> Gateway:
    ports = Ports(permits=find_port(address))
    settings = Settings(vm, "a", address, "http://127.0.0.1:1", "http://127.0.0.1:1", ports=ports)
    events = EventLog("test")
    gateway = Gateway(GatewayView(settings, LOCATION, RETRY_LIMITS, events), events)
    table = build_table()
    table.workspaces = WorkspaceDirectory({"k": ACME})
    gateway.apply_route_table(table)
    return gateway


class TestStreams:
    async def test_each_vm_gets_credit_of_the_owners(self) -> None:
        """Guards against messages about credit that the streams of VMs do not carry."""
        gateways = [build_gateway(f"vm-{number}", f"127.0.71.{number}") for number in (1, 2)]
        members = {
            gateway.settings.vm: Member(
                gateway.settings.vm,
                gateway.settings.address,
                "a",
                1,
                1,
                MemberState.LIVE,
                {"permits": gateway.settings.ports.permits},
                serving=True,
            )
            for gateway in gateways
        }
        tasks = [asyncio.create_task(gateway.run()) for gateway in gateways]
        for gateway in gateways:
            gateway.replace_members(members)
        try:
            async with asyncio.timeout(10.0):
                for gateway in gateways:
                    await self.acquire(gateway)
                owners = {
                    gateway.quotas.links.find_owner(shard, True, gateway.quotas.read_clock())
                    for gateway in gateways
                    for shard in range(4)
                }
            assert owners == set(members)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def acquire(self, gateway: Gateway) -> None:
        while True:
            with suppress(NotRun):
                await gateway.quotas.acquire(ACME)
                return
            await asyncio.sleep(0.05)
