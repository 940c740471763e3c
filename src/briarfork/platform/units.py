"""Parses and formats the platform's durations, such as "1500ms" or "2.5s"."""

from __future__ import annotations

import re
from typing import Final

# With hundreds of digits a duration would be infinite.
DURATION_PATTERN: Final = re.compile(r"^(\d{1,12}(?:\.\d+)?)(ms|s)$")
SECONDS_PER_UNIT: Final = {"ms": 0.001, "s": 1.0}


def parse_duration(text: str) -> float:
    """Returns a duration in seconds.

    Raises:
        ValueError: If the text is not a duration.

    Example:
        >>> parse_duration("1500ms"), parse_duration("2.5s")
        (1.5, 2.5)
    """
    match = DURATION_PATTERN.match(text)
    if match is None:
        raise ValueError(f"expected a duration such as '1500ms' or '2s', found {text[:40]!r}")
    return float(match[1]) * SECONDS_PER_UNIT[match[2]]


def format_duration(seconds: float) -> str:
    """Returns the text of a duration in whole milliseconds.

    Example:
        >>> format_duration(1.5)
        '1500ms'
    """
    return f"{round(seconds * 1000)}ms"
