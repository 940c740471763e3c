"""Hedged requests: a second attempt at another server when the first one is late."""

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
    from briarfork.entry.forward import BufferedResponse
    from briarfork.entry.overflow import Permit
    from briarfork.entry.process import EntryProcess

    Result = web.StreamResponse | BufferedResponse


# Factor on the 95th percentile of the run times after which an attempt is hedged. With a factor of
# 1 the normal tail uses up the budget, and nothing is left for a server that has slowed down.
HEDGE_DELAY_FACTOR = 1.5
# Shortest delay before another try at a hedge that was refused.
MIN_HEDGE_RETRY_S = 0.01


class Hedger:
    """Sends calls under permits, hedges late ones and releases every permit that it uses."""

    def __init__(self, process: EntryProcess) -> None:
        self._process = process
        self._latencies: dict[str, RunTimes] = {}
        self._budgets: dict[str, HedgeBudget] = {}

    async def send(self, delivery: Delivery, service: Service, permit: Permit) -> Result:
        """Makes an attempt, and hedges it if it is late and may run twice.

        Raises:
            AttemptFailed: If the caller did not get a complete response.
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
        """Runs one or two attempts; the first one to respond cancels the other.

        While the first attempt is late, a refused hedge is tried again.
        """
        race = AttemptRace()
        delay_s = HEDGE_DELAY_FACTOR * latencies.overdue_s
        async with asyncio.TaskGroup() as group:

            def start_attempt(index: int, permit: Permit) -> None:
                attempt = self._attempt_without_raising(
                    delivery, permit, lambda: race.cancel_others(index)
                )
                race.add(group.create_task(attempt))

            start_attempt(0, permit)
            while not await race.wait_for_response(delay_s):
                hedge_permit = await self._acquire_hedge_permit(delivery, permit, budget)
                if hedge_permit is not None and race.is_decided:
                    budget.return_unused()
                    self._process.permits.release(hedge_permit, Release.UNUSED, 0.0)
                elif hedge_permit is not None:
                    self._process.metrics.count(Metric.HEDGES, permit.service)
                    start_attempt(1, hedge_permit)
                    break
                delay_s = max(MIN_HEDGE_RETRY_S, latencies.mean_s)
        return race.find_result()

    async def _acquire_hedge_permit(
        self, delivery: Delivery, first: Permit, budget: HedgeBudget
    ) -> Permit | None:
        if not budget.spend():
            return None
        try:
            return await self._process.permits.acquire_hedge(first, delivery.call.deadline)
        except NotRun:
            budget.return_unused()
            return None

    async def _attempt_without_raising(
        self, delivery: Delivery, permit: Permit, on_response: Callable[[], None]
    ) -> Result | AttemptFailed:
        try:
            return await self._attempt(delivery, permit, on_response)
        except AttemptFailed as failure:
            return failure

    async def _attempt(
        self, delivery: Delivery, permit: Permit, on_response: Callable[[], None] | None
    ) -> Result:
        started_at = time.monotonic()
        outcome = Release.CANCELLED
        try:
            response = await self._process.forwarder.attempt(delivery, permit, on_response)
            outcome = Release.DONE
            return response
        except AttemptFailed as failure:
            outcome = failure.release
            raise
        finally:
            elapsed_s = time.monotonic() - started_at
            self._process.permits.release(permit, outcome, elapsed_s)
            self._process.metrics.time(Metric.REQUEST_TIME, elapsed_s, permit.service)


class AttemptRace:
    """Concurrent attempts of one call, of which only one may respond to the caller."""

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task[Result | AttemptFailed]] = []
        self._decided = asyncio.Event()

    @property
    def is_decided(self) -> bool:
        """Whether an attempt has begun to respond or all attempts have ended."""
        return self._decided.is_set() or all(task.done() for task in self.tasks)

    def add(self, task: asyncio.Task[Result | AttemptFailed]) -> None:
        """Adds an attempt."""
        task.add_done_callback(lambda _: self._decided.set())
        self.tasks.append(task)

    def cancel_others(self, index: int) -> None:
        """Cancels all attempts except the one that has begun to respond."""
        self._decided.set()
        for other, task in enumerate(self.tasks):
            if other != index:
                task.cancel()

    async def wait_for_response(self, delay_s: float) -> bool:
        """Waits until the first attempt responds or fails; returns whether it did in time."""
        try:
            async with asyncio.timeout(None if delay_s == math.inf else delay_s):
                await self._decided.wait()
        except TimeoutError:
            return False
        return True

    def find_result(self) -> Result | AttemptFailed:
        """Returns the response, or else the failure of the attempt that got furthest."""
        results = [task.result() for task in self.tasks if not task.cancelled()]
        failures = [result for result in results if isinstance(result, AttemptFailed)]
        responses = [result for result in results if not isinstance(result, AttemptFailed)]
        if responses:
            return responses[0]
        # A response that was cut off determines which error the caller may get.
        return max(failures, key=lambda failure: failure.response_started)


def may_hedge(delivery: Delivery, permit: Permit) -> bool:
    """Returns whether the request may be hedged: it is short and safe to run twice."""
    return (
        delivery.call.idempotent
        and delivery.call.is_replayable
        and not delivery.started
        and permit.request_class is RequestClass.SHORT
        and not permit.is_local
    )
