"""Entry point shared by all services: arguments, settings, event loop and planned stop."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from briarfork import __version__
from briarfork.border.events import Event
from briarfork.border.events import EventLog
from briarfork.border.events import install_log_handler
from briarfork.border.settings import load_settings
from briarfork.errors import BadSettings
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from briarfork.border.settings import Settings
    from briarfork.border.signals import ProcessSignals

EXIT_STATUSES = """exit statuses:
  0  planned stop
  1  failure
  2  bad settings or arguments"""


def run_service(
    program: str,
    description: str,
    serve: Callable[[Settings, EventLog, asyncio.Event], Awaitable[None]],
    signals: ProcessSignals,
) -> None:
    """Runs a service until SIGTERM or SIGINT.

    Args:
        program: Name of the program.
        description: Description for --help.
        serve: Coroutine function that runs the service and stops gracefully once its event is set.
        signals: Signals of the process.

    Raises:
        SystemExit: If the settings are invalid, after `--check`, or if the service fails.
    """
    settings = _read_settings(program, description)
    install_log_handler()
    events = EventLog(program, settings)
    # libuv reads this when the loop is created. The platform forbids io_uring.
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run_until_stopped(serve, settings, events, signals))
    except* (BriarforkError, OSError) as group:
        for error in group.exceptions:
            events.record(Event.TASK_FAILED, error=error)
        sys.exit(1)


def build_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Returns the argument parser of a service."""
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("settings", type=Path, help="settings file of this VM, YAML")
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit without starting"
    )
    return parser


def _read_settings(program: str, description: str) -> Settings:
    arguments = build_parser(program, description).parse_args()
    try:
        settings = load_settings(arguments.settings)
    except BadSettings as error:
        for fault in error.faults:
            print(f"{program}: {fault}", file=sys.stderr)
        sys.exit(error.response.exit_status)
    if arguments.check:
        sys.exit(0)
    return settings


async def _run_until_stopped(
    serve: Callable[[Settings, EventLog, asyncio.Event], Awaitable[None]],
    settings: Settings,
    events: EventLog,
    signals: ProcessSignals,
) -> None:
    stopping = asyncio.Event()

    def request_stop() -> None:
        if not stopping.is_set():
            events.record(Event.STOPPING)
            stopping.set()

    def log_reload() -> None:
        events.record(Event.RELOADED)

    signals.attach(asyncio.get_running_loop(), request_stop, log_reload)
    try:
        if signals.stop_requested:
            request_stop()
        else:
            await serve(settings, events, stopping)
    finally:
        signals.detach()
    events.record(Event.STOPPED)
