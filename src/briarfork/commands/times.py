"""Times as operators write them."""

from __future__ import annotations

from datetime import datetime

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind


def read_time(argument: str, text: str | None) -> float | None:
    """Returns a time in seconds since the epoch, or None if none is given.

    Raises:
        BriarforkError: With kind `bad_request` if it is not ISO 8601 with a zone.

    Example:
        >>> read_time("--start", "2026-03-01T06:00:00+02:00")
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
        raise BriarforkError(ErrorKind.BAD_REQUEST, f"{argument}: expected a zone, found {text!r}")
    return time.timestamp()
