"""One attempt to send a request to a backend server and to pass its answer to the caller."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from briarfork.pools import Release
from briarfork.requests import AttemptResult

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from multidict import CIMultiDictProxy

    from briarfork.border.settings import Settings
    from briarfork.entry.overflow import Permit
    from briarfork.requests import Deadline

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


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request, ready to be sent.

    Attributes:
        request: The request as the caller sent it.
        path: Path and query at the backend server.
        body: The whole body, or None if it is streamed from the request.
        deadline: When the caller stops waiting.
        keep_answer: Whether the answer is held back until it is complete, to be stored.
    """

    request: web.Request
    path: str
    body: bytes | None
    deadline: Deadline
    generation: int
    keep_answer: bool = False

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent again."""
        return self.body is not None


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


@dataclass(slots=True)
class Progress:
    """How far an attempt has come; the deadline may end it anywhere."""

    answer_started: bool = False


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A complete answer that was held back."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class Forwarder:
    """Sends requests to backend servers."""

    def __init__(self, settings: Settings, session: aiohttp.ClientSession) -> None:
        self._settings = settings
        self._session = session

    async def attempt(
        self, call: Call, permit: Permit, on_answer: Callable[[], None] | None = None
    ) -> web.StreamResponse | KeptAnswer:
        """Sends a request under a permit and passes the answer on as it arrives.

        Args:
            call: The request.
            permit: Names the server.
            on_answer: Called when the server has begun to answer, before the caller gets a part.

        Raises:
            AttemptFailed: If the caller did not get a whole answer.
        """
        server = permit.server
        url = f"http://{server.address}:{server.port}{call.path}"
        remaining_s = call.deadline.remaining_s(time.monotonic())
        progress = Progress()
        try:
            async with asyncio.timeout(remaining_s):
                async with self._session.request(
                    call.request.method,
                    url,
                    headers=_build_request_headers(call),
                    data=call.request.content if call.body is None else call.body or None,
                    allow_redirects=False,
                ) as answer:
                    _raise_if_refused(answer)
                    if on_answer is not None:
                        on_answer()
                    return await self._pass_on(call, permit, answer, progress)
        except aiohttp.ClientConnectorError as error:
            raise AttemptFailed(AttemptResult.NOT_SENT, Release.FAILED, str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = str(error) or type(error).__name__
            result = AttemptResult.SENT_WITHOUT_ANSWER
            if progress.answer_started:
                # A closed connection in the middle of the body is the only sign that the caller
                # cannot take for the end of the answer.
                result = AttemptResult.ANSWER_STARTED
                if call.request.transport is not None:
                    call.request.transport.abort()
            raise AttemptFailed(result, Release.FAILED, detail) from error

    async def _pass_on(
        self,
        call: Call,
        permit: Permit,
        answer: aiohttp.ClientResponse,
        progress: Progress,
    ) -> web.StreamResponse | KeptAnswer:
        headers = _build_answer_headers(answer.headers)
        headers[SERVER_HEADER] = permit.server.vm
        headers[GENERATION_HEADER] = str(call.generation)
        if call.keep_answer:
            body = b"".join([chunk async for chunk in self._read(answer)])
            return KeptAnswer(answer.status, headers, body)
        response = web.StreamResponse(status=answer.status, headers=headers)
        progress.answer_started = True
        await response.prepare(call.request)
        async for chunk in self._read(answer):
            await response.write(chunk)
        await response.write_eof()
        return response

    async def _read(self, answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
        """Yields parts of the body; each part has the progress deadline."""
        while True:
            async with asyncio.timeout(self._settings.timeouts.progress_s):
                chunk = await answer.content.readany()
            if not chunk:
                return
            yield chunk


def _raise_if_refused(answer: aiohttp.ClientResponse) -> None:
    refused = answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    if refused and answer.headers.get(OUTCOME_HEADER) == "not-run":
        draining = answer.headers.get(STATE_HEADER) == "draining"
        release = Release.DRAINING if draining else Release.NOT_RUN
        raise AttemptFailed(AttemptResult.REFUSED, release, "the server refused the request")


def _build_request_headers(call: Call) -> CIMultiDict[str]:
    headers = CIMultiDict(
        (name, value)
        for name, value in call.request.headers.items()
        if name.lower() not in REQUEST_HEADERS
    )
    headers[DEADLINE_HEADER] = str(call.deadline.remaining_ms(time.monotonic()))
    return headers


def _build_answer_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in HOP_HEADERS
    )
