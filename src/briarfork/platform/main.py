"""The program that runs on an entry VM of the prepared platform."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop
from aiohttp import web

from briarfork import __version__
from briarfork.border.events import Event
from briarfork.border.events import EventLog
from briarfork.border.events import LineBudget
from briarfork.border.events import install_json_handler
from briarfork.border.program import EXIT_STATUSES
from briarfork.errors import BadSettings
from briarfork.errors import BriarforkError
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.process import Gateway
from briarfork.gateway.view import GatewayView
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.platform.callers import CallerConnection
from briarfork.platform.callers import CallerFront
from briarfork.platform.follower import Follower
from briarfork.platform.lookups import build_lookup_app
from briarfork.platform.lookups import build_metrics_app
from briarfork.platform.lookups import build_ready_app
from briarfork.platform.presence import Presence
from briarfork.platform.settings import SETTINGS_VARIABLE
from briarfork.platform.settings import load_platform_settings
from briarfork.platform.store import StoreClient
from briarfork.platform.upstream import HttpUpstream

if TYPE_CHECKING:
    from briarfork.platform.settings import PlatformSettings

PROGRAM = "briarfork-gateway"
BACKLOG = 1024
# Lines a second of one event; failures of a bad second are sampled, and the rest is counted.
LINES_PER_S = 10
# Callers keep lookups for their time-to-live; a VM goes on accepting for this part of its grace.
ACCEPT_SHARE = 0.4
# Left of the grace for the end of the process.
EXIT_MARGIN_S = 0.4
MILLISECONDS = 1000


def main() -> None:
    """Runs the gateway until SIGTERM."""
    settings = _read_settings()
    install_json_handler()
    events = EventLog(PROGRAM, settings.product, LineBudget(LINES_PER_S))
    # libuv reads this when the loop is created; the platform does not allow io_uring.
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(Program(settings, events).run())
    except* (BriarforkError, OSError) as group:
        for error in group.exceptions:
            events.record(Event.TASK_FAILED, error=error)
        sys.exit(1)


def _read_settings() -> PlatformSettings:
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description="Serves callers on an entry VM of the prepared platform.",
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
    try:
        settings = load_platform_settings(Path(arguments.settings))
    except BadSettings as error:
        for fault in error.faults:
            print(f"{PROGRAM}: {fault}", file=sys.stderr)
        sys.exit(error.response.exit_status)
    if arguments.check:
        sys.exit(0)
    return settings


class Program:
    """Joins the adapter's parts to a gateway."""

    def __init__(self, settings: PlatformSettings, events: EventLog) -> None:
        self._settings = settings
        self._events = events
        view = GatewayView(settings.product, settings.place, settings.repeat_bounds, events)
        self._gateway = Gateway(view, events)
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serves until a planned stop has ended."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        # The settings of a running VM do not change; the signal must not end the process.
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        async with StoreClient(self._settings.product) as store:
            follower = Follower(self._settings, self._gateway, store, self._events)
            presence = Presence(self._settings, store, follower, self._describe_self())
            dispatcher = self._build_dispatcher()
            callers = await self._open_callers(dispatcher)
            asides = [
                await self._open(build_ready_app(self._gateway), self._settings.ready),
                await self._open(
                    build_lookup_app(self._gateway, self._settings.lookup_ttl_s),
                    self._settings.lookup,
                ),
                await self._open(build_metrics_app(dispatcher), self._settings.metrics),
            ]
            self._events.record(Event.STARTED, entry=self._settings.product.ports.entry)
            async with asyncio.TaskGroup() as group:
                registered = group.create_task(presence.run())
                tasks = [
                    group.create_task(self._gateway.run()),
                    group.create_task(follower.run()),
                    group.create_task(follower.expire()),
                ]
                await self._stopping.wait()
                registered.cancel()
                await self._leave(callers, presence)
                for task in tasks:
                    task.cancel()
            for aside in asides:
                await aside.cleanup()
        self._events.record(Event.STOPPED)

    def _stop(self) -> None:
        if not self._stopping.is_set():
            self._events.record(Event.STOPPING)
            self._stopping.set()

    def _reload(self) -> None:
        self._events.record(Event.RELOADED)

    def _describe_self(self) -> Member:
        product = self._settings.product
        return Member(
            vm=product.vm,
            address=product.address,
            zone=product.zone,
            incarnation=time.time_ns() // (MILLISECONDS * MILLISECONDS),
            version=1,
            state=MemberState.LIVE,
            ports={"entry": product.ports.entry, "permits": product.ports.permits},
            serving=True,
        )

    async def _open_callers(
        self, dispatcher: Dispatcher
    ) -> tuple[asyncio.Server, web.ServerRunner]:
        front = CallerFront(self._gateway, dispatcher)
        manager = web.Server(front.handle, handler_cancellation=True)
        runner = web.ServerRunner(manager, shutdown_timeout=self._find_drain_s())
        await runner.setup()
        product = self._settings.product
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self._gateway, manager),
            product.address,
            product.ports.entry,
            backlog=BACKLOG,
        )
        return server, runner

    def _build_dispatcher(self) -> Dispatcher:
        gateway = self._gateway
        upstream = HttpUpstream(gateway.connections)
        return Dispatcher(gateway.view, gateway.permits, upstream, self._events)

    async def _open(self, app: web.Application, place: tuple[str, int]) -> web.AppRunner:
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, *place).start()
        return runner

    def _find_drain_s(self) -> float:
        return (1.0 - ACCEPT_SHARE) * self._settings.grace_s - EXIT_MARGIN_S

    async def _leave(
        self, callers: tuple[asyncio.Server, web.ServerRunner], presence: Presence
    ) -> None:
        """Stops without cutting a request.

        Callers keep lookups, so connections arrive for a while after the VM is no longer named.
        """
        server, runner = callers
        self._gateway.leaving = True
        accept_until = time.monotonic() + ACCEPT_SHARE * self._settings.grace_s
        await presence.withdraw()
        await asyncio.sleep(max(0.0, accept_until - time.monotonic()))
        server.close()
        # Closes idle connections, then waits for requests in progress.
        await runner.cleanup()


if __name__ == "__main__":
    main()
