"""Tests of the metrics that tell why a VM does not start or ends by itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import pytest_asyncio
from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer
from prometheus_client.parser import text_string_to_metric_families

from briarfork.border.events import EventLog
from briarfork.border.settings import Settings
from briarfork.border.settings import Timeouts
from briarfork.border.store import StoreUnavailable
from briarfork.platform import names
from briarfork.platform.endpoints import build_metrics_app
from briarfork.platform.store import StoreClient
from briarfork.platform.store_era import StorePosition
from tests.gateway.harness import DispatchHarness
from tests.gateway.harness import build_gateway
from tests.platform.test_readers import read_pages
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ADDRESS, PORT = "127.62.9.3", 8642
URL = f"http://{ADDRESS}:{PORT}"
MEMORY_MB = 300
VALUE_BYTES = 400_000
LEASE_S = 60.0


class MetricsHarness:
    """The metrics address of a gateway beside a store."""

    def __init__(self, store: KeyValueStore, client: StoreClient, address: TestClient) -> None:  # type: ignore[type-arg]
        self.store = store
        self.client = client
        self._address = address

    async def read(self) -> dict[str, float]:
        """Returns the values of all metrics by name and labels."""
        async with self._address.get(names.METRICS_PATH) as response:
            assert response.status == 200
            text = await response.text()
        return {
            " ".join([sample.name, *sample.labels.values()]): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[MetricsHarness]:
    store = KeyValueStore()
    await store.start(ADDRESS, PORT)
    settings = Settings("vm", "a", ADDRESS, URL, URL, timeouts=Timeouts(store_s=0.1))
    gateway = build_gateway()
    async with StoreClient(settings, EventLog("test")) as client:
        app = build_metrics_app(DispatchHarness().dispatcher, client, gateway, MEMORY_MB)
        async with TestClient(TestServer(app)) as address:
            harness = MetricsHarness(store, client, address)
            assert (await harness.read())["briarfork_ready_after_seconds"] == -1
            gateway.is_synchronized = True
            gateway.log_first_readiness()
            yield harness
    await store.close()


class TestMetricsAddress:
    async def test_shows_memory_descriptors_and_readiness(self, harness: MetricsHarness) -> None:
        """Guards against a VM whose metrics hide that memory or descriptors run out."""
        metrics = await harness.read()
        limit_bytes = metrics["briarfork_memory_limit_bytes"]
        assert limit_bytes == MEMORY_MB * 1024 * 1024
        assert metrics["briarfork_memory_peak_bytes"] > 0
        assert metrics["process_resident_memory_bytes"] > 0
        assert 0 < metrics["process_open_fds"] < metrics["process_max_fds"]
        assert metrics["briarfork_ready_after_seconds"] > 0

    async def test_counts_what_is_read_from_the_store(self, harness: MetricsHarness) -> None:
        """Guards against a VM that reads a large store over and over without a trace."""
        for name in ("a", "b", "c"):
            await harness.store.put(name, "x" * VALUE_BYTES)
        (position,) = {page.position for page in await read_pages(harness.client)}
        await harness.store.put("d", "x" * VALUE_BYTES)
        await harness.client.watch("", StorePosition(position.era, position.revision))
        metrics = await harness.read()
        for kind, keys in (("listing", 3), ("changes", 1)):
            assert metrics[f"briarfork_store_read_keys_total {kind}"] == keys
            assert metrics[f"briarfork_store_read_responses_total {kind}"] == 1
            assert metrics[f"briarfork_store_read_bytes_total {kind}"] > keys * VALUE_BYTES
            assert metrics[f"briarfork_store_read_seconds_total {kind}"] > 0

    async def test_counts_failed_calls_by_call(self, harness: MetricsHarness) -> None:
        """Guards against failures that only the first line of an outage shows."""
        lease = await harness.client.create_lease(LEASE_S)
        harness.store.start_silence()
        for _ in range(2):
            with pytest.raises(StoreUnavailable):
                await harness.client.renew_lease(lease)
        with pytest.raises(StoreUnavailable):
            await read_pages(harness.client)
        harness.store.end_silence()
        metrics = await harness.read()
        failures = {name: value for name, value in metrics.items() if "store_failures" in name}
        assert failures == {
            "briarfork_store_failures_total kv-keep": 2,
            "briarfork_store_failures_total kv-range": 1,
        }
