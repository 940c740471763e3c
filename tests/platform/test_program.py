"""Tests of the gateway as a process."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

SCRIPT = Path(__file__).parent.parent.parent / "src" / "run_gateway.py"
# Replaces a library module and blocks its import.
BLOCKING_MODULE = """
import pathlib, time
pathlib.Path(__file__).with_name("importing").touch()
time.sleep(60.0)
"""


@pytest.fixture
def starting_process(tmp_path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Returns a gateway that is still importing."""
    (tmp_path / "uvloop.py").write_text(BLOCKING_MODULE)
    environment = {"PYTHONPATH": str(tmp_path), "PYTHONDONTWRITEBYTECODE": "1"}
    process = subprocess.Popen([sys.executable, str(SCRIPT)], env=environment)
    while not (tmp_path / "importing").exists():
        assert process.poll() is None
        time.sleep(0.01)
    yield process
    process.kill()
    process.wait()


class TestStartup:
    def test_sighup_during_imports_does_not_end_the_process(
        self, starting_process: subprocess.Popen[bytes]
    ) -> None:
        """Guards against a reload signal that arrives before its handler is installed."""
        starting_process.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            starting_process.wait(0.3)
