"""The gateway program of an entry VM."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from briarfork import __version__
from briarfork.border.events import Event
from briarfork.border.events import EventLog
from briarfork.border.events import LogRateLimiter
from briarfork.border.events import install_json_handler
from briarfork.border.listening import open_unless_stopped
from briarfork.border.loop_monitor import LoopMonitor
from briarfork.border.memory import MemoryMonitor
from briarfork.border.process import EXIT_STATUSES
from briarfork.border.process import ExitStatus
from briarfork.border.process import bound_exit
from briarfork.border.process import record_failure
from briarfork.border.process import run_event_loop
from briarfork.border.process_age import read_process_age
from briarfork.border.supervision import run_logged
from briarfork.border.supervision import run_supervised
from briarfork.entry.response_faults import ResponseFaultRecorder
from briarfork.errors import BadSettings
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.process import Gateway
from briarfork.gateway.view import GatewayView
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.platform.registration import Registration
from briarfork.platform.servers import BREAK_OFF_S
from briarfork.platform.servers import GatewayServers
from briarfork.platform.settings import SETTINGS_VARIABLE
from briarfork.platform.settings import load_platform_settings
from briarfork.platform.settings_file import read_settings_file
from briarfork.platform.store import StoreClient
from briarfork.platform.upstream import HttpUpstream
from briarfork.platform.watcher import StoreWatcher

if TYPE_CHECKING:
    from briarfork.border.signals import ProcessSignals
    from briarfork.platform.settings import PlatformSettings

PROGRAM = "briarfork-gateway"
# Log lines per second and event; further ones are only counted, so that failures cannot flood logs.
LINES_PER_S = 10
# Callers cache lookups, so a stopping VM accepts connections for this fraction of its grace period.
ACCEPT_FRACTION = 0.4
# Part of the grace period that is left for the process to exit.
EXIT_MARGIN_S = 0.4
# Part of it that is left when tasks that have not ended are given up.
EXIT_RESERVE_S = 0.1
MS_PER_S = 1000


def run_program(signals: ProcessSignals) -> None:
    """Runs the gateway until a planned stop.

    Raises:
        SystemExit: If the settings are invalid, after `--check`, or if the gateway fails.
    """
    arguments = _parse_arguments()
    if arguments.check:
        sys.exit(_check_settings(arguments.settings))
    install_json_handler()
    settings = _read_settings(arguments.settings, signals)
    events = EventLog(PROGRAM, settings.common, LogRateLimiter(LINES_PER_S))
    status = run_event_loop(lambda: GatewayProgram(settings, events, signals).run(), events)
    if status:
        sys.exit(status)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description="Serves callers on an entry VM.",
        epilog=EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    default = os.environ.get(SETTINGS_VARIABLE)
    parser.add_argument(
        "settings",
        type=Path,
        nargs="?",
        default=default,
        help=f"settings file in the platform's format; default: ${SETTINGS_VARIABLE}",
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    parser.add_argument("--check", action="store_true", help="check the settings file and exit")
    arguments = parser.parse_args()
    if arguments.settings is None:
        parser.error(f"expected a settings file or {SETTINGS_VARIABLE}")
    return arguments


def _check_settings(path: Path) -> ExitStatus:
    """Prints the faults of a settings file."""
    try:
        load_platform_settings(path)
    except BadSettings as error:
        _print_faults(error)
        return ExitStatus.BAD_SETTINGS
    return ExitStatus.STOPPED


def _read_settings(path: Path, signals: ProcessSignals) -> PlatformSettings:
    """Returns the settings.

    Raises:
        SystemExit: If the file is invalid, whose faults are printed and logged, or if a stop was
            requested before it was complete.
    """
    events = EventLog(PROGRAM)
    try:
        settings = read_settings_file(path, signals, events)
    except BadSettings as error:
        _print_faults(error)
        record_failure(error, ExitStatus.BAD_SETTINGS, events)
        sys.exit(ExitStatus.BAD_SETTINGS)
    if settings is None:
        events.record(Event.STOPPING)
        events.record(Event.STOPPED)
        sys.exit(ExitStatus.STOPPED)
    return settings


def _print_faults(error: BadSettings) -> None:
    for fault in error.faults:
        print(f"{PROGRAM}: {fault}", file=sys.stderr)


class GatewayProgram:
    """Connects the platform's protocols to a gateway and runs it."""

    def __init__(
        self, settings: PlatformSettings, events: EventLog, signals: ProcessSignals
    ) -> None:
        self._settings = settings
        self._events = events
        self._signals = signals
        view = GatewayView(settings.common, settings.location, settings.retry_limits, events)
        view.max_configuration_age_s = settings.max_configuration_age_s
        self._gateway = Gateway(view, events, settings.quota_bounds)
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serves until a planned stop has finished."""
        loop = asyncio.get_running_loop()
        self._signals.attach(loop, self._request_stop, self._log_reload)
        try:
            if self._signals.stop_requested:
                self._request_stop()
            else:
                await self._serve()
        finally:
            self._signals.detach()
        self._events.record(Event.STOPPED)

    async def _serve(self) -> None:
        async with StoreClient(self._settings.common, self._events) as store:
            dispatcher = self._build_dispatcher()
            watcher = StoreWatcher(self._settings, self._gateway, store, self._events)
            registration = Registration(
                self._settings, store, watcher.contents, self._build_member()
            )
            monitor = LoopMonitor(
                self._events, self._gateway.busy_times, dispatcher.metrics.observe_loop_delay
            )
            memory_monitor = MemoryMonitor(self._events, self._settings.memory_mb)
            servers = GatewayServers(self._settings, self._gateway, dispatcher)
            if not await open_unless_stopped(servers.open(store), self._stopping):
                return
            self._events.record(
                Event.STARTED,
                entry=self._settings.common.ports.entry,
                since_start_ms=round(read_process_age() * MS_PER_S),
                memory_limit_mb=self._settings.memory_mb,
            )
            async with asyncio.TaskGroup() as group:
                registration_task = group.create_task(
                    run_supervised(registration.run, self._events)
                )
                tasks = []
                for run in (
                    self._gateway.run,
                    watcher.run,
                    watcher.expire,
                    monitor.run,
                    memory_monitor.run,
                ):
                    tasks.append(group.create_task(run_supervised(run, self._events)))
                await self._stopping.wait()
                registration_task.cancel()
                exit_by = time.monotonic() + self._settings.grace_s - EXIT_RESERVE_S
                await self._drain(servers, registration)
                bound_exit(max(0.0, exit_by - time.monotonic()), self._events)
                for task in tasks:
                    task.cancel()

    def _request_stop(self) -> None:
        if not self._stopping.is_set():
            self._events.record(Event.STOPPING)
            self._stopping.set()

    def _log_reload(self) -> None:
        self._events.record(Event.RELOADED)

    def _build_member(self) -> Member:
        common = self._settings.common
        return Member(
            vm=common.vm,
            address=common.address,
            zone=common.zone,
            incarnation=time.time_ns() // (MS_PER_S * MS_PER_S),
            version=1,
            state=MemberState.LIVE,
            ports={"entry": common.ports.entry, "permits": common.ports.permits},
            serving=True,
            cores=self._settings.cores,
            link_mbps=self._settings.link_mbps,
        )

    def _build_dispatcher(self) -> Dispatcher:
        gateway = self._gateway
        upstream = HttpUpstream(
            gateway.connections, self._settings.common.limits.response_memory_bytes
        )
        dispatcher = Dispatcher(
            gateway.view, gateway.permits, upstream, self._events, gateway.quotas
        )
        gateway.quotas.observe_decision = dispatcher.metrics.count_quota_decision
        gateway.connections.observer = ResponseFaultRecorder(
            self._events, gateway.permits, dispatcher.metrics.count_response_fault
        )
        return dispatcher

    async def _drain(self, servers: GatewayServers, registration: Registration) -> None:
        """Stops accepting callers and waits for requests in progress.

        Callers cache lookups, so new connections arrive for a while after deregistration. Their
        requests are refused if they would not end before the VM stops.
        """
        now = time.monotonic()
        deadline = now + self._settings.grace_s - EXIT_MARGIN_S
        self._gateway.draining = True
        self._gateway.view.stops_at = deadline - BREAK_OFF_S
        accept_until = now + ACCEPT_FRACTION * self._settings.grace_s
        await run_logged(registration.deregister, self._events)
        await asyncio.sleep(max(0.0, accept_until - time.monotonic()))
        cut = await servers.drain(deadline)
        if cut:
            self._events.record(Event.REQUESTS_CUT, requests=cut)
