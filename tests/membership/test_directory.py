"""The platform's list of VMs, merged from followers with different lag."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from briarfork.membership import Directory
from briarfork.membership import ListedVm
from briarfork.membership import ListRecord
from briarfork.membership.directory import GONE
from briarfork.membership.directory import HOLD_DOWN_S
from briarfork.membership.directory import LEAVING
from briarfork.membership.directory import LIVE

VM = ListedVm("server-1", "127.0.0.1", "a", "backend", LIVE, {"http": 80})
OTHER = replace(VM, vm="server-2")
records = st.builds(
    ListRecord,
    st.integers(1, 4),
    st.builds(
        replace,
        st.sampled_from([VM, OTHER]),
        state=st.sampled_from([LIVE, LEAVING, GONE]),
        address=st.sampled_from(["127.0.0.1", "127.0.0.2"]),
    ),
)


class TestMerge:
    @given(st.lists(records), st.integers(0, 9))
    def test_does_not_depend_on_order_or_duplicates(
        self, received: list[ListRecord], seed: int
    ) -> None:
        """Guards against VMs whose lists never converge after they received the same records."""
        one, other = Directory(), Directory()
        one.merge(received, 0.0)
        for record in random.Random(seed).sample(received + received, 2 * len(received)):
            other.merge([record], 0.0)
        assert {r.listed.vm: r for r in one.list_records()} == {
            r.listed.vm: r for r in other.list_records()
        }
        assert one.digest.buckets == other.digest.buckets


class TestApplyList:
    def test_followers_with_different_lag_do_not_flap(self) -> None:
        """Guards against a backend server that reappears because an older list arrives later."""
        history = [[VM, OTHER], [replace(VM, state=LEAVING), OTHER], [OTHER], [OTHER], [OTHER]]
        fast, slow = Directory(), Directory()
        seen = []
        for now in range(40):
            fast.apply_list(history[min(now, 4)], None, now)
            slow.apply_list(history[min(max(0, now - 6), 4)], None, now)
            for one, other in ((fast, slow), (slow, fast)):
                one.apply_pending(now)
                other.merge(one.list_records(), now)
            for directory in (fast, slow):
                found = directory.find(VM.vm)
                seen.append(found.state if found else GONE)
        changes = [seen[0]] + [b for a, b in itertools.pairwise(seen) if a != b]
        assert changes == [LIVE, LEAVING, GONE]
        assert fast.digest.total == slow.digest.total

    def test_restored_entry_returns_after_the_hold_down_time(self) -> None:
        """Guards against a backend server that is never used again after it was leaving."""
        directory = Directory()
        directory.apply_list([VM], None, 0.0)
        directory.apply_list([replace(VM, state=LEAVING)], None, 1.0)
        directory.apply_list([VM], None, 2.0)
        directory.apply_pending(1.0 + HOLD_DOWN_S - 0.1)
        assert directory.find(VM.vm) == replace(VM, state=LEAVING)
        directory.apply_pending(1.0 + HOLD_DOWN_S)
        assert directory.find(VM.vm) == VM

    def test_empty_list_is_ignored(self) -> None:
        """Guards against a fault of the platform that removes all backend servers."""
        directory = Directory()
        directory.apply_list([VM], None, 0.0)
        directory.apply_list([], None, 1.0)
        assert directory.list_active() == [VM]

    def test_changes_give_the_same_result_as_the_complete_list(self) -> None:
        """Guards against changes that are applied to the wrong list."""
        complete, incremental = Directory(), Directory()
        for directory in (complete, incremental):
            directory.apply_list([VM, OTHER], None, 0.0)
        complete.apply_list([replace(OTHER, state=LEAVING)], None, 1.0)
        incremental.apply_list([replace(OTHER, state=LEAVING)], [VM.vm], 1.0)
        assert complete.list_active() == incremental.list_active()
        assert complete.digest.total == incremental.digest.total
