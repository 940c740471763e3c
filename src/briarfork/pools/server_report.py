"""What a backend server says about itself with a response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class ServerReport:
    """The state of a backend server as of one response.

    Attributes:
        utilization: Fraction of its slots in use, including that of the request; 0 if unknown.
        waiting: Number of requests waiting at the server.
        slowness: Ratio of the run time on its machine to the usual one, 0 if unknown.
        limit_per_s: Requests per second that it accepts from all VMs together, infinite if it names
            no limit; None if there was no response that could name one.
        is_leaving: Whether it accepts no new requests and will end soon.
        pause_s: How long it wants no requests from this VM, in seconds, 0 if it did not say so.
    """

    utilization: float = 0.0
    waiting: int = 0
    slowness: float = 0.0
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0


NO_REPORT: Final = ServerReport()
