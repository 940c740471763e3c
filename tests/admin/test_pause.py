"""Tests of an admin process that is paused by SIGSTOP and resumed later."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING
from typing import Any

import pytest_asyncio

from tests.admin.harness import ESTONIA
from tests.admin.harness import edit_site
from tests.cluster import Cluster

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


@pytest_asyncio.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    zones = ["north-a", "north-b"]
    timeouts = {"store_s": 10.0}
    async with Cluster(
        ESTONIA, tmp_path, zones, timeouts=timeouts, admins=2, network=11
    ) as running:
        await running.submit()
        yield running


async def post_change(cluster: Cluster, admin: int, change_id: str, site: str) -> Any:
    body = {
        "change_id": change_id,
        "author": "mari",
        "reason": "test",
        "edits": edit_site(site, drain=True),
        "based_on": 1,
    }
    return await cluster.post(f"{cluster.vms[admin].admin_url}/v1/changes", body)


async def race_with_paused_process(cluster: Cluster, method: str, site: str) -> tuple[Any, Any]:
    """Submits a change through each admin process while the first one is paused.

    The first process is paused while it waits for the store and resumed after the second one has
    written its change.

    Returns:
        The responses of the paused and of the other process.
    """
    fault_url = f"{cluster.store_url}/fault"
    await cluster.post(fault_url, {"mode": "hold", "method": method, "count": 1})
    paused = asyncio.create_task(post_change(cluster, 0, "paused", "north-a"))
    await cluster.get(f"{cluster.store_url}/held")
    process = cluster.vms[0].processes["admin"]
    process.send_signal(signal.SIGSTOP)
    other = await post_change(cluster, 1, "other", site)
    await cluster.post(fault_url, {"mode": "up"})
    process.send_signal(signal.SIGCONT)
    return await paused, other


class TestPausedProcess:
    async def test_change_validated_before_the_pause_is_rejected(self, cluster: Cluster) -> None:
        """Guards against a resumed process that writes a change validated on a stale timeline."""
        paused, other = await race_with_paused_process(cluster, "GET", "north-a")
        assert other == {"generation": 2}
        assert paused["error"] == "conflict"
        assert "generation 2 (change other)" in paused["detail"]

    async def test_independent_change_is_accepted_after_the_pause(self, cluster: Cluster) -> None:
        """Guards against a change that is lost or overwrites the generation of another change."""
        paused, other = await race_with_paused_process(cluster, "GET", "north-b")
        assert (paused, other) == ({"generation": 3}, {"generation": 2})
        await cluster.wait_for_generation(3)

    async def test_write_before_the_pause_is_accepted_once(self, cluster: Cluster) -> None:
        """Guards against writing a change again that was accepted before the pause."""
        paused, other = await race_with_paused_process(cluster, "PUT", "north-b")
        assert (paused, other) == ({"generation": 2}, {"generation": 3})
        response = await cluster.get(f"{cluster.vms[1].admin_url}/v1/changes")
        assert [change["change_id"] for change in response["changes"]][1:] == ["paused", "other"]
