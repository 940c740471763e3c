"""Waiting requests of one workspace among those that share the slots of a service."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from briarfork.pools.permit import SlotRequest

# Quotas are between one request in some minutes and thousands in a second. Weights outside of this
# range come from a faulty peer, and would stop the order between the flows.
MIN_WEIGHT = 1e-3
MAX_WEIGHT = 1e6
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
    """

    weight: float = 1.0
    start_tag: float = 0.0
    arrivals: dict[str, Arrival] = field(default_factory=dict)
    _by_object: dict[str, dict[str, Arrival]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.arrivals)

    def add(self, number: int, request: SlotRequest, virtual_time: float) -> None:
        """Adds a request at the end; an idle flow does not go before the virtual time."""
        if not self.arrivals:
            self.start_tag = max(self.start_tag, virtual_time)
        self.weight = limit_weight(request.weight)
        self.arrivals[request.permit] = (number, request)
        if request.object_key:
            same_object = self._by_object.setdefault(request.object_key, {})
            same_object[request.permit] = (number, request)

    def remove(self, permit: str) -> None:
        """Removes a request."""
        _, request = self.arrivals.pop(permit)
        if request.object_key:
            same_object = self._by_object[request.object_key]
            del same_object[permit]
            if not same_object:
                del self._by_object[request.object_key]

    def charge(self) -> None:
        """Moves the start tag on by one request that gets a slot."""
        self.start_tag += 1.0 / self.weight

    def compute_tag(self, position: int) -> float:
        """Returns the start tag of the request at a position, 0 for the first one."""
        return self.start_tag + position / self.weight

    def count_up_to(self, tag: float) -> int:
        """Returns the number of requests whose start tag is not greater than a tag."""
        if tag < self.start_tag:
            return 0
        return min(len(self.arrivals), math.floor((tag - self.start_tag) * self.weight) + 1)

    def list_objects(self) -> Collection[str]:
        """Returns the keys of the objects that the waiting requests concern."""
        return self._by_object.keys()

    def iterate(self, object_key: str | None = None) -> Iterator[Arrival]:
        """Iterates over the requests, or those that concern an object, as they are now."""
        arrivals = self.arrivals if object_key is None else self._by_object[object_key]
        return iter(list(arrivals.values()))


def limit_weight(weight: float) -> float:
    """Returns the weight within the bounds that keep the tags finite."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
