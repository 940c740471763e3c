"""Tests that planned stops of entry VMs and backend servers abort no request."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import aiohttp
import pytest_asyncio

from tests.cluster import PROGRAMS
from tests.entry.environment import CLIENT
from tests.entry.environment import Environment
from tests.entry.environment import run_environment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

LOOKUP_TTL_S = 1.0
SPREAD_S = 1.0
DRAIN_GRACE_S = 1.0
LONGEST_REQUEST_S = 0.5
NO_NEW_WORK_S = 2.0


@pytest_asyncio.fixture
async def environment(tmp_path: Path) -> AsyncIterator[Environment]:
    async with run_environment(tmp_path, vms=3) as running:
        yield running


class CachingCaller:
    """Uses one entry VM of a lookup for the whole time-to-live, with kept connections."""

    def __init__(self, environment: Environment, number: int) -> None:
        self._environment = environment
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
        for vm in self._environment.cluster.vms:
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
    async def test_rolling_restart_aborts_no_request(self, environment: Environment) -> None:
        """Guards against a rolling restart that aborts requests of callers with a cached lookup."""
        stopping = asyncio.Event()
        callers = [CachingCaller(environment, number) for number in range(12)]
        drains = []
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.run(stopping))
            for vm in environment.cluster.vms:
                drains.append(await environment.cluster.stop(vm))
                log = environment.cluster.read_log(vm, "entry")
                assert "name=stopped" in log
                environment.cluster.start(vm, PROGRAMS[:2])
                await environment.cluster.wait_for_generation(1)
            stopping.set()
        assert [failure for caller in callers for failure in caller.failures] == []
        assert all(runs == 1 for name, runs in environment.ledger.items() if name != "ready")
        limit_s = LOOKUP_TTL_S + SPREAD_S + LONGEST_REQUEST_S + DRAIN_GRACE_S
        assert max(drains) < limit_s

    async def test_kept_connections_are_told_to_close(self, environment: Environment) -> None:
        """Guards against callers that keep a connection to a VM that is stopping."""
        vm = environment.cluster.vms[0]
        vm.processes["entry"].send_signal(signal.SIGTERM)
        async with asyncio.timeout(5.0):
            while True:
                reply = await environment.request("GET", "results/ok", "leaving")
                if reply.headers.get("Connection") == "close":
                    break
        async with environment.cluster.session.get(f"{vm.url}/healthz") as answer:
            assert answer.status == 503


class TestBackendServer:
    async def test_draining_server_gets_no_new_work(self, environment: Environment) -> None:
        """Guards against requests that keep being sent to a draining server."""
        reply = await environment.request("POST", "scoring/drain/x", "first", data=b"1")
        assert reply.status in (200, 503)
        # The requester reports the drain to the owner of the slots; the target is 2 s.
        drained_by = time.monotonic() + NO_NEW_WORK_S
        while time.monotonic() < drained_by:
            await environment.request("POST", "scoring/ok", "meanwhile", data=b"1")
        before = time.monotonic()
        counts = [len(server.exchanges) for server in environment.servers]
        for number in range(60):
            await environment.request(
                "POST", "scoring/ok", f"next-{number}", data=b"1", vm=number % 3
            )
        taken = [
            len(server.exchanges) - count
            for server, count in zip(environment.servers, counts, strict=True)
        ]
        assert time.monotonic() - before < 30.0
        assert 0 in taken
