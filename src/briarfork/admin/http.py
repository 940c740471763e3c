"""HTTP handlers of the administration API, described in docs/openapi.yaml."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from aiohttp import web

from briarfork.admin.queries import find_shares
from briarfork.admin.queries import list_page
from briarfork.admin.queries import parse_filter
from briarfork.admin.queries import parse_number
from briarfork.admin.queries import parse_time
from briarfork.admin.teams import Team
from briarfork.admin.teams import TeamRateLimiter
from briarfork.border.documents import ApprovalModel
from briarfork.border.documents import ChangeRequestModel
from briarfork.border.documents import WithdrawalModel
from briarfork.border.documents import check_model
from briarfork.border.events import Event
from briarfork.errors import ERROR_RESPONSES
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler

    from briarfork.admin.changes import ChangeManager
    from briarfork.border.events import EventLog

MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1000
TEAM_KEY = web.RequestKey("team", Team)
# Error kinds for HTTP errors raised by aiohttp.
HTTP_ERROR_KINDS: dict[int, ErrorKind] = {
    HTTPStatus.BAD_REQUEST: ErrorKind.BAD_REQUEST,
    HTTPStatus.NOT_FOUND: ErrorKind.UNKNOWN_PATH,
    HTTPStatus.METHOD_NOT_ALLOWED: ErrorKind.UNKNOWN_PATH,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: ErrorKind.HEADER_TOO_LARGE,
}


class AdminHandlers:
    """Request handlers and middlewares of the administration API."""

    def __init__(self, manager: ChangeManager, events: EventLog) -> None:
        self._manager = manager
        self._events = events
        self._rate_limiter = TeamRateLimiter()

    async def submit(self, request: web.Request) -> web.Response:
        """Submits a change."""
        body = check_model(ChangeRequestModel, await _read_json(request), "body")
        result = await self._manager.submit(body, request[TEAM_KEY], _is_dry_run(request))
        if result.generation is None:
            return web.json_response({"draft": result.draft}, status=202)
        return _build_generation_response(request, result.generation)

    async def approve(self, request: web.Request) -> web.Response:
        """Approves a draft."""
        body = check_model(ApprovalModel, await _read_json(request), "body")
        generation = await self._manager.approve(
            request.match_info["draft"], body.approver, request[TEAM_KEY], _is_dry_run(request)
        )
        return _build_generation_response(request, generation)

    async def list_drafts(self, request: web.Request) -> web.Response:
        """Lists drafts."""
        after = request.query.get("after", "")
        limit = parse_number(request.query, "limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        page = await self._manager.list_drafts(after, limit)
        drafts = msgspec.to_builtins(page.drafts)
        return web.json_response({"drafts": drafts, "next": page.next_after})

    async def withdraw(self, request: web.Request) -> web.Response:
        """Withdraws a scheduled change."""
        body = check_model(WithdrawalModel, await _read_json(request), "body")
        generation = int(request.match_info["generation"])
        withdrawal = await self._manager.withdraw(
            generation, body, request[TEAM_KEY], _is_dry_run(request)
        )
        return _build_generation_response(request, withdrawal)

    async def list_changes(self, request: web.Request) -> web.Response:
        """Lists accepted changes with their audit records."""
        query = request.query
        after = parse_number(query, "after", 0)
        limit = parse_number(query, "limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        return web.json_response(await list_page(self._manager, after, limit, parse_filter(query)))

    async def show_documents(self, request: web.Request) -> web.Response:
        """Returns the documents and traffic shares in force at a time."""
        timeline = await self._manager.read_timeline()
        at = parse_time(request.query, "at", time.time())
        body = {
            "documents": timeline.find_documents(at).by_name,
            "shares": find_shares(timeline, at),
            "generation": timeline.generation,
            "at": at,
        }
        return web.json_response(body)

    async def show_status(self, request: web.Request) -> web.Response:
        """Returns the latest generation and the scheduled changes."""
        timeline = await self._manager.read_timeline()
        scheduled = [
            {
                "generation": change.generation,
                "change_id": change.change_id,
                "start_at": change.start_at,
                "author": change.author,
                "team": change.team,
                "documents": sorted(change.edits),
            }
            for change in timeline.list_scheduled(time.time())
        ]
        return web.json_response(
            {
                "generation": timeline.generation,
                "hash": timeline.last_hash,
                "scheduled": scheduled,
            }
        )

    @web.middleware
    async def handle_errors(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Converts exceptions to responses by the error table."""
        try:
            return await handler(request)
        except BriarforkError as error:
            return self._build_error_response(request, error)
        except web.HTTPException as error:
            kind = HTTP_ERROR_KINDS.get(error.status, ErrorKind.BAD_REQUEST)
            return self._build_error_response(
                request, BriarforkError(kind, f"{request.path}: {error.reason}")
            )
        except Exception as error:
            self._events.record(Event.TASK_FAILED, path=request.path, error=repr(error))
            return self._build_error_response(
                request, BriarforkError(ErrorKind.INTERNAL, "see the log")
            )

    @web.middleware
    async def check_team(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Authenticates the client's team and enforces its rate limit."""
        team = await self._manager.find_team(request.headers.get("Authorization"))
        request[TEAM_KEY] = team
        is_change = request.method == "POST"
        self._rate_limiter.admit(team, is_change, time.monotonic())
        if not is_change:
            return await handler(request)
        async with self._rate_limiter.lock_team(team):
            return await handler(request)

    def _build_error_response(self, request: web.Request, error: BriarforkError) -> web.Response:
        self._events.record(
            Event.CHANGE_REFUSED, path=request.path, kind=error.kind.value, detail=error.detail
        )
        answer = ERROR_RESPONSES[error.kind]
        body: dict[str, Any] = {
            "error": error.kind.value,
            "detail": error.detail,
            "retryable": answer.retryable,
            "outcome": answer.outcome.value,
        }
        faults = getattr(error, "faults", None)
        if faults:
            body["faults"] = faults
        headers = {"Briarfork-Error": error.kind.value, "Briarfork-Outcome": answer.outcome.value}
        return web.json_response(body, status=answer.status, headers=headers)


def build_app(manager: ChangeManager, events: EventLog) -> web.Application:
    """Returns the HTTP application of the administration API."""
    handlers = AdminHandlers(manager, events)
    app = web.Application(
        middlewares=[handlers.handle_errors, handlers.check_team], client_max_size=MAX_BODY_BYTES
    )
    app.router.add_post("/v1/changes", handlers.submit)
    app.router.add_get("/v1/changes", handlers.list_changes)
    app.router.add_post("/v1/changes/{generation:[0-9]+}/withdraw", handlers.withdraw)
    app.router.add_get("/v1/drafts", handlers.list_drafts)
    app.router.add_post("/v1/drafts/{draft}/approve", handlers.approve)
    app.router.add_get("/v1/documents", handlers.show_documents)
    app.router.add_get("/v1/status", handlers.show_status)
    return app


async def _read_json(request: web.Request) -> Any:
    try:
        return await request.json()
    except (ValueError, RecursionError) as error:
        raise BriarforkError(ErrorKind.BAD_REQUEST, f"body: expected JSON: {error}") from error


def _is_dry_run(request: web.Request) -> bool:
    return request.query.get("dry_run") == "1"


def _build_generation_response(request: web.Request, generation: int) -> web.Response:
    status = HTTPStatus.OK if _is_dry_run(request) else HTTPStatus.CREATED
    return web.json_response({"generation": generation}, status=status)
