"""Load patterns of the customers, replayed on a permit queue without a network."""

from __future__ import annotations

import pytest

from tests.pools.load_patterns import CAPACITY_PER_S
from tests.pools.load_patterns import Replays
from tests.pools.load_patterns import Stream
from tests.pools.load_patterns import build_burst
from tests.pools.load_patterns import build_steady

DURATION_S = 18.0
BURST = (6.0, 12.0)
# After the burst, the queue may take this long until the load is served as before.
RECOVERY_S = 2.0
WORKSPACES = 20
# Objects that one workspace requests; the caches of the zone hold those of all.
WORKSPACE_OBJECTS = 6
MIN_GOODPUT = 0.9 * CAPACITY_PER_S
MIN_RECOVERED_SHARE = 0.93


def build_workspaces(factor: float) -> list[Stream]:
    """Returns 20 workspaces at 0.85 of the capacity; the first sends 12% of it, and the burst."""
    load = 0.85 * CAPACITY_PER_S
    large, small = 0.12 * load, 0.88 * load / (WORKSPACES - 1)
    rate = build_burst(large, factor, BURST)
    streams = [Stream(rate, "large", large, objects=WORKSPACE_OBJECTS)]
    for number in range(1, WORKSPACES):
        steady = build_steady(small)
        streams.append(Stream(steady, f"small-{number}", small, objects=WORKSPACE_OBJECTS))
    return streams


class TestGreedyWorkspace:
    """One workspace at 7 times its usual load for 6 s."""

    def test_others_keep_their_service(self) -> None:
        """Guards against a workspace that takes the slots of the others."""
        others = range(1, WORKSPACES)
        calm = Replays(build_workspaces(1.0), DURATION_S, BURST)
        burst = Replays(build_workspaces(7.0), DURATION_S, BURST)
        assert burst.compute_share(*others) >= 0.95 * calm.compute_share(*others)

    def test_slots_go_to_all_workspaces(self) -> None:
        """Guards against workspaces that starve, and against slots that stay free for some."""
        burst = Replays(build_workspaces(7.0), DURATION_S, BURST)
        shares = [burst.compute_share(index) for index in range(WORKSPACES)]
        assert min(shares) >= burst.compute_share(*range(WORKSPACES)) / 2
        assert burst.compute_goodput() >= MIN_GOODPUT

    def test_service_recovers(self) -> None:
        """Guards against a workspace that pays for its burst after the burst."""
        after = (BURST[1] + RECOVERY_S, DURATION_S)
        replays = Replays(build_workspaces(7.0), DURATION_S, after)
        assert replays.compute_share(0) >= MIN_RECOVERED_SHARE
        assert replays.compute_share(*range(WORKSPACES)) >= MIN_RECOVERED_SHARE


KINDS = {
    "2.5 times on the urgent kind for 7 s": (
        [
            Stream(build_burst(0.4 * CAPACITY_PER_S, 2.5, (6.0, 13.0))),
            Stream(build_steady(0.4 * CAPACITY_PER_S), priority=1),
        ],
        (6.0, 13.0),
    ),
    "2.5 times on the less urgent kind for 7 s": (
        [
            Stream(build_steady(0.4 * CAPACITY_PER_S)),
            Stream(build_burst(0.4 * CAPACITY_PER_S, 2.5, (6.0, 13.0)), priority=1),
        ],
        (6.0, 13.0),
    ),
    "two bursts of 2.6 times in a row": (
        [
            Stream(build_burst(0.4 * CAPACITY_PER_S, 2.6, (4.0, 7.0), (8.0, 13.0))),
            Stream(build_steady(0.4 * CAPACITY_PER_S), priority=1),
        ],
        (8.0, 13.0),
    ),
    "a third of the callers retries at once, three times": (
        [
            Stream(build_burst(0.28 * CAPACITY_PER_S, 2.0, BURST), retries=3),
            Stream(build_burst(0.57 * CAPACITY_PER_S, 2.0, BURST)),
        ],
        BURST,
    ),
    "as many callers again that disconnect at once": (
        [
            Stream(build_burst(0.85 * CAPACITY_PER_S, 1.5, BURST)),
            Stream(build_burst(0.01, 85.0 * CAPACITY_PER_S, BURST), leave_share=1.0),
        ],
        BURST,
    ),
}


@pytest.mark.parametrize("name", KINDS)
class TestBurst:
    def test_goodput_keeps_up(self, name: str) -> None:
        """Guards against idle servers, and against less urgent requests that are served first."""
        streams, measured = KINDS[name]
        replays = Replays(streams, DURATION_S, measured)
        assert replays.compute_goodput() >= MIN_GOODPUT
        if streams[0].priority < streams[1].priority:
            assert replays.compute_share(0) >= replays.compute_share(1) - 0.05

    def test_service_recovers(self, name: str) -> None:
        """Guards against a queue that stays overloaded when the burst is over."""
        streams, (_, end_s) = KINDS[name]
        replays = Replays(streams, DURATION_S, (end_s + RECOVERY_S, DURATION_S))
        assert replays.compute_share(*range(len(streams))) >= MIN_RECOVERED_SHARE
