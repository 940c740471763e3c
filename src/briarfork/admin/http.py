"""The HTTP form of the administration API."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from aiohttp import web

from briarfork.border.documents import ApprovalModel
from briarfork.border.documents import ChangeRequestModel
from briarfork.border.documents import WithdrawalModel
from briarfork.border.documents import check_model
from briarfork.border.events import Event
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler

    from briarfork.admin.changes import ChangeDesk
    from briarfork.admin.changes import Submitted
    from briarfork.border.events import EventLog

MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_PAGE = 100
MAX_PAGE = 1000
NO_TEAM = "-"


class AdminFront:
    """Handlers of the administration API."""

    def __init__(self, desk: ChangeDesk, events: EventLog) -> None:
        self._desk = desk
        self._events = events

    async def submit(self, request: web.Request) -> web.Response:
        """Takes a change."""
        body = check_model(ChangeRequestModel, await _read_json(request), "body")
        dry_run = request.query.get("dry_run") == "1"
        submitted = await self._desk.submit(body, NO_TEAM, dry_run)
        return _answer_submitted(submitted)

    async def approve(self, request: web.Request) -> web.Response:
        """Approves a draft."""
        body = check_model(ApprovalModel, await _read_json(request), "body")
        generation = await self._desk.approve(request.match_info["draft"], body.approver)
        return web.json_response({"generation": generation}, status=201)

    async def list_drafts(self, request: web.Request) -> web.Response:
        """Lists drafts."""
        drafts = await self._desk.list_drafts()
        return web.json_response({"drafts": msgspec.to_builtins(drafts)})

    async def withdraw(self, request: web.Request) -> web.Response:
        """Withdraws a scheduled change."""
        body = check_model(WithdrawalModel, await _read_json(request), "body")
        generation = int(request.match_info["generation"])
        withdrawal = await self._desk.withdraw(generation, body, NO_TEAM)
        return web.json_response({"generation": withdrawal}, status=201)

    async def list_changes(self, request: web.Request) -> web.Response:
        """Lists accepted changes with their audit records."""
        timeline = await self._desk.read_timeline()
        after = _read_number(request, "after", 0)
        limit = min(MAX_PAGE, _read_number(request, "limit", DEFAULT_PAGE))
        changes = await self._desk.list_changes(after, limit)
        withdrawn = timeline.list_withdrawn() | {change.withdraws for change in changes}
        records = [
            {
                **change.to_record(),
                "hash": change.compute_hash(),
                "withdrawn": change.generation in withdrawn,
            }
            for change in changes
        ]
        return web.json_response({"changes": records, "generation": timeline.generation})

    async def show_documents(self, request: web.Request) -> web.Response:
        """Shows the documents in force at a time."""
        timeline = await self._desk.read_timeline()
        at = float(request.query.get("at", time.time()))
        documents = timeline.find_documents(at)
        return web.json_response(
            {"documents": documents.by_name, "generation": timeline.generation, "at": at}
        )

    async def show_status(self, request: web.Request) -> web.Response:
        """Shows the generation and what is scheduled."""
        timeline = await self._desk.read_timeline()
        scheduled = [
            {
                "generation": change.generation,
                "change_id": change.change_id,
                "start_at": change.start_at,
                "author": change.author,
            }
            for change in timeline.list_scheduled(time.time())
        ]
        return web.json_response({"generation": timeline.generation, "scheduled": scheduled})

    @web.middleware
    async def answer_errors(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Turns errors into answers by the table."""
        try:
            return await handler(request)
        except BriarforkError as error:
            self._events.record(
                Event.CHANGE_REFUSED, path=request.path, kind=error.kind.value, detail=error.detail
            )
            answer = error.answer
            body: dict[str, Any] = {
                "error": error.kind.value,
                "detail": error.detail,
                "retryable": answer.retryable,
                "outcome": answer.outcome.value,
            }
            faults = getattr(error, "faults", None)
            if faults:
                body["faults"] = faults
            return web.json_response(body, status=answer.status)


def build_app(desk: ChangeDesk, events: EventLog) -> web.Application:
    """Returns the HTTP application of the administration API."""
    front = AdminFront(desk, events)
    app = web.Application(middlewares=[front.answer_errors], client_max_size=MAX_BODY_BYTES)
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


def _read_number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdigit():
        raise BriarforkError(ErrorKind.BAD_REQUEST, f"{name}: expected a number, found {text!r}")
    return int(text)


def _answer_submitted(submitted: Submitted) -> web.Response:
    if submitted.generation is not None:
        return web.json_response({"generation": submitted.generation}, status=201)
    return web.json_response({"draft": submitted.draft}, status=202)
