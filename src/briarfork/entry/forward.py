"""One attempt to send a request to a backend server and to pass its answer to the caller."""

from __future__ import annotations

import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from briarfork.entry.delivery import ProgressTimer
from briarfork.errors import OutcomeUnknown
from briarfork.pools import Release
from briarfork.requests import Attempt
from briarfork.requests import AttemptResult
from briarfork.requests import SendForbidden

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from aiohttp import web
    from multidict import CIMultiDictProxy

    from briarfork.border.settings import Settings
    from briarfork.entry.connections import ServerConnections
    from briarfork.entry.delivery import Call
    from briarfork.entry.delivery import Delivery
    from briarfork.entry.overflow import Permit

DEADLINE_HEADER = "Briarfork-Deadline-Ms"
OUTCOME_HEADER = "Briarfork-Outcome"
SERVER_HEADER = "Briarfork-Server"
GENERATION_HEADER = "Briarfork-Generation"
STATE_HEADER = "Backend-State"
# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
REQUEST_HEADERS = HOP_HEADERS | {"content-length", "expect", DEADLINE_HEADER.lower()}
# The caller's own conditions are settled by the answer that a resumed one continues.
CONDITION_HEADERS = frozenset(
    {"if-match", "if-modified-since", "if-none-match", "if-range", "if-unmodified-since", "range"}
)
# Answers that have no body whatever their headers say (RFC 9112, section 6.3).
EMPTY_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class AttemptFailed(Exception):
    """An attempt that brought no whole answer.

    Attributes:
        result: How far it came.
        release: What the owner of the slot is told.
    """

    def __init__(self, result: AttemptResult, release: Release, detail: str) -> None:
        super().__init__(detail)
        self.result = result
        self.release = release

    @property
    def caller_has_part(self) -> bool:
        """Whether the caller got the beginning of an answer."""
        return self.result is AttemptResult.ANSWER_STARTED


class EndUnknown(aiohttp.ClientPayloadError):
    """An answer whose end cannot be told from a lost connection."""


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A complete answer that was held back."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptGuard:
    """Tells an attempt that the client library is about to write its request."""

    attempt: Attempt

    def check_send(self) -> None:
        """Raises SendForbidden if the request must not be written now."""
        self.attempt.mark_sent(time.monotonic())


class Forwarder:
    """Sends requests to backend servers."""

    def __init__(self, settings: Settings, connections: ServerConnections) -> None:
        self._settings = settings
        self._connections = connections

    async def attempt(
        self, delivery: Delivery, permit: Permit, on_answer: Callable[[], None] | None = None
    ) -> web.StreamResponse | KeptAnswer:
        """Sends a request under a permit and passes the answer on as it arrives.

        Args:
            delivery: The call, and what its caller has of the answer.
            permit: Names the server.
            on_answer: Called when the server has begun to answer, before the caller gets a part.

        Raises:
            AttemptFailed: If the caller did not get a whole answer.
        """
        call = delivery.call
        attempt = Attempt(call.deadline)
        timer = ProgressTimer(call.deadline, self._settings.timeouts.progress_s)
        try:
            with self._connections.use(permit.server, cautious=not call.idempotent) as session:
                async with timer:
                    answered = on_answer or _ignore_answer
                    return await self._exchange(session, delivery, permit, attempt, timer, answered)
        except (aiohttp.ClientError, TimeoutError, OSError, SendForbidden) as error:
            release = Release.FAILED
            if timer.blames_caller or isinstance(error, SendForbidden):
                release = Release.UNUSED
            elif isinstance(error, TimeoutError) and attempt.result is not AttemptResult.NOT_SENT:
                # Connections become unresponsive for good while new ones work.
                self._connections.give_up(permit.server)
                release = Release.UNUSED
            detail = str(error) or type(error).__name__
            raise AttemptFailed(attempt.result, release, detail) from error

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        delivery: Delivery,
        permit: Permit,
        attempt: Attempt,
        timer: ProgressTimer,
        on_answer: Callable[[], None],
    ) -> web.StreamResponse | KeptAnswer:
        call, server = delivery.call, permit.server
        async with session.request(
            call.request.method,
            URL(f"http://{server.address}:{server.port}{call.path}", encoded=True),
            headers=_build_request_headers(delivery),
            data=_stream_body(call, timer) if call.body is None else call.body or None,
            allow_redirects=False,
            trace_request_ctx=AttemptGuard(attempt),
        ) as answer:
            if _is_refusal(answer):
                attempt.mark_refused()
                draining = answer.headers.get(STATE_HEADER) == "draining"
                release = Release.DRAINING if draining else Release.NOT_RUN
                raise AttemptFailed(attempt.result, release, "the server refused the request")
            _check_end(call, answer)
            on_answer()
            headers = _build_answer_headers(answer.headers)
            headers[SERVER_HEADER] = server.vm
            headers[GENERATION_HEADER] = str(call.generation)
            if call.keep_answer:
                return await self._keep(answer, headers, timer)
            if not delivery.accepts(answer):
                raise EndUnknown("the server has no answer that continues the one of the caller")
            attempt.mark_response_started()
            return await delivery.pass_on(answer, headers, timer)

    async def _keep(
        self, answer: aiohttp.ClientResponse, headers: CIMultiDict[str], timer: ProgressTimer
    ) -> KeptAnswer:
        limit = self._settings.limits.keyed_body_bytes
        parts: list[bytes] = []
        size = 0
        while True:
            timer.touch()
            chunk = await answer.content.readany()
            if not chunk:
                return KeptAnswer(answer.status, headers, b"".join(parts))
            parts.append(chunk)
            size += len(chunk)
            if size > limit:
                raise OutcomeUnknown(
                    f"the request ran with status {answer.status}; its answer is over {limit} bytes"
                )


def _ignore_answer() -> None:
    """Takes the place of a callback for attempts that compete with no other."""


async def _stream_body(call: Call, timer: ProgressTimer) -> AsyncIterator[bytes]:
    while True:
        timer.blames_caller = True
        chunk = await call.request.content.readany()
        timer.blames_caller = False
        if not chunk:
            return
        timer.touch()
        yield chunk


def _is_refusal(answer: aiohttp.ClientResponse) -> bool:
    refused = answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    return refused and answer.headers.get(OUTCOME_HEADER) == "not-run"


def _check_end(call: Call, answer: aiohttp.ClientResponse) -> None:
    """Checks that a lost connection cannot look like the end of the answer.

    Raises:
        EndUnknown: If the body ends by closing the connection, or is no answer at all.
    """
    if answer.status < HTTPStatus.OK:
        raise EndUnknown(f"the server sent status {answer.status}")
    if call.request.method == "HEAD" or answer.status in EMPTY_STATUSES:
        return
    codings = answer.headers.get("Transfer-Encoding", "").lower()
    if not codings.endswith("chunked") and (codings or "Content-Length" not in answer.headers):
        raise EndUnknown("the answer states neither its length nor chunks")


def _build_request_headers(delivery: Delivery) -> CIMultiDict[str]:
    call = delivery.call
    dropped = REQUEST_HEADERS | CONDITION_HEADERS if delivery.started else REQUEST_HEADERS
    headers = CIMultiDict(
        (name, value) for name, value in call.request.headers.items() if name.lower() not in dropped
    )
    headers.update(delivery.build_range_headers())
    if call.body is None and call.request.content_length is not None:
        headers["Content-Length"] = str(call.request.content_length)
    headers[DEADLINE_HEADER] = str(call.deadline.remaining_ms(time.monotonic()))
    return headers


def _build_answer_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in HOP_HEADERS
    )
