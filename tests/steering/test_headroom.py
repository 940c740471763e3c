"""Tests of overflow headroom and of the gradual return of traffic to a recovered site."""

from __future__ import annotations

import math
import random
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarfork.steering import Headroom
from briarfork.steering import Recovery
from briarfork.steering import SiteLoad

KEY = ("results", "south-a")
LINK = ("north", "south")


class TestHeadroom:
    @given(
        st.integers(1, 12),
        st.integers(1, 40),
        st.sampled_from((0.01, 0.3, 5.0)),
        st.integers(0, 2**32),
    )
    def test_sum_over_all_vms_stays_within_headroom(
        self, vms: int, slots: int, run_time_s: float, seed: int
    ) -> None:
        """Guards against VMs that exceed the headroom together.

        The VMs have different reports, and their demand pauses at random.
        """
        rng = random.Random(seed)
        fleet = [Headroom(f"vm-{number}") for number in range(vms)]
        most_free = 0.0
        admitted, now, demanded_s = 0, 0.0, 0.0
        last_asked = [0.0] * vms
        for _ in range(500):
            now += rng.expovariate(1 / run_time_s) * rng.choice((0.01, 0.3, 3))
            number = rng.randrange(vms)
            headroom = fleet[number]
            if rng.random() < 0.3:
                load = SiteLoad(rng.randrange(slots), slots, rng.randrange(3), now - rng.random())
                headroom.accept(KEY, load)
            free = headroom.compute_free_slots(KEY, slots, 0, now)
            most_free = max(most_free, free)
            demanded_s += min(run_time_s, now - last_asked[number])
            last_asked[number] = now
            admitted += headroom.admit(KEY, free, 0, vms, run_time_s, now)
            # A VM may use at most its quota for the time in which it had demand.
            assert admitted * run_time_s <= demanded_s * most_free / vms + 1e-6
            assert admitted * run_time_s <= now * most_free + 1e-6

    @given(st.integers(1, 12), st.integers(1, 60), st.integers(0, 2**32))
    def test_vms_that_see_the_same_idle_site_stay_within_their_quotas(
        self, vms: int, slots: int, seed: int
    ) -> None:
        """Guards against a thundering herd of VMs that hold more slots than the headroom."""
        rng = random.Random(seed)
        free = 0.8 * slots
        started = 0
        ends: list[list[float]] = [[] for _ in range(vms)]
        fleet = [Headroom(f"vm-{rng.random()}") for _ in range(vms)]
        now = 0.0
        while now < 2.0:
            now += rng.expovariate(1500.0)
            number = rng.randrange(vms)
            held = [end for end in ends[number] if end > now]
            fleet[number].accept(KEY, SiteLoad(0, slots, 0, now))
            seen = fleet[number].compute_free_slots(KEY, slots, 0, now)
            assert seen == pytest.approx(free)
            if fleet[number].admit(KEY, seen, len(held), vms, 0.1, now):
                held.append(now + 0.1)
                started += 1
            ends[number] = held
            # With a quota of less than one slot, each VM may still hold one slot at a time.
            quota = max(1, math.ceil(free / vms))
            assert len(held) <= quota
            assert started * 0.1 <= free * now

    def test_decreases_with_the_age_of_the_report(self) -> None:
        """Guards against unlimited headroom when reports are old or missing."""
        headroom = Headroom("vm")
        assert headroom.compute_free_slots(KEY, 10, 0, 100.0) == 0.0
        headroom.accept(KEY, SiteLoad(0, 10, 0, 100.0))
        assert headroom.compute_free_slots(KEY, 10, 0, 100.0) == pytest.approx(8.0)
        assert headroom.compute_free_slots(KEY, 10, 0, 102.5) == pytest.approx(4.0)
        assert headroom.compute_free_slots(KEY, 10, 0, 105.0) == 0.0

    def test_is_bounded_by_local_knowledge(self) -> None:
        """Guards against reports that claim too many slots, omit own requests or are invalid."""
        headroom = Headroom("vm")
        headroom.accept(KEY, SiteLoad(0, 1_000_000, 0, 0.0))
        assert headroom.compute_free_slots(KEY, 10, 0, 0.0) == pytest.approx(8.0)
        assert headroom.compute_free_slots(KEY, 10, 6, 0.0) == pytest.approx(2.0)
        headroom.accept(KEY, SiteLoad(-9, 10, 0, 1.0))
        headroom.accept(KEY, SiteLoad(0, 10, 0, math.nan))
        headroom.accept(KEY, SiteLoad(8, 10, 0, -1.0))
        assert headroom.compute_free_slots(KEY, 10, 0, 0.0) == pytest.approx(8.0)

    def test_is_paused_after_a_refusal(self) -> None:
        """Guards against repeated requests to a site whose reports are wrong."""
        headroom = Headroom("vm")
        admitted = [headroom.admit(KEY, 8.0, 0, 1, 0.01, step / 100) for step in range(20)]
        assert any(admitted)
        headroom.record_refusal(KEY, 0.2)
        assert not any(headroom.admit(KEY, 8.0, 0, 1, 0.01, 0.2 + step / 100) for step in range(99))
        assert headroom.admit(KEY, 8.0, 0, 1, 0.01, 1.3)

    @given(st.integers(1, 12), st.integers(1, 10**7), st.integers(0, 2**32))
    def test_stays_within_the_share_of_a_link(self, vms: int, size: int, seed: int) -> None:
        """Guards against large answers that saturate a link between regions."""
        rng = random.Random(seed)
        fleet = [Headroom(f"vm-{number}") for number in range(vms)]
        sent, now = 0, 0.0
        for _ in range(500):
            now += rng.expovariate(1000.0)
            sent += size * rng.choice(fleet).admit_bytes(LINK, 4.0, size, vms, now)
            assert sent <= now * 4e9 / 8 / 2 + 1


class TestRecovery:
    def test_returns_traffic_gradually(self) -> None:
        """Guards against a recovered site that gets all of its traffic back at once."""
        recovery = Recovery()
        recovery.record_failure(0.0)
        ratios = []
        for step in range(1, 400):
            recovery.record_success(step / 10)
            ratios.append(recovery.traffic_ratio)
        assert all(after - before < 0.005 for before, after in pairwise(ratios))
        assert ratios[-1] == 1.0

    @given(st.floats(0.1, 0.9), st.integers(0, 2**32))
    def test_settles_at_the_capacity_of_a_weak_site(self, capacity: float, seed: int) -> None:
        """Guards against traffic that oscillates between a weak site and the others."""
        rng = random.Random(seed)
        recovery = Recovery()
        recovery.record_failure(0.0)
        ratios = []
        for step in range(1, 20_000):
            now = step / 100
            if recovery.admit():
                # The failure rate grows with the load above the capacity of the site.
                if rng.random() < max(0.0, recovery.traffic_ratio - capacity):
                    recovery.record_failure(now)
                else:
                    recovery.record_success(now)
            ratios.append(recovery.traffic_ratio)
        steady = ratios[10_000:]
        assert max(steady) <= min(1.0, capacity + 0.5)
        assert sum(steady) / len(steady) >= capacity / 2
