"""Tests of the selection of entry VMs for a lookup."""

from __future__ import annotations

from collections import Counter

from briarfork.steering import MAX_LOOKUP_ENTRIES
from briarfork.steering import EntryAddress
from briarfork.steering import EntryDirectory

REGIONS = {"north": ("n-a", "n-b"), "south": ("s-a", "s-b")}
DISTANCES = {"n-a": 0, "n-b": 1, "s-a": 2, "s-b": 2}
GROUPS = 4096


def build_directory(per_zone: int, *without: str) -> EntryDirectory:
    zones = [zone for names in REGIONS.values() for zone in names if zone not in without]
    entries = [
        EntryAddress(f"{zone}-{number}", "127.0.0.1", 80, zone)
        for zone in zones
        for number in range(per_zone)
    ]
    return EntryDirectory(entries, REGIONS)


class TestEntryDirectory:
    def test_spreads_clients_evenly_over_the_vms_of_the_zone(self) -> None:
        """Guards against a VM that gets more than its share of the clients."""
        directory = build_directory(12)
        first = Counter(directory.rank_entries("n-a", group)[0].vm for group in range(GROUPS))
        assert all(vm.startswith("n-a-") for vm in first)
        # Five standard deviations of a binomial count.
        assert all(abs(count - GROUPS / 12) < 5 * (GROUPS / 12) ** 0.5 for count in first.values())

    def test_limits_entries_and_includes_other_zones(self) -> None:
        """Guards against long answers, and clients without an entry VM after a zone is lost."""
        for directory in (build_directory(2), build_directory(155)):
            order = directory.rank_entries("n-a", 7)
            assert len(order) == len({entry.vm for entry in order}) == MAX_LOOKUP_ENTRIES
            distances = [DISTANCES[entry.zone] for entry in order]
            assert distances == sorted(distances)
            assert order[0].zone == "n-a"
            assert {entry.zone for entry in order} > {"n-a"}

    def test_uses_other_zones_when_the_zone_has_no_vm(self) -> None:
        """Guards against a lookup that returns no entry VM."""
        order = build_directory(1, "n-a").rank_entries("n-a", 7)
        assert order[0].zone == "n-b"
        assert len(order) == 3

    def test_uses_the_whole_zone_when_no_other_serves(self) -> None:
        """Guards against an isolated zone that lists fewer VMs than it has."""
        assert (
            len(build_directory(12, "n-b", "s-a", "s-b").rank_entries("n-a", 7))
            == MAX_LOOKUP_ENTRIES
        )
