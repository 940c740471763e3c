"""Chooses the site of a request and acquires a permit there."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briarfork.configuration import Service
    from briarfork.entry.delivery import Call
    from briarfork.entry.permits import Permit
    from briarfork.entry.permits import PermitClient
    from briarfork.entry.view import EntryView

UNKNOWN_CLIENT = "0.0.0.0"


class Router:
    """Decides where a request goes."""

    def __init__(self, view: EntryView, permits: PermitClient) -> None:
        self._view = view
        self._permits = permits

    async def acquire(self, call: Call, service: Service, avoid: frozenset[str]) -> Permit:
        """Returns a permit for one attempt.

        Args:
            call: The request.
            service: Its service.
            avoid: Backend servers that earlier attempts of the request have used.

        Raises:
            NotRun: If no site can take the request.
        """
        steering = self._view.require_steering()
        client = call.request.remote or UNKNOWN_CLIENT
        site = steering.assign_request(service.name, client, time.time(), time.monotonic())
        request_class = service.find_route(call.path).request_class
        limit = call.deadline.leave_half(time.monotonic())
        return await self._permits.acquire(service.name, site, request_class, limit, avoid)
