"""Tests of the timeline of accepted changes."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline import AppendResult
from briarfork.timeline import Change
from briarfork.timeline import Timeline


def build_change(timeline: Timeline, start_at: float = 0.0, **fields: Any) -> Change:
    values: dict[str, Any] = {
        "generation": timeline.generation + 1,
        "change_id": f"change-{timeline.generation + 1}",
        "author": "mari",
        "team": "-",
        "reason": "test",
        "approver": None,
        "submitted_at": 0.0,
        "start_at": start_at,
        "edits": {"base": {"number": timeline.generation + 1}},
        "withdraws": None,
        "previous_hash": timeline.last_hash,
    }
    return Change(**{**values, **fields})


def build_timeline(*starts: float) -> Timeline:
    timeline = Timeline()
    for start in starts:
        timeline.append(build_change(timeline, start))
    return timeline


class TestAppend:
    def test_refuses_a_gap(self) -> None:
        """Guards against a VM that skips a change that it has not received."""
        timeline = build_timeline(0.0)
        later = build_change(timeline, generation=3)
        assert timeline.append(later) is AppendResult.GAP
        assert timeline.generation == 1

    def test_refuses_a_change_with_another_history(self) -> None:
        """Guards against a store that was restored from a different state."""
        timeline = build_timeline(0.0)
        other = build_change(timeline, previous_hash="0" * 64)
        assert timeline.append(other) is AppendResult.FORKED

    @given(st.lists(st.integers(min_value=0, max_value=9), max_size=60))
    def test_generation_never_falls_in_any_order_of_messages(self, order: list[int]) -> None:
        """Guards against an older configuration that arrives late and replaces a newer one."""
        source = build_timeline(*[0.0] * 10)
        timeline = Timeline()
        for index in order:
            before = timeline.generation
            timeline.append(source.get(index + 1))
            assert timeline.generation >= before
        expected = source.list_after(0, timeline.generation)
        assert timeline.list_after(0, timeline.generation) == expected


class TestInternValues:
    @given(
        st.dictionaries(
            st.sampled_from("abc"),
            st.recursive(
                st.one_of(st.none(), st.booleans(), st.integers(), st.just(-0.0), st.floats(0, 3)),
                lambda inner: st.one_of(
                    st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=2), inner)
                ),
            ),
        )
    )
    def test_hash_stays_the_same(self, body: dict[str, Any]) -> None:
        """Guards against sharing 0.0, -0.0, 0 and False, which are equal but hash differently."""
        change = build_change(Timeline(), edits={"base": body, "sites/a": None})
        assert change.intern_values().compute_hash() == change.compute_hash()


class TestScheduledStart:
    def test_follows_from_the_timeline_alone(self) -> None:
        """Guards against a scheduled start that depends on the store being reachable."""
        timeline = build_timeline(0.0, 100.0)
        assert timeline.find_documents(99.9).by_name["base"] == {"number": 1}
        assert timeline.find_documents(100.0).by_name["base"] == {"number": 2}
        assert timeline.find_next_start(0.0) == 100.0

    def test_withdrawn_change_does_not_start(self) -> None:
        """Guards against a withdrawal that is ignored."""
        timeline = build_timeline(0.0, 100.0)
        timeline.append(build_change(timeline, 10.0, edits={}, withdraws=2))
        assert timeline.find_documents(200.0).by_name["base"] == {"number": 1}


class TestCheck:
    def test_refuses_a_withdrawal_that_may_come_too_late(self) -> None:
        """Guards against a change that starts on VMs that have not received its withdrawal."""
        timeline = build_timeline(0.0, 100.0)
        late = build_change(timeline, 89.0, edits={}, withdraws=2)
        with pytest.raises(BriarforkError) as caught:
            timeline.check(late, now=89.0)
        assert caught.value.kind is ErrorKind.CONFLICT

    def test_names_both_changes_that_clash(self) -> None:
        """Guards against a scheduled change that silently reverts a later submission."""
        timeline = build_timeline(0.0, 100.0)
        clashing = build_change(timeline, 50.0)
        with pytest.raises(BriarforkError, match=r"change-3.*change-2"):
            timeline.check(clashing, now=10.0)
