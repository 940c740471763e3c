"""Runs pipelined requests of a connection at the same time and answers them in order."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import Enum
from functools import partial
from itertools import islice
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from aiohttp import web
from aiohttp.http import StreamWriter
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from briarfork.border.http_server import HttpConnectionHandler
from briarfork.requests.pipeline import PipelineWindow
from briarfork.requests.pipeline import Turn

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http import RawRequestMessage
    from aiohttp.streams import StreamReader

    from briarfork.requests.pipeline import AheadBudget

# The place of a request in the order of its connection.
TURN = web.RequestKey("turn", Turn)


class AheadEvent(Enum):
    """What happens to a request that runs ahead of its turn."""

    STARTED = "started"
    DROPPED = "dropped"
    CANCELLED = "cancelled"


class Pipelining(Protocol):
    """Decisions about requests that run ahead of their turn, for all connections of a process."""

    @property
    def budget(self) -> AheadBudget:
        """Limits the requests that run ahead."""

    def may_run_ahead(self, message: RawRequestMessage) -> bool:
        """Returns whether a request without a body may run more than once."""

    def measure(self, response: web.StreamResponse) -> int:
        """Returns how much memory a response holds, in bytes."""

    def discard(self, response: web.StreamResponse) -> None:
        """Frees the memory of a response that is not written."""

    def record(self, request: web.BaseRequest, event: AheadEvent) -> None:
        """Counts and logs what happens to a request that runs ahead."""


@dataclass(slots=True, eq=False)
class _ReadRequest:
    """A request that was read and whose response has not been written.

    Attributes:
        request: The request as its handler gets it, None until it runs ahead or its turn comes.
        task: Its run ahead of its turn, None if there is none.
        dropped: A run that was ended; the next one starts after it.
    """

    message: RawRequestMessage | _ErrInfo
    payload: StreamReader
    turn: Turn
    request: web.BaseRequest | None = None
    task: asyncio.Task[web.StreamResponse | None] | None = None
    dropped: asyncio.Task[web.StreamResponse | None] | None = None


class PipelinedConnection(HttpConnectionHandler):
    """Server side of a connection whose requests may run before their turn.

    A request whose turn it is runs in the handler task of the connection, as all requests do that
    are not pipelined. Each request that runs ahead has a task of its own, whose response the
    handler task takes when the turn comes. The tasks end with the connection.
    """

    __slots__ = ("_build_base_request", "_ending_tasks", "_pipelining", "_unanswered", "_window")

    def __init__(self, manager: web.Server, *, pipelining: Pipelining, **options: Any) -> None:
        super().__init__(manager, **options)
        self._pipelining = pipelining
        self._window = PipelineWindow(
            pipelining.budget, partial(self._loop.call_soon, self._start_ahead)
        )
        self._unanswered: dict[int, _ReadRequest] = {}
        # The event loop keeps only weak references to tasks.
        self._ending_tasks: set[asyncio.Task[web.StreamResponse | None]] = set()
        self._build_base_request = manager.request_factory
        self._request_factory = self._take_request

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Sends the response of the request whose turn it is."""
        self._window.learn(self._pipelining.measure(resp))
        result = await super().finish_response(request, resp, start_time)
        self._window.remove_first()
        if self._unanswered:
            del self._unanswered[next(iter(self._unanswered))]
        self._start_ahead()
        return result

    def note_read(self, count: int) -> None:
        """Adds the newest requests to the window and starts those that may run ahead."""
        now = time.monotonic()
        for message, payload in islice(self._messages, len(self._messages) - count, None):
            self._unanswered[self._window.add()] = _ReadRequest(message, payload, Turn(now))
        self._start_ahead()

    def cancel_following(self) -> None:
        """Cancels the requests that run ahead; their responses will not be written."""
        for number in self._window.close():
            self._end_ahead(self._unanswered[number], AheadEvent.CANCELLED)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends all requests, also a run whose turn has come and that no handler waits for yet."""
        super().connection_lost(exc)
        for read in self._unanswered.values():
            self._end_run(read)
        # They refer to the connection, whose memory would be freed only by the garbage collector.
        self._unanswered.clear()

    def close(self) -> None:
        """Closes the connection after the response in progress."""
        self.cancel_following()
        super().close()

    def force_close(self) -> None:
        """Closes the connection."""
        self.cancel_following()
        super().force_close()

    def _take_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Returns the request whose turn has come, for the handler task."""
        read = next(iter(self._unanswered.values()))
        self._window.take_first()
        read.turn.end_ahead()
        if read.request is None:
            read.request = self._build_base_request(message, payload, protocol, writer, task)
            read.request[TURN] = read.turn
        return read.request

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Handles the request whose turn it is, or takes the response of its run ahead."""
        read = next(iter(self._unanswered.values()), None)
        if read is not None and (read.task is not None or read.dropped is not None):
            request_handler = partial(self._take_response, read, request_handler)
        return await super()._handle_request(request, start_time, request_handler)

    async def _take_response(
        self,
        read: _ReadRequest,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        """Returns the response of a run ahead, or that of another run if it was dropped."""
        task = read.task or read.dropped
        assert task is not None
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            self._end_run(read)
            raise
        response = task.result() if read.dropped is None else None
        return await request_handler(request) if response is None else response

    def _start_ahead(self) -> None:
        """Starts the requests that may run ahead now, unless the peer does not read."""
        if self.transport is None or self.transport.is_closing() or self.writing_paused:
            return
        for number in self._window.choose(self._may_run_ahead):
            read = self._unanswered[number]
            assert self._task_handler is not None
            assert not isinstance(read.message, _ErrInfo)
            read.request = self._build_base_request(
                read.message, read.payload, self, StreamWriter(self, self._loop), self._task_handler
            )
            read.request[TURN] = read.turn
            read.turn.begin_ahead(partial(self._drop, number))
            read.task = self._loop.create_task(self._run_ahead(read))
            read.task.add_done_callback(partial(self._note_run, number, read))
            self._pipelining.record(read.request, AheadEvent.STARTED)

    def _may_run_ahead(self, number: int) -> bool:
        read = self._unanswered[number]
        if read.payload is not EMPTY_PAYLOAD or isinstance(read.message, _ErrInfo):
            return False
        return not read.message.upgrade and self._pipelining.may_run_ahead(read.message)

    async def _run_ahead(self, read: _ReadRequest) -> web.StreamResponse | None:
        """Returns the response of a request, or None if it has to wait for its turn."""
        assert not isinstance(read.message, _ErrInfo)
        assert read.request is not None
        handler = self._request_handler
        # The configuration may have changed since the request was chosen.
        if handler is None or not self._pipelining.may_run_ahead(read.message):
            return None
        return await handler(read.request)

    def _note_run(
        self,
        number: int,
        read: _ReadRequest,
        task: asyncio.Task[web.StreamResponse | None],
    ) -> None:
        """Holds the response of a run ahead until its turn, or frees one that is not needed."""
        # An exception is raised again when the turn comes.
        if task.cancelled() or task.exception() is not None:
            return
        response = task.result()
        if response is None:
            return
        if read.task is not task:
            self._pipelining.discard(response)
        elif number in self._unanswered:
            if not self._window.hold(number, self._pipelining.measure(response)):
                self._drop(number)
            self._start_ahead()

    def _drop(self, number: int) -> None:
        """Ends a run ahead; the request runs again when its turn comes."""
        self._window.drop(number)
        self._end_ahead(self._unanswered[number], AheadEvent.DROPPED)

    def _end_ahead(self, read: _ReadRequest, event: AheadEvent) -> None:
        """Ends the run of a request that is ahead of its turn."""
        assert read.request is not None
        read.turn.end_ahead()
        self._pipelining.record(read.request, event)
        self._end_run(read)

    def _end_run(self, read: _ReadRequest) -> None:
        """Cancels the run of a request, if it has one, or frees its response."""
        if read.task is None:
            return
        task, read.task, read.dropped = read.task, None, read.task
        if not task.done():
            self._ending_tasks.add(task)
            task.add_done_callback(self._ending_tasks.discard)
            task.cancel()
        elif not task.cancelled() and task.exception() is None:
            response = task.result()
            if response is not None:
                self._pipelining.discard(response)
