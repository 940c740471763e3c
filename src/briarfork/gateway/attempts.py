"""Attempts to run a request: one at a time, or a second one beside a slow first."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

from briarfork.border.events import Event
from briarfork.pools import Release
from briarfork.requests import AttemptResult
from briarfork.requests import HedgeBudget

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.entry.overflow import Permit
    from briarfork.gateway.measures import Measures
    from briarfork.gateway.permits import GatewayPermits
    from briarfork.gateway.request import Reply
    from briarfork.gateway.request import Request
    from briarfork.pools import ServerAddress
    from briarfork.requests import Deadline
    from briarfork.routing import Route

# A second attempt starts when the first has taken this part of the objective, and this multiple of
# the mean run time: most requests that take longer have lost their answer or their server.
HEDGE_OBJECTIVE_SHARE = 0.6
HEDGE_RUN_TIMES = 2.0
# Attempts that run side by side.
MAX_HEDGED = 2


class AttemptEnded(Exception):
    """An attempt that brought no whole answer.

    Attributes:
        result: How far it came.
        release: What the owner of the slot is told.
        slowness: What the server said about its machine, 0 if nothing.
    """

    def __init__(
        self, result: AttemptResult, release: Release, detail: str, slowness: float = 0.0
    ) -> None:
        super().__init__(detail)
        self.result = result
        self.release = release
        self.slowness = slowness


class Upstream(Protocol):
    """Sends requests to backend servers."""

    async def send(
        self, request: Request, server: ServerAddress, deadline: Deadline, repeatable: bool
    ) -> Reply:
        """Sends a request and returns the whole answer.

        Raises:
            AttemptEnded: If there is none.
        """


@dataclass(slots=True)
class Progress:
    """What has happened to one request so far.

    Attributes:
        tried: Servers that it was sent to.
        unsent: Attempts that reached no server.
        may_have_run: Whether a server may have run it.
        fault: The last answer with which a server said that it failed.
        zone: Where the last slot was.
        slot_after_s: When it was granted, from the start of the request.
        detail: Why no slot was granted.
    """

    route: Route
    service: str
    deadline: Deadline
    started: float
    tried: set[str] = field(default_factory=set)
    unsent: int = 0
    may_have_run: bool = False
    fault: Reply | None = None
    zone: str = ""
    slot_after_s: float = 0.0
    detail: str = ""


class Attempts:
    """Sends requests under permits, returns the permits and says how each attempt ended."""

    def __init__(
        self, permits: GatewayPermits, upstream: Upstream, events: EventLog, measures: Measures
    ) -> None:
        self._permits = permits
        self._upstream = upstream
        self._events = events
        self._measures = measures
        self._budgets: dict[str, HedgeBudget] = {}

    async def run(
        self, request: Request, progress: Progress, permit: Permit
    ) -> Reply | AttemptEnded:
        """Sends a request, and to a second server if the first one is slow and it may run twice.

        The first whole answer wins; the other attempt is cancelled at its server.
        """
        budget = self._budgets.setdefault(progress.service, HedgeBudget())
        budget.earn()
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(self._send(request, progress, permit))]
            if not await self._answers_soon(tasks[0], progress) and budget.spend():
                second = await self._permits.acquire_hedge(progress.route, permit)
                if second is None or tasks[0].done():
                    budget.return_unused()
                    if second is not None:
                        self._permits.release(second, Release.UNUSED, 0.0)
                else:
                    tasks.append(group.create_task(self._send(request, progress, second)))
            end = await _wait_for_reply(tasks)
            for task in tasks:
                task.cancel()
        return end

    async def _answers_soon(
        self, task: asyncio.Task[Reply | AttemptEnded], progress: Progress
    ) -> bool:
        """Returns whether an attempt ends before it is time for a second one."""
        route = progress.route
        if not route.kind.is_repeatable or len(progress.tried) + MAX_HEDGED > route.max_attempts:
            return True
        run_s = HEDGE_RUN_TIMES * self._permits.mean_run_times_s.get(progress.service, 0.0)
        wait_s = max(HEDGE_OBJECTIVE_SHARE * route.objective_s, run_s)
        done, _ = await asyncio.wait({task}, timeout=wait_s)
        return bool(done)

    async def _send(
        self, request: Request, progress: Progress, permit: Permit
    ) -> Reply | AttemptEnded:
        """Sends a request once and returns its permit."""
        started = time.monotonic()
        progress.tried.add(permit.server.vm)
        progress.zone = permit.site
        progress.slot_after_s = started - progress.started
        release, slowness = Release.CANCELLED, 0.0
        try:
            reply = await self._upstream.send(
                request, permit.server, progress.deadline, progress.route.kind.is_repeatable
            )
            release, slowness = Release.DONE, reply.slowness
            self._permits.record_load(permit, progress.service, reply.waiting > 0, reply.busy)
            if not reply.is_fault:
                return reply
            release = Release.FAILED
            progress.fault = reply
            ended = AttemptEnded(AttemptResult.SENT_WITHOUT_ANSWER, release, f"{reply.status}")
        except AttemptEnded as error:
            release, slowness = error.release, error.slowness
            self._permits.record_load(permit, progress.service, release is not Release.UNUSED)
            ended = error
        finally:
            self._permits.release(permit, release, time.monotonic() - started, slowness)
        self._record_failure(request, progress, permit, ended)
        return ended

    def _record_failure(
        self, request: Request, progress: Progress, permit: Permit, ended: AttemptEnded
    ) -> None:
        self._measures.count_failed_attempt(progress.service, ended.result.value)
        self._events.record(
            Event.ATTEMPT_FAILED,
            request=request.request_id,
            service=progress.service,
            server=permit.server.vm,
            zone=permit.site,
            result=ended.result.value,
            reason=str(ended),
        )


async def _wait_for_reply(
    tasks: list[asyncio.Task[Reply | AttemptEnded]],
) -> Reply | AttemptEnded:
    """Returns the first answer, or the end that says most if there is none.

    An attempt that may have run outweighs one that did not.
    """
    pending = set(tasks)
    ends: list[AttemptEnded] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            end = task.result()
            if not isinstance(end, AttemptEnded):
                return end
            ends.append(end)
    unanswered = [end for end in ends if end.result is AttemptResult.SENT_WITHOUT_ANSWER]
    return (unanswered or ends)[0]
