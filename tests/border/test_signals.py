"""Signals of a process whose event loop has nothing else to do."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

SOURCES = Path(__file__).parent.parent.parent / "src"
TIMEOUT_S = 30.0
# Gets a stop and two reloads before its event loop runs, and a reload while the loop is idle.
EARLY_AND_IDLE = """
import asyncio, os, signal, threading, uvloop
from briarfork.border.signals import ProcessSignals

def send(number):
    os.kill(os.getpid(), number)

async def run(signals):
    idle, stopped, reloads = asyncio.Event(), asyncio.Event(), []
    def note_reload():
        reloads.append(stopped.is_set())
        if len(reloads) == 2:
            idle.set()
    signals.attach(asyncio.get_running_loop(), stopped.set, note_reload)
    await stopped.wait()
    threading.Timer(0.1, send, [signal.SIGHUP]).start()
    await idle.wait()
    signals.detach()
    print(reloads)

with ProcessSignals() as signals:
    for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM):
        send(number)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(signals))
"""


class TestProcessSignals:
    def test_delivers_early_signals_and_wakes_an_idle_loop(self) -> None:
        """Guards against a stop lost in the start, and a loop that no signal wakes up."""
        ended = subprocess.run(
            [sys.executable, "-c", EARLY_AND_IDLE],
            env={"PYTHONPATH": str(SOURCES)},
            timeout=TIMEOUT_S,
            capture_output=True,
            text=True,
        )
        assert (ended.returncode, ended.stdout) == (0, "[False, True]\n"), ended.stderr
