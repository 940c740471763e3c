"""Tests of watching the platform's store."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

import logbook
import psutil
import pytest
import pytest_asyncio

from briarfork.border.events import EventLog
from briarfork.gateway.process import Gateway
from briarfork.gateway.view import GatewayView
from briarfork.platform import names
from briarfork.platform import store as store_client
from briarfork.platform.settings import load_platform_settings
from briarfork.platform.store import StoreClient
from briarfork.platform.watcher import StoreWatcher
from tests.platform.test_settings import BOOT
from tests.standins import key_value
from tests.standins.key_value import KeyValueStore
from tests.standins.key_value import Lease

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

ADDRESS, PORT = "127.62.9.1", 8642
HEARTBEAT_S = 0.02
OBSERVED_S = 1.5
# The bound `stable_window` of the platform: a VM is up to date this long after the store is back.
STABLE_WINDOW_S = 4.0
SILENCE_S = 1.0
# At half a second a page, listing them takes longer than the grace period of expired entries.
SLOW_LISTING_KEYS = 6
LONG_LISTING_KEYS, PAGE_DELAY_S = 30, 0.3
SHORT_PAGE_DELAY_S, FAULT_INTERVAL_S = 0.1, 1.0
# Time for the watch to be found lost, and for the listing several times over.
LISTED_S = 15.0
MAX_CHANGES_BYTES = 20_000
# The start time of a process has a resolution of 10 ms.
CLOCK_TOLERANCE_MS = 100.0
BOUNDS = ["drain=2s"]
CONFIGURATION = {
    "version": 3,
    "routes": {
        "columns": ["name", "host", "prefix", "kind", "timeout", "slo", "service"],
        "rows": [["r", "h", "/a/", "idempotent", "2s", "1s", "s"]],
    },
    "services": {"columns": ["name"], "rows": [["s"]]},
}


def build_entry(sequence: int, state: str = "ready", born: int = 0) -> dict[str, object]:
    status = {"state": state, "sequence": sequence}
    info = {"service": "s", "zone": "a", "slots": 2}
    return {"address": "127.0.0.1:1", "info": info, "status": status, "born": born}


class WatcherHarness:
    """A store watcher connected to a stand-in store."""

    def __init__(self, store: KeyValueStore, gateway: Gateway) -> None:
        self.store = store
        self.gateway = gateway

    async def wait_until_ready(self) -> None:
        async with asyncio.timeout(5.0):
            while not self.gateway.is_ready:
                await asyncio.sleep(0.01)


@pytest_asyncio.fixture
async def harness(tmp_path: Path, request: pytest.FixtureRequest) -> AsyncIterator[WatcherHarness]:
    path = tmp_path / "boot.json"
    boot = BOOT | {"platform": {"address": f"{ADDRESS}:{PORT}"}}
    boot["bounds"] = [*BOUNDS, *getattr(request, "param", [])]
    path.write_text(json.dumps(boot))
    settings = load_platform_settings(path)
    store = KeyValueStore()
    await store.start(ADDRESS, PORT)
    await store.put(names.CONFIGURATION_KEY, CONFIGURATION)
    await store.put(names.SERVER_PREFIX + "i-1", build_entry(1))
    gateway = Gateway(
        GatewayView(settings.common, settings.location, settings.retry_limits, EventLog("test")),
        EventLog("test"),
    )
    async with StoreClient(settings.common, EventLog("test")) as client:
        watcher = StoreWatcher(settings, gateway, client, EventLog("test"))
        tasks = [asyncio.create_task(watcher.run()), asyncio.create_task(watcher.expire())]
        yield WatcherHarness(store, gateway)
        for task in tasks:
            task.cancel()
    await store.close()


class TestReadiness:
    async def test_first_readiness_is_logged_once(self, harness: WatcherHarness) -> None:
        """Guards against a log that cannot tell a VM that never became ready from one that did."""
        handler = logbook.TestHandler()
        with handler.applicationbound():
            await harness.wait_until_ready()
            await harness.store.put(names.CONFIGURATION_KEY, CONFIGURATION | {"version": 4})
            async with asyncio.timeout(STABLE_WINDOW_S):
                while harness.gateway.view.require_route_table().version < 4:
                    await asyncio.sleep(0.01)
        (ready,) = [item.extra for item in handler.records if item.extra["name"] == "ready"]
        assert ready["configuration"] == CONFIGURATION["version"]
        process = psutil.Process()
        age_ms = (time.time() - process.create_time()) * 1000
        assert 0 < ready["since_start_ms"] <= age_ms + CLOCK_TOLERANCE_MS


class TestSilentStore:
    @pytest.mark.parametrize("change_before", [True, False], ids=["new watch", "held watch"])
    async def test_configuration_is_in_force_soon_after_a_silence(
        self, harness: WatcherHarness, change_before: bool
    ) -> None:
        """Guards against a VM that waits for the response to a watch that an outage swallowed.

        After a change, the next watch is sent into the silence; else it is held from before.
        """
        await harness.wait_until_ready()
        if change_before:
            await harness.store.put(names.SERVER_PREFIX + "i-1", build_entry(2))
            await asyncio.sleep(0.05)
        harness.store.start_silence()
        await harness.store.put(names.CONFIGURATION_KEY, CONFIGURATION | {"version": 4})
        await asyncio.sleep(SILENCE_S)
        harness.store.end_silence()
        async with asyncio.timeout(STABLE_WINDOW_S):
            while harness.gateway.view.require_route_table().version < 4:
                await asyncio.sleep(0.01)

    async def test_watch_that_no_other_call_shows_as_lost_is_replaced(
        self, harness: WatcherHarness
    ) -> None:
        """Guards against an outage too short for any other call that swallows a watch."""
        await harness.wait_until_ready()
        await asyncio.sleep(0.1)
        harness.store.start_silence()
        await harness.store.put(names.CONFIGURATION_KEY, CONFIGURATION | {"version": 4})
        harness.store.end_silence()
        async with asyncio.timeout(STABLE_WINDOW_S):
            while harness.gateway.view.require_route_table().version < 4:
                await asyncio.sleep(0.01)

    async def test_watch_that_is_lost_during_a_listing_is_replaced(
        self, harness: WatcherHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a lost watch that is not noticed until a long listing ends.

        The listing has shown the configuration before it changes.
        """
        await harness.wait_until_ready()
        for number in range(LONG_LISTING_KEYS):
            await harness.store.put(f"{names.SERVER_PREFIX}new-{number}", build_entry(1))
        monkeypatch.setattr(key_value, "PAGE_ITEMS", 1)
        harness.store.delay_s = PAGE_DELAY_S
        await harness.store.forget_history()
        await asyncio.sleep(1.0)
        harness.store.start_silence()
        await harness.store.put(names.CONFIGURATION_KEY, CONFIGURATION | {"version": 4})
        harness.store.end_silence()
        async with asyncio.timeout(STABLE_WINDOW_S):
            while harness.gateway.view.require_route_table().version < 4:
                await asyncio.sleep(0.01)

    async def test_watch_without_changes_is_kept(self, harness: WatcherHarness) -> None:
        """Guards against listings while nothing changes, which all VMs would send."""
        await harness.wait_until_ready()
        await asyncio.sleep(0.1)
        before = harness.store.full_calls
        await asyncio.sleep(2.5)
        assert harness.store.full_calls == before

    async def test_lease_without_keys_expires_without_a_change(
        self, harness: WatcherHarness
    ) -> None:
        """Guards against a stand-in whose revision rises without a change that a watch returns."""
        await harness.wait_until_ready()
        await asyncio.sleep(0.1)
        before, revision = harness.store.full_calls, harness.store.revision
        harness.store.leases[1] = Lease(ttl_s=0.0, expires_at=time.monotonic())
        await asyncio.sleep(2.5)
        assert not harness.store.leases
        assert harness.store.revision == revision
        assert harness.store.full_calls == before


class TestLateWrites:
    """Writes that take effect seconds after the store's answer to them was lost."""

    KEY = names.SERVER_PREFIX + "i-1"

    async def wait_for_usable(self, harness: WatcherHarness, count: int) -> None:
        async with asyncio.timeout(10.0):
            while len(harness.gateway.view.inventory.list_usable("s", "a")) != count:
                await asyncio.sleep(0.01)

    async def expect_no_use(self, harness: WatcherHarness) -> None:
        """Checks that the server is still not used once a change has had time to arrive."""
        await asyncio.sleep(1.0)
        assert harness.gateway.view.inventory.list_usable("s", "a") == []

    async def report_draining(self, harness: WatcherHarness) -> None:
        await harness.wait_until_ready()
        await harness.store.put(self.KEY, build_entry(8, "draining", born=5))
        await self.wait_for_usable(harness, 0)

    async def test_older_heartbeat_does_not_bring_back_a_draining_server(
        self, harness: WatcherHarness
    ) -> None:
        """Guards against requests to a server that had reported that it drains."""
        await self.report_draining(harness)
        await harness.store.put(self.KEY, build_entry(4, born=5))
        await self.expect_no_use(harness)

    async def test_older_heartbeat_does_not_bring_back_a_removed_server(
        self, harness: WatcherHarness
    ) -> None:
        """Guards against requests to a server whose entry was removed.

        The late heartbeat has a higher number than the known one, because heartbeats that change
        nothing else are not seen.
        """
        await harness.wait_until_ready()
        await harness.store.put(self.KEY, build_entry(1, born=5))
        await harness.store.delete(self.KEY)
        await self.wait_for_usable(harness, 0)
        await harness.store.put(self.KEY, build_entry(4, born=5))
        await self.expect_no_use(harness)

    async def test_listing_after_a_gap_does_not_bring_back_a_draining_server(
        self, harness: WatcherHarness
    ) -> None:
        """Guards against a late write that this VM learns of by a listing instead of a watch."""
        await self.report_draining(harness)
        await harness.store.put(self.KEY, build_entry(4, born=5))
        await harness.store.forget_history()
        await self.expect_no_use(harness)

    async def test_server_that_was_started_again_is_used_at_once(
        self, harness: WatcherHarness
    ) -> None:
        """Guards against a server that is left out although it is a new process."""
        await harness.wait_until_ready()
        await harness.store.put(self.KEY, build_entry(8, "draining", born=5))
        await harness.store.delete(self.KEY)
        await self.wait_for_usable(harness, 0)
        started = time.monotonic()
        await harness.store.put(self.KEY, build_entry(1, born=6))
        await self.wait_for_usable(harness, 1)
        assert time.monotonic() - started < 2.0

    async def test_server_is_back_after_an_invalid_entry(self, harness: WatcherHarness) -> None:
        """Guards against a live server that is left out after another writer spoiled its entry."""
        await harness.wait_until_ready()
        await harness.store.put(self.KEY, {"address": 7})
        await self.wait_for_usable(harness, 0)
        started = time.monotonic()
        await harness.store.put(self.KEY, build_entry(2))
        await self.wait_for_usable(harness, 1)
        assert time.monotonic() - started < 2.0


class TestPartitionedVm:
    async def test_missing_server_is_removed_soon_after_the_store_responds_again(
        self, harness: WatcherHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests to a server that left while this VM was cut off.

        Entries that expired in an outage are back soon after it; a slow listing does not prolong
        this time.
        """
        await harness.wait_until_ready()
        monkeypatch.setattr(key_value, "PAGE_ITEMS", 1)
        inventory = harness.gateway.view.inventory
        harness.store.start_silence()
        await harness.store.delete(names.SERVER_PREFIX + "i-1")
        for number in range(SLOW_LISTING_KEYS):
            await harness.store.put(f"{names.SERVER_PREFIX}new-{number}", build_entry(1))
        await asyncio.sleep(SILENCE_S + 0.5)
        harness.store.end_silence()
        harness.store.delay_s = 0.5
        async with asyncio.timeout(30.0):
            # Pages are applied as they arrive, so the last key marks the end of the listing.
            while f"new-{SLOW_LISTING_KEYS - 1}" not in inventory.list_names():
                await asyncio.sleep(0.01)
            listed_at = time.monotonic()
            while "i-1" in inventory.list_names():
                await asyncio.sleep(0.01)
        assert time.monotonic() - listed_at < 1.0


class TestLongListing:
    """A listing of three seconds beside a watch that cannot go on, again and again."""

    async def fail_watches(self, store: KeyValueStore) -> None:
        while True:
            store.watch_failures = 1
            await store.put(names.SERVER_PREFIX + "i-1", build_entry(store.revision))
            await asyncio.sleep(FAULT_INTERVAL_S)

    async def write_too_much(self, store: KeyValueStore) -> None:
        while True:
            entry = build_entry(store.revision) | {"text": "x" * MAX_CHANGES_BYTES}
            await store.put(names.SERVER_PREFIX + "i-1", entry)
            await asyncio.sleep(FAULT_INTERVAL_S)

    async def lose_history(self, store: KeyValueStore) -> None:
        while True:
            await store.put(names.SERVER_PREFIX + "i-1", build_entry(store.revision))
            await store.forget_history()
            await asyncio.sleep(FAULT_INTERVAL_S)

    @pytest.mark.parametrize("fault", ["fail_watches", "write_too_much", "lose_history"])
    async def test_listing_ends_beside_a_watch_that_fails(
        self, harness: WatcherHarness, monkeypatch: pytest.MonkeyPatch, fault: str
    ) -> None:
        """Guards against a listing that each failure of the watch begins anew, so it never ends."""
        await harness.wait_until_ready()
        monkeypatch.setattr(store_client, "MAX_CHANGES_BYTES", MAX_CHANGES_BYTES)
        monkeypatch.setattr(key_value, "PAGE_ITEMS", 1)
        harness.store.start_silence()
        for number in range(LONG_LISTING_KEYS):
            await harness.store.put(f"{names.SERVER_PREFIX}new-{number:02}", build_entry(1))
        await harness.store.forget_history()
        harness.store.end_silence()
        harness.store.delay_s = SHORT_PAGE_DELAY_S
        running = asyncio.create_task(getattr(self, fault)(harness.store))
        inventory = harness.gateway.view.inventory
        try:
            async with asyncio.timeout(LISTED_S):
                while f"new-{LONG_LISTING_KEYS - 1}" not in inventory.list_names():
                    await asyncio.sleep(0.05)
        finally:
            running.cancel()


class TestStoreWatcher:
    async def test_servers_are_known_when_the_gateway_is_ready(
        self, harness: WatcherHarness
    ) -> None:
        """Guards against a VM that is ready but refuses requests because it knows no servers."""
        await harness.wait_until_ready()
        assert len(harness.gateway.view.inventory.list_usable("s", "a")) == 1

    async def test_heartbeats_cost_a_bounded_number_of_calls(self, harness: WatcherHarness) -> None:
        """Guards against one call to the store for each heartbeat of each server."""
        await harness.wait_until_ready()
        before = harness.store.calls
        for sequence in range(round(OBSERVED_S / HEARTBEAT_S)):
            await harness.store.put(names.SERVER_PREFIX + "i-1", build_entry(sequence))
            await asyncio.sleep(HEARTBEAT_S)
        # One fetch per half second: a quarter of the bound on draining, which is 2 s.
        assert harness.store.calls - before <= OBSERVED_S / 0.5 + 1

    async def test_draining_server_is_noticed_in_time(self, harness: WatcherHarness) -> None:
        """Guards against requests to a server that has left."""
        await harness.wait_until_ready()
        await harness.store.put(names.SERVER_PREFIX + "i-1", build_entry(2))
        await asyncio.sleep(0.05)
        await harness.store.put(names.SERVER_PREFIX + "i-1", build_entry(3, "draining"))
        async with asyncio.timeout(1.0):
            while harness.gateway.view.inventory.list_usable("s", "a"):
                await asyncio.sleep(0.01)

    async def test_all_keys_are_read_again_after_a_loss_of_history(
        self, harness: WatcherHarness
    ) -> None:
        """Guards against missing a server that left while the history was dropped."""
        await harness.wait_until_ready()
        await harness.store.delete(names.SERVER_PREFIX + "i-1")
        await harness.store.forget_history()
        async with asyncio.timeout(3.0):
            while harness.gateway.view.inventory.list_usable("s", "a"):
                await asyncio.sleep(0.01)


class TestStrictRevocation:
    @pytest.mark.parametrize("harness", [["strict_revoke=true"]], indirect=True)
    @pytest.mark.parametrize("has_changes", [True, False], ids=["changes", "no changes"])
    async def test_configuration_is_shown_to_be_current(
        self, harness: WatcherHarness, has_changes: bool
    ) -> None:
        """Guards against refusals for all keys while servers renew their entries all the time."""
        await harness.wait_until_ready()
        ends_at = time.monotonic() + 3.5
        while time.monotonic() < ends_at:
            if has_changes:
                await harness.store.put(names.SERVER_PREFIX + "i-1", build_entry(1))
            await asyncio.sleep(HEARTBEAT_S)
        assert time.monotonic() - harness.gateway.view.configuration_shown_at < 2.5

    @pytest.mark.parametrize("harness", [["strict_revoke=true"]], indirect=True)
    async def test_configuration_is_not_shown_to_be_current_without_the_store(
        self, harness: WatcherHarness
    ) -> None:
        """Guards against revoked keys that work on a VM that is cut off from the store."""
        await harness.wait_until_ready()
        harness.store.start_silence()
        silent_at = time.monotonic()
        await asyncio.sleep(2.5)
        assert harness.gateway.view.configuration_shown_at <= silent_at
