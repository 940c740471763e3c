"""Requests for slots, the decisions on them and the permits that are held."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briarfork.configuration import RequestClass
    from briarfork.pools.server import ServerAddress


class Release(Enum):
    """How a request ended at the server, as reported to the owner of the slots."""

    DONE = "done"
    NOT_RUN = "not-run"
    DRAINING = "draining"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True)
class Requester:
    """A stream on which an entry VM requests permits.

    Attributes:
        vm: Name of the entry VM.
        stream: Number of the stream, unique within the VM; 0 for requests of the owner itself.
    """

    vm: str
    stream: int = 0


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        permit: Unique name of the permit.
        requester: Stream on which the request arrived.
        request_class: Short or long.
        expires_at: Time at which the requester stops waiting, in seconds.
        avoid: Servers that earlier attempts have used; they are used again only if the site has
            no other server.
        hedge: Whether this is a hedged attempt, which never waits and never reuses a server.
        priority: Priority among waiting requests; 0 is the most urgent.
        object_key: Key of the object that the request concerns, empty if unknown.
        asked_at: Time at which the owner of the slots received the request, in seconds.
        workspace: Workspace of the caller, empty if it has none.
        weight: Weight of the workspace among those that share the slots.
    """

    permit: str
    requester: Requester
    request_class: RequestClass
    expires_at: float
    avoid: frozenset[str] = frozenset()
    hedge: bool = False
    priority: int = 0
    object_key: str = ""
    asked_at: float = 0.0
    workspace: str = ""
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Grant:
    """A permit to send one request to one server.

    Attributes:
        limit_per_s: Requests per second that the owner of the slots grants for the server, infinite
            if it knows of no limit.
    """

    request: SlotRequest
    server: ServerAddress
    limit_per_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Refusal:
    """A decision not to grant a permit; nothing was sent to a server.

    Attributes:
        request: The refused request.
        reason: Why it was refused.
        moved: Whether the slots have another owner, which may grant the permit.
        wait_s: Expected time until a new request would get a slot, in seconds, 0 if unknown.
    """

    request: SlotRequest
    reason: str
    moved: bool = False
    wait_s: float = 0.0


@dataclass(slots=True)
class HeldPermit:
    """A permit that is granted and not yet released.

    Attributes:
        requester: Stream that holds the permit.
        server: Name of the server.
        request_class: Short or long.
        expires_at: Time by which the request has ended, in seconds; infinite if unknown.
        orphaned_until: Time until which the permit is kept after its stream was lost, in seconds;
            infinite while the stream is open.
    """

    requester: Requester
    server: str
    request_class: RequestClass
    expires_at: float = math.inf
    orphaned_until: float = math.inf
