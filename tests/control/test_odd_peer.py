"""Tests of a control process, run as a process, beside a peer that sends odd messages."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING
from typing import Any

import yaml

from briarfork.border.messages import Changes
from briarfork.border.messages import Hello
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import serve
from briarfork.timeline import Change
from tests.cluster import find_free_ports

if TYPE_CHECKING:
    from pathlib import Path

    from briarfork.border.streams import MessageStream

ADDRESS, PEER_ADDRESS = "127.28.0.1", "127.28.0.2"
ATTEMPTS = 3
TIMEOUT_S = 20.0
# Deeper than the timeline can process, and less deep than a decoder accepts.
DEPTH = 700


def build_nested_change() -> Change:
    body: dict[str, Any] = {}
    for _ in range(DEPTH):
        body = {"a": body}
    return Change(1, "c", "a", "-", "r", None, 0.0, 0.0, {"base": body}, None, "")


class TestOddPeer:
    async def test_odd_message_ends_only_its_stream(self, tmp_path: Path) -> None:
        """Guards against a message of one peer that ends the control process."""
        closed: asyncio.Queue[None] = asyncio.Queue()

        async def send_odd_change(stream: MessageStream) -> None:
            stream.send(Hello("odd", "north-a", 1))
            stream.send(Changes([build_nested_change()]))
            try:
                while True:
                    await stream.receive(TIMEOUT_S)
            except StreamClosed:
                closed.put_nowait(None)

        ports, peer_ports = find_free_ports(ADDRESS), find_free_ports(PEER_ADDRESS)
        peer = await serve(PEER_ADDRESS, peer_ports["control"], send_odd_change)
        settings = {"vm": "vm-1", "zone": "north-a", "address": ADDRESS, "ports": ports}
        settings["store_url"] = settings["platform_url"] = f"http://{ADDRESS}:1"
        settings["peers"] = [f"{PEER_ADDRESS}:{peer_ports['control']}"]
        path = tmp_path / "settings.yaml"
        path.write_text(yaml.safe_dump(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "briarfork.control.main", path, stdout=asyncio.subprocess.DEVNULL
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                for _ in range(ATTEMPTS):
                    await closed.get()
            assert process.returncode is None
        finally:
            peer.close()
            if process.returncode is None:
                process.kill()
            await process.wait()
