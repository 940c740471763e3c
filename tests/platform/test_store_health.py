"""Tests of judging the store by the calls of this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import pytest
import pytest_asyncio

from briarfork.border.events import EventLog
from briarfork.border.settings import Settings
from briarfork.border.settings import Timeouts
from briarfork.border.store import StoreUnavailable
from briarfork.platform.store import StoreClient
from tests.platform.test_readers import read_pages
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ADDRESS, PORT = "127.62.9.2", 8642
URL = f"http://{ADDRESS}:{PORT}"
LEASE_S = 60.0


@pytest_asyncio.fixture
async def store() -> AsyncIterator[KeyValueStore]:
    store = KeyValueStore()
    await store.start(ADDRESS, PORT)
    yield store
    await store.close()


@pytest_asyncio.fixture
async def client(store: KeyValueStore) -> AsyncIterator[StoreClient]:
    settings = Settings("vm", "a", ADDRESS, URL, URL, timeouts=Timeouts(store_s=0.1))
    async with StoreClient(settings, EventLog("test")) as client:
        yield client


def list_events(handler: logbook.TestHandler) -> list[str]:
    return [record.extra["name"] for record in handler.records]


class TestStoreHealth:
    async def test_loss_is_logged_by_the_first_call_that_fails(
        self, store: KeyValueStore, client: StoreClient
    ) -> None:
        """Guards against an outage that only shows when a long watch ends."""
        with logbook.TestHandler() as handler:
            lease = await client.create_lease(LEASE_S)
            store.start_silence()
            for _ in range(2):
                with pytest.raises(StoreUnavailable):
                    await client.renew_lease(lease)
            assert not client.health.is_healthy()
            store.end_silence()
            await client.renew_lease(lease)
            assert list_events(handler) == ["store_lost", "store_back"]
            reason = handler.records[0].extra["reason"]
            assert reason == f"POST /v1/kv-keep/{lease.number}: TimeoutError"

    async def test_view_ages_while_only_other_calls_succeed(
        self, store: KeyValueStore, client: StoreClient
    ) -> None:
        """Guards against a stale view that looks current because the leases are renewed."""
        lease = await client.create_lease(LEASE_S)
        before_listing = client.health.compute_view_age()
        await read_pages(client)
        after_listing = client.health.compute_view_age()
        await client.renew_lease(lease)
        assert after_listing < before_listing
        assert client.health.compute_view_age() > after_listing
