"""Parsing of time arguments."""

from __future__ import annotations

from datetime import datetime

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind


def parse_time(argument: str, text: str | None) -> float | None:
    """Parses an ISO 8601 time and returns it in seconds since the epoch, or None if absent.

    Args:
        argument: Name of the argument, for error messages.
        text: Value of the argument.

    Raises:
        BriarforkError: With kind `bad_request` if the text is not ISO 8601 with a time zone.

    Example:
        >>> parse_time("--start", "2026-03-01T06:00:00+02:00")
        1772337600.0
    """
    if text is None:
        return None
    try:
        time = datetime.fromisoformat(text)
    except ValueError as error:
        raise BriarforkError(
            ErrorKind.BAD_REQUEST, f"{argument}: expected ISO 8601, found {text!r}"
        ) from error
    if time.tzinfo is None:
        raise BriarforkError(
            ErrorKind.BAD_REQUEST, f"{argument}: expected a time zone, found {text!r}"
        )
    return time.timestamp()
