"""Waiting requests of one workspace among those that share the slots of a service."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briarfork.pools.permit import SlotRequest

# Quotas are between one request in some minutes and thousands in a second. Weights outside of this
# range come from a faulty peer, and would stop the order between the flows.
MIN_WEIGHT = 1e-3
MAX_WEIGHT = 1e6
# Time over which the interval between two slots of a flow is averaged: a burst lasts for seconds,
# and a request waits for a part of one.
PROGRESS_WINDOW_S = 0.5
# With fewer recent slots, the interval between them is not known.
MIN_PROGRESS = 4.0
# Number of the arrival of a request, and the request.
Arrival = tuple[int, "SlotRequest"]


@dataclass(slots=True)
class Flow:
    """The waiting requests of one workspace, or of all callers without one, in order of arrival.

    Tags belong to the positions in the flow, not to requests: a request that expires or is
    cancelled has used no slot, and the requests behind it move up to its tag.

    Attributes:
        weight: Share of the slots relative to that of other flows.
        start_tag: Start tag of the first request, or the finish tag of the last one that got a
            slot if no request waits.
        arrivals: Waiting requests by permit.
        by_object: Waiting requests that concern an object, by object and permit.
    """

    weight: float = 1.0
    start_tag: float = 0.0
    arrivals: dict[str, Arrival] = field(default_factory=dict)
    by_object: dict[str, dict[str, Arrival]] = field(default_factory=dict)
    _recent_slots: float = 0.0
    _recent_s: float = 0.0
    _progress_at: float = 0.0

    def __len__(self) -> int:
        return len(self.arrivals)

    def add(self, number: int, request: SlotRequest, virtual_time: float) -> None:
        """Adds a request at the end; an idle flow does not go before the virtual time."""
        if not self.arrivals:
            self.start_tag = max(self.start_tag, virtual_time)
            self._progress_at = request.asked_at
        self.weight = limit_weight(request.weight)
        self.arrivals[request.permit] = (number, request)
        if request.object_key:
            same_object = self.by_object.setdefault(request.object_key, {})
            same_object[request.permit] = (number, request)

    def remove(self, permit: str) -> None:
        """Removes a request."""
        _, request = self.arrivals.pop(permit)
        if request.object_key:
            same_object = self.by_object[request.object_key]
            del same_object[permit]
            if not same_object:
                del self.by_object[request.object_key]

    def charge(self, now: float) -> None:
        """Moves the start tag on by one request that gets a slot."""
        self.start_tag += 1.0 / self.weight
        # A longer pause, as when all servers back off, says nothing about the slots that follow it.
        passed_s = min(PROGRESS_WINDOW_S, max(0.0, now - self._progress_at))
        decay = math.exp(-passed_s / PROGRESS_WINDOW_S)
        self._recent_slots = decay * self._recent_slots + 1.0
        self._recent_s = decay * self._recent_s + passed_s
        self._progress_at = now

    def compute_interval_s(self, now: float) -> float:
        """Returns the time between two slots of the flow while it waits, 0 if it is not known."""
        if self._recent_slots < MIN_PROGRESS:
            return 0.0
        passed_s = max(0.0, now - self._progress_at) if self.arrivals else 0.0
        return (self._recent_s + passed_s) / self._recent_slots

    def compute_tag(self, position: int) -> float:
        """Returns the start tag of the request at a position, 0 for the first one."""
        return self.start_tag + position / self.weight

    def count_up_to(self, tag: float) -> int:
        """Returns the number of requests whose start tag is not greater than a tag."""
        if tag < self.start_tag:
            return 0
        return min(len(self.arrivals), math.floor((tag - self.start_tag) * self.weight) + 1)


def limit_weight(weight: float) -> float:
    """Returns the weight within the bounds that keep the tags finite."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
