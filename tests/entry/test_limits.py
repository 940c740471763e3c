"""Deadlines, cancellation and bounded memory on the request path."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import psutil
import pytest_asyncio

from tests.entry.scene import PROGRESS_S
from tests.entry.scene import Scene
from tests.entry.scene import build_scene

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

MIB = 1024 * 1024
# What one caller may hold: two parts of 64 KiB and socket buffers in each direction.
CALLER_BYTES = MIB


@pytest_asyncio.fixture
async def scene(tmp_path: Path) -> AsyncIterator[Scene]:
    async with build_scene(tmp_path, vms=1) as running:
        yield running


def measure_memory(scene: Scene) -> int:
    return int(psutil.Process(scene.cluster.vms[0].processes["entry"].pid).memory_info().rss)


class SlowCaller:
    """Sends a request on a bare socket and reads only when told to."""

    def __init__(self, scene: Scene) -> None:
        self._vm = scene.cluster.vms[0]

    async def ask(self, path: str, name: str) -> None:
        self.reader, self.writer = await asyncio.open_connection(
            self._vm.address, self._vm.ports["entry"], limit=4096
        )
        head = f"GET /services/{path} HTTP/1.1\r\nHost: x\r\nTest-Request: {name}\r\n\r\n"
        self.writer.write(head.encode())
        await self.reader.readuntil(b"\r\n\r\n")


class TestDeadline:
    async def test_time_left_is_handed_on(self, scene: Scene) -> None:
        """Guards against a backend server that works longer than its caller waits."""
        headers = {"Briarfork-Deadline-Ms": "700"}
        await scene.ask("GET", "results/ok", "handed", headers=headers)
        seen = [
            item for server in scene.servers for item in server.exchanges if item.name == "handed"
        ]
        assert 0 < int(seen[0].headers["briarfork-deadline-ms"]) <= 700

    async def test_deadline_ends_the_request_and_its_work(self, scene: Scene) -> None:
        """Guards against a caller that waits past its deadline, and work that nobody awaits."""
        lost = sum(server.lost_connections for server in scene.servers)
        started = time.monotonic()
        headers = {"Briarfork-Deadline-Ms": "400"}
        reply = await scene.ask("POST", "scoring/silent/x", "late", headers=headers, data=b"1")
        assert reply.error == "outcome_unknown"
        # Half a second for a busy machine.
        assert time.monotonic() - started < 0.4 + 0.5
        await scene.wait(lambda: sum(server.lost_connections for server in scene.servers) > lost)

    async def test_body_that_does_not_arrive_ends_at_the_deadline(self, scene: Scene) -> None:
        """Guards against a caller that holds a task for ever with half a body."""
        vm = scene.cluster.vms[0]
        reader, writer = await asyncio.open_connection(vm.address, vm.ports["entry"])
        head = "POST /services/scoring/ok HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n"
        writer.write(f"{head}Briarfork-Deadline-Ms: 300\r\n\r\nhalf".encode())
        async with asyncio.timeout(2.0):
            answer = await reader.readuntil(b"\r\n\r\n")
        assert b"Briarfork-Error: deadline_expired" in answer
        assert b"Briarfork-Outcome: not-run" in answer
        writer.close()


class TestSlowCaller:
    async def test_memory_is_bounded_and_the_caller_is_cut(self, scene: Scene) -> None:
        """Guards against slow callers that fill the memory of a small VM, or hold slots."""
        before = measure_memory(scene)
        # On a busy machine the first callers are cut while the last ones still ask.
        lost = sum(server.lost_connections for server in scene.servers)
        callers = [SlowCaller(scene) for _ in range(20)]
        for number, caller in enumerate(callers):
            await caller.ask("results/flood/always", f"flood-{number}")
        await asyncio.sleep(PROGRESS_S / 2)
        assert measure_memory(scene) - before < len(callers) * CALLER_BYTES
        # The servers see the cut once the progress time is over.
        expected = lost + len(callers)
        await scene.wait(
            lambda: sum(server.lost_connections for server in scene.servers) >= expected, 2.0
        )
        for caller in callers:
            caller.writer.close()


class TestUpload:
    async def test_large_body_is_streamed(self, scene: Scene) -> None:
        """Guards against uploads that fill the memory of a small VM."""
        await scene.ask("POST", "scoring/ok", "warm", data=bytes(2 * MIB))
        before = measure_memory(scene)
        size = 48 * MIB

        async def send() -> AsyncIterator[bytes]:
            for _ in range(size // MIB):
                yield bytes(MIB)

        reply = await scene.ask("POST", "scoring/ok", "upload", data=send())
        assert reply.status == 200
        assert measure_memory(scene) - before < 4 * MIB
        seen = [
            item for server in scene.servers for item in server.exchanges if item.name == "upload"
        ]
        assert [len(item.body) for item in seen] == [size]


class TestSilentConnection:
    async def test_siblings_are_given_up_and_the_server_is_used(self, scene: Scene) -> None:
        """Guards against kept connections that are silent for good, one time-out after another."""
        await asyncio.gather(
            *(scene.ask("GET", "results/slow/x", f"warm-{number}") for number in range(12))
        )
        opened = sum(server.connections for server in scene.servers)
        started = time.monotonic()
        reply = await scene.ask("GET", "results/silent/x", "quiet")
        # The first attempt ends at the progress deadline, the second one runs.
        assert reply.status == 200
        assert PROGRESS_S <= time.monotonic() - started < PROGRESS_S + 0.5
        await asyncio.gather(
            *(scene.ask("GET", "results/slow/x", f"next-{number}") for number in range(12))
        )
        served = [
            any(item.name.startswith("next") for item in server.exchanges)
            for server in scene.servers
        ]
        assert all(served), "the server of the silent connection is blamed"
        assert sum(server.connections for server in scene.servers) > opened


class TestConnectionAge:
    async def test_connections_retire_after_their_request(self, tmp_path: Path) -> None:
        """Guards against connections that are kept for ever, and against a request cut by age."""
        async with build_scene(tmp_path, servers=1, vms=1, connection_age_s=1.0) as scene:
            long = asyncio.ensure_future(scene.ask("GET", "results/slow/x", "long"))
            opened = scene.servers[0].connections
            stops_at = time.monotonic() + 3.5
            number = 0
            while time.monotonic() < stops_at:
                number += 1
                reply = await scene.ask("GET", "results/slow/x", f"age-{number}")
                assert reply.status == 200
            assert (await long).status == 200
            assert scene.servers[0].connections - opened >= 3
            await scene.wait(lambda: len(scene.servers[0].writers) == 0)
