"""Counts what workspaces ask for while slots are scarce, so that operators see who causes it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

# One report in this time for each service and site keeps the log small during long overloads.
REPORT_INTERVAL_S = 10.0
# The workspaces with the most requests; the others are counted in the sums only.
REPORTED_WORKSPACES = 5


class RefusalCause(Enum):
    """Why the owner of slots refused a request."""

    QUEUE_FULL = "queue_full"
    EXPECTED_WAIT = "expected_wait"
    OVERTAKEN = "overtaken"
    EXPIRED = "expired"
    NO_SERVER = "no_server"
    HEDGE = "hedge"


@dataclass(frozen=True, slots=True)
class Shortage:
    """Requests for slots since the last report.

    Attributes:
        requests: Number of requests.
        refused: Number of refused requests.
        workspaces: Requests and refusals of the workspaces with the most requests.
    """

    requests: int
    refused: int
    workspaces: dict[str, tuple[int, int]]


class DemandCounter:
    """Counts the requests and refusals of one queue.

    Attributes:
        refusals: Number of refusals by cause since the queue was created.
    """

    def __init__(self) -> None:
        self.refusals: Counter[RefusalCause] = Counter()
        self._requests: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._report_at = 0.0

    def record_request(self, workspace: str) -> None:
        """Counts a request."""
        self._requests[workspace] += 1

    def record_refusal(self, workspace: str, cause: RefusalCause) -> None:
        """Counts a refusal."""
        self.refusals[cause] += 1
        self._refused[workspace] += 1

    def take_report(self, now: float) -> Shortage | None:
        """Returns a report if one is due and requests of workspaces were refused since the last."""
        if now < self._report_at:
            return None
        self._report_at = now + REPORT_INTERVAL_S
        requests, refused = self._requests, self._refused
        self._requests, self._refused = Counter(), Counter()
        if not any(refused):
            return None
        largest = {
            name: (count, refused[name])
            for name, count in requests.most_common(REPORTED_WORKSPACES)
        }
        return Shortage(requests.total(), refused.total(), largest)
