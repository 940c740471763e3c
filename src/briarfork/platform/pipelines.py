"""Decides which pipelined requests of callers run ahead of their turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.pipelining import AheadEvent
from briarfork.platform import names
from briarfork.platform.delivery import CallerResponse
from briarfork.requests import AheadBudget

if TYPE_CHECKING:
    from aiohttp import web
    from aiohttp.http import RawRequestMessage

    from briarfork.gateway.dispatch import Dispatcher
    from briarfork.gateway.process import Gateway

LOGGED_EVENTS = {
    AheadEvent.DROPPED: Event.REQUEST_AHEAD_DROPPED,
    AheadEvent.CANCELLED: Event.REQUEST_AHEAD_CANCELLED,
}


class CallerPipelines:
    """The pipelined requests of all callers of a gateway."""

    def __init__(self, gateway: Gateway, dispatcher: Dispatcher) -> None:
        self._gateway = gateway
        self._dispatcher = dispatcher
        self.budget = AheadBudget(
            gateway.settings.limits.response_memory_bytes,
            lambda: dispatcher.held_response_bytes,
        )

    def may_run_ahead(self, message: RawRequestMessage) -> bool:
        """Returns whether the route of a request without a body lets it run more than once."""
        if not self._gateway.view.has_route_table:
            return False
        table = self._gateway.view.require_route_table()
        host = read_host(message.headers.get("Host", ""))
        route = table.find(host, message.path.partition("?")[0])
        return route is not None and route.kind.is_idempotent

    def measure(self, response: web.StreamResponse) -> int:
        """Returns the length of the body that a response holds."""
        if isinstance(response, CallerResponse):
            return response.held_bytes
        return response.content_length or 0

    def discard(self, response: web.StreamResponse) -> None:
        """Frees the memory of a response that is not written."""
        if isinstance(response, CallerResponse):
            response.drop_body()

    def record(self, request: web.BaseRequest, event: AheadEvent) -> None:
        """Counts what happens to a request that runs ahead, and logs how its run was ended."""
        self._dispatcher.metrics.count_request_ahead(event.value)
        if event in LOGGED_EVENTS:
            self._gateway.events.record(
                LOGGED_EVENTS[event],
                request=request.headers.get(names.ATTEMPT_ID, ""),
                path=request.path,
                ahead=self.budget.requests,
                held_bytes=self._dispatcher.held_response_bytes,
            )


def read_host(header: str) -> str:
    """Returns the host name in a Host header, without a port."""
    return header.rpartition(":")[0] or header
