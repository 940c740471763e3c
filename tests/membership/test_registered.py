"""Tests of registered entry VMs across a restore of the store from an older copy."""

from __future__ import annotations

from dataclasses import replace

from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.membership import RegisteredMembers

LEASE_S = 4.0
ONE = Member("vm-1", "127.0.0.1", "a", 5, 1, MemberState.LIVE, {"entry": 1, "permits": 2})
TWO = replace(ONE, vm="vm-2")


def build_members() -> RegisteredMembers:
    members = RegisteredMembers(LEASE_S)
    members.replace({"vm-1": ONE, "vm-2": TWO}, 0.0)
    return members


class TestMissingMember:
    def test_is_kept_until_it_had_time_to_register(self) -> None:
        """Guards against slots that change their owner because the copy lacks a VM."""
        members = build_members()
        members.begin_era(10.0)
        members.replace({"vm-1": ONE}, 10.0)
        assert not members.expire(13.9)
        assert set(members.current) == {"vm-1", "vm-2"}
        assert members.expire(14.0)
        assert set(members.current) == {"vm-1"}

    def test_time_starts_anew_with_a_second_restore(self) -> None:
        """Guards against two restores within 3 s that leave a VM no time to register."""
        members = build_members()
        for now in (10.0, 13.0):
            members.begin_era(now)
            members.replace({}, now)
        members.expire(16.9)
        assert set(members.current) == {"vm-1", "vm-2"}

    def test_time_starts_anew_after_an_outage(self) -> None:
        """Guards against a store that fails after its restore, so that no VM can register."""
        members = build_members()
        members.begin_era(10.0)
        members.replace({"vm-1": ONE}, 10.0)
        members.record_outage(18.0)
        members.replace({"vm-1": ONE}, 18.1)
        members.expire(21.9)
        assert set(members.current) == {"vm-1", "vm-2"}
        members.expire(22.0)
        assert set(members.current) == {"vm-1"}

    def test_entry_from_before_its_restart_is_not_used(self) -> None:
        """Guards against ports of a process that has ended, which the copy brings back."""
        members = build_members()
        members.begin_era(10.0)
        members.replace({"vm-1": replace(ONE, incarnation=4), "vm-2": TWO}, 10.0)
        members.remove("vm-1", 11.0)
        members.expire(11.0)
        assert members.current["vm-1"] == ONE

    def test_is_removed_at_once_without_a_restore(self) -> None:
        """Guards against a change for stores that are never restored."""
        members = build_members()
        members.replace({"vm-1": ONE}, 10.0)
        assert set(members.current) == {"vm-1"}


class TestEndedMember:
    def test_copy_does_not_bring_it_back(self) -> None:
        """Guards against slots owned by a VM that has stopped."""
        members = build_members()
        members.remove("vm-2", 9.0)
        members.begin_era(10.0)
        members.replace({"vm-1": ONE, "vm-2": TWO}, 10.0)
        members.replace({"vm-1": ONE, "vm-2": TWO}, 14.5)
        assert set(members.current) == {"vm-1"}
        members.remove("vm-2", 14.6)
        members.expire(20.0)
        assert set(members.current) == {"vm-1"}

    def test_is_used_when_it_registers_again_or_outlives_its_lease(self) -> None:
        """Guards against a live VM that is left out for good."""
        restarted, written, lasting = build_members(), build_members(), build_members()
        for members in (restarted, written, lasting):
            members.remove("vm-2", 9.0)
            members.begin_era(10.0)
        restarted.replace({"vm-1": ONE, "vm-2": replace(TWO, incarnation=6)}, 10.0)
        for members in (written, lasting):
            members.replace({"vm-1": ONE, "vm-2": TWO}, 10.0)
        written.put("vm-2", TWO)
        lasting.expire(16.0)
        for members in (restarted, written, lasting):
            assert set(members.current) == {"vm-1", "vm-2"}
