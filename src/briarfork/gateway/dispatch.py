"""A request's way from its route to the answer: service, slot, attempt and what follows."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.errors import OutcomeUnknown
from briarfork.gateway.attempts import AttemptEnded
from briarfork.gateway.attempts import Attempts
from briarfork.gateway.attempts import Progress
from briarfork.gateway.measures import Measures
from briarfork.gateway.permits import SlotNeed
from briarfork.requests import AttemptResult
from briarfork.requests import Deadline
from briarfork.requests import FailedAttempt
from briarfork.requests import RetryBudget
from briarfork.routing import Spread

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.entry.overflow import Permit
    from briarfork.gateway.attempts import Upstream
    from briarfork.gateway.permits import GatewayPermits
    from briarfork.gateway.request import Reply
    from briarfork.gateway.request import Request
    from briarfork.gateway.view import GatewayView
    from briarfork.routing import Route

MILLISECONDS = 1000.0
# Attempts that never reached a server, such as refused connections, cost no budget.
MAX_UNSENT = 4
# A server that is given less of the objective than this has no chance to answer.
LEAST_RUN_SHARE = 0.15


class Dispatcher:
    """Finds a slot for each request and repeats what may be repeated."""

    def __init__(
        self, view: GatewayView, permits: GatewayPermits, upstream: Upstream, events: EventLog
    ) -> None:
        self._view = view
        self._permits = permits
        self._events = events
        self.measures = Measures()
        self._attempts = Attempts(permits, upstream, events, self.measures)
        self._spread = Spread()
        self._budgets: dict[str, RetryBudget] = {}

    async def handle(self, request: Request) -> Reply:
        """Returns the answer of a backend server.

        Raises:
            NotRun: If the request did not run.
            OutcomeUnknown: If it may have run and there is no answer.
        """
        route = self._find_route(request)
        progress = self._begin(request, route)
        outcome = "cancelled"
        try:
            reply = await self._run(request, progress)
            outcome = "answered"
            return reply
        except BriarforkError as error:
            outcome = error.kind.value
            raise
        finally:
            self._end(request, progress, outcome)

    @property
    def has_configuration(self) -> bool:
        """Whether requests can be routed."""
        return self._view.has_table

    def report_levels(self) -> None:
        """Brings the gauges up to date."""
        table = self._view.require_table()
        self.measures.set_version(table.version)
        for service in table.services:
            budget = self._find_budget(service).level
            self.measures.set_levels(
                service,
                self._permits.count_waiting(service),
                budget,
                self._permits.find_remote_share(service),
            )

    def _begin(self, request: Request, route: Route) -> Progress:
        now = time.monotonic()
        wait_s = route.timeout_s
        if request.wait_s is not None:
            wait_s = min(wait_s, request.wait_s)
        progress = Progress(route, self._spread.choose(route), Deadline(now + wait_s), now)
        self._find_budget(progress.service).earn()
        return progress

    def _end(self, request: Request, progress: Progress, outcome: str) -> None:
        elapsed_s = time.monotonic() - progress.started
        self.measures.count_request(progress.service, progress.route, outcome, elapsed_s)
        event = Event.REQUEST_SERVED if outcome == "answered" else Event.REQUEST_FAILED
        self._events.record(
            event,
            request=request.request_id,
            outcome=outcome,
            service=progress.service,
            route=progress.route.name,
            configuration=self._view.require_table().version,
            object=request.object_key,
            servers=sorted(progress.tried),
            zone=progress.zone,
            slot_after_ms=round(progress.slot_after_s * MILLISECONDS),
            elapsed_ms=round(elapsed_s * MILLISECONDS),
            detail=progress.detail,
        )

    async def _run(self, request: Request, progress: Progress) -> Reply:
        """Acquires slots and sends the request until there is an answer.

        Raises:
            BriarforkError: If there is none.
        """
        while True:
            permit = await self._acquire(request, progress)
            if permit is None:
                assert progress.fault is not None
                return progress.fault
            end = await self._attempts.run(request, progress, permit)
            if not isinstance(end, AttemptEnded):
                return end
            reply = self._decide(progress, end)
            if reply is not None:
                return reply

    def reset_spread(self) -> None:
        """Begins the proportions of traffic anew after a change of the configuration."""
        self._spread.reset()

    def _find_route(self, request: Request) -> Route:
        route = self._view.require_table().find(request.host, request.path)
        if route is None:
            raise NotRun(ErrorKind.UNKNOWN_PATH, f"{request.host}{request.path}: no such route")
        return route

    async def _acquire(self, request: Request, progress: Progress) -> Permit | None:
        """Returns a permit, or None if the last answer of a server has to do.

        Raises:
            NotRun: If there is none and the request did not run.
            OutcomeUnknown: If there is none and the request may have run.
        """
        route = progress.route
        try:
            left_s = progress.deadline.remaining_s(time.monotonic())
            if left_s < LEAST_RUN_SHARE * route.objective_s:
                raise NotRun(ErrorKind.OVERLOADED, "no time is left for a run")
            need = SlotNeed(
                route,
                progress.service,
                request.object_key,
                progress.deadline,
                frozenset(progress.tried),
            )
            return await self._permits.acquire(need)
        except NotRun as error:
            progress.detail = error.detail
            if progress.fault is not None:
                return None
            if progress.may_have_run:
                raise OutcomeUnknown(f"sent without an answer, then: {error.detail}") from error
            raise

    def _decide(self, progress: Progress, ended: AttemptEnded) -> Reply | None:
        """Returns None if another attempt follows, or the failed answer if none may.

        Raises:
            BriarforkError: If no other attempt follows and there is no answer.
        """
        failed = FailedAttempt(ended.result, progress.route.kind.is_repeatable, replayable=True)
        progress.may_have_run = progress.may_have_run or failed.may_have_run
        if failed.may_retry() and self._may_try_again(progress, ended.result):
            return None
        if progress.fault is not None:
            return progress.fault
        raise _describe_failure(progress, ended)

    def _may_try_again(self, progress: Progress, result: AttemptResult) -> bool:
        if result is AttemptResult.NOT_SENT:
            progress.unsent += 1
            return progress.unsent <= MAX_UNSENT
        if len(progress.tried) - progress.unsent >= progress.route.max_attempts:
            return False
        return self._find_budget(progress.service).spend()

    def _find_budget(self, service: str) -> RetryBudget:
        bounds = self._view.repeat_bounds
        reserve = bounds.find_reserve(len(self._view.members))
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(bounds.ratio_per_vm, reserve)
        budget.set_reserve(reserve)
        return budget


def _describe_failure(progress: Progress, ended: AttemptEnded) -> BriarforkError:
    if progress.may_have_run:
        return OutcomeUnknown(str(ended))
    return NotRun(ErrorKind.OVERLOADED, str(ended))
