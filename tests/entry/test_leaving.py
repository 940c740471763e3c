"""Planned stops of entry VMs and of backend servers cut nothing."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import aiohttp
import pytest_asyncio

from tests.cluster import PROGRAMS
from tests.entry.scene import CLIENT
from tests.entry.scene import Scene
from tests.entry.scene import build_scene

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

LOOKUP_TTL_S = 1.0
SPREAD_S = 1.0
DRAIN_GRACE_S = 1.0
LONGEST_REQUEST_S = 0.5
NO_NEW_WORK_S = 2.0


@pytest_asyncio.fixture
async def scene(tmp_path: Path) -> AsyncIterator[Scene]:
    async with build_scene(tmp_path, vms=3) as running:
        yield running


class CachingCaller:
    """Uses the first entry VM of a lookup for its whole time-to-live, on kept connections."""

    def __init__(self, scene: Scene, number: int) -> None:
        self._scene = scene
        self._number = number
        self._url = ""
        self._expires_at = 0.0
        self.sent = 0
        self.failures: list[str] = []

    async def run(self, stopping: asyncio.Event) -> None:
        connector = aiohttp.TCPConnector(local_addr=(CLIENT, 0))
        async with aiohttp.ClientSession(connector=connector) as session:
            while not stopping.is_set():
                await self._look_up(session)
                self.sent += 1
                path = "slow" if self.sent % 5 == 0 else "ok"
                url = f"{self._url}/services/scoring/{path}/always"
                headers = {"Test-Request": f"{self._number}-{self.sent}"}
                try:
                    async with session.post(url, data=b"1", headers=headers) as answer:
                        body = await answer.text()
                        if answer.status != 200:
                            self.failures.append(f"{answer.status} {body}")
                except aiohttp.ClientError as error:
                    self.failures.append(f"{url} {error!r}")
                await asyncio.sleep(0.02)

    async def _look_up(self, session: aiohttp.ClientSession) -> None:
        if time.monotonic() < self._expires_at:
            return
        for vm in self._scene.cluster.vms:
            try:
                async with session.get(f"{vm.url}/lookup?service=scoring") as answer:
                    body = await answer.json()
            except aiohttp.ClientError:
                continue
            if body.get("entries"):
                first = body["entries"][self._number % len(body["entries"])]
                self._url = f"http://{first['address']}:{first['port']}"
                self._expires_at = time.monotonic() + body["ttl_s"]
                return


class TestEntryVm:
    async def test_stops_in_turn_cut_nothing(self, scene: Scene) -> None:
        """Guards against a rolling restart that cuts callers with an old lookup."""
        stopping = asyncio.Event()
        callers = [CachingCaller(scene, number) for number in range(12)]
        drains = []
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.run(stopping))
            for vm in scene.cluster.vms:
                drains.append(await scene.cluster.stop(vm))
                log = scene.cluster.read_log(vm, "entry")
                assert "name=stopped" in log
                scene.cluster.start(vm, PROGRAMS[:2])
                await scene.cluster.wait_for_generation(1)
            stopping.set()
        assert [failure for caller in callers for failure in caller.failures] == []
        assert all(runs == 1 for name, runs in scene.ledger.items() if name != "ready")
        limit_s = LOOKUP_TTL_S + SPREAD_S + LONGEST_REQUEST_S + DRAIN_GRACE_S
        assert max(drains) < limit_s

    async def test_kept_connections_are_told_to_close(self, scene: Scene) -> None:
        """Guards against callers that keep a connection to a VM that is about to stop."""
        vm = scene.cluster.vms[0]
        vm.processes["entry"].send_signal(signal.SIGTERM)
        async with asyncio.timeout(5.0):
            while True:
                reply = await scene.ask("GET", "results/ok", "leaving")
                if reply.headers.get("Connection") == "close":
                    break
        async with scene.cluster.session.get(f"{vm.url}/healthz") as answer:
            assert answer.status == 503


class TestBackendServer:
    async def test_draining_server_gets_no_new_work(self, scene: Scene) -> None:
        """Guards against requests that meet a leaving server again and again."""
        reply = await scene.ask("POST", "scoring/drain/x", "first", data=b"1")
        assert reply.status in (200, 503)
        # The owner of the slots hears of the drain from the requester; the target is 2 s.
        drained_by = time.monotonic() + NO_NEW_WORK_S
        while time.monotonic() < drained_by:
            await scene.ask("POST", "scoring/ok", "meanwhile", data=b"1")
        before = time.monotonic()
        counts = [len(server.exchanges) for server in scene.servers]
        for number in range(60):
            await scene.ask("POST", "scoring/ok", f"next-{number}", data=b"1", vm=number % 3)
        taken = [
            len(server.exchanges) - count
            for server, count in zip(scene.servers, counts, strict=True)
        ]
        assert time.monotonic() - before < 30.0
        assert 0 in taken
