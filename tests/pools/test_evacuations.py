"""Tests of evacuations across a restore of the store from an older copy."""

from __future__ import annotations

import pytest

from briarfork.pools import Evacuations


def build_ended(*, by_listing: bool = False) -> Evacuations:
    """Returns the evacuations after one of zone "a" was written at 20 and had ended by 30."""
    evacuations = Evacuations()
    evacuations.start("a", 20)
    if by_listing:
        evacuations.replace({}, 30)
    else:
        evacuations.end("a", 30)
    return evacuations


class TestMissingEvacuation:
    def test_stays_until_its_key_was_seen_and_deleted(self) -> None:
        """Guards against requests to an evacuated zone because the copy lacks the evacuation."""
        evacuations = Evacuations()
        evacuations.start("a", 20)
        evacuations.begin_era()
        for revision in (12, 13):
            evacuations.replace({}, revision)
            assert evacuations.zones == {"a"}
        assert evacuations.list_kept() == ["a"]
        evacuations.replace({"a": 14}, 14)
        evacuations.replace({}, 15)
        assert evacuations.zones == set()

    def test_stays_through_a_second_restore(self) -> None:
        """Guards against a second restore that makes the VM forget what the first one lacked."""
        evacuations = Evacuations()
        evacuations.start("a", 20)
        evacuations.begin_era()
        evacuations.replace({"a": 14}, 14)
        evacuations.begin_era()
        evacuations.replace({}, 12)
        assert evacuations.zones == {"a"}
        evacuations.start("a", 16)
        evacuations.end("a", 17)
        assert evacuations.zones == set()

    @pytest.mark.parametrize(("revision", "zones"), [(21, set()), (20, {"a"}), (12, {"a"})])
    def test_ends_with_a_deletion_before_the_first_listing(
        self, revision: int, zones: set[str]
    ) -> None:
        """Guards against an evacuation that never ends, and one that an older deletion ends."""
        evacuations = Evacuations()
        evacuations.start("a", 20)
        assert evacuations.find_unseen_revision() is None
        evacuations.begin_era()
        evacuations.replace({}, 25)
        assert evacuations.find_unseen_revision() == 20
        evacuations.end_unseen("a", revision)
        assert evacuations.zones == zones


class TestEndedEvacuation:
    @pytest.mark.parametrize(("by_listing", "shown"), [(False, 20), (False, 18), (True, 25)])
    def test_copy_does_not_bring_it_back(self, by_listing: bool, shown: int) -> None:
        """Guards against a zone without requests because the copy shows an ended evacuation."""
        evacuations = build_ended(by_listing=by_listing)
        for _ in range(2):
            evacuations.begin_era()
            evacuations.replace({"a": shown}, 26)
            evacuations.replace({"a": shown}, 27)
            assert (evacuations.zones, evacuations.list_ignored()) == (set(), ["a"])

    def test_key_that_is_written_anew_starts_it(self) -> None:
        """Guards against a new evacuation that is taken for that of the copy.

        Its revision may be one that the earlier era has used as well.
        """
        evacuations = build_ended()
        evacuations.begin_era()
        evacuations.replace({"a": 20}, 22)
        evacuations.replace({"a": 23}, 24)
        assert evacuations.zones == {"a"}
        watched = build_ended()
        watched.begin_era()
        watched.replace({}, 15)
        watched.start("a", 16)
        assert watched.zones == {"a"}

    def test_key_written_between_restore_and_listing_starts_it(self) -> None:
        """Guards against an evacuation after a restore that no VM applies."""
        evacuations = build_ended()
        evacuations.begin_era()
        evacuations.replace({"a": 24}, 25)
        assert evacuations.zones == {"a"}

    def test_new_evacuation_in_the_same_era_starts_at_once(self) -> None:
        """Guards against a change for stores that are never restored."""
        evacuations = build_ended(by_listing=True)
        evacuations.replace({"a": 31}, 32)
        assert evacuations.zones == {"a"}
