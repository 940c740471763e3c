"""Measures the calls to the store by the followers of a fleet."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from briarfork.border.events import EventLog
from briarfork.border.platform import Platform
from briarfork.border.settings import Settings
from briarfork.border.store import Store
from briarfork.entry.follower import Follower
from briarfork.membership import Roster
from tests.capacity.fleet import ROOT
from tests.capacity.fleet import build_member
from tests.capacity.measurement import MEASUREMENTS
from tests.capacity.measurement import Series
from tests.cluster import find_free_port

if TYPE_CHECKING:
    from pathlib import Path

    from briarfork.border.messages import Message
    from briarfork.membership import Member

ADDRESS = "127.21.0.1"
# Members and zones; there are 6 zones at present and 40 at design size.
FLEET_SIZES = ((12, 6), (50, 6), (100, 6), (6200, 40))
WINDOW_S = 10.0
START_TIMEOUT_S = 10.0
MAX_CALLS_S = 2000


@dataclass
class EntryStandIn:
    """The parts of an entry process that a follower uses."""

    settings: Settings
    events: EventLog = field(default_factory=lambda: EventLog("capacity"))

    @property
    def control(self) -> EntryStandIn:
        return self

    def send(self, message: Message) -> None:
        """Discards a message to the control process."""

    async def wait_until_accepted(self, generation: int) -> None:
        """Returns at once."""


def list_followers(size: int, zones: int) -> list[Member]:
    members = [build_member(number, zones) for number in range(size)]
    roster = Roster(members[0])
    roster.merge(members)
    return [m for zone in {m.zone for m in members} for m in roster.list_followers(zone)]


async def count_calls(session: aiohttp.ClientSession, url: str) -> int:
    async with session.get(f"{url}/calls") as response:
        return sum((await response.json()).values())


async def wait_for_store(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                await count_calls(session, url)
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)
            else:
                return


def start_store(port: int) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "tests.standins.store", "--address", ADDRESS]
    return subprocess.Popen(
        [*command, "--port", str(port)],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
    )


async def measure_fleet(session: aiohttp.ClientSession, url: str, followers: list[Any]) -> float:
    """Returns the calls per second in the absence of changes, including waiting watches."""
    tasks = []
    for member in followers:
        settings = Settings(member.vm, member.zone, member.address, url, url)
        process: Any = EntryStandIn(settings)
        follower = Follower(process, Store(settings, session), Platform(settings, session))
        follower.set_enabled(True, 0)
        tasks.append(asyncio.ensure_future(follower.follow_changes()))
    try:
        await asyncio.sleep(settings.timeouts.watch_s)
        started, calls = time.monotonic(), await count_calls(session, url)
        await asyncio.sleep(WINDOW_S)
        return (await count_calls(session, url) - calls) / (time.monotonic() - started)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@MEASUREMENTS.register("store")
async def measure_store(work: Path) -> list[Series]:
    port = find_free_port(ADDRESS)
    url = f"http://{ADDRESS}:{port}"
    store = start_store(port)
    by_size, by_zone = [], []
    try:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            await wait_for_store(session, url)
            for size, zones in FLEET_SIZES:
                calls_s = await measure_fleet(session, url, list_followers(size, zones))
                if zones == FLEET_SIZES[0][1]:
                    by_size.append((float(size), calls_s))
                if size != FLEET_SIZES[1][0] and size != FLEET_SIZES[2][0]:
                    by_zone.append((float(zones), calls_s))
            calls_s = await measure_fleet(session, url, list_followers(1000, 20))
            by_zone.insert(1, (20.0, calls_s))
    finally:
        store.kill()
        store.wait()
    return [
        Series("store calls, 6 zones", "calls/s", "VMs", tuple(by_size), 100, budget=MAX_CALLS_S),
        Series("store calls", "calls/s", "zones", tuple(by_zone), 40, budget=MAX_CALLS_S),
    ]
