"""Tests of answers and records of the store that no sound store or writer has."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from briarfork.border.events import EventLog
from briarfork.gateway.process import Gateway
from briarfork.gateway.view import GatewayView
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.platform import names
from briarfork.platform.registration import Registration
from briarfork.platform.settings import load_platform_settings
from briarfork.platform.store import StoreClient
from briarfork.platform.watcher import StoreWatcher
from tests.platform.test_settings import BOOT
from tests.platform.test_watcher import CONFIGURATION
from tests.platform.test_watcher import build_entry
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

ADDRESS, PORT = "127.62.9.2", 8642
DEPTH = 100_000
OBSERVED_S = 0.5
UP_TO_DATE_S = 4.0
OWN = Member(
    vm="vm-own",
    address=ADDRESS,
    zone="a",
    incarnation=1,
    version=1,
    state=MemberState.LIVE,
    ports={"entry": 1, "permits": 2},
)


class StoreTasksHarness:
    """The tasks of a gateway that use the store; none of them may end."""

    def __init__(self, store: KeyValueStore, gateway: Gateway, tasks: list[asyncio.Task[None]]):
        self.store = store
        self.gateway = gateway
        self.tasks = tasks

    async def wait_for_version(self, version: int) -> None:
        async with asyncio.timeout(UP_TO_DATE_S):
            while not (
                self.gateway.is_ready
                and self.gateway.view.require_route_table().version == version
                and names.MEMBER_PREFIX + OWN.vm in self.store.items
            ):
                self.check_tasks()
                await asyncio.sleep(0.01)

    def check_tasks(self) -> None:
        """Raises the exception of a task that has ended."""
        for task in self.tasks:
            if task.done():
                task.result()
                raise AssertionError("a task has ended")


@pytest_asyncio.fixture
async def harness(tmp_path: Path) -> AsyncIterator[StoreTasksHarness]:
    path = tmp_path / "boot.json"
    boot = BOOT | {"platform": {"address": f"{ADDRESS}:{PORT}"}, "bounds": ["drain=2s"]}
    path.write_text(json.dumps(boot))
    settings = load_platform_settings(path)
    store = KeyValueStore()
    await store.start(ADDRESS, PORT)
    await store.put(names.CONFIGURATION_KEY, CONFIGURATION)
    await store.put(names.SERVER_PREFIX + "i-1", build_entry(1))
    events = EventLog("test")
    gateway = Gateway(
        GatewayView(settings.common, settings.location, settings.retry_limits, events), events
    )
    async with StoreClient(settings.common, events) as client:
        watcher = StoreWatcher(settings, gateway, client, events)
        registration = Registration(settings, client, watcher.contents, OWN)
        coroutines = (
            watcher.run(),
            watcher.expire(),
            registration.run(),
            gateway.permits.maintain_links(),
        )
        tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        yield StoreTasksHarness(store, gateway, tasks)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
    await store.close()


class TestOddAnswers:
    @pytest.mark.parametrize(
        ("status", "body"),
        [
            (404, b""),
            (410, b""),
            (200, b'{"store_revision":' + b"[" * DEPTH + b"]" * DEPTH + b"}"),
            (200, b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"),
            (200, b'{"lease":' + b"9" * 5000 + b',"store_revision":-1,"items":[]}'),
            (200, b'{"items":null,"events":null,"store_revision":1e400}'),
            (200, b'{"items":[{"key":"\\ud800","revision":1}],"store_revision":1}'),
            (200, b"\xff"),
            (200, b""),
            (204, b""),
            (302, b""),
            (412, b'{"items":[]}'),
        ],
        ids=lambda value: str(value)[:12],
    )
    @pytest.mark.parametrize("at_start", [True, False], ids=["at the start", "later"])
    async def test_odd_answer_ends_no_task(
        self, harness: StoreTasksHarness, status: int, body: bytes, at_start: bool
    ) -> None:
        """Guards against a process that ends, with all its requests, because of an odd answer."""
        if not at_start:
            await harness.wait_for_version(3)
        harness.store.odd_answer = (status, body)
        await harness.store.put(names.CONFIGURATION_KEY, CONFIGURATION | {"version": 4})
        await asyncio.sleep(OBSERVED_S)
        harness.check_tasks()
        harness.store.odd_answer = None
        await harness.wait_for_version(4)
