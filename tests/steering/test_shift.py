"""Tests of traffic shifts: ramps of shares and the cap on moved requests."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarfork.configuration import ShiftLimits
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.steering import MAX_MOVE_DELAY_S
from briarfork.steering import ShiftCap
from briarfork.steering import SpreadChange
from briarfork.steering import Steering
from briarfork.steering import build_shift
from briarfork.steering import choose_site
from briarfork.steering import find_group
from briarfork.steering import normalize
from briarfork.timeline import Timeline
from tests.steering.plans import CLIENTS
from tests.steering.plans import SERVICE
from tests.steering.plans import build_base
from tests.steering.plans import build_service
from tests.steering.plans import build_sites
from tests.steering.plans import render
from tests.steering.plans import schedule

SITES = ["a", "b", "c"]
NAME = f"services/{SERVICE}"
WEIGHTS = st.dictionaries(st.sampled_from(SITES), st.integers(0, 5), min_size=1).filter(
    lambda weights: any(weights.values())
)


def count_busiest_second(arrivals: list[float]) -> int:
    arrivals = sorted(arrivals)
    busiest, first = 0, 0
    for last, arrival in enumerate(arrivals):
        while arrivals[first] <= arrival - 1.0:
            first += 1
        busiest = max(busiest, last - first + 1)
    return busiest


class TestRamp:
    @given(
        st.lists(st.tuples(st.floats(0, 500), WEIGHTS), min_size=1, max_size=5),
        st.floats(0, 1000),
        st.floats(0.001, 5),
    )
    def test_shares_add_up_and_never_jump(
        self, changes: list[tuple[float, dict[str, float]]], now: float, step: float
    ) -> None:
        """Guards against consecutive changes in which a share jumps or shares do not sum to 1."""
        limits = ShiftLimits(100, 10)
        ordered = sorted(changes, key=lambda change: change[0])
        history = [SpreadChange(start, normalize(weights), limits) for start, weights in ordered]
        before = build_shift(history, now).compute_shares(now)
        after = build_shift(history, now + step).compute_shares(now + step)
        assert sum(after.values()) == pytest.approx(1.0)
        if now < history[0].start_at:
            return
        for site in SITES:
            change = abs(after.get(site, 0.0) - before.get(site, 0.0))
            assert change <= step * 0.10 / 60 + 1e-9


class TestShiftCap:
    @given(st.integers(1, 8), st.integers(1, 40), st.integers(0, 2**32))
    def test_holds_over_all_vms_with_restarts(self, vms: int, quota: int, seed: int) -> None:
        """Guards against VMs that exceed the cap together, or use a quota twice by restarting."""
        rng = random.Random(seed)
        cap_rps = vms * quota + rng.randrange(vms)
        caps = [ShiftCap(0.0) for _ in range(vms)]
        arrivals = []
        now = 0.0
        for _ in range(600):
            now += rng.expovariate(cap_rps * rng.choice((1, 3, 10)))
            vm = rng.randrange(vms)
            if rng.random() < 0.02:
                caps[vm] = ShiftCap(now)
            if caps[vm].admit(cap_rps, vms, now):
                arrivals.append(now + rng.uniform(0, MAX_MOVE_DELAY_S))
        assert count_busiest_second(arrivals) <= cap_rps


class Fleet:
    """Simulates the largest number of VMs, with a clock each, and records arrivals by site."""

    def __init__(self, timeline: Timeline, vms: int, first: dict[str, float], seed: int) -> None:
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self._timeline = timeline
        self._random = random.Random(seed)
        self._original_shares = normalize(first)
        self._clocks = [self._random.uniform(-3, 3) for _ in range(vms)]
        self._renderings: list[tuple[Steering, float] | None] = [None] * vms
        self._now = 0.0

    def run(self, end: float, rps: float) -> None:
        while self._now < end:
            self._now += self._random.expovariate(rps)
            vm = self._random.randrange(len(self._clocks))
            event = self._random.random()
            if event < 0.01:
                self._renderings[vm] = None
            elif event < 0.02:
                self._clocks[vm] = self._random.uniform(-30, 30)
            self._send(vm)

    def _send(self, vm: int) -> None:
        wall = max(1.0, self._now + self._clocks[vm])
        rendering = self._renderings[vm]
        # An isolated VM renders late, so it may use a plan that is several seconds old.
        if rendering is None or rendering[1] < self._now - 5:
            steering = render(self._timeline, wall, self._now, rendering[0] if rendering else None)
            rendering = self._renderings[vm] = (steering, self._now)
        client = self._random.choice(CLIENTS)
        try:
            site = rendering[0].assign_request(SERVICE, client, wall, self._now).site
        except NotRun:
            return
        key = f"{SERVICE}|{find_group(client)}"
        if site != choose_site(self._original_shares, key):
            self.arrivals[site].append(self._now + self._random.uniform(0, MAX_MOVE_DELAY_S))


class TestMovedRequests:
    @settings(max_examples=50)
    @given(st.data())
    def test_stay_under_the_cap_in_a_chain_of_changes(self, data: Any) -> None:
        """Guards against a jump of traffic when a shift, a drain or a removal follows a shift."""
        vms = data.draw(st.integers(1, 4))
        cap = vms * data.draw(st.integers(1, 3))
        first = data.draw(WEIGHTS)
        timeline = Timeline()
        service = build_service(first, cap, 600)
        schedule(
            timeline, 0, {"base": build_base(SITES, vms), NAME: service, **build_sites(*SITES)}
        )
        for start in (4, 9):
            spread = data.draw(WEIGHTS)
            regional = data.draw(st.fixed_dictionaries({}, optional={"r1": WEIGHTS}))
            edits: dict[str, Any] = {
                NAME: build_service(spread, cap, 600, regional_spread=regional)
            }
            used = set(spread).union(*regional.values())
            edits |= build_sites(*used)
            for site in data.draw(st.sets(st.sampled_from(SITES))):
                if any(spread[other] for other in set(spread) - {site}):
                    edits |= build_sites(site, drain=True)
                    if site not in used:
                        edits[f"sites/{site}"] = None
                    break
            schedule(timeline, start, edits)
        fleet = Fleet(timeline, vms, first, data.draw(st.integers(0, 2**32)))
        fleet.run(13.0, 30.0)
        for arrivals in fleet.arrivals.values():
            assert count_busiest_second(arrivals) <= cap

    def build_chain(self, **shift: int) -> Steering:
        timeline = Timeline()
        edits = {"base": build_base(SITES, 1), NAME: build_service({"a": 1}, 10, 6000)}
        schedule(timeline, 0, {**edits, **build_sites(*SITES)})
        schedule(timeline, 10, {NAME: build_service({"b": 1}, 10, 6000)})
        second = build_service({"c": 1}, 10, 6000)
        second["shift"] |= shift
        schedule(timeline, 20, {NAME: second})
        return render(timeline, 30, 0)

    def count_sites(self, steering: Steering) -> dict[str, int]:
        counts: dict[str, int] = defaultdict(int)
        for client in CLIENTS[:100]:
            counts[steering.assign_request(SERVICE, client, 30, 10).site] += 1
        return counts

    def test_above_the_caps_of_two_shifts_stay_at_the_first_site(self) -> None:
        """Guards against a second shift that lifts the cap of the first one."""
        assert self.count_sites(self.build_chain()) == {"a": 80, "b": 10, "c": 10}

    def test_of_a_settled_shift_have_no_cap(self) -> None:
        """Guards against a cap that operators cannot lift."""
        assert self.count_sites(self.build_chain(settled_generation=2)) == {"b": 90, "c": 10}
        assert self.count_sites(self.build_chain(settled_generation=3)) == {"c": 100}

    def test_of_a_drained_site_leave_it_along_the_ramp_and_under_the_cap(self) -> None:
        """Guards against a drain that moves all traffic of a site at once."""
        timeline = Timeline()
        edits = {"base": build_base(SITES, 1), NAME: build_service({"a": 1, "b": 0}, 10, 60)}
        schedule(timeline, 0, {**edits, **build_sites(*SITES)})
        edits = {NAME: build_service({"a": 1, "b": 1}, 10, 60), **build_sites("a", drain=True)}
        schedule(timeline, 100, edits)
        steering = render(timeline, 100, 0)
        assert steering.compute_shares(SERVICE, None, 150)["a"] == pytest.approx(0.5)
        assert steering.compute_shares(SERVICE, None, 201) == {"b": 1.0}
        sites = [steering.assign_request(SERVICE, c, 300, 10).site for c in CLIENTS[:100]]
        assert sites.count("b") == 10

    def test_of_a_removed_site_are_refused_above_the_cap(self) -> None:
        """Guards against traffic of a removed site that moves to other sites above the cap."""
        timeline = Timeline()
        edits = {"base": build_base(SITES, 1), NAME: build_service({"a": 1}, 10, 60)}
        schedule(timeline, 0, {**edits, **build_sites(*SITES)})
        schedule(timeline, 100, {NAME: build_service({"b": 1}, 10, 60), "sites/a": None})
        steering = render(timeline, 300, 0)
        for _ in range(10):
            assert steering.assign_request(SERVICE, CLIENTS[0], 300, 10).site == "b"
        with pytest.raises(NotRun) as caught:
            steering.assign_request(SERVICE, CLIENTS[0], 300, 10)
        assert caught.value.kind is ErrorKind.OVERLOADED

    def test_overflow_to_a_receiving_site_shares_its_cap(self) -> None:
        """Guards against overflow traffic of a failed site that bypasses the shift cap."""
        timeline = Timeline()
        edits = {"base": build_base(SITES, 1), NAME: build_service({"a": 1}, 10, 60)}
        schedule(timeline, 0, {**edits, **build_sites(*SITES)})
        schedule(timeline, 100, {NAME: build_service({"a": 1, "b": 1}, 10, 60)})
        steering = render(timeline, 300, 0)
        arguments = (SERVICE, CLIENTS[0])
        assert sum(steering.admit_overflow(*arguments, "b", 300, 10) for _ in range(99)) == 10
        assert all(steering.admit_overflow(*arguments, "a", 300, 10) for _ in range(99))

    def test_second_attempts_stay_away_from_a_receiving_site(self) -> None:
        """Guards against second attempts that reach a receiving site outside its cap."""
        timeline = Timeline()
        edits = {"base": build_base(SITES, 1), NAME: build_service({"a": 1}, 10, 60)}
        schedule(timeline, 0, {**edits, **build_sites(*SITES)})
        schedule(timeline, 100, {NAME: build_service({"a": 1, "b": 1}, 10, 60)})
        steering = render(timeline, 300, 0)
        assert [steering.is_receiving_shift(SERVICE, site, 300) for site in ("a", "b")] == [
            False,
            True,
        ]
