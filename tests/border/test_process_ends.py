"""Tests of how a process ends whose standard error has no reader."""

from __future__ import annotations

import os
import subprocess
import sys

END_TIMEOUT_S = 10.0
PROGRAM = """
import sys
from briarfork.border.events import EventLog
from briarfork.border.events import install_json_handler
from briarfork.border.process import run_event_loop

install_json_handler()
events = EventLog("test")

async def fail():
    raise ValueError("odd")

sys.exit(run_event_loop(fail, events))
"""


class TestEnds:
    def test_failure_without_a_reader_of_errors_is_logged(self) -> None:
        """Guards against a process that ends without a line in its log."""
        reading, writing = os.pipe()
        os.close(reading)
        try:
            result = subprocess.run(
                [sys.executable, "-c", PROGRAM],
                stdout=subprocess.PIPE,
                stderr=writing,
                timeout=END_TIMEOUT_S,
                check=False,
            )
        finally:
            os.close(writing)
        assert '"name":"process_failed"' in result.stdout.decode()
        assert result.returncode == 1
