"""Test harness that runs change managers in the test process on a store stand-in."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from aiohttp.test_utils import TestServer

from briarfork.admin.changes import ChangeManager
from briarfork.admin.teams import Team
from briarfork.border.changelog import build_change_key
from briarfork.border.documents import ChangeRequestModel
from briarfork.border.documents import WithdrawalModel
from briarfork.border.events import EventLog
from briarfork.border.files import load_documents
from briarfork.border.settings import Settings
from briarfork.border.settings import Timeouts
from briarfork.border.store import Store
from tests.standins.store import STATE
from tests.standins.store import build_app

if TYPE_CHECKING:
    from briarfork.admin.changes import SubmitResult
    from briarfork.border.events import Event
    from tests.standins.store import StoreState

ADDRESS = "127.11.0.1"
ESTONIA = Path(__file__).parent.parent.parent / "examples" / "estonia"
# Short, so that tests with an unresponsive store stay fast.
STORE_TIMEOUT_S = 0.3
UNRESTRICTED_TEAM = Team()


class RecordingEventLog(EventLog):
    """Event log that collects the recorded events."""

    def __init__(self) -> None:
        super().__init__("test")
        self.recorded: list[Event] = []

    def record(self, event: Event, **fields: object) -> None:
        self.recorded.append(event)


class AdminHarness:
    """Store stand-in with any number of change managers, one for each simulated admin process."""

    def __init__(self, store_s: float = STORE_TIMEOUT_S) -> None:
        self._stack = AsyncExitStack()
        self._store_s = store_s
        self.events = RecordingEventLog()
        self.initial_base: dict[str, Any] = {}
        self.state: StoreState
        self.settings: Settings
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> AdminHarness:
        app = build_app()
        self.state = app[STATE]
        server = TestServer(app, host=ADDRESS)
        await self._stack.enter_async_context(server)
        self.session = await self._stack.enter_async_context(aiohttp.ClientSession())
        url = f"http://{ADDRESS}:{server.port}"
        timeouts = Timeouts(store_s=self._store_s)
        self.settings = Settings("admin-1", "north-a", ADDRESS, url, url, timeouts=timeouts)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.state.released.set()
        await self._stack.aclose()

    def create_manager(self) -> ChangeManager:
        return ChangeManager(Store(self.settings, self.session), self.events)

    def list_change_keys(self) -> list[str]:
        return sorted(key for key in self.state.items if key.startswith("changes/"))

    def assert_generations(self, count: int) -> None:
        assert self.list_change_keys() == [build_change_key(n + 1) for n in range(count)]

    async def start(self, **base: Any) -> ChangeManager:
        """Returns a manager that has accepted the Estonian example as its first change.

        Args:
            base: Keys to override in the base document.
        """
        manager = self.create_manager()
        edits = dict(load_documents(ESTONIA).by_name)
        edits["base"] = self.initial_base = {**edits["base"], **base}
        await submit(manager, "first", edits, based_on=0)
        return manager


def build_request(change_id: str, edits: dict[str, Any], **fields: Any) -> ChangeRequestModel:
    body = {"author": "mari", "reason": "test", "based_on": 1, **fields}
    return ChangeRequestModel(change_id=change_id, edits=edits, **body)


async def submit(
    manager: ChangeManager,
    change_id: str,
    edits: dict[str, Any],
    team: Team = UNRESTRICTED_TEAM,
    **fields: Any,
) -> SubmitResult:
    return await manager.submit(build_request(change_id, edits, **fields), team, dry_run=False)


async def approve(manager: ChangeManager, change_id: str) -> int:
    return await manager.approve(change_id, "jaan", UNRESTRICTED_TEAM, dry_run=False)


async def withdraw(manager: ChangeManager, generation: int, change_id: str) -> int:
    body = WithdrawalModel(change_id=change_id, author="mari", reason="test")
    return await manager.withdraw(generation, body, UNRESTRICTED_TEAM, dry_run=False)


def edit_site(site: str, **fields: Any) -> dict[str, Any]:
    """Returns an edit of one site overlay."""
    return {f"sites/{site}": {"site": site, "zone": site, **fields}}
