"""Tests of submissions while the store is unavailable, slow, rolled back or loses responses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING

import msgspec
import pytest
import pytest_asyncio

from briarfork.admin.changes import MAX_PAGE_CHARACTERS
from briarfork.admin.drafts import Draft
from briarfork.admin.drafts import DraftStore
from briarfork.border.changelog import build_change_key
from briarfork.border.events import Event
from briarfork.border.store import Store
from briarfork.border.store import StoreUnavailable
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import OutcomeUnknown
from briarfork.timeline import WITHDRAWAL_MARGIN_S
from tests.admin.harness import STORE_TIMEOUT_S
from tests.admin.harness import AdminHarness
from tests.admin.harness import approve
from tests.admin.harness import edit_site
from tests.admin.harness import submit
from tests.admin.harness import withdraw
from tests.standins.store import Item

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SITES = ["north-a", "north-b", "south-a", "south-b", "west-a"]
HOUR_S = 3600.0
# Values up to 1 MB; two of the second kind do not fit in a response, because they are escaped.
LARGE_TEXTS = ["x" * 990_000, "\u00e4" * 495_000]


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[AdminHarness]:
    async with AdminHarness() as running:
        yield running


@pytest_asyncio.fixture
async def patient_harness() -> AsyncIterator[AdminHarness]:
    """A harness whose store may take some time to encode large values."""
    async with AdminHarness(store_s=10.0) as running:
        yield running


class TestUnavailableStore:
    async def test_submission_fails_in_time_and_accepts_nothing(
        self, harness: AdminHarness
    ) -> None:
        """Guards against submissions that hang, or that are accepted during an outage."""
        manager = await harness.start()
        harness.state.mode = "down"
        async with asyncio.timeout(10):
            with pytest.raises(StoreUnavailable):
                await submit(manager, "during", edit_site("north-a", drain=True))
        harness.state.mode = "up"
        harness.assert_generations(1)
        assert (await submit(manager, "during", edit_site("north-a", drain=True))).generation == 2

    async def test_write_during_outage_is_accepted_once(self, harness: AdminHarness) -> None:
        """Guards against a duplicate when the client retries a change with an unknown outcome."""
        manager = await harness.start()
        harness.state.lose = 100
        with pytest.raises(StoreUnavailable):
            await submit(manager, "unknown", edit_site("north-a", drain=True))
        harness.assert_generations(2)
        harness.state.lose = 0
        retried = await submit(
            harness.create_manager(), "unknown", edit_site("north-a", drain=True)
        )
        assert retried.generation == 2
        harness.assert_generations(2)


ODD_ANSWERS = {
    "no fields": (200, "{}"),
    "list": (200, "[]"),
    "entry without fields": (200, '{"entries": [{}], "revision": 1}'),
    "text as revision": (200, '{"entries": [], "value": "", "revision": "x"}'),
    "nested": (200, "[" * 100_000),
    "missing": (404, "{}"),
}


class TestOddAnswers:
    @pytest.mark.parametrize("answer", ODD_ANSWERS.values(), ids=ODD_ANSWERS.keys())
    async def test_odd_answer_counts_as_an_outage(
        self, harness: AdminHarness, answer: tuple[int, str]
    ) -> None:
        """Guards against an odd answer that ends the process, or is reported as internal."""
        manager = await harness.start()
        harness.state.mode, harness.state.odd_answer = "odd", answer
        with pytest.raises(StoreUnavailable):
            await submit(manager, "during", edit_site("north-a", drain=True))
        harness.events.recorded.clear()
        writer = asyncio.create_task(manager.snapshot_writer.run())
        manager.snapshot_writer.notify_change()
        async with asyncio.timeout(10):
            while Event.SNAPSHOT_FAILED not in harness.events.recorded and not writer.done():
                await asyncio.sleep(0.01)
        assert not writer.done()
        writer.cancel()
        harness.state.mode = "up"
        result = await submit(manager, "during", edit_site("north-a", drain=True))
        assert result.generation == 2

    async def test_listing_ends_if_entries_repeat(self, harness: AdminHarness) -> None:
        """Guards against a listing of drafts without end, which holds ever more of them."""
        draft = msgspec.json.encode(Draft("099", "mari", "-", "test", None, {}, 1)).decode()
        entries = [{"key": f"drafts/{n:03}", "value": draft, "revision": 1} for n in range(100)]
        body = json.dumps({"entries": entries, "revision": 1})
        harness.state.mode, harness.state.odd_answer = "odd", (200, body)
        drafts = DraftStore(Store(harness.settings, harness.session), harness.events)
        after = (await drafts.read_page("")).next_after
        assert after is not None
        with pytest.raises(StoreUnavailable, match="repeat"):
            await drafts.read_page(after)


class TestLargeValues:
    async def test_all_changes_are_read(self, patient_harness: AdminHarness) -> None:
        """Guards against a page that is too long for a response and is asked for again for ever."""
        harness = patient_harness
        timeline = await (await harness.start()).read_timeline()
        change = timeline.list_after(0, 1)[0]
        for generation in range(2, 32):
            reason = LARGE_TEXTS[generation % 2]
            previous_hash = change.compute_hash()
            change = replace(
                change,
                generation=generation,
                change_id=f"large-{generation}",
                reason=reason,
                edits={},
                previous_hash=previous_hash,
            )
            value = msgspec.json.encode(change).decode()
            harness.state.items[build_change_key(generation)] = Item(value, generation, None)
        async with asyncio.timeout(30):
            timeline = await harness.create_manager().read_timeline()
        assert timeline.generation == 31

    @pytest.mark.parametrize("approval", ["none", "required"])
    async def test_change_over_the_size_of_a_value_is_refused(
        self, harness: AdminHarness, approval: str
    ) -> None:
        """Guards against a change of unknown outcome that the store can never take."""
        manager = await harness.start(approval=approval)
        blocks = [
            {"prefix": f"10.{number // 256}.{number % 256}.0/24", "region": "north"}
            for number in range(30_000)
        ]
        edits = {"base": {**harness.initial_base, "client_blocks": blocks}}
        with pytest.raises(BriarforkError) as caught:
            await submit(manager, "huge", edits)
        assert caught.value.kind is ErrorKind.BODY_TOO_LARGE
        harness.assert_generations(1)

    async def test_slow_pages_become_smaller(self, harness: AdminHarness) -> None:
        """Guards against a page that takes longer than its timeout and is asked for for ever."""
        await harness.start()
        for number in range(60):
            harness.state.items[f"drafts/{number:03}"] = Item("", 100 + number, None)
        harness.state.mode, harness.state.delay_s = "slow pages", STORE_TIMEOUT_S / 8
        store = Store(harness.settings, harness.session)
        found: list[str] = []
        async with asyncio.timeout(30):
            while len(found) < 60:
                with contextlib.suppress(StoreUnavailable):
                    page = await store.list_range("drafts/", found[-1] if found else "")
                    found += [entry.key for entry in page.entries]
        assert found == [f"drafts/{number:03}" for number in range(60)]

    async def test_pages_of_the_interface_are_bounded(self, patient_harness: AdminHarness) -> None:
        """Guards against a response with all drafts or changes, whose size callers choose."""
        harness = patient_harness
        manager = await harness.start()
        for number in range(20):
            draft = Draft(f"d{number:02}", "mari", "-", LARGE_TEXTS[0], None, {}, 1)
            value = msgspec.json.encode(draft).decode()
            harness.state.items[f"drafts/{draft.change_id}"] = Item(value, 100 + number, None)
        found: list[str] = []
        after: str | None = ""
        while after is not None:
            page = await manager.list_drafts(after)
            assert page.size <= 2 * MAX_PAGE_CHARACTERS
            found += [draft.change_id for draft in page.drafts]
            after = page.next_after
        assert found == [f"d{number:02}" for number in range(20)]


class TestSlowStore:
    async def test_change_is_accepted_once_if_every_call_is_slow(
        self, harness: AdminHarness
    ) -> None:
        """Guards against a second change while the first write is still in flight."""
        manager = await harness.start()
        harness.state.mode, harness.state.delay_s = "slow", 0.2
        assert (await submit(manager, "slow", edit_site("north-a", drain=True))).generation == 2
        harness.assert_generations(2)

    @pytest.mark.parametrize("delayed_writes", [1, 5])
    async def test_delayed_write_is_accepted_once(
        self, harness: AdminHarness, delayed_writes: int
    ) -> None:
        """Guards against a duplicate if a write takes effect after its timeout."""
        manager = await harness.start()
        harness.state.late, harness.state.delay_s = delayed_writes, STORE_TIMEOUT_S * 2
        try:
            await submit(manager, "late", edit_site("north-a", drain=True))
        except StoreUnavailable:
            assert delayed_writes == 5
        async with asyncio.timeout(5):
            while harness.state.late_handled < delayed_writes:
                await asyncio.sleep(0.01)
        retried = await submit(harness.create_manager(), "late", edit_site("north-a", drain=True))
        assert retried.generation == 2
        harness.assert_generations(2)

    async def test_delayed_write_does_not_replace_another_change(
        self, harness: AdminHarness
    ) -> None:
        """Guards against a timed-out write that overwrites a change accepted after it."""
        manager = await harness.start()
        harness.state.late, harness.state.delay_s = 5, STORE_TIMEOUT_S * 2
        task = asyncio.create_task(submit(manager, "late", edit_site("north-a", drain=True)))
        async with asyncio.timeout(5):
            while harness.state.late == 5:
                await asyncio.sleep(0.01)
        harness.state.late = 0
        other = await submit(harness.create_manager(), "other", edit_site("north-b", drain=True))
        assert (other.generation, (await task).generation) == (2, 3)
        async with asyncio.timeout(5):
            while harness.state.late_handled < 1:
                await asyncio.sleep(0.01)
        harness.assert_generations(3)


class TestLostResponse:
    @pytest.mark.parametrize("lost_responses", [1, 2, 4])
    async def test_change_is_reported_as_accepted(
        self, harness: AdminHarness, lost_responses: int
    ) -> None:
        """Guards against an error or a duplicate for a change that took effect."""
        manager = await harness.start()
        harness.state.lose = lost_responses
        assert (await submit(manager, "lost", edit_site("north-a", drain=True))).generation == 2
        harness.assert_generations(2)

    async def test_reused_change_id_with_other_content_is_rejected(
        self, harness: AdminHarness
    ) -> None:
        """Guards against returning the generation of a change with different content."""
        manager = await harness.start()
        await submit(manager, "again", edit_site("north-a", drain=True))
        with pytest.raises(BriarforkError, match="other content") as caught:
            await submit(manager, "again", edit_site("north-b", drain=True))
        assert caught.value.kind is ErrorKind.CONFLICT

    async def test_retried_withdrawal_returns_its_generation(self, harness: AdminHarness) -> None:
        """Guards against an error for a withdrawal that took effect."""
        manager = await harness.start()
        start_at = time.time() + HOUR_S
        await submit(manager, "later", edit_site("north-a", drain=True), start_at=start_at)
        assert await withdraw(manager, 2, "withdrawal") == 3
        assert await withdraw(harness.create_manager(), 2, "withdrawal") == 3
        harness.assert_generations(3)


class TestConcurrentChanges:
    @pytest.mark.parametrize("operators", [2, 5])
    @pytest.mark.parametrize("same_process", [True, False])
    async def test_independent_changes_are_all_accepted(
        self, harness: AdminHarness, operators: int, same_process: bool
    ) -> None:
        """Guards against changes lost or rejected because of unrelated concurrent changes."""
        first = await harness.start()
        managers = [first if same_process else harness.create_manager() for _ in range(operators)]
        results = await asyncio.gather(
            *(
                submit(manager, f"by-{site}", edit_site(site, drain=True))
                for manager, site in zip(managers, SITES, strict=False)
            )
        )
        generations = sorted(result.generation or 0 for result in results)
        assert generations == list(range(2, operators + 2))
        harness.assert_generations(operators + 1)

    @pytest.mark.parametrize("operators", [2, 5])
    @pytest.mark.parametrize("same_process", [True, False])
    async def test_one_of_several_conflicting_changes_is_accepted(
        self, harness: AdminHarness, operators: int, same_process: bool
    ) -> None:
        """Guards against silently overwriting a change that the author has not seen."""
        first = await harness.start()
        managers = [first if same_process else harness.create_manager() for _ in range(operators)]
        results = await asyncio.gather(
            *(
                submit(manager, f"number-{index}", edit_site("north-a", drain=True))
                for index, manager in enumerate(managers)
            ),
            return_exceptions=True,
        )
        errors = [result for result in results if isinstance(result, BriarforkError)]
        assert [error.kind for error in errors] == [ErrorKind.CONFLICT] * (operators - 1)
        assert all("expected the configuration of generation 1" in e.detail for e in errors)
        harness.assert_generations(2)

    async def test_same_change_through_two_processes_is_accepted_once(
        self, harness: AdminHarness
    ) -> None:
        """Guards against a duplicate when a client sends its change to two admin processes."""
        managers = [await harness.start(), harness.create_manager()]
        edits = edit_site("north-a", drain=True)
        results = await asyncio.gather(*(submit(manager, "same", edits) for manager in managers))
        assert [result.generation for result in results] == [2, 2]
        harness.assert_generations(2)


class TestPausedProcess:
    async def test_stale_validation_is_repeated(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a paused process that writes a start time far in the past."""
        manager = await harness.start()
        pauses = iter([60.0])
        clock = SimpleNamespace(monotonic=lambda: time.monotonic() + next(pauses, 0.0))
        monkeypatch.setattr("briarfork.border.changelog.time", clock)
        reads = harness.state.calls["GET range"]
        await submit(manager, "paused", edit_site("north-a", drain=True))
        # One read for the submission, one for each of two validations, one after the write.
        assert harness.state.calls["GET range"] == reads + 4
        harness.assert_generations(2)

    async def test_withdrawal_after_the_start_is_not_written(
        self, harness: AdminHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against withdrawing a change that started while the process was paused."""
        manager = await harness.start()
        start_at = time.time() + WITHDRAWAL_MARGIN_S + 1
        await submit(manager, "soon", edit_site("north-a", drain=True), start_at=start_at)
        clock = SimpleNamespace(monotonic=lambda: time.monotonic() + 2)
        monkeypatch.setattr("briarfork.border.changelog.time", clock)
        monkeypatch.setattr("briarfork.admin.changes.SUBMIT_ATTEMPTS", 2)
        with pytest.raises(BriarforkError) as caught:
            await withdraw(manager, 2, "late")
        assert caught.value.kind is ErrorKind.CONFLICT
        harness.assert_generations(2)


class TestRestoredStore:
    async def test_older_state_is_rejected_and_reported(self, harness: AdminHarness) -> None:
        """Guards against a gap in the timeline if the store has lost recent changes."""
        manager = await harness.start()
        await submit(manager, "lost", edit_site("north-a", drain=True))
        del harness.state.items["changes/0000000002"]
        with pytest.raises(BriarforkError, match="found only 1 generations") as caught:
            await submit(manager, "next", edit_site("north-b", drain=True))
        assert caught.value.kind is ErrorKind.CONFLICT
        assert Event.STORE_BEHIND in harness.events.recorded
        harness.assert_generations(1)

    async def test_different_history_of_the_same_length_is_rejected(
        self, harness: AdminHarness
    ) -> None:
        """Guards against appending to a history that this process has not read."""
        manager = await harness.start()
        other = harness.create_manager()
        await other.read_timeline()
        await submit(manager, "mine", edit_site("north-a", drain=True))
        del harness.state.items["changes/0000000002"]
        await submit(other, "theirs", edit_site("north-b", drain=True))
        with pytest.raises(BriarforkError, match="found another history"):
            await submit(manager, "next", edit_site("south-a", drain=True))
        assert Event.STORE_BEHIND in harness.events.recorded
        harness.assert_generations(2)

    async def test_rollback_between_validation_and_write_is_reported(
        self, harness: AdminHarness
    ) -> None:
        """Guards against a gap in the store before the first change that later reads return."""
        manager = await harness.start()
        await submit(manager, "lost", edit_site("north-a", drain=True))
        await manager.read_timeline()
        harness.state.hold, harness.state.hold_method = 2, "GET"
        task = asyncio.create_task(submit(manager, "next", edit_site("north-b", drain=True)))
        for _ in range(2):  # the read of the submission, then that of its validation
            await harness.state.held.wait()
            if harness.state.hold == 0:
                del harness.state.items["changes/0000000002"]
            harness.state.held.clear()
            released, harness.state.released = harness.state.released, asyncio.Event()
            released.set()
        with pytest.raises(OutcomeUnknown, match="was written, but the store contradicts"):
            await task
        assert Event.STORE_BEHIND in harness.events.recorded
        with pytest.raises(BriarforkError, match="contradicts"):
            await submit(manager, "after", edit_site("south-a", drain=True))

    async def test_repaired_store_is_used_again(self, harness: AdminHarness) -> None:
        """Guards against an admin process that must be restarted after the store is repaired."""
        manager = await harness.start()
        await submit(manager, "kept", edit_site("north-a", drain=True))
        item: Item = harness.state.items.pop("changes/0000000002")
        with pytest.raises(BriarforkError):
            await manager.read_timeline()
        harness.state.items["changes/0000000002"] = item
        assert (await submit(manager, "next", edit_site("north-b", drain=True))).generation == 3


class TestDrafts:
    @pytest.mark.parametrize("lost_responses", [1, 2])
    async def test_lost_response_to_draft_creation(
        self, harness: AdminHarness, lost_responses: int
    ) -> None:
        """Guards against an error or a duplicate for a draft that was created."""
        manager = await harness.start(approval="required")
        harness.state.lose = lost_responses
        await submit(manager, "draft", edit_site("north-a", drain=True))
        assert [draft.change_id for draft in (await manager.list_drafts()).drafts] == ["draft"]

    async def test_lost_response_to_draft_deletion(self, harness: AdminHarness) -> None:
        """Guards against an approval that is reported as failed or accepted twice."""
        manager = await harness.start(approval="required")
        await submit(manager, "draft", edit_site("north-a", drain=True))
        harness.state.lose = 2  # the write of the change, then the deletion of the draft
        assert await approve(manager, "draft") == 2
        assert await approve(manager, "draft") == 2
        assert (await manager.list_drafts()).drafts == []
        harness.assert_generations(2)

    async def test_undeleted_draft_is_not_accepted_again(self, harness: AdminHarness) -> None:
        """Guards against a duplicate if the draft of an accepted change was not deleted."""
        manager = await harness.start(approval="required")
        await submit(manager, "draft", edit_site("north-a", drain=True))
        leftover = harness.state.items["drafts/draft"]
        assert await approve(manager, "draft") == 2
        harness.state.items["drafts/draft"] = leftover
        assert await approve(harness.create_manager(), "draft") == 2
        harness.state.items["drafts/draft"] = leftover
        assert (await manager.list_drafts()).drafts == []
        assert "drafts/draft" not in harness.state.items
        harness.assert_generations(2)

    async def test_draft_with_reused_change_id_is_rejected(self, harness: AdminHarness) -> None:
        """Guards against replacing a draft that is already under review."""
        manager = await harness.start(approval="required")
        await submit(manager, "draft", edit_site("north-a", drain=True))
        with pytest.raises(BriarforkError) as caught:
            await submit(manager, "draft", edit_site("north-b", drain=True))
        assert caught.value.kind is ErrorKind.CONFLICT

    async def test_drafts_on_all_pages_are_listed(self, harness: AdminHarness) -> None:
        """Guards against drafts that cannot be approved because they are on a later page."""
        manager = await harness.start(approval="required")
        await submit(manager, "draft", edit_site("north-a", drain=True))
        value = harness.state.items["drafts/draft"].value
        for number in range(150):
            text = value.replace('"draft"', f'"draft-{number}"')
            harness.state.items[f"drafts/draft-{number}"] = Item(text, 1000 + number, None)
        assert len((await manager.list_drafts()).drafts) == 151
