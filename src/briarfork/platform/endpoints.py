"""HTTP endpoints for lookups of entry VMs, the readiness check and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import ProcessCollector

from briarfork.platform import names
from briarfork.platform.collectors import GatewayCollector
from briarfork.platform.collectors import StoreCollector
from briarfork.platform.units import format_duration

if TYPE_CHECKING:
    from briarfork.gateway.dispatch import Dispatcher
    from briarfork.gateway.process import Gateway
    from briarfork.platform.store import StoreClient

# Maximum number of entry VMs in one response.
MAX_ENTRIES = 64


def build_ready_app(gateway: Gateway) -> web.Application:
    """Returns the application for the readiness check."""

    async def report(request: web.Request) -> web.Response:
        return web.Response(status=200 if gateway.is_ready else 503)

    app = web.Application()
    app.router.add_get(names.READY_PATH, report)
    return app


def build_metrics_app(
    dispatcher: Dispatcher, store: StoreClient, gateway: Gateway, memory_mb: int
) -> web.Application:
    """Returns the application for the metrics.

    Args:
        dispatcher: Dispatcher, which holds the metrics of requests.
        store: Client of the store.
        gateway: The gateway.
        memory_mb: Memory above which the platform kills the process.
    """
    dispatcher.metrics.add_collector(GatewayCollector(gateway, memory_mb))
    dispatcher.metrics.add_collector(StoreCollector(store))
    dispatcher.metrics.add_collector(ProcessCollector(registry=None))

    async def report(request: web.Request) -> web.Response:
        dispatcher.metrics.set_view_age(store.health.compute_view_age())
        dispatcher.metrics.set_store_era(store.era.current)
        for work, total_s in gateway.busy_times.totals_s.items():
            dispatcher.metrics.set_busy_time(work.value, total_s)
        if dispatcher.has_configuration:
            dispatcher.update_gauges()
        return web.Response(body=dispatcher.metrics.render(), content_type="text/plain")

    app = web.Application()
    app.router.add_get(names.METRICS_PATH, report)
    return app


def build_lookup_app(gateway: Gateway, ttl_s: float) -> web.Application:
    """Returns the application for lookups of entry VMs.

    Args:
        gateway: Gateway that knows the registered entry VMs.
        ttl_s: Time-to-live of a response in seconds.
    """

    async def look_up(request: web.Request) -> web.Response:
        zone = request.query.get("zone", gateway.view.location.zone)
        region = request.query.get("region", gateway.view.location.region)
        entries = gateway.view.order_entries(zone, region)[:MAX_ENTRIES]
        if not entries:
            return web.Response(status=503)
        return web.json_response(
            {
                "addresses": [f"{item.address}:{item.ports['entry']}" for item in entries],
                "ttl": format_duration(ttl_s),
            }
        )

    app = web.Application()
    app.router.add_get(names.LOOKUP_PATH, look_up)
    return app
