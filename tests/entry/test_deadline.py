"""Tests of a deadline that expires while the response is being sent."""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
import pytest

from tests.cluster import Cluster
from tests.cluster import Pool

ROOT = Path(__file__).parent.parent.parent
ZONE = "north-a"
CLIENT = "127.10.0.9"
SLOW = ("--rate-bytes-s", "100000")


class TestDeadlineDuringResponse:
    async def test_caller_detects_truncation(self, tmp_path: Path) -> None:
        """Guards against a caller that waits for the rest of a response after its deadline."""
        pools = [Pool("archive", ZONE, 2, options=SLOW)]
        folder = ROOT / "examples" / "estonia"
        async with Cluster(
            folder, tmp_path, [ZONE], pools=pools, network=31, client=CLIENT
        ) as cluster:
            answer = await cluster.submit()
            await cluster.wait_for_generation(answer["generation"])
            url = f"{cluster.vms[0].url}/services/archive/videos/a?bytes=1000000"
            headers = {"Briarfork-Deadline-Ms": "1500"}
            async with asyncio.timeout(5.0), cluster.session.get(url, headers=headers) as reply:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await reply.read()
