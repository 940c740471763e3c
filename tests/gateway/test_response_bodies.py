"""Tests of how the bodies of responses are collected within the memory for them."""

from __future__ import annotations

import asyncio

import pytest

from briarfork.gateway.response_bodies import ResponseCollector
from briarfork.requests import ResponseMemory
from briarfork.requests import Turn


class TestCollectorOfRequestsAhead:
    async def test_body_without_memory_is_cancelled(self) -> None:
        """Guards against a run without memory that counts as a failure of its server."""
        memory = ResponseMemory(100_000)
        collector = ResponseCollector(memory)
        memory.request(memory.open("s", "i-1"), 40_000)
        turn = Turn(0.0)
        held = memory.open("s", "i-1", turn)
        run = asyncio.create_task(collector.reserve(held, 40_000, grows=False))

        def drop() -> None:
            turn.end_ahead()
            run.cancel()

        turn.begin_ahead(drop)
        with pytest.raises(asyncio.CancelledError):
            await run
        assert held.is_given_up
