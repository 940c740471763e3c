"""Finds where an error was raised, for the log."""

from __future__ import annotations

import traceback
from pathlib import Path


def find_place(error: BaseException | None) -> str:
    """Returns the file, line and function where an error, or the first of a group, was raised."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__) if error else []
    if not frames:
        return ""
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno} {frames[-1].name}"
