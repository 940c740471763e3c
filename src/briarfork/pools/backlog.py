"""Waiting requests of one service at one site, and what waits ahead of a request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.configuration import RequestClass
from briarfork.pools.wait_queue import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from briarfork.pools.forecast import WaitForecast
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
        own_wait_s: Expected wait behind requests of the same workspace, class and priority, at the
            rate at which these got slots beside other workspaces; 0 if unknown or not shared.
    """

    requests: int
    work_s: float
    own_wait_s: float = 0.0


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

    def measure_ahead(self, request: SlotRequest, now: float) -> Ahead:
        """Returns what is ahead of a new request."""
        own = get_queue_rank(request)
        requests = 0
        work_s = 0.0
        own_wait_s = 0.0
        for queue_rank, wait_queue in self._wait_queues.items():
            if queue_rank > own:
                break
            count = len(wait_queue)
            if queue_rank == own:
                count = wait_queue.count_ahead(request.workspace, request.weight)
                own_wait_s = wait_queue.estimate_own_wait_s(request.workspace, now)
            requests += count
            work_s += count * self._run_times[CLASS_ORDER[queue_rank[0]]].mean_s
        return Ahead(requests, work_s, own_wait_s)

    def count_more_urgent(self, request: SlotRequest) -> int:
        """Returns how many more urgent classes and priorities have waiting requests."""
        own = get_queue_rank(request)
        return sum(
            queue_rank < own and bool(wait_queue)
            for queue_rank, wait_queue in self._wait_queues.items()
        )

    def remove_late(self, forecast: WaitForecast, now: float) -> list[tuple[SlotRequest, Ahead]]:
        """Removes and returns the overtaken requests that will not get a slot in time.

        The first queue without workspaces is in order of arrival: nothing overtakes there.
        """
        removed: list[tuple[SlotRequest, Ahead]] = []
        requests = 0
        work_s = 0.0
        for index, (queue_rank, wait_queue) in enumerate(self._wait_queues.items()):
            run_s = self._run_times[CLASS_ORDER[queue_rank[0]]].mean_s
            if wait_queue and (index or wait_queue.is_shared):
                count = len(wait_queue)
                own_wait_s = wait_queue.compute_longest_own_wait_s(now)
                last = Ahead(requests + count, work_s + count * run_s, own_wait_s)
                # Usually no request is late, which is known without looking at each.
                if forecast.may_refuse_waiting(last, wait_queue.earliest_expiry - now):
                    found = _find_late(wait_queue, Ahead(requests, work_s), run_s, forecast, now)
                    removed += found
                    for request, _ in found:
                        wait_queue.remove(request.permit)
            requests += len(wait_queue)
            work_s += len(wait_queue) * run_s
        return removed


def _find_late(
    wait_queue: WaitQueue, before: Ahead, run_s: float, forecast: WaitForecast, now: float
) -> list[tuple[SlotRequest, Ahead]]:
    """Returns the requests of a queue that will not get a slot in time, and what is ahead."""
    late = []
    count = 0
    own: Counter[str] = Counter()
    for request, interval_s in wait_queue.list_in_order(now):
        ahead = Ahead(
            before.requests + count,
            before.work_s + count * run_s,
            own[request.workspace] * interval_s,
        )
        if forecast.refuses_waiting(ahead, request.expires_at - now):
            late.append((request, ahead))
        else:
            own[request.workspace] += 1
            count += 1
    return late


def get_queue_rank(request: SlotRequest) -> QueueRank:
    """Returns the rank of the queue in which a request waits."""
    return CLASS_ORDER.index(request.request_class), request.priority
