"""Assignment of client groups to sites."""

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


def mix(origin: dict[str, float], target: dict[str, float], progress: float) -> dict[str, float]:
    return {
        site: (1 - progress) * origin.get(site, 0.0) + progress * target.get(site, 0.0)
        for site in SITES
    }


class TestChooseSite:
    @given(WEIGHTS, WEIGHTS)
    def test_moves_groups_only_from_losers_to_gainers(
        self, first: dict[str, float], second: dict[str, float]
    ) -> None:
        """Guards against a change of shares that moves clients of sites that keep theirs."""
        before, after = normalize(first), normalize(second)
        for group in GROUPS:
            old, new = choose_site(before, f"{group}"), choose_site(after, f"{group}")
            if old != new:
                ratios = {s: after.get(s, 0.0) / before[s] for s in before if before[s] > 0}
                # The relation is between shares: the old site lost against the new one.
                gained = ratios.get(new, float("inf"))
                assert ratios[old] < gained
                assert after.get(old, 0.0) < before[old] or after[new] > before.get(new, 0.0)

    @given(WEIGHTS, st.sampled_from(SITES))
    def test_leaves_other_groups_when_one_site_goes(
        self, weights: dict[str, float], gone: str
    ) -> None:
        """Guards against a drain that moves the clients of other sites."""
        kept = {site: weight for site, weight in weights.items() if site != gone}
        if not any(kept.values()):
            return
        for group in GROUPS:
            old, new = choose_site(weights, f"{group}"), choose_site(kept, f"{group}")
            assert new == old or old == gone

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
    def test_equals_a_choice_at_each_moment_of_the_ramp(
        self, first: dict[str, float], second: dict[str, float], moments: list[float]
    ) -> None:
        """Guards against winners worked out for a ramp that differ from those of its shares."""
        origin, target = normalize(first), normalize(second)
        assignment = Assignment("results", origin, target)
        for progress in (0.0, *moments, 1.0):
            # Just before and after, since rounding decides at the moment of a change.
            near = [min(1.0, max(0.0, progress + step)) for step in (-1e-9, 0.0, 1e-9)]
            for group in GROUPS[:40]:
                expected = {
                    choose_site(mix(origin, target, moment), f"results|{group}") for moment in near
                }
                assert assignment.find_site(group, progress) in expected

    @given(WEIGHTS, WEIGHTS, WEIGHTS, st.floats(0, 1))
    def test_with_known_winners_equals_one_without(
        self,
        first: dict[str, float],
        second: dict[str, float],
        third: dict[str, float],
        reached: float,
    ) -> None:
        """Guards against sites that are left out although they win after a second change."""
        before = Assignment("results", normalize(first), normalize(second))
        shares = normalize(mix(before.origin, before.target, reached))
        for group in GROUPS[:40]:
            before.find_site(group, reached)
        target = normalize(third)
        known = Assignment("results", shares, target, before.list_winners(reached))
        fresh = Assignment("results", shares, target)
        for group in GROUPS[:40]:
            for progress in (0.01, 0.5, 1.0):
                near = {fresh.find_site(group, max(0.0, progress - e)) for e in (0.0, 1e-9)}
                assert known.find_site(group, progress) in near
