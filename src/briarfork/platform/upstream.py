"""HTTP towards backend servers: one attempt, and what its answer proves."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from briarfork.entry.connections import ServerResponse
from briarfork.entry.forward import HOP_BY_HOP_HEADERS
from briarfork.entry.forward import AttemptGuard
from briarfork.gateway.attempts import AttemptEnded
from briarfork.gateway.request import Reply
from briarfork.platform import names
from briarfork.pools import Release
from briarfork.requests import Attempt
from briarfork.requests import AttemptResult
from briarfork.requests import Deadline
from briarfork.requests import SendForbidden

if TYPE_CHECKING:
    from briarfork.entry.connections import ServerConnections
    from briarfork.gateway.request import Request
    from briarfork.pools import ServerAddress

# The server itself answers at its deadline; this is left for the answer's way.
ANSWER_MARGIN_S = 0.1
# Fields of the load report; a fourth one is the slowness of the machine.
RUNNING_WAITING_SLOTS = 3
PERCENT = 100.0
# To a caller these say that the request has not run.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server says of its load.

    Attributes:
        busy: Share of its slots in use, 0 if unknown.
        waiting: Requests that wait there.
        slowness: How much longer work takes than usual, 0 if unknown.
    """

    busy: float = 0.0
    waiting: int = 0
    slowness: float = 0.0


class HttpUpstream:
    """Sends requests to backend servers and checks that answers are theirs and whole."""

    def __init__(self, connections: ServerConnections) -> None:
        self._connections = connections

    async def send(
        self, request: Request, server: ServerAddress, deadline: Deadline, repeatable: bool
    ) -> Reply:
        """Sends a request and returns the whole answer.

        Raises:
            AttemptEnded: If there is none.
        """
        attempt = Attempt(deadline)
        now = time.monotonic()
        limit_s = min(deadline.remaining_s(now) + ANSWER_MARGIN_S, request.answer_by - now)
        try:
            with self._connections.borrow_session(server, avoid_stale=not repeatable) as session:
                async with asyncio.timeout(limit_s):
                    return await self._exchange(session, request, server, deadline, attempt)
        except (aiohttp.ClientError, TimeoutError, OSError, SendForbidden, ValueError) as error:
            if isinstance(error, TimeoutError) and attempt.result is not AttemptResult.NOT_SENT:
                # Connections become unresponsive for good while new ones work.
                self._connections.retire_connections(server)
            release = Release.UNUSED if isinstance(error, SendForbidden) else Release.FAILED
            raise AttemptEnded(
                attempt.result, release, f"{type(error).__name__}: {error}"
            ) from error

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        request: Request,
        server: ServerAddress,
        deadline: Deadline,
        attempt: Attempt,
    ) -> Reply:
        async with session.request(
            request.method,
            URL(f"http://{server.address}:{server.port}{request.target}", encoded=True),
            headers=_build_headers(request, server, deadline),
            data=request.body or None,
            allow_redirects=False,
            trace_request_ctx=AttemptGuard(attempt),
        ) as answer:
            body = await answer.read()
            load = _read_load(answer)
            if _is_refusal(answer):
                attempt.mark_refused()
                raise AttemptEnded(
                    attempt.result, Release.NOT_RUN, f"refused with {answer.status}", load.slowness
                )
            fault = _find_fault(request, answer)
            if fault is None and _was_cut(answer):
                fault = "the connection was reset before the end of the answer"
            if fault is not None:
                answer.close()
                raise AttemptEnded(attempt.result, Release.FAILED, fault, load.slowness)
            return Reply(
                answer.status, _list_headers(answer), body, load.slowness, load.waiting, load.busy
            )


def _build_headers(
    request: Request, server: ServerAddress, deadline: Deadline
) -> list[tuple[str, str]]:
    remaining_ms = deadline.remaining_ms(time.monotonic())
    headers = [
        *request.headers,
        (names.ATTEMPT_ID, request.request_id),
        (names.DEADLINE_MS, str(max(1, remaining_ms))),
        (names.EXPECTED_INSTANCE, server.vm),
    ]
    if not request.body and request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        headers.append(("Content-Length", "0"))
    return headers


def _is_refusal(answer: aiohttp.ClientResponse) -> bool:
    """Returns whether the server states that the request did not run.

    Another server that has the address now answers 421.
    """
    return names.NOT_RUN in answer.headers or answer.status == HTTPStatus.MISDIRECTED_REQUEST


def _find_fault(request: Request, answer: aiohttp.ClientResponse) -> str | None:
    """Returns why an answer is not a whole answer to this request, or None."""
    echoed = answer.headers.get(names.ATTEMPT_ID)
    if echoed != request.request_id:
        return f"the answer belongs to request {echoed}"
    if "Content-Encoding" in answer.headers:
        return "the body is encoded, although no encoding was asked for"
    if answer.status < HTTPStatus.OK:
        return f"status {answer.status} ends no request"
    if answer.status in NOT_RUN_STATUSES:
        return f"status {answer.status} from a server that may have run the request"
    if names.SEAL not in answer.headers:
        return f"status {answer.status} without a seal"
    return None


def _was_cut(answer: aiohttp.ClientResponse) -> bool:
    """Returns whether a body without a length ended by a reset, not by an orderly close."""
    if "Content-Length" in answer.headers or "Transfer-Encoding" in answer.headers:
        return False
    return not isinstance(answer, ServerResponse) or answer.was_reset


def _list_headers(answer: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    dropped = HOP_BY_HOP_HEADERS | {"content-length", names.LOAD.lower()}
    return tuple(
        (name, value) for name, value in answer.headers.items() if name.lower() not in dropped
    )


def _read_load(answer: aiohttp.ClientResponse) -> LoadReport:
    """Returns the load report of an answer; what it lacks counts as unknown."""
    parts = answer.headers.get(names.LOAD, "").split(",")
    try:
        numbers = [int(part) for part in parts]
    except ValueError:
        return LoadReport()
    if len(numbers) < RUNNING_WAITING_SLOTS or numbers[2] <= 0:
        return LoadReport()
    slowness = numbers[3] / PERCENT if len(numbers) > RUNNING_WAITING_SLOTS else 0.0
    return LoadReport(numbers[0] / numbers[2], numbers[1], slowness)
