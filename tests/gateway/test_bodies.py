"""Tests of collecting request bodies within bounded memory."""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.gateway.bodies import BodyCollector
from briarfork.requests import BodyMemory
from briarfork.requests import Deadline
from briarfork.routing import CallerLimits
from tests.gateway.harness import ROUTE

if TYPE_CHECKING:
    from types import FrameType

CAPACITY = 200_000
LIMITS = CallerLimits(body_bytes=10_000_000)


class CountedChunk(bytes):
    """Bytes whose length is computed by a function call, which a profiler sees."""

    def __len__(self) -> int:
        return super().__len__()


class ScriptedBody:
    """A body whose chunks have all been received."""

    has_arrived = True

    def __init__(self, chunks: list[bytes], declared_bytes: int | None = None) -> None:
        self.declared_bytes = declared_bytes
        self.chunks = [*chunks, b""]

    async def read_chunk(self) -> bytes:
        return self.chunks.pop(0)


class BodyHarness:
    """Collects bodies and holds them until they are released."""

    def __init__(self, capacity_bytes: int = CAPACITY) -> None:
        self.memory = BodyMemory(capacity_bytes)
        self.collector = BodyCollector(self.memory)
        self.finished: list[str] = []

    async def collect(
        self, name: str, body: ScriptedBody, release: asyncio.Event, priority: int = 1
    ) -> bytes:
        route = replace(ROUTE, priority=priority)
        deadline = Deadline(time.monotonic() + 2.0)
        async with self.collector.collect(body, LIMITS, route, deadline) as collected:
            self.finished.append(name)
            await release.wait()
            return b"".join(collected)


class TestBodyCollector:
    async def test_bodies_wait_for_memory_by_priority(self) -> None:
        """Guards against uploads that together fill the memory of the VM."""
        harness = BodyHarness()
        body = bytes(CAPACITY)
        releases = [asyncio.Event() for _ in range(3)]
        async with asyncio.TaskGroup() as group:
            for number, priority in enumerate((1, 2, 0)):
                source = ScriptedBody([body], CAPACITY)
                group.create_task(
                    harness.collect(f"p{priority}", source, releases[number], priority)
                )
                await asyncio.sleep(0)
            for release in (releases[0], releases[2], releases[1]):
                await asyncio.sleep(0.01)
                assert harness.memory.used_bytes == CAPACITY
                release.set()
        assert harness.finished == ["p1", "p0", "p2"]
        assert harness.memory.used_bytes == 0

    async def test_body_that_gets_no_memory_in_time_is_refused(self) -> None:
        """Guards against uploads that wait until their deadline has passed."""
        harness = BodyHarness()
        release = asyncio.Event()
        first = asyncio.create_task(
            harness.collect("first", ScriptedBody([bytes(CAPACITY)], CAPACITY), release)
        )
        await asyncio.sleep(0)
        started = time.monotonic()
        with pytest.raises(NotRun) as caught:
            await harness.collect("second", ScriptedBody([bytes(9999)], 9999), release)
        assert caught.value.kind is ErrorKind.OVERLOADED
        assert time.monotonic() - started < ROUTE.objective_s
        release.set()
        await first
        assert (harness.memory.used_bytes, harness.memory.waiting) == (0, 0)

    async def test_caller_that_leaves_while_it_waits_frees_its_place(self) -> None:
        """Guards against memory that is lost with each caller that gives up."""
        harness = BodyHarness()
        release = asyncio.Event()
        tasks = [
            asyncio.create_task(
                harness.collect(str(number), ScriptedBody([bytes(CAPACITY)], CAPACITY), release)
            )
            for number in range(2)
        ]
        await asyncio.sleep(0)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        assert (harness.memory.used_bytes, harness.memory.waiting) == (0, 0)

    async def test_body_of_unknown_length_reserves_what_it_holds(self) -> None:
        """Guards against chunks that are not counted as memory in use."""
        harness = BodyHarness(CAPACITY * 2)
        release = asyncio.Event()
        chunks = [bytes(50_000)] * 6
        task = asyncio.create_task(harness.collect("chunked", ScriptedBody(chunks), release))
        await asyncio.sleep(0)
        assert harness.memory.used_bytes >= 300_000
        release.set()
        assert await task == b"".join(chunks)

    async def test_cost_of_chunks_is_proportional_to_their_number(self) -> None:
        """Guards against summing all earlier chunks at each chunk."""
        assert await count_steps(chunks=4000) <= 11 * await count_steps(chunks=400)


async def count_steps(chunks: int) -> int:
    """Returns the number of function calls that collecting a body takes."""
    steps = 0

    def count(frame: FrameType, event: str, argument: object) -> None:
        nonlocal steps
        steps += event in ("call", "c_call")

    release = asyncio.Event()
    release.set()
    harness = BodyHarness()
    sys.setprofile(count)
    try:
        await harness.collect("chunked", ScriptedBody([CountedChunk(b"x")] * chunks), release)
    finally:
        sys.setprofile(None)
    return steps
