"""Tests of the loads that a control process forwards."""

from __future__ import annotations

from briarfork.border.messages import Load
from briarfork.control.load import REFRESH_INTERVAL_S
from briarfork.control.load import LoadView
from tests.timeline.test_timeline import build_change
from tests.timeline.test_timeline import build_timeline

REGIONS = {"north": {"zones": ["north-a", "north-b"]}, "south": {"zones": ["south-a"]}}


def build_view() -> LoadView:
    timeline = build_timeline()
    edits = {"base": {"regions": REGIONS}, "sites/s-1": {"zone": "north-a"}}
    timeline.append(build_change(timeline, edits=edits))
    view = LoadView()
    view.read_regions(timeline, 1.0)
    return view


def build_load(site: str, in_progress: int, age_s: float = 0.0) -> Load:
    return Load("scoring", site, in_progress, 10, 0, age_s)


class TestRegionFilter:
    def test_site_loads_stay_in_the_region_and_summaries_leave_it(self) -> None:
        """Guards against load reports whose volume grows with the sites of all regions."""
        view = build_view()
        forwarded = view.accept([build_load("s-1", 4), build_load("north-b", 3)], 1.0)
        inside = [load for load in forwarded if view.regions.is_useful(load, "north-a", "north-b")]
        outside = [load for load in forwarded if view.regions.is_useful(load, "north-a", "south-a")]
        assert {load.site for load in inside} == {"s-1", "north-b"}
        assert [(load.site, load.in_progress, load.slots) for load in outside] == [
            ("region:north", 7, 20)
        ]

    def test_summary_of_another_region_is_forwarded_within_the_region(self) -> None:
        """Guards against VMs that never learn the load of a region they have no stream to."""
        view = build_view()
        forwarded = view.accept([build_load("region:south", 4)], 1.0)
        assert [
            load for load in forwarded if view.regions.is_useful(load, "north-a", "north-b")
        ] == forwarded
        assert not view.regions.is_useful(forwarded[0], "north-a", "south-a")


class TestForwarding:
    def test_older_load_is_not_forwarded(self) -> None:
        """Guards against a report that is forwarded in a loop or replaces a newer one."""
        view = build_view()
        view.accept([build_load("s-1", 4)], 10.0)
        assert view.accept([build_load("s-1", 9, age_s=5.0)], 10.0) == []

    def test_small_change_waits_for_the_refresh(self) -> None:
        """Guards against forwarding each site's report every second, and against never doing so."""
        view = build_view()
        view.accept([build_load("s-1", 4)], 0.0)
        assert {load.site for load in view.accept([build_load("s-1", 5)], 1.0)} <= {"region:north"}
        assert {load.site for load in view.accept([build_load("s-1", 7)], 2.0)} >= {"s-1"}
        forwarded = view.accept([build_load("s-1", 7)], 2.0 + REFRESH_INTERVAL_S)
        assert {load.site for load in forwarded} == {"s-1", "region:north"}
