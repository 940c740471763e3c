"""Tests of the platform's durations."""

from __future__ import annotations

import pytest

from briarfork.platform.units import parse_duration


class TestDuration:
    @pytest.mark.parametrize("text", ["", "5", "-1s", "1m", "1 s", "xs", "9" * 400 + "s"])
    def test_malformed_duration_is_rejected(self, text: str) -> None:
        """Guards against reading a duration in another unit."""
        with pytest.raises(ValueError, match="expected a duration"):
            parse_duration(text)
