"""Tests of the assignment of client groups to sites."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarfork.steering import Assignment
from briarfork.steering import choose_site
from briarfork.steering import normalize

SITES = [f"site-{number}" for number in range(6)]
WEIGHTS = st.dictionaries(st.sampled_from(SITES), st.integers(0, 9).map(float), min_size=1).filter(
    lambda weights: any(weights.values())
)
GROUPS = range(200)


def interpolate(
    origin: dict[str, float], target: dict[str, float], progress: float
) -> dict[str, float]:
    return {
        site: (1 - progress) * origin.get(site, 0.0) + progress * target.get(site, 0.0)
        for site in SITES
    }


class TestChooseSite:
    @given(WEIGHTS, WEIGHTS)
    def test_moves_groups_only_to_sites_that_gain_share(
        self, first: dict[str, float], second: dict[str, float]
    ) -> None:
        """Guards against a change of shares that moves clients of unaffected sites."""
        before, after = normalize(first), normalize(second)
        for group in GROUPS:
            old, new = choose_site(before, f"{group}"), choose_site(after, f"{group}")
            if old != new:
                ratios = {s: after.get(s, 0.0) / before[s] for s in before if before[s] > 0}
                # Only relative growth counts: the new site grew by a larger factor than the old.
                gained = ratios.get(new, float("inf"))
                assert ratios[old] < gained
                assert after.get(old, 0.0) < before[old] or after[new] > before.get(new, 0.0)

    @given(WEIGHTS, st.sampled_from(SITES))
    def test_keeps_other_groups_when_a_site_is_removed(
        self, weights: dict[str, float], removed: str
    ) -> None:
        """Guards against a drain that moves the clients of other sites."""
        kept = {site: weight for site, weight in weights.items() if site != removed}
        if not any(kept.values()):
            return
        for group in GROUPS:
            old, new = choose_site(weights, f"{group}"), choose_site(kept, f"{group}")
            assert new == old or old == removed

    def test_gives_each_site_its_share(self) -> None:
        """Guards against a hash that favours some sites."""
        shares = {"a": 0.1, "b": 0.2, "c": 0.7}
        sites = [choose_site(shares, f"{group}") for group in range(4096)]
        for site, share in shares.items():
            # Five standard deviations of a binomial count.
            deviation = (4096 * share * (1 - share)) ** 0.5
            assert sites.count(site) == pytest.approx(4096 * share, abs=5 * deviation)


class TestAssignment:
    @given(WEIGHTS, WEIGHTS, st.lists(st.floats(0, 1), max_size=5))
    def test_matches_choose_site_throughout_the_ramp(
        self, first: dict[str, float], second: dict[str, float], points: list[float]
    ) -> None:
        """Guards against precomputed segments of a ramp that disagree with its current shares."""
        origin, target = normalize(first), normalize(second)
        assignment = Assignment("results", origin, target)
        for progress in (0.0, *points, 1.0):
            # At a change of site rounding decides, so results just before and after are accepted.
            near = [min(1.0, max(0.0, progress + step)) for step in (-1e-9, 0.0, 1e-9)]
            for group in GROUPS[:40]:
                expected = {
                    choose_site(interpolate(origin, target, point), f"results|{group}")
                    for point in near
                }
                assert assignment.find_site(group, progress) in expected

    @given(WEIGHTS, WEIGHTS, WEIGHTS, st.floats(0, 1))
    def test_known_winners_do_not_change_the_result(
        self,
        first: dict[str, float],
        second: dict[str, float],
        third: dict[str, float],
        reached: float,
    ) -> None:
        """Guards against omitting a candidate site that wins after a second change."""
        before = Assignment("results", normalize(first), normalize(second))
        shares = normalize(interpolate(before.origin, before.target, reached))
        for group in GROUPS[:40]:
            before.find_site(group, reached)
        target = normalize(third)
        known = Assignment("results", shares, target, before.list_winners(reached))
        fresh = Assignment("results", shares, target)
        for group in GROUPS[:40]:
            for progress in (0.01, 0.5, 1.0):
                near = {fresh.find_site(group, max(0.0, progress - e)) for e in (0.0, 1e-9)}
                assert known.find_site(group, progress) in near
