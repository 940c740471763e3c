"""The time since the start of this process."""

from __future__ import annotations

import os
import time
from pathlib import Path

STAT_FILE = Path("/proc/self/stat")
# Position of the start time among the fields after the name of the program.
START_FIELD = 19

_imported_at = time.monotonic()


def read_process_age() -> float:
    """Returns the time since this process was started, in seconds.

    Where the system does not tell, the time before the import of this module is not included.
    """
    try:
        # The name of the program is in parentheses and may contain spaces.
        fields = STAT_FILE.read_text().rpartition(")")[2].split()
        started_s = int(fields[START_FIELD]) / os.sysconf("SC_CLK_TCK")
    # The figure is only logged: a listing must not fail for want of it.
    except (OSError, ValueError, IndexError):
        return time.monotonic() - _imported_at
    return time.clock_gettime(time.CLOCK_BOOTTIME) - started_s
