"""A caller's request and its response, independent of the protocol that carries them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarfork.pools import NO_REPORT
from briarfork.pools import ServerReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.gateway.admission import Admitted
    from briarfork.requests import Turn

BodyPart = bytes | bytearray


@dataclass(slots=True, eq=False)
class EarlierRun:
    """What is left of a run of a request that was ended before its turn, to run again later.

    Attributes:
        may_have_run: Whether a server may have run the request.
        admitted: What it was admitted as; its credit is used up if a server may have run it.
    """

    may_have_run: bool = False
    admitted: Admitted | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class Request:
    """A request.

    Attributes:
        request_id: The caller's id of this attempt.
        host: Requested host name without a port.
        target: Path and query as the caller sent them.
        headers: Headers to forward, in order.
        body: Parts of the body, none until it has been collected.
        object_key: Key of the object that the request concerns, empty if unknown.
        caller_timeout_s: How long the caller waits, None if it did not say.
        respond_by: Monotonic time after which a response no longer reaches the caller.
        credential: The caller's key, empty if there is none. It never leaves this VM.
        workspace: Name of the caller's workspace once it is known, empty if it has none.
        turn: Its place in the order of its connection, None if that does not matter.
        earlier: What is left of a run that was ended before its turn.
    """

    request_id: str
    host: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: tuple[BodyPart, ...] = ()
    object_key: str = ""
    caller_timeout_s: float | None = None
    respond_by: float = math.inf
    credential: str = field(default="", repr=False)
    workspace: str = ""
    turn: Turn | None = field(default=None, repr=False, compare=False)
    earlier: EarlierRun = field(default_factory=EarlierRun, repr=False, compare=False)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response of a backend server.

    Attributes:
        body: Parts of the body.
        report: What the server says about itself with the response.
        release: Frees the memory of the body; to be called when the caller has got it or has left.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: tuple[BodyPart, ...]
    report: ServerReport = NO_REPORT
    release: Callable[[], None] = lambda: None

    @property
    def is_server_error(self) -> bool:
        """Whether the status is a server error."""
        return self.status >= 500
