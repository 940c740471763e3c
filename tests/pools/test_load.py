"""Load patterns that the placement of requests answers, in terms of what callers get."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.pools.replay import Load
from tests.pools.replay import Replay

SEEDS = (1, 2, 3)
OBJECTIVE_S = 0.5
# 12 slots serve 74 requests a second if every server has the objects that it is asked for, and
# 22 if none has.
ZONE = Load(servers=4, slots=3, kept=18, objects=26, rate=70.0, run_s=0.46, wait_s=OBJECTIVE_S / 2)


@pytest.mark.parametrize("seed", SEEDS)
class TestNearFullZone:
    def test_slots_go_to_requests_whose_objects_are_cached_there(self, seed: int) -> None:
        """Guards against slots in order of arrival alone, which run most requests uncached."""
        result = Replay(ZONE, seed).run()
        assert result.known / len(result.times_s) >= 0.9
        assert result.find_part_within(OBJECTIVE_S) >= 0.75

    def test_overload_serves_what_fits_in_time(self, seed: int) -> None:
        """Guards against a collapse at 107% of the slots, where late runs push out timely ones."""
        result = Replay(replace(ZONE, rate=1.07 * 74.0), seed).run()
        assert result.find_part_within(OBJECTIVE_S) >= 0.7


@pytest.mark.parametrize("seed", SEEDS)
class TestCalmZone:
    def test_objects_stay_with_their_servers(self, seed: int) -> None:
        """Guards against objects that wander between servers with small caches."""
        result = Replay(replace(ZONE, rate=28.0), seed).run()
        assert result.known / len(result.times_s) >= 0.9
        assert result.find_part_within(OBJECTIVE_S) >= 0.9


@pytest.mark.parametrize("seed", SEEDS)
class TestSheddingServers:
    def test_single_refusals_do_not_take_servers_out(self, seed: int) -> None:
        """Guards against pauses of healthy servers that refuse 30% of requests at random."""
        result = Replay(replace(ZONE, rate=45.0, shed_share=0.3), seed).run()
        assert result.find_part_within(OBJECTIVE_S) >= 0.75
