"""Queue of waiting requests of one class and priority."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from briarfork.pools.flow import Flow
from briarfork.pools.flow import limit_weight

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator
    from collections.abc import Mapping

    from briarfork.pools.flow import Arrival
    from briarfork.pools.permit import SlotRequest

# Heap entries of removed requests are kept up to this number plus one per waiting request, so that
# the heap is rebuilt rarely.
MAX_STALE_ENTRIES = 64


class WaitQueue:
    """Waiting requests in fair order between workspaces, with a heap of their expiry times.

    Handles a workspace with several times its usual load beside others within theirs: by start-time
    fair queueing, each workspace gets slots in proportion to its weight, and what one does not use
    goes to the others. Requests without a workspace are one flow, so alone they are served in order
    of arrival.
    """

    __slots__ = ("_expiry_heap", "_flow_by_permit", "_flows", "_numbers", "_virtual_time")

    def __init__(self) -> None:
        self._flows: dict[str, Flow] = {}
        self._flow_by_permit: dict[str, Flow] = {}
        self._virtual_time = 0.0
        self._numbers = itertools.count()
        self._expiry_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._flow_by_permit)

    def __iter__(self) -> Iterator[SlotRequest]:
        """Iterates over the requests, those of each flow in order of arrival."""
        return (item for flow in self._flows.values() for _, item in list(flow.arrivals.values()))

    @property
    def earliest_expiry(self) -> float:
        """Time before which no request expires, in seconds; the queue must not be empty."""
        return self._expiry_heap[0][0]

    def add(self, request: SlotRequest) -> None:
        """Adds a request at the end of its workspace's flow.

        A requester may send a request again after it lost its stream; it keeps its place then.
        """
        self._remove_changed(request)
        flow = self._flows.get(request.workspace)
        if flow is None:
            flow = self._flows[request.workspace] = Flow()
        flow.add(next(self._numbers), request, self._virtual_time)
        self._flow_by_permit[request.permit] = flow
        heapq.heappush(self._expiry_heap, (request.expires_at, request.permit))

    def _remove_changed(self, request: SlotRequest) -> None:
        """Removes an earlier request of the same permit that names another workspace or object."""
        flow = self._flow_by_permit.get(request.permit)
        if flow is None:
            return
        _, earlier = flow.arrivals[request.permit]
        if (earlier.workspace, earlier.object_key) != (request.workspace, request.object_key):
            self.remove(request.permit)

    def serve(self, permit: str, now: float) -> None:
        """Removes a request that gets a slot, and charges its flow for the slot."""
        first_tag = min(flow.start_tag for flow in self._flows.values() if flow.arrivals)
        self._virtual_time = max(self._virtual_time, first_tag)
        self._flow_by_permit[permit].charge(now)
        self.remove(permit)

    def remove(self, permit: str) -> None:
        """Removes a request that gets no slot; an unknown permit is ignored."""
        flow = self._flow_by_permit.pop(permit, None)
        if flow is None:
            return
        flow.remove(permit)
        if len(self._expiry_heap) > 2 * len(self) + MAX_STALE_ENTRIES:
            self._expiry_heap = [(item.expires_at, item.permit) for item in self]
            heapq.heapify(self._expiry_heap)

    def expire(self, now: float) -> list[SlotRequest]:
        """Removes and returns the requests that have expired."""
        expired = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, permit = heapq.heappop(self._expiry_heap)
            flow = self._flow_by_permit.get(permit)
            if flow is not None:
                expired.append(flow.arrivals[permit][1])
                self.remove(permit)
        return expired

    def end_busy_period(self) -> None:
        """Forgets what the flows have used, because slots are free and no request waits.

        Also bounds the number of flows by the workspaces that were active since then.
        """
        self._flows.clear()
        self._virtual_time = 0.0

    @property
    def is_shared(self) -> bool:
        """Whether requests of several workspaces have waited in this busy period."""
        return len(self._flows) > 1

    def count_ahead(self, workspace: str, weight: float) -> int:
        """Returns the number of requests that would get a slot before a new one."""
        flow = self._flows.get(workspace, Flow())
        start_tag = flow.start_tag if flow else max(flow.start_tag, self._virtual_time)
        tag = start_tag + len(flow) / limit_weight(weight)
        others = sum(item.count_up_to(tag) for item in self._flows.values() if item is not flow)
        return others + len(flow)

    def estimate_own_wait_s(self, workspace: str, now: float) -> float:
        """Returns how long a new request waits behind its own workspace's, 0 if unknown."""
        flow = self._flows.get(workspace)
        return 0.0 if flow is None else len(flow) * self._compute_interval_s(flow, now)

    def compute_longest_own_wait_s(self, now: float) -> float:
        """Returns the wait of the last request of the slowest workspace behind its own ones."""
        waiting = (flow for flow in self._flows.values() if flow.arrivals)
        return max(
            (len(flow) * self._compute_interval_s(flow, now) for flow in waiting), default=0.0
        )

    def _compute_interval_s(self, flow: Flow, now: float) -> float:
        """Returns the time between two slots of a flow, 0 if it is unknown or not shared.

        Without other workspaces, only more urgent requests slow a flow down, and its rate says
        nothing once a burst of these has ended.
        """
        return flow.compute_interval_s(now) if self.is_shared else 0.0

    def list_in_order(self, now: float) -> list[tuple[SlotRequest, float]]:
        """Returns the requests in the order in which they would get slots.

        Each comes with the time between two slots of its workspace, 0 if unknown.
        """
        tagged = []
        for flow in self._flows.values():
            interval_s = self._compute_interval_s(flow, now)
            for position, (number, request) in enumerate(flow.arrivals.values()):
                tagged.append((flow.compute_tag(position), number, request, interval_s))
        if len(self._flows) > 1:
            tagged.sort(key=lambda item: item[:2])
        return [(request, interval_s) for _, _, request, interval_s in tagged]

    def iterate_in_order(self) -> Iterator[SlotRequest]:
        """Iterates over the requests in fair order; each may be served while it is current.

        A request that can't be served at present leaves its turn to the next one of its flow.
        """
        flows = (flow for flow in self._flows.values() if flow.arrivals)
        return _merge([(flow, flow.arrivals.values()) for flow in flows])

    def iterate_cached(
        self, servers: Mapping[str, object], servers_by_object: Mapping[str, Collection[str]]
    ) -> Iterator[SlotRequest]:
        """Iterates in fair order over the requests whose objects some servers have cached.

        Args:
            servers: Servers by name.
            servers_by_object: Names of the servers that have an object cached, by object.
        """
        names = servers.keys()
        parts: list[tuple[Flow, Collection[Arrival]]] = []
        for flow in self._flows.values():
            cached = [
                arrival
                for key, arrivals in flow.by_object.items()
                if key in servers_by_object and not names.isdisjoint(servers_by_object[key])
                for arrival in arrivals.values()
            ]
            if cached:
                # Numbers of arrivals are unique, so that requests are not compared.
                cached.sort()
                parts.append((flow, cached))
        return _merge(parts)


def _merge(parts: list[tuple[Flow, Collection[Arrival]]]) -> Iterator[SlotRequest]:
    """Merges arrivals of different flows by the flows' start tags, which change with each slot.

    Each flow has one entry in the heap. With an entry for each object, every slot would change the
    tags of all entries of its flow, and many slots that become free at once would take seconds.
    """
    iterators: dict[int, Iterator[Arrival]] = {}
    heap = [
        (flow.start_tag, *next(iter(arrivals)), index)
        for index, (flow, arrivals) in enumerate(parts)
    ]
    heapq.heapify(heap)
    while heap:
        _, _, request, index = heap[0]
        flow, arrivals = parts[index]
        if index not in iterators:
            # Requests are removed from their flow when they are served.
            iterators[index] = iter(list(arrivals)[1:])
        yield request
        # Only the tag of the flow whose request was yielded has changed, if any.
        following = next(iterators[index], None)
        if following is None:
            heapq.heappop(heap)
        else:
            heapq.heapreplace(heap, (flow.start_tag, *following, index))
