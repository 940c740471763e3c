"""The loads that a control process passes on."""

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


class TestReceivers:
    def test_details_stay_in_the_region_and_summaries_leave_it(self) -> None:
        """Guards against load reports that grow with all sites of all regions."""
        view = build_view()
        news = view.accept([build_load("s-1", 4), build_load("north-b", 3)], 1.0)
        inside = [load for load in news if view.regions.is_useful(load, "north-a", "north-b")]
        outside = [load for load in news if view.regions.is_useful(load, "north-a", "south-a")]
        assert {load.site for load in inside} == {"s-1", "north-b"}
        assert [(load.site, load.in_progress, load.slots) for load in outside] == [
            ("region:north", 7, 20)
        ]

    def test_summary_of_another_region_is_passed_on_inside(self) -> None:
        """Guards against VMs that never hear of a region they have no stream to."""
        view = build_view()
        news = view.accept([build_load("region:south", 4)], 1.0)
        assert [load for load in news if view.regions.is_useful(load, "north-a", "north-b")] == news
        assert not view.regions.is_useful(news[0], "north-a", "south-a")


class TestNews:
    def test_older_load_is_not_news(self) -> None:
        """Guards against a report that goes round in circles, or hides a newer one."""
        view = build_view()
        view.accept([build_load("s-1", 4)], 10.0)
        assert view.accept([build_load("s-1", 9, age_s=5.0)], 10.0) == []

    def test_small_change_waits_for_the_repeat(self) -> None:
        """Guards against a report each second for each site, and against one that never comes."""
        view = build_view()
        view.accept([build_load("s-1", 4)], 0.0)
        assert {load.site for load in view.accept([build_load("s-1", 5)], 1.0)} <= {"region:north"}
        assert {load.site for load in view.accept([build_load("s-1", 7)], 2.0)} >= {"s-1"}
        news = view.accept([build_load("s-1", 7)], 2.0 + REFRESH_INTERVAL_S)
        assert {load.site for load in news} == {"s-1", "region:north"}
