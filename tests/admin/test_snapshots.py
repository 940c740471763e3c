"""Snapshots of the timeline in the store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from briarfork.border import snapshots as snapshot_module
from briarfork.border.changelog import READ_LIMIT
from briarfork.border.events import Event
from briarfork.border.snapshots import MANIFEST
from briarfork.border.snapshots import SnapshotStore
from briarfork.border.snapshots import name_part
from briarfork.border.store import Store
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline import RETENTION_S
from tests.admin.desks import DeskBench
from tests.admin.desks import edit_site
from tests.admin.desks import submit

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briarfork.admin.changes import ChangeDesk

CHANGES = 8
INTERVAL = 5


@pytest_asyncio.fixture
async def bench(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[DeskBench]:
    monkeypatch.setattr("briarfork.admin.snapshots.SNAPSHOT_INTERVAL", INTERVAL)
    async with DeskBench(store_s=5.0) as running:
        yield running


async def fill(bench: DeskBench, monkeypatch: pytest.MonkeyPatch, count: int) -> ChangeDesk:
    """Accepts changes two retention periods ago."""
    now = time.time()
    monkeypatch.setattr("briarfork.admin.changes.time.time", lambda: now - 2 * RETENTION_S)
    desk = await bench.start()
    for number in range(2, count + 1):
        edits = edit_site("north-a", drain=number % 2 == 0)
        await submit(desk, f"change-{number}", edits, based_on=number - 1)
    monkeypatch.undo()
    monkeypatch.setattr("briarfork.admin.snapshots.SNAPSHOT_INTERVAL", INTERVAL)
    return desk


async def write_snapshot(bench: DeskBench, desk: ChangeDesk) -> None:
    """Lets the desk write its snapshot after one more change."""
    keeper = asyncio.create_task(desk.keeper.run())
    generation = (await desk.read_timeline()).generation
    edits = edit_site("north-b", drain=True)
    await submit(desk, f"change-{generation + 1}", edits, based_on=generation)
    async with asyncio.timeout(5):
        while MANIFEST not in bench.state.items:
            await asyncio.sleep(0.01)
    keeper.cancel()


class TestSnapshot:
    async def test_start_reads_the_snapshot_and_what_follows(
        self, bench: DeskBench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a start that reads the changes of months."""
        desk = await fill(bench, monkeypatch, READ_LIMIT * 2)
        await write_snapshot(bench, desk)
        expected = await desk.read_timeline()
        bench.state.calls.clear()
        started = await bench.open_desk().read_timeline()
        assert bench.state.calls["GET range"] == 1
        assert started.generation == expected.generation == READ_LIMIT * 2 + 1
        assert started.last_hash == expected.last_hash
        assert started.find_documents(time.time()) == expected.find_documents(time.time())

    @pytest.mark.parametrize("fault", ["altered", "missing"])
    async def test_broken_part_is_noticed_and_the_changes_are_read(
        self, bench: DeskBench, monkeypatch: pytest.MonkeyPatch, fault: str
    ) -> None:
        """Guards against a start from a snapshot that lost a part or was altered."""
        monkeypatch.setattr(snapshot_module, "PART_CHARACTERS", 1000)
        desk = await fill(bench, monkeypatch, CHANGES)
        monkeypatch.setattr(snapshot_module, "PART_CHARACTERS", 1000)
        await write_snapshot(bench, desk)
        part = name_part(CHANGES, 1)
        if fault == "altered":
            bench.state.items[part].value = bench.state.items[part].value.replace("1", "2", 1)
        else:
            del bench.state.items[part]
        started = await bench.open_desk().read_timeline()
        assert started.generation == CHANGES + 1
        assert Event.SNAPSHOT_FAILED in bench.events.recorded

    async def test_snapshot_of_another_history_is_refused(
        self, bench: DeskBench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a store in which snapshot and changes were restored from two states."""
        desk = await fill(bench, monkeypatch, CHANGES)
        await write_snapshot(bench, desk)
        entry = bench.state.items["changes/0000000008"]
        entry.value = entry.value.replace('"reason":"test"', '"reason":"other"')
        with pytest.raises(BriarforkError, match="contradicts"):
            await bench.open_desk().read_timeline()

    async def test_writer_that_died_leaves_nothing_that_is_read(
        self, bench: DeskBench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a start from half a snapshot; the next writer completes it."""
        desk = await fill(bench, monkeypatch, CHANGES)
        snapshot = (await desk.read_timeline()).snapshot
        store = SnapshotStore(Store(bench.settings, bench.session))
        assert await store.write(snapshot)
        del bench.state.items[MANIFEST]
        assert await store.read() is None
        assert await store.write(snapshot)
        assert await store.read() == snapshot

    async def test_old_snapshots_are_deleted(
        self, bench: DeskBench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against snapshots that fill the store over the months."""
        desk = await fill(bench, monkeypatch, 3)
        first = (await desk.read_timeline()).snapshot
        store = SnapshotStore(Store(bench.settings, bench.session))
        for generation in (3, 4, 5):
            kept = first.kept
            assert await store.write(type(first)(generation, first.hash, first.folded, kept))
        parts = sorted(key for key in bench.state.items if key.startswith("snapshots/0"))
        assert parts == [name_part(4, 0), name_part(5, 0)]


class TestFoldedHistory:
    async def test_audit_trail_goes_back_to_the_first_change(
        self, bench: DeskBench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an audit trail that ends where memory was folded."""
        desk = await fill(bench, monkeypatch, CHANGES)
        assert (await desk.read_timeline()).snapshot.generation == CHANGES
        changes = await desk.list_changes(0, 100)
        assert [change.generation for change in changes] == list(range(1, CHANGES + 1))

    async def test_pages_go_on_after_a_missing_entry(
        self, bench: DeskBench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an audit that lists entries twice after one that is missing."""
        desk = await fill(bench, monkeypatch, READ_LIMIT + 5)
        del bench.state.items["changes/0000000002"]
        generations = [change.generation for change in await desk.list_changes(0, 1000)]
        assert generations == [1, *range(3, READ_LIMIT + 6)]

    async def test_time_before_the_snapshot_is_refused(
        self, bench: DeskBench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against documents of the past that were worked out from a folded history."""
        desk = await fill(bench, monkeypatch, CHANGES)
        timeline = await desk.read_timeline()
        with pytest.raises(BriarforkError, match="folded") as caught:
            timeline.find_documents(time.time() - 3 * RETENTION_S)
        assert caught.value.kind is ErrorKind.BAD_REQUEST

    async def test_change_based_on_an_old_generation_conflicts_by_document(
        self, bench: DeskBench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a draft, approved days later, that overwrites or is refused in vain."""
        desk = await fill(bench, monkeypatch, CHANGES)
        await submit(desk, "independent", edit_site("south-a", drain=True), based_on=1)
        with pytest.raises(BriarforkError, match="generation 8 edited"):
            await submit(desk, "clashing", edit_site("north-a", drain=True), based_on=1)
