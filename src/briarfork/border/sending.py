"""Guards that run before aiohttp writes a client request to a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import aiohttp

if TYPE_CHECKING:
    from types import SimpleNamespace


class SendGuard(Protocol):
    """Decides whether a request may be sent."""

    def check_send(self) -> None:
        """Raises an exception if the request must not be sent."""


class DuplicateSend(aiohttp.ClientConnectionError):
    """Raised when aiohttp is about to send a request a second time."""


class SingleSendGuard:
    """Prevents automatic retries by aiohttp.

    aiohttp treats PUT and DELETE as idempotent and sends them again if a keep-alive connection
    turns out to be closed. A conditional write that took effect would then fail with a conflict.
    """

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent = False

    def check_send(self) -> None:
        """Allows the first send only.

        Raises:
            DuplicateSend: If the request was sent before.
        """
        if self._sent:
            raise DuplicateSend("the connection was lost after the request was sent")
        self._sent = True


def build_send_trace() -> aiohttp.TraceConfig:
    """Returns a trace that calls the guard in `trace_request_ctx` before each send."""
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_check_guard)
    return trace


async def _check_guard(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    # aiohttp calls this once it has a connection, before it writes the headers.
    guard: SendGuard | None = context.trace_request_ctx
    if guard is not None:
        guard.check_send()
