"""Tests of timeline snapshots in the store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from briarfork.border import snapshots as snapshot_module
from briarfork.border.changelog import PAGE_SIZE
from briarfork.border.events import Event
from briarfork.border.snapshots import MANIFEST_KEY
from briarfork.border.snapshots import SnapshotStore
from briarfork.border.snapshots import build_part_key
from briarfork.border.store import Store
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline import RETENTION_S
from tests.admin.harness import AdminHarness
from tests.admin.harness import edit_site
from tests.admin.harness import submit

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briarfork.admin.changes import ChangeManager

CHANGE_COUNT = 8
SNAPSHOT_INTERVAL = 5


@pytest_asyncio.fixture
async def harness(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[AdminHarness]:
    monkeypatch.setattr("briarfork.admin.snapshots.SNAPSHOT_INTERVAL", SNAPSHOT_INTERVAL)
    async with AdminHarness(store_s=5.0) as running:
        yield running


async def accept_old_changes(
    harness: AdminHarness, monkeypatch: pytest.MonkeyPatch, count: int
) -> ChangeManager:
    """Accepts changes with a clock set back by two retention periods."""
    now = time.time()
    monkeypatch.setattr("briarfork.admin.changes.time.time", lambda: now - 2 * RETENTION_S)
    manager = await harness.start()
    for number in range(2, count + 1):
        edits = edit_site("north-a", drain=number % 2 == 0)
        await submit(manager, f"change-{number}", edits, based_on=number - 1)
    monkeypatch.undo()
    monkeypatch.setattr("briarfork.admin.snapshots.SNAPSHOT_INTERVAL", SNAPSHOT_INTERVAL)
    return manager


async def write_snapshot(harness: AdminHarness, manager: ChangeManager) -> None:
    """Accepts one more change and waits until the snapshot writer has written a snapshot."""
    writer = asyncio.create_task(manager.snapshot_writer.run())
    generation = (await manager.read_timeline()).generation
    edits = edit_site("north-b", drain=True)
    await submit(manager, f"change-{generation + 1}", edits, based_on=generation)
    async with asyncio.timeout(5):
        while MANIFEST_KEY not in harness.state.items:
            await asyncio.sleep(0.01)
    writer.cancel()


class TestSnapshot:
    async def test_startup_reads_snapshot_and_later_changes(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against reading the whole history at startup."""
        manager = await accept_old_changes(harness, monkeypatch, PAGE_SIZE * 2)
        await write_snapshot(harness, manager)
        expected = await manager.read_timeline()
        harness.state.calls.clear()
        restored = await harness.create_manager().read_timeline()
        assert harness.state.calls["GET range"] == 1
        assert restored.generation == expected.generation == PAGE_SIZE * 2 + 1
        assert restored.last_hash == expected.last_hash
        assert restored.find_documents(time.time()) == expected.find_documents(time.time())

    @pytest.mark.parametrize("damage", ["altered", "missing"])
    async def test_damaged_part_falls_back_to_changes(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch, damage: str
    ) -> None:
        """Guards against restoring a snapshot that is altered or incomplete."""
        monkeypatch.setattr(snapshot_module, "MAX_PART_CHARACTERS", 1000)
        manager = await accept_old_changes(harness, monkeypatch, CHANGE_COUNT)
        monkeypatch.setattr(snapshot_module, "MAX_PART_CHARACTERS", 1000)
        await write_snapshot(harness, manager)
        part = build_part_key(CHANGE_COUNT, 1)
        if damage == "altered":
            harness.state.items[part].value = harness.state.items[part].value.replace("1", "2", 1)
        else:
            del harness.state.items[part]
        restored = await harness.create_manager().read_timeline()
        assert restored.generation == CHANGE_COUNT + 1
        assert Event.SNAPSHOT_FAILED in harness.events.recorded

    async def test_snapshot_of_another_history_is_rejected(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a store whose snapshot and changes come from different backups."""
        manager = await accept_old_changes(harness, monkeypatch, CHANGE_COUNT)
        await write_snapshot(harness, manager)
        entry = harness.state.items["changes/0000000008"]
        entry.value = entry.value.replace('"reason":"test"', '"reason":"other"')
        with pytest.raises(BriarforkError, match="contradicts"):
            await harness.create_manager().read_timeline()

    async def test_incomplete_snapshot_is_not_read(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against restoring a snapshot whose writer crashed before the manifest was written.

        The next writer completes the snapshot.
        """
        manager = await accept_old_changes(harness, monkeypatch, CHANGE_COUNT)
        snapshot = (await manager.read_timeline()).snapshot
        store = SnapshotStore(Store(harness.settings, harness.session))
        assert await store.write(snapshot)
        del harness.state.items[MANIFEST_KEY]
        assert await store.read() is None
        assert await store.write(snapshot)
        assert await store.read() == snapshot

    async def test_old_snapshots_are_deleted(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against snapshots that accumulate in the store."""
        manager = await accept_old_changes(harness, monkeypatch, 3)
        first = (await manager.read_timeline()).snapshot
        store = SnapshotStore(Store(harness.settings, harness.session))
        for generation in (3, 4, 5):
            kept = first.kept
            assert await store.write(type(first)(generation, first.hash, first.folded, kept))
        parts = sorted(key for key in harness.state.items if key.startswith("snapshots/0"))
        assert parts == [build_part_key(4, 0), build_part_key(5, 0)]


class TestCompactedHistory:
    async def test_audit_trail_contains_compacted_changes(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an audit trail without the changes that are compacted in memory."""
        manager = await accept_old_changes(harness, monkeypatch, CHANGE_COUNT)
        assert (await manager.read_timeline()).snapshot.generation == CHANGE_COUNT
        changes = await manager.list_changes(0, 100)
        assert [change.generation for change in changes] == list(range(1, CHANGE_COUNT + 1))

    async def test_pagination_continues_after_a_missing_entry(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against repeated entries in the audit trail after a missing one."""
        manager = await accept_old_changes(harness, monkeypatch, PAGE_SIZE + 5)
        del harness.state.items["changes/0000000002"]
        generations = [change.generation for change in await manager.list_changes(0, 1000)]
        assert generations == [1, *range(3, PAGE_SIZE + 6)]

    async def test_time_before_the_snapshot_is_rejected(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against past documents computed from a compacted history."""
        manager = await accept_old_changes(harness, monkeypatch, CHANGE_COUNT)
        timeline = await manager.read_timeline()
        with pytest.raises(BriarforkError, match="folded") as caught:
            timeline.find_documents(time.time() - 3 * RETENTION_S)
        assert caught.value.kind is ErrorKind.BAD_REQUEST

    async def test_change_based_on_an_old_generation_conflicts_by_document(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against late approvals that overwrite edits or fail without a conflict.

        A draft may be approved days after its base generation was compacted.
        """
        manager = await accept_old_changes(harness, monkeypatch, CHANGE_COUNT)
        await submit(manager, "independent", edit_site("south-a", drain=True), based_on=1)
        with pytest.raises(BriarforkError, match="generation 8 edited"):
            await submit(manager, "clashing", edit_site("north-a", drain=True), based_on=1)
