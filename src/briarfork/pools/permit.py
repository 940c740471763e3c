"""Demands for slots, the decisions on them and the permits in use."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briarfork.configuration import RequestClass
    from briarfork.pools.server import ServerAddress


class Release(Enum):
    """How a request ended at the server, as far as the owner of the slots needs to know."""

    DONE = "done"
    NOT_RUN = "not-run"
    DRAINING = "draining"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True)
class Requester:
    """One stream of an entry VM that asks for permits.

    Attributes:
        stream: Number of the stream, different for each stream of the VM; 0 within the owner.
    """

    vm: str
    stream: int = 0


@dataclass(frozen=True, slots=True)
class PermitDemand:
    """A request that asks for a slot.

    Attributes:
        permit: Unique name of the permit.
        requester: Stream that asks.
        request_class: Short or long.
        expires_at: When the requester stops waiting, seconds.
        avoid: Servers that the request has used before; they are used again only if the site
            has no other.
        hedge: Whether it is a second attempt, which never waits and never repeats a server.
        priority: Rank among waiting requests, 0 is the most urgent.
        object_key: Names the object that the request concerns, empty if unknown.
        asked_at: When the owner of the slots got the demand, seconds.
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


@dataclass(frozen=True, slots=True)
class Grant:
    """A permit to send one request to one server."""

    demand: PermitDemand
    server: ServerAddress


@dataclass(frozen=True, slots=True)
class Refusal:
    """A demand that gets no permit; nothing was sent.

    Attributes:
        moved: Whether the slots have another owner, who may grant the permit.
        wait_s: Expected time until the queue has room, 0 if unknown.
    """

    demand: PermitDemand
    reason: str
    moved: bool = False
    wait_s: float = 0.0


@dataclass(slots=True)
class Holding:
    """A permit that was granted and not released.

    Attributes:
        expires_at: When the request has ended at the latest.
        orphaned_until: End of the wait for a requester whose stream is gone.
    """

    requester: Requester
    vm: str
    request_class: RequestClass
    expires_at: float = math.inf
    orphaned_until: float = math.inf
