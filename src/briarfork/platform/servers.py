"""The listening sockets of a gateway: callers, readiness, lookups and metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.border.graceful_server import GracefulConnection
from briarfork.border.graceful_server import GracefulServer
from briarfork.platform.callers import CallerConnection
from briarfork.platform.callers import CallerRequestHandler
from briarfork.platform.endpoints import build_lookup_app
from briarfork.platform.endpoints import build_metrics_app
from briarfork.platform.endpoints import build_ready_app
from briarfork.platform.pipelines import CallerPipelines

if TYPE_CHECKING:
    from briarfork.gateway.dispatch import Dispatcher
    from briarfork.gateway.process import Gateway
    from briarfork.platform.settings import PlatformSettings
    from briarfork.platform.store import StoreClient

LISTEN_BACKLOG = 1024
# Time in which requests that are broken off get their responses.
BREAK_OFF_S = 0.1
# Idle connections to the readiness check, lookups and metrics are closed after this time, also
# those that have sent nothing or a part of a request: each holds one of the VM's descriptors.
AUXILIARY_IDLE_S = 30.0
# Time for the responses of the other servers after the callers' server has ended.
AUXILIARY_STOP_S = 0.1


class GatewayServers:
    """Opens the servers of a gateway, and ends them at a planned stop."""

    def __init__(
        self, settings: PlatformSettings, gateway: Gateway, dispatcher: Dispatcher
    ) -> None:
        self._settings = settings
        self._gateway = gateway
        self._dispatcher = dispatcher
        handler = CallerRequestHandler(gateway, dispatcher)
        self._callers = GracefulServer(handler.handle, handler_cancellation=True)
        self._pipelines = CallerPipelines(gateway, dispatcher)
        self._auxiliary: list[GracefulServer] = []
        self._runners: list[web.AppRunner] = []

    async def open(self, store: StoreClient) -> None:
        """Opens all servers.

        Args:
            store: Client of the store, for the metrics.
        """
        settings, gateway = self._settings, self._gateway
        metrics = build_metrics_app(self._dispatcher, store, gateway, settings.memory_mb)
        await self._open_app(build_ready_app(gateway), settings.ready)
        await self._open_app(build_lookup_app(gateway, settings.lookup_ttl_s), settings.lookup)
        await self._open_app(metrics, settings.metrics)
        # Callers come last, so that none is accepted if a stop is requested before.
        await self._callers.listen(
            lambda: CallerConnection(gateway, self._callers, self._pipelines),
            settings.common.address,
            settings.common.ports.entry,
            backlog=LISTEN_BACKLOG,
        )

    async def drain(self, deadline: float) -> int:
        """Serves the requests that have been read and closes all connections.

        Args:
            deadline: Monotonic time at which the connections of callers are cut.

        Returns:
            The number of requests of callers that were cut.
        """
        self._callers.drain()
        await self._callers.wait_until_closed(deadline - BREAK_OFF_S)
        self._dispatcher.break_off()
        await self._callers.wait_until_closed(deadline)
        cut = self._callers.abort()
        self._dispatcher.metrics.count_cut_requests(cut)
        until = deadline + AUXILIARY_STOP_S
        await asyncio.gather(*(server.stop(until) for server in self._auxiliary))
        for runner in self._runners:
            await runner.cleanup()
        return cut

    async def _open_app(self, app: web.Application, address: tuple[str, int]) -> None:
        runner = web.AppRunner(app)
        await runner.setup()
        server = GracefulServer.wrap(runner)
        await server.listen(
            lambda: GracefulConnection(server, access_log=None, keepalive_timeout=AUXILIARY_IDLE_S),
            *address,
        )
        self._runners.append(runner)
        self._auxiliary.append(server)
