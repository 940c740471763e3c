"""Attempts under a permit, with a second attempt at another server when the first one is late."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from briarfork.border.metrics import Metric
from briarfork.configuration import RequestClass
from briarfork.entry.forward import AttemptFailed
from briarfork.errors import NotRun
from briarfork.pools import Release
from briarfork.pools import RunTimes
from briarfork.requests import HedgeBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from briarfork.configuration import Service
    from briarfork.entry.delivery import Delivery
    from briarfork.entry.forward import KeptAnswer
    from briarfork.entry.overflow import Permit
    from briarfork.entry.process import EntryProcess

    Result = web.StreamResponse | KeptAnswer


# At the 95th percentile itself the usual tail alone asks for more than the budget, so nothing is
# left for a server that has slowed down.
PATIENCE_FACTOR = 1.5
# Shortest pause before a refused second attempt is asked for again.
SHORTEST_PAUSE_S = 0.01


class Hedger:
    """Sends a call under a permit and returns every permit that it uses."""

    def __init__(self, process: EntryProcess) -> None:
        self._process = process
        self._latencies: dict[str, RunTimes] = {}
        self._budgets: dict[str, HedgeBudget] = {}

    async def send(self, delivery: Delivery, service: Service, permit: Permit) -> Result:
        """Makes an attempt, and a second one if the first is late and the rules allow it.

        Raises:
            AttemptFailed: If the caller did not get a whole answer.
        """
        if not may_hedge(delivery, permit):
            return await self._attempt(delivery, permit, None)
        budget = self._budgets.setdefault(service.name, HedgeBudget())
        budget.earn()
        latencies = self._latencies.setdefault(service.name, RunTimes())
        started_at = time.monotonic()
        result = await self._race(delivery, permit, latencies, budget)
        if isinstance(result, AttemptFailed):
            raise result
        latencies.record(time.monotonic() - started_at)
        return result

    async def _race(
        self, delivery: Delivery, permit: Permit, latencies: RunTimes, budget: HedgeBudget
    ) -> Result | AttemptFailed:
        """Runs one or two attempts; the first that begins to answer cancels the other.

        A second attempt that is not allowed yet is asked for again while the first one is late.
        """
        race = Race()
        patience_s = PATIENCE_FACTOR * latencies.overdue_s
        async with asyncio.TaskGroup() as group:

            def start(number: int, under: Permit) -> None:
                work = self._try(delivery, under, lambda: race.win(number))
                race.add(group.create_task(work))

            start(0, permit)
            while not await race.wait_for_answer(patience_s):
                second = await self._acquire(delivery, permit, budget)
                if second is not None and race.is_decided:
                    budget.return_unused()
                    self._process.permits.release(second, Release.UNUSED, 0.0)
                elif second is not None:
                    self._process.metrics.count(Metric.HEDGES, permit.service)
                    start(1, second)
                    break
                patience_s = max(SHORTEST_PAUSE_S, latencies.mean_s)
        return race.find_result()

    async def _acquire(
        self, delivery: Delivery, first: Permit, budget: HedgeBudget
    ) -> Permit | None:
        if not budget.spend():
            return None
        try:
            return await self._process.permits.acquire_hedge(first, delivery.call.deadline)
        except NotRun:
            budget.return_unused()
            return None

    async def _try(
        self, delivery: Delivery, permit: Permit, on_answer: Callable[[], None]
    ) -> Result | AttemptFailed:
        try:
            return await self._attempt(delivery, permit, on_answer)
        except AttemptFailed as failure:
            return failure

    async def _attempt(
        self, delivery: Delivery, permit: Permit, on_answer: Callable[[], None] | None
    ) -> Result:
        started_at = time.monotonic()
        how = Release.CANCELLED
        try:
            answer = await self._process.forwarder.attempt(delivery, permit, on_answer)
            how = Release.DONE
            return answer
        except AttemptFailed as failure:
            how = failure.release
            raise
        finally:
            elapsed_s = time.monotonic() - started_at
            self._process.permits.release(permit, how, elapsed_s)
            self._process.metrics.time(Metric.REQUEST_TIME, elapsed_s, permit.service)


class Race:
    """Attempts of one call, of which only one may answer the caller."""

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task[Result | AttemptFailed]] = []
        self._answered = asyncio.Event()

    @property
    def is_decided(self) -> bool:
        """Whether an attempt has begun to answer or the only one has ended."""
        return self._answered.is_set() or all(task.done() for task in self.tasks)

    def add(self, task: asyncio.Task[Result | AttemptFailed]) -> None:
        """Adds an attempt."""
        task.add_done_callback(lambda _: self._answered.set())
        self.tasks.append(task)

    def win(self, number: int) -> None:
        """Cancels all attempts but the one that has begun to answer."""
        self._answered.set()
        for other, task in enumerate(self.tasks):
            if other != number:
                task.cancel()

    async def wait_for_answer(self, patience_s: float) -> bool:
        """Waits until the first attempt answers or fails; returns whether it did in time."""
        try:
            async with asyncio.timeout(None if patience_s == math.inf else patience_s):
                await self._answered.wait()
        except TimeoutError:
            return False
        return True

    def find_result(self) -> Result | AttemptFailed:
        """Returns the answer, else the failure of the attempt that came furthest."""
        ended = [task.result() for task in self.tasks if not task.cancelled()]
        failures = [result for result in ended if isinstance(result, AttemptFailed)]
        answers = [result for result in ended if not isinstance(result, AttemptFailed)]
        if answers:
            return answers[0]
        # An answer that was cut decides what the caller may be told.
        return max(failures, key=lambda failure: failure.caller_has_part)


def may_hedge(delivery: Delivery, permit: Permit) -> bool:
    """Returns whether a second attempt does no harm: the request may run twice and is short."""
    return (
        delivery.call.idempotent
        and delivery.call.is_replayable
        and not delivery.started
        and permit.request_class is RequestClass.SHORT
        and not permit.is_local
    )
