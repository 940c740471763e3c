"""Tests of a store that is restored from an older copy and tells so by its era."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64encode
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import TYPE_CHECKING

import logbook
import pytest
import pytest_asyncio

from briarfork.border.events import EventLog
from briarfork.border.settings import Settings
from briarfork.border.settings import Timeouts
from briarfork.border.store import StoreUnavailable
from briarfork.gateway.process import Gateway
from briarfork.gateway.view import GatewayView
from briarfork.platform import names
from briarfork.platform.listing import LAST_KEY
from briarfork.platform.listing import Page
from briarfork.platform.registration import Registration
from briarfork.platform.registration_records import encode_member
from briarfork.platform.settings import load_platform_settings
from briarfork.platform.store import StoreClient
from briarfork.platform.store_contents import StoreContents
from briarfork.platform.store_entries import read_entries
from briarfork.platform.store_era import EraEnded
from briarfork.platform.store_era import StaleResponse
from briarfork.platform.store_era import StoreEra
from briarfork.platform.store_era import StorePosition
from briarfork.platform.store_era import parse_era
from briarfork.platform.store_health import StoreHealth
from briarfork.platform.store_messages import Item
from briarfork.platform.watcher import StoreWatcher
from tests.platform.test_odd_store import OWN
from tests.platform.test_readers import read_pages
from tests.platform.test_settings import BOOT
from tests.platform.test_watcher import CONFIGURATION
from tests.platform.test_watcher import build_entry
from tests.standins import key_value
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from pathlib import Path

    from briarfork.platform.settings import PlatformSettings

ADDRESS, PORT = "127.62.9.3", 8642
URL = f"http://{ADDRESS}:{PORT}"
LEASE_S = 60.0
DELAY_S = 0.2
OWN_KEY = names.MEMBER_PREFIX + OWN.vm
SERVER_KEY = names.SERVER_PREFIX + "i-1"
EVACUATION_KEY = names.EVACUATION_PREFIX + "a"
# The bound for the registration after a restore.
REGISTERED_S = 2.0
VMS = 20


async def wait_until(is_reached: Callable[[], bool], longest_s: float) -> None:
    async with asyncio.timeout(longest_s):
        while not is_reached():
            await asyncio.sleep(0.01)


@pytest_asyncio.fixture
async def store() -> AsyncIterator[KeyValueStore]:
    store = KeyValueStore(era=1)
    await store.start(ADDRESS, PORT)
    await store.put(names.CONFIGURATION_KEY, CONFIGURATION)
    await store.put(SERVER_KEY, build_entry(1))
    yield store
    await store.close()


@pytest_asyncio.fixture
async def client(store: KeyValueStore) -> AsyncIterator[StoreClient]:
    settings = Settings("vm", "a", ADDRESS, URL, URL, timeouts=Timeouts(store_s=1.0))
    async with StoreClient(settings, EventLog("test")) as client:
        yield client


class VmHarness:
    """The tasks of a gateway that use the store."""

    def __init__(self, gateway: Gateway, watcher: StoreWatcher) -> None:
        self.gateway = gateway
        self.contents = watcher.contents

    def has_usable_server(self) -> bool:
        return bool(self.gateway.view.inventory.list_usable("s", "a"))


def load_settings(folder: Path) -> PlatformSettings:
    path = folder / "boot.json"
    path.write_text(json.dumps(BOOT | {"platform": {"address": f"{ADDRESS}:{PORT}"}}))
    return load_platform_settings(path)


def build_gateway(settings: PlatformSettings) -> Gateway:
    events = EventLog("test")
    view = GatewayView(settings.common, settings.location, settings.retry_limits, events)
    return Gateway(view, events)


def list_servers(gateway: Gateway) -> list[str]:
    return gateway.view.inventory.list_names()


@pytest_asyncio.fixture
async def vm(tmp_path: Path, store: KeyValueStore) -> AsyncIterator[VmHarness]:
    settings, events = load_settings(tmp_path), EventLog("test")
    gateway = build_gateway(settings)
    # The first listing is on its way for this long, so that a test can restore the store meanwhile.
    store.delay_s = DELAY_S
    async with StoreClient(settings.common, events) as client:
        watcher = StoreWatcher(settings, gateway, client, events)
        registration = Registration(settings, client, watcher.contents, OWN)
        loops = (watcher.run(), watcher.expire(), registration.run())
        tasks = [asyncio.create_task(loop) for loop in loops]
        yield VmHarness(gateway, watcher)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


@pytest_asyncio.fixture
async def running(vm: VmHarness, store: KeyValueStore) -> VmHarness:
    store.delay_s = 0.0
    await wait_until(lambda: vm.gateway.is_ready and OWN_KEY in store.items, 5.0)
    return vm


class TestStoreEra:
    @pytest.mark.parametrize(("earlier", "changes"), [([None], 1), (["7"], 0), ([], 0)])
    def test_first_era_after_responses_without_one_is_a_change(
        self, earlier: list[str | None], changes: int
    ) -> None:
        """Guards against a late registration where only a restored store names its era."""
        era, calls = StoreEra(EventLog("test")), list[int]()
        era.subscribe(lambda: calls.append(era.current))
        for header in (*earlier, "7"):
            era.observe(header, era.current)
        assert (era.current, len(calls)) == (7, changes)


class TestStoreClient:
    async def test_era_is_read_from_errors(self, store: KeyValueStore, client: StoreClient) -> None:
        """Guards against a restore that is noticed only once the store answers a call."""
        store.down = True
        with pytest.raises(StoreUnavailable):
            await read_pages(client)
        assert client.era.current == 1

    @pytest.mark.parametrize("header", [None, "", "-1", "1.5", "\u0662", "9" * 11, "9" * 5000])
    def test_malformed_era_counts_as_none(self, header: str | None) -> None:
        """Guards against a malformed era that makes a VM discard all later responses."""
        assert parse_era(header) is None

    async def test_response_of_an_earlier_era_is_discarded(
        self, store: KeyValueStore, client: StoreClient
    ) -> None:
        """Guards against a listing of the store before its restore that arrives after it."""
        store.delay_s = DELAY_S
        late = asyncio.create_task(read_pages(client))
        await asyncio.sleep(DELAY_S / 2)
        store.delay_s = 0.0
        await store.restore(store.take_copy())
        await client.create_lease(LEASE_S)
        with pytest.raises(StaleResponse):
            await late

    async def test_pages_of_two_eras_make_no_listing(
        self, store: KeyValueStore, client: StoreClient, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a listing that lacks keys because it began before a restore."""
        monkeypatch.setattr(key_value, "PAGE_ITEMS", 1)
        await store.put(EVACUATION_KEY, {})
        store.delay_s = DELAY_S
        listing = asyncio.create_task(read_pages(client))
        await asyncio.sleep(1.5 * DELAY_S)
        await store.restore(store.take_copy())
        with pytest.raises(EraEnded):
            await listing

    async def test_lease_of_an_earlier_era_is_not_used(
        self, store: KeyValueStore, client: StoreClient
    ) -> None:
        """Guards against the renewal of a lease whose number another VM has now."""
        lease = await client.create_lease(LEASE_S)
        await store.restore(store.take_copy())
        with pytest.raises(EraEnded):
            await client.put(OWN_KEY, b"", lease)
        before = store.calls
        with pytest.raises(EraEnded):
            await client.renew_lease(lease)
        assert store.calls == before


class TestStoreContents:
    @pytest.mark.parametrize(("era", "is_kept"), [(2, True), (1, False)])
    def test_outage_gives_time_to_register_only_after_a_restore(
        self, era: int, is_kept: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against slots that change their owner as the store fails after its restore.

        Without a restore, VMs and servers are removed as ever.
        """
        now_s, events = [100.0], EventLog("test")
        monkeypatch.setattr(time, "monotonic", lambda: now_s[0])
        settings, health = load_settings(tmp_path), StoreHealth(events)
        gateway = build_gateway(settings)
        contents = StoreContents(settings, gateway, health, events)
        other = replace(OWN, vm="vm-other")
        values = {
            SERVER_KEY: json.dumps(build_entry(1)).encode(),
            names.MEMBER_PREFIX + other.vm: encode_member(other),
        }
        items = [Item(key, 10, b64encode(value).decode()) for key, value in values.items()]
        contents.apply_page(Page(read_entries(items), LAST_KEY, StorePosition(1, 10), True, True))
        for lasts_s in (0.0, 20.0):
            # The entries expire in a first outage, and the store fails again before the VM and the
            # server have registered.
            health.record_failure("down")
            now_s[0] += lasts_s
            health.record_failure("down")
            health.record_response()
            now_s[0] += 0.1
            contents.apply_page(Page([], LAST_KEY, StorePosition(era, 11), True, True))
        contents.expire(now_s[0])
        assert (other.vm in contents.members.current) == is_kept
        assert (SERVER_KEY.removeprefix(names.SERVER_PREFIX) in list_servers(gateway)) == is_kept
        now_s[0] += settings.lease_s
        contents.expire(now_s[0])
        assert not contents.members.current
        assert not list_servers(gateway)

    @pytest.mark.parametrize("is_listed", [True, False], ids=["later", "first listing"])
    def test_vm_of_an_unfinished_listing_keeps_its_time_to_register(
        self, is_listed: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against slots that change their owner as a listing outlasts the lease of a VM.

        The listing of a restored store has shown the key range of the VM before it registers again.
        The restore also comes between two pages of the first listing.
        """
        now_s, events = [100.0], EventLog("test")
        monkeypatch.setattr(time, "monotonic", lambda: now_s[0])
        settings, health = load_settings(tmp_path), StoreHealth(events)
        contents = StoreContents(settings, build_gateway(settings), health, events)
        other = replace(OWN, vm="vm-other")
        key = names.MEMBER_PREFIX + other.vm
        item = Item(key, 10, b64encode(encode_member(other)).decode())
        entries, position = read_entries([item]), StorePosition(1, 10)
        contents.apply_page(Page(entries, item.key, position, True, is_listed))
        restored = StorePosition(2, 8)
        contents.apply_page(Page([], names.CONFIGURATION_KEY, restored, True, False))
        now_s[0] += settings.lease_s + 0.5
        contents.apply_page(Page([], LAST_KEY, restored, False, True))
        assert other.vm in contents.members.current
        now_s[0] += settings.lease_s
        contents.expire(now_s[0])
        assert not contents.members.current

    def test_outage_during_a_listing_gives_servers_time_to_register(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against servers that end as the store fails within a listing after its restore."""
        now_s, events = [100.0], EventLog("test")
        monkeypatch.setattr(time, "monotonic", lambda: now_s[0])
        settings, health = load_settings(tmp_path), StoreHealth(events)
        gateway = build_gateway(settings)
        contents = StoreContents(settings, gateway, health, events)
        item = Item(SERVER_KEY, 10, b64encode(json.dumps(build_entry(1)).encode()).decode())
        contents.apply_page(Page(read_entries([item]), LAST_KEY, StorePosition(1, 10), True, True))
        restored = StorePosition(2, 8)
        contents.apply_page(Page([], SERVER_KEY, restored, True, False))
        health.record_failure("down")
        now_s[0] += 20.0
        health.record_failure("down")
        health.record_response()
        contents.apply_page(Page([], LAST_KEY, restored, True, True))
        contents.expire(now_s[0])
        assert list_servers(gateway)
        now_s[0] += settings.entry_ttl_s
        contents.expire(now_s[0])
        assert not list_servers(gateway)


class TestRestoredStore:
    async def test_vm_registers_again_and_keeps_what_the_copy_lacks(
        self, store: KeyValueStore, running: VmHarness
    ) -> None:
        """Guards against a VM that follows the copy back; this one is from before its start."""
        copy = store.take_copy()
        copy.items.pop(OWN_KEY)
        await store.put(names.CONFIGURATION_KEY, CONFIGURATION | {"version": 4})
        await store.put(EVACUATION_KEY, {})
        await store.put(SERVER_KEY, build_entry(8, "draining"))
        await wait_until(lambda: running.contents.evacuations.zones == {"a"}, 2.0)
        handler = logbook.TestHandler()
        with handler.applicationbound():
            started = time.monotonic()
            await store.restore(copy)
            await wait_until(lambda: OWN_KEY in store.items, REGISTERED_S)
            # The watch would have shown an older state by now.
            await asyncio.sleep(REGISTERED_S - (time.monotonic() - started))
        assert running.gateway.view.require_route_table().version == 4
        # A store that holds an older configuration does not show that the VM's is the current one.
        assert running.gateway.view.configuration_shown_at < started
        assert running.contents.evacuations.zones == {"a"}
        assert OWN.vm in running.gateway.view.members
        changed = [item.extra for item in handler.records if item.extra["event"] == 3008]
        assert [(item["before"], item["after"]) for item in changed] == [(1, 2)]
        await store.put(EVACUATION_KEY, {})
        await asyncio.sleep(1.0)
        await store.delete(EVACUATION_KEY)
        await wait_until(lambda: not running.contents.evacuations.zones, 2.0)
        assert not running.has_usable_server()
        await store.put(SERVER_KEY, build_entry(9))
        await wait_until(running.has_usable_server, 2.0)

    async def test_evacuation_that_ends_before_the_first_listing(
        self, store: KeyValueStore, running: VmHarness
    ) -> None:
        """Guards against a zone without requests for good, as the VM lists the keys late."""
        await store.put(EVACUATION_KEY, {})
        await wait_until(lambda: running.contents.evacuations.zones == {"a"}, 2.0)
        store.down = True
        await store.restore(store.take_copy())
        await store.delete(EVACUATION_KEY)
        store.down = False
        await wait_until(lambda: not running.contents.evacuations.zones, REGISTERED_S)
        await wait_until(running.has_usable_server, REGISTERED_S)

    async def test_two_restores_within_three_seconds(
        self, store: KeyValueStore, running: VmHarness
    ) -> None:
        """Guards against a second restore that finds the VM amid its answer to the first."""
        await store.put(EVACUATION_KEY, {})
        copy = store.take_copy()
        await wait_until(lambda: running.contents.evacuations.zones == {"a"}, 2.0)
        await store.delete(EVACUATION_KEY)
        await wait_until(running.has_usable_server, 2.0)
        for _ in range(2):
            await store.restore(copy)
            await asyncio.sleep(1.0)
        await wait_until(lambda: store.last_lease > copy.last_lease, REGISTERED_S)
        assert running.has_usable_server()
        await store.put(EVACUATION_KEY, {})
        await wait_until(lambda: not running.has_usable_server(), 2.0)

    async def test_restore_during_the_start(self, store: KeyValueStore, vm: VmHarness) -> None:
        """Guards against a VM that starts with keys or a lease of the era before."""
        copy = store.take_copy()
        await store.put(names.CONFIGURATION_KEY, CONFIGURATION | {"version": 5})
        await asyncio.sleep(1.5 * DELAY_S)
        await store.restore(copy)
        store.delay_s = 0.0
        await store.put(names.CONFIGURATION_KEY, CONFIGURATION | {"version": 6})
        await wait_until(lambda: vm.gateway.is_ready and OWN_KEY in store.items, 3.0)
        await wait_until(lambda: vm.gateway.view.require_route_table().version == 6, 2.0)
        assert store.items[OWN_KEY].lease in store.leases

    async def test_registrations_are_spread(self, store: KeyValueStore, tmp_path: Path) -> None:
        """Guards against the writes of all VMs at one moment, as the store is just back."""
        settings = load_settings(tmp_path)
        empty, registered_at = store.take_copy(), dict[str, float]()
        async with AsyncExitStack() as stack, asyncio.TaskGroup() as group:
            tasks = []
            for number in range(VMS):
                client = await stack.enter_async_context(
                    StoreClient(settings.common, EventLog("test"))
                )
                watcher = StoreWatcher(settings, build_gateway(settings), client, EventLog("test"))
                own = replace(OWN, vm=f"vm-{number}")
                registration = Registration(settings, client, watcher.contents, own)
                tasks.append(group.create_task(registration.run()))
            await wait_until(lambda: len(store.leases) == VMS, 5.0)
            await store.restore(empty)
            while len(registered_at) < VMS:
                await asyncio.sleep(0.01)
                for key in store.items:
                    if key.startswith(names.MEMBER_PREFIX):
                        registered_at.setdefault(key, time.monotonic())
            for task in tasks:
                task.cancel()
        times = sorted(registered_at.values())
        assert 0.3 < times[-1] - times[0] < REGISTERED_S
        assert max(sum(at <= other < at + 0.1 for other in times) for at in times) < VMS / 2
