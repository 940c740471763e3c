"""A gateway process whose memory limit is in force, beside peers that send or leave too much."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest

from briarfork.border.messages import CreditAsk
from briarfork.border.messages import CreditEntry
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Hello
from briarfork.border.messages import PermitHeld
from briarfork.border.messages import encode
from briarfork.border.streams import MAX_MESSAGE_BYTES
from briarfork.border.streams import READ_CHUNK_BYTES
from briarfork.configuration import RequestClass
from tests.platform.test_large_records import ADDRESS
from tests.platform.test_large_records import run_harness
from tests.standins.gateway import INTERNAL_PORTS
from tests.standins.gateway import is_ready

if TYPE_CHECKING:
    from pathlib import Path

PEERS = 150
LOAD_S = 3.0
RECONNECT_S = 0.05
HOLD_S = 1.0
ASK_INTERVAL_S = 0.2
WORKSPACES, WORKSPACE_CHARS = 500, 1000
KEY_CHARS, DECLARATION_INTERVAL_S = 100_000, 0.05
Parts = AsyncIterator[bytes]


async def send_half_message() -> Parts:
    yield encode(Hello("peer", "a"))
    async for part in send_half_hello():
        yield part


async def send_half_hello() -> Parts:
    yield b"\xdb" + MAX_MESSAGE_BYTES.to_bytes(4, "big")
    for _ in range(MAX_MESSAGE_BYTES // READ_CHUNK_BYTES - 1):
        yield b"x" * READ_CHUNK_BYTES
    await asyncio.sleep(HOLD_S)


async def send_asks_without_reading() -> Parts:
    yield encode(Hello("peer", "a"))
    entries = [CreditEntry(f"{n:0{WORKSPACE_CHARS}}", 1) for n in range(WORKSPACES)]
    while True:
        yield encode(CreditAsk(1, 0, entries=entries))
        await asyncio.sleep(ASK_INTERVAL_S)


async def send_large_declarations() -> Parts:
    yield encode(Hello("peer", "a"))
    for number in itertools.count():
        permit = f"{id(asyncio.current_task())}-{number}"
        held = PermitHeld(permit, "other", "a", "server", RequestClass.SHORT, "k" * KEY_CHARS)
        yield encode(held)
        yield encode(Heartbeat())
        await asyncio.sleep(DECLARATION_INTERVAL_S)


async def run_peer(build_parts: Callable[[], Parts], until: float) -> None:
    """Sends parts, and connects again each time the gateway closes the stream."""
    while time.monotonic() < until:
        with suppress(OSError, TimeoutError):
            _, writer = await asyncio.open_connection(ADDRESS, INTERNAL_PORTS[0])
            try:
                async with asyncio.timeout_at(
                    asyncio.get_running_loop().time() + until - time.monotonic()
                ):
                    async for part in build_parts():
                        writer.write(part)
                        await writer.drain()
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_S)


class TestPeerMemory:
    @pytest.mark.parametrize(
        "build_parts",
        [
            send_half_hello,
            send_half_message,
            send_asks_without_reading,
            send_large_declarations,
        ],
    )
    async def test_peers_together_have_a_bound(
        self, tmp_path: Path, build_parts: Callable[[], Parts]
    ) -> None:
        """Guards against a bound for each stream of a peer and none for all of them."""
        async with run_harness(tmp_path) as harness:
            await harness.start_gateway()
            await harness.wait_until_ready()
            until = time.monotonic() + LOAD_S
            await asyncio.gather(*(run_peer(build_parts, until) for _ in range(PEERS)))
            harness.check()
            assert await is_ready(ADDRESS)
