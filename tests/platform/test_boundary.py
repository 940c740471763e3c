"""The platform's names stay in the adapter."""

from __future__ import annotations

import re
from pathlib import Path

import briarfork
from briarfork.platform import names

SOURCE = Path(briarfork.__file__).parent
ADAPTER = SOURCE / "platform"
WIRE = re.compile(
    r"X-Briarfork-|kv-(?:key|range|watch|txn|lease|keep)|traffic_split|allowed_regions"
    r"|op/config|op/evacuate|BRIARFORK_SETTINGS|sticky_sessions|cold_remaining"
)


class TestBoundary:
    def test_no_name_of_the_wire_is_known_outside_the_adapter(self) -> None:
        """Guards against a decision that depends on how the platform spells things."""
        found = [
            f"{path.relative_to(SOURCE)}: {match.group()}"
            for path in SOURCE.rglob("*.py")
            if ADAPTER not in path.parents
            for match in WIRE.finditer(path.read_text())
        ]
        assert found == []

    def test_pattern_finds_the_names(self) -> None:
        """Guards against a search that can find nothing."""
        assert WIRE.search(names.ATTEMPT_ID)
        assert WIRE.search(names.CONFIGURATION_KEY)
