"""The gateway as a process."""

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

START = Path(__file__).parent.parent.parent / "src" / "run_gateway.py"
# Takes the place of a library and holds up the imports.
SLOW_MODULE = """
import pathlib, time
pathlib.Path(__file__).with_name("importing").touch()
time.sleep(60.0)
"""


@pytest.fixture
def starting(tmp_path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Returns a gateway that is still importing."""
    (tmp_path / "uvloop.py").write_text(SLOW_MODULE)
    environment = {"PYTHONPATH": str(tmp_path), "PYTHONDONTWRITEBYTECODE": "1"}
    process = subprocess.Popen([sys.executable, str(START)], env=environment)
    while not (tmp_path / "importing").exists():
        assert process.poll() is None
        time.sleep(0.01)
    yield process
    process.kill()
    process.wait()


class TestStart:
    def test_change_of_settings_does_not_end_it(self, starting: subprocess.Popen[bytes]) -> None:
        """Guards against a reload signal that arrives before its handler is installed."""
        starting.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            starting.wait(0.3)
