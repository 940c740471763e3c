"""Reads the settings file at a start, which the platform may be writing at that moment."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.platform.settings import IncompleteSettings
from briarfork.platform.settings import load_platform_settings

if TYPE_CHECKING:
    from pathlib import Path

    from briarfork.border.events import EventLog
    from briarfork.border.signals import ProcessSignals
    from briarfork.platform.settings import PlatformSettings

# Writing a file of some kilobytes takes milliseconds, also on a busy machine.
COMPLETION_TIMEOUT_S = 3.0
READ_PAUSE_S = 0.05


def read_settings_file(
    path: Path, signals: ProcessSignals, events: EventLog
) -> PlatformSettings | None:
    """Returns the settings; reads a missing or incomplete file again for a short time.

    Returns:
        The settings, or None if a stop was requested before the file was complete.

    Raises:
        BadSettings: If the file has other faults, or stays incomplete.
    """
    deadline = time.monotonic() + COMPLETION_TIMEOUT_S
    is_logged = False
    while True:
        try:
            return load_platform_settings(path)
        except IncompleteSettings as error:
            if signals.stop_requested:
                return None
            if time.monotonic() >= deadline:
                raise
            if not is_logged:
                events.record(Event.SETTINGS_UNUSABLE, error=error.detail)
                is_logged = True
        time.sleep(READ_PAUSE_S)
