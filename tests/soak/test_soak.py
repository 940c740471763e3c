"""Short soak test with a fixed seed; `python -m tests.soak.main` runs longer ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.soak.main import SoakSettings
from tests.soak.main import soak

if TYPE_CHECKING:
    from pathlib import Path

SEED = 7
FAULTS_S = 6.0
# Differs from the default of manual runs, so that both can run at the same time.
NETWORK = 64


class TestSoak:
    async def test_invariants_hold_under_overlapping_faults(self, tmp_path: Path) -> None:
        """Guards against invariants that hold under single faults but not under several at once."""
        settings = SoakSettings(FAULTS_S, NETWORK)
        outcome = await soak(SEED, settings, tmp_path)
        assert outcome.violations == [], outcome.faults
        assert outcome.served > 0.5 * outcome.calls
