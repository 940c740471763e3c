"""Waiting requests of one service at one site, and what waits ahead of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.configuration import RequestClass
from briarfork.pools.wait_queue import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from briarfork.pools.permit import SlotRequest
    from briarfork.pools.run_times import RunTimes

# Index of the request class in CLASS_ORDER and priority within the class; lower ranks go first.
QueueRank = tuple[int, int]
CLASS_ORDER = (RequestClass.SHORT, RequestClass.LONG)


@dataclass(frozen=True, slots=True)
class Ahead:
    """What waits ahead of a request.

    Attributes:
        requests: Number of waiting requests.
        work_s: Sum of their expected run times, in seconds.
    """

    requests: int
    work_s: float


class Backlog:
    """The waiting requests by class, priority and workspace."""

    def __init__(self, run_times: Mapping[RequestClass, RunTimes]) -> None:
        self._wait_queues: dict[QueueRank, WaitQueue] = {}
        self._run_times = run_times

    def __len__(self) -> int:
        return sum(len(wait_queue) for wait_queue in self._wait_queues.values())

    def add(self, request: SlotRequest) -> None:
        """Adds a request."""
        queue_rank = get_queue_rank(request)
        if queue_rank not in self._wait_queues:
            self._wait_queues[queue_rank] = WaitQueue()
            self._wait_queues = dict(sorted(self._wait_queues.items()))
        self._wait_queues[queue_rank].add(request)

    def remove(self, permit: str) -> None:
        """Removes a request that gets no slot; an unknown permit is ignored."""
        for wait_queue in self._wait_queues.values():
            wait_queue.remove(permit)

    def remove_matching(self, match: Callable[[SlotRequest], bool]) -> list[SlotRequest]:
        """Removes and returns the requests that match."""
        removed = [item for queue in self._wait_queues.values() for item in queue if match(item)]
        for request in removed:
            self._wait_queues[get_queue_rank(request)].remove(request.permit)
        return removed

    def expire(self, now: float) -> list[SlotRequest]:
        """Removes and returns the requests that have expired."""
        return [item for queue in self._wait_queues.values() for item in queue.expire(now)]

    def iterate_queues(self) -> Iterator[tuple[RequestClass, WaitQueue]]:
        """Iterates over the queues that are not empty, the most urgent first."""
        for (class_index, _), wait_queue in self._wait_queues.items():
            if wait_queue:
                yield CLASS_ORDER[class_index], wait_queue

    def end_busy_period(self) -> None:
        """Forgets which workspaces have used slots."""
        for wait_queue in self._wait_queues.values():
            wait_queue.end_busy_period()

    def measure_ahead(self, request: SlotRequest) -> Ahead:
        """Returns what is ahead of a new request."""
        own = get_queue_rank(request)
        requests = 0
        work_s = 0.0
        for queue_rank, wait_queue in self._wait_queues.items():
            if queue_rank > own:
                break
            count = len(wait_queue)
            if queue_rank == own:
                count = wait_queue.count_ahead(request.workspace, request.weight)
            requests += count
            work_s += count * self._run_times[CLASS_ORDER[queue_rank[0]]].mean_s
        return Ahead(requests, work_s)

    def count_more_urgent(self, request: SlotRequest) -> int:
        """Returns how many more urgent classes and priorities have been requested so far."""
        own = get_queue_rank(request)
        return sum(queue_rank < own for queue_rank in self._wait_queues)

    def remove_late(
        self, is_late: Callable[[Ahead, float], bool]
    ) -> list[tuple[SlotRequest, Ahead]]:
        """Removes and returns the requests that will not get a slot in time.

        Args:
            is_late: Tells from what is ahead of a request and from its expiry time whether it is
                late; must also hold for more ahead and for an earlier expiry.
        """
        removed: list[tuple[SlotRequest, Ahead]] = []
        requests = 0
        work_s = 0.0
        for request_class, wait_queue in self.iterate_queues():
            run_s = self._run_times[request_class].mean_s
            last = Ahead(requests + len(wait_queue), work_s + len(wait_queue) * run_s)
            # Usually no request is late, which is known without looking at each.
            if is_late(last, wait_queue.earliest_expiry):
                for request in wait_queue.list_in_order():
                    ahead = Ahead(requests, work_s)
                    if is_late(ahead, request.expires_at):
                        wait_queue.remove(request.permit)
                        removed.append((request, ahead))
                    else:
                        requests += 1
                        work_s += run_s
            else:
                requests, work_s = last.requests, last.work_s
        return removed


def get_queue_rank(request: SlotRequest) -> QueueRank:
    """Returns the rank of the queue in which a request waits."""
    return CLASS_ORDER.index(request.request_class), request.priority
