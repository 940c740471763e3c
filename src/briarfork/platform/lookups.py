"""HTTP towards callers that ask where to connect, and the platform's readiness check."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.platform import names
from briarfork.platform.units import format_duration

if TYPE_CHECKING:
    from briarfork.gateway.dispatch import Dispatcher
    from briarfork.gateway.process import Gateway

# Entry VMs named in one answer.
MAX_ENTRIES = 64


def build_ready_app(gateway: Gateway) -> web.Application:
    """Returns the application of the readiness check."""

    async def report(request: web.Request) -> web.Response:
        return web.Response(status=200 if gateway.is_ready else 503)

    app = web.Application()
    app.router.add_get(names.READY_PATH, report)
    return app


def build_metrics_app(dispatcher: Dispatcher) -> web.Application:
    """Returns the application of the metrics address."""

    async def report(request: web.Request) -> web.Response:
        if dispatcher.has_configuration:
            dispatcher.report_levels()
        return web.Response(body=dispatcher.measures.render(), content_type="text/plain")

    app = web.Application()
    app.router.add_get(names.METRICS_PATH, report)
    return app


def build_lookup_app(gateway: Gateway, ttl_s: float) -> web.Application:
    """Returns the application that names entry VMs.

    Args:
        gateway: Knows the entry VMs.
        ttl_s: Lifetime of an answer.
    """

    async def look_up(request: web.Request) -> web.Response:
        zone = request.query.get("zone", gateway.view.place.zone)
        region = request.query.get("region", gateway.view.place.region)
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
