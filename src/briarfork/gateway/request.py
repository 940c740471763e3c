"""A caller's request and its answer, apart from the protocol that carries them."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Attributes:
        request_id: The caller's id of this attempt.
        host: Name that the caller asked for, without a port.
        target: Path and query as the caller sent them.
        headers: Headers to pass on, in order.
        object_key: Names the object that the request concerns, empty if unknown.
        wait_s: How long the caller waits, None if it did not say.
        answer_by: Monotonic time after which no answer reaches the caller.
    """

    request_id: str
    host: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    object_key: str = ""
    wait_s: float | None = None
    answer_by: float = math.inf

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer of a backend server.

    Attributes:
        slowness: What the server said about its machine, 0 if nothing.
        waiting: Requests that waited at the server when it answered.
        busy: Share of its slots in use then, this request's among them, 0 if unknown.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    slowness: float = 0.0
    waiting: int = 0
    busy: float = 0.0

    @property
    def is_fault(self) -> bool:
        """Whether the server failed to answer the request."""
        return self.status >= 500
