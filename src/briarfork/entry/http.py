"""HTTP interface for callers: routes and error responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.border.events import Event
from briarfork.border.http_server import HttpConnectionHandler
from briarfork.border.metrics import Metric
from briarfork.entry.proxy import Proxy
from briarfork.errors import ERROR_RESPONSES
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler

    from briarfork.border.events import EventLog
    from briarfork.entry.process import EntryProcess

ERROR_HEADER = "Briarfork-Error"
OUTCOME_HEADER = "Briarfork-Outcome"


def build_app(process: EntryProcess) -> web.Application:
    """Returns the HTTP application of an entry process."""
    proxy = Proxy(process)
    handlers = CallerHandlers(process)
    app = web.Application(middlewares=[handlers.handle_errors])
    app.router.add_get("/lookup", handlers.look_up)
    app.router.add_get("/healthz", handlers.report_health)
    app.router.add_route("*", "/services/{service}/{path:.*}", proxy.handle)
    return app


class CallerHandlers:
    """Handlers of lookups, health checks and errors."""

    def __init__(self, process: EntryProcess) -> None:
        self._process = process

    async def look_up(self, request: web.Request) -> web.Response:
        """Returns the entry VMs for a client of a service, in order of preference.

        Raises:
            NotRun: If the service is unknown or the client is not an address.
        """
        self._process.metrics.count(Metric.LOOKUPS)
        service = request.query.get("service")
        if not service:
            raise NotRun(ErrorKind.BAD_REQUEST, "service: expected a query parameter")
        view = self._process.view
        steering = view.require_steering()
        client = request.query.get("client") or request.remote or ""
        site = self._process.router.find_lookup_site(service, client)
        return web.json_response(
            {
                "service": service,
                "generation": view.timeline.generation,
                "ttl_s": steering.plan.lookup_ttl_s,
                "entries": [
                    {
                        "vm": entry.vm,
                        "address": entry.address,
                        "port": entry.port,
                        "zone": entry.zone,
                    }
                    for entry in view.order_entries(site, client)
                ],
            }
        )

    async def report_health(self, request: web.Request) -> web.Response:
        """Returns whether this VM accepts new callers."""
        if self._process.leaving:
            return web.Response(status=503, text="leaving\n")
        return web.Response(text="serving\n")

    @web.middleware
    async def handle_errors(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Converts errors to error responses."""
        try:
            self._check_headers(request)
            response = await handler(request)
        except BriarforkError as error:
            response = build_error_response(self._process, request, error)
        except web.HTTPNotFound:
            unknown_path = NotRun(ErrorKind.UNKNOWN_PATH, f"{request.path}: no such path")
            response = build_error_response(self._process, request, unknown_path)
        except web.HTTPException as rejection:
            bad_request = NotRun(ErrorKind.BAD_REQUEST, f"{request.path}: {rejection.reason}")
            response = build_error_response(self._process, request, bad_request)
        except ConnectionError:
            # The caller has disconnected; aiohttp closes the connection.
            raise
        except Exception as error:
            self._process.events.record(Event.TASK_FAILED, error=repr(error), path=request.path)
            internal_error = BriarforkError(ErrorKind.INTERNAL, "the entry process failed")
            response = build_error_response(self._process, request, internal_error)
        return response

    def _check_headers(self, request: web.Request) -> None:
        size = sum(len(name) + len(value) for name, value in request.raw_headers)
        limit = self._process.settings.limits.header_bytes
        if size > limit:
            raise NotRun(
                ErrorKind.HEADER_TOO_LARGE, f"headers: expected at most {limit} bytes, found {size}"
            )


class CallerConnection(HttpConnectionHandler):
    """A caller's connection to an entry process."""

    __slots__ = ("_process",)

    def __init__(self, process: EntryProcess, manager: web.Server) -> None:
        limit = process.settings.limits.header_bytes
        super().__init__(
            manager,
            auto_decompress=False,
            max_line_size=limit,
            max_field_size=limit,
        )
        self._process = process

    @property
    def is_stopping(self) -> bool:
        """Whether this VM stops, so that responses tell callers to use another one."""
        return self._process.leaving or super().is_stopping

    @property
    def events(self) -> EventLog:
        """Log of internal errors."""
        return self._process.events

    def build_error_response(self, request: web.BaseRequest, error: BriarforkError) -> web.Response:
        """Returns the response to an error."""
        return build_error_response(self._process, request, error)


def build_error_response(
    process: EntryProcess, request: web.BaseRequest, error: BriarforkError
) -> web.Response:
    """Returns the response to an error, with status and outcome from the table of errors."""
    properties = ERROR_RESPONSES[error.kind]
    process.metrics.count(Metric.ERRORS, error.kind.value)
    process.events.record(
        Event.REQUEST_FAILED, kind=error.kind.value, path=request.path, detail=error.detail
    )
    body = {
        "error": error.kind.value,
        "detail": error.detail,
        "outcome": properties.outcome.value,
        "retryable": properties.retryable,
    }
    headers = {ERROR_HEADER: error.kind.value, OUTCOME_HEADER: properties.outcome.value}
    return web.json_response(body, status=properties.status, headers=headers)
