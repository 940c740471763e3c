"""Tests that the names in the platform's protocols are used only in the adapter."""

from __future__ import annotations

import re
from pathlib import Path

import briarfork
from briarfork.platform import names

SOURCE = Path(briarfork.__file__).parent
ADAPTER = SOURCE / "platform"
PROTOCOL_NAMES = re.compile(
    r"X-Briarfork-|kv-(?:key|range|watch|txn|lease|keep)|traffic_split|allowed_regions"
    r"|op/config|op/evacuate|BRIARFORK_SETTINGS|sticky_sessions|cold_remaining"
)


class TestAdapterBoundary:
    def test_protocol_names_are_used_only_in_the_adapter(self) -> None:
        """Guards against decisions that depend on the names in the platform's protocols."""
        found = [
            f"{path.relative_to(SOURCE)}: {match.group()}"
            for path in SOURCE.rglob("*.py")
            if ADAPTER not in path.parents
            for match in PROTOCOL_NAMES.finditer(path.read_text())
        ]
        assert found == []

    def test_pattern_matches_the_names(self) -> None:
        """Guards against a search pattern that matches nothing."""
        assert PROTOCOL_NAMES.search(names.ATTEMPT_ID)
        assert PROTOCOL_NAMES.search(names.CONFIGURATION_KEY)
