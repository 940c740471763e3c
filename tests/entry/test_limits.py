"""Tests of deadlines, cancellation and bounded memory on the request path."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import psutil
import pytest_asyncio

from tests.entry.environment import PROGRESS_S
from tests.entry.environment import Environment
from tests.entry.environment import run_environment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

MIB = 1024 * 1024
# Memory limit for one caller: two chunks of 64 KiB and socket buffers in each direction.
CALLER_BYTES = MIB


@pytest_asyncio.fixture
async def environment(tmp_path: Path) -> AsyncIterator[Environment]:
    async with run_environment(tmp_path, vms=1) as running:
        yield running


def measure_memory(environment: Environment) -> int:
    return int(psutil.Process(environment.cluster.vms[0].processes["entry"].pid).memory_info().rss)


class SlowCaller:
    """Sends a request on a raw socket and does not read the body."""

    def __init__(self, environment: Environment) -> None:
        self._vm = environment.cluster.vms[0]

    async def request(self, path: str, name: str) -> None:
        self.reader, self.writer = await asyncio.open_connection(
            self._vm.address, self._vm.ports["entry"], limit=4096
        )
        head = f"GET /services/{path} HTTP/1.1\r\nHost: x\r\nTest-Request: {name}\r\n\r\n"
        self.writer.write(head.encode())
        await self.reader.readuntil(b"\r\n\r\n")


class TestDeadline:
    async def test_remaining_time_is_forwarded(self, environment: Environment) -> None:
        """Guards against a backend server that works longer than its caller waits."""
        headers = {"Briarfork-Deadline-Ms": "700"}
        await environment.request("GET", "results/ok", "handed", headers=headers)
        seen = [
            item
            for server in environment.servers
            for item in server.exchanges
            if item.name == "handed"
        ]
        assert 0 < int(seen[0].headers["briarfork-deadline-ms"]) <= 700

    async def test_deadline_cancels_the_request_at_the_server(
        self, environment: Environment
    ) -> None:
        """Guards against a caller that waits past its deadline, and work for no caller."""
        lost = sum(server.lost_connections for server in environment.servers)
        started = time.monotonic()
        headers = {"Briarfork-Deadline-Ms": "400"}
        reply = await environment.request(
            "POST", "scoring/silent/x", "late", headers=headers, data=b"1"
        )
        assert reply.error == "outcome_unknown"
        # The half second allows for a busy machine.
        assert time.monotonic() - started < 0.4 + 0.5
        await environment.wait_until(
            lambda: sum(server.lost_connections for server in environment.servers) > lost
        )

    async def test_incomplete_body_ends_at_the_deadline(self, environment: Environment) -> None:
        """Guards against a caller that occupies a task forever with an incomplete body."""
        vm = environment.cluster.vms[0]
        reader, writer = await asyncio.open_connection(vm.address, vm.ports["entry"])
        head = "POST /services/scoring/ok HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n"
        writer.write(f"{head}Briarfork-Deadline-Ms: 300\r\n\r\nhalf".encode())
        async with asyncio.timeout(2.0):
            answer = await reader.readuntil(b"\r\n\r\n")
        assert b"Briarfork-Error: deadline_expired" in answer
        assert b"Briarfork-Outcome: not-run" in answer
        writer.close()


class TestSlowCaller:
    async def test_memory_is_bounded_and_the_caller_is_disconnected(
        self, environment: Environment
    ) -> None:
        """Guards against slow callers that exhaust the memory of a small VM or hold slots."""
        before = measure_memory(environment)
        # On a busy machine the first callers are disconnected before the last ones have sent.
        lost = sum(server.lost_connections for server in environment.servers)
        callers = [SlowCaller(environment) for _ in range(20)]
        for number, caller in enumerate(callers):
            await caller.request("results/flood/always", f"flood-{number}")
        await asyncio.sleep(PROGRESS_S / 2)
        assert measure_memory(environment) - before < len(callers) * CALLER_BYTES
        # The servers see the disconnect once the progress time is over.
        expected = lost + len(callers)
        await environment.wait_until(
            lambda: sum(server.lost_connections for server in environment.servers) >= expected, 2.0
        )
        for caller in callers:
            caller.writer.close()


class TestUpload:
    async def test_large_body_is_streamed(self, environment: Environment) -> None:
        """Guards against uploads that exhaust the memory of a small VM."""
        await environment.request("POST", "scoring/ok", "warm", data=bytes(2 * MIB))
        before = measure_memory(environment)
        size = 48 * MIB

        async def send() -> AsyncIterator[bytes]:
            for _ in range(size // MIB):
                yield bytes(MIB)

        reply = await environment.request("POST", "scoring/ok", "upload", data=send())
        assert reply.status == 200
        assert measure_memory(environment) - before < 4 * MIB
        seen = [
            item
            for server in environment.servers
            for item in server.exchanges
            if item.name == "upload"
        ]
        assert [len(item.body) for item in seen] == [size]


class TestSilentConnection:
    async def test_other_connections_are_retired_and_the_server_stays_in_use(
        self, environment: Environment
    ) -> None:
        """Guards against one time-out after another on unresponsive kept connections."""
        await asyncio.gather(
            *(
                environment.request("GET", "results/slow/x", f"warm-{number}")
                for number in range(12)
            )
        )
        opened = sum(server.connections for server in environment.servers)
        started = time.monotonic()
        reply = await environment.request("GET", "results/silent/x", "quiet")
        # The first attempt ends at the progress timeout and the second one succeeds.
        assert reply.status == 200
        assert PROGRESS_S <= time.monotonic() - started < PROGRESS_S + 0.5
        await asyncio.gather(
            *(
                environment.request("GET", "results/slow/x", f"next-{number}")
                for number in range(12)
            )
        )
        served = [
            any(item.name.startswith("next") for item in server.exchanges)
            for server in environment.servers
        ]
        assert all(served), "the server of the unresponsive connection was excluded"
        assert sum(server.connections for server in environment.servers) > opened


class TestConnectionAge:
    async def test_connections_retire_after_their_request(self, tmp_path: Path) -> None:
        """Guards against connections that are kept forever, and requests aborted by their age."""
        async with run_environment(tmp_path, servers=1, vms=1, connection_age_s=1.0) as environment:
            long = asyncio.ensure_future(environment.request("GET", "results/slow/x", "long"))
            opened = environment.servers[0].connections
            stops_at = time.monotonic() + 3.5
            number = 0
            while time.monotonic() < stops_at:
                number += 1
                reply = await environment.request("GET", "results/slow/x", f"age-{number}")
                assert reply.status == 200
            assert (await long).status == 200
            assert environment.servers[0].connections - opened >= 3
            await environment.wait_until(lambda: len(environment.servers[0].writers) == 0)
