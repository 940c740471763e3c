"""Tests of the connections to the readiness check, the lookups and the metrics."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import pytest

from briarfork.border.events import EventLog
from briarfork.gateway.dispatch import Dispatcher
from briarfork.platform import servers
from briarfork.platform.servers import GatewayServers
from briarfork.platform.settings import load_platform_settings
from briarfork.platform.store import StoreClient
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway
from tests.standins.gateway import INTERNAL_PORTS
from tests.standins.gateway import LOOKUP_PORT
from tests.standins.gateway import READY_PORT
from tests.standins.gateway import VmSettings
from tests.standins.gateway import build_settings

if TYPE_CHECKING:
    from pathlib import Path

ADDRESS = "127.62.9.10"
IDLE_S = 0.2
# A connection with a partly read request gets 3 s more; the event loop may be late.
CLOSED_S = 5.0


class TestIdleConnections:
    @pytest.mark.parametrize("port", [READY_PORT, LOOKUP_PORT, INTERNAL_PORTS[1]])
    @pytest.mark.parametrize("sent", [b"", b"GET / HTTP/1.1\r\nHost: "])
    async def test_are_closed(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, port: int, sent: bytes
    ) -> None:
        """Guards against descriptors that are lost to connections without a request."""
        monkeypatch.setattr(servers, "AUXILIARY_IDLE_S", IDLE_S)
        path = tmp_path / "vm.json"
        vm = VmSettings("vm-1", "a", ADDRESS, f"{ADDRESS}:1", 300)
        path.write_text(json.dumps(build_settings(vm, {"a": "north"})))
        settings, events, gateway = load_platform_settings(path), EventLog("test"), build_gateway()
        permits = ScriptedPermits(gateway, "i-0")
        dispatcher = Dispatcher(gateway.view, permits, ScriptedUpstream(), events)
        gateway_servers = GatewayServers(settings, gateway, dispatcher)
        async with StoreClient(settings.common, events) as store:
            await gateway_servers.open(store)
            try:
                reader, writer = await asyncio.open_connection(ADDRESS, port)
                writer.write(sent)
                async with asyncio.timeout(CLOSED_S):
                    assert await reader.read() == b""
            finally:
                writer.close()
                await gateway_servers.drain(asyncio.get_running_loop().time())
