"""A short soak with a fixed seed; `python -m tests.soak.main` runs longer ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.soak.main import soak

if TYPE_CHECKING:
    from pathlib import Path

SEED = 7
FAULTS_S = 6.0
# Not the network of runs by hand.
NETWORK = 64


class TestSoak:
    async def test_promises_hold_under_overlapping_faults(self, tmp_path: Path) -> None:
        """Guards against promises that hold for each fault alone and not for several at once."""
        outcome = await soak(SEED, FAULTS_S, tmp_path, NETWORK)
        assert outcome.broken == [], outcome.faults
        assert outcome.served > 0.5 * outcome.calls
