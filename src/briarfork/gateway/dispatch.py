"""Routes a request to a service, acquires a slot, sends it and retries within the limits."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.entry.slot_client import SlotRefused
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.errors import OutcomeUnknown
from briarfork.gateway.admission import Admission
from briarfork.gateway.attempts import AttemptError
from briarfork.gateway.attempts import AttemptRunner
from briarfork.gateway.attempts import Progress
from briarfork.gateway.attempts import confirm_permit
from briarfork.gateway.bodies import BodyCollector
from briarfork.gateway.bodies import check_length
from briarfork.gateway.metrics import GatewayMetrics
from briarfork.gateway.permits import SlotRequirements
from briarfork.pools import Release
from briarfork.requests import AttemptResult
from briarfork.requests import BodyMemory
from briarfork.requests import Deadline
from briarfork.requests import FailedAttempt
from briarfork.requests import RetryBudget
from briarfork.routing import WeightedRoundRobin

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.entry.overflow import Permit
    from briarfork.gateway.admission import QuotaGate
    from briarfork.gateway.attempts import Upstream
    from briarfork.gateway.bodies import BodySource
    from briarfork.gateway.permits import GatewayPermits
    from briarfork.gateway.request import Request
    from briarfork.gateway.request import Response
    from briarfork.gateway.view import GatewayView
    from briarfork.routing import Route

MS_PER_S = 1000.0
# Attempts that never reached a server, such as refused connections, do not use the retry budget.
MAX_UNSENT_ATTEMPTS = 4
# With less of the latency objective left, a server cannot respond in time.
MIN_RUN_FRACTION = 0.15
# A stopping VM sends a request only if this multiple of the mean run time is left. One that may be
# broken off is refused, so that its caller can send it to another VM.
STOP_RUN_TIME_FACTOR = 1.3
OTHER_VM_RETRY_S = 0.02


class Dispatcher:
    """Acquires a slot for each request and retries failed attempts where that is safe."""

    def __init__(
        self,
        view: GatewayView,
        permits: GatewayPermits,
        upstream: Upstream,
        events: EventLog,
        quotas: QuotaGate | None = None,
    ) -> None:
        self._view = view
        self._admission = Admission(view, quotas)
        self._permits = permits
        self._events = events
        self.metrics = GatewayMetrics()
        self._upstream = upstream
        self._attempt_runner = AttemptRunner(
            permits, upstream, events, self.metrics, self._admission
        )
        self._bodies = BodyCollector(BodyMemory(view.settings.limits.body_memory_bytes))
        self._round_robin = WeightedRoundRobin()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._running: set[asyncio.Timeout] = set()
        self._is_breaking_off = False

    async def handle(self, request: Request, source: BodySource | None = None) -> Response:
        """Returns the response of a backend server, whose memory the caller of this releases.

        Args:
            request: The request without its body.
            source: The body, None if the request has none.

        Raises:
            NotRun: If the request did not run.
            OutcomeUnknown: If the request may have run and there is no response.
        """
        try:
            return await self._handle(request, source)
        except NotRun as error:
            if not request.earlier.may_have_run:
                raise
            raise OutcomeUnknown(f"ran before its turn, then: {error.detail}") from error

    async def _handle(self, request: Request, source: BodySource | None) -> Response:
        route = self._find_route(request)
        progress = self._start(request, route)
        outcome = "cancelled"
        response = None
        try:
            workspace = self._admission.find_workspace(request, route)
            if workspace is not None:
                # Set before the quota decides, so that the log names the workspace of a refusal.
                request = replace(request, workspace=workspace.name)
            admitted = request.earlier.admitted or await self._admission.admit(request, route)
            progress.admit(admitted)
            response = await self._run_until_broken_off(request, progress, source)
            outcome = "answered"
            return response
        except BriarforkError as error:
            outcome = error.kind.value
            progress.detail = progress.detail or error.detail
            raise
        finally:
            progress.release_responses(response)
            progress.refund_unused()
            if progress.may_have_run:
                # Its credit is used up, but one request of a caller counts once.
                request.earlier.may_have_run = True
                request.earlier.admitted = progress.admitted
            self._finish(request, progress, outcome)

    def break_off(self) -> None:
        """Ends all requests in progress, and any later ones, with an error: this VM stops."""
        self._is_breaking_off = True
        for timeout in self._running:
            timeout.reschedule(asyncio.get_running_loop().time())

    @property
    def has_configuration(self) -> bool:
        """Whether a route table is loaded, so that requests can be routed."""
        return self._view.has_route_table

    @property
    def held_response_bytes(self) -> int:
        """Memory that responses hold or have reserved."""
        return self._upstream.held_bytes

    def update_gauges(self) -> None:
        """Updates the gauges from the current state."""
        table = self._view.require_route_table()
        self.metrics.set_version(table.version)
        self.metrics.set_limits(self._view.list_limits())
        self.metrics.set_response_bytes(self.held_response_bytes)
        for service in self._view.list_used_services():
            budget = self._find_retry_budget(service).level
            self.metrics.set_gauges(
                service,
                self._permits.count_waiting(service),
                budget,
                self._permits.find_remote_share(service),
            )
            self.metrics.set_slot_refusals(service, self._permits.count_refusals(service))

    def _start(self, request: Request, route: Route) -> Progress:
        now = time.monotonic()
        started = now if request.turn is None else request.turn.read_at
        expires_at = now + route.timeout_s
        if request.caller_timeout_s is not None:
            expires_at = min(expires_at, started + request.caller_timeout_s)
        progress = Progress(route, self._round_robin.choose(route), Deadline(expires_at), started)
        progress.unproven_attempts += request.earlier.may_have_run
        self._find_retry_budget(progress.service).earn()
        return progress

    def _finish(self, request: Request, progress: Progress, outcome: str) -> None:
        elapsed_s = time.monotonic() - progress.started
        self.metrics.count_request(progress.service, progress.route, outcome, elapsed_s)
        event = Event.REQUEST_SERVED if outcome == "answered" else Event.REQUEST_FAILED
        self._events.record(
            event,
            request=request.request_id,
            outcome=outcome,
            service=progress.service,
            route=progress.route.name,
            configuration=self._view.require_route_table().version,
            object=request.object_key,
            servers=sorted(progress.tried_servers),
            zone=progress.zone,
            body_bytes=progress.body_bytes,
            body_after_ms=round(progress.body_wait_s * MS_PER_S),
            slot_after_ms=round(progress.slot_wait_s * MS_PER_S),
            elapsed_ms=round(elapsed_s * MS_PER_S),
            detail=progress.detail,
            **({"workspace": request.workspace} if request.workspace else {}),
        )

    async def _run_until_broken_off(
        self, request: Request, progress: Progress, source: BodySource | None
    ) -> Response:
        """Runs the request unless it is broken off.

        Raises:
            BriarforkError: If there is no response.
        """
        timeout = asyncio.timeout(0.0 if self._is_breaking_off else None)
        self._running.add(timeout)
        try:
            async with timeout:
                return await self._collect_and_run(request, progress, source)
        except TimeoutError:
            if not timeout.expired():
                raise
            progress.detail = "broken off because this VM stops"
            if progress.error_response is not None:
                return progress.error_response
            if progress.may_have_run:
                raise OutcomeUnknown(progress.detail) from None
            raise SlotRefused(ErrorKind.OVERLOADED, progress.detail, OTHER_VM_RETRY_S) from None
        finally:
            self._running.discard(timeout)

    async def _collect_and_run(
        self, request: Request, progress: Progress, source: BodySource | None
    ) -> Response:
        """Collects the body, unless its head shows that the request cannot be served.

        Raises:
            BriarforkError: If there is no response.
        """
        if source is None:
            return await self._run(request, progress)
        limits = self._view.require_route_table().limits
        progress.body_bytes = source.declared_bytes or 0
        if not source.has_arrived:
            check_length(progress.body_bytes, limits)
            self._require_time_to_run(progress)
            self._permits.check_room(self._build_requirements(request, progress))
        complete_by = Deadline(min(request.respond_by, self._find_latest_run(progress)))
        async with self._bodies.collect(source, limits, progress.route, complete_by) as body:
            progress.body_bytes = sum(map(len, body))
            progress.body_wait_s = time.monotonic() - progress.started
            return await self._run(replace(request, body=body), progress)

    async def _run(self, request: Request, progress: Progress) -> Response:
        """Acquires slots and sends the request until there is a response.

        Raises:
            BriarforkError: If there is no response.
        """
        while True:
            permit = await self._acquire(request, progress)
            if permit is None:
                assert progress.error_response is not None
                return progress.error_response
            attempt_outcome = await self._attempt_runner.run(request, progress, permit)
            if not isinstance(attempt_outcome, AttemptError):
                return attempt_outcome
            response = self._handle_failure(progress, attempt_outcome)
            if response is not None:
                return response

    def reset_round_robin(self) -> None:
        """Resets the round-robin state after the weights of a traffic split have changed."""
        self._round_robin.reset()

    def _find_route(self, request: Request) -> Route:
        route = self._view.require_route_table().find(request.host, request.path)
        if route is None:
            raise NotRun(ErrorKind.UNKNOWN_PATH, f"{request.host}{request.path}: no such route")
        return route

    async def _acquire(self, request: Request, progress: Progress) -> Permit | None:
        """Returns a permit, or None if only an earlier error response can be returned.

        Raises:
            NotRun: If no slot is available and the request did not run.
            OutcomeUnknown: If no slot is available and the request may have run.
        """
        try:
            self._require_time_to_run(progress)
            permit = await self._permits.acquire(self._build_requirements(request, progress))
            await confirm_permit(self._permits, permit)
            try:
                self._require_time_to_run(progress)
                self._confirm_admission(request, progress)
            except NotRun:
                self._permits.release(permit, Release.UNUSED, 0.0)
                raise
            return permit
        except NotRun as error:
            progress.detail = error.detail
            if progress.error_response is not None:
                return None
            if progress.may_have_run:
                raise OutcomeUnknown(f"sent without a response, then: {error.detail}") from error
            raise

    def _confirm_admission(self, request: Request, progress: Progress) -> None:
        """Checks a request that waited for a slot against the current configuration.

        Raises:
            NotRun: If its key is no longer valid.
        """
        if progress.admitted is not None:
            self._admission.confirm(request, progress.admitted)

    def _build_requirements(self, request: Request, progress: Progress) -> SlotRequirements:
        return SlotRequirements(
            progress.route,
            progress.service,
            request.object_key,
            progress.deadline,
            frozenset(progress.tried_servers),
            progress.body_bytes,
            progress.admitted.workspace if progress.admitted else None,
        )

    def _require_time_to_run(self, progress: Progress) -> None:
        """Checks that a server can respond before the deadline, and before this VM stops.

        Raises:
            NotRun: If it cannot.
        """
        now = time.monotonic()
        if now > self._find_latest_run(progress):
            raise NotRun(ErrorKind.OVERLOADED, "not enough time is left to run the request")
        objective_s = progress.route.objective_s
        run_s = self._permits.mean_run_times_s.get(progress.service, objective_s)
        if now + STOP_RUN_TIME_FACTOR * run_s > self._view.stops_at:
            raise SlotRefused(
                ErrorKind.OVERLOADED,
                "this VM stops before a server would respond",
                OTHER_VM_RETRY_S,
            )

    def _find_latest_run(self, progress: Progress) -> float:
        """Returns the monotonic time after which a server could not respond in time."""
        return progress.deadline.expires_at - MIN_RUN_FRACTION * progress.route.objective_s

    def _handle_failure(self, progress: Progress, failure: AttemptError) -> Response | None:
        """Returns None to retry, or the server's error response if no retry is allowed.

        Raises:
            BriarforkError: If no retry is allowed and there is no response.
        """
        failed = FailedAttempt(failure.result, progress.route.kind.is_idempotent, replayable=True)
        if failed.may_retry() and self._may_retry(progress, failure.result):
            progress.drop_large_error_response()
            return None
        if progress.error_response is not None:
            return progress.error_response
        raise _build_failure(progress, failure)

    def _may_retry(self, progress: Progress, result: AttemptResult) -> bool:
        if progress.sent_attempts >= progress.route.max_attempts:
            return False
        if result is AttemptResult.NOT_SENT:
            return progress.unsent_attempts <= MAX_UNSENT_ATTEMPTS
        return self._find_retry_budget(progress.service).spend()

    def _find_retry_budget(self, service: str) -> RetryBudget:
        limits = self._view.retry_limits
        reserve = limits.compute_reserve(len(self._view.members))
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = RetryBudget(limits.ratio_per_vm, reserve)
        budget.set_reserve(reserve)
        return budget


def _build_failure(progress: Progress, failure: AttemptError) -> BriarforkError:
    if progress.may_have_run:
        return OutcomeUnknown(str(failure))
    return NotRun(ErrorKind.OVERLOADED, str(failure))
