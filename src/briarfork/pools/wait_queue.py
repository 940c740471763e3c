"""Queue of waiting requests of one class and priority."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarfork.pools.permit import SlotRequest

# Heap entries of removed requests are kept up to this number plus one per waiting request, so that
# the heap is rebuilt rarely.
MAX_STALE_ENTRIES = 64


class WaitQueue:
    """Waiting requests in order of arrival, with a heap of their expiry times."""

    __slots__ = ("_expiry_heap", "_requests")

    def __init__(self) -> None:
        self._requests: dict[str, SlotRequest] = {}
        self._expiry_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[SlotRequest]:
        return iter(self._requests.values())

    def add(self, request: SlotRequest) -> None:
        """Adds a request at the end of the queue."""
        self._requests[request.permit] = request
        heapq.heappush(self._expiry_heap, (request.expires_at, request.permit))

    def remove(self, permit: str) -> None:
        """Removes a request; an unknown permit is ignored."""
        self._requests.pop(permit, None)
        if len(self._expiry_heap) > 2 * len(self._requests) + MAX_STALE_ENTRIES:
            self._expiry_heap = [(item.expires_at, name) for name, item in self._requests.items()]
            heapq.heapify(self._expiry_heap)

    def expire(self, now: float) -> list[SlotRequest]:
        """Removes and returns the requests that have expired."""
        expired = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, permit = heapq.heappop(self._expiry_heap)
            request = self._requests.pop(permit, None)
            if request is not None:
                expired.append(request)
        return expired
