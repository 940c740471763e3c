"""Entry point shared by all services: arguments, settings, event loop and planned stop."""

from __future__ import annotations

import argparse
import asyncio
import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from briarfork import __version__
from briarfork.border.events import Event
from briarfork.border.events import EventLog
from briarfork.border.events import install_log_handler
from briarfork.border.process import EXIT_STATUSES
from briarfork.border.process import ExitStatus
from briarfork.border.process import record_failure
from briarfork.border.process import run_event_loop
from briarfork.border.settings import load_settings
from briarfork.errors import BadSettings

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from briarfork.border.settings import Settings
    from briarfork.border.signals import ProcessSignals


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
    install_log_handler()
    settings = _read_settings(program, description)
    events = EventLog(program, settings)
    status = run_event_loop(partial(_run_until_stopped, serve, settings, events, signals), events)
    if status:
        sys.exit(status)


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
        record_failure(error, ExitStatus.BAD_SETTINGS, EventLog(program))
        sys.exit(ExitStatus.BAD_SETTINGS)
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
