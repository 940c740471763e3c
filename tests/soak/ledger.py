"""What backend servers and callers saw; the promises are checked on it."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class Run:
    """A request that a backend server has begun to run.

    Attributes:
        number: Which start of the server it was; a later start has a higher number.
        left_at: When its connection ended before the answer.
    """

    server: str
    service: str
    zone: str
    at: float
    deadline_s: float
    left_at: float = math.inf
    ended_at: float = math.inf


@dataclass(slots=True)
class Call:
    """A caller's attempt.

    Attributes:
        status: Status of the whole answer, 0 if the connection ended without one.
        fault: What is wrong with the answer, empty if nothing.
        closed_by_caller: Whether the caller left before the answer.
    """

    name: str
    vm: str
    route: str
    repeatable: bool
    sent_at: float
    deadline_s: float
    status: int = 0
    fault: str = ""
    closed_by_caller: bool = False
    reused: bool = False
    ended_at: float = math.inf


@dataclass(slots=True)
class Span:
    """A time in which something was wrong on purpose."""

    kind: str
    started_at: float
    ended_at: float = math.inf

    def touches(self, since: float, until: float) -> bool:
        return self.started_at <= until and self.ended_at >= since


@dataclass
class Ledger:
    """Everything that was seen in one soak.

    Attributes:
        spans: Disruptions by what they concern: a VM, a server, or the store.
        drained: When the leaving of a server was acknowledged.
        ended: When a server ended.
        evacuated: Zones, from when until when.
        versions: Acknowledged configurations: time and the service of the moving route.
    """

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    calls: dict[str, Call] = field(default_factory=dict)
    spans: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))
    drained: dict[str, float] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    evacuated: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))
    versions: list[tuple[float, str]] = field(default_factory=list)
    unplanned_ends: list[str] = field(default_factory=list)

    def begin(self, subject: str, kind: str, now: float) -> Span:
        span = Span(kind, now)
        self.spans[subject].append(span)
        return span

    def is_calm(self, subjects: list[str], since: float, until: float) -> bool:
        """Returns whether nothing was wrong with any of the subjects."""
        return not any(
            span.touches(since, until) for name in subjects for span in self.spans.get(name, [])
        )
