"""The HTTP form of the administration API; docs/openapi.yaml describes it."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from aiohttp import web

from briarfork.admin.queries import find_shares
from briarfork.admin.queries import list_page
from briarfork.admin.queries import read_filter
from briarfork.admin.queries import read_number
from briarfork.admin.queries import read_time
from briarfork.admin.teams import Team
from briarfork.admin.teams import TeamLimiter
from briarfork.border.documents import ApprovalModel
from briarfork.border.documents import ChangeRequestModel
from briarfork.border.documents import WithdrawalModel
from briarfork.border.documents import check_model
from briarfork.border.events import Event
from briarfork.errors import ANSWERS
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler

    from briarfork.admin.changes import ChangeDesk
    from briarfork.border.events import EventLog

MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_PAGE = 100
MAX_PAGE = 1000
TEAM = web.RequestKey("team", Team)
# Errors that the HTTP library raises by itself.
LIBRARY_ERRORS: dict[int, ErrorKind] = {
    HTTPStatus.BAD_REQUEST: ErrorKind.BAD_REQUEST,
    HTTPStatus.NOT_FOUND: ErrorKind.UNKNOWN_PATH,
    HTTPStatus.METHOD_NOT_ALLOWED: ErrorKind.UNKNOWN_PATH,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: ErrorKind.HEADER_TOO_LARGE,
}


class AdminFront:
    """Handlers of the administration API."""

    def __init__(self, desk: ChangeDesk, events: EventLog) -> None:
        self._desk = desk
        self._events = events
        self._limiter = TeamLimiter()

    async def submit(self, request: web.Request) -> web.Response:
        """Takes a change."""
        body = check_model(ChangeRequestModel, await _read_json(request), "body")
        submitted = await self._desk.submit(body, request[TEAM], _is_dry_run(request))
        if submitted.generation is None:
            return web.json_response({"draft": submitted.draft}, status=202)
        return _answer_generation(request, submitted.generation)

    async def approve(self, request: web.Request) -> web.Response:
        """Approves a draft."""
        body = check_model(ApprovalModel, await _read_json(request), "body")
        generation = await self._desk.approve(
            request.match_info["draft"], body.approver, request[TEAM], _is_dry_run(request)
        )
        return _answer_generation(request, generation)

    async def list_drafts(self, request: web.Request) -> web.Response:
        """Lists drafts."""
        after = request.query.get("after", "")
        limit = read_number(request.query, "limit", DEFAULT_PAGE, MAX_PAGE)
        drafts = [draft for draft in await self._desk.list_drafts() if draft.change_id > after]
        more = len(drafts) > limit
        page = msgspec.to_builtins(drafts[:limit])
        return web.json_response({"drafts": page, "next": page[-1]["change_id"] if more else None})

    async def withdraw(self, request: web.Request) -> web.Response:
        """Withdraws a scheduled change."""
        body = check_model(WithdrawalModel, await _read_json(request), "body")
        generation = int(request.match_info["generation"])
        withdrawal = await self._desk.withdraw(
            generation, body, request[TEAM], _is_dry_run(request)
        )
        return _answer_generation(request, withdrawal)

    async def list_changes(self, request: web.Request) -> web.Response:
        """Lists accepted changes with their audit records."""
        query = request.query
        after = read_number(query, "after", 0)
        limit = read_number(query, "limit", DEFAULT_PAGE, MAX_PAGE)
        return web.json_response(await list_page(self._desk, after, limit, read_filter(query)))

    async def show_documents(self, request: web.Request) -> web.Response:
        """Shows the documents in force at a time."""
        timeline = await self._desk.read_timeline()
        at = read_time(request.query, "at", time.time())
        body = {
            "documents": timeline.find_documents(at).by_name,
            "shares": find_shares(timeline, at),
            "generation": timeline.generation,
            "at": at,
        }
        return web.json_response(body)

    async def show_status(self, request: web.Request) -> web.Response:
        """Shows the generation and what is scheduled."""
        timeline = await self._desk.read_timeline()
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
    async def answer_errors(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Turns errors into answers by the table."""
        try:
            return await handler(request)
        except BriarforkError as error:
            return self._answer(request, error)
        except web.HTTPException as error:
            kind = LIBRARY_ERRORS.get(error.status, ErrorKind.BAD_REQUEST)
            return self._answer(request, BriarforkError(kind, f"{request.path}: {error.reason}"))
        except Exception as error:
            self._events.record(Event.TASK_FAILED, path=request.path, error=repr(error))
            return self._answer(request, BriarforkError(ErrorKind.INTERNAL, "see the log"))

    @web.middleware
    async def check_team(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Finds the team of the caller and keeps it within its limits."""
        team = await self._desk.find_team(request.headers.get("Authorization"))
        request[TEAM] = team
        changes = request.method == "POST"
        self._limiter.admit(team, changes, time.monotonic())
        if not changes:
            return await handler(request)
        async with self._limiter.take_turn(team):
            return await handler(request)

    def _answer(self, request: web.Request, error: BriarforkError) -> web.Response:
        self._events.record(
            Event.CHANGE_REFUSED, path=request.path, kind=error.kind.value, detail=error.detail
        )
        answer = ANSWERS[error.kind]
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


def build_app(desk: ChangeDesk, events: EventLog) -> web.Application:
    """Returns the HTTP application of the administration API."""
    front = AdminFront(desk, events)
    app = web.Application(
        middlewares=[front.answer_errors, front.check_team], client_max_size=MAX_BODY_BYTES
    )
    app.router.add_post("/v1/changes", front.submit)
    app.router.add_get("/v1/changes", front.list_changes)
    app.router.add_post("/v1/changes/{generation:[0-9]+}/withdraw", front.withdraw)
    app.router.add_get("/v1/drafts", front.list_drafts)
    app.router.add_post("/v1/drafts/{draft}/approve", front.approve)
    app.router.add_get("/v1/documents", front.show_documents)
    app.router.add_get("/v1/status", front.show_status)
    return app


async def _read_json(request: web.Request) -> Any:
    try:
        return await request.json()
    except ValueError as error:
        raise BriarforkError(ErrorKind.BAD_REQUEST, f"body: expected JSON: {error}") from error


def _is_dry_run(request: web.Request) -> bool:
    return request.query.get("dry_run") == "1"


def _answer_generation(request: web.Request, generation: int) -> web.Response:
    status = HTTPStatus.OK if _is_dry_run(request) else HTTPStatus.CREATED
    return web.json_response({"generation": generation}, status=status)
