"""Base class of the HTTP server connections, with error handling."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp.http_exceptions import LineTooLong

from briarfork.border.error_place import find_place
from briarfork.border.events import Event
from briarfork.border.graceful_server import GracefulConnection
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun

if TYPE_CHECKING:
    from aiohttp import web

    from briarfork.border.events import EventLog


class HttpConnectionHandler(GracefulConnection):
    """Server side of one client connection; answers malformed requests with briarfork errors."""

    __slots__ = ()

    @property
    def events(self) -> EventLog:
        """Event log for unexpected exceptions."""
        raise NotImplementedError

    def build_error_response(self, request: web.BaseRequest, error: BriarforkError) -> web.Response:
        """Returns the response to an error."""
        raise NotImplementedError

    def identify(self, request: web.BaseRequest) -> dict[str, str]:
        """Returns the log fields by which a request can be found, empty if it has no id."""
        return {}

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to an error outside the application and closes the connection."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started") from exc
        error: BriarforkError
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.events.record(
                Event.TASK_FAILED,
                error=repr(exc),
                path=request.path,
                place=find_place(exc),
                **self.identify(request),
            )
            error = BriarforkError(ErrorKind.INTERNAL, "the entry process failed")
        elif isinstance(exc, LineTooLong):
            error = NotRun(ErrorKind.HEADER_TOO_LARGE, "headers: line is too long")
        else:
            error = NotRun(ErrorKind.BAD_REQUEST, "malformed HTTP request")
        response = self.build_error_response(request, error)
        response.force_close()
        return response
